// What an operator is told of losses that the machines, as they stand, do not bear.
#include "control_plane/unborne_losses.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace whinledge::control_plane {
namespace {

using failure_domain::LossTolerance;

constexpr LossTolerance kOneZone{.machines = 0, .zones = 1, .regions = 0};
constexpr LossTolerance kOneRegion{.machines = 0, .zones = 0, .regions = 1};

// Each named by its zone; zones a and b are one region, c and d another, and so on.
template <class Member>
std::vector<Member> machines(const std::string& zones) {
    std::vector<Member> all;
    for (const char zone : zones) {
        Member& one = all.emplace_back();
        one.identity = static_cast<std::int64_t>(all.size());
        one.zone = std::string(1, zone);
        one.__set_region(std::string(1, static_cast<char>('w' + (zone - 'a') / 2)));
    }
    return all;
}

// What is named in front of each sentence.
std::string told(const std::string& acceptors, const std::string& storages, const LossTolerance& survive) {
    wire::StorageMap map;
    map.epoch = storages.empty() ? 0 : 1;
    map.members = machines<wire::StorageMember>(storages);
    for (wire::StorageMember& member : map.members) member.state = wire::StorageState::member;
    std::string names;
    for (const std::string& loss : unborne_losses(survive, machines<wire::Acceptor>(acceptors), map))
        names += (names.empty() ? "" : " ") + loss.substr(0, loss.find(':'));
    return names;
}

TEST(UnborneLosses, AreNoneWhereAllIsBorne) {
    EXPECT_EQ(told("abc", "abc", {.machines = 1}), "");
    EXPECT_EQ(told("abc", "aabc", kOneZone), "");
    EXPECT_EQ(told("ace", "abcdef", kOneRegion), "");
    EXPECT_EQ(told("", "", kOneZone), "") << "nothing is founded yet";
}

TEST(UnborneLosses, NameWhatWouldBeLost) {
    EXPECT_EQ(told("aaab", "abc", kOneZone), "configuration");
    EXPECT_EQ(told("abc", "aaa", kOneZone), "turns budgets");
    EXPECT_EQ(told("abc", "aabb", kOneZone), "budgets") << "the loss of either zone leaves a copy";
    EXPECT_EQ(told("abcd", "abcd", kOneRegion), "configuration budgets");
    EXPECT_EQ(told("ab", "ab", {.machines = 1}), "configuration budgets");
}

TEST(UnborneLosses, SayWhatIsToBeDone) {
    wire::StorageMap none;
    const auto losses = unborne_losses(kOneZone, machines<wire::Acceptor>("aaab"), none);
    ASSERT_EQ(losses.size(), 1u);
    EXPECT_EQ(
        losses[0],
        "configuration: the loss of 1 zone can leave no majority of the 4 acceptors; add a control process "
        "in another zone");
}

}  // namespace
}  // namespace whinledge::control_plane
