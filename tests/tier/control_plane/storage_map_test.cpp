// The storage map over time. A timeline says what storage processes do; the picture is the map after each
// change: one entry a member, `+` joining, `=` member, `~` retiring.
#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "control_plane/retirement.hpp"
#include "control_plane/storage_map_reconciler.hpp"

namespace whinledge::control_plane {
namespace {

using Millis = long;

// Storage processes that watch each 500 ms, and a holder of the lease that reconciles each 150 ms.
class Timeline {
public:
    explicit Timeline(std::size_t copies = 2, std::int32_t ledger_group = 0)
        : Timeline(failure_domain::LossTolerance{.machines = static_cast<int>(copies) - 1}, ledger_group) {}
    explicit Timeline(const failure_domain::LossTolerance& survive, std::int32_t ledger_group = 0) {
        options_.survive = survive;
        options_.ledger_group = ledger_group;
        reconciler.emplace(options_);
        state.sequence = 1;
    }
    // Another process holds the lease, and has just started.
    void restart_control() {
        membership = Membership();
        reconciler.emplace(options_);
    }
    // Who has been dropped and may come back: "node:identity ...".
    std::string away() const {
        std::string text;
        for (const wire::AwayStorage& one : state.storage.away)
            text += (text.empty() ? "" : " ") + one.node + ":" + std::to_string(one.identity);
        return text;
    }

    void up(const std::string& node, std::int64_t identity, const std::string& address = "") {
        Process& process = processes[node];
        process.info.node = node;
        process.info.zone = zones.count(node) ? zones[node] : "z-" + node;
        process.info.address = address.empty() ? "at-" + node : address;
        process.info.identity = identity;
        process.info.role = wire::NodeRole::storage;
        process.up = true;
        process.note.clear();
    }
    void down(const std::string& node) { processes[node].up = false; }
    void note(const std::string& node, const std::string& text) { processes[node].note = text; }
    // That it is about to pull.
    void lacks(const std::string& node, std::int64_t turns) { processes[node].lacking = turns; }
    // Told a moment before a change reached it.
    void stale_note(const std::string& node, const std::string& text, std::int64_t sequence) {
        processes[node].note = text;
        processes[node].stuck_at = sequence;
    }

    void run(Millis span) {
        for (const Millis end = now + span; now < end; now += 50) {
            if (now % 500 == 0)
                for (auto& [name, process] : processes)
                    if (process.up) watch(process);
            if (now % 150 == 0 && !blind) reconcile();
        }
    }

    void reconcile() {
        reconciler->observe(state, membership.storages(), at());
        auto next = reconciler->wanted(state, membership.storages(), at());
        if (!next) return;
        next->sequence = state.sequence + 1;
        take(std::move(*next));
    }
    void take(wire::RegisterState next) {
        EXPECT_GT(next.storage.epoch, state.storage.epoch);
        state = std::move(next);
        picture << now << ":";
        for (const wire::StorageMember& member : state.storage.members)
            picture << " " << member.node << mark(member);
        picture << "\n";
    }

    Instant at() const { return Instant(std::chrono::hours(1)) + Span(now); }

