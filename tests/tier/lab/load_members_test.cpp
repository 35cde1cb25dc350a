// What proxies have under way, told to simulated storage members: its way, its losses, and what it is worth.
#include "lab/load_members.hpp"

#include <gtest/gtest.h>

#include "lab/trial.hpp"
#include "lab_experiment.hpp"

namespace whinledge::lab {
namespace {

wire::LoadReport report(std::int64_t proxy, std::int32_t requests) {
    wire::LoadReport made;
    made.proxy = proxy;
    made.number = 1;
    wire::ServerRequests at;
    at.server = 7;
    at.requests = requests;
    made.under_way = {at};
    made.asked = {7};
    return made;
}

TEST(LoadMembers, TellWhatOthersHaveAndHowOldItIs) {
    Simulation simulation(1000);
    const Deployment deployment;
    LoadMembers members(deployment, simulation, 1);
    members.call(report(1, 3), 4, {});
    simulation.run_until(1100);
    std::vector<storage_plane::ToldLoads> told;
    members.call(report(2, 5), 4, [&](const auto& loads) { told.push_back(loads); });
    simulation.run_until(1103);
    EXPECT_TRUE(told.empty()) << "it is under way";
    simulation.run_until(1104);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].other_requests, (std::vector<std::int32_t>{3}));
    EXPECT_DOUBLE_EQ(told[0].age_ms, (100.0 - 0) / 2 + 4) << "of both reports in the mean, and the way";
}

TEST(LoadMembers, ADelayMakesItOlder) {
    Simulation simulation(1000);
    Deployment deployment;
    deployment.load_report_delay_ms = 500;
    LoadMembers members(deployment, simulation, 1);
    std::vector<double> ages;
    members.call(report(1, 3), 4, [&](const auto& loads) { ages.push_back(loads.age_ms); });
    simulation.run_until(2000);
    ASSERT_EQ(ages.size(), 1U);
    EXPECT_DOUBLE_EQ(ages[0], 504);
}

TEST(LoadMembers, WhatIsLostIsNotTold) {
    Simulation simulation(1000);
    Deployment deployment;
    deployment.load_report_loss = 1;
    LoadMembers members(deployment, simulation, 1);
    int told = 0;
    members.call(report(1, 3), 4, [&](const auto&) { ++told; });
    simulation.run_until(2000);
    EXPECT_EQ(told, 0);
}

// Loads that are two seconds old are not followed: all would go together to whoever was idle then.
TEST(LabTrial, SharedLoadsThatAreOldDoLittleHarm) {
    Experiment experiment = small_experiment();
    experiment.programs[0].per_second = 30;
    Arm untold = arm("untold");
    untold.told_load = false;
    Arm shared = untold;
    shared.shared_loads = true;
    double without = 0, with = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        const Measures a = run_trial(experiment, untold, seed);
        experiment.deployment.load_report_delay_ms = 2000;
        const Measures b = run_trial(experiment, shared, seed);
        without += a.worth_earned / a.worth_owed;
        with += b.worth_earned / b.worth_owed;
    }
    EXPECT_GT(with / 6, without / 6 - 0.03);
}

}  // namespace
}  // namespace whinledge::lab
