// Snapshots of the index: damage of one, of the segments that it stands for, and segments that are gone.
#include <gtest/gtest.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

#include "snapshot_rig.hpp"

namespace whinledge::storage_plane::test {
namespace {

std::string with_checksum(std::string bytes) {
    const std::uint64_t checksum = XXH3_64bits(bytes.data(), bytes.size());
    bytes.append(reinterpret_cast<const char*>(&checksum), sizeof checksum);
    return bytes;
}

// ---- Damage of a snapshot

TEST(Snapshots, EachFlippedBitLeadsToAWholeReplay) {
    SnapshotMember member;
    fill_and_write(member, 6);
    const IndexState before = state_of(*member.node);
    const std::size_t size = member.disk.size_of(kSnapshot);
    ASSERT_GT(size, 300u);
    for (std::size_t at = 0; at < size; ++at)
        for (unsigned bit = 0; bit < 8; ++bit) {
            member.disk.flip(kSnapshot, at, bit);
            ASSERT_TRUE(member.open());
            EXPECT_FALSE(member.node->started().by_snapshot) << at << " " << bit;
            EXPECT_EQ(member.node->started().fault, SnapshotFault::damaged) << at << " " << bit;
            EXPECT_EQ(state_of(*member.node), before) << at << " " << bit;
            member.disk.flip(kSnapshot, at, bit);
        }
    ASSERT_TRUE(member.open());
    EXPECT_TRUE(member.node->started().by_snapshot);
}

TEST(Snapshots, EachTruncationLeadsToAWholeReplay) {
    SnapshotMember member;
    fill_and_write(member, 6);
    const IndexState before = state_of(*member.node);
    const std::string bytes = member.content(kSnapshot);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        member.put(kSnapshot, bytes.substr(0, size));
        ASSERT_TRUE(member.open());
        EXPECT_EQ(member.node->started().fault, SnapshotFault::damaged) << size;
        EXPECT_FALSE(member.node->started().by_snapshot) << size;
        EXPECT_EQ(state_of(*member.node), before) << size;
    }
}

TEST(Snapshots, AMissingOneLeadsToAWholeReplay) {
    SnapshotMember member;
    fill_and_write(member);
    const IndexState before = state_of(*member.node);
    ASSERT_TRUE(member.disk.remove(kSnapshot));
    ASSERT_TRUE(member.open());
    EXPECT_EQ(member.node->started().fault, SnapshotFault::none);
    EXPECT_EQ(state_of(*member.node), before);
}

TEST(Snapshots, OfAnotherVersionOrMalformedItLeadsToAWholeReplay) {
    SnapshotMember member;
    fill_and_write(member, 6);
    const IndexState before = state_of(*member.node);
    std::string bytes = member.content(kSnapshot);
    bytes.resize(bytes.size() - 8);
    std::string newer = bytes;
    newer[8] = static_cast<char>(newer[8] + 1);  // behind the magic number
    member.put(kSnapshot, with_checksum(newer));
    ASSERT_TRUE(member.open());
    EXPECT_EQ(member.node->started().fault, SnapshotFault::other_version);
    EXPECT_EQ(state_of(*member.node), before);
    // Whole by its checksum, cut in the middle of its items: nothing of it stays.
    member.put(kSnapshot, with_checksum(bytes.substr(0, bytes.size() - 40)));
    ASSERT_TRUE(member.open());
    EXPECT_FALSE(member.node->started().by_snapshot);
    EXPECT_EQ(member.node->started().fault, SnapshotFault::malformed);
    EXPECT_EQ(state_of(*member.node), before);
}

TEST(Snapshots, OfAnotherIdentityItLeadsToAWholeReplay) {
    SnapshotMember other;
    other.random.seed(99);
    fill_and_write(other, 30);
    SnapshotMember member;
    fill_and_write(member, 6);
    const IndexState before = state_of(*member.node);
    member.put(kSnapshot, other.content(kSnapshot));
    ASSERT_TRUE(member.open());
    EXPECT_EQ(member.node->started().fault, SnapshotFault::other_identity);
    EXPECT_EQ(state_of(*member.node), before);
}

TEST(Snapshots, AWipedDiskIsNewAlsoWithASnapshotOfBefore) {
    SnapshotMember member;
    fill_and_write(member);
    const std::int64_t identity = member.node->identity();
    const std::string bytes = member.content(kSnapshot);
    member.disk.wipe();
    ASSERT_TRUE(member.open());
    EXPECT_NE(member.node->identity(), identity);
    EXPECT_TRUE(member.node->index().turns().empty());
    member.disk.wipe();
    member.put(kSnapshot, bytes);
    ASSERT_TRUE(member.open());
    EXPECT_EQ(member.node->started().fault, SnapshotFault::other_identity);
    EXPECT_NE(member.node->identity(), identity);
    EXPECT_TRUE(member.node->index().turns().empty());
    EXPECT_FALSE(member.node->voting());
}

// ---- Segments that are gone

TEST(Snapshots, OlderThanSegmentsThatWereReclaimed) {
    SnapshotMember member;
    fill(member, 0);
    for (int i = 0; i < 40; ++i) {
        ASSERT_TRUE(member.end(i));
        member.second();
    }
    ASSERT_GT(member.written(), 0u);
    const std::string old = member.content(kSnapshot);
    bool in_part = false, passed = false;
    for (int i = 40; i < 160; ++i) {
        ASSERT_TRUE(member.end(i, 1));
        member.second();
        const IndexState before = state_of(*member.node);
        SnapshotMember copy;
        copy.now_ms = member.now_ms;
        for (const std::string& name : member.disk.names()) copy.put(name, member.content(name));
        copy.put(kSnapshot, old);
        ASSERT_TRUE(copy.open());
        const IndexState started = state_of(*copy.node);
        const std::string where = "after turn " + std::to_string(i);
        if (copy.node->started().by_snapshot && !copy.has("segment-0000000000000001.log")) in_part = true;
        if (!copy.node->started().by_snapshot) passed = true;
        EXPECT_FALSE(copy.node->replayed().damaged) << where;
        EXPECT_EQ(started.identity, before.identity) << where;
        expect_within(before, started, where);
        expect_within(started, by_the_log(copy), where + ", the whole log");
    }
    EXPECT_TRUE(in_part);
    EXPECT_TRUE(passed);
}

// A snapshot that goes further than the log: what it names was committed, and is gone.
TEST(Snapshots, ThatTheLogDoesNotReachSaysThatTheDiskHasForgotten) {
    SnapshotMember member;
    fill_and_write(member, 40);
    const std::int64_t identity = member.node->identity();
    std::string newest;
    for (const std::string& name : member.disk.names())
        if (name.starts_with("segment-")) newest = name;
    const std::string bytes = member.content(newest);
    member.put(newest, bytes.substr(0, bytes.size() - 30));
    ASSERT_TRUE(member.open());
    EXPECT_FALSE(member.node->started().by_snapshot);
    EXPECT_TRUE(member.node->replayed().damaged);
    EXPECT_NE(member.node->identity(), identity);
    EXPECT_FALSE(member.node->voting());
}

// ---- Damage of what a snapshot stands for

std::string covered_segment(SnapshotMember& member, int number) {
    std::vector<std::string> segments;
    for (const std::string& name : member.disk.names())
        if (name.starts_with("segment-")) segments.push_back(name);
    return segments.at(static_cast<std::size_t>(number));
}

void expect_taken_for_new(SnapshotMember& member, std::int64_t identity) {
    EXPECT_FALSE(member.node->started().by_snapshot);
    EXPECT_TRUE(member.node->replayed().damaged);
    EXPECT_NE(member.node->identity(), identity);
    EXPECT_FALSE(member.node->voting());
}

TEST(Snapshots, DamageBehindOneIsFoundByTheCheckAndThenByAWholeReplay) {
    SnapshotMember member;
    fill_and_write(member, 40);
    const std::int64_t identity = member.node->identity();
    const std::string name = covered_segment(member, 2);
    member.disk.flip(name, member.disk.size_of(name) / 2);
    ASSERT_TRUE(member.open());
    ASSERT_TRUE(member.node->started().by_snapshot);
    for (int i = 0; i < 40 && !member.node->must_restart(); ++i) member.second();
    ASSERT_TRUE(member.node->must_restart());
    EXPECT_FALSE(member.node->voting());
    EXPECT_FALSE(member.has(kSnapshot));
    ASSERT_TRUE(member.open());
    expect_taken_for_new(member, identity);
    // It is looked at again at each start, as no snapshot hides it.
    for (int i = 40; i < 80; ++i) ASSERT_TRUE(member.end(i));
    EXPECT_FALSE(member.write_snapshot(30));
}

TEST(Snapshots, DamageBehindOneIsFoundByAReadAndThenByAWholeReplay) {
    SnapshotMember member;
    fill_and_write(member, 40);
    const std::int64_t identity = member.node->identity();
    const Place place = member.node->index().turn("turn-12")->place;
    for (const std::string& name : member.disk.names())
        if (name.ends_with(std::to_string(place.segment) + ".log"))
            member.disk.flip(name, place.offset + place.size - 3);
    ASSERT_TRUE(member.open());
    ASSERT_TRUE(member.node->started().by_snapshot);
    EXPECT_TRUE(member.node->voting());
    wire::ReadTurnsRequest request;
    request.map_epoch = 1;
    request.identity = identity;
    request.id = "turn-20";  // whose chain it is in
    member.node->read(request, [](const wire::ReadTurnsReply& reply) {
        EXPECT_EQ(reply.status, wire::StorageStatus::not_voting);
    });
    EXPECT_TRUE(member.node->must_restart());
    EXPECT_FALSE(member.node->voting());
    ASSERT_TRUE(member.open());
    expect_taken_for_new(member, identity);
}

TEST(Snapshots, SegmentsThatAreCutOrGoneAreFoundAtTheStart) {
    for (const bool gone : {false, true}) {
        SnapshotMember member;
        fill_and_write(member, 40);
        const std::int64_t identity = member.node->identity();
        const std::string name = covered_segment(member, 2), bytes = member.content(name);
        if (gone)
            ASSERT_TRUE(member.disk.remove(name));
        else
            member.put(name, bytes.substr(0, bytes.size() - 1));
        ASSERT_TRUE(member.open());
        expect_taken_for_new(member, identity);
    }
}

// Each bit of all files: what is read is right, and once the check is through, what was forgotten was said.
TEST(Snapshots, EachFlippedBitOfTheDiskIsRightOrSaid) {
    SnapshotMember whole;
    fill_and_write(whole, 9);
    ASSERT_TRUE(whole.end(9));
    std::map<std::string, std::string> files;
    for (const std::string& name : whole.disk.names()) files[name] = whole.content(name);
    int by_snapshot = 0;
    for (const auto& [name, bytes] : files)
        for (std::size_t at = 0; at < bytes.size(); ++at) {
            const unsigned bit = static_cast<unsigned>(at % 8);
            const std::string where = name + " byte " + std::to_string(at);
            SnapshotMember member;
            member.random.seed(at + 7);
            for (const auto& [other, content] : files) member.put(other, content);
            member.disk.flip(name, at, bit);
            if (!member.open()) continue;  // refused to start: said
            by_snapshot += member.node->started().by_snapshot ? 1 : 0;
            for (int i = 0; i < 20 && !member.node->must_restart(); ++i) {
                for (int turn = 0; turn < 10; ++turn) {
                    const auto records = member.node->records({SnapshotMember::record(turn).id}, 1000);
                    if (!records.empty()) {
                        ASSERT_EQ(records.front().output, SnapshotMember::record(turn).output) << where;
                    }
                }
                member.second();
            }
            if (member.node->must_restart()) {
                ASSERT_TRUE(member.open()) << where;
            }
            bool forgot = false;
            for (int turn = 0; turn < 9; ++turn)
                forgot = forgot || member.node->records({SnapshotMember::record(turn).id}, 1000).empty();
            if (forgot) {
                EXPECT_FALSE(member.node->voting()) << where;
            }
        }
    EXPECT_GT(by_snapshot, 100);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
