// Repair among simulated members: filling, replacing, retiring, each with a machine missing.
#include "storage_plane/repair.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "storage_cluster.hpp"

namespace whinledge::storage_plane::test {
namespace {

class RepairTest : public ::testing::Test {
protected:
    void found(int machines, int turns, std::size_t bytes = 400) {
        options_.machines = machines;
        edge_.reset();  // that of an earlier cluster, which goes now
        cluster_ = std::make_unique<Cluster>(7, options_);
        cluster_->on_map = [this](const wire::StorageMap& map) {
            if (edge_) edge_->set_map(map);
        };
        cluster_->found();
        edge_ = std::make_shared<ClusterEdge>(*cluster_, "a", 1, 1);
        cluster_->time.run_until(500);
        write(turns, bytes);
    }

    void write(int turns, std::size_t bytes) {
        int durable = 0;
        for (int i = 0; i < turns; ++i) {
            TurnEnd end;
            end.turn = std::string("turn-").append(std::to_string(ids_.size()));
            end.program = std::string("program-").append(std::to_string(ids_.size() % 17));
            end.tokens = 5;
            end.whole = true;
            end.keep_for_s = end.record.keep_for_s = 60;
            end.record.id = end.turn;
            end.record.program = end.program;
            end.record.output = std::string(bytes, 'o');
            ids_.push_back(end.turn);
            edge_->end(end, 3000, [&](bool well) { durable += well; });
        }
        cluster_->time.run_until(cluster_->time.now() + 3500);
        ASSERT_EQ(durable, turns);
    }

    // Milliseconds until `reached`, at most `limit`.
    template <class Condition>
    double until(Condition reached, double limit_ms) {
        const double start = cluster_->time.now();
        while (!reached() && cluster_->time.now() - start < limit_ms)
            cluster_->time.run_until(cluster_->time.now() + 20);
        return cluster_->time.now() - start;
    }

    // Turns of 2 kB, one every 5 ms for so long; their times from the end until they are durable (ms).
    std::shared_ptr<std::vector<double>> full_traffic(int length_ms) {
        auto times_ms = std::make_shared<std::vector<double>>();
        for (int ms = 0; ms < length_ms; ms += 5)
            cluster_->time.after(ms, [this, times_ms] {
                TurnEnd end;
                end.turn = end.record.id = std::string("busy-").append(std::to_string(++busy_));
                end.program = end.record.program = std::string("busy-").append(std::to_string(busy_ % 40));
                end.whole = true;
                end.keep_for_s = end.record.keep_for_s = 60;
                end.record.output = std::string(2000, 'o');
                edge_->end(end, 3000, [this, times_ms, since = cluster_->time.now()](bool well) {
                    EXPECT_TRUE(well);
                    times_ms->push_back(cluster_->time.now() - since);
                });
            });
        return times_ms;
    }

    struct BesideTraffic {
        double turn_ms = 0;   // of ten, nine were durable in this while the machine repaired
        double whole_ms = 0;  // until it was whole
        std::int64_t paced_replies = 0;
    };
    // A machine that was wiped returns beside full traffic.
    BesideTraffic wiped_beside_full_traffic() {
        Machine& machine = *cluster_->machines[1];
        cluster_->wipe(machine);
        cluster_->time.run_until(cluster_->time.now() + 500);
        const auto times_ms = full_traffic(4500);
        cluster_->time.run_until(cluster_->time.now() + 200);
        times_ms->clear();  // its being lost costs turns time of its own
        BesideTraffic beside;
        cluster_->start(machine);
        beside.whole_ms = until([&] { return cluster_->settled(); }, 4300);
        std::sort(times_ms->begin(), times_ms->end());
        if (!times_ms->empty()) beside.turn_ms = (*times_ms)[times_ms->size() * 9 / 10];
        for (const auto& each : cluster_->machines)
            if (each->up) beside.paced_replies += each->repair->progress().paced_replies;
        cluster_->time.run_until(cluster_->time.now() + 8000);
        expect_copies(2);
        return beside;
    }

    void expect_copies(std::size_t zones) {
        for (const std::string& id : ids_) EXPECT_GE(cluster_->zones_with(id).size(), zones) << id;
    }

