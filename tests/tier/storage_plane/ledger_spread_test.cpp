// Who must follow the others before they vote under a new map: worked out by formula, compared with a walk of
// all majorities at small size, over one and over two changes of the map.
#include "storage_plane/ledger_spread.hpp"

#include <gtest/gtest.h>

#include <bit>
#include <string>

namespace whinledge::storage_plane::test {
namespace {

using Bits = unsigned;  // a set of identities 1, 2, ... as bits

wire::StorageMap map_of(std::int64_t epoch, Bits voters) {
    wire::StorageMap map;
    map.epoch = epoch;
    for (int i = 0; i < 16; ++i) {
        if (!(voters >> i & 1)) continue;
        wire::StorageMember member;
        member.identity = i + 1;
        member.state = wire::StorageState::member;
        map.members.push_back(member);
    }
    return map;
}

bool is_majority(Bits some, Bits of) {
    return (some & ~of) == 0 && std::popcount(some) >= std::popcount(of) / 2 + 1;
}

// Decided by some majority of `before`; newcomers hold what any of those that stayed holds.
bool some_majorities_miss(Bits before, Bits after) {
    const Bits kept = before & after, newcomers = after & ~before;
    for (Bits decided = 1; decided <= before; ++decided) {
        if (!is_majority(decided, before) || (decided & kept) == 0) continue;
        const Bits holders = (decided & kept) | newcomers;
        for (Bits asked = 1; asked <= after; ++asked)
            if (is_majority(asked, after) && (asked & holders) == 0) return true;
    }
    return false;
}

// All of `before` may be lost with what it decided: beyond what any map could make good.
bool some_majority_is_lost(Bits before, Bits after) {
    return std::popcount(before & ~after) >= std::popcount(before) / 2 + 1;
}

TEST(LedgerSpread, AsksForFollowingWhereMajoritiesMayMiss) {
    int asked = 0, spared = 0;
    for (Bits before = 1; before < 128; ++before) {
        for (Bits after = 1; after < 128; ++after) {
            if (some_majority_is_lost(before, after)) continue;
            LedgerSpread spread;
            spread.reset(map_of(1, before));
            const bool may_vote = spread.follow(map_of(1, before), map_of(2, after));
            ASSERT_EQ(may_vote, !some_majorities_miss(before, after)) << before << " then " << after;
            ++(may_vote ? spared : asked);
        }
    }
    EXPECT_GT(asked, 100);
    EXPECT_GT(spared, 100);
}

// What the first map decided still counts under the third, where nobody has followed all others in between.
TEST(LedgerSpread, RemembersOlderMapsUntilAllAreFollowed) {
    for (Bits first = 1; first < 64; ++first) {
        for (Bits second = 1; second < 64; ++second) {
            if ((second & ~first) != 0) continue;
            for (Bits third = 1; third < 64; ++third) {
                if ((third & ~second) != 0 || some_majority_is_lost(first, third)) continue;
                LedgerSpread spread;
                spread.reset(map_of(1, first));
                spread.follow(map_of(1, first), map_of(2, second));
                const bool may_vote = spread.follow(map_of(2, second), map_of(3, third));
                if (may_vote) {
                    ASSERT_FALSE(some_majorities_miss(first, third))
                        << first << " " << second << " " << third;
                    ASSERT_FALSE(some_majorities_miss(second, third)) << second << " " << third;
                }
            }
        }
    }
}

TEST(LedgerSpread, TwoOfFiveDisksLostAtOnceMeanThatTheRestFollow) {
    LedgerSpread spread;
    EXPECT_TRUE(spread.follow(wire::StorageMap(), map_of(1, 0b11111)));
    EXPECT_FALSE(spread.follow(map_of(1, 0b11111), map_of(2, 0b00111)));
    spread.reset(map_of(2, 0b00111));
    EXPECT_TRUE(spread.follow(map_of(2, 0b00111), map_of(3, 0b01111)));  // one joins
}

TEST(LedgerSpread, OneOfFourLostNeedsNothing) {
    LedgerSpread spread;
    spread.follow(wire::StorageMap(), map_of(1, 0b1111));
    EXPECT_TRUE(spread.follow(map_of(1, 0b1111), map_of(2, 0b0111)));
}

TEST(LedgerSpread, AfterAStartOrAGapAnyLossMeansThatTheRestFollow) {
    LedgerSpread started;
    EXPECT_FALSE(started.follow(map_of(7, 0b1111), map_of(8, 0b0111)));
    LedgerSpread asleep;
    asleep.reset(map_of(7, 0b1111));
    EXPECT_FALSE(asleep.follow(map_of(7, 0b1111), map_of(9, 0b0111)));
    LedgerSpread unfollowed;
    EXPECT_TRUE(unfollowed.follow(map_of(7, 0b0111), map_of(8, 0b1111)));
    EXPECT_FALSE(unfollowed.follow(map_of(8, 0b1111), map_of(9, 0b1110))) << "nobody was followed since";
    LedgerSpread joined;
    EXPECT_TRUE(joined.follow(map_of(7, 0b0111), map_of(8, 0b1111)));
}

// ---- Ledgers on groups

wire::StorageMap grouped(std::int64_t epoch, Bits voters, int group) {
    wire::StorageMap map = map_of(epoch, voters);
    map.ledger_group = group;
    for (wire::StorageMember& member : map.members)
        member.zone = std::string(1, static_cast<char>('a' + member.identity % 3));
    return map;
}

Bits bits_of(const std::set<std::int64_t>& identities) {
    Bits bits = 0;
    for (const std::int64_t identity : identities) bits |= 1U << (identity - 1);
    return bits;
}

std::string program(int number) { return std::string("program-").append(std::to_string(number)); }

// A member of both groups votes at once only where no majorities miss; one that is new to the group waits.
TEST(LedgerSpread, OfGroupsOnlyThoseThatAreSureVoteAtOnce) {
    int voted = 0, newcomers = 0, missed = 0;
    for (Bits before = 0; before < 256; ++before) {
        if (std::popcount(before) < 5) continue;
        for (Bits after = 0; after < 256; ++after) {
            if (std::popcount(after) < 5) continue;
            const wire::StorageMap first = grouped(1, before, 3), second = grouped(2, after, 3);
            LedgerSpread spread;
            spread.reset(first);
            ASSERT_TRUE(spread.follow(first, second));
            for (int number = 0; number < 3; ++number) {
                const Bits was = bits_of(storage_map::LedgerPlacement(first).group(program(number)));
                const Bits is = bits_of(storage_map::LedgerPlacement(second).group(program(number)));
                for (int identity = 1; identity <= 8; ++identity) {
                    const Bits own = 1U << (identity - 1);
                    const bool votes = spread.may_vote(program(number), identity);
                    if ((is & own) == 0) {
                        ASSERT_FALSE(votes);
                    } else if ((was & own) == 0) {
                        ASSERT_FALSE(votes) << "it has followed nobody";
                        ++newcomers;
                    } else if (some_majority_is_lost(was, is) || some_majorities_miss(was, is)) {
                        ASSERT_FALSE(votes);
                        ++missed;
                    } else {
                        ASSERT_TRUE(votes);
                        ++voted;
                    }
                }
            }
        }
    }
    EXPECT_GT(voted, 1000);
    EXPECT_GT(newcomers, 1000);
    EXPECT_GT(missed, 1000);
}

TEST(LedgerSpread, OfGroupsOfMapsThatWereSkippedNothingIsKnown) {
    LedgerSpread asleep;
    asleep.reset(grouped(4, 0xff, 3));
    EXPECT_TRUE(asleep.follow(grouped(4, 0xff, 3), grouped(6, 0xff, 3)));
    EXPECT_TRUE(asleep.some_wait());
    for (int number = 0; number < 20; ++number)
        for (int identity = 1; identity <= 8; ++identity)
            EXPECT_FALSE(asleep.may_vote(program(number), identity));
    asleep.reset(grouped(6, 0xff, 3));
    EXPECT_FALSE(asleep.some_wait());
    EXPECT_TRUE(asleep.settled());
}

// A majority of nine is five: with one lost, four hold what it decided, and three may be missed.
TEST(LedgerSpread, OfALargeGroupSomeNeedNotBeFollowed) {
    LedgerSpread spread;
    spread.reset(grouped(1, 0xfff, 9));
    EXPECT_EQ(spread.may_miss({.machines = 1}), 3u);
    EXPECT_EQ(spread.may_miss({.machines = 2}), 2u);
    spread.reset(grouped(1, 0xfff, 3));
    EXPECT_EQ(spread.may_miss({.machines = 1}), 0u);
    spread.reset(grouped(1, 0xfff, 0));
    EXPECT_EQ(spread.may_miss({.machines = 1}), 0u) << "all voters keep all ledgers";
    spread.follow(grouped(1, 0xfff, 0), grouped(2, 0xfff, 9));
    EXPECT_EQ(spread.may_miss({.machines = 1}), 0u) << "the size has just changed";
}

}  // namespace
}  // namespace whinledge::storage_plane::test
