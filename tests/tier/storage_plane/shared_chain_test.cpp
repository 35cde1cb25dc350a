// Turns that continue another program's: a turn is kept, with its chain, for keepForS from its end, whichever
// programs the chain comes from.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "hard_case.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr double kSecond = 1000;
constexpr int kZones = 4;

class SharedChain {
public:
    explicit SharedChain(std::uint64_t seed, ClusterOptions options = {}) : test_(seed, options) {
        test_.found();
    }

    // Programs' turns through a sidecar of this zone that remembers nothing.
    BeginStatus turn(const std::string& program, const std::string& id, const std::string& previous, int zone,
                     std::int64_t budget) {
        ClusterEdge& edge = test_.edge(std::string(1, static_cast<char>('a' + zone)));
        TurnStart start = test_.start(id, previous, budget, budget > 0 ? 20 : 0);
        start.program = program;
        const BegunTurn begun = test_.begun(edge, start);
        if (begun.status != BeginStatus::ok) return begun.status;
        TurnEnd end = test_.whole_turn(id, previous);
        end.program = end.record.program = program;
        EXPECT_TRUE(test_.ended(edge, end)) << id;
        return begun.status;
    }
    // The same, as fast as it goes; whether it was begun and its end is durable.
    bool quick_turn(const std::string& program, const std::string& id, const std::string& previous,
                    int zone) {
        ClusterEdge& edge = edge_of(zone);
        TurnStart start = test_.start(id, previous, 1000, 20);
        start.program = program;
        const auto begun = test_.begins(edge, start);
        for (double ms = 0; ms < kTurnMs && !*begun; ms += 10) test_.run(10);
        if (!*begun || (*begun)->status != BeginStatus::ok) return false;
        TurnEnd end = test_.whole_turn(id, previous);
        end.program = end.record.program = program;
        const auto durable = test_.ends(edge, end);
        for (double ms = 0; ms < kTurnMs && !*durable; ms += 10) test_.run(10);
        return durable->value_or(false);
    }
    void run_until(double ms) { test_.cluster.time.run_until(ms); }

    // All storage processes at once; their disks stay.
    void restart_all() {
        for (const auto& machine : test_.cluster.machines) test_.cluster.kill(*machine);
        test_.run(500);
        for (const auto& machine : test_.cluster.machines) test_.cluster.start(*machine);
    }
    // Emptied as the operator orders it, and removed once it is said to be finished.
    void retire(std::size_t index) {
        Machine& machine = test_.machine(index);
        for (int looks = 0; looks < 100 && !test_.cluster.order_retirement(machine); ++looks) test_.run(100);
        for (int looks = 0; looks < 100 && !machine.gone; ++looks) test_.run(100);
        EXPECT_TRUE(machine.gone) << "machine " << index << " is not emptied in 10 s";
    }
    // It comes back empty after a second, and `syncS` (4.1 s) passes.
    void lose_disk(std::size_t index) {
        test_.cluster.wipe(test_.machine(index));
        test_.run(1000);
        test_.cluster.start(test_.machine(index));
        test_.run(4100);
    }

private:
    ClusterEdge& edge_of(int zone) {
        const auto [edge, added] = edges_.try_emplace(zone, nullptr);
        if (added) edge->second = &test_.edge(std::string(1, static_cast<char>('a' + zone)));
        return *edge->second;
    }

    HardCase test_;
    std::map<int, ClusterEdge*> edges_;
};

// LOST: a chain that another program had gone on from was let go keepForS after its own program's last turn.
void expect_kept(const ClusterOptions& options, std::int64_t budget, const std::string& program) {
    for (int from = 0; from < kZones; ++from)
        for (int on = 0; on < kZones; ++on) {
            SharedChain chain(static_cast<std::uint64_t>(1 + from * kZones + on), options);
            ASSERT_EQ(chain.turn("first", "a", "", from, budget), BeginStatus::ok);
            chain.run_until(48 * kSecond);
            ASSERT_EQ(chain.turn(program, "b", "a", on, budget), BeginStatus::ok);
            chain.run_until(100 * kSecond);
            EXPECT_EQ(chain.turn(program, "c", "b", from, budget), BeginStatus::ok)
                << "begun in zone " << from << ", gone on in " << on;
        }
}

