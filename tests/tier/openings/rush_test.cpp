// Rushes in a simulated fleet: how soon all know, how right they are, and what it costs.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>

#include "openings_fleet.hpp"

namespace whinledge::openings {
namespace {

constexpr std::uint64_t kRush = 42;

double rate_of(const Traffic& traffic, std::uint64_t key) {
    for (const ServiceTraffic& service : traffic)
        for (const Opening& opening : service.openings)
            if (opening.key == key) return opening.rate;
    return 0;
}

// Every node's own steady traffic.
Traffic calm() { return {{"chat", 2, {{1, 800, 1}, {2, 400, 0.5}}}}; }

Traffic with_rush(double rate) {
    Traffic traffic = calm();
    traffic.front().rate += rate;
    traffic.front().openings.push_back({kRush, 2000, rate});
    return traffic;
}

// Milliseconds from `since` until each node holds the rush; those that never do within a bound count as it.
std::vector<Millis> known_after(OpeningsFleet& fleet, Millis since, Millis bound) {
    std::vector<Millis> known(fleet.size(), bound);
    for (Millis at = since; at <= since + bound; at += 10) {
        fleet.run_until(at);
        for (std::size_t node = 0; node < fleet.size(); ++node)
            if (known[node] == bound && rate_of(fleet.held(node), kRush) > 0) known[node] = at - since;
    }
    std::sort(known.begin(), known.end());
    return known;
}

// 300 nodes, 5 % of messages lost, ten seeds: a rush that begins at one of them.
TEST(Rush, ThatBeginsAtOneNodeIsKnownAtAllWithinASecond) {
    std::size_t late = 0, all = 0;
    Millis worst = 0, median = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        OpeningsFleet::Options options;
        options.seed = seed;
        OpeningsFleet fleet(options);
        fleet.seen = [](std::size_t node, Millis now) {
            return node == 17 && now >= 5000 ? with_rush(30) : calm();
        };
        const std::vector<Millis> known = known_after(fleet, 5000, 3000);
        late += static_cast<std::size_t>(
            std::count_if(known.begin(), known.end(), [](Millis after) { return after > 1000; }));
        all += known.size();
        worst = std::max(worst, known.back());
        median = std::max(median, known[known.size() / 2]);
    }
    std::cout << "known after: median at most " << median << " ms, worst " << worst << " ms, later than 1 s "
              << late << " of " << all << "\n";
    EXPECT_LE(median, 500);
    EXPECT_LE(static_cast<double>(late), 0.01 * static_cast<double>(all));
    EXPECT_LE(worst, 1500);
}

TEST(Rush, IsForgottenAsItEnds) {
    OpeningsFleet fleet(OpeningsFleet::Options{});
    fleet.seen = [](std::size_t node, Millis now) {
        return node == 17 && now < 4000 ? with_rush(30) : calm();
    };
    fleet.run_until(3500);
    EXPECT_GT(rate_of(fleet.held(200), kRush), 20);
    fleet.run_until(6000);
    for (std::size_t node = 0; node < fleet.size(); ++node)
        EXPECT_EQ(rate_of(fleet.held(node), kRush), 0) << node;
}

TEST(Rush, ThatMovesOnEachThreeSecondsIsFollowed) {
    OpeningsFleet fleet(OpeningsFleet::Options{});
    // A third of the nodes is a zone; the rush has another opening in each.
    const auto opening = [](Millis now) { return kRush + static_cast<std::uint64_t>(now / 3000); };
    fleet.seen = [&](std::size_t node, Millis now) {
        Traffic traffic = calm();
        const auto zone = static_cast<std::size_t>(now / 3000) % 3;
        if (node % 3 == zone) traffic.front().openings.push_back({opening(now), 2000, 1});
        return traffic;
    };
    for (int step = 0; step < 6; ++step) {
        fleet.run_until(3000 * step + 2900);
        for (const std::size_t node : {0U, 100U, 200U, 299U}) {
            EXPECT_NEAR(rate_of(fleet.held(node), opening(fleet.now())), 100, 20) << step << " " << node;
            if (step == 0) continue;
            EXPECT_EQ(rate_of(fleet.held(node), opening(fleet.now() - 3000)), 0) << step << " " << node;
        }
    }
}

// Of all nodes' rates, once they stand.
TEST(Rush, SharedRatesAreRightWithoutCountingTwice) {
    for (const std::size_t nodes : {10U, 100U, 300U}) {
        OpeningsFleet::Options options;
        options.nodes = nodes;
        OpeningsFleet fleet(options);
        fleet.seen = [](std::size_t, Millis) { return calm(); };
        fleet.run_until(5000);
        const auto truth = static_cast<double>(nodes);
        for (std::size_t node = 0; node < nodes; ++node)
            EXPECT_NEAR(rate_of(fleet.held(node), 1), truth, 0.21 * truth) << nodes;
    }
}

TEST(Rush, ANewNodeKnowsWithItsFirstAnswer) {
    OpeningsFleet fleet(OpeningsFleet::Options{});
    fleet.seen = [](std::size_t node, Millis) { return node == 17 ? with_rush(30) : calm(); };
    fleet.run_until(5000);
    fleet.restart(3);
    EXPECT_EQ(rate_of(fleet.held(3), kRush), 0);
    fleet.run_until(5700);
    EXPECT_GT(rate_of(fleet.held(3), kRush), 20);
}

TEST(Rush, ANodeThatIsCutOffForgetsAndIsForgottenAndIsBackAtOnce) {
    OpeningsFleet fleet(OpeningsFleet::Options{});
    fleet.seen = [](std::size_t node, Millis) { return node == 17 ? with_rush(30) : calm(); };
    fleet.run_until(5000);
    fleet.cut(17);
    fleet.cut(4);
    fleet.run_until(9500);
    EXPECT_TRUE(fleet.held(4).empty());
    EXPECT_EQ(rate_of(fleet.held(200), kRush), 0);
    fleet.heal(17);
    fleet.heal(4);
    fleet.run_until(11500);
    EXPECT_GT(rate_of(fleet.held(200), kRush), 20);
    EXPECT_GT(rate_of(fleet.held(4), kRush), 20);
}

TEST(Rush, IsKnownAgainAfterAllWereRestarted) {
    OpeningsFleet::Options options;
    OpeningsFleet fleet(options);
    fleet.seen = [](std::size_t node, Millis) { return node == 17 ? with_rush(30) : calm(); };
    fleet.run_until(5000);
    for (std::size_t node = 0; node < fleet.size(); ++node) fleet.restart(node);
    for (std::size_t control = 0; control < options.controls; ++control) fleet.restart_control(control);
    fleet.run_until(7000);
    for (std::size_t node = 0; node < fleet.size(); ++node)
        EXPECT_GT(rate_of(fleet.held(node), kRush), 20) << node;
    // Words of the lives before are over.
    EXPECT_NEAR(rate_of(fleet.held(0), 1), 300, 70);
}

TEST(Rush, NodesOfAControlProcessThatStopsTellAnotherAndCountOnce) {
    OpeningsFleet fleet(OpeningsFleet::Options{});
    fleet.seen = [](std::size_t, Millis) { return calm(); };
    fleet.run_until(4000);
    fleet.stop_control(2);
    fleet.run_until(8000);
    for (std::size_t node = 0; node < fleet.size(); ++node)
        EXPECT_NEAR(rate_of(fleet.held(node), 1), 300, 70) << node;
}

// What one node claims is bounded by what a message may say, and by how long a word holds.
TEST(Rush, ANodeThatClaimsFalseCountsIsForgottenAsItStops) {
    OpeningsFleet fleet(OpeningsFleet::Options{});
    fleet.seen = [](std::size_t node, Millis now) {
        if (node != 5 || now > 4000) return calm();
        Traffic lies{{"chat", 1e9, {}}};
        for (std::uint64_t key = 1000; key < 2000; ++key)
            lies.front().openings.push_back({key, 1 << 24, 1e9});
        return lies;
    };
    fleet.run_until(3500);
    std::size_t held = 0, of_others = 0;
    for (const ServiceTraffic& service : fleet.held(0))
        for (const Opening& opening : service.openings) {
            ++held;
            if (opening.key < 1000) ++of_others;
        }
    EXPECT_LE(held, kMostSummedOpenings);
    EXPECT_EQ(of_others, 2U);  // nobody's true openings are pushed out by one node
    fleet.run_until(7000);
    EXPECT_NEAR(rate_of(fleet.held(0), 1), 300, 70);
}

TEST(Rush, CostsANodeAboutTheSameFromTenToAThousandNodes) {
    std::vector<double> costs;
    for (const std::size_t nodes : {10U, 30U, 100U, 300U, 1000U}) {
        OpeningsFleet::Options options;
        options.nodes = nodes;
        OpeningsFleet fleet(options);
        fleet.seen = [](std::size_t node, Millis now) {
            Traffic traffic = calm();
            // Each node's rates change by half, each at its own time.
            const double swing = 1 + 0.5 * std::sin(now / 700 + static_cast<double>(node));
            for (std::uint64_t key = 10; key < 24; ++key)
                traffic.front().openings.push_back({key, 300, swing});
            return traffic;
        };
        fleet.run_until(10000);
        const double bytes = static_cast<double>(fleet.node_bytes()) / static_cast<double>(nodes) / 10;
        std::cout << nodes << " nodes: " << bytes << " B/s each; control processes together "
                  << static_cast<double>(fleet.control_bytes()) / 10 << " B/s\n";
        costs.push_back(bytes);
    }
    EXPECT_LE(*std::max_element(costs.begin(), costs.end()), 14000);
    EXPECT_LE(costs.back(), 1.2 * costs.front());
}

TEST(Rush, CostsNextToNothingWhereNothingIsShared) {
    OpeningsFleet fleet(OpeningsFleet::Options{});
    fleet.seen = [](std::size_t, Millis) { return Traffic{}; };
    fleet.run_until(10000);
    const double bytes = static_cast<double>(fleet.node_bytes()) / 300 / 10;
    std::cout << bytes << " B/s a node at rest\n";
    EXPECT_LE(bytes, 300);
    EXPECT_EQ(fleet.control_bytes(), 0U);
}

}  // namespace
}  // namespace whinledge::openings
