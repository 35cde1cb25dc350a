// A proxy whose processor is slow, among many that are not, as a client of the storage members: the turns of
// the others go on at their pace, those of programs that they share with it included.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "hard_case.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr std::size_t kEdges = 64;
constexpr int kRounds = 12;
constexpr double kRoundMs = 1000;  // in which each edge has a turn of its own program and one of a shared one
constexpr std::int64_t kBudget = 1'000'000, kMost = 10;

// A turn of one edge, begun and ended at once.
struct Turn {
    double asked = 0, began = -1, ended = -1;  // -1: it has not
    BeginStatus status = BeginStatus::ok;
    bool durable = false;
};

struct Pace {
    std::vector<double> begins, ends;  // ms, rising
    int slow_turns = 0, slow_whole = 0;
    static double at(const std::vector<double>& rising, double share) {
        return rising[static_cast<std::size_t>(share * static_cast<double>(rising.size() - 1))];
    }
};

void play_turn(HardCase& test, ClusterEdge& edge, const std::string& id, const std::string& program,
               Turn& turn) {
    TurnStart start = test.start(id, "", kBudget, kMost);
    start.program = program;
    TurnEnd end = test.whole_turn(id);
    end.program = end.record.program = program;
    turn.asked = test.cluster.time.now();
    edge.begin(start, kTurnMs, [&test, &edge, &turn, end](const BegunTurn& begun) {
        turn.began = test.cluster.time.now();
        turn.status = begun.status;
        if (begun.status != BeginStatus::ok) return;
        edge.end(end, kTurnMs, [&test, &turn](bool durable) {
            turn.ended = test.cluster.time.now();
            turn.durable = durable;
        });
    });
}

// The first edge takes so long for each message; each program is shared by four edges.
Pace pace(double handling_ms, std::uint64_t seed) {
    HardCase test(seed);
    test.found();
    std::vector<ClusterEdge*> edges;
    for (std::size_t i = 0; i < kEdges; ++i) edges.push_back(&test.edge(i % 2 ? "a" : "b"));
    edges[0]->handling_ms = handling_ms;

    std::vector<std::vector<Turn>> turns(kEdges, std::vector<Turn>(2 * kRounds));
    for (int round = 0; round < kRounds; ++round) {
        for (std::size_t i = 0; i < kEdges; ++i) {
            const std::string name = std::to_string(i).append("-").append(std::to_string(round));
            const auto at = static_cast<std::size_t>(2 * round);
            play_turn(test, *edges[i], "own-" + name, "own-" + std::to_string(i), turns[i][at]);
            play_turn(test, *edges[i], "shared-" + name, "shared-" + std::to_string(i / 4), turns[i][at + 1]);
            test.run(kRoundMs / kEdges);
        }
    }
    test.run(4 * kTurnMs);

    Pace measured;
    for (std::size_t i = 0; i < kEdges; ++i)
        for (const Turn& turn : turns[i]) {
            EXPECT_GE(turn.began, 0) << "told of, whichever way";
            if (i == 0) {
                ++measured.slow_turns;
                measured.slow_whole += turn.durable;
                continue;
            }
            EXPECT_EQ(turn.status, BeginStatus::ok);
            EXPECT_TRUE(turn.durable);
            measured.begins.push_back(turn.began - turn.asked);
            measured.ends.push_back(turn.ended - turn.began);
        }
    std::sort(measured.begins.begin(), measured.begins.end());
    std::sort(measured.ends.begin(), measured.ends.end());
    std::printf(
        "[ figures  ] one of %zu takes %.0f ms a message: the others' begins %.1f / %.1f / %.1f ms, ends "
        "%.1f / %.1f / %.1f ms; of its own %d turns %d are whole\n",
        kEdges, handling_ms, Pace::at(measured.begins, 0.5), Pace::at(measured.begins, 0.99),
        measured.begins.back(), Pace::at(measured.ends, 0.5), Pace::at(measured.ends, 0.99),
        measured.ends.back(), measured.slow_turns, measured.slow_whole);
    return measured;
}

constexpr double kPrompt = 30;  // ms: two rounds and a sync, at the most; as of the members' own tests

TEST(SlowEdge, KeepsNoTurnOfOthersWaiting) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (const double handling_ms : {0.0, 40.0, 100.0, 250.0}) {
            const Pace measured = pace(handling_ms, seed);
            EXPECT_LE(measured.begins.back(), kPrompt) << handling_ms;
            EXPECT_LE(measured.ends.back(), kPrompt) << handling_ms;
            EXPECT_EQ(measured.slow_whole == measured.slow_turns, handling_ms == 0)
                << "it is slow where it is meant to be";
        }
}

}  // namespace
}  // namespace whinledge::storage_plane::test
