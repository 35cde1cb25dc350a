// The bounds of a member's memory and disk: what an item costs, the room that repair has left when clients
// are refused, and digests that say the same as the placement they are worked out from.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <random>

#include "simulated_disk.hpp"
#include "storage_map/wanted_holders.hpp"
#include "storage_plane/shared_digest.hpp"
#include "storage_plane/storage_node.hpp"

namespace whinledge::storage_plane::test {
namespace {

using Status = wire::StorageStatus;

std::string id_of(int number) {
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;  // as long as a Try-Id
}

wire::TurnRecord record_of(int number, std::vector<std::int64_t> holders = {1, 2}) {
    wire::TurnRecord record;
    record.id = id_of(number);
    record.parent = number % 6 == 0 ? "" : id_of(number - 1);
    record.program = std::to_string(number / 6);
    record.holders = std::move(holders);
    return record;
}

std::size_t allocated_bytes() { return ::mallinfo2().uordblks; }

// limits.memoryMb bounds a process whose index grows to member_options().most_items.
TEST(MemberBounds, AnItemCostsNoMoreMemoryThanIsCountedForIt) {
    constexpr int kTurns = 20000;
    const std::size_t before = allocated_bytes();
    TurnStore store(TurnStore::Options{});
    for (int i = 0; i < kTurns; ++i) {
        const wire::TurnRecord record = record_of(i);
        store.add_turn(record, {1, 0, 100}, nullptr);
        wire::LedgerEntry entry;
        entry.turn = record.id;
        entry.tokens = 30;
        store.add_entry(record.program, entry, {1, 0, 100});
    }
    EXPECT_LT((allocated_bytes() - before) / (2 * kTurns), kItemBytes);
    EXPECT_EQ(store.changes().size(), 2u * kTurns);
}

TEST(MemberBounds, TheIndexFitsTheMemoryOfASmallMachine) {
    const StorageNode::Options options = member_options(300, 260);
    const double index_mb =
        static_cast<double>(options.most_items) * 9 / 8 * kItemBytes / 1e6;  // with repair's part
    const double cache_mb = static_cast<double>(options.cache_bytes) / 1e6;
    EXPECT_LT(index_mb + cache_mb, 260 * 0.75);
    EXPECT_LT(options.disk_bytes, 300'000'000u);
}

class BoundedNode : public ::testing::Test {
protected:
    void open(std::uint64_t disk_bytes, std::size_t most_items) {
        StorageNode::Options options;
        options.disk_bytes = disk_bytes;
        options.most_items = most_items;
        options.segment_bytes = 8U << 10;
        options.cache_bytes = 4096;
        options.steady_ms = [] { return std::int64_t{1000}; };
        options.time_of_day_ms = [] { return std::int64_t{1'800'000'000'000}; };
        options.draw = [] { return std::int64_t{7}; };
        options.commit_soon = [] {};
        node_ = std::move(StorageNode::open(disk_, options).value());
        wire::StorageMap map;
        map.epoch = 1;
        map.members.emplace_back();
        map.members.back().identity = node_->identity();
        map.members.back().state = wire::StorageState::member;
        node_->set_map(map);
    }
    std::int32_t end(int number) {
        wire::EndTurnRequest request;
        request.map_epoch = 1;
        request.identity = node_->identity();
        request.keep_for_s = 60;
        request.record = record_of(number);
        request.record.output = std::string(1000, 'o');
        request.record.keep_for_s = 60;
        request.__isset.record = true;
        std::int32_t status = Status::not_member;
        node_->end(request, [&](const wire::EndTurnReply& reply) { status = reply.status; });
        node_->commit();
        return status;
    }
    bool repaired(int number) {
        wire::TurnRecord record = record_of(number);
        record.output = std::string(1000, 'o');
        record.keep_for_s = 60;
        bool synced = false;
        node_->take_in({record}, {}, [&](bool well) { synced = well; });
        node_->commit();
        return synced;
    }
    int fill() {
        int taken = 0;
        while (taken < 10000 && end(taken) == Status::ok) ++taken;
        return taken;
    }

