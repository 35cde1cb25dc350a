// Programs of agents that may begin while model servers are overloaded: timelines drawn as text, and a
// simulated overload in which what is earned with the bound is held against what is earned without it.
#include "placement/program_admission.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

namespace whinledge::placement {
namespace {

using Millis = ProgramAdmission::Millis;

AdmissionSettings switched_on() {
    AdmissionSettings settings;
    settings.on = true;
    return settings;
}

// A timeline: `steps` times 250 ms, in each of which so many first events came within their target, so many
// after it, and so many are never to come, and then so many programs ask to begin. `begin` says what becomes
// of them in each of these steps: all, some (fewer than all), or any.
struct Programs : testing::Test {
    static constexpr Millis kStep = 250, kTarget = 400;

    void play(const std::string& timeline) {
        std::istringstream lines(timeline);
        std::string line;
        while (std::getline(lines, line)) {
            std::istringstream words(line);
            int steps = 0;
            unsigned in_time = 0, late = 0, never = 0, ask = 0;
            std::string begin;
            if (!(words >> steps >> in_time >> late >> never >> ask >> begin))
                continue;  // its head, or empty
            for (int i = 0; i < steps; ++i) expect(step(in_time, late, never, ask), ask, begin, line);
        }
    }
    unsigned step(unsigned in_time, unsigned late, unsigned never, unsigned ask) {
        now += kStep;
        for (unsigned i = 0; i < in_time; ++i) event(0.5);
        for (unsigned i = 0; i < late; ++i) event(2);
        for (unsigned i = 0; i < never; ++i) admission.awaits({now, kTarget});
        unsigned begun = 0;
        for (unsigned i = 0; i < ask; ++i) begun += begins(++asked);
        return begun;
    }
    void event(double of_target, Millis target = kTarget) {
        const AwaitedEvent event{now - of_target * kTarget, target};
        admission.awaits(event);
        admission.began(event, now);
    }
    bool begins(std::uint64_t program, int rank = 0) { return admission.admit({program, rank}, now); }
    bool continues(std::uint64_t program, bool lost = false) {
        return admission.admit({program, 0, true, lost}, now);
    }
    void expect(unsigned begun, unsigned ask, const std::string& begin, const std::string& line) const {
        const std::string seen = line + ": " + std::to_string(begun) + " began at " + std::to_string(now);
        if (begin == "all") {
            EXPECT_EQ(begun, ask) << seen;
        }
        if (begin == "some") {
            EXPECT_LT(begun, ask) << seen;
        }
    }
    // Until nearly all that would begin are put off.
    void overload() {
        play(R"(
            steps in_time late never ask begin
            20    0       40   0     10  any)");
        ASSERT_EQ(admission.put_off_share(), 1);
    }

