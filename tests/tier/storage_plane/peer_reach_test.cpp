#include "storage_plane/peer_reach.hpp"

#include <gtest/gtest.h>

namespace whinledge::storage_plane::test {
namespace {

using Identities = std::set<std::int64_t>;
constexpr std::int64_t kAwayAfterMs = PeerReach::Options().away_after_ms;
constexpr std::int64_t kDoubtedAfterMs = PeerReach::Options().doubted_after_ms;
constexpr std::int64_t kStallMs = PeerReach::Options().stall_ms;

TEST(PeerReach, WhoAnswersIsAble) {
    PeerReach reach;
    reach.step(0);
    reach.asked(1, 0);
    reach.answered(1, false);
    reach.step(kAwayAfterMs);
    EXPECT_EQ(reach.unable(), Identities{});
    EXPECT_FALSE(reach.suspects());
}

TEST(PeerReach, WhoDoesNotAnswerIsSuspectedAndThenAway) {
    PeerReach reach;
    reach.step(0);
    reach.asked(1, 0);
    reach.failed(1);
    reach.step(kAwayAfterMs - 1);
    EXPECT_TRUE(reach.suspects());
    EXPECT_FALSE(reach.is_away(1));
    reach.asked(1, kAwayAfterMs - 1);  // the first question counts
    reach.step(kAwayAfterMs);
    EXPECT_TRUE(reach.is_away(1));
    reach.answered(1, false);
    EXPECT_EQ(reach.unable(), Identities{});
}

TEST(PeerReach, WhoIsAwayForLongerIsDoubted) {
    PeerReach reach;
    reach.step(0);
    reach.asked(1, 0);
    reach.failed(1);
    reach.step(kDoubtedAfterMs - 1);
    EXPECT_EQ(reach.unable(), Identities{1});
    EXPECT_EQ(reach.doubted(), Identities{});
    EXPECT_TRUE(reach.suspects());
    reach.step(kDoubtedAfterMs);
    EXPECT_EQ(reach.doubted(), Identities{1});
    EXPECT_FALSE(reach.suspects());
}

// A long answer is none that failed.
TEST(PeerReach, WhoIsOnlySlowIsNotAway) {
    PeerReach reach;
    reach.step(0);
    reach.asked(1, 0);
    reach.step(kAwayAfterMs);
    EXPECT_FALSE(reach.is_away(1));
}

TEST(PeerReach, WhoIsFullIsThereAndUnable) {
    PeerReach reach;
    reach.step(0);
    reach.asked(1, 0);
    reach.answered(1, true);
    EXPECT_TRUE(reach.is_full(1));
    EXPECT_FALSE(reach.is_away(1));
    EXPECT_EQ(reach.unable(), Identities{1});
    reach.answered(1, false);
    EXPECT_EQ(reach.unable(), Identities{});
}

// Frozen itself, a member finds all its calls out of time as it goes on.
TEST(PeerReach, AStallOfOnesOwnSaysNothingOfOthers) {
    PeerReach reach;
    reach.step(0);
    reach.asked(1, 0);
    reach.failed(1);
    const std::int64_t thawed_ms = kStallMs + 1;
    reach.step(thawed_ms);
    EXPECT_FALSE(reach.is_away(1));
    reach.step(thawed_ms + kAwayAfterMs);
    EXPECT_TRUE(reach.is_away(1));
}

TEST(PeerReach, WhoIsNoMemberAnyMoreIsForgotten) {
    PeerReach reach;
    reach.step(0);
    for (const std::int64_t identity : {1, 2}) reach.answered(identity, true);
    reach.keep_only({2});
    EXPECT_EQ(reach.unable(), Identities{2});
}

}  // namespace
}  // namespace whinledge::storage_plane::test
