// Snapshots of the index: what a start by one reads, and power lost, disks full and failing while one is
// written.
#include "snapshot_rig.hpp"

namespace whinledge::storage_plane::test {
namespace {

TEST(Snapshots, AStartByOneReadsOnlyWhatLiesBehindIt) {
    SnapshotMember member;
    fill_and_write(member, 40);
    ASSERT_TRUE(member.end(40));
    const IndexState before = state_of(*member.node);
    ASSERT_TRUE(member.open());
    EXPECT_TRUE(member.node->started().by_snapshot);
    EXPECT_LT(member.node->replayed().records, 12u);
    EXPECT_GT(member.counter("unchecked_bytes"), 4000u);
    EXPECT_EQ(member.counter("by_snapshot"), 1u);
    EXPECT_EQ(state_of(*member.node), before);
    for (int i = 0; i <= 40; ++i) {
        const auto records = member.node->records({SnapshotMember::record(i).id}, 1000);
        ASSERT_EQ(records.size(), 1u);
        EXPECT_EQ(records.front().output, SnapshotMember::record(i).output);
    }
    EXPECT_EQ(by_the_log(member), before);
    EXPECT_GT(member.node->replayed().records, 80u);
}

TEST(Snapshots, WhatAStartHasNotReadIsCheckedAPieceASecond) {
    SnapshotMember member;
    fill_and_write(member, 40);
    ASSERT_TRUE(member.open());
    std::uint64_t left = member.counter("unchecked_bytes");
    ASSERT_GT(left, 4000u);
    for (int i = 0; i < 30 && left > 0; ++i) {
        member.second();
        const std::uint64_t now = member.counter("unchecked_bytes");
        EXPECT_LT(now, left);
        EXPECT_LE(left - now, member.snapshots.scrub_bytes);
        left = now;
    }
    EXPECT_EQ(left, 0u);
    EXPECT_FALSE(member.node->must_restart());
}

TEST(Snapshots, OffTheyAreNeitherReadNorWrittenNorKept) {
    SnapshotMember member;
    fill_and_write(member);
    const IndexState before = state_of(*member.node);
    ASSERT_TRUE(member.has(kSnapshot));
    member.snapshots.on = false;
    ASSERT_TRUE(member.open());
    EXPECT_FALSE(member.node->started().by_snapshot);
    EXPECT_FALSE(member.has(kSnapshot));
    EXPECT_EQ(state_of(*member.node), before);
    for (int i = 0; i < 30; ++i) member.second();
    EXPECT_FALSE(member.has(kSnapshot));
}

TEST(Snapshots, BytesWrittenAreBoundedByBytesAppended) {
    SnapshotMember member;
    member.snapshots.least_appended = 2000;
    member.snapshots.appended_per_byte = 2;
    ASSERT_TRUE(member.open());
    member.found();
    for (int i = 0; i < 400; ++i) {
        ASSERT_TRUE(member.end(i, 3000));
        member.second();
    }
    ASSERT_EQ(member.node->index().turns().size(), 400u);  // nothing was reclaimed
    EXPECT_GT(member.written(), 2u);
    // All but the newest, and what is written of the next, were followed by twice their bytes.
    EXPECT_LE(member.counter("snapshot_bytes_written") - member.counter("snapshot_bytes"),
              member.counter("disk_bytes") / 2 + member.counter("snapshot_bytes"));
}

TEST(Snapshots, AnIndexThatIsTooLargeGetsNone) {
    SnapshotMember member;
    member.snapshots.most_bytes = 600;
    fill(member, 30);
    EXPECT_FALSE(member.write_snapshot(40));
    EXPECT_EQ(member.counter("snapshots_given_up"), 1u);
    EXPECT_FALSE(member.has(kSnapshot));
    EXPECT_FALSE(member.has("index.snapshot.new"));
}

TEST(Snapshots, NoPieceIsWrittenWhileATurnWaitsForItsSync) {
    SnapshotMember member;
    fill(member);
    const wire::TurnRecord turn = SnapshotMember::record(kTurns);
    member.node->take_in({turn}, {}, [](bool synced) { EXPECT_TRUE(synced); });
    const std::uint64_t operations = member.disk.operations;
    member.node->tick();
    EXPECT_EQ(member.disk.operations, operations);
    member.node->commit();
    EXPECT_TRUE(member.write_snapshot());
}

// Power goes at each write, sync, rename and sync of the folder in turn, with turns going on between.
TEST(Snapshots, PowerLostAtEachOperation) {
    int by_snapshot = 0, by_log = 0;
    const auto play = [](SnapshotMember& member, int& ended) {
        for (int i = 0; i < 12 && member.disk.powered(); ++i) {
            member.second();
            if (member.end(kTurns + i)) ended = kTurns + i + 1;
        }
    };
    SnapshotMember whole;
    fill(whole);
    const std::uint64_t first = whole.disk.operations;
    int all = kTurns;
    play(whole, all);
    ASSERT_GT(whole.written(), 0u);
    for (std::uint64_t at = first; at <= whole.disk.operations; ++at)
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            SnapshotMember member;
            fill(member);
            const std::int64_t identity = member.node->identity();
            member.disk.power_goes_at = at;
            int ended = kTurns;
            play(member, ended);
            Random random(seed);
            member.disk.lose_power(random);
            const std::string where = "operation " + std::to_string(at) + ", seed " + std::to_string(seed);
            ASSERT_TRUE(member.open()) << where;
            ++(member.node->started().by_snapshot ? by_snapshot : by_log);
            EXPECT_EQ(member.node->identity(), identity) << where;
            EXPECT_TRUE(member.node->voting()) << where;
            EXPECT_FALSE(member.has("index.snapshot.new")) << where;
            for (int i = 0; i < ended; ++i)
                ASSERT_TRUE(member.node->holds(SnapshotMember::record(i).id)) << where << ", turn " << i;
            const IndexState state = state_of(*member.node);
            EXPECT_EQ(by_the_log(member), state) << where;
        }
    EXPECT_GT(by_snapshot, 20);
    EXPECT_GT(by_log, 20);
}

// An operation fails or finds no room: the snapshot is given up, and turns go on.
TEST(Snapshots, FailuresWhileOneIsWritten) {
    for (const DiskFault fault : {DiskFault::io, DiskFault::full}) {
        SnapshotMember whole;
        fill_and_write(whole);
        const std::uint64_t last = whole.disk.operations;
        SnapshotMember begun;
        fill(begun);
        for (std::uint64_t at = begun.disk.operations; at < last; ++at) {
            SnapshotMember member;
            fill(member);
            member.disk.fails_at = at;
            member.disk.fails_with = fault;
            const std::string where = "operation " + std::to_string(at);
            for (int i = 0; i < 20; ++i) member.second();
            EXPECT_EQ(member.counter("snapshots_given_up"), 1u) << where;
            EXPECT_EQ(member.counter("disk_failures"), 0u) << where;
            EXPECT_TRUE(member.end(kTurns)) << where;
            const IndexState before = state_of(*member.node);
            ASSERT_TRUE(member.open()) << where;
            EXPECT_EQ(state_of(*member.node), before) << where;
        }
    }
}

TEST(Snapshots, AFullDiskEndsTheOneThatIsWrittenAndTurnsGoOn) {
    SnapshotMember member;
    fill(member, 40);
    member.second();
    member.disk.room = member.disk.bytes() + 500;
    for (int i = 0; i < 10; ++i) member.second();
    EXPECT_EQ(member.written(), 0u);
    EXPECT_EQ(member.counter("snapshots_given_up"), 1u);
    EXPECT_TRUE(member.end(40));
    EXPECT_EQ(member.counter("disk_failures"), 0u);
}

TEST(Snapshots, AFailedCommitGivesTheOneUnderWayUp) {
    SnapshotMember member;
    fill(member, 40);
    member.second();
    ASSERT_TRUE(member.has("index.snapshot.new"));
    member.disk.room = member.disk.bytes() + 100;
    EXPECT_FALSE(member.end(40));
    EXPECT_FALSE(member.has("index.snapshot.new"));
    EXPECT_TRUE(member.end(41));  // in the room that it had
}

// Records of another version's kind were left out of the index: a snapshot would hide them from a version
// that knows them.
TEST(Snapshots, NoneIsWrittenWhereRecordsWereLeftOut) {
    SnapshotMember member;
    fill(member);
    member.node.reset();
    {
        SegmentLog::Replay replay;
        auto log = SegmentLog::open(
            member.disk, {1500, 1U << 20}, [](const Place&, std::string_view) {}, replay);
        ASSERT_TRUE(log);
        log.value()->append("\x09 of a kind to come");
        ASSERT_TRUE(log.value()->commit());
    }
    ASSERT_TRUE(member.open());
    EXPECT_EQ(member.node->counts().unreadable_records, 1u);
    for (int i = kTurns; i < 60; ++i) ASSERT_TRUE(member.end(i));
    EXPECT_FALSE(member.write_snapshot(30));
}

}  // namespace
}  // namespace whinledge::storage_plane::test
