// Rollouts of good and bad versions while other things fail: a bad version stays within the operator's
// exposure, is reverted, and a good one finishes, both before the deadline.
#include <gtest/gtest.h>

#include "rollout_world.hpp"

namespace whinledge::rollout {
namespace {

using test::Asked;
using test::Fate;
using test::Plan;
using test::World;

constexpr unsigned kSeeds = 20;
constexpr Fate kSound{0.005, 1};
constexpr double kUndoMs = 5000;

// Plays each seed until a while after the deadline.
template <class Check>
void play(Plan plan, Check check) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        plan.seed = seed;
        World world(plan);
        world.play(static_cast<double>(plan.within_ms) + 2000);
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + world.evidence());
        check(world);
    }
}

void expect_reverted(const Plan& plan) {
    play(plan, [&](const World& world) {
        EXPECT_EQ(world.phase(), Phase::reverted);
        EXPECT_LE(world.ended_at(), static_cast<double>(plan.within_ms));
        EXPECT_TRUE(world.within_exposure()) << world.at_new_version() << " of " << world.requests();
        EXPECT_LT(world.sent_after_fiftieth(), kUndoMs);
    });
}

void expect_finished(const Plan& plan) {
    play(plan, [&](const World& world) {
        EXPECT_EQ(world.phase(), Phase::finished);
        EXPECT_LE(world.ended_at(), static_cast<double>(plan.within_ms));
        EXPECT_EQ(world.sent_to_stopped(), 0);
    });
}

template <class When>
Plan bad_when(When when, Fate fate = {0.5, 1}) {
    Plan plan;
    plan.fate = [when, fate](const Asked& asked) {
        return asked.of_new_version && when(asked) ? fate : kSound;
    };
    return plan;
}

TEST(RolloutDays, AGoodVersionFinishes) { expect_finished({}); }

TEST(RolloutDays, WhatRunsAtTheOldServersEndsBeforeTheyStop) {
    play({}, [](const World& world) { EXPECT_EQ(world.open_when_finished(), 0); });
}

TEST(RolloutDays, BadAtOnce) {
    expect_reverted(bad_when([](const Asked&) { return true; }));
}
TEST(RolloutDays, BadAfterFiveSeconds) {
    expect_reverted(bad_when([](const Asked& asked) { return asked.now > 5000; }));
}
TEST(RolloutDays, BadOnOneRouteOfSix) {
    Plan plan = bad_when([](const Asked& asked) { return asked.route == 3; });
    plan.routes = 6;
    expect_reverted(plan);
}
TEST(RolloutDays, BadOnlyWhenItsServersAreHalfFull) {
    expect_reverted(bad_when([](const Asked& asked) { return asked.under_way > 4; }));
}
TEST(RolloutDays, FourTimesAsSlowWithoutAFailure) {
    expect_reverted(bad_when([](const Asked&) { return true; }, {0.005, 4}));
}
TEST(RolloutDays, EightTimesAsSlowWithoutAFailure) {
    expect_reverted(bad_when([](const Asked&) { return true; }, {0.005, 8}));
}
TEST(RolloutDays, BadWhileHalfOfTheProxiesAreCutOff) {
    Plan plan = bad_when([](const Asked&) { return true; });
    plan.cut_off = [](int proxy, double now) { return proxy % 2 == 0 && now > 1000 && now < 9000; };
    expect_reverted(plan);
}
TEST(RolloutDays, BadWhileTheHoldersDieOneAfterAnother) {
    Plan plan = bad_when([](const Asked&) { return true; });
    plan.holder = [](double now) {
        const int turn = static_cast<int>(now / 4000);
        return now - turn * 4000 < 2000 ? -1 : turn % 3;
    };
    expect_reverted(plan);
}

TEST(RolloutDays, GoodButCold) {
    Plan plan;
    plan.cold_ms = 4000;
    plan.fate = [](const Asked& asked) {
        return Fate{0.005, asked.of_new_version && asked.now < 4500 ? 4.0 : 1.0};
    };
    expect_finished(plan);
}
TEST(RolloutDays, GoodWhileTheOldOneFailsAsWell) {
    Plan plan;
    plan.fate = [](const Asked& asked) {
        return asked.now > 2000 && asked.now < 7000 ? Fate{0.4, 1} : kSound;
    };
    expect_finished(plan);
}
TEST(RolloutDays, GoodDuringABurst) {
    Plan plan;
    plan.traffic = [](double now) { return now > 3000 && now < 6000 ? 2.5 : 1.0; };
    plan.fate = [](const Asked& asked) {
        return Fate{0.005, asked.now > 3000 && asked.now < 6000 ? 2.0 : 1.0};
    };
    expect_finished(plan);
}
TEST(RolloutDays, GoodWithOneBadServer) {
    Plan plan;
    plan.fate = [](const Asked& asked) { return asked.server == 25 ? Fate{0.6, 1} : kSound; };
    expect_finished(plan);
}
TEST(RolloutDays, GoodWhileAHolderDies) {
    Plan plan;
    plan.holder = [](double now) { return now < 5000 ? 0 : now < 8000 ? -1 : 1; };
    expect_finished(plan);
}
TEST(RolloutDays, GoodWhileProxiesRestart) {
    Plan plan;
    plan.restarts = [](int proxy, double now) { return std::fmod(now + proxy * 130, 3000) < 10; };
    expect_finished(plan);
}
TEST(RolloutDays, GoodWithAListThatLags) {
    Plan plan;
    plan.listed_at = 4000;
    expect_finished(plan);
}

// Nobody has seen it: bringing it in would be a guess.
TEST(RolloutDays, WhatHasNotBeenTriedIsReverted) {
    Plan plan;
    plan.listed_at = 1e9;
    play(plan, [](const World& world) {
        EXPECT_EQ(world.phase(), Phase::reverted);
        EXPECT_EQ(world.at_new_version(), 0);
    });
}

TEST(RolloutDays, GoodWhileAThirdOfTheProxiesAreCutOffForTheWholeOfIt) {
    Plan plan;
    plan.cut_off = [](int proxy, double) { return proxy % 3 == 0; };
    expect_finished(plan);
}

TEST(RolloutDays, NoProxyHeardAtAllBringsNothingIn) {
    Plan plan;
    plan.cut_off = [](int, double) { return true; };
    play(plan, [](const World& world) { EXPECT_EQ(world.phase(), Phase::reverted); });
}

TEST(RolloutDays, WithoutAHolderNobodySendsToTheNewVersion) {
    Plan plan = bad_when([](const Asked&) { return true; });
    plan.holder = [](double) { return -1; };
    play(plan, [](const World& world) { EXPECT_EQ(world.at_new_version(), 0); });
}

TEST(RolloutDays, OneProxyThatTellsNonsenseDecidesNothing) {
    Plan plan;
    plan.tampers = [](wire::RolloutReport& report) {
        if (report.proxy != 3) return;
        for (wire::RolloutCell& cell : report.cells) cell.failed = -7;
        report.open_new = -1000000;
        wire::RolloutCell strange;
        strange.group = 77;
        strange.ended = strange.failed = 1 << 30;
        report.cells.push_back(strange);
    };
    expect_finished(plan);
}

}  // namespace
}  // namespace whinledge::rollout
