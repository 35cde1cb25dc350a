// Members that answer, and take their time: they must not set the pace of turns.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "hard_case.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr int kTurns = 60;
constexpr double kBetweenTurns = 200;  // ms

struct Pace {
    std::vector<double> begins, ends;  // ms, rising
    static double at(const std::vector<double>& rising, double share) {
        return rising[static_cast<std::size_t>(share * static_cast<double>(rising.size() - 1))];
    }
};

struct Case {
    std::vector<std::size_t> slow{};  // machines
    double slow_ms = 0;               // of a message and its reply together
    bool prefers_fast = true;
    ClusterOptions cluster{};
};

// Turns of several programs, one after the other, each continuing the one before it, from one edge that has
// no room to keep chains.
Pace pace(const Case& of) {
    HardCase test(7, of.cluster);
    test.found();
    for (const std::size_t machine : of.slow) test.machine(machine).slow_ms = of.slow_ms / 2;
    TurnQuorumOptions options = ClusterEdge::options("a", of.cluster.survive);
    options.prefers_fast_members = of.prefers_fast;
    ClusterEdge& edge = test.edge(options);
    Pace measured;
    std::string previous;
    for (int i = 0; i < kTurns; ++i) {
        const std::string id = std::string("turn-").append(std::to_string(i));
        const std::string program = std::string("p-").append(std::to_string(i / 6));
        if (i % 6 == 0) previous.clear();
        TurnStart start = test.start(id, previous, 1000, 10);
        start.program = program;
        TurnEnd end = test.whole_turn(id, previous);
        end.program = end.record.program = program;
        double began = -1, ended = -1;
        const double from = test.cluster.time.now();
        edge.begin(start, kTurnMs, [&](BegunTurn begun) {
            EXPECT_EQ(begun.status, BeginStatus::ok) << id;
            began = test.cluster.time.now();
            edge.end(end, kTurnMs, [&](bool durable) {
                EXPECT_TRUE(durable) << id;
                ended = test.cluster.time.now();
            });
        });
        while (ended < 0 && test.cluster.time.now() < from + 2 * kTurnMs) test.run(5);
        test.run(kBetweenTurns);
        EXPECT_GE(ended, began);
        measured.begins.push_back(began - from);
        measured.ends.push_back(ended - began);
        previous = id;
    }
    std::sort(measured.begins.begin(), measured.begins.end());
    std::sort(measured.ends.begin(), measured.ends.end());
    std::printf(
        "[ figures  ] %zu of %d slow by %.0f ms, fast ones %s: begins %.0f / %.0f / %.0f ms, ends %.0f / "
        "%.0f / %.0f "
        "ms\n",
        of.slow.size(), of.cluster.machines, of.slow_ms, of.prefers_fast ? "preferred" : "not preferred",
        Pace::at(measured.begins, 0.5), Pace::at(measured.begins, 0.9), measured.begins.back(),
        Pace::at(measured.ends, 0.5), Pace::at(measured.ends, 0.9), measured.ends.back());
    return measured;
}

constexpr double kPrompt = 30;  // ms: two rounds and a sync, at the most

TEST(SlowMembers, OneOfFourDoesNotSetThePaceOfTurns) {
    for (const double slow_ms : {60.0, 300.0, 900.0})
        for (std::size_t machine = 0; machine < 4; ++machine) {
            pace({{machine}, slow_ms, false});
            const Pace preferred = pace({{machine}, slow_ms});
            EXPECT_LE(Pace::at(preferred.begins, 0.9), kPrompt) << machine << " slow by " << slow_ms;
            EXPECT_LE(Pace::at(preferred.ends, 0.9), kPrompt) << machine << " slow by " << slow_ms;
        }
}

TEST(SlowMembers, TwoOfNineDoNotSetThePaceOfTurns) {
    ClusterOptions nine;
    nine.machines = 9;
    nine.survive.machines = 2;
    nine.ledger_group = 5;
    for (const double slow_ms : {60.0, 300.0, 900.0}) {
        pace({{0, 4}, slow_ms, false, nine});
        const Pace preferred = pace({{0, 4}, slow_ms, true, nine});
        EXPECT_LE(Pace::at(preferred.begins, 0.9), kPrompt) << slow_ms;
        EXPECT_LE(Pace::at(preferred.ends, 0.9), kPrompt) << slow_ms;
    }
}

TEST(SlowMembers, WithoutSlowOnesNothingIsOtherThanBefore) {
    const Pace plain = pace({{}, 0, false}), preferred = pace({{}, 0, true});
    EXPECT_EQ(plain.begins, preferred.begins);
    EXPECT_EQ(plain.ends, preferred.ends);
}

// Where most are slow there is nobody to prefer: turns take the time that their members take, and no longer.
TEST(SlowMembers, WhereAllAreSlowTurnsGoOn) {
    const Pace all = pace({{0, 1, 2, 3}, 120});
    EXPECT_LE(Pace::at(all.begins, 0.9), 2 * 120 + 2 * kPrompt);
    EXPECT_LE(Pace::at(all.ends, 0.9), 2 * 120 + kPrompt);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
