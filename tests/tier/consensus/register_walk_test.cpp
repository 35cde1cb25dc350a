// Every order of messages, losses, restarts and wipes among three to five processes, up to bounds, on the
// register's cores; and the same with faults planted, which the checker has to notice.
#include "register_walk.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <utility>
#include <vector>

namespace whinledge::consensus::test {
namespace {

using Kind = WalkOptions::Operation::Kind;

#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kMostWorlds = 10'000;  // some twenty times slower
#else
constexpr std::size_t kMostWorlds = 150'000;
#endif

constexpr std::size_t kWholeWorlds = 150'000;  // more than the largest of the walks that are to be whole

// More by hand: REGISTER_WORLDS=10000000.
std::size_t most_worlds() {
    const char* more = std::getenv("REGISTER_WORLDS");
    return more != nullptr ? std::strtoull(more, nullptr, 10) : kMostWorlds;
}

// Every path, up to the bounds.
void finds_nothing(const WalkOptions& options) {
    const WalkResult result = walk(options, most_worlds());
    std::printf("[ figures  ] %zu worlds, the longest path %zu steps, %s\n", result.worlds, result.longest,
                result.whole ? "all" : "not all");
    EXPECT_EQ(result.complaint, "");
    EXPECT_TRUE(result.whole || most_worlds() < kWholeWorlds);
}

// As many worlds as the limit allows; all of them by hand.
void finds_nothing_so_far(const WalkOptions& options) {
    const WalkResult result = walk(options, most_worlds() / 2);
    std::printf("[ figures  ] %zu worlds, the longest path %zu steps, %s\n", result.worlds, result.longest,
                result.whole ? "all" : "not all");
    EXPECT_EQ(result.complaint, "");
}

void finds_a_fault(const WalkOptions& options) {
    const WalkResult result = walk(options, 2'000'000);
    std::printf("[ figures  ] %zu worlds: %s\n", result.worlds, result.complaint.c_str());
    EXPECT_NE(result.complaint, "");
}

// What clients do on three processes.
WalkOptions walk_of(std::vector<WalkOptions::Operation> operations, const WalkOptions::Bounds& bounds = {}) {
    WalkOptions options;
    options.operations = std::move(operations);
    options.bounds = bounds;
    return options;
}

std::vector<WalkOptions::Operation> two_changes() { return {{Kind::change, 0}, {Kind::change, 1}}; }

// The acceptors change beside a change of the value.
WalkOptions walk_of_seal(std::size_t processes, std::vector<std::size_t> next, int wipes = 0) {
    WalkOptions options =
        walk_of({{Kind::seal, 0, std::move(next)}, {Kind::change, 1}}, {.wipes = wipes, .wake_ups = 1});
    options.processes = processes;
    return options;
}

WalkOptions with_faults(WalkOptions options, const PlantedFaults& faults) {
    options.faults = faults;
    return options;
}

TEST(RegisterWalk, TwoProposers) { finds_nothing(walk_of(two_changes())); }

TEST(RegisterWalk, TwoProposersAndLosses) {
    finds_nothing(walk_of(two_changes(), {.lost = 1, .wake_ups = 1}));
}

TEST(RegisterWalk, TwoProposersAndARestart) {
    finds_nothing(walk_of(two_changes(), {.restarts = 1, .wake_ups = 1}));
}

TEST(RegisterWalk, TwoProposersWhoTellOfWhatIsChosen) {
    WalkOptions options = walk_of(two_changes(), {.wake_ups = 1});
    options.announces = true;
    finds_nothing(options);
}

TEST(RegisterWalk, OneWhoDeclines) {
    finds_nothing(walk_of({{Kind::change, 0}, {Kind::declining_change, 1}}, {.lost = 1, .wake_ups = 1}));
}

TEST(RegisterWalk, AReaderBesideAChange) {
    finds_nothing(walk_of({{Kind::change, 0}, {Kind::read, 1}}, {.lost = 1}));
}

// A proposer that is killed between its rounds: readers finish what it began, or it never was.
TEST(RegisterWalk, ReadersFinishAChangeWhoseProposerDied) {
    finds_nothing(walk_of({{Kind::change, 0}, {Kind::read, 1}}, {.lost = 1, .restarts = 1}));
}

// Requests that come while a write is under way wait for it and are written together.
TEST(RegisterWalk, TwoProposersWhileDisksTakeTheirTime) {
    WalkOptions options = walk_of(two_changes(), {.wake_ups = 1});
    options.slow_disks = true;
    finds_nothing_so_far(options);
}

TEST(RegisterWalk, ARestartInTheMiddleOfAWrite) {
    WalkOptions options = walk_of(two_changes(), {.restarts = 1, .wake_ups = 1});
    options.slow_disks = true;
    finds_nothing_so_far(options);
}

TEST(RegisterWalk, ASealWhileDisksTakeTheirTime) {
    WalkOptions options = walk_of_seal(4, {0, 1, 3});
    options.slow_disks = true;
    finds_nothing_so_far(options);
}

TEST(RegisterWalk, ASealBesideAChange) { finds_nothing_so_far(walk_of_seal(4, {0, 1, 3})); }

TEST(RegisterWalk, AWipedAcceptorIsReplacedBesideAChange) {
    finds_nothing(walk_of(two_changes(), {.wipes = 1, .wake_ups = 1}));
    finds_nothing_so_far(walk_of_seal(4, {0, 1, 3}, 1));
}

TEST(RegisterWalk, TwoAcceptorsAreReplacedAtOnceBySealing) {
    finds_nothing_so_far(walk_of_seal(5, {0, 3, 4}));
}

TEST(RegisterWalk, PromisesThatAreNotSyncedAreNoticed) {
    finds_a_fault(
        with_faults(walk_of(two_changes(), {.restarts = 1, .wake_ups = 1}), {.promises_not_synced = true}));
}

TEST(RegisterWalk, AcceptedValuesThatAreNotSyncedAreNoticed) {
    finds_a_fault(
        with_faults(walk_of(two_changes(), {.restarts = 1, .wake_ups = 1}), {.accepted_not_synced = true}));
}

TEST(RegisterWalk, RepliesAheadOfTheSyncAreNoticed) {
    WalkOptions options = walk_of(two_changes(), {.restarts = 1, .wake_ups = 1});
    options.slow_disks = true;
    finds_a_fault(with_faults(options, {.replies_before_sync = true}));
}

// An address that is taken for the identity of its disk: the wiped acceptor votes again, and has forgotten.
TEST(RegisterWalk, AnAddressTakenForAnIdentityIsNoticed) {
    finds_a_fault(
        with_faults(walk_of(two_changes(), {.wipes = 1, .wake_ups = 1}), {.identity_survives_wipe = true}));
}

TEST(RegisterWalk, TwoAcceptorsReplacedAtOnceWithoutSealingAreNoticed) {
    WalkOptions options = walk_of(
        {{Kind::switch_without_seal, 0, {0, 3, 4}}, {Kind::change, 0}, {Kind::change, 1}}, {.wake_ups = 1});
    options.processes = 5;
    finds_a_fault(options);
}

}  // namespace
}  // namespace whinledge::consensus::test
