// Connections of clients at rest between requests: each may be taken up until the configuration's idleMs is
// over, counted from its last answer.
#include <functional>
#include <string>
#include <utility>

#include "edge_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

constexpr Millis kIdle = 15000;  // idleMs of the rig's configuration
constexpr double kLatestByThePage =
    0.8;  // of idleMs: when a client takes a connection up again at the latest

// A clock at whose next look something happens: between what the door has seen and what it does of that.
struct CrossedTime final : TimeSource {
    Millis now() const override {
        if (const auto happens = std::exchange(crossing, nullptr)) happens();
        return at;
    }
    Millis at = 1e6;
    mutable std::function<void()> crossing;
};

struct RestedConnection : EdgeRig {
    CrossedTime time;

    RestedConnection() { door_clock = &time; }

    // Asks once more on the connection; false: it was ended.
    bool is_served(RawClient& c, int number) {
        c.send(get("/read/x", "X: " + std::to_string(number) + "\r\n"));
        const auto answers = [&] {
            int count = 0;
            for (auto at = c.heard().find("HTTP/1.1 200 "); at != std::string::npos;
                 at = c.heard().find("HTTP/1.1 200 ", at + 1))
                ++count;
            return count;
        };
        until([&] { return answers() == number || c.ended(); });
        return answers() == number;
    }
    // The second request on the connection ends it by a reset, and reaches no server.
    void expect_left_unread(RawClient& c) {
        until([&] { return c.ended() && c.is_reset(); });
        EXPECT_TRUE(c.is_reset());
        EXPECT_EQ(arrived(), 1U);
    }
    // The door looks for whose time is over.
    void sweep() {
        bool over = false;
        boost::asio::steady_timer timer(io, std::chrono::milliseconds(600));
        timer.async_wait([&](boost::system::error_code) { over = true; });
        until([&] { return over; });
    }
};

TEST_F(RestedConnection, IsTakenUpAtFourFifthsOfItsTimeAgainAndAgain) {
    start_with_a();
    RawClient& c = client();
    for (int number = 1; number <= 3; ++number) {
        ASSERT_TRUE(is_served(c, number));
        time.at += kLatestByThePage * kIdle;
        sweep();
        ASSERT_FALSE(c.ended()) << "after answer " << number;
    }
    EXPECT_TRUE(is_served(c, 4));
}

// Guards against a request that came as its connection's time was over, and was thrown away (LOST).
TEST_F(RestedConnection, IsNotEndedOverARequestThatCameInTime) {
    start_with_a();
    RawClient& c = client();
    ASSERT_TRUE(is_served(c, 1));
    time.crossing = [&] {
        c.send(get("/read/x", "X: 2\r\n"));
        time.at += kIdle + 1;
    };
    until([&] { return arrived() == 2U || c.ended(); });
    until([&] { return c.heard().find("HTTP/1.1 200 ", 1) != std::string::npos || c.ended(); });
    EXPECT_EQ(arrived(), 2U);
    EXPECT_FALSE(c.ended());
}

// Guards against a request that was read, and thrown away, as its connection ended with a drain (LOST): left
// unread it may be sent elsewhere.
TEST_F(RestedConnection, LeavesARequestUnreadThatCrossesItsEnd) {
    start_with_a();
    RawClient& c = client();
    ASSERT_TRUE(is_served(c, 1));
    time.crossing = [&] { c.send(get("/read/x", "X: 2\r\n")); };
    ingress->door().drain(0);
    expect_left_unread(c);
}

// What idles beyond its time ends the same way.
TEST_F(RestedConnection, LeavesARequestUnreadThatCrossesItsTime) {
    start_with_a();
    RawClient& c = client();
    ASSERT_TRUE(is_served(c, 1));
    // The first look is the sweep's, the second that of the connection's end.
    time.crossing = [&] {
        time.at += kIdle + 1;
        time.crossing = [&] { c.send(get("/read/x", "X: 2\r\n")); };
    };
    expect_left_unread(c);
}

TEST_F(RestedConnection, IsEndedOnceItsTimeIsOver) {
    start_with_a();
    RawClient& c = client();
    ASSERT_TRUE(is_served(c, 1));
    time.at += kIdle + 1;
    until([&] { return c.ended(); });
    EXPECT_EQ(arrived(), 1U);
}

}  // namespace
}  // namespace whinledge::data_plane::test
