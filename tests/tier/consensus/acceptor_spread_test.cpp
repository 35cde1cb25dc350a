// Acceptors where zones or regions may be lost. A disk is its zone and a digit: "a1"; silent ones have a "?".
#include "consensus/acceptor_spread.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "consensus/reconfiguration.hpp"
#include "failure_domain/spread.hpp"
#include "words.hpp"

namespace whinledge::consensus {
namespace {

using test::words;

using failure_domain::LossTolerance;

constexpr LossTolerance kOneZone{.machines = 1, .zones = 1, .regions = 0};
constexpr LossTolerance kOneRegion{.machines = 1, .zones = 0, .regions = 1};
constexpr Millis kNow = 100'000;

// Of regions there are three: zones a and b, c and d, e and f.
wire::Acceptor disk(const std::string& name) {
    wire::Acceptor acceptor;
    acceptor.identity = (name[0] - 'a' + 1) * 10 + (name[1] - '0');
    acceptor.node = acceptor.address = name.substr(0, 2);
    acceptor.zone = name.substr(0, 1);
    acceptor.__set_region(std::string(1, static_cast<char>('w' + (name[0] - 'a') / 2)));
    return acceptor;
}

std::string text_of(Acceptors acceptors) {
    std::sort(acceptors.begin(), acceptors.end(),
              [](const auto& a, const auto& b) { return a.identity < b.identity; });
    std::string line;
    for (const wire::Acceptor& acceptor : acceptors) line += (line.empty() ? "" : " ") + acceptor.node;
    return line;
}

std::string choose(const std::string& candidates, const LossTolerance& survive = kOneZone) {
    std::vector<AcceptorCandidate> all;
    for (const std::string& word : words(candidates))
        all.push_back({disk(word), word.ends_with('?') ? AcceptorCandidate::Presence::silent
                                                       : AcceptorCandidate::Presence::there});
    return text_of(choose_acceptors(all, survive));
}

TEST(AcceptorSpread, ALossOfAZoneLeavesAMajority) {
    EXPECT_EQ(choose("a1 b1 c1"), "a1 b1 c1");
    EXPECT_EQ(choose("a1 a2 b1 c1"), "a1 b1 c1");
    EXPECT_EQ(choose("a1 a2 a3 b1 c1"), "a1 b1 c1");
    EXPECT_EQ(choose("a1 a2 a3 a4 b1 c1"), "a1 b1 c1");
    EXPECT_EQ(choose("a1 a2 b1 b2 c1"), "a1 a2 b1 b2 c1") << "three of five are left";
    EXPECT_EQ(choose("a1 a2 a3 a4 b1 b2 b3 b4 c1"), "a1 a2 a3 b1 b2 b3 c1") << "seven are enough";
    EXPECT_EQ(choose("a1 a2 a3 a4 a5 a6 a7 b1 c1"), "a1 b1 c1");
}

TEST(AcceptorSpread, ALossOfARegionLeavesAMajority) {
    EXPECT_EQ(choose("a1 b1 c1 d1 e1 f1", kOneRegion), "a1 b1 c1 d1 e1 f1");
    EXPECT_EQ(choose("a1 b1 c1 e1", kOneRegion), "a1 c1 e1");
    EXPECT_EQ(choose("a1 a2 b1 b2 c1 e1", kOneRegion), "a1 c1 e1");
}

TEST(AcceptorSpread, WhereTooFewZonesAreThereAsManyMachinesAsPossibleMayBeLost) {
    EXPECT_EQ(choose("a1 a2 a3"), "a1 a2 a3");
    EXPECT_EQ(choose("a1 a2 a3 b1"), "a1 a2 a3 b1");
}

// The lost zone may come back with its disks: they are not given up for what would bear no loss either.
TEST(AcceptorSpread, ASilentZoneIsWaitedFor) {
    EXPECT_EQ(choose("b1 c1 a1?"), "a1 b1 c1");
    EXPECT_EQ(choose("b1 c1 b2 a1?"), "a1 b1 c1");
    EXPECT_EQ(choose("b1 c1 d1 a1?"), "b1 c1 d1") << "another zone takes its place";
}

// `heard`: "b1:3000": heard 3 s ago; "b2+500": heard first 500 ms ago.
std::string next(const std::string& current, const std::string& heard,
                 const LossTolerance& survive = kOneZone) {
    Acceptors acceptors;
    for (const std::string& name : words(current)) acceptors.push_back(disk(name));
    std::vector<HeardAcceptor> all;
    for (const std::string& word : words(heard)) {
        const Millis figure = word.size() > 3 ? std::stoll(word.substr(3)) : 0;
        const bool is_new = word.size() > 2 && word[2] == '+';
        all.push_back({disk(word), is_new ? kNow : kNow - figure, is_new ? kNow - figure : 0,
                       is_new || figure <= 2000});
    }
    ReconfigurationLimits limits;
    limits.survive = survive;
    const auto result = next_acceptors(acceptors, all, kNow, limits);
    return result ? text_of(*result) : "stay";
}

TEST(AcceptorSpread, SeedsOfOneZoneGiveWay) {
    EXPECT_EQ(next("a1 a2 a3", "a1 a2 a3 b1"), "a1 a2 a3 b1");
    EXPECT_EQ(next("a1 a2 a3 b1", "a1 a2 a3 b1 c1"), "a1 b1 c1");
    EXPECT_EQ(next("a1 a2 a3", "a1 a2 a3 b1 c1"), "a1 b1 c1");
    EXPECT_EQ(next("a1 b1 c1", "a1 a2 a3 b1 c1"), "stay");
}

TEST(AcceptorSpread, AnotherOfTheSameZoneTakesThePlaceOfASilentOne) {
    EXPECT_EQ(next("a1 b1 c1", "a1:1500 a2 b1 c1"), "stay");
    EXPECT_EQ(next("a1 b1 c1", "a1:3000 a2 b1 c1"), "a2 b1 c1");
    EXPECT_EQ(next("a1 b1 c1", "a1:3000 b1 b2 c1"), "stay") << "its zone may come back";
}

// The old machine is gone for good, and its successor stands in a zone that is there already.
TEST(AcceptorSpread, AReplacementElsewhereTakesThePlaceOfASilentOne) {
    EXPECT_EQ(next("a1 b1 c1", "a1:9000 b1 b2+500 c1"), "b1 b2 c1");
    EXPECT_EQ(next("b1 b2 c1", "a1 b1 b2 c1"), "a1 b1 c1") << "and gives it back";
}

TEST(AcceptorSpread, WhereMachinesAloneMayBeLostAllThatAreThereAreAcceptors) {
    constexpr LossTolerance one_machine{.machines = 1, .zones = 0, .regions = 0};
    EXPECT_EQ(next("a1 b1 c1", "a1 a2 b1 c1", one_machine), "a1 a2 b1 c1");
    EXPECT_EQ(next("a1 a2 a3", "a1 a2 a3 b1 c1", one_machine), "a1 a2 a3 b1 c1");
    EXPECT_EQ(next("a1 b1 c1", "a1:9000 b1 b2 c1", one_machine), "b1 b2 c1");
}

bool bears(const Acceptors& acceptors, const LossTolerance& survive) {
    failure_domain::Spread spread;
    for (const wire::Acceptor& acceptor : acceptors) spread.add(failure_domain::location_of(acceptor));
    return spread.keeps_majority(survive);
}

// Whatever stands where: the loss is borne if any set of these disks would bear it.
TEST(AcceptorSpread, BearsALossWheneverAnySetDoes) {
    std::mt19937_64 random(3);
    int borne = 0;
    for (int round = 0; round < 3000; ++round) {
        const LossTolerance survive = round % 2 == 0 ? kOneZone : kOneRegion;
        std::vector<AcceptorCandidate> candidates;
        Acceptors all;
        for (int zone = 0; zone < 6; ++zone)
            for (std::uint64_t one = 1, count = random() % 3; one <= count; ++one) {
                const wire::Acceptor acceptor =
                    disk({static_cast<char>('a' + zone), static_cast<char>('0' + one)});
                all.push_back(acceptor);
                candidates.push_back({acceptor});
            }
        if (all.empty() || all.size() > 10) continue;
        bool possible = false;
        for (unsigned some = 1; some < 1U << all.size() && !possible; ++some) {
            Acceptors chosen;
            for (std::size_t i = 0; i < all.size(); ++i)
                if (some >> i & 1) chosen.push_back(all[i]);
            possible = chosen.size() <= kMostAcceptors && bears(chosen, survive);
        }
        std::shuffle(candidates.begin(), candidates.end(), random);
        EXPECT_EQ(bears(choose_acceptors(candidates, survive), survive), possible) << round;
        borne += possible;
    }
    EXPECT_GT(borne, 1000);
}

}  // namespace
}  // namespace whinledge::consensus
