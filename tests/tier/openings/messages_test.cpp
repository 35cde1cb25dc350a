// Messages of openings: what was told comes out as it was, and what is out of bounds is cut.
#include "openings/messages.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace whinledge::openings {
namespace {

wire::ServiceOpenings service(const std::string& name, std::int32_t rate, std::int32_t of_opening) {
    wire::ServiceOpenings told;
    told.service_name = name;
    told.per_kilosecond = rate;
    wire::OpeningRate opening;
    opening.key = 7;
    opening.tokens = 100;
    opening.per_kilosecond = of_opening;
    told.openings.push_back(opening);
    return told;
}

TEST(OpeningsMessages, TrafficComesOutAsItWasTold) {
    const Traffic traffic{{"chat", 12.5, {{0xfedcba9876543210, 3000, 4.125}, {2, 50, 0.5}}}, {"desk", 1, {}}};
    EXPECT_EQ(from_wire(to_wire(traffic), kMostToldOpenings), traffic);
}

TEST(OpeningsMessages, NoOpeningComesMoreOftenThanAllRequests) {
    const Traffic traffic = from_wire({service("chat", 2000, 900000)}, 4);
    EXPECT_EQ(traffic, (Traffic{{"chat", 2, {{7, 100, 2}}}}));
}

TEST(OpeningsMessages, NegativeFiguresAreNone) {
    wire::ServiceOpenings told = service("chat", 5000, -3);
    told.openings.front().tokens = std::numeric_limits<std::int32_t>::min();
    EXPECT_EQ(from_wire({told}, 4), (Traffic{{"chat", 5, {{7, 0, 0}}}}));
    EXPECT_TRUE(from_wire({service("chat", -1, 5)}, 4).empty());
}

TEST(OpeningsMessages, ServicesAndOpeningsThatComeTwiceCountOnce) {
    wire::ServiceOpenings told = service("chat", 5000, 1000);
    told.openings.push_back(told.openings.front());
    EXPECT_EQ(from_wire({told, told}, 4), (Traffic{{"chat", 5, {{7, 100, 1}}}}));
}

TEST(OpeningsMessages, NumbersAreBounded) {
    std::vector<wire::ServiceOpenings> told;
    for (int each = 0; each < 1000; ++each) {
        told.push_back(service(std::string("s").append(std::to_string(each)), 5000, 0));
        told.back().openings.clear();
        for (std::int64_t key = 0; key < 1000; ++key) {
            wire::OpeningRate opening;
            opening.key = each * 1000 + key;
            opening.tokens = 100;
            opening.per_kilosecond = 1000;
            told.back().openings.push_back(opening);
        }
    }
    const Traffic traffic = from_wire(told, kMostToldOpenings);
    std::size_t openings = 0;
    for (const ServiceTraffic& each : traffic) openings += each.openings.size();
    EXPECT_LE(traffic.size(), kMostServices);
    EXPECT_EQ(openings, kMostToldOpenings);
    EXPECT_TRUE(from_wire({service(std::string(100000, 'x'), 5000, 1)}, 4).empty());
}

TEST(OpeningsMessages, AnAnswerLeavesOutTheSumThatTheNodeHolds) {
    Merger merger(3);
    wire::OpeningsRequest request;
    request.node = 10;
    request.sequence = 1;
    request.seen = {service("chat", 5000, 1000)};
    const wire::OpeningsReply first = answer(merger, request, 0);
    EXPECT_FALSE(first.unchanged);
    EXPECT_EQ(*from_wire(first).sum, (Traffic{{"chat", 5, {{7, 100, 1}}}}));
    request.sequence = 2;
    request.known_source = first.source;
    request.known_version = first.version;
    const wire::OpeningsReply second = answer(merger, request, 300);
    EXPECT_TRUE(second.unchanged);
    EXPECT_TRUE(second.sum.empty());
    EXPECT_FALSE(from_wire(second).sum);
}

TEST(OpeningsMessages, ASubtotalComesOutAsItWasTold) {
    const Subtotal subtotal{9, 4, {{"chat", 5, {{7, 100, 1}}}}, {{1, 3}, {0xffffffffffffffff, 1}}};
    const Subtotal read = from_wire(to_wire(subtotal));
    EXPECT_EQ(read.source, 9U);
    EXPECT_EQ(read.sequence, 4U);
    EXPECT_EQ(read.traffic, subtotal.traffic);
    EXPECT_EQ(read.newcomers, subtotal.newcomers);
}

}  // namespace
}  // namespace whinledge::openings
