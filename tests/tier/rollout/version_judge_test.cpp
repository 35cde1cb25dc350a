// The sequential test by itself.
#include "rollout/version_judge.hpp"

#include <gtest/gtest.h>

#include <random>

namespace whinledge::rollout {
namespace {

struct Stream {
    explicit Stream(unsigned seed) : random(seed) {}
    // One step of 250 ms of a route: attempts at each version, and the shares of them that fail.
    void step(VersionJudge& judge, int old_ended, double old_fails, int new_ended, double new_fails,
              double slower = 1, int groups = 4) {
        Cells cells;
        const auto one = [&](int group, double fails, double factor) {
            const bool failed = std::bernoulli_distribution(fails)(random);
            const double took = 300 * factor * std::lognormal_distribution<double>(0, 0.4)(random);
            count(cells, {1, group, failed, true, took, took / 5});
        };
        for (int i = 0; i < old_ended; ++i) one(kOldGroup, old_fails, 1);
        for (int i = 0; i < new_ended; ++i) one(1 + i % groups, new_fails, slower);
        judge.add(cells);
        judge.weigh(now += 250, VersionJudge::Load::alike);
    }
    std::mt19937 random;
    double now = 0;
};

// Samples of the new version until it is shown to be bad; -1: it never is.
int samples_until_bad(unsigned seed, double old_fails, double new_fails, double slower = 1, int steps = 40,
                      int groups = 4) {
    VersionJudge judge(0.06);
    Stream stream(seed);
    int samples = 0;
    for (int i = 0; i < steps; ++i) {
        stream.step(judge, 80, old_fails, 5, new_fails, slower, groups);
        samples += 5;
        if (judge.is_bad()) return samples;
    }
    return -1;
}

TEST(VersionJudge, BadVersionsAreFoundWithinAFewDozenSamples) {
    for (unsigned seed = 0; seed < 300; ++seed) {
        const int samples = samples_until_bad(seed, 0.01, 0.37);
        ASSERT_GT(samples, 0) << seed;
        EXPECT_LE(samples, 100) << seed;
    }
}

TEST(VersionJudge, SlowVersionsAreFound) {
    for (unsigned seed = 0; seed < 300; ++seed) {
        const int samples = samples_until_bad(seed, 0.01, 0.01, 8);
        ASSERT_GT(samples, 0) << seed;
        EXPECT_LE(samples, 60) << seed;
    }
}

// The stated error: at most one sound version in 100 is taken for a bad one.
TEST(VersionJudge, SoundVersionsAreSeldomTakenForBadOnes) {
    for (const double fails : {0.0, 0.02, 0.1, 0.3}) {
        int wrong = 0;
        for (unsigned seed = 0; seed < 1000; ++seed) wrong += samples_until_bad(seed, fails, fails) > 0;
        EXPECT_LE(wrong, 10) << fails;
    }
}

TEST(VersionJudge, AVersionHalfAgainAsSlowIsSound) {
    int wrong = 0;
    for (unsigned seed = 0; seed < 300; ++seed) wrong += samples_until_bad(seed, 0.01, 0.01, 1.5) > 0;
    EXPECT_LE(wrong, 3);
}

// A server that is removed for its own fault is not its version's verdict.
TEST(VersionJudge, OneServersFaultIsNotItsVersions) {
    VersionJudge judge(0.06);
    Stream stream(1);
    for (int i = 0; i < 40; ++i) {
        stream.step(judge, 80, 0.01, 4, 0.01);
        Cells grey;
        count(grey, {1, 2, true, true, 100, {}});
        judge.add(grey);
    }
    EXPECT_FALSE(judge.is_bad()) << judge.evidence();
}

TEST(VersionJudge, EnoughIsSoManyOnEachRouteWithTraffic) {
    VersionJudge judge(0.06);
    Stream stream(1);
    EXPECT_TRUE(judge.has_enough()) << "nobody asks for the service";
    stream.step(judge, 100, 0, 0, 0);
    EXPECT_FALSE(judge.has_enough());
    stream.step(judge, 0, 0, 3, 0);
    EXPECT_TRUE(judge.has_enough());
    stream.step(judge, 2000, 0, 0, 0);
    EXPECT_FALSE(judge.has_enough());
    stream.step(judge, 0, 0, 25, 0);
    EXPECT_TRUE(judge.has_enough());
}

}  // namespace
}  // namespace whinledge::rollout
