// The control plane's hard cases, one test each, on the register's simulated processes: a, b and c found it,
// and others are spares.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../consensus/simulation.hpp"
#include "control_plane/settings_order.hpp"

namespace whinledge::control_plane {
namespace {

using consensus::Millis;
using consensus::RegisterFailure;
using consensus::RegisterResult;
using consensus::test::Simulation;

constexpr std::size_t kA = 0, kB = 1, kC = 2, kD = 3, kE = 4;
constexpr Millis kFounded = 2000;
constexpr Millis kCallTimeout = 700;  // of an operator's call

class HardCase : public testing::Test {
protected:
    explicit HardCase(std::size_t machines = 5, std::uint64_t seed = 1) { begin(seed, machines); }
    void begin(std::uint64_t seed, std::size_t machines) {
        world = std::make_unique<Simulation>(seed, 3, machines);
        world->network.most_delay = 5;
    }
    void found() {
        for (std::size_t m = kA; m <= kC; ++m) world->start(m, true);
        world->run_until(kFounded);
    }
    void run(Millis duration) { world->run_until(world->now() + duration); }

    std::size_t acceptors(std::size_t machine) { return world->core(machine).known().acceptors.size(); }
    bool is_acceptor(std::size_t machine) {
        const std::int64_t identity = world->core(machine).acceptor().identity();
        return consensus::find_acceptor(world->core(kA).known().acceptors, identity) != nullptr;
    }

    // An operator's calls at one process; empty while there is no answer.
    using Read = std::shared_ptr<std::optional<RegisterResult<wire::RegisterState>>>;
    Read read(std::size_t machine) {
        auto result = std::make_shared<std::optional<RegisterResult<wire::RegisterState>>>();
        world->core(machine).read(kCallTimeout, [result](RegisterResult<wire::RegisterState> answer) {
            result->emplace(std::move(answer));
        });
        return result;
    }
    struct Order {
        SettingsOrder order;
        std::optional<OrderDecision> last;
        std::optional<RegisterResult<wire::RegisterState>> result;
        bool acknowledged() const {
            return result && (result->has_value() || last == OrderDecision::taken_before);
        }
        bool refused() const {
            return result && !result->has_value() && result->error().failure == RegisterFailure::rejected &&
                   last != OrderDecision::taken_before;
        }
    };
    std::shared_ptr<Order> replace(std::size_t machine, std::int64_t based_on, std::int64_t version,
                                   const std::string& body) {
        auto order = std::make_shared<Order>();
        order->order = {based_on, version, digest_of(body), body};
        world->core(machine).change(
            [order](const wire::RegisterState& current) -> std::optional<wire::RegisterState> {
                order->last = decide(current, order->order);
                if (order->last != OrderDecision::take) return std::nullopt;
                return taken(current, order->order);
            },
            kCallTimeout,
            [order](RegisterResult<wire::RegisterState> answer) {
                order->result.emplace(std::move(answer));
            });
        return order;
    }
    // At each process that is up, once all is well.
    void expect_everywhere(std::int64_t version) {
        for (std::size_t m = 0; m < world->machines(); ++m) {
            if (!world->up(m)) continue;
            const Read answer = read(m);
            run(1000);
            ASSERT_TRUE(*answer && (*answer)->has_value()) << "process " << m;
            EXPECT_EQ((*answer)->value().version, version) << "process " << m;
        }
    }