TEST(SharedChains, AreKeptAsLongAsTheTurnThatGoesOn) { expect_kept({}, 1000, "second"); }

TEST(SharedChains, AreKeptWhereNoBudgetIsStated) { expect_kept({}, 0, "second"); }

TEST(SharedChains, AreKeptWhereLedgersLieOnGroups) {
    expect_kept({.machines = 9, .ledger_group = 3}, 1000, "second");
}

TEST(SharedChains, OfOneProgramWithoutABudgetAreKept) { expect_kept({}, 0, "first"); }

constexpr int kPairs = 16;

constexpr double kGoesOnAfterS = 52;   // less than keepForS
constexpr double kRestartAfterS = 3;   // all storage processes at once
constexpr double kTroubleAfterS = 20;  // when the first program would have been let go by itself

// Programs' first turns at 0 s; later others go on from them, and, of `programs` three, others again from
// these. After a restart `trouble` comes. The newest programs then go on, less than keepForS after their
// turns have ended.
void expect_kept_after_restart(int programs, void (*trouble)(SharedChain& chains)) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SharedChain chains(seed, {.machines = 5});
        const auto name = [](int program, int pair) {
            return std::string(1, static_cast<char>('a' + program)) + std::to_string(pair);
        };
        const auto previous = [&](int program, int pair) {
            return program == 0 ? std::string() : "turn " + name(program - 1, pair);
        };
        for (int program = 0; program < programs; ++program) {
            chains.run_until(1000 + program * kGoesOnAfterS * kSecond);
            for (int pair = 0; pair < kPairs; ++pair)
                ASSERT_TRUE(chains.quick_turn("program " + name(program, pair), "turn " + name(program, pair),
                                              previous(program, pair), 0));
        }
        const double newest_ms = 1000 + (programs - 1) * kGoesOnAfterS * kSecond;
        chains.run_until(newest_ms + kRestartAfterS * kSecond);
        chains.restart_all();
        chains.run_until(newest_ms + kTroubleAfterS * kSecond);
        trouble(chains);
        for (int pair = 0; pair < kPairs; ++pair)
            EXPECT_TRUE(chains.quick_turn("program " + name(programs, pair), "turn " + name(programs, pair),
                                          previous(programs, pair), 3))
                << "seed " << seed << ", pair " << pair << " of " << programs << " programs";
    }
}

// review/4 (LOST): that another program had gone on from a turn was known in memory alone, so after a start
// its copies were not told to other members any more.
TEST(SharedChains, OutlastAStartAndTwoEmptiedMembers) {
    expect_kept_after_restart(2, [](SharedChain& chains) {
        chains.retire(0);
        chains.retire(1);
    });
}

TEST(SharedChains, OutlastAStartAndTwoLostDisks) {
    expect_kept_after_restart(2, [](SharedChain& chains) {
        chains.lose_disk(0);
        chains.lose_disk(1);
    });
}

TEST(SharedChains, OfThreeProgramsOutlastAStartAndLostDisks) {
    expect_kept_after_restart(3, [](SharedChain& chains) {
        chains.lose_disk(0);
        chains.lose_disk(1);
        chains.lose_disk(2);
    });
}

// At the start itself, before members have told each other anything.
TEST(SharedChains, OfThreeProgramsOutlastAStartWithALostDiskAndOneSoonAfter) {
    expect_kept_after_restart(3, [](SharedChain& chains) {
        chains.restart_all();
        chains.lose_disk(1);
        chains.restart_all();
        chains.lose_disk(0);
    });
}

}  // namespace
}  // namespace whinledge::storage_plane::test