    AdmissionSettings settings = switched_on();
    Millis now = 1000;
    ProgramAdmission admission{settings};
    std::uint64_t asked = 0;
};

TEST_F(Programs, AllBeginWhileFirstEventsAreInTime) {
    play(R"(
        steps in_time late never ask begin
        200   30      0    0     30  all
        200   30      9    0     30  all)");
    EXPECT_EQ(admission.put_off(), 0U);
}

TEST_F(Programs, AllBeginWhereNoRouteStatesATarget) {
    for (int i = 0; i < 1000; ++i) event(2, 0);
    play(R"(
        steps in_time late never ask begin
        400   0       0    0     100 all)");
    EXPECT_EQ(admission.late_share(now), 0);
}

TEST_F(Programs, AllBeginWhereItIsOff) {
    admission = ProgramAdmission(AdmissionSettings{});
    play(R"(
        steps in_time late never ask begin
        100   0       40   4     50  all)");
    EXPECT_EQ(admission.late_share(now), 0);
    EXPECT_EQ(admission.under_way(), 0U);
}

TEST_F(Programs, AllBeginInAPeakThatPasses) {
    play(R"(
        steps in_time late never ask begin
        20    20      0    0     20  all
        1     20      20   0     40  all
        20    40      0    0     20  all
        1     20      20   0     40  all
        20    40      0    0     20  all)");
}

TEST_F(Programs, AllBeginWhereTooFewComeToTell) {
    play(R"(
        steps in_time late never ask begin
        100   0       1    0     2   all)");
}

TEST_F(Programs, AllBeginWhereOneServerOfManyIsSlow) {  // a fifth of what is asked, all of it late
    play(R"(
        steps in_time late never ask begin
        400   32      8    0     40  all)");
}

TEST_F(Programs, AllBeginWhereOneServerOfManyHangs) {  // a tenth of what is asked, and nothing comes of it
    play(R"(
        steps in_time late never ask begin
        400   27      0    3     30  all)");
}

TEST_F(Programs, AreInPartPutOffWhileFirstEventsAreLate) {
    play(R"(
        steps in_time late never ask begin
        20    30      0    0     10  all
        7     0       30   0     10  any
        8     0       30   0     10  some)");
}

TEST_F(Programs, AreInPartPutOffWhereTheDayBeginsInItsBurst) {
    play(R"(
        steps in_time late never ask begin
        4     10      40   0     50  any
        20    10      40   0     50  some)");
}

TEST_F(Programs, AreInPartPutOffThoughDipsComeBetween) {  // 0.3 and more of late ones throughout
    play(R"(
        steps in_time late never ask begin
        20    30      0    0     10  all
        4     10      30   0     10  any
        1     20      10   0     10  any
        4     10      30   0     10  any
        4     10      30   0     10  some)");
}

TEST_F(Programs, BeginAgainAsSoonAsTheBurstIsOver) {
    overload();
    play(R"(
        steps in_time late never ask begin
        20    30      0    0     5   any
        40    30      0    0     10  all)");
    EXPECT_EQ(admission.put_off_share(), 0);
}

TEST_F(Programs, PutOffAreMoreTheMoreIsLate) {
    play(R"(
        steps in_time late never ask begin
        5     15      15   0     10  any)");
    const double few = admission.put_off_share();
    EXPECT_GE(few, settings.first_put_off);
    EXPECT_LT(few, 1);
    play(R"(
        steps in_time late never ask begin
        2     5       25   0     10  any)");
    EXPECT_GT(admission.put_off_share(), few);
}

// A third of first events late is no overload while programs come as usual.
TEST_F(Programs, ArePutOffSoonerInASurge) {
    play(R"(
        steps in_time late never ask begin
        80    20      0    0     3   all
        40    20      10   0     3   all
        3     20      10   0     15  any
        4     20      10   0     15  some)");
}

TEST_F(Programs, AllBeginInASurgeThatServersBear) {
    play(R"(
        steps in_time late never ask begin
        80    20      0    0     3   all
        40    20      2    0     15  all)");
}

TEST_F(Programs, ASurgeAloneTellsSoonAfterAnOverload) {
    overload();
    play(R"(
        steps in_time late never ask begin
        40    30      0    0     3   any
        3     30      0    0     30  any
        4     30      0    0     30  some)");
    play(R"(
        steps in_time late never ask begin
        200   30      0    0     3   any
        8     30      0    0     30  all)");
}

TEST_F(Programs, ThatComeAgainAreNoSurge) {
    play(R"(
        steps in_time late never ask begin
        80    20      0    0     3   all)");
    for (int i = 0; i < 40; ++i) {
        step(20, 10, 0, 3);
        for (std::uint64_t again = 1; again <= 20; ++again) EXPECT_TRUE(begins(again));
    }
}

TEST_F(Programs, AllBeginForSomeSecondsAfterTheProcessHasStarted) {
    admission = ProgramAdmission(settings, now);
    play(R"(
        steps in_time late never ask begin
        19    0       40   0     50  all
        5     0       40   0     50  any
        8     0       40   0     50  some)");
}

TEST_F(Programs, SomeBeginWhateverServersDo) {
    overload();
    unsigned begun = 0;
    for (int i = 0; i < 200; ++i) begun += step(0, 40, 0, 20);
    EXPECT_GE(begun, 200 * kStep / settings.let_in_ms);
    EXPECT_LT(begun, 400U);  // a tenth of those that ask
}

TEST_F(Programs, ArePutOffEvenly) {
    play(R"(
        steps in_time late never ask begin
        5     15      15   0     10  any)");
    const double share = admission.put_off_share();
    ASSERT_GT(share, 0.5);
    ASSERT_LT(share, 1);
    unsigned put_off = 0;
    for (std::uint64_t program = 1000; program < 1100; ++program) {
        put_off += !begins(program, 1);
        EXPECT_NEAR(put_off, share * static_cast<double>(program - 999), 2) << program;
    }
}

TEST_F(Programs, OfTheHighestRankArePutOffLess) {
    overload();
    unsigned highest = 0, common = 0;
    for (std::uint64_t program = 1000; program < 2000; ++program) highest += begins(program, 0);
    for (std::uint64_t program = 2000; program < 3000; ++program) common += begins(program, 1);
    EXPECT_GT(highest, common);
}

TEST_F(Programs, UnderWayGoOnWhateverIsPutOff) {
    ASSERT_TRUE(begins(7000));
    overload();
    for (int i = 0; i < 20; ++i) {
        EXPECT_TRUE(begins(7000));                                // it, or its helpers
        EXPECT_TRUE(continues(static_cast<unsigned>(8000 + i)));  // began elsewhere
        EXPECT_TRUE(begins(static_cast<unsigned>(8000 + i)));     // its helpers
        now += 100;
    }
}

TEST_F(Programs, ThatOughtToBeOverArePutOffAsThoseThatWouldBegin) {
    EXPECT_TRUE(continues(7000, true));
    overload();
    unsigned put_off = 0;
    for (int i = 0; i < 100; ++i) put_off += !continues(7000, true);
    EXPECT_GE(put_off, 90U);
    EXPECT_LT(put_off, 100U);
    EXPECT_TRUE(continues(7000));
}

TEST_F(Programs, AreForgottenSomeTimeAfterTheirLatestTurn) {
    EXPECT_TRUE(begins(1));
    EXPECT_TRUE(begins(2));
    now += settings.known_for_ms;
    EXPECT_TRUE(continues(2));
    now += settings.look_ms;
    EXPECT_TRUE(begins(3));
    EXPECT_EQ(admission.under_way(), 2U);
}

TEST_F(Programs, OfNoNameAreNotCounted) {
    overload();
    const std::size_t known = admission.under_way();
    for (int i = 0; i < 100; ++i) EXPECT_TRUE(admission.admit({}, now));
    EXPECT_EQ(admission.under_way(), known);
}

// Of first events alone that have come, servers that answer nothing would seem quick.
TEST_F(Programs, FirstEventsThatAreNotThereCountOnceTheyAreLate) {
    for (int i = 0; i < 10; ++i) event(0.5);
    for (int i = 0; i < 10; ++i) admission.awaits({now, kTarget});
    now += kTarget;
    EXPECT_EQ(admission.late_share(now), 0);
    now += 1;
    EXPECT_GT(admission.late_share(now), 0.5);
    for (int i = 0; i < 10; ++i) admission.withdrawn({now - kTarget - 1, kTarget});
    EXPECT_EQ(admission.late_share(now), 0);
}

TEST_F(Programs, FirstEventsThatWereNeverWaitedForChangeNothing) {
    admission.withdrawn({now, kTarget});
    for (int i = 0; i < 100; ++i) admission.awaits({now, 0});
    now += 10 * kTarget;
    EXPECT_EQ(admission.late_share(now), 0);
}

// Model servers as one that shares its work among all turns that run; programs of several turns, with pauses.
struct Engine {
    Millis turn = 300;        // on an idle server
    Millis first_event = 70;  // of which until the first event
    Millis target = 250;
    double capacity = 20;  // turns that run as fast as on an idle server
};

class Overload {
public:
    Overload(bool bounded, Engine engine, Millis burst_from)
        : bounded_(bounded), engine_(engine), burst_from_(burst_from) {}
    struct Outcome {
        std::size_t asked = 0, in_time = 0, late = 0;
        std::uint64_t refused = 0;
        std::uint64_t refused_after = 0;  // 5 s after the burst and later
    };
    Outcome play(double per_second, double in_burst) {
        std::uint64_t until_calm = 0;
        for (now_ = 0; now_ < kPlayed; now_ += kStep) {
            arrive(in_bursts() ? in_burst : per_second);
            const auto running = std::count_if(programs_.begin(), programs_.end(),
                                               [](const Program& p) { return p.state == State::turn; });
            const double speed = std::min(1.0, engine_.capacity / static_cast<double>(std::max(running, 1L)));
            for (Program& program : programs_) go_on(program, speed);
            std::erase_if(programs_, [](const Program& p) { return p.state == State::over; });
            if (now_ < burst_from_ + kBurst + 5000) until_calm = admission_.put_off();
        }
        outcome_.refused = admission_.put_off();
        outcome_.refused_after = outcome_.refused - until_calm;
        return outcome_;
    }

private:
    static constexpr Millis kStep = 10, kPlayed = 60000, kBurst = 18000, kPause = 300;
    static constexpr Millis kAgain = 500;  // until who is refused comes again
    static constexpr int kTurns = 5, kTries = 6;
    enum class State { waiting, turn, pause, over };
    struct Program {
        std::uint64_t id = 0;
        Millis began = 0, until = 0;  // the end of its pause or wait
        State state = State::waiting;
        int turns = 0, tries = 0;
        Millis left = 0;   // of its turn, on an idle server
        Millis since = 0;  // when its turn began
        bool heard = false;
    };
    Millis aim() const { return 2.5 * kTurns * (engine_.turn + kPause); }
    bool in_bursts() const { return now_ >= burst_from_ && now_ < burst_from_ + kBurst; }
    void arrive(double per_second) {
        due_ += kStep / 1000 * per_second;
        for (; due_ >= 1 && now_ < kPlayed - 10000; due_ -= 1)
            programs_.push_back({++outcome_.asked, now_, now_});
    }
    void go_on(Program& program, double speed) {
        if (program.state == State::turn) return run(program, speed);
        if (now_ < program.until) return;
        const ProgramTurn turn{program.id, 0, program.turns > 0, now_ - program.began > aim()};
        if (bounded_ && !admission_.admit(turn, 1000 + now_)) {
            program.until = now_ + kAgain;
            if (++program.tries == kTries) program.state = State::over;
            return;
        }
        program.state = State::turn;
        program.left = engine_.turn;
        program.since = now_;
        program.heard = false;
        admission_.awaits({1000 + now_, engine_.target});
    }
    void run(Program& program, double speed) {
        program.left -= kStep * speed;
        if (!program.heard && program.left <= engine_.turn - engine_.first_event) {
            program.heard = true;
            admission_.began({1000 + program.since, engine_.target}, 1000 + now_);
        }
        if (program.left > 0) return;
        program.state = State::pause;
        program.until = now_ + kPause;
        if (++program.turns < kTurns) return;
        program.state = State::over;
        ++(now_ - program.began <= aim() ? outcome_.in_time : outcome_.late);
    }

