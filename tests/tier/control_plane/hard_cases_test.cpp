// The control plane's hard cases, one test each, on the register's simulated processes.
#include <algorithm>
#include <cstdio>
#include <functional>

#include "hard_case.hpp"

namespace whinledge::control_plane::test {
namespace {

// Both change the register again and again, without a pause.
TEST_F(HardCase, TwoProposersForEverBothGetOn) {
    found();
    struct Proposer {
        int changed = 0;
        Millis last = kFounded, longest = 0;
    };
    Proposer proposers[2];
    std::function<void(std::size_t)> propose = [&](std::size_t m) {
        world->core(m).change([](const wire::RegisterState& state) { return std::optional(state); }, 5000,
                              [&, m](const RegisterResult<wire::RegisterState>& result) {
                                  Proposer& proposer = proposers[m];
                                  if (result) {
                                      ++proposer.changed;
                                      proposer.longest =
                                          std::max(proposer.longest, world->now() - proposer.last);
                                      proposer.last = world->now();
                                  }
                                  if (world->now() < 60'000) propose(m);
                              });
    };
    propose(kA);
    propose(kB);
    world->run_until(65'000);
    for (const Proposer& proposer : proposers) {
        std::printf("[ figures  ] %d changes in 58 s, %lld ms apart at most\n", proposer.changed,
                    static_cast<long long>(proposer.longest));
        EXPECT_GT(proposer.changed, 150);
        EXPECT_LT(proposer.longest, 2000);
    }
}

// It dies as the first, second or third acceptor, itself among them, has accepted. Nobody asks: whoever holds
// the value finishes it.
TEST_F(HardCase, AProposerKilledBetweenItsRoundsIsFinished) {
    for (int accepted = 1; accepted <= 3; ++accepted) {
        Simulation one(7, 3, 4);
        for (std::size_t m = kA; m <= kC; ++m) one.start(m, true);
        one.run_until(kFounded);
        one.start(kD, false);
        one.run_until(2 * kFounded);
        int seen = 0;
        one.on_mark = [&](std::size_t, const std::string& text) {
            if (text.starts_with("accept ") && ++seen == accepted) one.stop(kD);
        };
        one.change(kD, kCallTimeout, false);
        one.run_until(3 * kFounded);
        one.on_mark = nullptr;
        ASSERT_GE(seen, accepted);
        const wire::RegisterState& known = one.core(kA).known().entry.state;
        EXPECT_TRUE(accepted < 2 || known.configuration == "1,") << "one that lives holds it";
        EXPECT_EQ(one.core(kB).known().entry.state, known);
        EXPECT_EQ(one.core(kC).known().entry.state, known);
        one.read(kC, kCallTimeout);
        one.run_until(3 * kFounded + 1000);
        EXPECT_EQ(one.outcomes().read, 1);
        EXPECT_TRUE(one.checker.complaints().empty());
    }
}

TEST_F(HardCase, AnOrderWhoseAcknowledgementWasLostIsKnownAgainAfterTenNewerOnes) {
    found();
    const auto first = replace(kA, 0, 1, "1,");
    run(1000);
    ASSERT_TRUE(first->acknowledged());
    for (std::int64_t version = 2; version <= 11; ++version) {
        const auto next = replace(static_cast<std::size_t>(version) % 3, version - 1, version, "next");
        run(1000);
        ASSERT_TRUE(next->acknowledged()) << version;
    }
    for (std::size_t m = kA; m <= kC; ++m) {
        const auto again = replace(m, 0, 1, "1,");
        run(1000);
        EXPECT_TRUE(again->acknowledged()) << "process " << m;
    }
    expect_everywhere(11);
}

// At the same moment, at different processes, for different bodies.
TEST_F(HardCase, OfTwoOperatorsWithOneNumberOneIsTaken) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        begin(seed, 3);
        found();
        const auto left = replace(kA, 0, 5, "left"), right = replace(kB, 0, 5, "right");
        run(1500);
        ASSERT_TRUE(left->result && right->result) << "seed " << seed;
        EXPECT_FALSE(left->acknowledged() && right->acknowledged()) << "seed " << seed;
        // The one that is left over is refused as often as it is sent.
        const auto left_again = replace(kC, 0, 5, "left"), right_again = replace(kB, 0, 5, "right");
        run(1500);
        EXPECT_NE(left_again->acknowledged(), right_again->acknowledged()) << "seed " << seed;
        EXPECT_NE(left_again->refused(), right_again->refused()) << "seed " << seed;
        EXPECT_TRUE(!left->acknowledged() || left_again->acknowledged()) << "seed " << seed;
        EXPECT_TRUE(!right->acknowledged() || right_again->acknowledged()) << "seed " << seed;
    }
}

TEST_F(HardCase, AnAcceptorWipedAtAnyMomentOfAChangeIsReplacedAtItsAddress) {
    for (Millis moment = 0; moment <= 60; ++moment) {
        begin(static_cast<std::uint64_t>(moment) + 1, 3);
        found();
        const auto order = replace(kA, 0, 1, "1,");
        run(moment);
        world->wipe(kC);
        run(5);
        world->start(kC, false);
        run(3000);
        const auto again = replace(kB, 0, 1, "1,");
        run(1000);
        EXPECT_TRUE(again->acknowledged()) << "wiped after " << moment << " ms";
        EXPECT_EQ(acceptors(kC), 3U);
        EXPECT_TRUE(world->core(kC).acceptor().votes()) << "wiped after " << moment << " ms";
        expect_everywhere(1);
    }
}

// Each seed, at each moment: the two others found the register, and the new disk joins.
TEST_F(HardCase, ASeedWipedDuringTheFounding) {
    for (std::size_t seed = kA; seed <= kC; ++seed)
        for (Millis moment = 0; moment <= 400; moment += 10) {
            begin(static_cast<std::uint64_t>(moment) + 1, 3);
            for (std::size_t m = kA; m <= kC; ++m)
                world->at(static_cast<Millis>(world->draw(300)), [this, m] { world->start(m, true); });
            run(moment);
            world->wipe(seed);
            run(50);
            for (std::size_t m = kA; m <= kC; ++m) world->start(m, m != seed);
            run(10'000);
            const auto order = replace(kB, 0, 1, "1,");
            run(1000);
            EXPECT_TRUE(order->acknowledged()) << "seed " << seed << " wiped after " << moment << " ms";
            EXPECT_EQ(acceptors(kB), 3U) << "seed " << seed << " wiped after " << moment << " ms";
        }
}

// Neither half has a majority: nothing is changed, and nobody is told a version that may be old.
TEST_F(CoreOfFour, CutInHalves) {
    for (const std::size_t left : {kA, kB})
        for (const std::size_t right : {kC, kD}) world->cut(left, right, true);
    for (int second = 0; second < 8; ++second) {
        const auto left = read(kA), right = read(kD);
        const auto order = replace(kB, 1, 9, "1,9,");
        run(1000);
        ASSERT_TRUE(*left && *right && order->result) << "all are answered in time";
        EXPECT_FALSE((*left)->has_value());
        EXPECT_FALSE((*right)->has_value());
        EXPECT_FALSE(order->acknowledged());
        EXPECT_FALSE(order->refused()) << "it may yet be taken";
    }
    world->heal();
    run(3000);
    const auto order = replace(kC, 1, 9, "1,9,");
    run(1500);
    EXPECT_TRUE(order->acknowledged());
    expect_everywhere(9);
    EXPECT_TRUE(world->checker.complaints().empty());
}

TEST_F(CoreOfFour, CutInHalvesOneWay) {
    for (const std::size_t left : {kA, kB})
        for (const std::size_t right : {kC, kD}) world->cut_one_way(left, right);
    for (int second = 0; second < 8; ++second) {
        const auto left = read(kA), right = read(kD);
        run(1000);
        ASSERT_TRUE(*left && *right);
        EXPECT_FALSE((*left)->has_value());
        EXPECT_FALSE((*right)->has_value());
    }
    heals();
}

TEST_F(CoreOfFour, CutOneToThree) {
    for (const std::size_t other : {kB, kC, kD}) world->cut(kA, other, true);
    run(200);
    const auto order = replace(kC, 1, 2, "1,2,");
    const auto cut_off = read(kA);
    run(1000);
    EXPECT_TRUE(order->acknowledged());
    ASSERT_TRUE(*cut_off);
    EXPECT_FALSE((*cut_off)->has_value()) << "it would be the version before";
    run(8000);  // those left go on by themselves
    const auto next = replace(kB, 2, 3, "1,2,3,");
    run(1000);
    EXPECT_TRUE(next->acknowledged());
    const auto still = read(kA);
    run(1000);
    ASSERT_TRUE(*still);
    EXPECT_FALSE((*still)->has_value());
    world->heal();
    run(4000);
    expect_everywhere(3);
    EXPECT_TRUE(world->checker.complaints().empty());
}

// Its process serves on, and the others don't wait for it.
TEST_F(CoreOfFour, ADiskThatStallsHoldsUpNothing) {
    world->hold_disk(kB, world->now() + 4500);
    std::int64_t version = 1;
    std::string body = "1,";
    for (const std::size_t asked : {kA, kB, kC, kD}) {
        body += std::to_string(version + 1) + ",";
        const auto order = replace(asked, version, version + 1, body);
        run(200);
        EXPECT_TRUE(order->acknowledged()) << "process " << asked;
        ++version;
        const auto found = read(kB);
        run(200);
        ASSERT_TRUE(*found && (*found)->has_value());
        EXPECT_EQ((*found)->value().version, version);
    }
    EXPECT_EQ(acceptors(kA), 4U);
    run(6000);
    EXPECT_EQ(world->core(kB).acceptor().entry().state.version, version) << "its disk has caught up";
    expect_everywhere(version);
    EXPECT_TRUE(world->checker.complaints().empty());
}

// It is no acceptor that is there: those left bear the loss of another. It joins again once its disk answers.
TEST_F(CoreOfFour, ADiskThatHangsForLongIsLeftOut) {
    world->hold_disk(kD, world->now() + 20'000);
    const auto order = replace(kA, 1, 2, "1,2,");
    run(12'000);
    EXPECT_TRUE(order->acknowledged());
    EXPECT_EQ(acceptors(kA), 3U);
    world->stop(kC);
    const auto next = replace(kD, 2, 3, "1,2,3,");
    run(1000);
    EXPECT_TRUE(next->acknowledged());
    world->start(kC, false);
    run(15'000);
    EXPECT_EQ(acceptors(kA), 4U);
    EXPECT_TRUE(world->core(kD).acceptor().votes());
    expect_everywhere(3);
    EXPECT_TRUE(world->checker.complaints().empty());
}

// Nothing is taken and nobody waits for an answer; with room again all goes on.
TEST_F(CoreOfFour, FullDisksOfAMajority) {
    for (const std::size_t machine : {kB, kC, kD}) world->fill_disk(machine, true);
    const auto order = replace(kB, 1, 2, "1,2,");
    const auto found = read(kC);
    run(1000);
    ASSERT_TRUE(order->result && *found);
    EXPECT_FALSE(order->acknowledged());
    EXPECT_FALSE(order->refused()) << "it may yet be taken";
    EXPECT_NE(order->result->error().message.find("make room"), std::string::npos)
        << order->result->error().message;
    EXPECT_TRUE((*found)->has_value()) << "reads need no room";
    heals();
}

// Power is lost while writes are under way at slow disks: whatever was acknowledged is there.
TEST_F(HardCase, PowerIsLostInTheMiddleOfWrites) {
    int acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        begin(seed, 3);
        found();
        world->most_sync = 100;
        world->hold_disk(seed % 3, world->now() + 400);
        const auto order = replace((seed + 1) % 3, 0, 1, "1,");
        run(static_cast<Millis>(world->draw(300)));
        const bool told = order->acknowledged();
        acknowledged += told ? 1 : 0;
        for (std::size_t m = kA; m <= kC; ++m) world->stop(m);
        run(1000);
        world->heal();
        for (std::size_t m = kA; m <= kC; ++m) world->start(m, false);
        run(5000);
        if (told) expect_everywhere(1);
        EXPECT_TRUE(world->checker.complaints().empty()) << "seed " << seed;
    }
    std::printf("[ figures  ] %d of 200 orders acknowledged before the loss of power\n", acknowledged);
    EXPECT_GT(acknowledged, 20);
    EXPECT_LT(acknowledged, 180);
}

// A spare comes while an acceptor stands still; thawed, that one finds its epoch ended.
TEST_F(HardCase, AReplacementWhileOneAcceptorIsFrozen) {
    found();
    const auto order = replace(kA, 0, 1, "1,");
    run(500);
    ASSERT_TRUE(order->acknowledged());
    world->freeze(kB, world->now() + 9000);
    world->start(kD, false);
    run(8000);
    EXPECT_TRUE(world->core(kD).acceptor().votes());
    EXPECT_EQ(acceptors(kA), 3U);
    EXPECT_FALSE(is_acceptor(kB)) << "the spare has taken its place";
    const auto meanwhile = replace(kD, 1, 2, "1,2,");
    run(900);
    EXPECT_TRUE(meanwhile->acknowledged());
    run(6000);
    expect_everywhere(2);
    EXPECT_TRUE(world->checker.complaints().empty());
}

// Of five, one is frozen at any moment of the replacement of another, whose disk was lost.
TEST_F(HardCase, AWipedAcceptorIsReplacedWhileAnotherIsFrozen) {
    for (Millis moment = 0; moment <= 1500; moment += 25) {
        begin(static_cast<std::uint64_t>(moment) + 1, 5);
        found();
        world->start(kD, false);
        world->start(kE, false);
        run(4000);
        ASSERT_EQ(acceptors(kA), 5U);
        const auto order = replace(kA, 0, 1, "1,");
        run(500);
        ASSERT_TRUE(order->acknowledged());
        const std::int64_t lost = world->core(kC).acceptor().identity();
        world->wipe(kC);
        run(50);
        world->start(kC, false);
        run(moment);
        world->freeze(kB, world->now() + 4000);
        run(3000);
        EXPECT_EQ(consensus::find_acceptor(world->core(kA).known().acceptors, lost), nullptr);
        EXPECT_TRUE(is_acceptor(kC)) << "frozen after " << moment << " ms";
        const auto meanwhile = replace(kC, 1, 2, "1,2,");
        run(900);
        EXPECT_TRUE(meanwhile->acknowledged()) << "frozen after " << moment << " ms";
        run(4000);
        EXPECT_EQ(acceptors(kA), 5U);
        EXPECT_TRUE(is_acceptor(kB)) << "frozen after " << moment << " ms";
        expect_everywhere(2);
        EXPECT_TRUE(world->checker.complaints().empty()) << "frozen after " << moment << " ms";
    }
}

// All processes end within a millisecond of an acknowledgement; one disk is lost, too.
TEST_F(HardCase, AllAreKilledRightAfterAnAcknowledgement) {
    for (int wiped = -1; wiped <= 2; ++wiped)
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            begin(seed, 3);
            found();
            const auto order = replace(seed % 3, 0, 1, "1,");
            while (!order->result) run(1);
            ASSERT_TRUE(order->acknowledged());
            for (std::size_t m = kA; m <= kC; ++m) {
                if (static_cast<int>(m) == wiped)
                    world->wipe(m);
                else
                    world->stop(m);
            }
            run(1000);
            for (std::size_t m = kA; m <= kC; ++m) world->start(m, false);
            run(5000);
            expect_everywhere(1);
            EXPECT_TRUE(world->checker.complaints().empty());
        }
}

}  // namespace
}  // namespace whinledge::control_plane::test
