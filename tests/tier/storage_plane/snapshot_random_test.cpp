// Snapshots of the index: over random histories, a start by one knows what a start from the whole log knows.
#include "snapshot_rig.hpp"

namespace whinledge::storage_plane::test {
namespace {

struct History {
    SnapshotMember member;
    Random random;
    int turns = 0;
    std::int64_t epoch = 1;
    std::int32_t keep_for_s;
    bool merges = false;  // holders learned from others, which the log does not know

    History(std::uint64_t seed, std::int32_t keeps) : random(seed), keep_for_s(keeps) {
        member.random.seed(seed);
        member.snapshots.piece_bytes = 100 + random() % 500;
        member.snapshots.least_appended = 800 + random() % 3000;
        EXPECT_TRUE(member.open());
        member.found();
    }

    void step() {
        switch (random() % 9) {
            case 0:
            case 1:
            case 2:
            case 3:
                member.end(turns++, keep_for_s);
                break;
            case 4: {  // a reservation of a program that is there
                const wire::TurnRecord turn = SnapshotMember::record(
                    static_cast<int>(random() % static_cast<unsigned>(turns + 1)), keep_for_s);
                member.node->take_in({}, {SnapshotMember::ledger(turn, static_cast<int>(random() % 3))},
                                     [](bool) {});
                member.node->commit();
                break;
            }
            case 5:
                member.second();
                break;
            case 6: {  // a record with another holder
                wire::TurnRecord turn = SnapshotMember::record(
                    static_cast<int>(random() % static_cast<unsigned>(turns + 1)), keep_for_s);
                if (!member.node->holds(turn.id)) break;
                turn.holders.push_back(static_cast<std::int64_t>(random() % 5));
                if (merges) {
                    wire::TurnHead head;
                    head.id = turn.id;
                    head.holders = turn.holders;
                    member.node->merge_holders(head);
                    break;
                }
                member.node->take_in({turn}, {}, [](bool) {});
                member.node->commit();
                break;
            }
            case 7:
                if (random() % 10 == 0) member.found(++epoch);
                break;
            default:
                member.second();
        }
    }
};

TEST(Snapshots, AStartByOneKnowsWhatTheWholeLogSays) {
    int by_snapshot = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        History history(seed, 3000);
        SnapshotMember& member = history.member;
        for (int start = 0; start < 6; ++start) {
            const std::uint64_t steps = 20 + history.random() % 120;
            for (std::uint64_t i = 0; i < steps; ++i) history.step();
            const IndexState before = state_of(*member.node);
            if (history.random() % 2)
                member.disk.lose_power(history.random);
            else
                member.disk.recover();
            const std::string where = "seed " + std::to_string(seed) + ", start " + std::to_string(start);
            ASSERT_TRUE(member.open()) << where;
            by_snapshot += member.node->started().by_snapshot ? 1 : 0;
            const IndexState started = state_of(*member.node);
            ASSERT_EQ(started, before) << where;
            ASSERT_EQ(by_the_log(member), started) << where;
            ASSERT_TRUE(member.open());
        }
    }
    EXPECT_GT(by_snapshot, 300);
}

// Programs expire and segments go meanwhile, and holders are learned: a start by a snapshot holds all that
// was held, and nothing that the whole log would not.
TEST(Snapshots, WhatExpiredAndWasReclaimedDoesNotComeBackByOne) {
    int by_snapshot = 0, reclaimed = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        History history(seed, 2);
        history.merges = true;
        history.member.snapshots.least_appended = 300 + history.random() % 700;
        ASSERT_TRUE(history.member.open());
        SnapshotMember& member = history.member;
        for (int start = 0; start < 6; ++start) {
            const std::uint64_t steps = 20 + history.random() % 150;
            for (std::uint64_t i = 0; i < steps; ++i) history.step();
            const IndexState before = state_of(*member.node);
            const std::string first = member.disk.names().at(member.has(kSnapshot) ? 2 : 1);
            reclaimed += first != "segment-0000000000000001.log" ? 1 : 0;
            if (history.random() % 2) member.disk.lose_power(history.random);
            const std::string where = "seed " + std::to_string(seed) + ", start " + std::to_string(start);
            ASSERT_TRUE(member.open()) << where;
            by_snapshot += member.node->started().by_snapshot ? 1 : 0;
            const IndexState started = state_of(*member.node);
            expect_within(before, started, where);
            const IndexState replayed = by_the_log(member);
            expect_within(started, replayed, where + ", whole");
            EXPECT_EQ(started.identity, replayed.identity) << where;
            EXPECT_EQ(started.filled, replayed.filled) << where;
            EXPECT_EQ(started.epoch, replayed.epoch) << where;
            ASSERT_TRUE(member.open());
        }
    }
    EXPECT_GT(by_snapshot, 150);
    EXPECT_GT(reclaimed, 100);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
