// Counts of how often prompts begin alike, against the truth.
#include "placement/start_rates.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>

namespace whinledge::placement {
namespace {

TEST(StartRates, ABeginningOfOneProgramIsNotSharedUntilAnotherHasIt) {
    StartRates rates;
    rates.count(std::vector<PromptPart>{{1, 100}}, 7, 0);
    rates.count(std::vector<PromptPart>{{1, 100}}, 7, 10);
    EXPECT_FALSE(rates.is_shared(1));
    rates.count(std::vector<PromptPart>{{1, 100}}, 8, 20);
    EXPECT_TRUE(rates.is_shared(1));
    EXPECT_FALSE(rates.is_shared(2));
}

TEST(StartRates, RequestsOfNoProgramShareTheirBeginnings) {
    StartRates rates;
    rates.count(std::vector<PromptPart>{{1, 100}}, 0, 0);
    EXPECT_TRUE(rates.is_shared(1));
}

// Against sums worked out anew from all that came.
TEST(StartRates, SharesAndRatesAreThoseOfFadingSums) {
    StartRates::Options options;
    StartRates rates(options);
    std::mt19937_64 random(4);
    std::vector<std::pair<Millis, std::uint64_t>> came;
    Millis now = 0;
    for (int request = 0; request < 3000; ++request) {
        now += std::exponential_distribution<Millis>(0.05)(random);
        const std::uint64_t id = 1 + random() % 5;
        came.emplace_back(now, id);
        rates.count(std::vector<PromptPart>{{id, 100}}, 0, now);
    }
    double all = 0, first = 0, recent = 0;
    for (const auto& [at, id] : came) {
        all += std::exp((at - now) / options.memory);
        if (id == 1) first += std::exp((at - now) / options.memory);
        recent += std::exp((at - now) / options.recent_memory);
    }
    EXPECT_NEAR(rates.share(1, {10, 0}, now), first / (all + 10), 1e-9);
    EXPECT_NEAR(rates.share(1, {50, 0.5}, now), (first + 25) / (all + 50), 1e-9);
    EXPECT_NEAR(rates.share(99, {50, 0.5}, now), 25 / (all + 50), 1e-9);
    EXPECT_NEAR(rates.request_rate(now), recent / 5, 1e-6);
}

TEST(StartRates, StayRightThroughADayAndAPause) {
    StartRates rates;
    Millis now = 0;
    for (int request = 0; request < 200000; ++request)
        rates.count(std::vector<PromptPart>{{1, 100}}, 0, now += 50);
    EXPECT_NEAR(rates.request_rate(now), 20, 0.3);
    now += 1e9;
    EXPECT_NEAR(rates.request_rate(now), 0, 1e-9);
    rates.count(std::vector<PromptPart>{{1, 100}}, 0, now);
    EXPECT_NEAR(rates.request_rate(now), 0.2, 1e-6);
}

TEST(StartRates, TheBusiestAreThoseThatSpareMost) {
    StartRates rates;
    Millis now = 0;
    for (int request = 0; request < 300; ++request) {
        now += 10;
        rates.count(std::vector<PromptPart>{{1, 1000}}, 0, now);
        if (request % 3 == 0) rates.count(std::vector<PromptPart>{{2, 9000}}, 0, now);
        rates.count(std::vector<PromptPart>{{3, 10}}, 0, now);
        rates.count(std::vector<PromptPart>{{4, 100000}}, 5, now);  // of one program alone
    }
    const std::vector<BusyStart> busiest = rates.busiest(2, now);
    ASSERT_EQ(busiest.size(), 2U);
    EXPECT_EQ(busiest[0].id, 2U);
    EXPECT_EQ(busiest[1].id, 1U);
    EXPECT_EQ(busiest[0].tokens, 9000);
}

TEST(StartRates, WhatHasEndedIsNotBusyAnyMore) {
    StartRates rates;
    for (Millis now = 0; now < 3000; now += 10) rates.count(std::vector<PromptPart>{{1, 1000}}, 0, now);
    EXPECT_EQ(rates.busiest(4, 3000).size(), 1U);
    EXPECT_TRUE(rates.busiest(4, 40000).empty());
}

// Zipf-like traffic of ten times as many beginnings as there is room for.
TEST(StartRates, CountsAreTooLowByTheStatedErrorAtMost) {
    StartRates::Options options;
    options.capacity = 200;
    StartRates rates(options);
    std::mt19937_64 random(9);
    std::map<std::uint64_t, double> truth;
    Millis now = 0;
    for (int request = 0; request < 40000; ++request) {
        now += 1;
        const double u = std::uniform_real_distribution<double>(0, 1)(random);
        const auto id = static_cast<std::uint64_t>(std::pow(2000.0, u));
        truth[id] += std::exp((now - 40000) / options.memory);
        rates.count(std::vector<PromptPart>{{id, 100}}, 0, now);
    }
    EXPECT_LE(rates.size(), options.capacity);
    double all = 0;
    for (const auto& [id, count] : truth) all += count;
    const double error = rates.error_bound(now);
    EXPECT_GT(error, 0);
    EXPECT_LE(error, 2 * all / static_cast<double>(options.capacity));
    for (const auto& [id, count] : truth) {
        const double counted = rates.share(id, {0, 0}, now) * all;
        EXPECT_LE(counted, count + 1e-6) << id;
        EXPECT_GE(counted, count - error - 1e-6) << id;
    }
}

TEST(StartRates, ManyOfOneRateStayWithinTheRoom) {
    StartRates rates;
    Millis now = 0;
    for (std::uint64_t id = 1; id <= 20000; ++id)
        rates.count(std::vector<PromptPart>{{id, 100}}, 0, now += 1);
    EXPECT_LE(rates.size(), StartRates::Options().capacity);
    EXPECT_GE(rates.size(), StartRates::Options().capacity / 2);
}

}  // namespace
}  // namespace whinledge::placement
