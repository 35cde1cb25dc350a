// Which members should hold a turn, from its holders and the map.
#include "storage_map/wanted_holders.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace whinledge::storage_map::test {
namespace {

using Identities = std::vector<std::int64_t>;

// Members in the order of their identities 1, 2, ...; each named by its zone, a capital one retires.
wire::StorageMap map_of(const std::string& zones) {
    wire::StorageMap map;
    map.epoch = 1;
    for (const char zone : zones) {
        wire::StorageMember member;
        member.identity = static_cast<std::int64_t>(map.members.size()) + 1;
        member.zone = std::string(1, static_cast<char>(std::tolower(zone)));
        member.state = std::isupper(zone) ? wire::StorageState::retiring : wire::StorageState::member;
        map.members.push_back(member);
    }
    return map;
}

std::set<std::int64_t> wanted(const std::string& id, const Identities& holders, const std::string& zones,
                              int losses = 1) {
    const Identities chosen = wanted_holders(id, holders, map_of(zones), {.machines = losses});
    const std::set<std::int64_t> distinct(chosen.begin(), chosen.end());
    EXPECT_EQ(distinct.size(), chosen.size());
    return distinct;
}

TEST(Placement, HoldersThatAreThereStay) {
    EXPECT_EQ(wanted("t", {1, 3}, "abcd"), (std::set<std::int64_t>{1, 3}));
    EXPECT_EQ(wanted("t", {1, 3, 4}, "abcd"), (std::set<std::int64_t>{1, 3, 4}));
}

TEST(Placement, OneThatIsGoneOrRetiresIsReplaced) {
    for (const std::string zones : {"abcd", "aBcd"}) {
        const Identities holders = zones == "abcd" ? Identities{1, 9} : Identities{1, 2};
        const std::set<std::int64_t> chosen = wanted("t", holders, zones);
        EXPECT_EQ(chosen.size(), 2u);
        EXPECT_TRUE(chosen.count(1));
        EXPECT_FALSE(chosen.count(9));
        EXPECT_FALSE(zones == "aBcd" && chosen.count(2));
    }
}

TEST(Placement, ReplacementsAreSpreadOverTheMembers) {
    std::map<std::int64_t, int> chosen;
    for (int i = 0; i < 300; ++i)
        for (const std::int64_t identity :
             wanted(std::string("turn ").append(std::to_string(i)), {1, 9}, "abcd"))
            ++chosen[identity];
    EXPECT_EQ(chosen[1], 300);
    for (const std::int64_t identity : {2, 3, 4}) EXPECT_GT(chosen[identity], 60);
}

// Enough holders, in too few zones: written anew in haste, then one was lost.
TEST(Placement, TwoHoldersInOneZoneAreNotEnough) {
    const std::set<std::int64_t> chosen = wanted("t", {1, 2}, "aabc");
    EXPECT_EQ(chosen.size(), 3u);
    EXPECT_TRUE(chosen.count(3) || chosen.count(4));
}

TEST(Placement, FewerZonesThanCopiesAreMadeUpByMembers) {
    EXPECT_EQ(wanted("t", {1}, "aaa").size(), 2u);
    EXPECT_EQ(wanted("t", {1}, "aab", 2).size(), 3u);
    EXPECT_EQ(wanted("t", {}, "a").size(), 1u);
}

// Zones a and b are one region, c and d another, and so on.
wire::StorageMap with_regions(const std::string& zones) {
    wire::StorageMap map = map_of(zones);
    for (wire::StorageMember& member : map.members)
        member.__set_region(std::string(1, static_cast<char>('w' + (member.zone[0] - 'a') / 2)));
    return map;
}

std::set<std::string> regions_of(const Identities& identities, const wire::StorageMap& map) {
    std::set<std::string> regions;
    for (const std::int64_t identity : identities) regions.insert(find_member(map, identity)->region);
    return regions;
}

// Both copies lay in one region, whose loss `survive` allows.
TEST(Placement, CopiesLieInAsManyRegionsAsOutlastALoss) {
    const failure_domain::LossTolerance survive{.machines = 0, .zones = 0, .regions = 1};
    for (const std::string zones : {"abcdef", "abcde", "ababcd"}) {
        const wire::StorageMap map = with_regions(zones);
        for (int i = 0; i < 100; ++i) {
            const std::string id = std::string("turn ").append(std::to_string(i));
            const Identities chosen = wanted_holders(id, {1, 2}, map, survive);
            EXPECT_EQ(regions_of(chosen, map).size(), 2u) << zones;
            EXPECT_EQ(chosen.size(), 3u) << zones << ": the holders stay, and one joins them";
            EXPECT_EQ(wanted_holders(id, {1}, map, survive).size(), 2u) << zones;
        }
    }
    EXPECT_EQ(wanted_holders("t", {1, 2}, with_regions("abab"), survive).size(), 2u) << "there is one region";
}

TEST(Placement, ThoseThatStandForAProgramOutlastALossOfARegion) {
    const failure_domain::LossTolerance survive{.machines = 0, .zones = 0, .regions = 1};
    const wire::StorageMap map = with_regions("ababcdef");
    for (int i = 0; i < 100; ++i) {
        Identities standing;
        for (const wire::StorageMember& member : map.members)
            if (stands_for(std::string("program ").append(std::to_string(i)), member.identity, map, survive))
                standing.push_back(member.identity);
        EXPECT_GE(regions_of(standing, map).size(), 2u);
    }
}

TEST(Placement, SomeMembersStandForAProgram) {
    const wire::StorageMap map = map_of("abcdef");
    for (int i = 0; i < 50; ++i) {
        int standing = 0;
        for (std::int64_t identity = 1; identity <= 6; ++identity)
            standing +=
                stands_for(std::string("program ").append(std::to_string(i)), identity, map, {.machines = 1});
        EXPECT_EQ(standing, 2);
    }
}

}  // namespace
}  // namespace whinledge::storage_map::test
