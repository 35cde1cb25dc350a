// Single hard cases of the storage plane, each at every moment at which it may strike: what was acknowledged
// is there afterwards, nothing of it is ever denied, and no budget holds twice.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>

#include "hard_case.hpp"

namespace whinledge::storage_plane::test {
namespace {

// ---- Power and disks, at every operation of the disk and just after the answer

enum class Loss { power, disk, all_power_and_one_disk };

void strike(HardCase& test, Machine& machine, Loss loss) {
    for (const auto& each : test.cluster.machines) {
        const bool struck = each.get() == &machine;
        if (!struck && loss != Loss::all_power_and_one_disk) continue;
        if (struck && loss != Loss::power)
            test.cluster.wipe(*each);
        else
            test.cluster.lose_power(*each);
        test.cluster.time.after(test.cluster.between(50, 900),
                                [&test, each = each.get()] { test.cluster.start(*each); });
    }
}

// An acknowledged turn is read whole afterwards, and is denied at no time. A reservation that was granted
// stays counted.
void expect_kept(HardCase& test, bool acknowledged, bool reserved, const std::string& what) {
    ClusterEdge& reader = test.edge("c");
    for (int look = 0; look < 12; ++look) {
        const auto outcome = test.begins(reader, test.start("look-" + std::to_string(look), "turn"));
        test.run(200);
        if (acknowledged && *outcome) {
            EXPECT_NE((*outcome)->status, BeginStatus::no_such_turn) << what;
        }
    }
    ASSERT_TRUE(test.settles()) << what;
    const BegunTurn read = test.begun(reader, test.start("read", "turn"));
    if (acknowledged) {
        ASSERT_EQ(read.status, BeginStatus::ok) << what;
        ASSERT_EQ(read.chain.size(), 2u) << what;
        EXPECT_EQ(read.chain[0].input, "in parent") << what;
        EXPECT_EQ(read.chain[1].output, "out turn\n") << what;
    }
    if (reserved) {
        EXPECT_NE(test.begun(reader, test.start("too much", "", 100, 60)).status, BeginStatus::ok) << what;
    }
}

void power_goes(Loss loss, std::uint64_t operation, std::size_t whose) {
    const std::string what = "loss " + std::to_string(static_cast<int>(loss)) + " at operation " +
                             std::to_string(operation) + " of machine " + std::to_string(whose);
    HardCase test(operation * 10 + whose + 1);
    test.found();
    ClusterEdge& edge = test.edge("a");
    ASSERT_TRUE(test.ended(edge, test.whole_turn("parent")));
    Machine& machine = test.machine(whose);
    machine.disk.power_goes_at = machine.disk.operations + operation;
    const std::uint64_t life = machine.life;
    const auto reserved = test.begins(edge, test.start("reserving", "", 100, 60));
    const auto durable = test.ends(edge, test.whole_turn("turn", "parent"));
    for (int ms = 0; ms < 400 && machine.life == life; ++ms) test.run(1);
    if (machine.life == life) machine.disk.power_goes_at = SimulatedDisk::kNever;
    strike(test, machine, loss);
    test.run(kTurnMs + 500);
    const bool granted = *reserved && (*reserved)->status == BeginStatus::ok;
    expect_kept(test, durable->value_or(false), granted, what);
}

TEST(StorageHardCases, PowerGoesAtEveryOperationOfADisk) {
    for (const Loss loss : {Loss::power, Loss::disk, Loss::all_power_and_one_disk})
        for (std::uint64_t operation = 0; operation < 8; ++operation)
            for (const std::size_t whose : {0u, 1u, 2u}) power_goes(loss, operation, whose);
}

TEST(StorageHardCases, LossesRightAfterTheAnswer) {
    for (const Loss loss : {Loss::power, Loss::disk, Loss::all_power_and_one_disk}) {
        for (int seed = 1; seed <= 24; ++seed) {
            HardCase test(static_cast<std::uint64_t>(seed));
            test.found();
            ClusterEdge& edge = test.edge("a");
            ASSERT_TRUE(test.ended(edge, test.whole_turn("parent")));
            bool durable = false;
            const auto reserved = test.begins(edge, test.start("reserving", "", 100, 60));
            edge.end(test.whole_turn("turn", "parent"), kTurnMs, [&](bool well) {
                durable = well;
                test.cluster.time.after(test.cluster.between(0, 4), [&] {
                    strike(test, test.machine(static_cast<std::size_t>(seed % 4)), loss);
                });
            });
            test.run(kTurnMs + 500);
            EXPECT_TRUE(durable);
            const bool granted = *reserved && (*reserved)->status == BeginStatus::ok;
            expect_kept(test, durable, granted, "seed " + std::to_string(seed));
        }
    }
}

// Everybody's power goes in the moment in which the end of a turn is acknowledged.
bool kept_past_power(std::uint64_t seed, bool planted_answers_unsynced) {
    HardCase test(seed);
    test.cluster.planted_answers_unsynced = planted_answers_unsynced;
    test.found();
    const auto durable = test.ends(test.edge("a"), test.whole_turn("turn"));
    while (!*durable) test.run(.05);
    EXPECT_TRUE(**durable) << seed;
    for (const auto& machine : test.cluster.machines) test.cluster.lose_power(*machine);
    for (const auto& machine : test.cluster.machines) test.cluster.start(*machine);
    EXPECT_TRUE(test.settles()) << seed;
    return test.begun(test.edge("b"), test.start("read", "turn")).status == BeginStatus::ok;
}

TEST(StorageHardCases, AllPowerGoesAtTheAnswer) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) EXPECT_TRUE(kept_past_power(seed, false)) << seed;
}

