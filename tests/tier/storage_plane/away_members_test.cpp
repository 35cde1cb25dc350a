// Storage machines that are away, and come back with their disks: while one is away that may hold a turn, the
// turn is not denied, whoever has taken its place in the map. No disk is lost beyond what `survive` allows.
#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "hard_case.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr int kTurns = 40;
constexpr double kRecoveryMs = 12'000;  // the operators' bound: `guarantees.recoveryS` after all are back
constexpr double kAwayMs = 20'000;

enum class Trouble { frozen, killed };

class AwayMembers {
public:
    explicit AwayMembers(std::uint64_t seed, Trouble trouble, int machines = 5)
        : trouble_(trouble),
          what_("seed " + std::to_string(seed) + (trouble == Trouble::frozen ? ", frozen" : ", killed")),
          test_(seed, {.machines = machines}) {
        test_.found();
        ClusterEdge& edge = test_.edge("a");  // the first copies lie in its zone
        for (int i = 0; i < kTurns; ++i) {
            const std::string name = "turn-" + std::to_string(i);
            TurnEnd end = test_.whole_turn(name);
            end.program = end.record.program = "program of " + name;
            const auto durable = test_.ends(edge, end);
            test_.run(100);
            EXPECT_TRUE(durable->value_or(false)) << what_;
            turns_.push_back(name);
        }
        reader_ = &test_.edge("d");
        test_.run(4500);
    }

    void goes(std::size_t index) {
        if (trouble_ == Trouble::frozen)
            test_.machine(index).frozen = true;
        else
            test_.cluster.kill(test_.machine(index));
    }
    void returns(std::size_t index) {
        if (trouble_ == Trouble::frozen)
            test_.machine(index).frozen = false;
        else
            test_.cluster.start(test_.machine(index));
    }
    void loses_its_disk(std::size_t index) {
        test_.cluster.wipe(test_.machine(index));
        test_.cluster.start(test_.machine(index));
    }
    void restart_control() { test_.cluster.restart_control(); }

    // Turns are asked for in turn for so long.
    void expect_none_denied(double ms) {
        const double until = test_.cluster.time.now() + ms;
        while (test_.cluster.time.now() < until) {
            const std::string& turn = turns_[asked_++ % turns_.size()];
            const auto outcome = test_.begins(*reader_, test_.start(next_name("ask"), turn));
            test_.run(250);
            if (!*outcome) continue;
            EXPECT_NE((*outcome)->status, BeginStatus::no_such_turn)
                << what_ << ", " << turn << " at " << test_.cluster.time.now();
        }
    }
    void expect_all_served() {
        for (const std::string& turn : turns_)
            EXPECT_EQ(asked_for(turn), BeginStatus::ok) << what_ << ", " << turn;
    }
    BeginStatus asked_for(const std::string& turn) {
        const auto outcome = test_.begins(*reader_, test_.start(next_name("read"), turn));
        for (double ms = 0; ms < kTurnMs && !*outcome; ms += 20) test_.run(20);
        return *outcome ? (*outcome)->status : BeginStatus::unavailable;
    }

    // Whether the map has dropped so many that may come back.
    std::size_t remembered() const { return test_.cluster.map.away.size(); }
    bool settles() { return test_.settles(); }
    HardCase& test() { return test_; }
    const std::string& what() const { return what_; }

private:
    std::string next_name(const std::string& what) { return what + " " + std::to_string(++names_); }

    Trouble trouble_;
    std::string what_;
    HardCase test_;
    ClusterEdge* reader_ = nullptr;
    std::vector<std::string> turns_;
    std::size_t asked_ = 0;
    int names_ = 0;
};

void for_each_day(int machines, const std::function<void(AwayMembers&)>& day) {
    for (const Trouble trouble : {Trouble::frozen, Trouble::killed})
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            AwayMembers members(seed, trouble, machines);
            day(members);
            members.expect_none_denied(kRecoveryMs);
            EXPECT_TRUE(members.settles()) << members.what();
            members.expect_all_served();
            EXPECT_EQ(members.remembered(), 0u) << members.what();
            EXPECT_EQ(members.asked_for("a turn that nobody wrote"), BeginStatus::no_such_turn)
                << members.what();
        }
}

