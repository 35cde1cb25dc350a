// The parts that turns are begun and ended with: the cache, the order of holders, entries that merge,
// majorities.
#include <gtest/gtest.h>

#include <algorithm>
#include <bit>

#include "storage_map/holder_order.hpp"
#include "storage_plane/ledger_merge.hpp"
#include "storage_plane/turn_cache.hpp"
#include "storage_plane/turn_chain.hpp"
#include "storage_plane/turn_operation.hpp"
#include "storage_plane/turn_quorum.hpp"

namespace whinledge::storage_plane {
namespace {

SharedRecord record(const std::string& id, std::size_t bytes) {
    wire::TurnRecord record;
    record.id = id;
    record.output = std::string(bytes, 'x');
    return std::make_shared<const wire::TurnRecord>(record);
}

TEST(TurnCache, EvictsWhatWasUnusedForLongest) {
    TurnCache cache(5000);
    cache.insert(record("t1", 1000));
    cache.insert(record("t2", 1000));
    cache.insert(record("t3", 1000));
    EXPECT_TRUE(cache.find("t1"));
    cache.insert(record("t4", 1000));
    EXPECT_TRUE(cache.find("t1"));
    EXPECT_FALSE(cache.find("t2"));
    EXPECT_TRUE(cache.find("t3"));
    EXPECT_TRUE(cache.find("t4"));
    EXPECT_LE(cache.bytes(), 5000u);
}

TEST(TurnCache, KeepsTheFirstOfAnIdAndNothingOverItsSize) {
    TurnCache cache(5000);
    cache.insert(record("t1", 10));
    cache.insert(record("t1", 20));
    EXPECT_EQ(cache.find("t1")->output.size(), 10u);
    EXPECT_EQ(cache.size(), 1u);
    cache.insert(record("t2", 6000));
    EXPECT_FALSE(cache.find("t2"));
    EXPECT_TRUE(cache.find("t1"));
}

wire::StorageMap map_of(const std::vector<std::string>& zones) {
    wire::StorageMap map;
    map.epoch = 1;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        wire::StorageMember member;
        member.identity = static_cast<std::int64_t>(100 + i);
        member.zone = zones[i];
        member.state = wire::StorageState::member;
        map.members.push_back(member);
    }
    return map;
}

std::vector<std::string> zones_of(const std::vector<const wire::StorageMember*>& members) {
    std::vector<std::string> zones;
    for (const wire::StorageMember* member : members) zones.push_back(member->zone);
    return zones;
}

const auto kAnyone = [](const wire::StorageMember&) { return true; };

TEST(HolderOrder, OwnZoneFirstThenOtherZones) {
    const wire::StorageMap map = map_of({"a", "a", "b", "b", "c", "c"});
    for (int program = 0; program < 50; ++program) {
        const storage_map::HolderOrder order(map, "b",
                                             std::string("program-").append(std::to_string(program)));
        const auto chosen = zones_of(order.complement({}, {.machines = 2}, kAnyone));
        ASSERT_EQ(chosen.size(), 3u);
        EXPECT_EQ(chosen[0], "b");
        EXPECT_EQ(std::set<std::string>(chosen.begin(), chosen.end()).size(), 3u);
    }
}

TEST(HolderOrder, ProgramsSpreadOverMembers) {
    const wire::StorageMap map = map_of({"a", "b", "b", "c", "c"});
    std::map<std::int64_t, int> seconds;
    for (int program = 0; program < 1000; ++program) {
        const storage_map::HolderOrder order(map, "a",
                                             std::string("program-").append(std::to_string(program)));
        ++seconds[order.complement({}, {.machines = 1}, kAnyone)[1]->identity];
    }
    ASSERT_EQ(seconds.size(), 4u);
    for (const auto& [identity, count] : seconds) EXPECT_GT(count, 150) << identity;
}

TEST(HolderOrder, FewerZonesThanCopies) {
    const wire::StorageMap map = map_of({"a", "a", "a"});
    const storage_map::HolderOrder order(map, "a", "program");
    EXPECT_EQ(order.complement({}, {.machines = 1}, kAnyone).size(), 2u);
    EXPECT_FALSE(order.durable({100}, {.machines = 1}));
    EXPECT_TRUE(order.durable({100, 102}, {.machines = 1}));
}

// One copy's zone that is out of reach is no reason to put both into one.
TEST(HolderOrder, UnusableZoneIsNotMadeUpForInTheSameZone) {
    const wire::StorageMap map = map_of({"a", "a", "b"});
    const storage_map::HolderOrder order(map, "a", "program");
    const auto not_b = [](const wire::StorageMember& member) { return member.zone != "b"; };
    EXPECT_EQ(order.complement({}, {.machines = 1}, not_b).size(), 1u);
    EXPECT_FALSE(order.durable({100, 101}, {.machines = 1}));
    EXPECT_TRUE(order.durable({100, 102}, {.machines = 1}));
}

TEST(HolderOrder, MembersThatJoinOrRetireHoldNothingNew) {
    wire::StorageMap map = map_of({"a", "b", "c"});
    map.members[0].state = wire::StorageState::retiring;
    map.members[1].state = wire::StorageState::joining;
    const storage_map::HolderOrder order(map, "a", "program");
    EXPECT_EQ(zones_of(order.complement({}, {.machines = 1}, kAnyone)), std::vector<std::string>{"c"});
    EXPECT_FALSE(order.durable({100, 102}, {.machines = 1}));
}

wire::LedgerEntry entry(wire::EntryState::type state, std::int64_t tokens) {
    wire::LedgerEntry entry;
    entry.turn = "t";
    entry.state = state;
    entry.tokens = tokens;
    return entry;
}

TEST(LedgerMerge, SameResultInAnyOrderAndWithRepeats) {
    const std::vector<wire::LedgerEntry> entries = {
        entry(wire::EntryState::reserved, 60), entry(wire::EntryState::settled, 10),
        entry(wire::EntryState::settled, 40), entry(wire::EntryState::cancelled, 0)};
    for (std::size_t kept = 1; kept <= entries.size(); ++kept) {
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < kept; ++i) order.insert(order.end(), 2, i);
        std::set<std::pair<int, std::int64_t>> results;
        do {
            LedgerEntries ledger;
            for (const std::size_t i : order) merge_entry(ledger, entries[i]);
            results.emplace(ledger.at("t").state, ledger.at("t").tokens);
        } while (std::next_permutation(order.begin(), order.end()));
        EXPECT_EQ(results.size(), 1u);
    }
}