TEST(StorageHardCases, TheCheckerFindsAnswersBeforeTheSync) {
    int lost = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) lost += !kept_past_power(seed, true);
    EXPECT_GT(lost, 0);
}

TEST(StorageHardCases, AWipedMachineBackAtOnceDeniesNothing) {
    for (int seed = 1; seed <= 20; ++seed) {
        HardCase test(static_cast<std::uint64_t>(seed), {.machines = 3});
        test.found();
        test.map_delay_ms = 1500;  // some edges go on by the old map
        ClusterEdge& edge = test.edge("a");
        ASSERT_TRUE(test.ended(edge, test.whole_turn("parent")));
        ASSERT_TRUE(test.ended(edge, test.whole_turn("turn", "parent")));
        test.cluster.wipe(test.machine(static_cast<std::size_t>(seed % 3)));
        test.cluster.start(test.machine(static_cast<std::size_t>(seed % 3)));
        expect_kept(test, true, false, "seed " + std::to_string(seed));
    }
}

TEST(StorageHardCases, TwoOfThreeCopiesRestartInTurn) {
    for (int seed = 1; seed <= 20; ++seed) {
        HardCase test(static_cast<std::uint64_t>(seed), {.machines = 5, .survive = {.machines = 2}});
        test.found();
        ClusterEdge& edge = test.edge("a");
        ASSERT_TRUE(test.ended(edge, test.whole_turn("parent")));
        ASSERT_TRUE(test.ended(edge, test.whole_turn("turn", "parent")));
        std::vector<Machine*> holders;
        for (const auto& machine : test.cluster.machines)
            if (machine->process->holds("turn")) holders.push_back(machine.get());
        ASSERT_GE(holders.size(), 3u);
        for (int i = 0; i < 2; ++i) {
            test.cluster.lose_power(*holders[static_cast<std::size_t>(i)]);
            test.run(400);
            test.cluster.start(*holders[static_cast<std::size_t>(i)]);
            test.run(50);
        }
        expect_kept(test, true, false, "seed " + std::to_string(seed));
    }
}

// Of five voters a reservation may stand at three; the disks of two of these are lost at once, and the one
// that is left is slow to tell the others. Whether the budget is granted once more.
bool granted_past_lost_disks(std::uint64_t seed, const LedgerSpread::Planted& planted) {
    HardCase test(seed, {.machines = 5, .survive = {.machines = 2}});
    test.cluster.planted_ledgers = planted;
    test.found();
    ClusterEdge& first = test.edge("c");
    first.unreachable = {test.machine(0).address, test.machine(1).address};
    ClusterEdge& second = test.edge("a");
    second.unreachable = {test.machine(2).address};
    const auto reserved = test.begins(first, test.start("first", "", 100, 60));
    test.run(120);
    EXPECT_TRUE(*reserved && (*reserved)->status == BeginStatus::ok) << seed;
    test.machine(2).frozen = true;
    for (const std::size_t lost : {3u, 4u}) test.cluster.wipe(test.machine(lost));
    for (const std::size_t lost : {3u, 4u}) test.cluster.start(test.machine(lost));
    // One after the other: two at once would refuse each other.
    for (int look = 0; look < 4; ++look) {
        const auto also = test.begins(second, test.start("look-" + std::to_string(look), "", 100, 60));
        for (int ms = 0; ms < 1600 && !*also; ms += 5) test.run(5);
        if (*also && (*also)->status == BeginStatus::ok) return true;
    }
    return false;
}

