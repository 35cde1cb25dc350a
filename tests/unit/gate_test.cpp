// What a request passes: each rule by name.
#include "limits/gate.hpp"

#include <gtest/gtest.h>

#include <list>
#include <random>
#include <stdexcept>
#include <type_traits>
#include <utility>
#include <vector>

namespace whinledge::limits {
namespace {

// Given back once, by type.
static_assert(!std::is_copy_constructible_v<Ticket> && !std::is_copy_assignable_v<Ticket>);
static_assert(!std::is_move_assignable_v<Ticket>, "a live one can't be overwritten");
static_assert(!std::is_invocable_v<decltype(&Gate::give_back), Gate&, const Ticket&>);
static_assert(!std::is_invocable_v<decltype(&Gate::give_back), Gate&, Ticket&>, "only by handing it over");
static_assert(!std::is_copy_constructible_v<Hold> && std::is_nothrow_move_assignable_v<Hold>);

using Wanted = Gate::Wanted;

struct GateTest : testing::Test {
    Gate gate{10, 1000};
    Member front, side, archive, search;

    // Two listeners and two pools; archive is guaranteed 4 requests and 400 bytes, front 2 and 200.
    void SetUp() override { set({{}, {2, 0}, {200, 0}}, {{}, {}, {}}, {{}, {4, 0}, {400, 0}}, {{}, {}, {}}); }
    void set(Wanted l1, Wanted l2, Wanted p1, Wanted p2, Amount requests = 10, Amount bytes = 1000) {
        Gate::Members members;
        ASSERT_FALSE(gate.reload(requests, bytes, std::vector{l1, l2}, std::vector{p1, p2}, members));
        front = members.listeners[0], side = members.listeners[1];
        archive = members.pools[0], search = members.pools[1];
    }
    Ticket admitted(Member listener, Member pool, Amount bytes = 0) {
        Gate::Admission admission = gate.admit(listener, pool, bytes);
        EXPECT_FALSE(admission.refusal);
        EXPECT_TRUE(admission.ticket);
        return std::move(admission.ticket);
    }
    Refusal refused(Member listener, Member pool, Amount bytes = 0) {
        const Gate::Admission admission = gate.admit(listener, pool, bytes);
        EXPECT_TRUE(admission.refusal);
        EXPECT_FALSE(admission.ticket);
        return admission.refusal.value_or(Refusal{});
    }
    // Who is told, in order.
    std::vector<TicketId> woken() {
        std::vector<TicketId> ids;
        while (const auto told = gate.woken()) {
            EXPECT_FALSE(told->refusal);
            ids.push_back(told->ticket);
        }
        return ids;
    }
    void expect_nothing_held() {
        EXPECT_EQ(gate.open(), 0u);
        EXPECT_EQ(gate.waiting(), 0u);
        for (Resource r : {Resource::requests, Resource::bytes})
            for (Side s : {Side::listener, Side::pool}) EXPECT_EQ(gate.shares(r, s).used(), 0u);
    }
};
using Ids = std::vector<TicketId>;

TEST_F(GateTest, ARequestCountsForItsListenerAndForItsPool) {
    Ticket ticket = admitted(front, archive, 70);
    EXPECT_EQ(gate.held(Resource::requests, Side::listener, front), 1u);
    EXPECT_EQ(gate.held(Resource::requests, Side::pool, archive), 1u);
    EXPECT_EQ(gate.held(Resource::bytes, Side::listener, front), 70u);
    EXPECT_EQ(gate.held(Resource::bytes, Side::pool, archive), 70u);
    EXPECT_EQ(gate.held(ticket), 70u);
    gate.give_back(std::move(ticket));
    EXPECT_FALSE(ticket);
    gate.give_back(std::move(ticket));  // empty: nothing happens
    expect_nothing_held();
    EXPECT_THROW((void)gate.held(ticket), std::logic_error);
}

TEST_F(GateTest, EachRefusalNamesTheLimitAndWhose) {
    set({front, {2, 3}, {200, 300}}, {side, {}, {}}, {archive, {4, 0}, {400, 0}}, {search, {0, 4}, {0, 500}});
    const auto expect = [](const Refusal& r, Resource resource, Side side, Member who, Why why) {
        EXPECT_EQ(r.resource, resource);
        EXPECT_EQ(r.side, side);
        EXPECT_TRUE(r.who == who);
        EXPECT_EQ(r.why, why);
    };
    expect(refused(front, archive, 301), Resource::bytes, Side::listener, front, Why::never);
    expect(refused(side, search, 501), Resource::bytes, Side::pool, search, Why::never);
    expect(refused(Member{9, 9}, search), Resource::requests, Side::listener, Member{9, 9}, Why::gone);
    expect(refused(front, Member{9, 9}), Resource::requests, Side::pool, Member{9, 9}, Why::gone);
    expect(refused(Member{}, search), Resource::requests, Side::listener, Member{}, Why::gone);
    std::vector<Ticket> open;
    for (int i = 0; i < 3; ++i) open.push_back(admitted(front, archive, 100));
    expect(refused(front, archive), Resource::requests, Side::listener, front, Why::own_most);
    for (int i = 0; i < 4; ++i) open.push_back(admitted(side, search, 100));
    expect(refused(side, search), Resource::requests, Side::pool, search, Why::own_most);
    expect(refused(side, archive, 400), Resource::bytes, Side::pool, archive, Why::others);
    for (int i = 0; i < 2; ++i) open.push_back(admitted(side, Member{}));
    expect(refused(side, Member{}), Resource::requests, Side::pool, Member{}, Why::others);
    for (Ticket& ticket : open) gate.give_back(std::move(ticket));
    expect_nothing_held();
}

TEST_F(GateTest, AllOrNothing) {
    Ticket other = admitted(side, search, 600);
    EXPECT_EQ(refused(side, search, 1).resource, Resource::bytes);
    EXPECT_EQ(gate.held(Resource::requests, Side::listener, side), 1u);
    EXPECT_EQ(gate.held(Resource::requests, Side::pool, search), 1u);
    Ticket more = admitted(side, archive, 200);
    EXPECT_EQ(refused(side, archive, 1).side, Side::listener) << "the rest is guaranteed to front";
    EXPECT_EQ(gate.held(Resource::bytes, Side::pool, archive), 200u) << "the pool's part is put back";
    EXPECT_EQ(gate.held(Resource::requests, Side::pool, archive), 1u);
    gate.give_back(std::move(other));
    gate.give_back(std::move(more));
    expect_nothing_held();
}

TEST_F(GateTest, RequestsWithoutAPoolTakeNothingOfAPoolsGuarantee) {
    std::list<Ticket> open;
    for (int i = 0; i < 6; ++i) open.push_back(admitted(front, Member{}));
    const Refusal no = refused(front, Member{});
    EXPECT_EQ(no.side, Side::pool);
    EXPECT_TRUE(no.who == Member{});
    for (int i = 0; i < 4; ++i) open.push_back(admitted(front, archive));
    for (Ticket& ticket : open) gate.give_back(std::move(ticket));
    expect_nothing_held();
}

TEST_F(GateTest, AHoldGivesItselfBackOnce) {
    {
        Hold hold(gate, admitted(front, archive, 50)), other;
        EXPECT_FALSE(other);
        EXPECT_THROW((void)other.ticket(), std::logic_error);
        other = std::move(hold);
        EXPECT_FALSE(hold);
        EXPECT_EQ(gate.held(other.ticket()), 50u);
        other = Hold(gate, admitted(front, search));
        EXPECT_EQ(gate.open(), 1u) << "what it held before is given back";
        Hold third(std::move(other));
        EXPECT_TRUE(third);
        third.give_back();
        EXPECT_FALSE(third);
        EXPECT_EQ(gate.open(), 0u);
        third = Hold(gate, admitted(front, search));
    }
    expect_nothing_held();
}

TEST_F(GateTest, IdsAreNotUsedTwice) {
    Ticket first = admitted(front, archive);
    const TicketId id = first.id();
    gate.give_back(std::move(first));
    Ticket second = admitted(front, archive);
    EXPECT_NE(second.id(), id);
    EXPECT_NE(second.id(), 0u);
    gate.give_back(std::move(second));
}

// ---- a hint for Retry-After

TEST_F(GateTest, RetryAfterIsWhatIsMissingByTheRateOfLate) {
    EXPECT_EQ(retry_after(30, 0.01), Millis{3000});
    EXPECT_EQ(retry_after(31, 0.01), Millis{4000}) << "whole seconds, upwards";
    EXPECT_EQ(retry_after(1, 10), Millis{1000});
    EXPECT_EQ(retry_after(1000000, 0.01), Millis{60000});
    EXPECT_EQ(retry_after(1, 0), std::nullopt);
    EXPECT_EQ(retry_after(1, 1e-7), std::nullopt) << "next to nothing";
}

TEST_F(GateTest, TheRateForgets) {
    Rate rate;
    EXPECT_EQ(rate.per_ms(5), 0);
    for (Millis t = 0; t < 100000; t += 10) rate.add(1, t);
    EXPECT_NEAR(rate.per_ms(100000), 0.1, 0.001);
    EXPECT_NEAR(rate.per_ms(110000), 0.1 / 2.71828, 0.001);
    EXPECT_EQ(rate.per_ms(0), rate.per_ms(99990)) << "time does not go backwards";
}

TEST_F(GateTest, ARefusalHintsByTheReleasesOfWhoIsInTheWay) {
    set({front, {2, 0}, {200, 0}}, {side, {}, {}}, {archive, {4, 0}, {400, 0}}, {search, {0, 3}, {}});
    std::list<Ticket> open;
    for (int i = 0; i < 3; ++i) open.push_back(admitted(side, search));
    EXPECT_EQ(refused(side, search).retry_after, std::nullopt) << "nothing was ever given back";
    for (int i = 0; i < 2000; ++i) {  // archive's, one each 100 ms, tells nothing of search's own bound
        gate.at(i * 100);
        gate.give_back(admitted(front, archive));
    }
    EXPECT_EQ(refused(side, search).why, Why::own_most);
    EXPECT_EQ(refused(side, search).retry_after, std::nullopt);
    for (int i = 0; i < 20; ++i) {  // one each 5 s
        gate.at(200000 + i * 5000);
        gate.give_back(std::move(open.front()));
        open.pop_front();
        open.push_back(admitted(side, search));
    }
    const Refusal no = refused(side, search);
    EXPECT_GE(no.retry_after, Millis{2000});
    EXPECT_LE(no.retry_after, Millis{6000});
    EXPECT_EQ(refused(side, search, 1001).retry_after, no.retry_after) << "requests come first";
    for (Ticket& ticket : open) gate.give_back(std::move(ticket));
    gate.give_back(admitted(side, search, 500));
    EXPECT_EQ(refused(side, search, 1001).why, Why::never);
    EXPECT_EQ(refused(side, search, 1001).retry_after, std::nullopt);
}

TEST_F(GateTest, WhoFindsTheCommonPartUsedIsHintedByAllReleases) {
    std::list<Ticket> open;
    for (int i = 0; i < 5; ++i) {
        open.push_back(admitted(front, search));
        open.push_back(admitted(front, archive));
    }
    EXPECT_EQ(refused(side, Member{}).retry_after, std::nullopt);
    for (int i = 0; i < 100; ++i) {  // archive's, one a second
        gate.at(i * 1000);
        gate.give_back(std::move(open.back()));
        open.pop_back();
        open.push_back(admitted(front, archive));
    }
    const Refusal no = refused(side, Member{});
    EXPECT_EQ(no.why, Why::others);
    EXPECT_EQ(no.retry_after, Millis{1000});
    for (Ticket& ticket : open) gate.give_back(std::move(ticket));
}

// ---- bytes that grow

TEST_F(GateTest, BytesGrowAndShrinkWithABody) {
    Ticket ticket = admitted(side, search, 100);
    EXPECT_FALSE(gate.grow(ticket, 500));
    const auto no = gate.grow(ticket, 1);
    ASSERT_TRUE(no);
    EXPECT_EQ(no->why, Why::never) << "all that is not guaranteed to others is its own already";
    EXPECT_EQ(gate.held(ticket), 600u);
    gate.shrink(ticket, 200);
    EXPECT_THROW(gate.shrink(ticket, 401), std::logic_error);
    EXPECT_EQ(gate.held(ticket), 400u);
    EXPECT_FALSE(gate.grow(ticket, 0));
    EXPECT_FALSE(gate.grow(ticket, 200));
    gate.give_back(std::move(ticket));
    expect_nothing_held();
}

TEST_F(GateTest, WhoWaitsIsToldInOrder) {
    Ticket big = admitted(side, search, 600), a = admitted(side, search), b = admitted(side, search),
           c = admitted(side, search);
    EXPECT_EQ(gate.grow_or_wait(a, 300)->why, Why::others);
    EXPECT_TRUE(gate.grow_or_wait(b, 100));
    EXPECT_TRUE(gate.grow_or_wait(c, 200));
    EXPECT_TRUE(gate.waits(a));
    EXPECT_THROW((void)gate.grow_or_wait(a, 1), std::logic_error) << "one wait at a time";
    EXPECT_EQ(gate.waiting(), 3u);
    EXPECT_EQ(woken(), Ids{});
    gate.shrink(big, 200);
    EXPECT_EQ(woken(), Ids{}) << "b would fit, but a is first";
    gate.shrink(big, 100);
    EXPECT_EQ(woken(), Ids{a.id()});
    EXPECT_EQ(gate.held(a), 300u) << "booked when it is told";
    EXPECT_FALSE(gate.waits(a));
    gate.shrink(big, 300);
    EXPECT_EQ(woken(), (Ids{b.id(), c.id()}));
    for (Ticket* t : {&big, &a, &b, &c}) gate.give_back(std::move(*t));
    expect_nothing_held();
}

TEST_F(GateTest, WhoNoLongerWaitsLetsTheNextGo) {
    Ticket big = admitted(side, search, 500), a = admitted(side, search), b = admitted(side, search),
           c = admitted(side, search);
    EXPECT_TRUE(gate.grow_or_wait(a, 300));
    EXPECT_TRUE(gate.grow_or_wait(b, 200));
    EXPECT_TRUE(gate.grow_or_wait(c, 100));
    gate.stop_waiting(a);
    gate.stop_waiting(a);
    EXPECT_EQ(woken(), Ids{});
    gate.give_back(std::move(b));
    EXPECT_EQ(woken(), Ids{c.id()});
    EXPECT_EQ(gate.waiting(), 0u);
    for (Ticket* t : {&big, &a, &c}) gate.give_back(std::move(*t));
    expect_nothing_held();
}

TEST_F(GateTest, WhatOneWaitsForNobodyElseBorrows) {
    Ticket big = admitted(side, search, 500), first = admitted(side, search), late = admitted(side, search);
    EXPECT_TRUE(gate.grow_or_wait(first, 300));
    const auto no = gate.grow(late, 50);
    ASSERT_TRUE(no) << "50 would fit, but small ones could keep the large one waiting for ever";
    EXPECT_EQ(no->why, Why::others);
    EXPECT_EQ(refused(side, search, 50).why, Why::others);
    EXPECT_EQ(woken(), Ids{});
    EXPECT_EQ(refused(side, search, 50).why, Why::others) << "as long as it waits";
    Ticket none = admitted(side, search), guaranteed = admitted(front, search, 50);
    EXPECT_EQ(gate.open(), 5u) << "what needs no bytes goes on, and so does front, by its guarantee";
    gate.give_back(std::move(guaranteed));
    gate.stop_waiting(first);
    EXPECT_FALSE(gate.grow(late, 50));
    for (Ticket* t : {&big, &first, &late, &none}) gate.give_back(std::move(*t));
    expect_nothing_held();
}

TEST_F(GateTest, WhoWaitsForItsOwnBoundHoldsUpNobodyElse) {
    set({front, {}, {}}, {side, {}, {}}, {archive, {}, {0, 300}}, {search, {}, {}});
    Ticket a = admitted(front, archive, 250), b = admitted(front, archive), c = admitted(side, archive),
           other = admitted(front, search);
    EXPECT_EQ(gate.grow_or_wait(b, 100)->why, Why::own_most);
    EXPECT_EQ(gate.grow_or_wait(c, 50)->why, Why::own_most) << "it would fit, but b is first";
    EXPECT_FALSE(gate.grow(other, 600));
    gate.shrink(a, 50);
    EXPECT_EQ(woken(), Ids{b.id()});
    gate.shrink(a, 50);
    EXPECT_EQ(woken(), Ids{c.id()});
}

TEST_F(GateTest, TheGuaranteesOwnerIsToldFirst) {
    // A listener's bound lets archive wait though its guarantee is not used up.
    set({front, {}, {0, 500}}, {side, {}, {}}, {archive, {}, {400, 0}}, {search, {}, {}});
    Ticket hog = admitted(front, search, 450), slow = admitted(front, search),
           owner = admitted(front, archive);
    EXPECT_TRUE(gate.grow_or_wait(slow, 100));
    EXPECT_TRUE(gate.grow_or_wait(owner, 100));
    gate.shrink(hog, 80);
    EXPECT_EQ(woken(), Ids{owner.id()}) << "the younger one; then too little is left for the other";
    gate.shrink(hog, 200);
    EXPECT_EQ(woken(), Ids{slow.id()});
}

TEST_F(GateTest, AWaitPastAGuaranteeHoldsUpNobodyWithinOne) {
    set({front, {}, {}}, {side, {}, {}}, {archive, {}, {400, 0}}, {search, {}, {}});
    Ticket used = admitted(front, archive, 380), hog = admitted(front, search, 600),
           late = admitted(front, search);
    EXPECT_TRUE(gate.grow_or_wait(late, 30)) << "neither front nor search has so much";
    EXPECT_FALSE(gate.grow(used, 20)) << "archive is within its guarantee";
    gate.shrink(used, 20);
    Ticket next = admitted(front, archive, 20);
    for (Ticket* t : {&used, &hog, &late, &next}) gate.give_back(std::move(*t));
    expect_nothing_held();
}

TEST_F(GateTest, WhoCanNeverHaveItIsTold) {
    set({front, {}, {}}, {side, {}, {}}, {archive, {}, {}}, {search, {}, {}});
    Ticket hog = admitted(front, search, 900), one = admitted(side, archive, 100);
    EXPECT_EQ(gate.grow_or_wait(one, 901)->why, Why::never);
    EXPECT_FALSE(gate.waits(one));
    EXPECT_TRUE(gate.grow_or_wait(one, 300));
    set({front, {}, {}}, {side, {}, {}}, {archive, {}, {0, 350}}, {search, {}, {}});
    const auto told = gate.woken();
    ASSERT_TRUE(told);
    EXPECT_EQ(told->ticket, one.id());
    ASSERT_TRUE(told->refusal);
    EXPECT_EQ(told->refusal->why, Why::never);
    EXPECT_TRUE(told->refusal->who == archive);
    EXPECT_EQ(gate.waiting(), 0u);
    gate.give_back(std::move(hog));
    gate.give_back(std::move(one));
    expect_nothing_held();
}

// ---- changes at run time

TEST_F(GateTest, AReloadIsOneStepOrNone) {
    Gate::Members members;
    const std::vector<Wanted> listeners = {{front, {2, 0}, {200, 0}}}, none;
    const std::vector<Wanted> too_much = {{archive, {1, 0}, {600, 0}}, {{}, {1, 0}, {401, 0}}};
    const auto no = gate.reload(10, 1000, listeners, too_much, members);
    ASSERT_TRUE(no);
    EXPECT_EQ(no->fault, Fault::guarantees_over_total);
    EXPECT_EQ(no->resource, Resource::bytes);
    EXPECT_EQ(no->side, Side::pool);
    EXPECT_EQ(gate.reload(1, 1000, listeners, none, members)->resource, Resource::requests);
    const std::vector<Wanted> twice = {{front, {}, {}}, {front, {}, {}}};
    EXPECT_EQ(gate.reload(10, 1000, twice, none, members)->fault, Fault::unknown_member);
    EXPECT_EQ(gate.shares(Resource::bytes, Side::pool).guaranteed(), 400u);
    EXPECT_FALSE(gate.admit(side, search, 10).refusal);
}

TEST_F(GateTest, ARemovedPoolsRequestsGoOnWithoutAGuarantee) {
    Ticket old = admitted(front, archive, 300);
    Gate::Members members;
    const std::vector<Wanted> listeners = {{front, {2, 0}, {200, 0}}};
    const std::vector<Wanted> pools = {{search, {5, 0}, {500, 0}}, {{}, {1, 0}, {100, 0}}};
    ASSERT_FALSE(gate.reload(10, 1000, listeners, pools, members));
    EXPECT_EQ(refused(front, archive).why, Why::gone);
    EXPECT_EQ(refused(side, search).why, Why::gone);
    EXPECT_FALSE(members.pools[1] == archive);
    EXPECT_FALSE(gate.grow(old, 100));
    EXPECT_EQ(gate.grow(old, 1)->why, Why::never) << "600 of 1000 are guaranteed to others";
    EXPECT_EQ(gate.held(Resource::bytes, Side::pool, archive), 400u);
    gate.give_back(std::move(old));
    EXPECT_EQ(gate.held(Resource::bytes, Side::pool, archive), 0u);
    Ticket all = admitted(front, search, 900);
    gate.give_back(std::move(all));
    const std::vector<Wanted> more = {{search, {}, {}}, {members.pools[1], {}, {}}, {}};
    ASSERT_FALSE(gate.reload(10, 1000, listeners, more, members));
    EXPECT_EQ(members.pools[2].slot, archive.slot) << "its place is free, its name means nobody else";
    EXPECT_FALSE(members.pools[2] == archive);
    expect_nothing_held();
}

TEST_F(GateTest, ALimitIsLoweredUnderLoad) {
    std::list<Ticket> open;
    for (int i = 0; i < 6; ++i) open.push_back(admitted(side, search, 100));
    set({front, {2, 0}, {200, 0}}, {side, {}, {}}, {archive, {2, 0}, {200, 0}}, {search, {}, {}}, 5, 500);
    EXPECT_EQ(refused(side, search).why, Why::draining);
    EXPECT_EQ(refused(front, archive).why, Why::draining) << "there is no room, whatever is guaranteed";
    EXPECT_EQ(gate.grow_or_wait(open.front(), 10)->why, Why::draining);
    for (Amount held = 6; held > 3; --held) {
        EXPECT_EQ(gate.held(Resource::requests, Side::pool, search), held);
        gate.give_back(std::move(open.back()));
        open.pop_back();
        EXPECT_EQ(woken(), Ids{});
        EXPECT_EQ(refused(side, search).resource, Resource::requests);
    }
    Ticket a = admitted(front, archive, 100), b = admitted(front, archive, 100);
    EXPECT_EQ(refused(front, archive).why, Why::others);
    gate.shrink(open.back(), 10);
    EXPECT_EQ(woken(), Ids{open.front().id()});
    for (Ticket& ticket : open) gate.give_back(std::move(ticket));
    gate.give_back(std::move(a));
    gate.give_back(std::move(b));
    expect_nothing_held();
}

// ---- the hard case

// All through one listener without a guarantee, with bodies: search floods at ten times its rate, and those
// of its requests whose bodies find no bytes wait.
TEST_F(GateTest, SearchIsFloodedAtTenTimesItsRateArchiveAndAccountsAreNeverRefusedBelowTheirGuarantee) {
    Gate flooded(1000, 1000000);
    Gate::Members m;
    const std::vector<Wanted> listeners = {{{}, {}, {}}};
    const std::vector<Wanted> pools = {
        {{}, {200, 0}, {100000, 0}}, {{}, {300, 0}, {300000, 0}}, {{}, {100, 0}, {100000, 0}}};
    ASSERT_FALSE(flooded.reload(1000, 1000000, listeners, pools, m));
    std::mt19937 random(5);
    std::vector<std::vector<Ticket>> ends(5);
    std::vector<int> refusals(3);
    std::size_t waits = 0;
    for (std::size_t tick = 0; tick < 1000; ++tick) {
        flooded.at(static_cast<Millis>(tick) * 50);
        for (Ticket& ticket : ends[tick % 5]) flooded.give_back(std::move(ticket));
        ends[tick % 5].clear();
        while (flooded.woken()) {
        }
        std::vector<std::size_t> arrivals(300, 0);  // usual: 30, 45 and 15
        arrivals.insert(arrivals.end(), 45, 1);
        arrivals.insert(arrivals.end(), 15, 2);
        std::shuffle(arrivals.begin(), arrivals.end(), random);
        for (std::size_t pool : arrivals) {
            const Amount first = 500, rest = pool == 0 ? 1600 : 500;
            Gate::Admission admission = flooded.admit(m.listeners[0], m.pools[pool], first);
            if (admission.refusal) {
                ++refusals[pool];
                continue;
            }
            const auto no = flooded.grow_or_wait(admission.ticket, rest);
            waits += no.has_value();
            ASSERT_TRUE(pool == 0 || !no);
            ends[tick % 5].push_back(std::move(admission.ticket));
        }
    }
    EXPECT_EQ(refusals[1], 0) << "5 * 45 requests of 1000 bytes stay below 300 and 300000";
    EXPECT_EQ(refusals[2], 0);
    EXPECT_GT(refusals[0], 0);
    EXPECT_GT(waits, 0u);
    for (auto& tickets : ends)
        for (Ticket& ticket : tickets) flooded.give_back(std::move(ticket));
    EXPECT_EQ(flooded.shares(Resource::bytes, Side::listener).used(), 0u);
    EXPECT_EQ(flooded.shares(Resource::requests, Side::pool).committed(), 600u) << "the guarantees alone";
}

}  // namespace
}  // namespace whinledge::limits
