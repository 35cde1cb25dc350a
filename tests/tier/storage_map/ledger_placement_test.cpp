// Who keeps a program's ledger, at every size that matters.
#include "storage_map/ledger_placement.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace whinledge::storage_map::test {
namespace {

using Identities = std::set<std::int64_t>;
constexpr int kPrograms = 200;

// Members in the order of their identities 1, 2, ...; each named by its zone, a capital one retires, one
// behind a plus joins.
wire::StorageMap map_of(const std::string& zones, int group) {
    wire::StorageMap map;
    map.epoch = 1;
    map.ledger_group = group;
    bool joins = false;
    for (const char zone : zones) {
        if (zone == '+') {
            joins = true;
            continue;
        }
        wire::StorageMember member;
        member.identity = static_cast<std::int64_t>(map.members.size()) + 1;
        member.zone = std::string(1, static_cast<char>(std::tolower(zone)));
        member.state = joins                ? wire::StorageState::joining
                       : std::isupper(zone) ? wire::StorageState::retiring
                                            : wire::StorageState::member;
        joins = false;
        map.members.push_back(member);
    }
    return map;
}

std::string program(int number) { return std::string("program-").append(std::to_string(number)); }

Identities minus(const Identities& some, const Identities& others) {
    Identities left;
    std::set_difference(some.begin(), some.end(), others.begin(), others.end(),
                        std::inserter(left, left.end()));
    return left;
}

TEST(LedgerGroup, OfMapsWithoutASizeAllVotersKeepAllLedgers) {
    const LedgerPlacement placement(map_of("abC+dabc", 0));
    EXPECT_FALSE(placement.grouped());
    EXPECT_EQ(placement.group("p"), (Identities{1, 2, 3, 5, 6, 7}));
    EXPECT_EQ(placement.group_size(), 6u);
}

TEST(LedgerGroup, UpToItsSizeAllVotersBelongToIt) {
    const LedgerPlacement placement(map_of("abcabcabC+a", 9));
    EXPECT_FALSE(placement.grouped());
    EXPECT_EQ(placement.group("p"), (Identities{1, 2, 3, 4, 5, 6, 7, 8, 9}));
    EXPECT_TRUE(LedgerPlacement(map_of("abcabcabca", 9)).grouped());
}

TEST(LedgerGroup, NoZoneHasMoreThanItsTurns) {
    const wire::StorageMap map = map_of("aaaaaabbbbbc", 5);
    const LedgerPlacement placement(map);
    for (int number = 0; number < kPrograms; ++number) {
        std::map<std::string, int> zones;
        const Identities group = placement.group(program(number));
        EXPECT_EQ(group.size(), 5u);
        for (const wire::StorageMember& member : map.members)
            zones[member.zone] += group.count(member.identity);
        EXPECT_EQ(zones, (std::map<std::string, int>{{"a", 2}, {"b", 2}, {"c", 1}}));
    }
}

TEST(LedgerGroup, ProgramsAreSpreadOverAllMembers) {
    std::map<std::int64_t, int> kept;
    const LedgerPlacement placement(map_of("abcabcabcabc", 3));
    for (int number = 0; number < kPrograms; ++number)
        for (const std::int64_t identity : placement.group(program(number))) ++kept[identity];
    EXPECT_EQ(kept.size(), 12u);
    for (const auto& [identity, programs] : kept) EXPECT_NEAR(programs, kPrograms / 4, kPrograms / 8);
}

// One that leaves is replaced, one that joins takes one place; nothing else moves.
TEST(LedgerGroup, OneMemberMoreOrLessMovesOnePlaceAtMost) {
    for (const std::string zones : {"abcabcabcabc", "aaaabbbccd", "abcdefghij", "aabbbbbbbb"}) {
        for (const int size : {3, 5, 9}) {
            const wire::StorageMap map = map_of(zones, size);
            for (std::size_t gone = 0; gone < map.members.size(); ++gone) {
                wire::StorageMap less = map;
                less.members.erase(less.members.begin() + static_cast<std::ptrdiff_t>(gone));
                const LedgerPlacement all(map), rest(less);
                for (int number = 0; number < kPrograms; ++number) {
                    const Identities before = all.group(program(number)), after = rest.group(program(number));
                    if (before.count(map.members[gone].identity) == 0) {
                        EXPECT_EQ(before, after);
                    } else {
                        EXPECT_EQ(minus(before, after), Identities{map.members[gone].identity});
                    }
                }
            }
        }
    }
}

TEST(LedgerGroup, RetiringMembersGiveTheirPlacesToOthers) {
    const LedgerPlacement placement(map_of("abcABCabc", 5));
    for (int number = 0; number < kPrograms; ++number) {
        const Identities group = placement.group(program(number));
        EXPECT_EQ(group.size(), 5u);
        for (const std::int64_t retiring : {4, 5, 6}) EXPECT_EQ(group.count(retiring), 0u);
    }
    EXPECT_EQ(LedgerPlacement(map_of("abABCabc", 5)).group("p").size(), 5u);
    const Identities few = LedgerPlacement(map_of("abABCA", 5)).group("p");
    EXPECT_EQ(few.size(), 5u) << "too few others";
    EXPECT_EQ(few.count(1) + few.count(2), 2u);
}

TEST(LedgerGroup, JoiningMembersAreCountedOnlyWhereAskedFor) {
    const wire::StorageMap map = map_of("abcabc+a", 3);
    const LedgerPlacement present(map), with_joiner(map, 7);
    int kept = 0;
    for (int number = 0; number < kPrograms; ++number) {
        EXPECT_EQ(present.group(program(number)).count(7), 0u);
        kept += static_cast<int>(with_joiner.group(program(number)).count(7));
    }
    EXPECT_GT(kept, 0);
}

TEST(LedgerGroup, MostInOneGroupBoundsEveryGroup) {
    const wire::StorageMap map = map_of("aaaabbbccdD", 5);
    const LedgerPlacement placement(map);
    for (unsigned bits = 0; bits < 1U << map.members.size(); ++bits) {
        Identities some;
        for (std::size_t i = 0; i < map.members.size(); ++i)
            if (bits >> i & 1) some.insert(static_cast<std::int64_t>(i) + 1);
        std::size_t most = 0;
        for (int number = 0; number < 20; ++number) {
            const Identities group = placement.group(program(number));
            const auto common = static_cast<std::size_t>(std::count_if(
                group.begin(), group.end(), [&](std::int64_t identity) { return some.count(identity) > 0; }));
            most = std::max(most, common);
        }
        ASSERT_LE(most, placement.most_in_one_group(some));
    }
    EXPECT_EQ(placement.most_in_one_group({1, 2, 3, 4}), 2u) << "of one zone never more than its turns";
}

TEST(LedgerGroupSize, IsNineUntilTwiceTheLossesAndThreeIsMore) {
    EXPECT_EQ(ledger_group_size(0), 9);
    EXPECT_EQ(ledger_group_size(3), 9);
    EXPECT_EQ(ledger_group_size(4), 11);
}

}  // namespace
}  // namespace whinledge::storage_map::test
