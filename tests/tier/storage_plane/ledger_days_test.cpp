// Days of a simulated storage plane with more members than keep a program's ledger: groups move while
// machines join, retire, are wiped, frozen and cut off.
#include <gtest/gtest.h>

#include "storage_day.hpp"

namespace whinledge::storage_plane::test {
namespace {

DayOptions day_of_groups(int machines, int group, int zones = 3) {
    DayOptions options;
    options.cluster.machines = machines;
    options.cluster.ledger_group = group;
    options.cluster.zones = zones;
    return options;
}

TEST(LedgerDays, ACalmDayServesEveryTurn) { expect_every_turn_served(day_of_groups(12, 5)); }

TEST(LedgerDays, LossesInGroupsOfFive) {
    const DayResult result = play_all(8, 31000, day_of_groups(9, 5));
    EXPECT_WHOLE(result);
    EXPECT_TRUE(!result.usual || result.wipes > 3) << result.wipes;
}

TEST(LedgerDays, LossesInGroupsOfNine) { EXPECT_WHOLE(play_all(3, 32000, day_of_groups(12, 9))); }

TEST(LedgerDays, LossesInGroupsOfThree) { EXPECT_WHOLE(play_all(4, 33000, day_of_groups(6, 3))); }

TEST(LedgerDays, RetirementsDuringLosses) {
    DayOptions options = day_of_groups(8, 5);
    options.retires = true;
    EXPECT_WHOLE(play_all(4, 34000, options));
}

TEST(LedgerDays, FrozenMachinesAndLateMessages) {
    DayOptions options = day_of_groups(8, 5);
    options.freezes = true;
    options.retires = true;
    options.cluster.late_share = 0.02;
    options.length_ms = 25000;
    EXPECT_WHOLE(play_all(3, 35000, options));
}

TEST(LedgerDays, SidecarsThatEndWithTurnsUnderWay) {
    DayOptions options = day_of_groups(8, 5);
    options.edges_crash = true;
    EXPECT_WHOLE(play_all(3, 36000, options));
}

TEST(LedgerDays, TwoLossesAtOnceInGroupsOfSeven) {
    DayOptions options = day_of_groups(10, 7);
    options.cluster.survive.machines = 2;
    options.faults_at_once = 2;
    EXPECT_WHOLE(play_all(3, 37000, options));
}

// Between groups and all: the map crosses the size of a group in both directions.
TEST(LedgerDays, DeploymentsOfTheSizeOfAGroup) {
    DayOptions options = day_of_groups(5, 5);
    options.retires = true;
    EXPECT_WHOLE(play_all(4, 38000, options));
}

// Turns at members that do not keep their program's ledger go with its newest turn, neither before nor never.
TEST(LedgerDays, WhatHasExpiredGoesAndNothingElse) {
    DayOptions options = day_of_groups(9, 3);
    options.keep_for_s = 3;
    options.length_ms = 30000;
    options.spent_keep_away = true;
    const DayResult result = play_all(3, 39000, options, {39354});
    EXPECT_WHOLE(result);
    EXPECT_EQ(result.most_held, 0);
    EXPECT_TRUE(!result.usual || result.returns > 10) << result.returns;
}

TEST(LedgerDays, SpentProgramsThatComeBackInTime) {
    DayOptions options = day_of_groups(6, 3);
    options.keep_for_s = 10;
    options.length_ms = 40000;
    options.limited_every = 2;
    options.spent_keep_away = true;
    options.retires = true;
    const DayResult result = play_all(3, 41000, options);
    EXPECT_WHOLE(result);
    EXPECT_TRUE(!result.usual || result.returns > 5) << result.returns;
}

// Groups of three of which members are wiped again and again.
DayOptions day_of_many_moves() {
    DayOptions options = day_of_groups(6, 3);
    options.retires = true;
    options.lines = 4;
    options.freezes = true;
    options.edges_crash = true;
    options.cluster.late_share = 0.05;
    options.late_until_end = false;  // of so many reads one of them would be late again and again
    options.length_ms = 25000;
    return options;
}

TEST(LedgerDays, GroupsThatMoveAgainAndAgain) { EXPECT_WHOLE(play_all(3, 40000, day_of_many_moves())); }

}  // namespace
}  // namespace whinledge::storage_plane::test
