// What other processes tell of shared beginnings: a process that has seen nothing yet goes where they go.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "placement/placement.hpp"

namespace whinledge::placement {
namespace {

constexpr std::uint64_t kModel = 3;
constexpr std::uint64_t kSystem = 100, kDesk = 200;  // parts: of all prompts, of the busy opening

std::vector<ListedServer> servers(int count) {
    std::vector<ListedServer> list;
    for (int i = 0; i < count; ++i)
        list.push_back({std::string("m").append(std::to_string(i)), "z", false, 0, 16});
    return list;
}

// The first turn of a program of its own: what all share, the busy opening, a private document, its own
// words.
Request first_turn(std::uint64_t program, std::uint64_t opening = kDesk) {
    Request request;
    request.model = kModel;
    request.parts = {{kSystem, 400}, {opening, 2600}, {mixed(program, 1), 900}, {mixed(program, 2), 200}};
    request.tokens = {4100, 100};
    request.program = program;
    request.line = program;
    return request;
}

// Sends so many first turns through a process, one every so many milliseconds, each to its best server. Six
// openings in turn, the busy one among them; gives the servers that this one went to.
std::set<std::string> play(Placement& placement, std::uint64_t first, int count, Millis start, Millis gap) {
    std::set<std::string> used;
    for (int each = 0; each < count; ++each) {
        const Millis now = start + each * gap;
        const std::uint64_t opening = kDesk + static_cast<std::uint64_t>(each % 6);
        const Request request = first_turn(first + static_cast<std::uint64_t>(each), opening);
        const std::string server = placement.candidates(request, now).front();
        if (opening == kDesk) used.insert(server);
        const SendId send = first + static_cast<SendId>(each);
        placement.sent(send, server, request, now);
        placement.began(send, now + 50);
        placement.ended(send, true, now + 200);
    }
    return used;
}

// Each opening has a few of the servers, so that it shows who knows which.
Settings narrow() {
    Settings settings;
    settings.spread = 1.5;
    return settings;
}

std::vector<ToldStart> told_by(const Placement& placement, Millis now) {
    std::vector<ToldStart> told;
    for (const BusyStart& start : placement.busiest(16, now))
        told.push_back({start.id, start.rate / placement.request_rate(now)});
    return told;
}

TEST(ToldStarts, AProcessThatHasSeenNothingGoesWhereTheOthersWent) {
    Placement busy(narrow());
    busy.set_servers(servers(12), 0);
    const std::set<std::string> warm = play(busy, 1000, 200, 0, 100);
    ASSERT_LT(warm.size(), 12U);
    int cold_told = 0, cold_untold = 0;
    for (std::uint64_t program = 1; program <= 40; ++program) {
        // Each caller is the first that either hears of.
        Placement told(narrow()), untold(narrow());
        for (Placement* fresh : {&told, &untold}) fresh->set_servers(servers(12), 0);
        told.set_told_starts(told_by(busy, 20000));
        const Request caller = first_turn(5000 + program);
        if (!warm.contains(told.candidates(caller, 20000).front())) ++cold_told;
        if (!warm.contains(untold.candidates(caller, 20000).front())) ++cold_untold;
    }
    EXPECT_EQ(cold_told, 0);
    EXPECT_GT(cold_untold, 10);
}

TEST(ToldStarts, ABusyOpeningHasMoreServersAtAProcessThatSeesLittleOfIt) {
    Placement placement(narrow());
    placement.set_servers(servers(12), 0);
    const std::uint64_t opening = mixed(kDesk, kModel);
    const auto holders = [&](double share) {
        placement.set_told_starts({{opening, share}});
        std::set<std::string> held;
        for (const Estimate& estimate : placement.estimates(first_turn(77), 0))
            if (estimate.due > 0) held.insert(std::string(estimate.server));
        return held;
    };
    const std::set<std::string> few = holders(0.05), many = holders(0.5);
    EXPECT_EQ(few.size(), 2U);
    EXPECT_EQ(many.size(), 9U);
    for (const std::string& server : few) EXPECT_TRUE(many.contains(server)) << server;
}

TEST(ToldStarts, FalseWordsTakeFewServersFromABeginningThatIsBusyHere) {
    Placement placement;
    placement.set_servers(servers(12), 0);
    play(placement, 1000, 800, 0, 25);
    // By the figures of all servers of the beginning's place: who holds it has nothing added for straying.
    const auto holders = [&] {
        std::size_t held = 0;
        for (const Estimate& estimate : placement.estimates(first_turn(77), 20000))
            if (estimate.due > 0 || estimate.saved > 0) ++held;
        return held;
    };
    const std::size_t before = holders();
    ASSERT_GE(before, 3U);
    placement.set_told_starts({{mixed(kDesk, kModel), 0}, {12345, 1}});
    EXPECT_GE(holders() + 1, before);
}

TEST(ToldStarts, WhatIsToldTakesThePlaceOfWhatWasTold) {
    Placement placement, untouched;
    for (Placement* each : {&placement, &untouched}) each->set_servers(servers(12), 0);
    placement.set_told_starts({{mixed(kDesk, kModel), 0.9}});
    placement.set_told_starts({});
    const Request request = first_turn(1);
    EXPECT_EQ(placement.candidates(request, 0), untouched.candidates(request, 0));
}

TEST(ToldStarts, SharesOutOfBoundsAreTakenAsTheNearest) {
    Placement placement;
    placement.set_servers(servers(4), 0);
    placement.set_told_starts({{mixed(kDesk, kModel), 1e300}, {mixed(kSystem, kModel), -5}});
    EXPECT_FALSE(placement.candidates(first_turn(1), 0).empty());
}

}  // namespace
}  // namespace whinledge::placement
