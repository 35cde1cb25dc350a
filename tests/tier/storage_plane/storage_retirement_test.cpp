// Retirements beside other losses, and clocks that differ and step: at each moment at which they may strike,
// what was acknowledged is there afterwards and is denied at no time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hard_case.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr int kTurns = 12;
constexpr double kLookEveryMs = 400;
constexpr double kLooksMs = 14000;
constexpr double kUntilGone = 1e6;
constexpr double kSlowMs = 300;

std::string turn_id(int number) { return "turn-" + std::to_string(number); }

// Turns through edges of all zones, so that each member holds some of them.
void write_turns(HardCase& test) {
    for (int i = 0; i < kTurns; ++i) {
        ClusterEdge& edge = test.edge(std::string(1, static_cast<char>('a' + i % 4)));
        ASSERT_TRUE(test.ended(edge, test.whole_turn(turn_id(i))));
    }
}

// Asks for every turn again and again, and lets `strike` happen meanwhile.
void expect_none_denied(HardCase& test, const std::string& what) {
    ClusterEdge& reader = test.edge("c");
    const double until = test.cluster.time.now() + kLooksMs;
    for (int look = 0; test.cluster.time.now() < until; ++look) {
        std::vector<std::shared_ptr<std::optional<BegunTurn>>> reads;
        for (int i = 0; i < kTurns; ++i) reads.push_back(test.begins(reader, test.start("look", turn_id(i))));
        test.run(kLookEveryMs);
        for (int i = 0; i < kTurns; ++i) {
            const auto& read = *reads[static_cast<std::size_t>(i)];
            EXPECT_FALSE(read && read->status == BeginStatus::no_such_turn)
                << what << ", " << turn_id(i) << ", look " << look;
        }
    }
}

void expect_all_whole(HardCase& test, const std::string& what) {
    ASSERT_TRUE(test.settles()) << what;
    ClusterEdge& reader = test.edge("d");
    for (int i = 0; i < kTurns; ++i) {
        EXPECT_GE(test.cluster.zones_with(turn_id(i)).size(), 2u) << what << ", " << turn_id(i);
        EXPECT_EQ(test.begun(reader, test.start("read", turn_id(i))).status, BeginStatus::ok)
            << what << ", " << turn_id(i);
    }
}

// Machine 0 retires, and `offset_ms` later something else happens.
void retires_while(double offset_ms, const std::string& what,
                   const std::function<void(HardCase& test)>& strike) {
    const std::string where = what + " after " + std::to_string(offset_ms) + " ms";
    HardCase test(static_cast<std::uint64_t>(offset_ms) + 1);
    test.found();
    write_turns(test);
    test.cluster.retire(test.machine(0));
    test.cluster.time.after(offset_ms, [&] { strike(test); });
    expect_none_denied(test, where);
    EXPECT_TRUE(test.machine(0).gone) << where;
    expect_all_whole(test, where);
}

void back_after(HardCase& test, std::size_t machine, double pause_ms) {
    test.cluster.time.after(pause_ms, [&test, machine] { test.cluster.start(test.machine(machine)); });
}

TEST(StorageRetirement, AnotherMemberIsWipedMeanwhile) {
    for (const double offset_ms : {0., 40., 90., 140., 200., 300., 450., 700., 1200., 2400.})
        retires_while(offset_ms, "another wiped", [](HardCase& test) {
            test.cluster.wipe(test.machine(1));
            back_after(test, 1, 600);
        });
}

// The one that leaves holds a copy that others have not synced until it may go; its disk goes with it. So
// does the disk of another, at each step up to then and right after.
bool none_is_lost(double offset_ms, std::size_t other, double slow_ms, bool leaves_unemptied) {
    HardCase test(static_cast<std::uint64_t>(offset_ms) + 7);
    test.cluster.planted_leaves_unemptied = leaves_unemptied;
    test.found();
    write_turns(test);
    for (std::size_t machine = 0; machine <= 3; ++machine) test.machine(machine).slow_ms = slow_ms;
    test.cluster.retire(test.machine(0));
    if (offset_ms < kUntilGone)
        test.run(offset_ms);
    else
        for (int step = 0; step < 4000 && !test.machine(0).gone; ++step) test.run(5);
    test.cluster.wipe(test.machine(other));
    back_after(test, other, 600);
    for (int step = 0; step < 4000 && !test.machine(0).gone; ++step) test.run(5);
    EXPECT_TRUE(test.machine(0).gone) << offset_ms;
    for (std::size_t machine = 0; machine <= 3; ++machine) test.machine(machine).slow_ms = 0;
    test.settles();
    ClusterEdge& reader = test.edge("d");
    std::vector<std::shared_ptr<std::optional<BegunTurn>>> reads;
    for (int i = 0; i < kTurns; ++i) reads.push_back(test.begins(reader, test.start("read", turn_id(i))));
    test.run(kTurnMs + 200);
    return std::all_of(reads.begin(), reads.end(),
                       [](const auto& read) { return *read && (*read)->status == BeginStatus::ok; });
}

