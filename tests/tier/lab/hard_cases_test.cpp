// Engines, memories and shared starts unlike those that the choice of a server began with: programs earn as
// much as where servers are drawn without regard to prompts, or more, and every request has one end.
#include <gtest/gtest.h>

#include <cstdio>

#include "lab/statistics.hpp"
#include "lab/trial.hpp"
#include "lab_experiment.hpp"

namespace whinledge::lab {
namespace {

constexpr std::uint64_t kSeeds = 3;
constexpr double kSlack = 0.02;  // of the worth owed

Trouble trouble(TroubleKind kind, double servers, Millis at = 2000) {
    Trouble made;
    made.kind = kind;
    made.at = at;
    made.lasts = 1500;
    made.servers = servers;
    made.factor = 5;
    return made;
}

double mean_worth(const Experiment& experiment, Choice choice) {
    double worth = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Measures measures = run_trial(experiment, arm("any", choice), seed);
        EXPECT_TRUE(measures.tries.add_up());
        EXPECT_TRUE(measures.attempts.add_up());
        worth += measures.worth() / kSeeds;
    }
    return worth;
}

void expect_no_worse_than_plain(const Experiment& experiment) {
    const double chosen = mean_worth(experiment, Choice::prefix),
                 plain = mean_worth(experiment, Choice::plain);
    std::printf("worth %.3f, by two random choices alone %.3f\n", chosen, plain);
    EXPECT_GE(chosen, plain - kSlack);
}

TEST(HardCases, OneEngineIsFiveTimesSlowerForAWhile) {
    Experiment experiment = small_experiment();
    experiment.troubles = {trouble(TroubleKind::slow, 0.16)};
    expect_no_worse_than_plain(experiment);
}

TEST(HardCases, AllEnginesAreFiveTimesSlowerForAWhile) {
    Experiment experiment = small_experiment();
    experiment.troubles = {trouble(TroubleKind::slow, 1)};
    expect_no_worse_than_plain(experiment);
}

TEST(HardCases, EnginesTenTimesSlower) {
    Experiment experiment = small_experiment();
    experiment.deployment.speeds = {10};
    experiment.programs[0].per_second = 3;
    experiment.programs[0].aim = 30;
    experiment.programs[0].objective_ms = 2500;
    experiment.programs[0].deadline_ms = 60000;
    experiment.programs[0].gap_aim_ms = 4000;
    experiment.finish_ms = 60000;
    expect_no_worse_than_plain(experiment);
}

TEST(HardCases, EnginesTenTimesFaster) {
    Experiment experiment = small_experiment();
    experiment.deployment.speeds = {0.1};
    experiment.programs[0].per_second = 60;
    expect_no_worse_than_plain(experiment);
}

TEST(HardCases, AFastAndASlowEngineSideBySide) {
    Experiment experiment = small_experiment();
    experiment.deployment.speeds = {1, 0.2, 5};
    expect_no_worse_than_plain(experiment);
}

TEST(HardCases, AnEngineWithATenthOfTheOthersMemory) {
    Experiment experiment = small_experiment();
    experiment.deployment.model.memory_tokens = 120000;
    experiment.deployment.memories = {1, 1, 0.1};
    expect_no_worse_than_plain(experiment);
}

TEST(HardCases, AnEngineThatIsFastWithShortPromptsAlone) {
    Experiment experiment = small_experiment();
    experiment.deployment.readings = {1, 1, 0.1};
    expect_no_worse_than_plain(experiment);
}

TEST(HardCases, TwoHundredKindsOfSharedPartsThatDoNotFit) {
    Experiment experiment = small_experiment();
    experiment.deployment.model.memory_tokens = 60000;
    experiment.programs[0].starts = 200;
    experiment.programs[0].start_skew = 0;
    expect_no_worse_than_plain(experiment);
}

TEST(HardCases, AllProxiesAndServersEndAndComeBack) {
    Experiment experiment = small_experiment();
    experiment.troubles = {trouble(TroubleKind::crash, 1), trouble(TroubleKind::proxy_restart, 1)};
    expect_no_worse_than_plain(experiment);
    const Measures measures = run_trial(experiment, arm("all"), 1);
    EXPECT_GT(measures.kinds[0].in_time, measures.kinds[0].programs / 2);
}

}  // namespace
}  // namespace whinledge::lab
