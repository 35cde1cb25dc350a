// Limits of the whole fleet: every hard case by its name, all orders of few events, and variants that break a
// rule.
#include <gtest/gtest.h>

#include "rig/escrow.hpp"

namespace whinledge::fleet {
namespace {

using test::Escrow;

constexpr Millis kLease = 4000;

Escrow::Options of(std::size_t members, Units units, std::uint64_t seed = 1) {
    Escrow::Options o;
    o.members = members, o.units = units, o.seed = seed;
    return o;
}
Units usable(Escrow& e, std::size_t i) { return e.at(i).usable(e.clock(i)); }

TEST(Allotment, PartsAddUpToTheLimit) {
    std::vector<Key> members;
    for (Key k = 1; k <= 300; ++k) members.push_back(k * 7919);
    for (const Units units : {0u, 1u, 5u, 299u, 300u, 301u, 1000u, 4000000000u}) {
        std::uint64_t sum = 0;
        Units least = units, most = 0;
        for (const Key k : members) {
            const Units part = part_of(k, members, units, 5);
            sum += part, least = std::min(least, part), most = std::max(most, part);
        }
        EXPECT_EQ(sum, units);
        EXPECT_LE(most - least, 1u);
    }
}

TEST(Allotment, WhatIsIdleGoesWhereItIsWantedAndBack) {
    Escrow e(of(7, 70));
    e.want(2, 70);
    ASSERT_TRUE(e.settle(1000));
    EXPECT_EQ(usable(e, 2), 70u) << "all of it, within a second";
    ASSERT_TRUE(e.settle(30000)) << "for as long as it is wanted";
    EXPECT_EQ(usable(e, 2), 70u);
    e.want(2, 0);
    e.want(4, 70);
    ASSERT_TRUE(e.settle(e.now + 2000));
    EXPECT_GE(usable(e, 4), 63u) << "a rush that moves is followed within two seconds";
}

// Those that want more than their part get even shares of what the others leave.
TEST(Allotment, BusyMembersShareEvenly) {
    Escrow e(of(10, 1000));
    for (const std::size_t i : {0, 1, 2}) e.want(i, 1000);
    e.want(3, 120);  // hardly more than its part
    ASSERT_TRUE(e.settle(3 * kLease));
    EXPECT_GE(usable(e, 3), 114u);
    Units sum = 0;
    for (const std::size_t i : {0, 1, 2}) {
        EXPECT_NEAR(usable(e, i), (1000.0 - 120) / 3, 60);
        sum += usable(e, i);
    }
    EXPECT_GE(sum, 0.9 * 880);
    e.want(5, 1000);  // one more comes
    ASSERT_TRUE(e.settle(e.now + kLease));
    EXPECT_GE(usable(e, 5), 0.8 * 880 / 4);
}

TEST(Allotment, AnOwnPartComesBackToItsOwner) {
    Escrow e(of(5, 50));
    e.want(0, 50);
    ASSERT_TRUE(e.settle(2000));
    ASSERT_EQ(usable(e, 0), 50u);
    for (std::size_t i = 1; i < 5; ++i) e.want(i, 50);
    ASSERT_TRUE(e.settle(e.now + 1500));
    for (std::size_t i = 0; i < 5; ++i) EXPECT_EQ(usable(e, i), 10u) << i;
}

TEST(Allotment, TinyLimitsAndHugeOnes) {
    Escrow tiny(of(40, 3));
    for (std::size_t i = 0; i < 40; ++i) tiny.want(i, 3);
    ASSERT_TRUE(tiny.settle(20000));
    EXPECT_EQ(tiny.used(), 3u) << "who owns a unit has it";
    for (std::size_t i = 0; i < 40; ++i) tiny.want(i, 0);
    ASSERT_TRUE(tiny.settle(tiny.now + 2000));
    tiny.want(17, 3);
    ASSERT_TRUE(tiny.settle(tiny.now + 1500));
    EXPECT_EQ(usable(tiny, 17), 3u);
    Escrow huge(of(5, 4000000000u));
    huge.want(1, 4000000000u);
    ASSERT_TRUE(huge.settle(3000));
    EXPECT_EQ(usable(huge, 1), 4000000000u);
}

// ---- Faults -----------------------------------------------------------------------------------------------

// Half of it is lent across the cut: each side keeps to the limit with the other, and ends with its members'
// parts.
TEST(Allotment, ACutWhileHalfIsLentAcrossIt) {
    Escrow e(of(6, 60));
    for (std::size_t i = 0; i < 3; ++i) e.want(i, 20);
    ASSERT_TRUE(e.settle(2000));
    ASSERT_EQ(e.used(), 60u);
    e.passes = [](const Escrow::Message& m) { return (m.from < 3) == (m.to < 3); };
    for (std::size_t i = 3; i < 6; ++i) e.want(i, 20);
    ASSERT_TRUE(e.settle(e.now + 2 * kLease));
    for (std::size_t i = 0; i < 6; ++i) EXPECT_EQ(usable(e, i), 10u) << i;
    e.passes = {};
    for (std::size_t i = 3; i < 6; ++i) e.want(i, 0);
    ASSERT_TRUE(e.settle(e.now + 2000));
    EXPECT_GE(e.at(0).usable(e.clock(0)), 18u) << "and joined again within two seconds";
}

TEST(Allotment, BorrowerKilledLenderKilledBoth) {
    for (const int killed : {1, 2, 3}) {
        SCOPED_TRACE(killed);
        Escrow e(of(2, 20));
        e.want(0, 20);
        ASSERT_TRUE(e.settle(2000));
        ASSERT_EQ(usable(e, 0), 20u);
        if (killed & 1) e.kill(0);
        if (killed & 2) e.kill(1);
        e.want(1, 20);
        ASSERT_TRUE(e.settle(e.now + 100));
        if (killed & 1) e.start(0);
        if (killed & 2) e.start(1);
        e.want(0, 20);
        ASSERT_TRUE(e.settle(e.now + 3 * kLease));
        EXPECT_EQ(usable(e, 0) + usable(e, 1), 20u) << "all of it comes back";
    }
}

TEST(Allotment, TheLenderStopsForLongerThanTheLeaseAndGoesOn) {
    Escrow e(of(2, 20));
    e.want(0, 20);
    ASSERT_TRUE(e.settle(2000));
    e.members[1].stopped = true;
    ASSERT_TRUE(e.settle(e.now + 3 * kLease));
    EXPECT_EQ(usable(e, 0), 10u) << "what was lent ended meanwhile";
    e.members[1].stopped = false;
    e.want(1, 20);
    ASSERT_TRUE(e.settle(e.now + kLease));
    EXPECT_EQ(usable(e, 1), 10u);
}

// What it had looked up ahead of its stop is what it had begun; on its return its clock tells it.
TEST(Allotment, TheBorrowerStopsJustAfterItLooked) {
    Escrow e(of(2, 20));
    e.want(0, 20);
    ASSERT_TRUE(e.settle(2000));
    e.members[0].stopped = true;
    e.want(1, 20);
    ASSERT_TRUE(e.settle(e.now + 2 * kLease));
    EXPECT_EQ(usable(e, 1), 10u) << "its own part is its own again";
    e.members[0].stopped = false;
    EXPECT_EQ(usable(e, 0), 10u);
    EXPECT_TRUE(e.holds());
}

TEST(Allotment, AGrantThatIsLateDoubledOrOfAnEarlierLife) {
    Escrow e(of(2, 20));
    e.want(0, 20);
    std::vector<Escrow::Message> held;
    e.passes = [&](const Escrow::Message& m) {
        if (!std::holds_alternative<Grant>(m.what)) return true;
        held.push_back(m);
        return false;
    };
    ASSERT_TRUE(e.settle(200));
    ASSERT_FALSE(held.empty());
    e.deliver(held.front());
    e.deliver(held.front());
    EXPECT_EQ(usable(e, 0), 20u) << "once";
    EXPECT_GE(e.at(0).counts().grants_dropped, 1u);
    ASSERT_TRUE(e.settle(e.now + 2 * kLease));
    EXPECT_EQ(usable(e, 0), 10u);
    for (const auto& m : std::vector(held)) e.deliver(m);
    EXPECT_TRUE(e.holds());
    e.kill(0);
    e.start(0);
    for (const auto& m : std::vector(held)) e.deliver(m);
    EXPECT_EQ(usable(e, 0), 0u) << "a new life was lent nothing, and may have lent all it has";
}

TEST(Allotment, AllRestartAtOnce) {
    Escrow e(of(6, 60));
    e.want(0, 60);
    ASSERT_TRUE(e.settle(2000));
    for (std::size_t i = 0; i < 6; ++i) e.kill(i), e.start(i);
    EXPECT_EQ(e.used(), 0u);
    ASSERT_TRUE(e.settle(e.now + 2 * kLease));
    EXPECT_EQ(usable(e, 0), 60u) << "the cost: nothing for one lease";
}

TEST(Allotment, NineInTenGoneForGoodComeBackByTheFiles) {
    Escrow e(of(10, 100));
    e.want(9, 100);
    ASSERT_TRUE(e.settle(2000));
    for (std::size_t i = 0; i < 9; ++i) e.kill(i);
    ASSERT_TRUE(e.settle(e.now + 3 * kLease));
    EXPECT_EQ(usable(e, 9), 10u) << "their parts are nobody's while they are configured";
    e.at(9).change(e.clock(9), 100, {e.keys[9]});
    ASSERT_TRUE(e.settle(e.now + 2 * kLease));
    EXPECT_EQ(usable(e, 9), 100u);
}

TEST(Allotment, ARushThatMovesEverySecond) {
    Escrow e(of(7, 70));
    double share = 0;
    for (int second = 0; second < 40; ++second) {
        for (std::size_t i = 0; i < 7; ++i) e.want(i, i == static_cast<std::size_t>(second % 7) ? 70 : 0);
        ASSERT_TRUE(e.settle(e.now + 1000));
        share += usable(e, static_cast<std::size_t>(second % 7)) / 70.0 / 40;
    }
    EXPECT_GE(share, 0.4) << "at the end of each second";
}

TEST(Allotment, ALimitRaisedAndLoweredAtEachMemberAtAnotherTime) {
    for (const auto& [from, to] : {std::pair<Units, Units>{70, 140}, {140, 70}, {70, 3}}) {
        SCOPED_TRACE(to);
        Escrow e(of(7, from));
        e.most_units = std::max(from, to);
        for (std::size_t i = 0; i < 7; ++i) e.want(i, 140);
        ASSERT_TRUE(e.settle(5000));
        for (std::size_t i = 0; i < 7; ++i) {
            e.at(i).change(e.clock(i), to, e.keys);
            ASSERT_TRUE(e.settle(e.now + 3000));
        }
        e.most_units = to;
        ASSERT_TRUE(e.settle(e.now + 3 * kLease));
        EXPECT_EQ(e.used(), to);
    }
}

// Members are added to the files of those that run, then started; ended, then taken out.
TEST(Allotment, FilesThatDifferForAMinuteKeepTheLimitInThatOrder) {
    Escrow e(of(8, 60));
    const std::vector<Key> all = e.keys, fewer(all.begin(), all.begin() + 6);
    e.files.assign(8, fewer);
    for (std::size_t i = 0; i < 6; ++i) e.start(i, true);
    e.kill(6), e.kill(7);
    for (std::size_t i = 0; i < 8; ++i) e.want(i, 60);
    ASSERT_TRUE(e.settle(5000));
    for (std::size_t i = 0; i < 6; ++i) {
        e.at(i).change(e.clock(i), 60, all);
        ASSERT_TRUE(e.settle(e.now + 10000));
    }
    e.files.assign(8, all);
    e.start(6), e.start(7);
    ASSERT_TRUE(e.settle(e.now + 3 * kLease));
    EXPECT_EQ(e.used(), 60u);
    e.kill(6), e.kill(7);
    for (std::size_t i = 0; i < 6; ++i) {
        e.at(i).change(e.clock(i), 60, fewer);
        ASSERT_TRUE(e.settle(e.now + 10000));
    }
    EXPECT_EQ(e.used(), 60u);
}

// It claims to hold more than it was lent, asks without end, and never gives back: it has what it was lent,
// no more.
TEST(Allotment, AMemberThatLiesAboutWhatItWasLent) {
    Escrow e(of(4, 40));
    for (std::uint32_t n = 1; n < 500; ++n) {
        for (std::size_t to = 1; to < 4; ++to)
            e.deliver({0, to, 1, Ask{n, 1000000, 1000000, 4000}, e.now, 0});
        ASSERT_TRUE(e.holds());
        for (std::size_t i = 1; i < 4; ++i) EXPECT_LE(e.at(i).lent(e.clock(i)), 10u);
        e.now += 37;
    }
    e.want(1, 10);
    ASSERT_TRUE(e.settle(e.now + 2 * kLease));
    EXPECT_GE(usable(e, 1), 10u) << "nobody's own part is lost to it for longer than a lease";
}

TEST(Allotment, WhatIsBusyIsNeitherLentNorGivenBack) {
    Escrow::Options o = of(3, 30);
    o.tail = 1000;
    Escrow e(o);
    e.want(1, 8, 8);
    e.want(0, 30);
    ASSERT_TRUE(e.settle(2000));
    EXPECT_EQ(usable(e, 1), 8u);
    EXPECT_EQ(usable(e, 0), 22u);
    e.want(0, 0, 22);
    ASSERT_TRUE(e.settle(e.now + 3000));
    EXPECT_EQ(usable(e, 0), 22u);
    e.want(0, 0, 0);
    ASSERT_TRUE(e.settle(e.now + 3000));
    EXPECT_EQ(usable(e, 0), 10u);
}

// ---- All that can happen to few ---------------------------------------------------------------------------

// Faults by chance over thousands of seeds: delays up to twice a lease, losses, copies, kills, restarts,
// stops, demand that jumps, clocks that run apart. Returns the first seed on which the bound was passed.
std::optional<std::uint64_t> storm(Escrow::Options o, std::uint64_t seeds, int steps) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        o.seed = seed;
        Escrow e(o);
        const auto chance = [&](unsigned in) { return e.random() % in == 0; };
        for (int step = 0; step < steps; ++step) {
            e.now += static_cast<double>(e.random() % 400);
            const auto i = static_cast<std::size_t>(e.random() % o.members);
            if (chance(40)) e.up(i) ? e.kill(i) : e.start(i);
            if (chance(40) && e.up(i)) e.members[i].stopped = !e.members[i].stopped;
            if (chance(4)) e.want(i, static_cast<Units>(e.random() % (o.units + 1)));
            if (!e.holds()) return seed;
            e.tick(i);
            std::vector<Escrow::Message> left;
            for (const Escrow::Message& m : std::exchange(e.network, {})) {
                if (chance(3) && e.now < m.at + 2 * o.lease) {
                    left.push_back(m);
                    continue;
                }
                if (chance(8)) continue;
                e.deliver(m);
                if (chance(8)) left.push_back(m);
                if (!e.holds()) return seed;
            }
            e.network.insert(e.network.end(), left.begin(), left.end());
            std::shuffle(e.network.begin(), e.network.end(), e.random);
        }
    }
    return std::nullopt;
}

