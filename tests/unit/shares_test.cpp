// Guaranteed parts and borrowing: each rule by name.
#include <random>
#include <stdexcept>

#include "unit/shares_rig.hpp"

namespace whinledge::limits::test {
namespace {

TEST_F(SharesTest, BusyHoldingsBorrowNothingOfOthersGuarantees) {
    const Member a = add(30), b = add(20);
    EXPECT_TRUE(take(a, 80));
    const Verdict no = refused(a, 1);
    EXPECT_EQ(no.why, Why::others);
    EXPECT_EQ(no.short_by, 1u);
    EXPECT_TRUE(take(b, 20));
    EXPECT_EQ(shares.used(), 100u);
    EXPECT_EQ(refused(b, 1).why, Why::others);
}

TEST_F(SharesTest, WhatIsGivenBackCanBeBorrowedAtOnce) {
    const Member a = add(0), b = add(0);
    ASSERT_TRUE(take(a, 100));
    EXPECT_EQ(refused(b, 10).short_by, 10u);
    shares.give_back(a, 10);
    EXPECT_TRUE(take(b, 10));
}

TEST_F(SharesTest, AllOrNothing) {
    const Member a = add(10), b = add(60);
    ASSERT_TRUE(take(a, 39));
    EXPECT_EQ(refused(a, 2).why, Why::others);
    EXPECT_EQ(shares.busy(a), 39u);
    EXPECT_TRUE(take(a, 1));
    EXPECT_TRUE(take(b, 60));
}

TEST_F(SharesTest, IdleHoldingsFillEverything) {
    const Member a = add(0);
    add(60);
    EXPECT_TRUE(take(a, 100, Holding::idle));
    const Verdict no = refused(a, 1, Holding::idle);
    EXPECT_EQ(no.why, Why::others);
    EXPECT_EQ(no.short_by, 1u);
    EXPECT_EQ(shares.committed(), 60u);
}

TEST_F(SharesTest, IdleHoldingsAreRevokedForAGuarantee) {
    const Member a = add(0), b = add(60);
    idle(a, 40);
    ASSERT_TRUE(take(a, 60, Holding::idle));
    const Verdict verdict = shares.take(b, 60);
    EXPECT_EQ(verdict.kind, Kind::granted_if_revoked);
    EXPECT_EQ(list(verdict.revoke), (List{{a.slot, 60}}));
    EXPECT_EQ(shares.busy(b), 0u) << "nothing is booked before they are given back";
    EXPECT_EQ(shares.idle(a), 100u);
    EXPECT_TRUE(take_revoking(b, 60));
    EXPECT_EQ(shares.used(), 100u);
}

TEST_F(SharesTest, IdleHoldingsAreRevokedForBorrowingToo) {
    const Member a = add(0), b = add(0);
    ASSERT_TRUE(take(a, 100, Holding::idle));
    EXPECT_TRUE(take_revoking(b, 30));
    EXPECT_EQ(shares.idle(a), 70u);
}

// An idle connection is worth nothing that a guess may cost somebody else his.
TEST_F(SharesTest, IdleHoldingsPastTheGuaranteeRevokeNothing) {
    const Member a = add(0), b = add(10);
    ASSERT_TRUE(take(a, 100, Holding::idle));
    EXPECT_TRUE(take_revoking(b, 10, Holding::idle)) << "within it they do";
    EXPECT_EQ(refused(b, 1, Holding::idle).why, Why::others);
}

TEST_F(SharesTest, IdleHoldingsWithinAGuaranteeAreNotRevoked) {
    const Member a = add(30), b = add(0), c = add(20);
    ASSERT_TRUE(take(a, 30, Holding::idle));
    ASSERT_TRUE(take(b, 50));
    ASSERT_TRUE(take(c, 20, Holding::idle));
    EXPECT_EQ(refused(b, 1).why, Why::others);
    EXPECT_TRUE(take_revoking(c, 20, Holding::busy)) << "its own idle ones are past its guarantee then";
    EXPECT_EQ(shares.idle(a), 30u);
    EXPECT_EQ(shares.idle(c), 0u);
}

TEST_F(SharesTest, WhoIsMostOverItsGuaranteeIsRevokedFirst) {
    const Member a = add(10), b = add(0), c = add(5), d = add(20);
    ASSERT_TRUE(take(a, 35, Holding::idle));  // 25 over
    ASSERT_TRUE(take(b, 10));                 // 30 over, 20 of it idle
    ASSERT_TRUE(take(b, 20, Holding::idle));
    ASSERT_TRUE(take(c, 35, Holding::idle));  // 30 over; a later one than b
    EXPECT_EQ(list(shares.take(d, 10).revoke), (List{{b.slot, 10}}));
    EXPECT_EQ(list(shares.take(d, 20).revoke), (List{{b.slot, 20}}));
    ASSERT_TRUE(take_revoking(d, 20));
    EXPECT_EQ(list(shares.take(d, 35).revoke), (List{{c.slot, 30}, {a.slot, 5}}));
}

TEST_F(SharesTest, OwnBoundCountsBusyAndIdle) {
    const Member a = add(10, 40);
    ASSERT_TRUE(take(a, 30));
    ASSERT_TRUE(take(a, 10, Holding::idle));
    EXPECT_EQ(refused(a, 1, Holding::idle).why, Why::own_most);
    const Verdict verdict = shares.take(a, 10);
    EXPECT_EQ(verdict.kind, Kind::granted_if_revoked) << "its own idle ones make room";
    EXPECT_EQ(list(verdict.revoke), (List{{a.slot, 10}}));
    const Verdict no = refused(a, 12);
    EXPECT_EQ(no.why, Why::own_most);
    EXPECT_EQ(no.short_by, 2u);
}

TEST_F(SharesTest, OwnIdleOnesForTheOwnBoundComeFirstAndOnce) {
    const Member a = add(10, 40), b = add(0);
    ASSERT_TRUE(take(a, 20));
    ASSERT_TRUE(take(a, 20, Holding::idle));
    ASSERT_TRUE(take(b, 60, Holding::idle));
    EXPECT_EQ(list(shares.take(a, 15).revoke), (List{{a.slot, 15}}));
    shares.give_back(b, 40, Holding::idle);
    ASSERT_EQ(shares.set_total(50), Fault::none);
    // 15 for its own bound, and of the 10 above the total first of whom is most over.
    EXPECT_EQ(list(shares.take(a, 15).revoke), (List{{a.slot, 20}, {b.slot, 5}}));
}

TEST_F(SharesTest, WhatCouldNeverBeIsToldApart) {
    const Member a = add(10, 40), b = add(20);
    EXPECT_EQ(refused(a, 41).why, Why::never);
    EXPECT_EQ(refused(b, 91).why, Why::never);
    EXPECT_EQ(refused(b, kMostTotal).why, Why::never);
    EXPECT_EQ(refused(b, static_cast<Amount>(-1)).why, Why::never);
    EXPECT_EQ(refused(b, static_cast<Amount>(-1), Holding::idle).why, Why::never);
    EXPECT_EQ(shares.largest(a), 40u);
    EXPECT_EQ(shares.largest(b), 90u);
    EXPECT_TRUE(take(b, 90));
}

TEST_F(SharesTest, NothingIsAlwaysGranted) {
    const Member a = add(0), b = add(0);
    ASSERT_TRUE(take(a, 100));
    EXPECT_TRUE(take(b, 0));
    EXPECT_TRUE(take(b, 0, Holding::idle));
    ASSERT_EQ(shares.set_total(50), Fault::none);
    EXPECT_TRUE(take(b, 0)) << "even while it drains";
}

TEST_F(SharesTest, IdleToBusyIsCheckedAsATake) {
    const Member a = add(0), b = add(60);
    ASSERT_TRUE(take(a, 100, Holding::idle));
    EXPECT_TRUE(shares.idle_to_busy(a, 40).granted());
    const Verdict no = shares.idle_to_busy(a, 1);
    EXPECT_EQ(no.kind, Kind::refused);
    EXPECT_EQ(no.why, Why::others);
    EXPECT_EQ(shares.idle(a), 60u) << "it stays idle";
    EXPECT_EQ(shares.busy(a), 40u);
    EXPECT_TRUE(take_revoking(b, 60));
    EXPECT_EQ(shares.idle(a), 0u);
}

TEST_F(SharesTest, IdleToBusyWithinTheGuaranteeIsNeverRefused) {
    const Member a = add(0), b = add(60);
    ASSERT_TRUE(take(b, 60, Holding::idle));
    ASSERT_TRUE(take(a, 40));
    EXPECT_TRUE(shares.idle_to_busy(b, 30).granted());
    ASSERT_EQ(shares.set_total(80), Fault::none);
    EXPECT_TRUE(shares.idle_to_busy(b, 30).granted()) << "nothing more is held by it";
}

TEST_F(SharesTest, WrongUseThrowsAndChangesNothing) {
    const Member a = add(10);
    ASSERT_TRUE(take(a, 3));
    EXPECT_THROW(shares.give_back(a, 4), std::logic_error);
    EXPECT_THROW(shares.give_back(a, 1, Holding::idle), std::logic_error);
    EXPECT_THROW((void)shares.busy_to_idle(a, 4), std::logic_error);
    EXPECT_THROW((void)shares.idle_to_busy(a, 1), std::logic_error);
    EXPECT_THROW(shares.give_back(Member{}, 0), std::logic_error);
    EXPECT_THROW(shares.remove(Member{7, 0}), std::logic_error);
    EXPECT_EQ(shares.busy(a), 3u);
    EXPECT_EQ(shares.take(Member{}, 1).why, Why::gone);
    EXPECT_THROW(Shares(kMostTotal + 1), std::invalid_argument);
}

TEST_F(SharesTest, GuaranteesAboveTheTotalAreNotTaken) {
    const Member a = add(60);
    EXPECT_FALSE(shares.add({41, 0}));
    EXPECT_FALSE(shares.add({10, 9})) << "its bound is below its guarantee";
    EXPECT_EQ(shares.set(a, {101, 0}), Fault::guarantees_over_total);
    EXPECT_EQ(shares.set(a, {50, 49}), Fault::most_under_guarantee);
    EXPECT_EQ(shares.set_total(59), Fault::guarantees_over_total);
    EXPECT_EQ(shares.set_total(kMostTotal + 1), Fault::total_too_large);
    EXPECT_EQ(shares.set(Member{}, {}), Fault::unknown_member);
    EXPECT_EQ(shares.guaranteed(), 60u);
    EXPECT_TRUE(shares.add({40, 0}));
    const std::vector<Bound> huge(3, {kMostTotal, 0});
    EXPECT_EQ(Shares::check(kMostTotal, huge), Fault::guarantees_over_total);
}

// ---- changes at run time

TEST_F(SharesTest, ALimitIsLoweredUnderLoad) {
    const Member a = add(0, 80), b = add(20);
    ASSERT_TRUE(take(a, 70));
    ASSERT_TRUE(take(b, 5));
    ASSERT_EQ(shares.set(a, {0, 40}), Fault::none);
    EXPECT_EQ(refused(a, 1).why, Why::own_most);
    EXPECT_EQ(refused(a, 1).short_by, 31u);
    EXPECT_FALSE(shares.busy_to_idle(a, 1)) << "it drains";
    shares.give_back(a, 31);
    EXPECT_TRUE(take(a, 1));

    ASSERT_EQ(shares.set(a, {}), Fault::none);
    ASSERT_EQ(shares.set_total(30), Fault::none);  // a holds 40 and b 5 of it
    EXPECT_TRUE(shares.over_committed());
    EXPECT_EQ(refused(a, 1).why, Why::draining);
    EXPECT_EQ(refused(b, 1).why, Why::draining) << "no room, whatever is guaranteed";
    shares.give_back(a, 15);
    EXPECT_EQ(shares.used(), 30u);
    EXPECT_EQ(refused(b, 1).why, Why::draining);
    shares.give_back(a, 1);
    EXPECT_TRUE(take(b, 1)) << "what drains goes to who is below its guarantee";
    EXPECT_EQ(refused(a, 1).why, Why::draining);
    shares.give_back(a, 14);
    EXPECT_FALSE(shares.over_committed());
    EXPECT_TRUE(take(b, 14));
    EXPECT_EQ(refused(a, 1).why, Why::others);
}

TEST_F(SharesTest, SurplusIsTheIdleThatALoweredTotalCosts) {
    const Member a = add(10), b = add(0);
    ASSERT_TRUE(take(a, 10, Holding::idle));
    ASSERT_TRUE(take(b, 30));
    ASSERT_TRUE(take(b, 20, Holding::idle));
    EXPECT_TRUE(shares.surplus().empty());
    ASSERT_EQ(shares.set_total(50), Fault::none);
    EXPECT_EQ(list(shares.surplus()), (List{{b.slot, 10}}));
    ASSERT_EQ(shares.set_total(35), Fault::none);
    EXPECT_EQ(list(shares.surplus()), (List{{b.slot, 20}, {a.slot, 5}})) << "guaranteed ones only then";
    ASSERT_EQ(shares.set_total(10), Fault::none);
    EXPECT_EQ(list(shares.surplus()), (List{{b.slot, 20}, {a.slot, 10}})) << "as near as they allow";
    EXPECT_EQ(shares.used(), 60u);
}

TEST_F(SharesTest, IdleWithinAGuaranteeYieldsToBusyWithinOneWhileItDrains) {
    const Member a = add(10), b = add(10), c = add(0);
    ASSERT_TRUE(take(a, 10, Holding::idle));
    ASSERT_TRUE(take(c, 30));
    ASSERT_EQ(shares.set_total(40), Fault::none);
    const Verdict verdict = shares.take(b, 5);
    EXPECT_EQ(verdict.kind, Kind::granted_if_revoked);
    EXPECT_EQ(list(verdict.revoke), (List{{a.slot, 5}}));
    EXPECT_EQ(refused(b, 5, Holding::idle).why, Why::draining) << "but not to idle";
}

TEST_F(SharesTest, ARemovedMemberKeepsWhatItHoldsUntilItIsGivenBack) {
    const Member a = add(50), b = add(0);
    ASSERT_TRUE(take(a, 20));
    ASSERT_TRUE(take(a, 10, Holding::idle));
    shares.remove(a);
    EXPECT_EQ(refused(a, 1).why, Why::gone);
    EXPECT_EQ(shares.idle_to_busy(a, 1).why, Why::gone);
    EXPECT_FALSE(shares.busy_to_idle(a, 1));
    EXPECT_EQ(shares.used(), 30u);
    EXPECT_EQ(list(shares.take(b, 80).revoke), (List{{a.slot, 10}})) << "its idle ones can be revoked";
    EXPECT_EQ(refused(b, 81).why, Why::others);
    shares.give_back(a, 20);
    shares.give_back(a, 10, Holding::idle);
    EXPECT_THROW(shares.give_back(a, 0), std::logic_error) << "then its name is of no more use";
    const Member next = add(1);
    EXPECT_EQ(next.slot, a.slot);
    EXPECT_FALSE(next == a);
    EXPECT_EQ(refused(a, 1).why, Why::gone);
    EXPECT_TRUE(take(b, 99));
    shares.remove(next);
    EXPECT_EQ(add(0).slot, a.slot) << "who holds nothing is gone at once";
}

TEST_F(SharesTest, AReloadIsOneStepOrNone) {
    const Member a = add(60), b = add(40);
    ASSERT_TRUE(take(b, 40));
    std::vector<Member> members;
    const std::vector<Shares::Wanted> too_much = {{a, {60, 0}}, {{}, {41, 0}}};
    EXPECT_EQ(shares.reload(100, too_much, members), Fault::guarantees_over_total);
    const std::vector<Shares::Wanted> twice = {{a, {1, 0}}, {a, {1, 0}}};
    EXPECT_EQ(shares.reload(100, twice, members), Fault::unknown_member);
    EXPECT_TRUE(members.empty());
    EXPECT_EQ(shares.guaranteed(), 100u);

    // Guarantees move from one to the other, which no order of single changes could do at once.
    const std::vector<Shares::Wanted> wanted = {{{}, {50, 0}}, {a, {10, 20}}};
    ASSERT_EQ(shares.reload(70, wanted, members), Fault::none);
    ASSERT_EQ(members.size(), 2u);
    EXPECT_TRUE(members[1] == a);
    EXPECT_EQ(shares.total(), 70u);
    EXPECT_EQ(shares.guaranteed(), 60u);
    EXPECT_EQ(shares.busy(b), 40u);
    EXPECT_EQ(refused(b, 1).why, Why::gone);
    EXPECT_TRUE(take(members[0], 30));
    EXPECT_EQ(refused(members[0], 1).why, Why::draining);
    shares.give_back(b, 40);
    EXPECT_TRUE(take(members[0], 30));
    EXPECT_EQ(refused(a, 21).why, Why::never);
}

// ---- the hard cases

TEST_F(SharesTest, OnePoolTakesEveryDescriptorItCanGetAnothersGuaranteeIsHonouredByRevokingIdleOnesOnly) {
    Shares descriptors{1024};
    const Member front = *descriptors.add({200, 0}), greedy = *descriptors.add({50, 0}),
                 modest = *descriptors.add({100, 0});
    const auto grab = [&](Holding kind) {
        Amount got = 0;
        while (descriptors.take(greedy, 1, kind).granted()) ++got;
        return got;
    };
    EXPECT_EQ(grab(Holding::busy), 724u);
    EXPECT_EQ(grab(Holding::idle), 300u);
    EXPECT_EQ(descriptors.used(), 1024u);
    Amount revoked = 0;
    const auto revoke = [&](Member of, Amount n) {
        EXPECT_TRUE(of == greedy);
        descriptors.give_back(of, n, Holding::idle);
        revoked += n;
    };
    for (int i = 0; i < 100; ++i) {
        ASSERT_TRUE(descriptors.take_by(modest, 1, Holding::busy, revoke).granted());
        grab(Holding::idle);  // at every chance
        grab(Holding::busy);
    }
    for (int i = 0; i < 200; ++i) ASSERT_TRUE(descriptors.take_by(front, 1, Holding::busy, revoke).granted());
    EXPECT_EQ(revoked, 300u);
    EXPECT_EQ(descriptors.busy(greedy), 724u) << "nothing at work was lost";
    EXPECT_FALSE(descriptors.take_by(modest, 1, Holding::busy, revoke).granted());
}

TEST_F(SharesTest, SearchIsFloodedAtTenTimesItsRateArchiveAndAccountsAreNeverRefusedBelowTheirGuarantee) {
    Shares requests{1000};
    const Member search = *requests.add({200, 0}), archive = *requests.add({300, 0}),
                 accounts = *requests.add({100, 0});
    std::mt19937 random(11);
    std::map<std::uint32_t, std::uint64_t> turned_away;
    // Each tick every pool is asked for its usual 30, 45 and 15 requests, search for ten times as many; each
    // request lasts five ticks.
    std::vector<std::vector<Member>> ends(5);
    for (std::size_t tick = 0; tick < 2000; ++tick) {
        for (Member m : std::exchange(ends[tick % 5], {})) requests.give_back(m, 1);
        std::vector<Member> arrivals(300, search);
        arrivals.insert(arrivals.end(), 45, archive);
        arrivals.insert(arrivals.end(), 15, accounts);
        std::shuffle(arrivals.begin(), arrivals.end(), random);
        for (Member m : arrivals) {
            const bool below = requests.within_guarantee(m, 1);
            if (requests.take(m, 1).granted())
                ends[tick % 5].push_back(m);
            else {
                ASSERT_FALSE(below);
                ++turned_away[m.slot];
            }
        }
        ASSERT_LE(requests.used(), 1000u);
    }
    EXPECT_EQ(turned_away[archive.slot], 0u) << "5 * 45 stays below 300";
    EXPECT_EQ(turned_away[accounts.slot], 0u);
    EXPECT_GT(turned_away[search.slot], 0u);
    EXPECT_EQ(requests.busy(search), 600u) << "and it has all that nobody is guaranteed";
}

}  // namespace
}  // namespace whinledge::limits::test
