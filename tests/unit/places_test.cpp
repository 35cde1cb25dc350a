// Who keeps its place: events in, decisions out, without a socket.
#include "limits/places.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace whinledge {
namespace {

struct PlacesTest : testing::Test {
    Places places{16};
    Millis now = 1000;
    Places::Id next = 1;

    Places::Id connect() {
        places.connected(next, now);
        return next++;
    }
    // Asks and has its answer; returns whether it was kept.
    bool ask(Places::Id id, bool health = false, std::size_t queued = 0) {
        places.wakes(id, now);
        places.asked(id, health, now);
        const bool stays = places.stays(id, queued);
        stays ? places.idles(id, now) : places.ends(id, now);
        return stays;
    }
    // That comes each so often, for a while.
    Places::Id usual(Millis gap) {
        const Places::Id id = connect();
        for (int i = 0; i < 4; ++i, now += gap) ask(id);
        return id;
    }
    std::optional<Places::Id> least() const {
        return places.least_worth(now, [](Places::Id) { return true; });
    }
};

TEST_F(PlacesTest, WithRoomEnoughEverybodyStays) {
    EXPECT_TRUE(ask(connect()));
    EXPECT_TRUE(ask(connect()));
    EXPECT_TRUE(ask(connect(), true));
}

// Time in the queue counts, but for a moment: a request may be on its way.
TEST_F(PlacesTest, WhoWasSilentInTheQueueHasAMomentLeft) {
    places.connected(1, now, 1000);
    places.connected(2, now, 10);
    places.connected(3, now);
    now += 4;
    EXPECT_FALSE(least());
    EXPECT_DOUBLE_EQ(places.patience(now).value(), 1);
    now += 1;
    EXPECT_EQ(least(), 1u);
    places.closed(1);
    EXPECT_FALSE(least());
    EXPECT_DOUBLE_EQ(places.patience(now).value(), 10);
    now += 10;
    EXPECT_EQ(least(), 2u);
    places.closed(2);
    EXPECT_DOUBLE_EQ(places.patience(now).value(), 10);
    now += 10;
    EXPECT_EQ(least(), 3u);
    EXPECT_FALSE(places.patience(now));
}

TEST_F(PlacesTest, WhoAsksOnceHoldsAPartAtMost) {
    int kept = 0;
    for (int i = 0; i < 10; ++i) {
        const Places::Id id = connect();
        if (ask(id))
            ++kept;
        else
            places.closed(id);
    }
    EXPECT_EQ(kept, 4);
}

TEST_F(PlacesTest, WhoHasComeBackIsKeptWhenPlacesAreShort) {
    const Places::Id back = usual(10);
    while (places.size() < 15) connect();
    EXPECT_TRUE(ask(back));
    EXPECT_FALSE(ask(connect()));
    EXPECT_TRUE(places.full());
}

TEST_F(PlacesTest, WhatWaitsInTheAcceptQueueCounts) {
    EXPECT_TRUE(ask(connect(), false, 0));
    EXPECT_FALSE(ask(connect(), false, 20));
    EXPECT_FALSE(ask(connect(), true, 20));
}

TEST_F(PlacesTest, WhoOnlyAsksForHealthGoesFirst) {
    for (int i = 0; i < 8; ++i) EXPECT_TRUE(ask(connect(), true));
    const Places::Id one_more = connect();
    EXPECT_FALSE(ask(one_more, true)) << "half of the places are taken";
    places.closed(one_more);
    usual(10);
    ask(connect());
    EXPECT_EQ(least(), Places::Id{1});
}

TEST_F(PlacesTest, TheSilentGoAheadOfAllButNotAtOnce) {
    usual(10);
    const Places::Id silent = connect();
    EXPECT_EQ(least(), std::nullopt) << "its request may be on its way, and nobody has idled for long";
    now += 25;
    EXPECT_EQ(least(), silent);
}

// By rate and by how long since: who comes each second and has been away for two is nearer than who comes
// every ten seconds, or has been away for ten of its gaps.
TEST_F(PlacesTest, TheOneThatIsLikelyToComeLastGoes) {
    const Places::Id rare = usual(10000), often = usual(1000);
    const Places::Id gone = usual(100);
    now += 4000;
    places.wakes(often, now - 1000);
    places.asked(often, false, now - 1000);
    places.idles(often, now - 1000);
    std::vector<Places::Id> order;
    while (const auto id = least()) {
        order.push_back(*id);
        places.closed(*id);
    }
    EXPECT_EQ(order, (std::vector<Places::Id>{rare, gone, often}));
}

TEST_F(PlacesTest, WhoAskedOnceAndIdlesGoesBeforeWhoComesBack) {
    const Places::Id back = usual(500), once = connect();
    ask(once);
    now += 2500;
    ask(back);
    now += 2100;
    EXPECT_EQ(least(), once);
}

TEST_F(PlacesTest, WhoeverIsAtWorkNeverGoes) {
    const Places::Id id = connect();
    places.asked(id, false, now);
    now += 60000;
    EXPECT_EQ(least(), std::nullopt);
}

TEST_F(PlacesTest, WhoDoesNotConsentIsPassedOver) {
    const Places::Id first = connect(), second = connect();
    now += 100;
    EXPECT_EQ(places.least_worth(now, [&](Places::Id id) { return id != first; }), second);
}

// The longest silence first, whatever the order in which silences were heard of; of the same length, the
// first to come.
TEST_F(PlacesTest, SilencesGoByTheirLength) {
    std::uint64_t state = 11;
    const auto below = [&](std::uint32_t n) {
        state = state * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state >> 33) % n;
    };
    std::map<Places::Id, Millis> silent;  // and since when
    std::vector<Places::Id> busy;
    for (int i = 0; i < 20000; ++i, now += below(4)) {
        const Millis queued = below(30);
        if (silent.size() < 40) {
            silent[next] = now - std::min(queued, 20.0);
            places.connected(next++, now, queued);
        }
        if (below(3) == 0) {
            const auto asks = std::next(silent.begin(), below(static_cast<std::uint32_t>(silent.size())));
            places.asked(asks->first, false, now);
            busy.push_back(asks->first);
            silent.erase(asks);
        }
        if (!busy.empty() && below(3) == 0) {
            places.ends(busy.back(), now);
            silent[busy.back()] = now;
            busy.pop_back();
        }
        std::optional<std::pair<Millis, Places::Id>> longest;
        for (const auto& [id, since] : silent)
            if (now - since >= 25)
                longest = std::min(longest.value_or(std::pair(since, id)), std::pair(since, id));
        const auto found = least();
        ASSERT_EQ(found.has_value(), longest.has_value());
        if (!found) continue;
        ASSERT_EQ(*found, longest->second);
        places.closed(*found);
        silent.erase(*found);
    }
}

