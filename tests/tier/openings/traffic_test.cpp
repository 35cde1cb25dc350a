// Sums of traffic, what is left out of them, and which changes are worth telling.
#include "openings/traffic.hpp"

#include <gtest/gtest.h>

namespace whinledge::openings {
namespace {

TEST(Traffic, SumsAddUpServiceByServiceAndOpeningByOpening) {
    TrafficSum sum;
    sum.add({{"chat", 10, {{1, 500, 4}, {2, 900, 1}}}});
    sum.add({{"chat", 5, {{1, 500, 3}}}, {"desk", 2, {{1, 70, 2}}}});
    EXPECT_EQ(sum.heaviest(8),
              (Traffic{{"chat", 15, {{1, 500, 7}, {2, 900, 1}}}, {"desk", 2, {{1, 70, 2}}}}));
}

TEST(Traffic, TheOrderOfWordsChangesNothing) {
    const Traffic one{{"chat", 10, {{1, 500, 4}, {2, 900, 1}}}}, other{{"chat", 5, {{3, 100, 3}}}};
    TrafficSum forth, back;
    forth.add(one);
    forth.add(other);
    back.add(other);
    back.add(one);
    EXPECT_EQ(forth.heaviest(8), back.heaviest(8));
}

TEST(Traffic, TheHeaviestOfAllServicesAreKept) {
    const Traffic kept =
        heaviest({{"a", 9, {{1, 100, 1}, {2, 100, 5}}}, {"b", 9, {{3, 100, 3}, {4, 100, 2}}}}, 2);
    EXPECT_EQ(kept, (Traffic{{"a", 9, {{2, 100, 5}}}, {"b", 9, {{3, 100, 3}}}}));
}

TEST(Traffic, ThousandOpeningsOfOneRateAreCutToTheBound) {
    ServiceTraffic service{"chat", 1000};
    for (std::uint64_t key = 1; key <= 1000; ++key) service.openings.push_back({key, 400, 1});
    const Traffic kept = heaviest({service}, kMostSummedOpenings);
    ASSERT_EQ(kept.size(), 1U);
    EXPECT_EQ(kept.front().openings.size(), kMostSummedOpenings);
    EXPECT_EQ(kept.front().rate, 1000);
}

TEST(Traffic, ServicesWithoutTrafficAreLeftOut) {
    EXPECT_EQ(heaviest({{"quiet", 0, {}}, {"chat", 1, {}}}, 4), (Traffic{{"chat", 1, {}}}));
}

TEST(Traffic, SmallChangesAreNotWorthTelling) {
    const Traffic told{{"chat", 10, {{1, 500, 4}}}};
    EXPECT_FALSE(differs(told, {{"chat", 11, {{1, 500, 4.5}}}}));
    EXPECT_TRUE(differs(told, {{"chat", 14, {{1, 500, 4}}}}));
    EXPECT_TRUE(differs(told, {{"chat", 10, {{1, 500, 8}}}}));
    EXPECT_TRUE(differs(told, {{"chat", 10, {{2, 500, 4}}}}));
    EXPECT_TRUE(differs(told, {{"chat", 10, {}}}));
    EXPECT_TRUE(differs(told, {}));
    EXPECT_FALSE(differs({}, {}));
}

}  // namespace
}  // namespace whinledge::openings
