// Turns with which a program would begin while model servers are slow.
#include "edge_rig.hpp"
#include "placement/prompt.hpp"

namespace whinledge::data_plane::test {
namespace {

struct PutOff : EdgeRig {
    PutOff() : EdgeRig(at_once()) {}
    static placement::AdmissionSettings at_once() {
        placement::AdmissionSettings settings;
        settings.on = true;
        settings.overload_after_ms = 0;
        settings.unjudged_ms = 0;
        settings.look_ms = 0;
        settings.first_put_off = 1;
        settings.highest_rank = 1;
        settings.let_in_ms = 1e9;
        return settings;
    }
    static constexpr Millis kTarget = 400;
    // First events take so many times their route's target, and programs come: all but the first are put off
    // if these are late.
    void crowd(double of_target, Millis target = kTarget) {
        start_with_a();
        for (int i = 0; i < 100; ++i) {
            const placement::AwaitedEvent event{clock.now() - of_target * kTarget, target};
            pools.awaits("web", event);
            pools.stream_began("web", event);
        }
        for (std::uint64_t program = 1; program <= 10; ++program) pools.admit("web", {program});
    }
    RawClient& turn(const std::string& fields, const std::string& path = "/turn/x") {
        RawClient& c = client();
        c.send(post(path, "input", "Budget: 500\r\nToken-Count: 10,30\r\n" + fields));
        until([&] { return is_whole(c.heard()) || !turns.begun.empty(); });
        return c;
    }
};

TEST_F(PutOff, AreRefusedAtOnceWithATimeToComeAgainAndReserveNothing) {
    crowd(2);
    RawClient& c = turn("Program: p\r\n");
    EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 503 ")) << c.heard();
    EXPECT_NE(c.heard().find("Retry-After: 0."), std::string::npos) << c.heard();
    EXPECT_TRUE(turns.begun.empty());
    EXPECT_TRUE(turns.ended.empty());
    EXPECT_EQ(arrived(), 0U);
    EXPECT_EQ(host.counters.put_off, 1U);
}

// So that what comes in a burst is spread beyond it, and can still be in time.
TEST_F(PutOff, AreToComeAgainInAFifthOfTheTimeThatTheirProgramHas) {
    crowd(2);
    RawClient& c = turn("Program: p\r\nFinish-Ms: 10000\r\n");
    EXPECT_NE(c.heard().find("Retry-After: 2"), std::string::npos) << c.heard();
}

TEST_F(PutOff, AreTurnsOfProgramsThatOughtToBeOver) {
    crowd(2);
    RawClient& c = turn("Program: p\r\nPrevious: id-0\r\nFinish-Ms: 0\r\n");
    EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 503 ")) << c.heard();
    EXPECT_TRUE(turns.begun.empty());
    EXPECT_EQ(host.counters.put_off, 1U);
}

TEST_F(PutOff, AreNoneOfAProgramThatIsUnderWay) {
    crowd(2);
    turn("Program: p\r\nPrevious: id-0\r\n");
    EXPECT_EQ(turns.begun.size(), 1U);
    EXPECT_EQ(host.counters.put_off, 0U);
}

TEST_F(PutOff, AreNoneWhereFirstEventsAreInTime) {
    crowd(0.9);
    turn("Program: p\r\n");
    EXPECT_EQ(turns.begun.size(), 1U);
}

TEST_F(PutOff, AreNoneWhereTheRouteStatesNoTarget) {
    crowd(2, 0);
    turn("Program: p\r\n");
    EXPECT_EQ(turns.begun.size(), 1U);
}

// Nothing tells there whether a turn is its program's first.
TEST_F(PutOff, AreNoneOfRoutesWhoseTurnsAreNotKept) {
    crowd(2);
    turn("Program: p\r\n", "/unkept/x");
    EXPECT_EQ(turns.begun.size(), 1U);
}

TEST_F(PutOff, AreNoneFromWhenItIsSwitchedOff) {
    crowd(2);
    turn("Program: p\r\n");
    EXPECT_EQ(host.counters.put_off, 1U);
    pools.set_admission({});
    turn("Program: q\r\n");
    EXPECT_EQ(turns.begun.size(), 1U);
    EXPECT_EQ(host.counters.put_off, 1U);
}

TEST_F(PutOff, AreNoCallsOfTools) {
    crowd(2);
    EXPECT_TRUE(ask(post("/once/x", "", "Program: p\r\n")).ends_with("served"));
}

}  // namespace
}  // namespace whinledge::data_plane::test
