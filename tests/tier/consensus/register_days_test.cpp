// Simulated days: the register under kills, losses of power in the middle of writes, wiped disks, full, slow
// and stalled disks, freezes, cuts, and lost, doubled and late messages. And the same with faults planted,
// which the checker has to notice.
#include <gtest/gtest.h>

#include <cstdlib>

#include "simulation.hpp"

namespace whinledge::consensus::test {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSeeds = 100;  // some twenty times slower
#else
constexpr std::uint64_t kSeeds = 1000;
#endif

// More by hand: REGISTER_SEEDS=100000.
std::uint64_t seeds() {
    const char* more = std::getenv("REGISTER_SEEDS");
    return more != nullptr ? std::strtoull(more, nullptr, 10) : kSeeds;
}

std::string first_complaint(const Day& day) { return day.complaints.empty() ? "" : day.complaints.front(); }

TEST(RegisterDays, ChosenValuesFormOneLineAndNothingAcknowledgedIsLost) {
    Simulation::Outcomes sum;
    std::int64_t epochs = 0;
    std::size_t wipes = 0, bad = 0;
    const std::uint64_t count = seeds();
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const Day day = play_day(seed);
        if (!day.complaints.empty() && ++bad <= 5)
            ADD_FAILURE() << "seed " << seed << ": " << first_complaint(day);
        sum.acknowledged += day.outcomes.acknowledged;
        sum.read += day.outcomes.read;
        sum.open += day.outcomes.open;
        sum.refused += day.outcomes.refused;
        epochs += day.epochs - 1;
        wipes += day.wipes;
    }
    std::printf(
        "%llu days, %zu bad: %d changes acknowledged, %d reads, %d left open, %d refused, %lld seals, %zu "
        "wipes\n",
        static_cast<unsigned long long>(count), bad, sum.acknowledged, sum.read, sum.open, sum.refused,
        static_cast<long long>(epochs), wipes);
    // The days do play what they are meant to.
    EXPECT_GT(sum.acknowledged, 10 * static_cast<int>(count));
    EXPECT_GT(sum.refused, static_cast<int>(count) / 10);
    EXPECT_GT(epochs, static_cast<std::int64_t>(count));
    EXPECT_GT(wipes, static_cast<std::size_t>(count) / 4);
}

// True as soon as a day shows the fault; a complaint of the end that only says that it can't be reached is
// none.
bool noticed(PlantedFaults faults) {
    for (std::uint64_t seed = 1; seed <= 1000; ++seed)
        for (const std::string& complaint : play_day(seed, faults).complaints)
            if (complaint.find("once all is well") == std::string::npos) {
                std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), complaint.c_str());
                return true;
            }
    return false;
}

TEST(RegisterDays, PromisesThatAreNotSyncedAreNoticed) {
    PlantedFaults faults;
    faults.promises_not_synced = true;
    EXPECT_TRUE(noticed(faults));
}

TEST(RegisterDays, AcceptedValuesThatAreNotSyncedAreNoticed) {
    PlantedFaults faults;
    faults.accepted_not_synced = true;
    EXPECT_TRUE(noticed(faults));
}

TEST(RegisterDays, RepliesAheadOfTheSyncAreNoticed) {
    PlantedFaults faults;
    faults.replies_before_sync = true;
    EXPECT_TRUE(noticed(faults));
}

TEST(RegisterDays, SealsThatAreIgnoredAreNoticed) {
    PlantedFaults faults;
    faults.seals_ignored = true;
    EXPECT_TRUE(noticed(faults));
}

TEST(RegisterDays, AnIdentityThatSurvivesAWipeIsNoticed) {
    PlantedFaults faults;
    faults.identity_survives_wipe = true;
    EXPECT_TRUE(noticed(faults));
}

}  // namespace
}  // namespace whinledge::consensus::test
