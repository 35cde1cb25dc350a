// The overlay of 30, 300 and 1,000 processes on simulated network and time.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "overlay_fleet.hpp"

namespace whinledge::overlay {
namespace {

constexpr Topic kStates = 1;
constexpr Millis kDeliveryBound = 2000;  // within which a version must be in force

OverlayFleet::Options of(std::size_t processes, std::uint64_t seed = 1) {
    OverlayFleet::Options options;
    options.edges = processes - options.controls;
    options.seed = seed;
    return options;
}

class FleetOf : public testing::TestWithParam<std::size_t> {
protected:
    // A fleet that has run for a while and has delivered a first version.
    static OverlayFleet settled(const OverlayFleet::Options& options) {
        OverlayFleet fleet(options);
        fleet.run(4000);
        fleet.publish(0, kStates, 1);
        fleet.run(4000);
        return fleet;
    }

    void delivers(OverlayFleet& fleet, std::int64_t sequence, const std::string& what,
                  Millis bound = kDeliveryBound) {
        const auto after = fleet.run_until([&] { return fleet.all_hold(kStates, sequence); }, bound);
        EXPECT_TRUE(after) << what << ": " << fleet.without(kStates, sequence) << " have it not after "
                           << bound;
        if (after)
            std::printf("[ figures  ] %s: %zu processes, all after %.0f ms\n", what.c_str(), fleet.size(),
                        *after);
        EXPECT_TRUE(fleet.faults().empty()) << fleet.faults().front();
    }
};

TEST_P(FleetOf, IsConnectedSoonAfterAllStarted) {
    OverlayFleet fleet(of(GetParam()));
    const auto after = fleet.run_until([&] { return fleet.connected(); }, 5000);
    ASSERT_TRUE(after);
    std::printf("[ figures  ] connected: %zu processes after %.0f ms\n", fleet.size(), *after);
    EXPECT_LE(*after, 3000);
    fleet.run(5000);
    EXPECT_TRUE(fleet.connected());
    for (std::size_t i = 0; i < fleet.size(); ++i) EXPECT_GE(fleet.at(i).view().active().size(), 2U);
}

TEST_P(FleetOf, DeliversToAll) {
    OverlayFleet fleet = settled(of(GetParam()));
    fleet.reset_costs();
    fleet.publish(1, kStates, 2);
    delivers(fleet, 2, "calm", 1000);
    fleet.run(1000);
    const OverlayFleet::Cost cost = fleet.total();
    std::printf("[ figures  ] %.2f pushes, %.2f of them duplicates, for each process; %d hops\n",
                static_cast<double>(cost.pushes) / static_cast<double>(fleet.size()),
                static_cast<double>(cost.duplicates) / static_cast<double>(fleet.size()), fleet.most_hops());
}

TEST_P(FleetOf, DeliversWhereAllRootsPublish) {
    OverlayFleet fleet = settled(of(GetParam()));
    for (std::size_t root = 0; root < 3; ++root) {
        fleet.publish(root, kStates, 2);
        fleet.run(5);
    }
    delivers(fleet, 2, "all roots", 1000);
}

TEST_P(FleetOf, DeliversUnderLoss) {
    OverlayFleet::Options options = of(GetParam());
    options.loss = 0.05;
    OverlayFleet fleet = settled(options);
    for (std::int64_t sequence = 2; sequence < 12; ++sequence) {
        fleet.publish(static_cast<std::size_t>(sequence) % 3, kStates, sequence);
        delivers(fleet, sequence, "5 % lost");
        fleet.run(500);
    }
    EXPECT_TRUE(fleet.connected());
}

TEST_P(FleetOf, DeliversWhileHalfAreKilled) {
    OverlayFleet fleet = settled(of(GetParam()));
    for (std::size_t i = 1; i < fleet.size(); i += 2) fleet.kill(i);
    fleet.publish(0, kStates, 2);
    delivers(fleet, 2, "half killed");
    const auto after = fleet.run_until([&] { return fleet.connected(); }, 5000);
    EXPECT_TRUE(after);
    for (std::size_t i = 1; i < fleet.size(); i += 2) fleet.start(i);
    delivers(fleet, 2, "half started again");
    fleet.publish(1, kStates, 3);
    delivers(fleet, 3, "then");
}

TEST_P(FleetOf, DeliversWhileAThirdIsDark) {
    OverlayFleet fleet = settled(of(GetParam()));
    for (std::size_t i = 1; i < fleet.size(); i += 3) fleet.power_off(i);
    fleet.publish(0, kStates, 2);
    delivers(fleet, 2, "a third without power");
    fleet.run(3000);
    EXPECT_TRUE(fleet.connected());
}

TEST_P(FleetOf, DeliversAfterAllWereRestarted) {
    OverlayFleet fleet = settled(of(GetParam()));
    for (std::size_t i = 0; i < fleet.size(); ++i) fleet.kill(i);
    fleet.run(500);
    for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i);
    fleet.publish(0, kStates, 2);
    delivers(fleet, 2, "all restarted");
}

TEST_P(FleetOf, FrozenRelaysAreGraftedAround) {
    OverlayFleet fleet = settled(of(GetParam()));
    // Those that the root pushes to, and a tenth of the rest.
    for (std::size_t i = 3; i < fleet.size(); ++i)
        if (fleet.at(0).tree().eager(OverlayFleet::address(i)) ? i % 2 == 0 : i % 10 == 0) fleet.freeze(i);
    fleet.publish(0, kStates, 2);
    delivers(fleet, 2, "relays frozen", 1000);
    fleet.run(5000);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (fleet.frozen(i)) fleet.thaw(i);
    delivers(fleet, 2, "thawed");
    fleet.publish(2, kStates, 3);
    delivers(fleet, 3, "then");
}

// Their links stand, as they answer in time; those behind them are not to wait for them.
TEST_P(FleetOf, SlowRelaysAreGraftedAround) {
    constexpr Millis kSlow = 20;  // for each message, a hundred times the usual
    OverlayFleet fleet = settled(of(GetParam()));
    std::vector<bool> slow(fleet.size(), false);
    for (std::size_t i = 3; i < fleet.size(); ++i) {
        slow[i] = fleet.at(0).tree().eager(OverlayFleet::address(i)) ? i % 2 == 0 : i % 10 == 0;
        if (slow[i]) fleet.slow(i, kSlow);
    }
    for (std::int64_t sequence = 2; sequence <= 6; ++sequence) {
        fleet.publish(0, kStates, sequence);
        const auto others = fleet.run_until(
            [&] { return fleet.all_hold(kStates, sequence, [&](std::size_t i) { return !slow[i]; }); },
            kDeliveryBound);
        ASSERT_TRUE(others) << sequence;
        std::printf("[ figures  ] relays slow: %zu processes, all others after %.0f ms\n", fleet.size(),
                    *others);
        EXPECT_LE(*others, 1000) << sequence;
        delivers(fleet, sequence, "relays slow, themselves too");
    }
}

// They have taken the body and not passed it on yet.
TEST_P(FleetOf, RelaysFrozenInTheMiddleOfAPush) {
    OverlayFleet fleet = settled(of(GetParam()));
    fleet.publish(0, kStates, 2);
    std::size_t frozen = 0;
    for (int step = 0; step < 40 && frozen < 3; ++step) {
        fleet.run(0.25);
        for (std::size_t i = 3; i < fleet.size() && frozen < 3; ++i) {
            if (fleet.frozen(i) || fleet.held(i, kStates) < 2) continue;
            fleet.freeze(i);
            ++frozen;
        }
    }
    EXPECT_EQ(frozen, 3U);
    delivers(fleet, 2, "frozen in a push", 1500);
    for (std::size_t i = 3; i < fleet.size(); ++i)
        if (fleet.frozen(i)) fleet.thaw(i);
    fleet.publish(0, kStates, 3);
    delivers(fleet, 3, "thawed");
}

TEST_P(FleetOf, AProxyThatWasCutOffDuringThreeChangesHasTheNewest) {
    OverlayFleet fleet = settled(of(GetParam()));
    const std::size_t away = fleet.size() - 1;
    fleet.passes = [away](std::size_t from, std::size_t to) { return from != away && to != away; };
    fleet.run(500);
    for (std::int64_t sequence = 2; sequence <= 4; ++sequence) {
        fleet.publish(static_cast<std::size_t>(sequence) % 3, kStates, sequence);
        fleet.run(1500);
        EXPECT_TRUE(fleet.all_hold(kStates, sequence, [away](std::size_t i) { return i != away; }));
        EXPECT_EQ(fleet.held(away, kStates), 1);
    }
    fleet.passes = {};
    delivers(fleet, 4, "back after three changes", 5000);
}

TEST_P(FleetOf, DeliversWhileHalfAreRestarted) {
    OverlayFleet fleet = settled(of(GetParam()));
    fleet.publish(0, kStates, 2);
    const auto under_way = fleet.run_until([&] { return fleet.without(kStates, 2) < fleet.size() * 3 / 4; },
                                           kDeliveryBound, 0.25);
    ASSERT_TRUE(under_way);
    EXPECT_GT(fleet.without(kStates, 2), fleet.size() / 10) << "it is still going down";
    for (std::size_t i = 4; i < fleet.size(); i += 2) fleet.kill(i);
    fleet.run(3);
    for (std::size_t i = 4; i < fleet.size(); i += 2) fleet.start(i);
    delivers(fleet, 2, "half restarted meanwhile");
}

TEST_P(FleetOf, ACutHeals) {
    OverlayFleet fleet = settled(of(GetParam()));
    // Root 0 on one side, 1 and 2 on the other.
    const auto side = [](std::size_t i) { return i == 1 || i == 2 || (i > 2 && i % 2 == 0); };
    fleet.passes = [&](std::size_t from, std::size_t to) { return side(from) == side(to); };
    fleet.publish(0, kStates, 2);
    fleet.publish(1, kStates, 2);
    delivers(fleet, 2, "cut, on each side");
    fleet.run(20000);
    EXPECT_TRUE(fleet.connected(side));
    fleet.publish(1, kStates, 3);
    fleet.run(1000);
    EXPECT_TRUE(fleet.all_hold(kStates, 3, side));
    fleet.passes = {};
    const auto after = fleet.run_until([&] { return fleet.connected(); }, 20000);
    ASSERT_TRUE(after);
    std::printf("[ figures  ] joined again: %zu processes after %.0f ms\n", fleet.size(), *after);
    delivers(fleet, 3, "cut healed");
    fleet.publish(2, kStates, 4);
    delivers(fleet, 4, "then");
}

TEST_P(FleetOf, LivesWithoutItsSeeds) {
    OverlayFleet::Options options = of(GetParam());
    options.controls = 4;  // the fourth is no seed
    OverlayFleet fleet = settled(options);
    for (std::size_t i = 0; i < 3; ++i) fleet.power_off(i);
    fleet.run(3000);
    fleet.publish(3, kStates, 2);
    delivers(fleet, 2, "seeds gone");
    // Others know them and knock.
    for (std::size_t i = 4; i < fleet.size(); i += 7) fleet.kill(i);
    fleet.run(1000);
    for (std::size_t i = 4; i < fleet.size(); i += 7) fleet.start(i);
    delivers(fleet, 2, "started without seeds", 10000);
}

TEST_P(FleetOf, ACutOffPartWithoutARootFindsBack) {
    OverlayFleet fleet = settled(of(GetParam()));
    const auto side = [](std::size_t i) { return i > 2 && i % 3 == 0; };
    fleet.passes = [&](std::size_t from, std::size_t to) { return side(from) == side(to); };
    fleet.run(240000);  // nobody knocks at lost neighbours any more
    fleet.publish(0, kStates, 2);
    fleet.run(1000);
    fleet.passes = {};
    delivers(fleet, 2, "found back", 15000);
}

INSTANTIATE_TEST_SUITE_P(Sizes, FleetOf, testing::Values(30, 300, 1000),
                         [](const auto& info) { return std::to_string(info.param); });

struct Rates {
    double messages = 0, bytes = 0;  // each second, sent by a process in the mean
    double most_messages = 0;        // of the busiest process
};

// `each`: processes, times the seconds that were played.
void print_kinds(const OverlayFleet::Cost& cost, double each) {
    static constexpr std::array<const char*, OverlayFleet::kKinds> kNames{
        "neighbour", "walk", "shuffle", "disconnect", "push", "graft", "sign of life"};
    for (std::size_t kind = 0; kind < OverlayFleet::kKinds; ++kind)
        std::printf("[ figures  ]   %-12s %5.2f calls/s, %6.0f B/s with their replies\n", kNames[kind],
                    static_cast<double>(cost.by_kind[kind].calls) / each,
                    static_cast<double>(cost.by_kind[kind].bytes) / each);
}

Rates rates(std::size_t processes, int versions) {
    OverlayFleet fleet(of(processes));
    fleet.run(4000);
    fleet.publish(0, kStates, 1, 20000);
    fleet.run(6000);
    fleet.reset_costs();
    for (int i = 0; i < 20; ++i) {
        if (i < versions) fleet.publish(0, kStates, i + 2, 20000);
        fleet.run(1000);
    }
    Rates found;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const OverlayFleet::Cost cost = fleet.cost_of(i);
        found.messages += static_cast<double>(cost.messages) / 20 / static_cast<double>(processes);
        found.bytes += static_cast<double>(cost.bytes) / 20 / static_cast<double>(processes);
        found.most_messages = std::max(found.most_messages, static_cast<double>(cost.messages) / 20);
    }
    print_kinds(fleet.total(), 20.0 * static_cast<double>(processes));
    std::printf(
        "[ figures  ] %zu processes, %d versions of 20 kB in 20 s: a process sends %.1f messages/s, %.0f "
        "B/s; "
        "the busiest %.1f messages/s\n",
        processes, versions, found.messages, found.bytes, found.most_messages);
    return found;
}