    std::map<std::string, std::string> zones;  // of nodes that share one
    Membership membership;
    std::optional<StorageMapReconciler> reconciler;
    wire::RegisterState state;
    std::ostringstream picture;
    Millis now = 0;
    bool blind = false;

private:
    struct Process {
        wire::NodeInfo info;
        std::string note;
        bool up = false;
        std::int64_t stuck_at = 0;
        std::int64_t lacking = 0;
    };
    void watch(const Process& process) {
        wire::WatchRequest request;
        request.who = process.info;
        request.storage_note = process.note;
        wire::StorageProgress progress;
        progress.voting = true;
        progress.lacking_turns = process.lacking;
        request.__set_storage_progress(progress);
        request.sequence = process.stuck_at ? process.stuck_at : state.sequence;
        membership.hear(request, at());
    }
    static std::string mark(const wire::StorageMember& member) {
        const char* const kind = member.state == wire::StorageState::joining  ? "+"
                                 : member.state == wire::StorageState::member ? "="
                                                                              : "~";
        return std::string(kind).append(std::to_string(member.identity));
    }
    std::map<std::string, Process> processes;
    StorageMapReconciler::Options options_;
};

class StorageMap : public ::testing::Test {
protected:
    void found(Timeline& day, int count) {
        for (int i = 1; i <= count; ++i) day.up(std::string(1, static_cast<char>('a' + i - 1)), i);
        day.run(1500);
        day.picture.str("");
    }
    Timeline day;
};

TEST_F(StorageMap, IsFoundedByAllWhoAreThere) {
    day.up("a", 1);
    day.up("b", 2);
    day.up("c", 3);
    day.run(1500);
    EXPECT_EQ(day.picture.str(), "450: a=1 b=2 c=3\n");
}

TEST_F(StorageMap, IsNotFoundedByTooFew) {
    day.up("a", 1);
    day.run(5000);
    EXPECT_EQ(day.picture.str(), "");
    day.up("b", 2);
    day.run(3000);
    EXPECT_EQ(day.picture.str(), "5100: a=1 b=2\n") << "long since the first was heard";
}

TEST_F(StorageMap, LateOneJoinsAndCountsOnceFilled) {
    found(day, 3);
    day.up("d", 4);
    day.run(2000);
    day.note("d", kSyncedNote);
    day.run(1000);
    EXPECT_EQ(day.picture.str(),
              "1500: a=1 b=2 c=3 d+4\n"
              "3600: a=1 b=2 c=3 d=4\n");
}

// Turns that only it holds were denied as soon as the map had dropped it (review/8).
TEST_F(StorageMap, OneThatIsDroppedIsRememberedUntilItVotesAgain) {
    day.state.__set_longest_keep_for_s(60);
    found(day, 5);
    day.down("b");
    day.run(12'000);
    ASSERT_EQ(day.state.storage.members.size(), 4u);
    EXPECT_EQ(day.away(), "b:2");
    day.restart_control();
    day.run(5000);
    EXPECT_EQ(day.away(), "b:2") << "all control processes have started again";
    day.up("b", 2);
    day.run(2000);
    EXPECT_EQ(day.away(), "b:2") << "it joins, and does not vote yet";
    day.note("b", kSyncedNote);
    day.run(1000);
    EXPECT_EQ(day.state.storage.members.size(), 5u);
    EXPECT_EQ(day.away(), "");
    EXPECT_FALSE(day.state.storage.__isset.away);
}

TEST_F(StorageMap, OneThatIsDroppedIsForgottenWithItsDiskOrWhatItHeld) {
    day.state.__set_longest_keep_for_s(60);
    found(day, 5);
    day.down("b");
    day.run(12'000);
    ASSERT_EQ(day.away(), "b:2");
    day.up("b", 22);
    day.run(1000);
    EXPECT_EQ(day.away(), "") << "another disk is in its place";
    day.note("b", kSyncedNote);
    day.run(2000);
    day.down("c");
    day.run(12'000);
    ASSERT_EQ(day.away(), "c:3");
    day.run(50'000);
    EXPECT_EQ(day.away(), "c:3");
    day.run(20'000);
    EXPECT_EQ(day.away(), "") << "all that it held has expired";
}

TEST_F(StorageMap, TellsWhatHasToBeBorneWhereThatIsMoreThanMachines) {
    found(day, 3);
    EXPECT_FALSE(day.state.storage.__isset.survive) << "machines alone";
    Timeline zones(failure_domain::LossTolerance{.machines = 0, .zones = 1, .regions = 0});
    found(zones, 3);
    ASSERT_TRUE(zones.state.storage.__isset.survive);
    EXPECT_EQ(zones.state.storage.survive.zones, 1);
}

TEST_F(StorageMap, WipedDiskIsReplacedAtOnce) {
    found(day, 3);
    day.down("b");
    day.run(500);
    day.up("b", 22);
    day.run(1000);
    day.note("b", kSyncedNote);
    day.run(1000);
    EXPECT_EQ(day.picture.str(),
              "2100: a=1 c=3 b+22\n"
              "3000: a=1 c=3 b=22\n");
    EXPECT_EQ(day.state.removed_storage, std::vector<std::int64_t>{2});
}

TEST_F(StorageMap, AnotherMachineAtTheAddressReplacesToo) {
    found(day, 3);
    day.down("b");
    day.up("x", 9, "at-b");
    day.run(600);
    EXPECT_EQ(day.picture.str(), "1500: a=1 c=3 x+9\n");
}

TEST_F(StorageMap, WordSaidBeforeItKnewDoesNotCount) {
    found(day, 3);
    day.up("d", 4);
    const std::int64_t before = day.state.sequence;
    day.stale_note("d", kSyncedNote, before);
    day.run(3000);
    EXPECT_EQ(day.picture.str(), "1500: a=1 b=2 c=3 d+4\n");
    day.stale_note("d", kSyncedNote, 0);
    day.run(700);
    EXPECT_EQ(day.state.storage.members.back().state, wire::StorageState::member);
}

TEST_F(StorageMap, ShortAbsenceChangesNothing) {
    found(day, 4);
    day.down("d");
    day.run(7000);
    day.up("d", 4);
    day.run(5000);
    EXPECT_EQ(day.picture.str(), "");
}

TEST_F(StorageMap, OneThatIsGoneIsDroppedWhereEnoughRemain) {
    found(day, 4);
    day.down("d");
    day.run(12000);
    EXPECT_EQ(day.picture.str(), "9150: a=1 b=2 c=3\n");
    EXPECT_EQ(day.state.removed_storage, std::vector<std::int64_t>{4});
}

// Of three one is gone for good; `guarantees.syncS` after its successor's start the next may go.
TEST_F(StorageMap, OneThatIsReplacedGoesBeforeItsSuccessorsTimeIsOver) {
    constexpr Millis kSync = 4100;
    for (const Millis pause : {0L, 500L, 1000L, 3000L}) {
        Timeline of_three;
        found(of_three, 3);
        of_three.down("a");
        of_three.run(pause);
        of_three.up("d", 4);
        of_three.run(900);
        of_three.note("d", "synced");
        of_three.run(kSync - 900);
        EXPECT_TRUE(of_three.picture.str().ends_with(" b=2 c=3 d=4\n")) << pause << of_three.picture.str();
    }
}

// RECOVER: a lost member's successor was never filled, as it waited for what the lost one would have told it,
// and of three voters none was dropped: the next loss ended all turns.
TEST_F(StorageMap, SuccessorTakesTheLostVotersPlace) {
    found(day, 3);
    day.down("c");
    day.run(1000);
    day.up("d", 4);
    day.run(3000);
    EXPECT_EQ(day.picture.str(),
              "2550: a=1 b=2 c=3 d+4\n"
              "3750: a=1 b=2 d=4\n")
        << "never fewer than three voters";
}

TEST_F(StorageMap, LostVoterIsDroppedForItsSuccessorWhereEnoughAreThere) {
    found(day, 4);
    day.down("d");
    day.run(1000);
    day.up("e", 5);
    day.run(3000);
    EXPECT_EQ(day.picture.str(),
              "2550: a=1 b=2 c=3 d=4 e+5\n"
              "3750: a=1 b=2 c=3 e+5\n");
}

TEST_F(StorageMap, OfTwoTheLostOneIsReplaced) {
    found(day, 2);
    day.down("b");
    day.run(1000);
    day.up("c", 3);
    day.run(3000);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 c=3\n")) << day.picture.str();
}

TEST_F(StorageMap, OneSuccessorTakesOnePlace) {
    found(day, 5);
    day.down("d");
    day.down("e");
    day.run(1000);
    day.up("f", 6);
    day.run(6000);
    EXPECT_EQ(day.picture.str(), "2550: a=1 b=2 c=3 d=4 e=5 f+6\n")
        << "two are silent, one loss is to be borne";
}

TEST_F(StorageMap, SilentOneThatJoinsGoes) {
    found(day, 3);
    day.up("d", 4);
    day.run(1000);
    day.down("d");
    day.run(4000);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 b=2 c=3\n")) << day.picture.str();
}

// Four of five bear one loss, as four of four do.
TEST_F(StorageMap, OneThatIsReplacedStaysAsLongAsAnyWhereItsLeavingHelpsNothing) {
    found(day, 4);
    day.down("a");
    day.up("e", 5);
    day.run(900);
    day.note("e", "synced");
    day.run(6000);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 b=2 c=3 d=4 e=5\n")) << day.picture.str();
}

TEST_F(StorageMap, OneThatIsAwayForAMomentIsNotTakenForReplaced) {
    found(day, 3);
    day.up("d", 4);
    day.run(600);
    day.note("d", "synced");
    day.run(600);
    day.down("a");
    day.run(6000);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 b=2 c=3 d=4\n")) << day.picture.str();
}

TEST_F(StorageMap, OfThreeNoneIsDropped) {
    found(day, 3);
    day.down("c");
    day.run(30000);
    EXPECT_EQ(day.picture.str(), "") << "two of two bear no more than two of three";
}

TEST_F(StorageMap, TwoThatAreGoneAreDroppedOneAfterTheOther) {
    found(day, 5);
    day.down("d");
    day.down("e");
    day.run(20000);
    EXPECT_EQ(day.picture.str(),
              "9150: a=1 b=2 c=3 d=4\n"
              "13800: a=1 b=2 c=3\n");
}

// Callers with the map before would find a majority among those that have not heard of the next.
TEST_F(StorageMap, NobodyLeavesBeforeAMajorityKnowsTheMap) {
    found(day, 5);
    for (const char* node : {"a", "b", "c"}) day.stale_note(node, "", day.state.sequence);
    day.down("d");
    day.down("e");
    day.run(20000);
    EXPECT_EQ(day.picture.str(), "9150: a=1 b=2 c=3 d=4\n");
    for (const char* node : {"a", "b", "c"}) day.stale_note(node, "", 0);
    day.run(1000);
    EXPECT_EQ(day.picture.str(),
              "9150: a=1 b=2 c=3 d=4\n"
              "21600: a=1 b=2 c=3\n");
}

TEST_F(StorageMap, DroppedOneThatReturnsJoinsAnew) {
    found(day, 4);
    day.down("d");
    day.run(8500);
    day.picture.str("");
    day.up("d", 4);
    day.run(600);
    EXPECT_EQ(day.picture.str(), "10050: a=1 b=2 c=3 d+4\n");
    EXPECT_TRUE(day.state.removed_storage.empty());
}

TEST_F(StorageMap, HolderThatWasFrozenDropsNobody) {
    found(day, 4);
    day.blind = true;
    for (const char* node : {"a", "b", "c", "d"}) day.down(node);
    day.run(20000);
    for (const auto& [node, identity] : std::map<std::string, int>{{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}})
        day.up(node, identity);
    day.blind = false;
    day.reconcile();
    day.run(5000);
    EXPECT_EQ(day.picture.str(), "");
}

TEST_F(StorageMap, EmptiedOneStaysUntilTheSuccessorOfAnotherIsFilled) {
    found(day, 4);
    auto next = retiring(day.state, "d");
    next.sequence = day.state.sequence + 1;
    day.take(next);
    day.down("c");
    day.run(3000);
    day.up("e", 5);
    day.note("d", kEmptiedNote);
    day.run(3000);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 b=2 d~4 e+5\n")) << day.picture.str();
    day.note("e", kSyncedNote);
    day.run(1000);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 b=2 e=5\n")) << day.picture.str();
}

// An earlier change is made good, though at no moment all of them lack nothing.
TEST_F(StorageMap, EmptiedOneLeavesUnderTraffic) {
    found(day, 4);
    day.lacks("a", 1);
    day.up("e", 5);
    day.note("e", kSyncedNote);
    day.run(1000);
    auto next = retiring(day.state, "d");
    next.sequence = day.state.sequence + 1;
    day.take(next);
    day.run(1000);
    day.note("d", kEmptiedNote);
    day.run(2000);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 b=2 c=3 d~4 e=5\n")) << day.picture.str();
    day.lacks("b", 1);
    day.lacks("a", 0);
    day.run(1500);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 b=2 c=3 e=5\n")) << day.picture.str();
}

// The operator waits for `finished`, whatever happens to the machine meanwhile.
TEST_F(StorageMap, RetiringOneThatLosesItsDiskGoesOnRetiring) {
    found(day, 4);
    auto next = retiring(day.state, "d");
    next.sequence = day.state.sequence + 1;
    day.take(next);
    day.run(500);
    day.up("d", 44);
    day.run(1000);
    day.note("d", kSyncedNote);
    day.run(1500);
    EXPECT_TRUE(day.picture.str().ends_with(" a=1 b=2 c=3 d~44\n")) << day.picture.str();
    day.note("d", kEmptiedNote);
    day.run(1500);
    EXPECT_EQ(retirement_progress(day.state, "d"), RetirementProgress::finished);
}

TEST_F(StorageMap, RetiringOneLeavesOnceEmptied) {
    found(day, 4);
    auto next = retiring(day.state, "d");
    next.sequence = day.state.sequence + 1;
    day.take(next);
    day.run(2000);
    day.note("d", kEmptiedNote);
    day.run(3000);
    EXPECT_EQ(day.picture.str(),
              "1500: a=1 b=2 c=3 d~4\n"
              "3600: a=1 b=2 c=3\n")
        << "and the process that is still there does not join again";
    EXPECT_EQ(day.state.retired, std::vector<std::string>{"d"});
    EXPECT_EQ(retirement_progress(day.state, "d"), RetirementProgress::finished);
    day.up("d", 44);
    day.run(600);
    EXPECT_EQ(retirement_progress(day.state, "d"), RetirementProgress::serving) << "a new disk of that name";
}

// ---- Ledgers on groups

class GroupedStorageMap : public ::testing::Test {
protected:
    void found(int count) {
        for (int i = 1; i <= count; ++i) day.up(node(i), i);
        day.run(1500);
        day.picture.str("");
    }
    static std::string node(int identity) { return std::string(1, static_cast<char>('a' + identity - 1)); }
    Timeline day{2, 5};
};

TEST_F(GroupedStorageMap, SaysFromTheBeginningHowLargeGroupsAre) {
    found(9);
    EXPECT_EQ(day.state.storage.ledger_group, 5);
    EXPECT_EQ(day.state.storage.epoch, 1);
}

TEST_F(GroupedStorageMap, TheirSizeChangesInAnEpochOfItsOwn) {
    found(9);
    StorageMapReconciler::Options options;
    options.ledger_group = 7;
    day.reconciler.emplace(options);
    day.up("x", 20);
    day.run(3000);
    EXPECT_EQ(day.state.storage.ledger_group, 7);
    EXPECT_EQ(day.state.storage.epoch, 3) << "one joined, then the size changed";
}

TEST_F(GroupedStorageMap, OneSilentMemberIsDropped) {
    found(9);
    day.down("i");
    day.run(12000);
    EXPECT_EQ(day.picture.str(), "9150: a=1 b=2 c=3 d=4 e=5 f=6 g=7 h=8\n");
}

// The first has known the map of those that are there, and two more do not know the next: with one of them
// dropped as well, all three might still answer by the first map, as a majority of a group of five.
TEST_F(GroupedStorageMap, OfThreeSilentMembersOneIsDroppedUntilAnotherIsBack) {
    found(9);
    for (const char* const node : {"g", "h", "i"}) day.down(node);
    day.run(30000);
    EXPECT_EQ(day.picture.str(), "9150: a=1 b=2 c=3 d=4 e=5 f=6 g=7 h=8\n");
    day.up("h", 8);
    day.run(3000);
    EXPECT_EQ(day.picture.str(),
              "9150: a=1 b=2 c=3 d=4 e=5 f=6 g=7 h=8\n"
              "31500: a=1 b=2 c=3 d=4 e=5 f=6 h=8\n");
}

// No group has more than one member of a zone where five zones are there.
TEST_F(GroupedStorageMap, SilentMembersOfOneZoneAreDroppedOneAfterTheOther) {
    for (const char* const node : {"g", "h", "i"}) day.zones[node] = "common";
    found(9);
    for (const char* const node : {"h", "i"}) day.down(node);
    day.run(20000);
    EXPECT_EQ(day.picture.str(),
              "9150: a=1 b=2 c=3 d=4 e=5 f=6 g=7 h=8\n"
              "13800: a=1 b=2 c=3 d=4 e=5 f=6 g=7\n");
}

TEST_F(GroupedStorageMap, WipedDisksAreReplacedHoweverManyAreSilent) {
    found(9);
    day.down("h");
    day.down("i");
    day.run(1000);
    day.up("i", 99);
    day.run(1000);
    EXPECT_EQ(day.picture.str(), "2550: a=1 b=2 c=3 d=4 e=5 f=6 g=7 h=8 i+99\n");
}

}  // namespace
}  // namespace whinledge::control_plane
