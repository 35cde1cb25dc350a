// Lists of servers: full ones and increments, restarts, and subscriptions on request.
#include "unit/balancer_rig.hpp"

namespace kestrelhall::test {
namespace {

TEST(Lists, AbsentFromAFullListIsGoneAndAnIncrementKeepsTheRest) {
    Rig rig(make_settings());
    rig.list(ListKind::saved, make_servers(4));
    rig.list(ListKind::full, make_servers(2));
    for (int i = 0; i < 50; ++i) EXPECT_LE(one(rig, Outcome::completed, 5), 2U);
    rig.list(ListKind::incremental, {{2, 0, 0, Phase::off, 0}, {5, 0, 0, Phase::on, 0}});
    std::set<ServerId> used;
    for (int i = 0; i < 50; ++i) used.insert(one(rig, Outcome::completed, 5));
    EXPECT_EQ(used, (std::set<ServerId>{1, 5}));
    EXPECT_EQ(rig.balancer.held().servers, 2U);
}

TEST(Lists, RestartUnderTheSameIdDuringBackoffStartsAnew) {
    Rig rig(once_settings());
    rig.list(ListKind::full, make_servers(3));
    drive(rig, 60, 2, Outcome::errored);
    rig.list(ListKind::incremental, {{2, 0, 0, Phase::on, rig.now - 19999}});
    rig.now += 10;
    widen(rig, 10);
    EXPECT_GT(reach(rig, 60, 2), 0);
}

TEST(Lists, AListThatEmptiesHoldsAndRefillServes) {
    Rig rig(once_settings());
    rig.list(ListKind::full, make_servers(2));
    rig.list(ListKind::full, {});
    const RequestId waiting = rig.request();
    EXPECT_FALSE(rig.out(waiting));
    rig.now += 20;
    rig.list(ListKind::full, make_servers(2));
    EXPECT_TRUE(rig.out(waiting)) << "served as soon as somebody may have it";
    rig.list(ListKind::full, {});
    rig.request();
    rig.settle();
}

TEST(Lists, OnRequestSubscribesAndComesBackAfterFailuresNotInStep) {
    Settings s = make_settings();
    s.list_on_request = true;
    std::set<Millis> waits;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Rig rig(s, seed);
        rig.give(Started{});
        EXPECT_EQ(rig.count<Subscribe>(), 1);
        rig.list(ListKind::saved, make_servers(2));
        rig.list(ListKind::failed, {});
        ASSERT_EQ(rig.timers.size(), 1U);
        waits.insert(rig.timers.begin()->first);
        rig.now = rig.timers.begin()->first;
        const TimerToken token = rig.timers.begin()->second;
        rig.give(TimerFired{token});
        EXPECT_EQ(rig.count<Subscribe>(), 1);
        rig.give(TimerFired{token});
        EXPECT_EQ(rig.count<Subscribe>(), 0) << "a spent timer has no effect";
    }
    EXPECT_EQ(waits.size(), 5U);
}

TEST(Lists, AFailedSubscriptionIsRenewedBeforeItsAgeCounts) {
    Settings s = make_settings();
    s.list_on_request = true;
    s.ask_within = 2000;
    Rig rig(s);
    rig.give(Started{});
    for (int i = 0; i < 10; ++i) {
        rig.list(ListKind::failed, {});
        const Millis at = rig.timers.begin()->first;
        EXPECT_LE(at, rig.now + s.ask_within);
        const TimerToken token = rig.timers.begin()->second;
        rig.timers.clear();
        rig.now = at;
        rig.give(TimerFired{token});
        EXPECT_EQ(rig.count<Subscribe>(), 1);
    }
}

}  // namespace
}  // namespace kestrelhall::test