    SimulatedDisk disk_;
    std::unique_ptr<StorageNode> node_;
};

// Members that are full give what they hold to one whose disk is new, and it has to get done.
TEST_F(BoundedNode, RepairHasRoomLeftWhenMemoryIsFullForClients) {
    open(64U << 20, 400);
    const int taken = fill();
    EXPECT_EQ(taken, 400);
    for (int i = 0; i < 50; ++i) EXPECT_TRUE(repaired(1000 + i)) << i;
    EXPECT_FALSE(repaired(2000));
    EXPECT_EQ(end(3000), Status::full);
}

TEST_F(BoundedNode, RepairHasRoomLeftWhenTheDiskIsFullForClients) {
    open(200'000, 100'000);
    const int taken = fill();
    EXPECT_GT(taken, 100);
    for (int i = 0; i < 10; ++i) EXPECT_TRUE(repaired(1000 + i)) << i;
    EXPECT_EQ(end(3000), Status::full);
    EXPECT_LT(disk_.bytes(), 200'000u);
}

// Worked out from the definition, for each turn.
std::vector<std::int64_t> plain_digests(const TurnStore& store, const DigestScope& scope,
                                        std::size_t ranges) {
    std::vector<std::uint64_t> digests(ranges, 0);
    for (const auto& [name, program] : store.programs()) {
        std::uint64_t digest = program.entries.empty() ? 0 : ledger_digest(program);
        for (const std::string& id : program.turns) {
            const HeldTurn* held = store.turn(id);
            const auto wanted = storage_map::wanted_holders(id, held->holders, scope.map, scope.survive);
            const bool both = std::count(wanted.begin(), wanted.end(), scope.self) > 0 &&
                              std::count(wanted.begin(), wanted.end(), scope.other) > 0;
            if (both) digest += held->id_hash | 1;
        }
        digests[range_of(program.hash, ranges)] ^= digest;
    }
    return {digests.begin(), digests.end()};
}

wire::LedgerEntry entry_of(const wire::TurnRecord& record, std::int64_t tokens) {
    wire::LedgerEntry entry;
    entry.turn = record.id;
    entry.tokens = tokens;
    entry.state = wire::EntryState::settled;
    return entry;
}

TEST(MemberBounds, DigestsFollowThePlacementOfEveryTurn) {
    std::mt19937_64 random(5);
    const auto pick = [&](int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); };
    for (int round = 0; round < 300; ++round) {
        wire::StorageMap map;
        map.epoch = 1;
        for (int i = 0, members = 2 + pick(7); i < members; ++i) {
            wire::StorageMember member;
            member.identity = 10 + i;
            member.zone = std::to_string(pick(4));
            member.state = pick(4) == 0
                               ? wire::StorageState::retiring
                               : (pick(4) == 0 ? wire::StorageState::joining : wire::StorageState::member);
            map.members.push_back(member);
        }
        TurnStore store(TurnStore::Options{});
        for (int i = 0; i < 30; ++i) {
            std::vector<std::int64_t> holders;
            for (int h = 0, most = 1 + pick(4); h < most; ++h) holders.push_back(10 + pick(11));
            const wire::TurnRecord record = record_of(i, holders);
            store.add_turn(record, {1, 0, 100}, nullptr);
            if (pick(2) == 0) store.add_entry(record.program, entry_of(record, 5 + pick(3)), {1, 0, 100});
            store.keep(record.program, 0, kept_ms(60) - 10000, 60, 0);
        }
        for (int pair = 0; pair < 10; ++pair) {
            const DigestScope scope{10 + pick(9), 10 + pick(9), map, {.machines = 1 + pick(2)}, 1000};
            ASSERT_EQ(SharedDigests(0).of(store, scope, 4), plain_digests(store, scope, 4))
                << "round " << round;
        }
    }
}

// A member that holds no turn of a program without ledger entries has never heard of it.
TEST(MemberBounds, DigestsLeaveOutProgramsOfWhichOnlyOneSideHasAnything) {
    wire::StorageMap map;
    map.epoch = 1;
    for (const std::int64_t identity : {10, 11, 12}) {
        wire::StorageMember member;
        member.identity = identity;
        member.zone = std::to_string(identity);
        map.members.push_back(member);
    }
    TurnStore own(TurnStore::Options{});
    TurnStore others(TurnStore::Options{});
    const auto keep = [](TurnStore& store, const wire::TurnRecord& record) {
        store.add_turn(record, {1, 0, 100}, nullptr);
        store.keep(record.program, 0, kept_ms(60) - 10000, 60, 0);
    };
    const wire::TurnRecord shared = record_of(1, {10, 11});
    const wire::TurnRecord elsewhere = record_of(7, {10, 12});
    ASSERT_NE(shared.program, elsewhere.program);
    keep(own, shared);
    keep(own, elsewhere);
    keep(others, shared);
    const DigestScope from_own{10, 11, map, {.machines = 1}, 1000};
    const DigestScope from_others{11, 10, map, {.machines = 1}, 1000};
    EXPECT_EQ(SharedDigests(0).of(own, from_own, 16), SharedDigests(0).of(others, from_others, 16));

    own.add_entry(elsewhere.program, entry_of(elsewhere, 5), {1, 0, 100});
    EXPECT_NE(SharedDigests(0).of(own, from_own, 16), SharedDigests(0).of(others, from_others, 16));
    others.add_entry(elsewhere.program, entry_of(elsewhere, 5), {1, 0, 100});
    others.keep(elsewhere.program, 0, kept_ms(60) - 10000, 60, 0);
    EXPECT_EQ(SharedDigests(0).of(own, from_own, 16), SharedDigests(0).of(others, from_others, 16));
    others.add_entry(shared.program, entry_of(shared, 5), {1, 0, 100});
    EXPECT_NE(SharedDigests(0).of(own, from_own, 16), SharedDigests(0).of(others, from_others, 16));
}

wire::StorageMap map_of_members(std::int64_t epoch, int members, std::int32_t ledger_group) {
    wire::StorageMap map;
    map.epoch = epoch;
    map.ledger_group = ledger_group;
    for (int i = 0; i < members; ++i) {
        wire::StorageMember member;
        member.identity = 10 + i;
        member.zone = std::to_string(i % 3);
        member.state = wire::StorageState::member;
        map.members.push_back(member);
    }
    return map;
}

// Turns, holders and entries come, maps change, programs go: what is remembered is never of before.
TEST(MemberBounds, RememberedDigestsAreThoseWorkedOutAnew) {
    std::mt19937_64 random(11);
    const auto pick = [&](int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); };
    for (const std::size_t most_summaries : {std::size_t{0}, std::size_t{3}, std::size_t{1000}}) {
        TurnStore store(TurnStore::Options{});
        SharedDigests remembering(most_summaries);
        wire::StorageMap map = map_of_members(1, 5, 0);
        std::int64_t now_ms = 0;
        for (int step = 0; step < 3000; ++step) {
            const wire::TurnRecord record = record_of(pick(120), {10, 10 + pick(12)});
            switch (pick(6)) {
                case 0:
                    store.add_turn(record, {1, 0, 100}, nullptr);
                    break;
                case 1:
                    store.merge_holders(record.id, {10 + pick(12)});
                    break;
                case 2:
                    store.add_entry(record.program, entry_of(record, 5 + pick(3)), {1, 0, 100});
                    break;
                case 3:
                    if (pick(50) == 0) map = map_of_members(map.epoch + 1, 3 + pick(9), 3 * pick(2));
                    break;
                default:
                    now_ms += pick(200);
            }
            if (store.program(record.program) && pick(3) == 0)
                store.keep(record.program, now_ms, kept_ms(20) - 6000, 20, 0);
            store.expire(now_ms);
            const DigestScope scope{10, 10 + pick(12), map, {.machines = 1}, now_ms};
            ASSERT_EQ(remembering.of(store, scope, 4), SharedDigests(0).of(store, scope, 4)) << step;
        }
    }
}

// Many short programs in memory, each with all that is remembered of it.
TEST(MemberBounds, RememberedDigestsHaveABoundedNumber) {
    constexpr int kPrograms = 30'000;
    TurnStore store(TurnStore::Options{});
    for (int i = 0; i < kPrograms; ++i) {
        const wire::TurnRecord record = record_of(i * 6, {10, 11});
        store.add_turn(record, {1, 0, 100}, nullptr);
        store.add_entry(record.program, entry_of(record, 5), {1, 0, 100});
        store.keep(record.program, 0, kept_ms(60) - 10000, 60, 0);
    }
    const wire::StorageMap map = map_of_members(1, 12, 9);
    SharedDigests remembering;
    const std::size_t before = allocated_bytes();
    for (int other = 11; other < 15; ++other)
        static_cast<void>(remembering.of(store, DigestScope{10, other, map, {.machines = 1}, 1000}, 256));
    constexpr std::size_t kSummaryBytes = 300;
    EXPECT_LT(allocated_bytes() - before, SharedDigests::kMostSummaries * kSummaryBytes);
    std::size_t kept = 0;
    for (const auto& [name, program] : store.programs()) kept += program.digest_summary != nullptr;
    EXPECT_EQ(kept, SharedDigests::kMostSummaries);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
