// An acceptor whose disk refuses what is written, as one that is full does.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "hard_case.hpp"

namespace whinledge::control_plane::test {
namespace {

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

}  // namespace
}  // namespace whinledge::control_plane::test