    std::unique_ptr<Simulation> world;
};

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

class CoreOfFour : public HardCase {
protected:
    CoreOfFour() : HardCase(4, 3) {
        found();
        world->start(kD, false);
        run(4000);
        EXPECT_EQ(acceptors(kA), 4U);
        const auto order = replace(kA, 0, 1, "1,");
        run(1000);
        EXPECT_TRUE(order->acknowledged());
    }
    void heals() {
        world->heal();
        run(6000);
        const auto order = replace(kD, 1, 2, "1,2,");
        run(1500);
        EXPECT_TRUE(order->acknowledged());
        expect_everywhere(2);
        EXPECT_TRUE(world->checker.complaints().empty());
    }
};

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

// An acceptor whose disk refuses what is written, as one that is full does.
class RefusingDisk : public CoreOfFour {
protected:
    std::int64_t epoch() { return world->core(kA).known().epoch; }
    // Orders, one each second, so that something is written; told how many were acknowledged.
    int order_for(Millis duration, std::size_t at = kA) {
        int acknowledged = 0;
        for (const Millis end = world->now() + duration; world->now() < end;) {
            body_ += std::to_string(version_ + 1) + ",";
            const auto order = replace(at, version_, version_ + 1, body_);
            run(1000);
            if (order->acknowledged()) ++acknowledged;
            // One without a clear answer may have been taken.
            const wire::RegisterState& known = world->core(at).known().entry.state;
            version_ = known.version;
            body_ = known.configuration;
        }
        return acknowledged;
    }
    void expect_whole() {
        EXPECT_GE(order_for(2000), 1);
        expect_everywhere(version_);
        EXPECT_TRUE(world->checker.complaints().empty());
    }