    bool bounded_;
    Engine engine_;
    Millis burst_from_;
    ProgramAdmission admission_{switched_on()};
    std::vector<Program> programs_;
    Outcome outcome_;
    Millis now_ = 0;
    double due_ = 0;
};

// 13 programs a second fill the servers. Without the bound nearly all that come in the burst, and long after
// it, are late.
void expect_more_in_time(Millis burst_from) {
    const Overload::Outcome bounded = Overload(true, {}, burst_from).play(5, 30);
    const Overload::Outcome all = Overload(false, {}, burst_from).play(5, 30);
    ASSERT_EQ(bounded.asked, all.asked);
    EXPECT_GT(bounded.in_time, 2 * all.in_time);
    EXPECT_LT(2 * bounded.late, bounded.in_time);
    EXPECT_EQ(bounded.refused_after, 0U);
}

TEST(ProgramOverload, MoreProgramsEndInTimeWhereNotAllBegin) { expect_more_in_time(5000); }

TEST(ProgramOverload, MoreProgramsEndInTimeWhereTheDayBeginsInItsBurst) { expect_more_in_time(0); }

// 30 ms a token, against 6: what is asked of the servers leaves room, and their first events are in time.
TEST(ProgramOverload, NobodyIsRefusedWhereAnEngineIsSlowButInTime) {
    Engine slow;
    slow.turn = 34 * 30;
    slow.first_event = 200;
    slow.capacity = 60;
    const Overload::Outcome outcome = Overload(true, slow, 5000).play(5, 10);
    EXPECT_EQ(outcome.refused, 0U);
    EXPECT_EQ(outcome.in_time + outcome.late, outcome.asked);
    EXPECT_EQ(outcome.late, 0U);
}

// The bound may not swing: what is earned under a steady overload is near what the servers can do.
void expect_servers_at_work(double per_second, double least_share, double most_late) {
    const Overload::Outcome outcome = Overload(true, {}, 0).play(per_second, per_second);
    constexpr double kFull = 20 / 1.5;  // programs a second, of 1.5 s of a server's time each
    constexpr double kSeconds = 50;
    EXPECT_GT(static_cast<double>(outcome.in_time), least_share * kFull * kSeconds);
    EXPECT_LT(static_cast<double>(outcome.late), most_late * static_cast<double>(outcome.in_time));
}

TEST(ProgramOverload, ASlightOneThatLastsKeepsServersAtWork) { expect_servers_at_work(15, 0.9, 0.1); }

TEST(ProgramOverload, AHeavyOneThatLastsKeepsServersAtWork) { expect_servers_at_work(30, 0.6, 0.5); }

}  // namespace
}  // namespace whinledge::placement
