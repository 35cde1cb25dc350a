// Copies that a lost disk took with it are made good by members that can take them: one after the other two
// disks are lost, more than `syncS` apart, while other members are frozen, killed or full.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "hard_case.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr int kTurns = 40;
constexpr int kSeeds = 6;
constexpr double kSyncMs = 4100;        // the operators' bound: `guarantees.syncS` after a machine's return
constexpr double kDownMs = 1000;        // from the loss of a disk to the machine's start
constexpr double kRecoveryMs = 12'000;  // `guarantees.recoveryS`

class LostCopies {
public:
    LostCopies(std::uint64_t seed, const ClusterOptions& options)
        : what_("seed " + std::to_string(seed)), test_(seed, options) {
        test_.found();
    }

    void write(int turns, std::size_t bytes = 10) {
        for (int i = 0; i < turns; ++i) {
            const std::string name = "turn-" + std::to_string(turns_.size());
            const auto zone = std::string(1, static_cast<char>('a' + turns_.size() % 4));
            TurnEnd end = test_.whole_turn(name);
            end.program = end.record.program = "program of " + name;
            end.record.input = std::string(bytes, 'x');
            const auto durable = test_.ends(edge(zone), end);
            test_.run(bytes > 1000 ? 40 : 20);
            if (!durable->value_or(false)) test_.run(kTurnMs);
            if (durable->value_or(false)) turns_.push_back(name);
        }
    }
    // The machine is down for a moment and comes back empty; then `syncS` passes.
    void lose_disk(std::size_t index) {
        test_.cluster.wipe(test_.machine(index));
        test_.run(kDownMs);
        test_.cluster.start(test_.machine(index));
        test_.run(kSyncMs);
    }
    void freeze(std::size_t index) { test_.machine(index).frozen = true; }
    void thaw(std::size_t index) { test_.machine(index).frozen = false; }
    void kill(std::size_t index) { test_.cluster.kill(test_.machine(index)); }
    void start(std::size_t index) { test_.cluster.start(test_.machine(index)); }
    void run(double ms) { test_.run(ms); }

    void expect_all_served() {
        test_.run(kRecoveryMs);
        for (const std::string& turn : turns_) {
            const auto outcome = test_.begins(edge("d"), test_.start("read " + turn, turn));
            for (double ms = 0; ms < kTurnMs && !*outcome; ms += 20) test_.run(20);
            const auto status = *outcome ? (*outcome)->status : BeginStatus::unavailable;
            EXPECT_EQ(status, BeginStatus::ok) << what_ << ", " << turn;
        }
    }
    std::size_t written() const { return turns_.size(); }
    HardCase& test() { return test_; }

private:
    ClusterEdge& edge(const std::string& zone) {
        const auto [edge, added] = edges_.try_emplace(zone, nullptr);
        if (added) edge->second = &test_.edge(zone);
        return *edge->second;
    }

    std::string what_;
    HardCase test_;
    std::map<std::string, ClusterEdge*> edges_;
    std::vector<std::string> turns_;
};

void for_each_seed(const ClusterOptions& options, const std::function<void(LostCopies&)>& day) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LostCopies copies(seed, options);
        day(copies);
        copies.expect_all_served();
    }
}

// A soak's seed 15 (LOST): who was to take the copies in place of the lost ones was frozen, and nobody else
// took them before the next disk was lost.
TEST(LostCopies, AreNotOwedByFrozenMembers) {
    for_each_seed({}, [](LostCopies& copies) {
        copies.write(kTurns);
        copies.run(4500);
        copies.freeze(2);
        copies.freeze(3);
        copies.lose_disk(0);
        copies.lose_disk(1);
        copies.thaw(2);
        copies.thaw(3);
    });
}

TEST(LostCopies, AreNotOwedByKilledMembers) {
    for_each_seed({.machines = 5}, [](LostCopies& copies) {
        copies.write(kTurns);
        copies.run(4500);
        copies.kill(2);
        copies.kill(3);
        copies.lose_disk(0);
        copies.lose_disk(1);
        copies.start(2);
        copies.start(3);
    });
}

TEST(LostCopies, AreNotOwedByMembersThatFreezeOnlyThen) {
    for_each_seed({}, [](LostCopies& copies) {
        copies.write(kTurns);
        copies.run(4500);
        copies.test().cluster.wipe(copies.test().machine(0));
        copies.run(500);
        copies.freeze(3);
        copies.run(500);
        copies.start(0);
        copies.run(500);
        copies.freeze(2);
        copies.run(kSyncMs - 500);
        copies.lose_disk(1);
        copies.thaw(2);
        copies.thaw(3);
    });
}

// A holder that a record names, and that was frozen before it got its copy, is none.
TEST(LostCopies, AreNotHeldByMembersThatWereFrozenAsTheyWereWritten) {
    for_each_seed({}, [](LostCopies& copies) {
        copies.write(kTurns / 2);
        copies.freeze(2);
        copies.write(kTurns);
        copies.lose_disk(0);
        copies.lose_disk(1);
        copies.lose_disk(3);
        copies.thaw(2);
    });
}

// The same over a start of the only true holder: it has forgotten who has told of what (LOST, a random day).
TEST(LostCopies, AreNotHeldByMembersThatWereDownAsTheyWereWritten) {
    for_each_seed({}, [](LostCopies& copies) {
        copies.write(kTurns / 2);
        copies.kill(0);
        copies.write(kTurns);
        copies.kill(1);
        copies.test().cluster.wipe(copies.test().machine(3));
        copies.run(kDownMs);
        copies.start(1);
        copies.start(3);
        copies.run(kSyncMs);
        copies.lose_disk(1);
        copies.start(0);
    });
}

// review/5 (LOST): full members were to take the copies, and others had room.
TEST(LostCopies, AreNotOwedByFullMembers) {
    ClusterOptions options;
    options.segment_bytes = 16U << 10;
    options.disk_bytes = 1U << 20;
    for_each_seed(options, [&](LostCopies& copies) {
        copies.write(190, 8000);
        EXPECT_GT(copies.written(), 180u) << "a turn's two copies lie on four disks of 1 MB";
        copies.run(4500);
        copies.lose_disk(0);
        copies.lose_disk(1);
    });
}

}  // namespace
}  // namespace whinledge::storage_plane::test
