// Days of a simulated storage plane whose members all keep all ledgers.
#include <gtest/gtest.h>

#include "storage_day.hpp"

namespace whinledge::storage_plane::test {
namespace {

TEST(StorageDays, ACalmDayServesEveryTurn) { expect_every_turn_served(DayOptions()); }

TEST(StorageDays, AcknowledgedTurnsAndBudgetsSurviveLosses) {
    const DayResult result = play_all(24, 1000, DayOptions());
    EXPECT_WHOLE(result);
    EXPECT_TRUE(!result.usual || result.wipes > 5) << result.wipes;
}

TEST(StorageDays, RetiredMachinesLeaveNothingBehind) {
    DayOptions options;
    options.retires = true;
    options.faults = false;
    const DayResult result = play_all(10, 2000, options);
    EXPECT_WHOLE(result);
    EXPECT_TRUE(!result.usual || result.retirements > 5) << result.retirements;
}

TEST(StorageDays, RetirementsDuringLosses) {
    DayOptions options;
    options.retires = true;
    const DayResult result = play_all(12, 3000, options);
    EXPECT_WHOLE(result);
}

TEST(StorageDays, SevenMachinesSurviveLosses) {
    DayOptions options;
    options.cluster.machines = 7;
    options.retires = true;
    const DayResult result = play_all(6, 7000, options);
    EXPECT_WHOLE(result);
}

// Turns are kept for a little longer than they must be, and then go.
TEST(StorageDays, WhatHasExpiredGoesAndNothingElse) {
    DayOptions options;
    options.keep_for_s = 3;
    options.length_ms = 30000;
    options.cluster.disk_bytes = 2U << 20;
    options.spent_keep_away = true;
    const DayResult result = play_all(8, 6000, options, {6128});
    EXPECT_WHOLE(result);
    EXPECT_EQ(result.most_held, 0);
    EXPECT_TRUE(!result.usual || result.returns > 20) << result.returns;
}

// Two losses fit into the time in which a program without budget keeps away.
TEST(StorageDays, SpentProgramsThatComeBackInTime) {
    DayOptions options;
    options.keep_for_s = 10;
    options.length_ms = 40000;
    options.limited_every = 2;
    options.spent_keep_away = true;
    options.retires = true;
    const DayResult result = play_all(6, 12000, options);
    EXPECT_WHOLE(result);
    EXPECT_TRUE(!result.usual || result.returns > 10) << result.returns;
}

TEST(StorageDays, ThreeMachinesSurviveLosses) {
    DayOptions options;
    options.cluster.machines = 3;
    const DayResult result = play_all(16, 5000, options);
    EXPECT_WHOLE(result);
}

TEST(StorageDays, FrozenMachinesAndLateMessages) {
    DayOptions options;
    options.freezes = true;
    options.cluster.late_share = 0.02;
    options.length_ms = 25000;
    const DayResult result = play_all(12, 8000, options, {8167, 8254});
    EXPECT_WHOLE(result);
}

TEST(StorageDays, SidecarsThatEndWithTurnsUnderWay) {
    DayOptions options;
    options.edges_crash = true;
    const DayResult result = play_all(12, 9000, options);
    EXPECT_WHOLE(result);
}

TEST(StorageDays, FiveMachinesSurviveTwoLosses) {
    DayOptions options;
    options.cluster.machines = 5;
    options.cluster.survive.machines = 2;
    options.faults_at_once = 2;
    const DayResult result = play_all(12, 11000, options);
    EXPECT_WHOLE(result);
}

TEST(StorageDays, TheCheckerFindsASingleCopy) {
    DayOptions options;
    options.plant = [](TurnQuorumOptions& quorum) { quorum.planted_one_copy = true; };
    EXPECT_FALSE(play_planted(8, 4000, options).broken.empty());
}

TEST(StorageDays, TheCheckerFindsAReservationOfLessThanTheMost) {
    DayOptions options;
    options.faults = false;
    options.lines = 6;  // the rule allows for the most of one turn
    options.plant = [](TurnQuorumOptions& quorum) { quorum.planted_small_reserve = true; };
    const DayResult result = play_planted(2, 4000, options);
    EXPECT_TRUE(std::any_of(result.broken.begin(), result.broken.end(), [](const std::string& line) {
        return line.find("was handed") != std::string::npos;
    }));
}

// Where any two majorities share one member alone, that member's memory is what counts.
TEST(StorageDays, TheCheckerFindsAMemberThatVotesWhenEmpty) {
    DayOptions options;
    options.cluster.machines = 3;
    options.planted_vote_when_empty = true;
    options.length_ms = 40000;  // several wipes
    const DayResult result = play_planted(8, 4000, options);
    const bool found = std::any_of(result.broken.begin(), result.broken.end(), [](const std::string& line) {
        return line.find("the chain of") != std::string::npos ||
               line.find("said not to be") != std::string::npos;
    });
    EXPECT_TRUE(found);
}

TEST(StorageDays, TheCheckerFindsDisksThatDoNotSync) {
    DayOptions options;
    options.planted_no_sync = true;
    EXPECT_FALSE(play_planted(8, 4000, options).broken.empty());
}

// Programs are forgotten after a third of their time.
TEST(StorageDays, TheCheckerFindsLedgersThatAreForgottenTooEarly) {
    DayOptions options;
    options.keep_for_s = 10;
    options.length_ms = 40000;
    options.limited_every = 2;
    options.spent_keep_away = true;
    options.planted_clock_rate = 3;
    const DayResult result = play_planted(2, 4000, options);
    EXPECT_TRUE(std::any_of(result.broken.begin(), result.broken.end(), [](const std::string& line) {
        return line.find("has spent its budget") != std::string::npos;
    }));
}

}  // namespace
}  // namespace whinledge::storage_plane::test