TEST(OverlayCost, IsFlatInTheNumberOfProcesses) {
    for (const int versions : {0, 10}) {
        const Rates small = rates(30, versions);
        const Rates large = rates(1000, versions);
        EXPECT_LT(large.messages, small.messages * 1.25);
        EXPECT_LT(large.bytes, small.bytes * 1.25);
        EXPECT_LT(large.most_messages, small.most_messages * 1.5);
    }
}

// While all start, a seed handles few messages for each newcomer.
TEST(OverlayCost, OfASeedWhileAllStart) {
    OverlayFleet fleet(of(1000));
    fleet.run(3000);
    for (std::size_t i = 0; i < 3; ++i) {
        std::printf("[ figures  ] seed %zu sent %llu messages for 1000 newcomers\n", i,
                    static_cast<unsigned long long>(fleet.cost_of(i).messages));
        EXPECT_LT(fleet.cost_of(i).messages, 6000U);
    }
}

// Bytes between zones are dear: a body goes to each zone a few times, not to each process.
TEST(OverlayCost, FewBodiesPassBetweenZones) {
    OverlayFleet::Options options = of(300);
    options.controls = 4;
    OverlayFleet fleet(options);
    fleet.run(20000);
    for (std::int64_t sequence = 1; sequence < 4; ++sequence) {
        fleet.publish(0, kStates, sequence);
        fleet.run(2000);
    }
    fleet.reset_costs();
    for (std::int64_t sequence = 4; sequence < 14; ++sequence) {
        for (std::size_t root = 0; root < 4; ++root) fleet.publish(root, kStates, sequence);
        fleet.run(2000);
    }
    const OverlayFleet::Cost cost = fleet.total();
    const double share = static_cast<double>(cost.far_pushes) / static_cast<double>(cost.pushes);
    std::printf("[ figures  ] of %llu pushes %.1f %% passed between zones\n",
                static_cast<unsigned long long>(cost.pushes), 100 * share);
    EXPECT_LT(share, 0.15);
}

// The checker sees a tree that can't heal.
TEST(OverlayChecker, SeesThatNobodyGrafts) {
    OverlayFleet::Options options = of(300);
    options.grafts = false;
    OverlayFleet fleet(options);
    fleet.run(4000);
    fleet.publish(0, kStates, 1);
    EXPECT_FALSE(fleet.run_until([&] { return fleet.all_hold(kStates, 1); }, 10000));
    EXPECT_GT(fleet.without(kStates, 1), 100U);
}

}  // namespace
}  // namespace whinledge::overlay