TEST(AllotmentStorm, TheSumNeverPassesTheLimit) {
    for (const auto& [members, units] : {std::pair<std::size_t, Units>{3, 3}, {3, 7}, {5, 2}, {7, 70}}) {
        const auto seed = storm(of(members, units), 400, 300);
        EXPECT_FALSE(seed) << members << " members, " << units << " units: seed " << *seed;
    }
    Escrow::Options skewed = of(3, 6);
    skewed.drift = skewed.skew = 0.1;
    EXPECT_FALSE(storm(skewed, 400, 300));
}

TEST(AllotmentStorm, FindsVariantsThatBreakARule) {
    Escrow::Options longer = of(3, 6), forgets = of(3, 6), less = of(3, 6), clocks = of(3, 6);
    longer.borrower_longer = 1.5;
    forgets.forgets_quiet = true;
    less.says_less = true;
    clocks.drift = 0, clocks.skew = 0.2;
    EXPECT_TRUE(storm(longer, 400, 300)) << "a borrower that counts longer than it says";
    EXPECT_TRUE(storm(forgets, 400, 300)) << "a member that starts as if it had lent nothing";
    EXPECT_TRUE(storm(less, 400, 300)) << "a borrower that keeps what it gave back";
    EXPECT_TRUE(storm(clocks, 400, 300)) << "clocks that run apart by more than is allowed for";
}