TEST(StorageRetirement, AtEachStepTheDiskOfAnotherIsLost) {
    int played = 0;
    for (std::size_t other = 1; other <= 3; ++other)
        for (double offset_ms = 0; offset_ms < 1200; offset_ms += 40, ++played)
            EXPECT_TRUE(none_is_lost(offset_ms, other, 0, false))
                << "machine " << other << " after " << offset_ms;
    for (const double slow_ms : {0., kSlowMs})
        for (std::size_t other = 1; other <= 3; ++other, ++played)
            EXPECT_TRUE(none_is_lost(kUntilGone, other, slow_ms, false))
                << "machine " << other << " as the first is gone, messages late by " << slow_ms;
    std::printf("[ figures  ] %d disks lost beside a retirement\n", played);
}

TEST(StorageRetirement, AMemberThatGoesBeforeOthersHoldItsCopiesIsNoticed) {
    bool lost = false;
    for (std::size_t other = 1; other <= 3; ++other) lost |= !none_is_lost(kUntilGone, other, kSlowMs, true);
    EXPECT_TRUE(lost);
}

TEST(StorageRetirement, AnotherMemberLosesPowerMeanwhile) {
    for (const double offset_ms : {0., 60., 120., 250., 500., 1500.})
        retires_while(offset_ms, "another without power", [](HardCase& test) {
            test.cluster.lose_power(test.machine(2));
            back_after(test, 2, 3000);
        });
}

TEST(StorageRetirement, ItsOwnProcessRestartsMeanwhile) {
    for (const double offset_ms : {0., 20., 60., 110., 160., 230., 350., 600., 1000.})
        retires_while(offset_ms, "restarted", [](HardCase& test) {
            if (test.machine(0).gone) return;
            test.cluster.lose_power(test.machine(0));
            back_after(test, 0, 800);
        });
}

TEST(StorageRetirement, AnotherMemberIsCutOffMeanwhile) {
    for (const double offset_ms : {0., 100., 400.})
        retires_while(offset_ms, "another cut off", [](HardCase& test) {
            test.machine(3).cut = true;
            test.cluster.time.after(4000, [&test] { test.machine(3).cut = false; });
        });
}

// ---- Clocks

// Times of day that differ by seconds, and step by minutes either way, at members that restart as well: a
// turn is there for keepForS from its end, and goes some time after that.
TEST(StorageClocks, NothingGoesEarlyWhereClocksDifferAndStep) {
    for (int seed = 1; seed <= 12; ++seed) {
        HardCase test(static_cast<std::uint64_t>(seed));
        test.found();
        for (std::size_t i = 0; i < 4; ++i) test.machine(i).clock_off_ms = test.cluster.between(-7000, 7000);
        write_turns(test);
        const double written_ms = test.cluster.time.now();
        for (double at_ms = 3000; at_ms < kKeepForS * 1000 - 16000; at_ms += 9000) {
            const std::size_t struck = static_cast<std::size_t>(test.cluster.pick(0, 3));
            test.cluster.time.after(at_ms, [&test, struck] {
                Machine& machine = test.machine(struck);
                machine.clock_off_ms += test.cluster.pick(0, 1) ? 600'000 : -600'000;
                if (test.cluster.pick(0, 1)) return;
                test.cluster.lose_power(machine);
                back_after(test, struck, 500);
            });
        }
        // The first turn ended kTurns writes before the last.
        test.run(kKeepForS * 1000 - 1500 - (test.cluster.time.now() - written_ms));
        ClusterEdge& reader = test.edge("b");
        for (int i = 0; i < kTurns; ++i) {
            const auto read = test.begins(reader, test.start("read", turn_id(i)));
            test.run(100);
            ASSERT_TRUE(*read) << "seed " << seed << ", " << turn_id(i);
            EXPECT_EQ((*read)->status, BeginStatus::ok) << "seed " << seed << ", " << turn_id(i);
        }
        // A member that restarts keeps what it finds for the whole time once more.
        test.run(2.5 * kKeepForS * 1000);
        for (int i = 0; i < kTurns; ++i)
            EXPECT_EQ(test.cluster.zones_with(turn_id(i)).size(), 0u)
                << "seed " << seed << ", " << turn_id(i);
    }
}

}  // namespace
}  // namespace whinledge::storage_plane::test
