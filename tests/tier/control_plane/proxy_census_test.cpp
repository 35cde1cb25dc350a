// How many proxies there are, from what several control processes hear.
#include "control_plane/proxy_census.hpp"

#include <gtest/gtest.h>

namespace whinledge::control_plane {
namespace {

const Instant kStart = Instant(std::chrono::hours(1));
const Instant kSettled = kStart + ProxyCensus::kSettling;
constexpr std::size_t kWatchedAtOnce = 5;

TEST(ProxyCensus, AControlProcessThatHasJustStartedDoesNotKnow) {
    ProxyCensus census(kStart);
    EXPECT_EQ(census.live(3, kWatchedAtOnce, kSettled - Span(1)), std::nullopt);
    EXPECT_EQ(census.live(3, kWatchedAtOnce, kSettled), 3U);
}

TEST(ProxyCensus, WhoHearsFewerBelievesWhoHearsMore) {
    ProxyCensus census(kStart);
    census.told("b", 64, kSettled);
    census.told("c", 60, kSettled);
    EXPECT_EQ(census.live(9, kWatchedAtOnce, kSettled), 64U);
    EXPECT_EQ(census.live(70, kWatchedAtOnce, kSettled), 70U);
}

// 300 proxies, each of which watches two of five control processes.
TEST(ProxyCensus, WhereEachProxyWatchesTwoOfManyTheNumbersAreAddedAndHalved) {
    ProxyCensus census(kStart);
    for (const char* const control : {"b", "c", "d", "e"}) census.told(control, 120, kSettled);
    EXPECT_EQ(census.live(120, 2, kSettled), 300U);
}

TEST(ProxyCensus, WhatASilentControlProcessToldIsDropped) {
    ProxyCensus census(kStart);
    census.told("b", 64, kSettled);
    EXPECT_EQ(census.live(9, kWatchedAtOnce, kSettled + ProxyCensus::kHelloHolds), 64U);
    EXPECT_EQ(census.live(9, kWatchedAtOnce, kSettled + ProxyCensus::kHelloHolds + Span(1)), 9U);
}

TEST(ProxyCensus, ANewNumberReplacesTheOneBefore) {
    ProxyCensus census(kStart);
    census.told("b", 64, kSettled);
    census.told("b", 12, kSettled);
    EXPECT_EQ(census.live(9, kWatchedAtOnce, kSettled), 12U);
}

}  // namespace
}  // namespace whinledge::control_plane