// Every order of so many events: deliver, lose or double the oldest or the newest of what is on the way, let
// time pass, a member's tick, its end or its start.
struct Walk {
    std::size_t walked = 0, broken = 0;
    void from(const Escrow& e, int depth) {
        ++walked;
        if (!e.holds()) {
            ++broken;
            return;
        }
        if (depth == 0) return;
        const auto next = [&](const auto& act) {
            Escrow one = e;
            act(one);
            from(one, depth - 1);
        };
        const auto deliver = [&](std::size_t at) {
            next([at](Escrow& one) {
                const auto m = one.network[at];
                one.network.erase(one.network.begin() + static_cast<std::ptrdiff_t>(at));
                one.deliver(m);
            });
        };
        if (!e.network.empty()) {
            deliver(0);
            if (e.network.size() > 1) deliver(e.network.size() - 1);
            next([](Escrow& one) { one.deliver(one.network.front()); });        // and once more later
            next([](Escrow& one) { one.network.erase(one.network.begin()); });  // lost
        }
        next([](Escrow& one) { one.now += kLease * 0.51; });
        next([](Escrow& one) { one.now += kLease + 1; });
        for (std::size_t i = 0; i < 3; ++i) next([i](Escrow& one) { one.tick(i); });
        next([](Escrow& one) { one.up(1) ? one.kill(1) : one.start(1); });
        next([](Escrow& one) { one.want(2, one.members[2].wanted ? 0 : 3); });
    }
};

TEST(AllotmentWalk, AllOrdersOfFewEvents) {
    Escrow::Options o = of(3, 3);
    Escrow e(o);
    e.want(0, 3);
    e.tick(0);  // two questions are on the way
    Walk walk;
#ifdef __SANITIZE_ADDRESS__
    walk.from(e, 4);
    EXPECT_GT(walk.walked, 5000u);
#else
    walk.from(e, 6);
    EXPECT_GT(walk.walked, 500000u);
#endif
    EXPECT_EQ(walk.broken, 0u);
}

TEST(AllotmentWalk, FindsALifeThatForgets) {
    Escrow::Options o = of(3, 3);
    o.forgets_quiet = true;
    Escrow e(o);
    e.want(0, 3);
    e.tick(0);
    Walk walk;
    walk.from(e, 4);
    EXPECT_GT(walk.broken, 0u);
}

}  // namespace
}  // namespace whinledge::fleet
