// Whole trials: proxies with the program's own decisions, servers, programs and troubles.
#include "lab/trial.hpp"

#include <gtest/gtest.h>

#include "lab/results.hpp"
#include "lab/statistics.hpp"
#include "lab_experiment.hpp"

namespace whinledge::lab {
namespace {

Trouble trouble(TroubleKind kind, double servers = 0.1) {
    Trouble made;
    made.kind = kind;
    made.at = 2000;
    made.lasts = 2000;
    made.servers = servers;
    made.share = 0.5;
    made.factor = 4;
    return made;
}

void expect_whole(const Measures& measures) {
    const TryEnds& tries = measures.tries;
    EXPECT_TRUE(tries.add_up()) << tries.sent << " sent, " << tries.served << " served, " << tries.refused
                                << " refused, " << tries.failed << " failed, " << tries.left << " left, "
                                << tries.open << " open";
    const AttemptEnds& attempts = measures.attempts;
    EXPECT_TRUE(attempts.add_up()) << attempts.sent << " sent, " << attempts.done << " done, "
                                   << attempts.refused << " refused, " << attempts.error << " errors, "
                                   << attempts.lost << " lost, " << attempts.cancelled << " cancelled, "
                                   << attempts.open << " open";
    for (const KindMeasures& kind : measures.kinds)
        EXPECT_EQ(kind.programs, kind.in_time + kind.late + kind.failed + kind.unended);
}

TEST(LabTrial, AQuietDayIsServedWhole) {
    const Measures measures = run_trial(small_experiment(), arm("all"), 1);
    expect_whole(measures);
    EXPECT_GT(measures.kinds[0].programs, 30U);
    EXPECT_EQ(measures.kinds[0].failed, 0U);
    EXPECT_EQ(measures.kinds[0].unended, 0U);
    EXPECT_GT(measures.worth(), 0.95);
    EXPECT_EQ(measures.tries.open, 0U);
    EXPECT_EQ(measures.tries.served, measures.tries.sent);
    EXPECT_EQ(measures.attempts.done, measures.attempts.sent);
    EXPECT_GT(measures.first_events.size(), 100U);
    EXPECT_GT(measures.pauses.size(), 1000U);
    EXPECT_GT(measures.connections, 0U);
}

TEST(LabTrial, TheSameSeedGivesTheSameTrial) {
    Experiment experiment = small_experiment();
    experiment.troubles = {trouble(TroubleKind::crash), trouble(TroubleKind::answer_lost)};
    for (const Choice choice : {Choice::prefix, Choice::plain, Choice::random}) {
        const Measures a = run_trial(experiment, arm("a", choice), 7);
        const Measures b = run_trial(experiment, arm("b", choice), 7);
        EXPECT_EQ(a.happened, b.happened);
        EXPECT_EQ(a.worth_earned, b.worth_earned);
        EXPECT_EQ(a.first_events, b.first_events);
        EXPECT_EQ(a.pauses, b.pauses);
        EXPECT_EQ(a.cross_zone_bytes, b.cross_zone_bytes);
        const Measures c = run_trial(experiment, arm("a", choice), 8);
        EXPECT_NE(a.happened, c.happened);
    }
}

TEST(LabTrial, ArmsPlayTheSamePrograms) {
    const Measures a = run_trial(small_experiment(), arm("a"), 3);
    const Measures b = run_trial(small_experiment(), arm("b", Choice::random), 3);
    EXPECT_EQ(a.kinds[0].programs, b.kinds[0].programs);
    EXPECT_EQ(a.worth_owed, b.worth_owed);
}

// Each request has one end, whatever befalls the servers and proxies.
class LabTrouble : public testing::TestWithParam<TroubleKind> {};

TEST_P(LabTrouble, EndsAddUp) {
    Experiment experiment = small_experiment();
    experiment.troubles = {trouble(GetParam(), 0.4)};
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
        for (const Choice choice : {Choice::prefix, Choice::plain}) {
            SCOPED_TRACE(seed);
            const Measures measures = run_trial(experiment, arm("any", choice), seed);
            expect_whole(measures);
            EXPECT_GT(measures.kinds[0].in_time, 0U);
        }
}

INSTANTIATE_TEST_SUITE_P(All, LabTrouble,
                         testing::Values(TroubleKind::burst, TroubleKind::slow, TroubleKind::answer_lost,
                                         TroubleKind::grey, TroubleKind::hang, TroubleKind::crash,
                                         TroubleKind::proxy_restart));

// What each trouble is there to do, it does.
TEST(LabTrial, TroublesAreSeen) {
    const Measures quiet = run_trial(small_experiment(), arm("all"), 2);
    const auto with = [](TroubleKind kind) {
        Experiment experiment = small_experiment();
        experiment.troubles = {trouble(kind, 0.5)};
        experiment.troubles[0].lasts = 3900;  // clients leave what is silent for 3.2 s
        return run_trial(experiment, arm("all"), 2);
    };
    EXPECT_GT(with(TroubleKind::burst).kinds[0].programs, quiet.kinds[0].programs);
    std::vector<float> pauses = quiet.pauses, slow_pauses = with(TroubleKind::slow).pauses;
    EXPECT_GT(percentile(slow_pauses, 0.95), 1.3 * percentile(pauses, 0.95));
    EXPECT_GT(with(TroubleKind::answer_lost).attempts.lost, 0U);
    EXPECT_GT(with(TroubleKind::grey).attempts.error, 0U);
    EXPECT_GT(with(TroubleKind::hang).tries.left, 0U);
    EXPECT_GT(with(TroubleKind::crash).attempts.lost, 0U);
    EXPECT_GT(with(TroubleKind::proxy_restart).tries.failed, 0U);
}

// Two proxies that know nothing of each other's sends fill one server's memory over and over: it preempts,
// what is preempted is read anew and ends, and nothing is lost.
TEST(LabTrial, TwoProxiesThatRunAServersMemoryOver) {
    Experiment experiment = small_experiment();
    experiment.deployment.proxies = 2;
    experiment.deployment.model_servers = 1;
    experiment.deployment.model.memory_tokens = 30000;
    std::uint64_t preempted = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SCOPED_TRACE(seed);
        const Measures measures = run_trial(experiment, arm("all"), seed);
        expect_whole(measures);
        preempted += measures.preempted;
        EXPECT_GT(measures.kinds[0].in_time, 0U);
        EXPECT_EQ(measures.attempts.lost, 0U);
    }
    EXPECT_GT(preempted, 0U);
}

// The planted worse arm: servers drawn at random read prompts anew, and wait for it.
TEST(LabTrial, RandomPlacementComesOutWorse) {
    Experiment experiment = small_experiment();
    experiment.seeds = 6;
    experiment.programs[0].aim = 1.2;
    experiment.deployment.model.prefill_tokens_per_ms = 10;
    experiment.arms = {arm("all"), arm("random", Choice::random)};
    const Results results = play(experiment, {});
    const Interval worth = paired(results.arms[0].column(0), results.arms[1].column(0));
    EXPECT_TRUE(worth.is_clear());
    EXPECT_LT(worth.mean, -0.05) << text_report(results);
    EXPECT_TRUE(results.arms[0].ends_add_up);
}

TEST(LabTrial, WhatAnArmLeavesOutIsLeftOut) {
    Arm no_prefix = arm("no-prefix");
    no_prefix.kept_prefix = false;
    Arm no_zones = arm("no-zones");
    no_zones.zones = false;
    const Measures all = run_trial(small_experiment(), arm("all"), 5);
    EXPECT_GT(run_trial(small_experiment(), no_prefix, 5).tokens_read_twice, 1.5 * all.tokens_read_twice);
    EXPECT_GT(run_trial(small_experiment(), no_zones, 5).cross_zone_bytes, all.cross_zone_bytes);
}

// Without prompts' parts the proxies still spread what they send, each request in an order of its own.
TEST(LabTrial, WithoutKeptPrefixesRequestsAreSpread) {
    Experiment experiment = small_experiment();
    experiment.deployment.proxies = 20;
    experiment.deployment.model_servers = 40;
    experiment.programs[0].per_second = 60;
    Arm no_prefix = arm("no-prefix");
    no_prefix.kept_prefix = false;
    const Measures spread = run_trial(experiment, no_prefix, 1);
    const Measures plain = run_trial(experiment, arm("plain", Choice::plain), 1);
    EXPECT_LE(spread.most_running, 2 * plain.most_running);
    EXPECT_GT(spread.worth(), plain.worth() - 0.05);
}

TEST(LabTrial, FullServersRefuseAndClientsComeAgain) {
    Experiment experiment = small_experiment();
    experiment.programs[0].per_second = 40;
    experiment.deployment.model.slots = 2;
    experiment.deployment.model.queue = 1;
    const Measures measures = run_trial(experiment, arm("plain", Choice::plain), 1);
    expect_whole(measures);
    EXPECT_GT(measures.attempts.refused, 0U);
    EXPECT_GT(measures.tries.refused, 0U);
}

}  // namespace
}  // namespace whinledge::lab