// Every majority of a map meets every majority of the map that one member more, or one less, makes of it.
TEST(ReservationMajority, MeetsThoseOfTheNextMap) {
    for (unsigned voters = 1; voters <= 9; ++voters) {
        for (unsigned before = 0; before < 1U << voters; ++before) {
            if (static_cast<std::size_t>(std::popcount(before)) < storage_map::reservation_majority(voters))
                continue;
            for (unsigned after = 0; after < 1U << (voters + 1); ++after) {
                const unsigned without_newest = after & ((1U << voters) - 1);
                const auto size = static_cast<std::size_t>(std::popcount(after));
                if (size >= storage_map::reservation_majority(voters + 1)) {
                    EXPECT_NE(before & without_newest, 0u) << voters << " voters and one more";
                }
                if (voters > 1 && after < 1U << (voters - 1) &&
                    size >= storage_map::reservation_majority(voters - 1)) {
                    EXPECT_NE(before & after, 0u) << voters << " voters and one less";
                }
            }
        }
    }
}

wire::TurnRecord first_turn(const std::string& id) {
    wire::TurnRecord record;
    record.id = id;
    return record;
}

class ChainDenial : public testing::Test {
protected:
    void denied_by(std::int64_t member) {
        search_.note_answer(member, "t");
        search_.learn_end(member, "t", {});
    }

    TurnCache cache_{1U << 16};
    ChainSearch search_{cache_, "t"};
};

// A joining member may have pulled the only copy: were its answer not waited for, the turn would be denied.
TEST_F(ChainDenial, WaitsForMembersThatJoin) {
    const ChainSearch::Members members{{1, 2}, {3}, {}};
    EXPECT_EQ(search_.verdict(members), ChainSearch::Verdict::undecided);
    denied_by(1);
    denied_by(2);
    EXPECT_EQ(search_.verdict(members), ChainSearch::Verdict::undecided);
    search_.note_answer(3, "t");
    search_.learn({first_turn("t")});
    EXPECT_EQ(search_.verdict(members), ChainSearch::Verdict::here);
}

TEST_F(ChainDenial, IsCertainOnceThoseThatJoinHaveAnsweredToo) {
    const ChainSearch::Members members{{1, 2}, {3}, {}};
    denied_by(1);
    denied_by(2);
    search_.note_answer(3, "t");
    EXPECT_EQ(search_.verdict(members), ChainSearch::Verdict::absent);
}

TEST_F(ChainDenial, IsNotCertainWhileAMemberIsAway) {
    const ChainSearch::Members members{{1, 2}, {}, {4}};
    denied_by(1);
    EXPECT_EQ(search_.verdict(members), ChainSearch::Verdict::undecided);
    denied_by(2);
    EXPECT_EQ(search_.verdict(members), ChainSearch::Verdict::unsure);
}

// A reply may come, or be given up on, after a newer map has begun the exchange anew.
TEST(ExchangeTest, AFailureFromAnEarlierMapLeavesWhatWasNotSentYetDue) {
    Exchange exchange;
    exchange.failed(100, TurnQuorumOptions());
    EXPECT_EQ(exchange.state, Exchange::State::idle);
    EXPECT_TRUE(exchange.due(100));
    exchange.sent(100);
    exchange.failed(200, TurnQuorumOptions());
    EXPECT_FALSE(exchange.due(200)) << "one that was sent is sent again after a pause";
}

}  // namespace
}  // namespace whinledge::storage_plane