// review/8: the map dropped both holders of a turn while they were frozen, and all others denied it.
TEST(AwayMembers, TwoOfFiveAtOnceTakeNoTurn) {
    int dropped = 0;
    for_each_day(5, [&](AwayMembers& members) {
        members.goes(0);
        members.goes(1);
        members.expect_none_denied(kAwayMs);
        dropped += members.remembered() > 0;
        members.returns(0);
        members.returns(1);
    });
    EXPECT_GT(dropped, 0) << "the case does not come about";
}

TEST(AwayMembers, ThreeOfFiveAtOnceTakeNoTurn) {
    for_each_day(5, [](AwayMembers& members) {
        for (const std::size_t index : {0u, 1u, 2u}) members.goes(index);
        members.expect_none_denied(kAwayMs);
        for (const std::size_t index : {0u, 1u, 2u}) members.returns(index);
    });
}

TEST(AwayMembers, AllControlProcessesStartAgainMeanwhile) {
    for_each_day(5, [](AwayMembers& members) {
        members.goes(0);
        members.goes(1);
        members.expect_none_denied(kAwayMs / 2);
        members.restart_control();
        members.expect_none_denied(kAwayMs);
        members.returns(0);
        members.returns(1);
    });
}

// The disk that is lost is one that `survive` allows; the other machine comes back with all that it holds.
TEST(AwayMembers, OneIsWipedAndOneIsAway) {
    for_each_day(5, [](AwayMembers& members) {
        members.goes(1);
        members.loses_its_disk(0);
        members.expect_none_denied(kAwayMs);
        members.restart_control();
        members.expect_none_denied(kAwayMs / 2);
        members.returns(1);
    });
}

TEST(AwayMembers, GoOneAfterTheOther) {
    for_each_day(5, [](AwayMembers& members) {
        members.goes(0);
        members.expect_none_denied(10'000);
        members.goes(1);
        members.expect_none_denied(10'000);
        members.returns(0);
        members.expect_none_denied(1000);
        members.goes(2);
        members.expect_none_denied(10'000);
        members.returns(1);
        members.returns(2);
    });
}

TEST(AwayMembers, TwoOfFourAtOnceTakeNoTurn) {
    for_each_day(4, [](AwayMembers& members) {
        members.goes(0);
        members.goes(1);
        members.expect_none_denied(kAwayMs);
        members.returns(0);
        members.returns(1);
    });
}

// It never comes back: once all that it may hold has expired, turns that nobody has are denied again.
TEST(AwayMembers, AreForgottenOnceWhatTheyHoldHasExpired) {
    AwayMembers members(1, Trouble::killed, 5);
    members.goes(0);
    members.test().run(12'000);
    ASSERT_EQ(members.remembered(), 1u);
    EXPECT_EQ(members.asked_for("a turn that nobody wrote"), BeginStatus::unavailable);
    members.test().run(80'000);
    EXPECT_EQ(members.remembered(), 0u);
    EXPECT_EQ(members.asked_for("a turn that nobody wrote"), BeginStatus::no_such_turn);
}

// Who is told at once that nobody can be sure may ask another time.
TEST(AwayMembers, AreNotWaitedFor) {
    AwayMembers members(1, Trouble::killed, 5);
    members.goes(0);
    members.test().run(12'000);
    ASSERT_EQ(members.remembered(), 1u);
    ClusterEdge& edge = members.test().edge("d");
    const auto outcome = members.test().begins(edge, members.test().start("ask", "a turn that nobody wrote"));
    members.test().run(400);
    ASSERT_TRUE(outcome->has_value());
    EXPECT_EQ((*outcome)->status, BeginStatus::unavailable);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
