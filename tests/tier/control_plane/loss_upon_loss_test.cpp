// A second loss soon after a first: those that are left go on by themselves, and nothing that was
// acknowledged is lost.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <vector>

#include "hard_case.hpp"

namespace whinledge::control_plane::test {
namespace {

// The operators' bound: `guarantees.syncS` after a successor's start another machine may be lost.
constexpr Millis kSync = 4100;
constexpr Millis kSettled = 8000;

class LossUponLoss : public HardCase {
protected:
    // `size` acceptors, and machines that are not there yet.
    void core(std::size_t size, std::uint64_t seed, std::size_t successors = 1) {
        begin(seed, size + successors);
        world->reconfiguration = limits;
        found();
        for (std::size_t m = kD; m < size; ++m) world->start(m, false);
        run(kSettled);
        ASSERT_EQ(acceptors(kA), size);
        version_ = 0;
        body_.clear();
        ASSERT_TRUE(confirmed({kA}));
    }

    std::vector<std::size_t> others_than(std::size_t first, std::size_t second) {
        std::vector<std::size_t> others;
        for (std::size_t m = 0; m < world->machines(); ++m)
            if (m != first && m != second && world->up(m)) others.push_back(m);
        return others;
    }

    // The first is gone for good, its successor starts at another address after `pause`, and `after` its
    // start the second loses its disk. Whether those that are left go on.
    bool bears(std::size_t size, std::uint64_t seed, Millis pause, std::size_t second, Millis after) {
        core(size, seed);
        if (HasFatalFailure()) return false;
        const std::size_t first = size - 1, successor = size;
        world->wipe(first);
        run(pause);
        world->start(successor, false);
        run(after);
        world->wipe(second);
        const bool goes_on = confirmed(others_than(first, second));
        EXPECT_TRUE(world->checker.complaints().empty());
        return goes_on;
    }

    consensus::ReconfigurationLimits limits;
};

TEST_F(LossUponLoss, ASuccessorsTimeIsEnoughForTheNextLoss) {
    for (const std::size_t size : {3U, 4U, 5U})
        for (const Millis pause : {0, 300, 1000, 3000})
            for (std::size_t second = kA; second <= size; ++second) {
                if (second == size - 1) continue;
                for (std::uint64_t seed = 1; seed <= 5; ++seed)
                    EXPECT_TRUE(bears(size, seed, pause, second, kSync))
                        << size << " acceptors, successor after " << pause << " ms, second loss " << second
                        << ", seed " << seed;
            }
}

// For how long a second loss would harm: the figures of the page.
TEST_F(LossUponLoss, IsBorneFromWellBeforeASuccessorsTimeIsOver) {
    for (const std::size_t size : {3U, 4U}) {
        Millis latest = 0;
        for (std::uint64_t seed = 1; seed <= 8; ++seed)
            for (Millis after = 0; after <= kSync; after += 100)
                if (!bears(size, seed, 0, kA, after)) latest = std::max(latest, after);
        std::printf(
            "[ figures  ] %zu acceptors: a second loss harms up to %lld ms after a successor's start\n", size,
            static_cast<long long>(latest));
        EXPECT_LT(latest, kSync);
    }
}

TEST_F(LossUponLoss, ASilentOneThatIsKeptForLongIsNoticed) {
    limits.silent = limits.gone;
    int harmed = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) harmed += bears(3, seed, 0, kA, kSync) ? 0 : 1;
    EXPECT_GT(harmed, 0);
}

// Two may be lost at once, and are, twice.
TEST_F(LossUponLoss, TwoSuccessorsTimeIsEnoughForTheNextTwoLosses) {
    constexpr std::size_t kSize = 5, kF = 5, kG = 6;
    limits.survive.machines = 2;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        core(kSize, seed, 2);
        if (HasFatalFailure()) return;
        world->wipe(kD);
        world->wipe(kE);
        world->start(kF, false);
        run(static_cast<Millis>(world->draw(500)));
        world->start(kG, false);
        run(kSync);
        world->wipe(kA);
        world->wipe(kB);
        EXPECT_TRUE(confirmed({kC, kF, kG})) << "seed " << seed;
        EXPECT_TRUE(world->checker.complaints().empty()) << "seed " << seed;
    }
}

// At the n-th record that reaches a disk since the successor began, another disk is lost: whatever was
// acknowledged is there, and where a majority of the disks is left it goes on.
TEST_F(LossUponLoss, AtEachStepOfAReplacement) {
    int struck = 0, left = 0;
    for (const std::size_t size : {3U, 4U})
        for (std::size_t second = kA; second + 1 < size; ++second)
            for (int record = 1; record <= 24; ++record) {
                core(size, static_cast<std::uint64_t>(record));
                if (HasFatalFailure()) return;
                const std::size_t first = size - 1, successor = size;
                world->wipe(first);
                world->start(successor, false);
                int seen = 0;
                bool lost = false;
                world->on_mark = [&](std::size_t, const std::string& text) {
                    const bool of_disk = text.starts_with("promise") || text.starts_with("accept") ||
                                         text.starts_with("seal") || text.starts_with("begin epoch");
                    if (!of_disk || ++seen != record) return;
                    lost = true;
                    world->at(world->now(), [this, second] { world->wipe(second); });
                };
                run(kSync);
                world->on_mark = nullptr;
                if (!lost) continue;
                ++struck;
                run(300);
                world->start(second, false);
                run(kSync);
                const bool majority = world->majority_left();
                if (majority) {
                    ++left;
                    EXPECT_TRUE(confirmed(others_than(first, first)))
                        << size << " acceptors, second " << second << ", record " << record;
                    expect_everywhere(version_);
                }
                EXPECT_TRUE(world->checker.complaints().empty())
                    << size << " acceptors, second " << second << ", record " << record;
            }
    std::printf(
        "[ figures  ] %d second losses within a replacement, in %d a majority of the disks was left\n",
        struck, left);
    EXPECT_GT(struck, 50);
    EXPECT_GT(left, struck / 4);
}

}  // namespace
}  // namespace whinledge::control_plane::test
