// Which members are slow beside the others.
#include "storage_plane/member_pace.hpp"

#include <gtest/gtest.h>

namespace whinledge::storage_plane {
namespace {

constexpr double kRound = 300;  // ms between rounds of answers: each is looked at

class MemberPaceTest : public testing::Test {
protected:
    // All answer, the first one after `first_ms`, the others after 5 to 8 ms.
    void rounds(int count, double first_ms) {
        for (int i = 0; i < count; ++i) {
            now += kRound;
            pace.answered(1, first_ms, now);
            for (std::int64_t member = 2; member <= 4; ++member)
                pace.answered(member, 4 + static_cast<double>(member), now);
        }
    }
    MemberPace pace;
    double now = 0;
};

TEST_F(MemberPaceTest, NobodyIsSlowAtFirst) {
    EXPECT_FALSE(pace.is_slow(1));
    rounds(20, 7);
    for (std::int64_t member = 1; member <= 4; ++member) EXPECT_FALSE(pace.is_slow(member));
}

TEST_F(MemberPaceTest, OneThatTakesManyTimesAsLongIsSlowUntilItRecovers) {
    rounds(5, 7);
    rounds(8, 60);
    EXPECT_TRUE(pace.is_slow(1));
    EXPECT_FALSE(pace.is_slow(2));
    rounds(20, 7);
    EXPECT_FALSE(pace.is_slow(1));
}

TEST_F(MemberPaceTest, ASingleLateAnswerIsNotEnough) {
    rounds(5, 7);
    rounds(1, 60);
    rounds(1, 7);
    EXPECT_FALSE(pace.is_slow(1));
}

TEST_F(MemberPaceTest, AFewMillisecondsMoreAreNotSlow) {
    rounds(20, 19);
    EXPECT_FALSE(pace.is_slow(1));
}

TEST_F(MemberPaceTest, WhereAllAreSlowNobodyIs) {
    for (int i = 0; i < 20; ++i) {
        now += kRound;
        for (std::int64_t member = 1; member <= 4; ++member) pace.answered(member, 200, now);
    }
    for (std::int64_t member = 1; member <= 4; ++member) EXPECT_FALSE(pace.is_slow(member));
}

TEST_F(MemberPaceTest, OneThatIsNotAskedAnyMoreIsForgotten) {
    rounds(10, 60);
    ASSERT_TRUE(pace.is_slow(1));
    for (double until = now + MemberPace::Options().remembered_ms + 2 * kRound; now < until;) {
        now += kRound;
        for (std::int64_t member = 2; member <= 4; ++member) pace.answered(member, 6, now);
    }
    EXPECT_FALSE(pace.is_slow(1));
}

TEST_F(MemberPaceTest, OneThatLeftTheMapIsForgotten) {
    rounds(10, 60);
    ASSERT_TRUE(pace.is_slow(1));
    wire::StorageMap map;
    map.members.resize(1);
    map.members[0].identity = 2;
    pace.set_map(map);
    EXPECT_FALSE(pace.is_slow(1));
}

}  // namespace
}  // namespace whinledge::storage_plane
