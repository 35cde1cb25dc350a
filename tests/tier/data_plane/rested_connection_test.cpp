// Connections of clients at rest between requests: each may be taken up until the configuration's idleMs is
// over, counted from its last answer.
#include <string>

#include "edge_rig.hpp"
#include "rig/test_time.hpp"

namespace whinledge::data_plane::test {
namespace {

constexpr Millis kIdle = 15000;  // idleMs of the rig's configuration
constexpr double kLatestByThePage =
    0.8;  // of idleMs: when a client takes a connection up again at the latest

struct RestedConnection : EdgeRig {
    whinledge::test::TestTime time;

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
