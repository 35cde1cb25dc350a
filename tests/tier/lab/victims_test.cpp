// Whom troubles befall.
#include "lab/victims.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace whinledge::lab {
namespace {

Trouble of_share(double share) {
    Trouble made;
    made.servers = share;
    return made;
}

TEST(LabVictims, AreTheSameForTheSameDrawAndOthersForAnother) {
    std::set<std::vector<std::size_t>> drawn;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto once = victims(of_share(0.3), {seed, 0}, 10);
        EXPECT_EQ(once, victims(of_share(0.3), {seed, 0}, 10));
        EXPECT_EQ(once.size(), 3U);
        EXPECT_TRUE(std::is_sorted(once.begin(), once.end()));
        EXPECT_LT(once.back(), 10U);
        drawn.insert(once);
    }
    EXPECT_GT(drawn.size(), 10U);
    EXPECT_NE(victims(of_share(0.3), {1, 0}, 100), victims(of_share(0.3), {1, 1}, 100));
}

TEST(LabVictims, AreOneAtLeastAndAllAtMost) {
    EXPECT_EQ(victims(of_share(0), {1, 0}, 10).size(), 1U);
    EXPECT_EQ(victims(of_share(1), {1, 0}, 10).size(), 10U);
}

}  // namespace
}  // namespace whinledge::lab