// 300,000 of them at 100,000 places: none looks through all others.
TEST(Places, AFloodOfTheSilentCostsTheSameForEach) {
    constexpr Places::Id kMost = 100'000;
    Places places(kMost);
    Millis now = 0;
    for (Places::Id id = 0; id < 3 * kMost; ++id, now += 0.01) {
        if (places.full()) {
            const auto least = places.least_worth(now, [](Places::Id) { return true; });
            ASSERT_EQ(least, id - kMost);
            places.closed(*least);
        }
        places.connected(id, now, 1000);
    }
}

// The counts that decide are kept by every way through a connection's life.
TEST_F(PlacesTest, CountsAreKeptOverRandomLives) {
    std::uint64_t state = 7;
    const auto below = [&](std::uint32_t n) {
        state = state * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state >> 33) % n;
    };
    struct Life {
        int state = 0;  // silent, busy, idle
        int times = 0;
    };
    std::map<Places::Id, Life> lives;
    for (int i = 0; i < 20000; ++i, now += below(300)) {
        if (lives.size() < 16 && below(3) == 0) lives[connect()] = {};
        if (lives.empty()) continue;
        auto at = std::next(lives.begin(), below(static_cast<std::uint32_t>(lives.size())));
        auto& [id, life] = *at;
        if (life.state == 1) {
            const bool stays = places.stays(id, below(3));
            stays ? places.idles(id, now) : places.ends(id, now);
            life.state = stays ? 2 : 0;
        } else if (below(4) == 0) {
            places.closed(id);
            lives.erase(at);
        } else {
            const bool health = below(3) == 0;
            places.wakes(id, now);
            places.asked(id, health, now);
            life.state = 1, life.times += !health;
        }
        Places::Stats expected;
        for (const auto& [other, l] : lives) {
            if (l.state == 0) ++expected.silent;
            if (l.state == 2)
                ++(l.times == 0 ? expected.health : l.times == 1 ? expected.once : expected.returning);
        }
        const Places::Stats got = places.stats();
        ASSERT_EQ(got.silent, expected.silent);
        ASSERT_EQ(got.health, expected.health);
        ASSERT_EQ(got.once, expected.once);
        ASSERT_EQ(got.returning, expected.returning);
        ASSERT_EQ(places.size(), lives.size());
    }
}

}  // namespace
}  // namespace whinledge
