// A disk as its writes tell of it. A line of the timeline for each change: when, and what it counts as then.
#include "consensus/disk_health.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace whinledge::consensus {
namespace {

constexpr Millis kTick = 250;  // between looks of the register's core

class Disk {
public:
    // Tries the disk whenever that is due, until `end`; `full` tells whether it is.
    void play(Millis end, const std::function<bool(Millis)>& full) {
        for (; now_ < end; now_ += kTick)
            if (health_.probe_due(now_)) write(full(now_));
    }
    void write(bool full) {
        if (full)
            health_.refused(now_);
        else
            health_.written(now_);
        if (health_.refuses() == refused_) return;
        refused_ = health_.refuses();
        timeline_ += std::to_string(now_) + (refused_ ? " refuses\n" : " takes writes\n");
    }
    const std::string& timeline() const { return timeline_; }
    const DiskHealth& health() const { return health_; }

private:
    DiskHealth health_;
    Millis now_ = 0;
    bool refused_ = false;
    std::string timeline_ = "\n";
};

// Full and free in turn, `half` each, beginning with full.
std::function<bool(Millis)> full_in_turn(Millis half) {
    return [half](Millis now) { return now / half % 2 == 0; };
}

class DiskHealthTest : public testing::Test {
protected:
    void prove() { disk_.write(false); }
    Disk disk_;
};

TEST_F(DiskHealthTest, NothingIsTriedWhileNothingIsInDoubt) {
    EXPECT_FALSE(disk_.health().probe_due(100'000));
    prove();
    EXPECT_FALSE(disk_.health().probe_due(100'000));
}

TEST_F(DiskHealthTest, AShortRefusalChangesNothing) {
    prove();
    disk_.write(true);
    disk_.play(60'000, [](Millis now) { return now < 1500; });
    EXPECT_EQ(disk_.timeline(), "\n");
    EXPECT_FALSE(disk_.health().probe_due(100'000)) << "it is in doubt no more";
}

TEST_F(DiskHealthTest, OneThatRefusesEveryWriteIsTakenBackAfterItsProbation) {
    prove();
    disk_.write(true);
    disk_.play(60'000, [](Millis now) { return now < 20'000; });
    EXPECT_EQ(disk_.timeline(), "\n2000 refuses\n22000 takes writes\n");
}

TEST_F(DiskHealthTest, ARefusalBeginsTheProbationAnew) {
    prove();
    disk_.write(true);
    disk_.play(60'000, [](Millis now) { return now < 20'000 || now == 21'500; });
    EXPECT_EQ(disk_.timeline(), "\n2000 refuses\n24000 takes writes\n");
}

TEST_F(DiskHealthTest, BeforeAFirstWriteOneRefusalIsEnough) {
    disk_.write(true);
    EXPECT_EQ(disk_.timeline(), "\n0 refuses\n");
}

TEST_F(DiskHealthTest, FullAndFreeEachSecondItStaysWhatItWas) {
    prove();
    disk_.write(true);
    disk_.play(600'000, full_in_turn(1000));
    EXPECT_EQ(disk_.timeline(), "\n");

    Disk refusing;
    refusing.write(true);
    refusing.play(600'000, full_in_turn(1000));
    EXPECT_EQ(refusing.timeline(), "\n0 refuses\n");
}

// Each relapse doubles the probation until the disk stays out.
TEST_F(DiskHealthTest, FullAndFreeEachTenSecondsItIsTakenBackAFewTimes) {
    prove();
    disk_.write(true);
    for (int half = 0; half < 60; ++half) {
        disk_.play(half * 10'000 + 10'000, full_in_turn(10'000));
        disk_.write((half + 1) % 2 == 0);
    }
    EXPECT_EQ(disk_.timeline(), R"(
2000 refuses
12000 takes writes
22000 refuses
34000 takes writes
42000 refuses
58000 takes writes
62000 refuses
)");
    EXPECT_EQ(disk_.health().withdrawals(), 4U);
}

TEST_F(DiskHealthTest, AnOldRelapseIsForgotten) {
    prove();
    disk_.write(true);
    disk_.play(10'000, [](Millis) { return true; });
    disk_.play(kRelapseWithin + 20'000, [](Millis) { return false; });
    disk_.write(true);
    disk_.play(kRelapseWithin + 30'000, [](Millis) { return true; });
    disk_.play(kRelapseWithin + 40'000, [](Millis) { return false; });
    EXPECT_EQ(disk_.timeline(), R"(
2000 refuses
12000 takes writes
622000 refuses
632000 takes writes
)");
}

}  // namespace
}  // namespace whinledge::consensus
