// One proxy of 64 whose processor takes long for each message: what the others hear is not held up by it, and
// when it hears of versions itself.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "overlay_fleet.hpp"

namespace whinledge::overlay {
namespace {

constexpr Topic kStates = 1, kLists = 2;
constexpr std::size_t kProcesses = 64;
constexpr int kVersions = 12;    // of both topics, by turns
constexpr Millis kEvery = 500;   // between them
constexpr Millis kOthers = 500;  // within which all others hear of each, whatever the slow one takes
constexpr Millis kItself = 500;  // and the slow one itself, at no more than kKeepsUp for each message
constexpr Millis kKeepsUp = 20;
constexpr Millis kBack = 1000;  // behind the end of its slowness it has the newest of all topics

struct Case {
    Millis handling = 0;    // of the slow one
    bool is_relay = false;  // the first root pushes to it
    std::uint64_t seed = 1;
};

struct Heard {
    Millis others = 0;               // the longest that a version took to the last of the others
    std::optional<Millis> slow_one;  // and to the slow one; none: at least one did not come before the next
    std::optional<Millis> back;      // until it had the newest, behind the end of its slowness
};

OverlayFleet settled(std::uint64_t seed) {
    OverlayFleet::Options options;
    options.edges = kProcesses - options.controls;
    options.seed = seed;
    OverlayFleet fleet(options);
    fleet.run(4000);
    for (const Topic topic : {kStates, kLists}) fleet.publish(0, topic, 1);
    fleet.run(4000);
    return fleet;
}

std::size_t chosen(const OverlayFleet& fleet, bool is_relay) {
    for (std::size_t i = 3; i < fleet.size(); ++i)
        if (fleet.at(0).tree().eager(OverlayFleet::address(i)) == is_relay) return i;
    ADD_FAILURE() << "the root pushes to all or to nobody";
    return 3;
}

Heard play(const Case& of) {
    OverlayFleet fleet = settled(of.seed);
    const std::size_t slow = chosen(fleet, of.is_relay);
    fleet.slow(slow, of.handling);
    Heard heard;
    heard.slow_one = 0;
    const auto is_other = [slow](std::size_t i) { return i != slow; };
    for (std::int64_t sequence = 2; sequence < 2 + kVersions; ++sequence) {
        const Topic topic = sequence % 2 ? kStates : kLists;
        const Millis from = fleet.now();
        fleet.publish(static_cast<std::size_t>(sequence) % 3, topic, sequence, 20000);
        const auto others =
            fleet.run_until([&] { return fleet.all_hold(topic, sequence, is_other); }, 2000, 1);
        EXPECT_TRUE(others) << sequence;
        heard.others = std::max(heard.others, others.value_or(2000));
        const auto itself = fleet.run_until([&] { return fleet.held(slow, topic) >= sequence; }, kEvery, 1);
        if (!itself) heard.slow_one = std::nullopt;
        if (heard.slow_one) heard.slow_one = std::max(*heard.slow_one, fleet.now() - from);
        fleet.run(std::max(0.0, from + kEvery - fleet.now()));
    }
    fleet.slow(slow, OverlayFleet::Options().handling);
    heard.back = fleet.run_until(
        [&] { return fleet.held(slow, kStates) >= kVersions + 1 && fleet.held(slow, kLists) >= kVersions; },
        kBack);
    EXPECT_TRUE(fleet.faults().empty());
    std::printf(
        "[ figures  ] one of %zu takes %.0f ms a message%s, seed %llu: the others have versions after "
        "%.0f ms, it has them after %.0f, and when it is well after %.0f (-1: not in time)\n",
        fleet.size(), of.handling, of.is_relay ? ", a relay" : "", static_cast<unsigned long long>(of.seed),
        heard.others, heard.slow_one.value_or(-1), heard.back.value_or(-1));
    return heard;
}

class SlowProxy : public testing::TestWithParam<Millis> {
protected:
    static std::vector<Heard> play_all(Millis handling) {
        std::vector<Heard> all;
        for (const bool is_relay : {false, true})
            for (std::uint64_t seed = 1; seed <= 4; ++seed) all.push_back(play({handling, is_relay, seed}));
        return all;
    }
};

TEST_P(SlowProxy, HoldsUpNoOtherAndIsBackSoon) {
    for (const Heard& heard : play_all(GetParam())) {
        EXPECT_LE(heard.others, kOthers);
        EXPECT_TRUE(heard.back);
        if (GetParam() > kKeepsUp) continue;
        ASSERT_TRUE(heard.slow_one);
        EXPECT_LE(*heard.slow_one, kItself);
    }
}

INSTANTIATE_TEST_SUITE_P(ForEachMessage, SlowProxy, testing::Values(kKeepsUp, 40, 100, 250),
                         [](const auto& info) {
                             return std::to_string(static_cast<int>(info.param)).append("Ms");
                         });

}  // namespace
}  // namespace whinledge::overlay
