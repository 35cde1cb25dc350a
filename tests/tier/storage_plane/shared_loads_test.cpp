// What proxies have under way at model servers, summed up at a storage member.
#include "storage_plane/shared_loads.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace whinledge::storage_plane {
namespace {

using Counts = std::vector<std::int32_t>;

wire::LoadReport report(std::int64_t proxy, std::int64_t number,
                        std::vector<std::pair<std::int32_t, std::int32_t>> under_way, Counts asked = {}) {
    wire::LoadReport made;
    made.proxy = proxy;
    made.number = number;
    for (const auto& [server, requests] : under_way) {
        wire::ServerRequests at;
        at.server = server;
        at.requests = requests;
        made.under_way.push_back(at);
    }
    made.asked = std::move(asked);
    return made;
}

TEST(SharedLoads, AreSummedUpOverAllOthers) {
    SharedLoads loads;
    loads.told(report(1, 1, {{10, 3}, {11, 1}}), 0);
    loads.told(report(2, 1, {{10, 4}}), 0);
    loads.told(report(3, 1, {{11, 2}, {12, 5}}), 0);
    EXPECT_EQ(loads.others(report(3, 1, {}, {12, 11, 10, 99}), 0), (Counts{0, 1, 7, 0}));
    EXPECT_EQ(loads.others(report(4, 1, {}, {10, 11, 12}), 0), (Counts{7, 3, 5}));
}

TEST(SharedLoads, AReportTakesThePlaceOfTheOneBefore) {
    SharedLoads loads;
    loads.told(report(1, 1, {{10, 3}, {11, 1}}), 0);
    loads.told(report(1, 2, {{11, 2}}), 5);
    EXPECT_EQ(loads.others(report(2, 1, {}, {10, 11}), 5), (Counts{0, 2}));
    EXPECT_EQ(loads.servers(), 1U);
}

TEST(SharedLoads, AReportThatComesLateIsNotTaken) {
    SharedLoads loads;
    loads.told(report(1, 7, {{10, 3}}), 0);
    loads.told(report(1, 6, {{10, 9}}), 1);
    loads.told(report(1, 7, {{10, 9}}), 1);
    EXPECT_EQ(loads.others(report(2, 1, {}, {10}), 1), (Counts{3}));
}

TEST(SharedLoads, AProxyThatTellsNothingMoreIsForgotten) {
    SharedLoads loads;
    loads.told(report(1, 1, {{10, 3}}), 0);
    loads.told(report(2, 1, {{10, 4}}), 2000);
    EXPECT_EQ(loads.others(report(3, 1, {}, {10}), 3000), (Counts{7}));
    EXPECT_EQ(loads.others(report(3, 1, {}, {10}), 3001), (Counts{4}));
    EXPECT_EQ(loads.others(report(3, 1, {}, {10}), 5001), (Counts{0}));
    EXPECT_EQ(loads.proxies(), 0U);
    EXPECT_EQ(loads.servers(), 0U);
}

TEST(SharedLoads, AProxyThatGoesOnTellingIsKept) {
    SharedLoads loads;
    for (std::int64_t i = 1; i <= 20; ++i) loads.told(report(1, i, {{10, 2}}), static_cast<double>(i) * 1000);
    EXPECT_EQ(loads.others(report(2, 1, {}, {10}), 20500), (Counts{2}));
    EXPECT_EQ(loads.proxies(), 1U);
}

TEST(SharedLoads, WhatCannotBeIsNotCounted) {
    SharedLoads loads;
    loads.told(report(1, 1, {{10, -5}, {11, 0}, {12, 2}, {12, 9}, {13, 2147483647}}), 0);
    loads.told(report(2, 1, {{13, 2147483647}}), 0);
    const Counts others = loads.others(report(3, 1, {}, {10, 11, 12, 13}), 0);
    EXPECT_EQ(others[0], 0);
    EXPECT_EQ(others[1], 0);
    EXPECT_EQ(others[2], 2) << "a server that is named twice counts once";
    EXPECT_GT(others[3], 0) << "sums stay within what they are told in";
}

TEST(SharedLoads, TheirAgeIsThatOfTheReportsInTheMean) {
    SharedLoads loads;
    EXPECT_EQ(loads.mean_age_ms(50), 0) << "nothing is told";
    loads.told(report(1, 1, {{10, 3}}), 100);
    loads.told(report(2, 1, {{10, 3}}), 300);
    EXPECT_DOUBLE_EQ(loads.mean_age_ms(400), 200);
    loads.told(report(1, 2, {{10, 3}}), 400);
    EXPECT_DOUBLE_EQ(loads.mean_age_ms(400), 50);
    EXPECT_DOUBLE_EQ(loads.mean_age_ms(3350), 2950) << "the older one is forgotten";
}

TEST(SharedLoads, AreBounded) {
    SharedLoads::Options options;
    options.most_proxies = 3;
    options.most_servers = 2;
    SharedLoads loads(options);
    for (std::int64_t proxy = 1; proxy <= 5; ++proxy)
        loads.told(report(proxy, 1, {{1, 1}, {2, 1}, {3, 1}}), 0);
    EXPECT_EQ(loads.proxies(), 3U);
    EXPECT_EQ(loads.servers(), 2U);
    EXPECT_EQ(loads.others(report(9, 1, {}, {1, 2, 3}), 0), (Counts{3, 3}))
        << "no more than so many are told";
}

}  // namespace
}  // namespace whinledge::storage_plane