    ClusterOptions options_;
    std::unique_ptr<Cluster> cluster_;
    std::shared_ptr<ClusterEdge> edge_;
    std::vector<std::string> ids_;
    int busy_ = 0;
};

TEST_F(RepairTest, AWipedMachineIsWholeAgainInTime) {
    found(4, 800, 2000);
    Machine& machine = *cluster_->machines[1];
    cluster_->wipe(machine);
    cluster_->time.run_until(cluster_->time.now() + 500);
    cluster_->start(machine);
    EXPECT_LT(until([&] { return cluster_->settled(); }, 10000), 4100);
    expect_copies(2);
    EXPECT_TRUE(machine.process->voting());
    EXPECT_EQ(machine.process->index().programs().size(), 17u);  // all ledgers
}

// What the operator sees: what it lacks rises as it hears of it and is nothing in the end, and what it took
// is what the others gave.
TEST_F(RepairTest, AWipedMachineTellsHowFarItIs) {
    found(4, 800, 2000);
    Machine& machine = *cluster_->machines[1];
    const std::size_t held = machine.process->index().turns().size();
    const auto given = [&] {
        std::int64_t bytes = 0;
        for (const auto& each : cluster_->machines)
            if (each->up) bytes += each->repair->progress().given_bytes;
        return bytes;
    };
    cluster_->wipe(machine);
    const std::int64_t given_before = given();
    cluster_->time.run_until(cluster_->time.now() + 500);
    cluster_->start(machine);
    std::int64_t most_lacking = 0;
    for (int ms = 0; ms < 3000; ++ms)
        cluster_->time.after(
            ms, [&] { most_lacking = std::max(most_lacking, machine.repair->progress().lacking_turns); });
    EXPECT_LT(until([&] { return cluster_->settled(); }, 10000), 4100);
    cluster_->time.run_until(cluster_->time.now() + 5000);
    const wire::StorageProgress progress = machine.repair->progress();
    EXPECT_GT(most_lacking, static_cast<std::int64_t>(held / 4));
    EXPECT_LE(most_lacking, static_cast<std::int64_t>(ids_.size()));
    EXPECT_EQ(progress.lacking_turns, 0);
    EXPECT_EQ(progress.unfollowed_members, 0);
    EXPECT_TRUE(progress.voting);
    EXPECT_EQ(progress.held_turns, static_cast<std::int64_t>(machine.process->index().turns().size()));
    EXPECT_EQ(progress.held_bytes, static_cast<std::int64_t>(machine.process->disk_bytes()));
    EXPECT_GE(progress.taken_bytes, progress.held_turns * 2000);
    EXPECT_LE(progress.taken_bytes, given() - given_before);
}

// Who can't be asked is told of as such, and nothing that it told of before stays as lacking for good.
TEST_F(RepairTest, AMachineTellsWhomItHasNotHeard) {
    found(4, 60);
    cluster_->machines[2]->cut = true;
    Machine& machine = *cluster_->machines[1];
    cluster_->wipe(machine);
    cluster_->start(machine);
    cluster_->time.run_until(cluster_->time.now() + 3000);
    EXPECT_EQ(machine.repair->progress().unfollowed_members, 1);
    EXPECT_EQ(machine.repair->progress().lacking_turns, 0);
    EXPECT_FALSE(machine.repair->progress().voting);
    cluster_->machines[2]->cut = false;
    until([&] { return cluster_->settled(); }, 10000);
    EXPECT_EQ(machine.repair->progress().unfollowed_members, 0);
}

// A link of 40 Mbit/s. A turn waits for its reply behind one short reply to the machine that pulls, 13 ms
// long, at each of the members; where repair yields to nobody, behind half a megabyte.
TEST_F(RepairTest, BesideFullTrafficOnASlowLinkTurnsAreSparedAndItIsWholeInTime) {
    options_.link_bytes_per_ms = 5000;
    options_.repair_pace.on = true;
    const auto play = [&] {
        ids_.clear();
        found(4, 1500, 2000);
        return wiped_beside_full_traffic();
    };
    const BesideTraffic paced = play();
    options_.repair_pace.on = false;
    const BesideTraffic unpaced = play();
    EXPECT_LT(paced.whole_ms, 4100);
    EXPECT_GT(paced.paced_replies, 0);
    EXPECT_EQ(unpaced.paced_replies, 0);
    EXPECT_LT(paced.turn_ms, 25);
    EXPECT_GT(unpaced.turn_ms, 2 * paced.turn_ms);  // what is spared
}

// One turn a reply would take longer than it has; its patience ends before.
TEST_F(RepairTest, HoweverShortRepliesAreBesideTrafficItIsWholeInTime) {
    options_.repair_pace.on = true;
    options_.repair_pace.beside_turns_bytes = 1;
    found(4, 6000, 400);
    EXPECT_LT(wiped_beside_full_traffic().whole_ms, 4100);
    ids_.clear();
    options_.repair_pace.patience_ms = 60'000;
    found(4, 6000, 400);
    EXPECT_GT(wiped_beside_full_traffic().whole_ms, 4100) << "this test shows nothing";
}

TEST_F(RepairTest, ARetiringMachineGoesInTimeBesideFullTraffic) {
    options_.repair_pace.on = true;
    options_.repair_pace.beside_turns_bytes = 1;
    found(4, 1500, 2000);
    full_traffic(4500);
    cluster_->retire(*cluster_->machines[2]);
    EXPECT_LT(until([&] { return cluster_->machines[2]->gone; }, 20000), 4100);
    cluster_->time.run_until(cluster_->time.now() + 8000);
    expect_copies(2);
}

// By that others may keep it waiting. It runs on through all pages of a repair; the next begins anew.
TEST_F(RepairTest, AMachineTellsForHowLongItHasRepaired) {
    options_.repair_pace.on = true;
    options_.repair_pace.beside_turns_bytes = 1;
    found(4, 6000, 400);
    Machine& machine = *cluster_->machines[1];
    std::vector<std::int64_t> told;
    cluster_->before_fetch = [&](const Machine& asker, const std::string&,
                                 const wire::FetchRequest& request) {
        if (&asker == &machine && !request.ids.empty()) told.push_back(request.repairing_ms);
    };
    cluster_->wipe(machine);
    full_traffic(4000);
    cluster_->time.run_until(cluster_->time.now() + 500);
    cluster_->start(machine);
    const auto has_waited = [&] { return !told.empty() && told.back() >= 1000; };
    until([&] { return !told.empty(); }, 4100);
    ASSERT_FALSE(told.empty());
    EXPECT_LT(until(has_waited, 4100), 1200);
    EXPECT_EQ(told.front(), 0);
    EXPECT_TRUE(std::is_sorted(told.begin(), told.end()));
    until([&] { return cluster_->settled(); }, 4100);
    cluster_->time.run_until(cluster_->time.now() + 6000);

    told.clear();
    cluster_->wipe(*cluster_->machines[2]);
    cluster_->start(*cluster_->machines[2]);
    until([&] { return !told.empty(); }, 10000);
    ASSERT_FALSE(told.empty()) << "it takes copies in the place of those that were lost";
    EXPECT_EQ(told.front(), 0);
}

// Its writer names one holder, then two; meanwhile another member has taken a copy in place of the second.
// The program has no ledger entries, so most members never hear of it.
TEST_F(RepairTest, AllAgreeOnWhoHoldsATurnThatNamedFewerHoldersAtFirst) {
    found(6, 1);
    cluster_->time.run_until(cluster_->time.now() + 5000);  // all have been followed
    wire::TurnRecord record;
    record.id = "late";
    record.program = "p";
    record.keep_for_s = 60;
    const auto write_to = [&](Machine& machine) {
        wire::EndTurnRequest request;
        request.map_epoch = cluster_->map.epoch;
        request.identity = machine.identity;
        request.program = record.program;
        request.keep_for_s = record.keep_for_s;
        request.__set_record(record);
        machine.process->end(request, [](const wire::EndTurnReply& reply) {
            EXPECT_EQ(reply.status, wire::StorageStatus::ok);
        });
    };
    Machine& first = *cluster_->machines[0];
    record.holders = {first.identity};
    write_to(first);
    cluster_->time.run_until(cluster_->time.now() + 4000);
    ASSERT_EQ(cluster_->zones_with("late").size(), 2U);
    const auto second = std::find_if(cluster_->machines.begin(), cluster_->machines.end(),
                                     [](const auto& machine) { return !machine->process->holds("late"); });
    ASSERT_NE(second, cluster_->machines.end());
    record.holders = {first.identity, (*second)->identity};
    write_to(first);
    write_to(**second);
    cluster_->time.run_until(cluster_->time.now() + 9000);
    for (const auto& one : cluster_->machines) {
        for (const auto& other : cluster_->machines) {
            if (one == other) continue;
            EXPECT_EQ(one->process->shared_digests(other->identity, 16),
                      other->process->shared_digests(one->identity, 16))
                << one->node << " and " << other->node;
        }
    }
}

// Its address answers again at once, from an empty disk: that is no word of what it told of before.
TEST_F(RepairTest, AMemberThatIsWipedWhileItIsAskedHasNotBeenFollowed) {
    found(4, 60);
    Machine& returned = *cluster_->machines[3];
    cluster_->lose_power(returned);
    write(60, 400);
    Machine* wiped = nullptr;
    std::uint64_t failed = 0;
    cluster_->before_fetch = [&](const Machine&, const std::string& address, const wire::FetchRequest&) {
        if (wiped) return;
        wiped = cluster_->at(address);
        failed = returned.repair->counts().failed;
        cluster_->wipe(*wiped);
        cluster_->start(*wiped);
    };
    cluster_->start(returned);
    until([&] { return wiped && returned.repair->counts().failed > failed; }, 2000);
    ASSERT_TRUE(wiped);
    EXPECT_GT(returned.repair->counts().failed, failed);
    EXPECT_TRUE(returned.repair->busy());
    EXPECT_LT(until([&] { return cluster_->settled(); }, 20000), 4100);
    expect_copies(2);
}

TEST_F(RepairTest, ANewMemberVotesOnlyAfterItHasHeardAllOthers) {
    found(4, 60);
    cluster_->machines[2]->cut = true;
    Machine& machine = *cluster_->machines[1];
    cluster_->wipe(machine);
    cluster_->start(machine);
    cluster_->time.run_until(cluster_->time.now() + 4000);
    EXPECT_FALSE(machine.process->voting());
    EXPECT_EQ(machine.repair->note(), "");
    cluster_->machines[2]->cut = false;
    EXPECT_LT(until([&] { return machine.process->voting(); }, 10000), 4100);
}

TEST_F(RepairTest, AMachineThatWasDownLearnsWhatItMissed) {
    found(4, 60);
    cluster_->lose_power(*cluster_->machines[3]);
    write(60, 400);
    cluster_->start(*cluster_->machines[3]);
    EXPECT_LT(until([&] { return cluster_->machines[3]->process->index().entries("program-3").size() == 7; },
                    10000),
              4100);
    EXPECT_EQ(cluster_->machines[3]->process->index().programs().size(), 17u);
}

TEST_F(RepairTest, AMachineGoneForGoodIsReplacedByCopiesElsewhere) {
    found(4, 100);
    cluster_->remove_for_good(*cluster_->machines[0]);
    until([&] { return cluster_->map.members.size() == 3; }, 20000);
    EXPECT_LT(until([&] { return cluster_->settled(); }, 20000), 4100);
    EXPECT_EQ(cluster_->map.members.size(), 3u);
    expect_copies(2);
}

TEST_F(RepairTest, ARetiringMachineGoesOnceAllItsTurnsAreElsewhere) {
    found(4, 300);
    cluster_->retire(*cluster_->machines[2]);
    EXPECT_LT(until([&] { return cluster_->machines[2]->gone; }, 20000), 3000);
    expect_copies(2);
}

// The one that is down would be among the new holders: those that answer take its place.
TEST_F(RepairTest, ARetiringMachineDoesNotWaitForOneThatIsDown) {
    found(4, 300);
    std::vector<std::string> held;
    for (const std::string& id : ids_)
        if (cluster_->machines[2]->process->holds(id)) held.push_back(id);
    EXPECT_GT(held.size(), 50u);
    cluster_->lose_power(*cluster_->machines[1]);
    cluster_->retire(*cluster_->machines[2]);
    EXPECT_LT(until([&] { return cluster_->machines[2]->gone; }, 20000), 8000);
    for (const std::string& id : held) EXPECT_GE(cluster_->zones_with(id).size(), 2u) << id;
    cluster_->start(*cluster_->machines[1]);
    cluster_->time.run_until(cluster_->time.now() + 4100);
    expect_copies(2);
}

// Two that answer are needed for two copies.
TEST_F(RepairTest, ARetiringMachineStaysWhereCopiesHaveNoPlace) {
    found(3, 60);
    cluster_->lose_power(*cluster_->machines[1]);
    cluster_->retire(*cluster_->machines[2]);
    cluster_->time.run_until(cluster_->time.now() + 6000);
    EXPECT_FALSE(cluster_->machines[2]->gone);
    cluster_->start(*cluster_->machines[1]);
    EXPECT_LT(until([&] { return cluster_->machines[2]->gone; }, 20000), 4100);
    expect_copies(2);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
