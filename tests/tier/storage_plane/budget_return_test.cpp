// Programs that have spent their budget, keep away and come back: within keepForS of the last that was
// written of them they are refused, whatever machines were lost meanwhile; some time after it they are
// forgotten, and a question that comes only then tells nothing about the ledger.
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "storage_cluster.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr std::int64_t kBudget = 40;
constexpr int kKeepForS = 10;
constexpr double kKeepMs = kKeepForS * 1000.0;
// In time, as far as the message and the members' time to answer go.
constexpr double kNearlyOverMs = 100;

class SpentProgram {
public:
    SpentProgram(std::uint64_t seed, ClusterOptions options) : cluster(seed, options) {
        edge_ = std::make_shared<ClusterEdge>(cluster, "a", 1, options.survive);
        cluster.on_map = [this](const wire::StorageMap& map) { edge_->set_map(map); };
        cluster.found();
        cluster.time.run_until(1500);
    }

    // One turn uses all of the budget; then its program keeps away.
    void spend() {
        EXPECT_EQ(begins("spender"), BeginStatus::ok);
        TurnEnd end;
        end.program = "program";
        end.turn = "spender";
        end.tokens = kBudget;
        end.whole = true;
        end.keep_for_s = kKeepForS;
        bool durable = false;
        ended_ms = cluster.time.now();
        edge_->end(end, 2000, [&durable](bool well) { durable = well; });
        run_until(ended_ms + 50);
        EXPECT_TRUE(durable);
    }

    BeginStatus begins(const std::string& turn) {
        TurnStart start;
        start.program = "program";
        start.turn = turn;
        start.budget = start.most = kBudget;
        start.keep_for_s = kKeepForS;
        std::optional<BeginStatus> status;
        edge_->begin(start, 2000, [&status](const BegunTurn& begun) { status = begun.status; });
        const double until_ms = cluster.time.now() + 2500;
        while (!status && cluster.time.now() < until_ms) run_until(cluster.time.now() + 5);
        return status.value_or(BeginStatus::unavailable);
    }

    int members_with_ledger() const {
        int members = 0;
        for (const auto& machine : cluster.machines)
            members += machine->up && machine->process->index().program("program") != nullptr;
        return members;
    }

    void run_until(double ms) { cluster.time.run_until(ms); }

    Cluster cluster;
    double ended_ms = 0;

private:
    std::shared_ptr<ClusterEdge> edge_;
};

ClusterOptions all_keep_all() { return {.machines = 4}; }
ClusterOptions groups() { return {.machines = 9, .zones = 3, .ledger_group = 3}; }

using Strike = std::function<void(Cluster& cluster, Machine& machine)>;

void wiped(Cluster& cluster, Machine& machine) {
    cluster.wipe(machine);
    cluster.time.after(300, [&cluster, &machine] { cluster.start(machine); });
}

void stepped_and_restarted(Cluster& cluster, Machine& machine) {
    cluster.lose_power(machine);
    machine.clock_off_ms = cluster.between(-4000, 4000);
    cluster.time.after(300, [&cluster, &machine] { cluster.start(machine); });
}

// Everybody's power, and one disk.
void blacked_out(Cluster& cluster, Machine& machine) {
    for (const auto& each : cluster.machines)
        if (each.get() == &machine)
            wiped(cluster, *each);
        else
            stepped_and_restarted(cluster, *each);
}

// One after the other, each when the one before has long been whole again.
void refused_in_time(const ClusterOptions& options, const Strike& strike) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SpentProgram test(seed, options);
        for (const auto& machine : test.cluster.machines)
            machine->clock_off_ms = test.cluster.between(-4000, 4000);
        test.spend();
        for (const double after_ms : {200., 4600.}) {
            test.cluster.time.at(test.ended_ms + after_ms, [&test, &strike] {
                const int last = static_cast<int>(test.cluster.machines.size()) - 1;
                strike(test.cluster,
                       *test.cluster.machines[static_cast<std::size_t>(test.cluster.pick(0, last))]);
            });
        }
        test.run_until(test.ended_ms + kKeepMs - kNearlyOverMs);
        EXPECT_EQ(test.begins("back"), BeginStatus::budget_spent) << "seed " << seed;
    }
}

TEST(BudgetReturn, IsRefusedInTimeAfterWipes) {
    refused_in_time(all_keep_all(), wiped);
    refused_in_time(groups(), wiped);
}

TEST(BudgetReturn, IsRefusedInTimeAfterRestartsAtOtherTimesOfDay) {
    refused_in_time(all_keep_all(), stepped_and_restarted);
    refused_in_time(groups(), stepped_and_restarted);
}

TEST(BudgetReturn, IsRefusedInTimeAfterAllLostPower) {
    refused_in_time(all_keep_all(), blacked_out);
    refused_in_time(groups(), blacked_out);
}

// Each refusal is written, so that a program that asks again and again is not forgotten meanwhile.
TEST(BudgetReturn, IsRefusedAsLongAsItComesBackInTime) {
    for (const ClusterOptions& options : {all_keep_all(), groups()}) {
        SpentProgram test(3, options);
        test.spend();
        double written_ms = test.ended_ms;
        for (int visit = 0; visit < 6; ++visit) {
            test.run_until(written_ms + kKeepMs - kNearlyOverMs);
            written_ms = test.cluster.time.now();
            ASSERT_EQ(test.begins(std::string("visit-").append(std::to_string(visit))),
                      BeginStatus::budget_spent)
                << visit;
            wiped(test.cluster, *test.cluster.machines[static_cast<std::size_t>(visit % 3)]);
        }
    }
}

// Nobody holds the ledger any more once its time and the margin are over: who asks then, as days once did of
// programs with keepForS of 3 s that had been silent for 28 s, may go on, and no rule is broken.
TEST(BudgetReturn, IsForgottenSomeTimeAfterwards) {
    for (const ClusterOptions& options : {all_keep_all(), groups()}) {
        SpentProgram test(3, options);
        test.spend();
        test.run_until(test.ended_ms + kKeepMs);
        EXPECT_GT(test.members_with_ledger(), 0);
        test.run_until(test.ended_ms + static_cast<double>(kept_ms(kKeepForS)) + 3000);
        EXPECT_EQ(test.members_with_ledger(), 0);
        EXPECT_EQ(test.begins("back"), BeginStatus::ok);
    }
}

}  // namespace
}  // namespace whinledge::storage_plane::test
