// Turns of one budget that race with a majority each: none is begun beyond the budget.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "turn_tier_model.hpp"

namespace whinledge::storage_plane::model {
namespace {

// Three turns of 50 tokens race for a budget of 100, each through its own edge and with another majority, so
// that by its first answers each sees one other turn: t1 sees t3 at A, t2 sees t1 at B, t3 sees t2 at C.
int turns_begun_in_a_ring(bool planted_single_look) {
    const std::map<std::string, double> there_ms = {
        {"t1>A", 2},   {"t1>B", 1},   {"t1>C", 400},  //
        {"t2>A", 400}, {"t2>B", 2},   {"t2>C", 1},    //
        {"t3>A", 1},   {"t3>B", 400}, {"t3>C", 2},
    };
    Timeline time;
    Network network(time);
    network.route = [&](const std::string& from, const std::string& to) {
        Route route;
        route.there_ms = there_ms.at(from + ">" + to);
        return route;
    };
    wire::StorageMap map;
    map.epoch = 1;
    for (const char* node : {"A", "B", "C"}) {
        auto member = std::make_shared<Member>();
        member->identity = node[0];
        member->node = member->zone = node;
        map.members.push_back(member->described(wire::StorageState::member));
        network.members[node] = member;
    }
    for (auto& [node, member] : network.members) member->map = map;

    int begun_turns = 0;
    std::vector<std::shared_ptr<Edge>> edges;
    for (const char* turn : {"t1", "t2", "t3"}) {
        TurnQuorumOptions options;
        options.planted_single_look = planted_single_look;
        edges.push_back(std::make_shared<Edge>(time, network, turn, options));
        edges.back()->set_map(map);
        TurnStart start;
        start.program = "program";
        start.turn = turn;
        start.budget = 100;
        start.most = 50;
        edges.back()->begin(start, 2000, [&begun_turns](const BegunTurn& begun) {
            begun_turns += begun.status == BeginStatus::ok;
        });
    }
    time.run_until(10000);
    return begun_turns;
}

TEST(TurnRing, BudgetHoldsWhereEachTurnSeesOneOther) {
    EXPECT_EQ(turns_begun_in_a_ring(true), 3) << "the first answers of majorities are enough, after all";
    EXPECT_LE(turns_begun_in_a_ring(false), 2);
}

}  // namespace
}  // namespace whinledge::storage_plane::model