TEST(StorageHardCases, TwoOfFiveDisksLostAtOnceSpendNoBudgetTwice) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) ASSERT_FALSE(granted_past_lost_disks(seed, {})) << seed;
}

// The next map is taken over although majorities under it need not meet those before.
TEST(StorageHardCases, TheCheckerFindsMapsWithoutAJointEpoch) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 40 && !found; ++seed)
        found = granted_past_lost_disks(seed, {.any_change = true});
    EXPECT_TRUE(found);
}

// ---- The network

TEST(StorageHardCases, ACutThatLeavesTheWriterOneReplica) {
    HardCase test(3);
    test.found();
    ClusterEdge& edge = test.edge("a");
    for (const std::size_t index : {1u, 2u, 3u}) edge.unreachable.insert(test.machine(index).address);
    EXPECT_FALSE(test.ended(edge, test.whole_turn("turn")));
    EXPECT_EQ(test.begun(edge, test.start("reserving", "", 100, 60)).status, BeginStatus::unavailable);
    EXPECT_EQ(test.begun(edge, test.start("reading", "unheard of")).status, BeginStatus::unavailable);
    edge.unreachable.clear();
    EXPECT_TRUE(test.ended(edge, test.whole_turn("turn")));
    test.run(8000);  // what was reserved in vain has been taken back
    EXPECT_EQ(test.begun(edge, test.start("again", "", 100, 60)).status, BeginStatus::ok);
}

// Maps change, and machines leave with their disks, at each moment of a write.
TEST(StorageHardCases, AMapThatChangesWhileAWriteIsUnderWay) {
    for (int offset = 0; offset < 30; ++offset) {
        HardCase test(static_cast<std::uint64_t>(offset) + 1);
        test.found();
        test.map_delay_ms = 60;
        ClusterEdge& edge = test.edge("a");
        ASSERT_TRUE(test.ended(edge, test.whole_turn("parent")));
        test.cluster.time.after(offset / 2.0, [&] { test.cluster.retire(test.machine(0)); });
        const auto durable = test.ends(edge, test.whole_turn("turn", "parent"));
        const auto reserved = test.begins(edge, test.start("reserving", "", 100, 60));
        test.run(12000);
        EXPECT_TRUE(test.machine(0).gone) << offset;
        const bool granted = *reserved && (*reserved)->status == BeginStatus::ok;
        expect_kept(test, durable->value_or(false), granted, "offset " + std::to_string(offset));
        if (durable->value_or(false)) {
            EXPECT_GE(test.cluster.zones_with("turn").size(), 2u) << offset;
        }
    }
}

// Members that were dropped while they were cut off from the others, but not from an edge with their old map.
BeginStatus begun_past_dropped_members(std::uint64_t seed, bool planted) {
    HardCase test(seed, {.machines = 5});
    test.cluster.planted_serves_stale_maps = planted;
    test.found();
    ClusterEdge& stale = test.edge("a");
    ClusterEdge& current = test.edge("b");
    stale.unreachable = {test.machine(0).address, test.machine(1).address};
    current.unreachable = {test.machine(2).address, test.machine(3).address, test.machine(4).address};
    wire::StorageMap old = test.cluster.map;
    // Both know of it: the dropped ones, who are cut off, do not.
    wire::StorageMap next = old;
    next.epoch = old.epoch + 2;
    std::erase_if(next.members, [&](const wire::StorageMember& member) {
        return member.node == test.machine(3).node || member.node == test.machine(4).node;
    });
    for (const std::size_t index : {0u, 1u, 2u}) {
        test.machine(index).process->set_map(next);
        test.machine(index).process->mark_filled();
    }
    current.set_map(next);
    const auto spent = test.begins(current, test.start("current", "", 100, 60));
    test.run(100);
    EXPECT_TRUE(*spent && (*spent)->status == BeginStatus::ok);
    const auto also = test.begins(stale, test.start("stale", "", 100, 60));
    test.run(100);
    return *also ? (*also)->status : BeginStatus::unavailable;
}

TEST(StorageHardCases, AnOldMapFindsNoMajority) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        EXPECT_NE(begun_past_dropped_members(seed, false), BeginStatus::ok) << seed;
}

