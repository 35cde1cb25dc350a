// Turns that continue another program's: a turn is kept, with its chain, for keepForS from its end, whichever
// programs the chain comes from.
#include <gtest/gtest.h>

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
    void run_until(double ms) { test_.cluster.time.run_until(ms); }

private:
    HardCase test_;
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

}  // namespace
}  // namespace whinledge::storage_plane::test