    std::int64_t version_ = 1;
    std::string body_ = "1,";
};

TEST_F(RefusingDisk, IsLeftOutWhereTheOthersSufficeAndJoinsAgain) {
    world->fill_disk(kD, true);
    EXPECT_EQ(order_for(10'000), 10);
    EXPECT_EQ(acceptors(kA), 3U);
    EXPECT_FALSE(is_acceptor(kD));
    world->stop(kC);
    run(200);
    EXPECT_EQ(order_for(2000, kD), 2) << "one more loss is borne, and its process serves";
    world->start(kC, false);
    const std::int64_t left_out = epoch();
    run(20'000);
    EXPECT_EQ(epoch(), left_out) << "it stays out";
    world->fill_disk(kD, false);
    run(10'000);
    EXPECT_TRUE(is_acceptor(kD));
    EXPECT_TRUE(world->core(kD).acceptor().votes());
    EXPECT_EQ(epoch(), left_out + 1);
    expect_whole();
}

TEST_F(RefusingDisk, IsReplacedByAProcessThatIsNoAcceptorYet) {
    begin(5, 8);
    found();
    for (std::size_t m = kD; m < 8; ++m) world->start(m, false);
    run(6000);
    ASSERT_EQ(acceptors(kA), consensus::kMostAcceptors);
    const auto order = replace(kA, 0, 1, "1,");
    run(1000);
    ASSERT_TRUE(order->acknowledged());
    std::size_t spare = kD;
    while (is_acceptor(spare)) ++spare;
    world->fill_disk(kC, true);
    EXPECT_EQ(order_for(12'000), 12);
    EXPECT_EQ(acceptors(kA), consensus::kMostAcceptors);
    EXPECT_FALSE(is_acceptor(kC));
    EXPECT_TRUE(is_acceptor(spare));
    expect_whole();
}

TEST_F(RefusingDisk, AShortRefusalChangesNothing) {
    const std::int64_t before = epoch();
    world->fill_disk(kD, true);
    order_for(1000);
    world->fill_disk(kD, false);
    order_for(15'000);
    EXPECT_EQ(epoch(), before);
    expect_whole();
}

TEST_F(RefusingDisk, IsKeptWhereTheOthersDoNotSuffice) {
    begin(5, 3);
    found();
    const std::int64_t before = epoch();
    const auto order = replace(kA, 0, 1, "1,");
    run(1000);
    ASSERT_TRUE(order->acknowledged());
    world->fill_disk(kC, true);
    EXPECT_EQ(order_for(20'000), 20);
    EXPECT_EQ(epoch(), before);
    world->fill_disk(kC, false);
    run(5000);
    world->stop(kB);
    run(200);
    EXPECT_EQ(order_for(2000), 2) << "it votes again";
    EXPECT_TRUE(world->checker.complaints().empty());
}

// From the moment at which its disk is full, with an order each second.
TEST_F(RefusingDisk, IsLeftOutWithinNineSeconds) {
    Millis longest = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        begin(seed, 4);
        found();
        world->start(kD, false);
        run(4000);
        version_ = 0;
        body_.clear();
        ASSERT_EQ(order_for(1000), 1);
        run(static_cast<Millis>(world->draw(1000)));
        world->fill_disk(kD, true);
        const Millis filled = world->now();
        std::optional<Millis> after;
        world->on_mark = [&](std::size_t, const std::string& text) {
            if (text.starts_with("seal") && !after) after = world->now() - filled;
        };
        order_for(9000);
        world->on_mark = nullptr;
        ASSERT_TRUE(after && !is_acceptor(kD)) << "seed " << seed;
        longest = std::max(longest, *after);
    }
    std::printf("[ figures  ] left out after %lld ms at most, of 100\n", static_cast<long long>(longest));
}

// Whether all or all but one: what is in force stays so, also while they come back one after another.
TEST_F(RefusingDisk, OfAMajorityNobodyIsLeftOut) {
    for (const std::size_t first_full : {kA, kB}) {
        const std::int64_t before = epoch();
        for (std::size_t m = first_full; m <= kD; ++m) world->fill_disk(m, true);
        EXPECT_EQ(order_for(20'000), 0);
        EXPECT_EQ(epoch(), before);
        for (std::size_t m = first_full; m <= kD; ++m) {
            world->fill_disk(m, false);
            run(1000);
        }
        order_for(15'000);
        EXPECT_EQ(epoch(), before);
        EXPECT_EQ(acceptors(kA), 4U);
        expect_whole();
    }
}

TEST_F(RefusingDisk, WhileAnotherAcceptorIsDown) {
    begin(5, 5);
    found();
    world->start(kD, false);
    world->start(kD + 1, false);
    run(6000);
    ASSERT_EQ(acceptors(kA), 5U);
    const auto order = replace(kA, 0, 1, "1,");
    run(1000);
    ASSERT_TRUE(order->acknowledged());
    world->stop(kC);
    run(500);
    world->fill_disk(kD, true);
    EXPECT_GE(order_for(12'000), 11);
    EXPECT_EQ(acceptors(kA), 3U);
    EXPECT_FALSE(is_acceptor(kD));
    world->stop(kB);
    run(200);
    EXPECT_EQ(order_for(2000), 2) << "one more loss is borne";
    world->heal();
    world->start(kB, false);
    world->start(kC, false);
    run(15'000);
    EXPECT_EQ(acceptors(kA), 5U);
    expect_whole();
}

// Of four acceptors with one down three hold: with the second gone there is no majority, and none is made up.
TEST_F(RefusingDisk, WhileTooFewAreLeftNobodyIsLeftOut) {
    const std::int64_t before = epoch();
    world->stop(kC);
    world->fill_disk(kD, true);
    EXPECT_EQ(order_for(20'000), 0);
    EXPECT_EQ(epoch(), before);
    world->fill_disk(kD, false);
    run(2000);
    EXPECT_GE(order_for(2000), 1) << "the returned disk makes the majority";
    world->start(kC, false);
    run(10'000);
    EXPECT_EQ(acceptors(kA), 4U);
    expect_whole();
}

// Only this process hears of a spare, which answers and dies. A wish to take it in that came up before the
// own disk began to refuse is forgotten by then: once the disk is back all are asked anew, and the spare is
// silent.
TEST_F(RefusingDisk, AWishFromBeforeItsRefusalIsForgotten) {
    int came_before = 0;
    for (Millis moment = 1000; moment <= 2500; moment += 20) {
        begin(static_cast<std::uint64_t>(moment), 4);
        found();
        const std::int64_t founded = epoch();
        world->cut(kB, kD, true);
        world->cut(kC, kD, true);
        world->fill_disk(kA, true);
        const auto order = replace(kB, 0, 1, "1,");
        run(moment);
        if (!world->core(kA).disk_refuses()) ++came_before;
        world->start(kD, false);
        while (!world->core(kA).disk_refuses()) run(1);
        run(200);
        world->stop(kD);
        ASSERT_TRUE(order->acknowledged());
        // Its turn may have come first: then the spare was there, and was taken in.
        if (epoch() != founded) continue;
        run(3000);
        world->fill_disk(kA, false);
        while (world->core(kA).disk_refuses()) run(1);
        run(3000);
        EXPECT_EQ(epoch(), founded) << "the spare came after " << moment << " ms";
        EXPECT_EQ(acceptors(kB), 3U);
        EXPECT_TRUE(world->checker.complaints().empty());
    }
    EXPECT_GE(came_before, 10);
}

TEST_F(RefusingDisk, FullAndFreeEachSecondChangesNothing) {
    const std::int64_t before = epoch();
    for (int second = 0; second < 120; ++second) {
        world->fill_disk(kD, second % 2 == 0);
        order_for(1000);
    }
    EXPECT_EQ(epoch(), before);
    world->fill_disk(kD, false);
    run(5000);
    expect_whole();
}

// Left out again after each return, but ever later: ten minutes cost a bounded number of changes.
TEST_F(RefusingDisk, FullAndFreeEachTenSecondsIsLeftOutForGood) {
    const std::int64_t before = epoch();
    std::int64_t changed = 0;
    for (int turn = 0; turn < 60; ++turn) {
        world->fill_disk(kD, turn % 2 == 0);
        order_for(10'000);
        if (epoch() != before) changed = epoch() - before;
    }
    std::printf("[ figures  ] %lld changes of the acceptors in 600 s\n", static_cast<long long>(changed));
    EXPECT_GE(changed, 1);
    EXPECT_LE(changed, 8);
    world->fill_disk(kD, false);
    run(90'000);
    EXPECT_TRUE(is_acceptor(kD));
    expect_whole();
}

TEST_F(RefusingDisk, RestartedItIsNotTakenInAgain) {
    world->fill_disk(kD, true);
    order_for(10'000);
    ASSERT_FALSE(is_acceptor(kD));
    const std::int64_t left_out = epoch();
    for (int restart = 0; restart < 5; ++restart) {
        world->stop(kD);
        run(100);
        world->start(kD, false);
        order_for(8000);
        EXPECT_EQ(epoch(), left_out) << "restart " << restart;
    }
    world->fill_disk(kD, false);
    run(10'000);
    EXPECT_TRUE(is_acceptor(kD));
    expect_whole();
}

// A spare joins; as the n-th record of that reaches a disk, a disk begins to refuse.
TEST_F(RefusingDisk, WithinASeal) {
    int filled = 0;
    for (std::size_t refusing = kA; refusing <= kD; ++refusing)
        for (int record = 1; record <= 10; ++record) {
            begin(static_cast<std::uint64_t>(record), 4);
            found();
            version_ = 0;
            body_.clear();
            ASSERT_EQ(order_for(1000), 1);
            world->start(kD, false);
            int seen = 0;
            world->on_mark = [&](std::size_t, const std::string& text) {
                const bool of_seal = text.starts_with("promise") || text.starts_with("seal") ||
                                     text.starts_with("begin epoch 2");
                if (of_seal && ++seen == record) {
                    world->fill_disk(refusing, true);
                    ++filled;
                }
            };
            run(3000);
            world->on_mark = nullptr;
            const std::size_t asked = refusing == kA ? kB : kA;
            EXPECT_GE(order_for(15'000, asked), 14) << "disk " << refusing << ", record " << record;
            const std::int64_t identity = world->core(refusing).acceptor().identity();
            const auto& now_acceptors = world->core(asked).known().acceptors;
            if (seen >= record) {
                EXPECT_EQ(now_acceptors.size(), 3U) << "disk " << refusing << ", record " << record;
                EXPECT_EQ(consensus::find_acceptor(now_acceptors, identity), nullptr)
                    << "disk " << refusing << ", record " << record;
            }
            world->heal();
            run(10'000);
            EXPECT_EQ(acceptors(asked), 4U) << "disk " << refusing << ", record " << record;
            expect_whole();
        }
    std::printf("[ figures  ] %d disks began to refuse within a seal\n", filled);
    EXPECT_GE(filled, 30);
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
}  // namespace whinledge::control_plane