TEST(StorageHardCases, TheCheckerFindsMembersThatServeOldMaps) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        found |= begun_past_dropped_members(seed, true) == BeginStatus::ok;
    EXPECT_TRUE(found);
}

TEST(StorageHardCases, AFrozenReplicaThawsAfterItsRangeHasMoved) {
    for (int seed = 1; seed <= 10; ++seed) {
        HardCase test(static_cast<std::uint64_t>(seed), {.machines = 5});
        test.found();
        ClusterEdge& edge = test.edge("a");
        ClusterEdge& old = test.edge("b");
        ASSERT_TRUE(test.ended(edge, test.whole_turn("parent")));
        Machine& frozen = test.machine(0);
        frozen.frozen = true;
        const auto durable = test.ends(edge, test.whole_turn("turn", "parent"));
        test.run(12000);  // dropped, and its turns copied
        EXPECT_EQ(storage_map::find_member(test.cluster.map, frozen.identity), nullptr);
        EXPECT_TRUE(durable->value_or(false));
        const auto asked = test.begins(old, test.start("asked", "turn"));
        frozen.frozen = false;
        test.run(200);
        if (*asked) {
            EXPECT_NE((*asked)->status, BeginStatus::no_such_turn);
        }
        expect_kept(test, true, false, "seed " + std::to_string(seed));
    }
}

// ---- Programs

TEST(StorageHardCases, TheLastTokensThroughFourSidecarsAtOnce) {
    int granted_at_all = 0;
    for (int seed = 1; seed <= 150; ++seed) {
        HardCase test(static_cast<std::uint64_t>(seed), {.machines = 3 + seed % 3, .late_share = 0.05});
        test.found();
        std::vector<std::shared_ptr<std::optional<BegunTurn>>> begun;
        for (const char* zone : {"a", "b", "c", "d"}) {
            const std::string id = std::string("from-") + zone;
            begun.push_back(test.begins(test.edge(zone), test.start(id, "", 100, 60)));
            test.run(test.cluster.between(0, 1));
        }
        test.run(kTurnMs + 200);
        int granted = 0;
        for (const auto& one : begun) granted += *one && (*one)->status == BeginStatus::ok;
        ASSERT_LE(granted, 1) << "seed " << seed;
        granted_at_all += granted;
    }
    EXPECT_GT(granted_at_all, 0);
}

TEST(StorageHardCases, ASidecarThatEndsLeavesItsReservationsCounted) {
    HardCase test(5);
    test.found();
    ClusterEdge& first = test.edge("a");
    ASSERT_EQ(test.begun(first, test.start("unsent", "", 100, 30)).status, BeginStatus::ok);
    ASSERT_EQ(test.begun(first, test.start("sent", "", 100, 30)).status, BeginStatus::ok);
    first.crash();  // one before its turn was sent, one before it was settled: nobody knows which
    ClusterEdge& second = test.edge("b");
    EXPECT_EQ(test.begun(second, test.start("too much", "", 100, 50)).status, BeginStatus::budget_spent);
    test.run(2000);
    EXPECT_EQ(test.begun(second, test.start("the rest", "", 100, 40)).status, BeginStatus::ok);
}

TEST(StorageHardCases, ATurnSettledTwiceCountsOnce) {
    HardCase test(6);
    test.found();
    ClusterEdge& first = test.edge("a");
    ClusterEdge& second = test.edge("b");
    ASSERT_EQ(test.begun(first, test.start("turn", "", 100, 60)).status, BeginStatus::ok);
    EXPECT_TRUE(test.ended(first, test.whole_turn("turn")));
    EXPECT_TRUE(test.ended(second, test.whole_turn("turn")));  // the same bytes are the same turn
    TurnEnd other = test.whole_turn("turn");
    other.record.output = "something else\n";
    const auto durable = test.ends(second, other);
    test.run(kTurnMs + 200);
    EXPECT_FALSE(durable->value_or(false));
    EXPECT_EQ(test.begun(second, test.start("the rest", "", 100, 90)).status, BeginStatus::ok);
    EXPECT_EQ(test.begun(second, test.start("one more", "", 100, 1)).status, BeginStatus::budget_spent);
}

TEST(StorageHardCases, TwoChildrenOfOneTurnAtOnce) {
    for (int seed = 1; seed <= 10; ++seed) {
        HardCase test(static_cast<std::uint64_t>(seed));
        test.found();
        ClusterEdge& first = test.edge("a");
        ClusterEdge& second = test.edge("b");
        ASSERT_TRUE(test.ended(first, test.whole_turn("parent")));
        const auto one = test.ends(first, test.whole_turn("one", "parent"));
        const auto two = test.ends(second, test.whole_turn("two", "parent"));
        test.run(kTurnMs);
        ASSERT_TRUE(one->value_or(false) && two->value_or(false));
        for (const char* child : {"one", "two"}) {
            const BegunTurn read =
                test.begun(test.edge("c"), test.start(std::string("after ") + child, child));
            ASSERT_EQ(read.status, BeginStatus::ok);
            ASSERT_EQ(read.chain.size(), 2u);
            EXPECT_EQ(read.chain[0].id, "parent");
            EXPECT_EQ(read.chain[1].id, child);
        }
    }
}

// ---- Room

TEST(StorageHardCases, FullMembersRefuseAndLoseNothing) {
    HardCase test(8, {.machines = 3, .segment_bytes = 8U << 10, .disk_bytes = 100'000});
    test.found();
    ClusterEdge& edge = test.edge("a");
    std::vector<std::string> kept;
    bool refused = false;
    for (int i = 0; i < 400 && !refused; ++i) {
        TurnEnd end = test.whole_turn("turn-" + std::to_string(i));
        end.record.input = std::string(1000, 'i');
        const auto durable = test.ends(edge, end);
        test.run(30);
        if (!*durable) test.run(kTurnMs);
        if (durable->value_or(false))
            kept.push_back(end.turn);
        else
            refused = true;
    }
    EXPECT_TRUE(refused);
    EXPECT_GT(kept.size(), 20u);
    for (const std::string& id : kept) {
        const auto outcome = test.begins(edge, test.start("after " + id, id));
        test.run(60);
        ASSERT_TRUE(*outcome);
        EXPECT_EQ((*outcome)->status, BeginStatus::ok) << id;
    }
}

// ---- Repair

struct PlantedDigests {
    bool half = false;        // half of the ranges are not compared
    bool last_range = false;  // the last one is not
};

// A turn that was left out of what a member was told of the others' changes is found by comparing digests.
bool missed_turn_is_repaired(const std::string& program, PlantedDigests planted) {
    HardCase test(9, {.machines = 3});
    test.cluster.planted_half_digests = planted.half;
    test.cluster.planted_skips_last_range = planted.last_range;
    test.found();
    TurnEnd end = test.whole_turn("turn");
    end.program = end.record.program = program;
    EXPECT_TRUE(test.ended(test.edge("a"), end));
    test.cluster.missed_turns = {"turn"};
    Machine& holder = test.machine(test.machine(0).process->holds("turn") ? 0 : 1);
    test.cluster.wipe(holder);
    test.cluster.start(holder);
    EXPECT_TRUE(test.settles());
    EXPECT_EQ(test.cluster.zones_with("turn").size(), 1u);
    test.cluster.missed_turns.clear();
    test.run(30000);
    return test.cluster.zones_with("turn").size() >= 2;
}

std::string program_number(int number) { return "program-" + std::to_string(number); }

// A program whose turns lie in the first or the last of the ranges, as long as these are no more than that.
std::string program_at_edge(bool last) {
    constexpr std::size_t kRangesAtMost = 1024;
    const std::size_t edge = last ? kRangesAtMost - 1 : 0;
    for (int number = 0;; ++number) {
        TurnStore store({});
        store.keep(program_number(number), 0, 1, 1, 0);
        const std::uint64_t hash = store.program(program_number(number))->hash;
        if (range_of(hash, kRangesAtMost) == edge) return program_number(number);
    }
}

TEST(StorageHardCases, WhatWasMissedIsFoundByItsDigest) {
    for (int program = 0; program < 12; ++program)
        EXPECT_TRUE(missed_turn_is_repaired(program_number(program), {})) << program;
    for (const bool last : {false, true})
        EXPECT_TRUE(missed_turn_is_repaired(program_at_edge(last), {})) << last;
}

TEST(StorageHardCases, TheCheckerFindsDigestsThatSkipRanges) {
    int lost = 0;
    for (int program = 0; program < 12; ++program)
        lost += !missed_turn_is_repaired(program_number(program), {.half = true});
    EXPECT_GT(lost, 0);
}

TEST(StorageHardCases, TheCheckerFindsDigestsThatSkipAnEdge) {
    EXPECT_FALSE(missed_turn_is_repaired(program_at_edge(true), {.last_range = true}));
}

}  // namespace
}  // namespace whinledge::storage_plane::test
