// Handlers that hold the loop up: told once each, by the name of the function that made them.
#include "io/loop_watch.hpp"

#include <gtest/gtest.h>

#include <utility>  // ahead of Asio 1.74, which forgets it
//
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <thread>
#include <vector>

#include "io/loop_timer.hpp"

namespace whinledge::test {

// Makes the handler that is looked for by this function's name.
inline void wait_for_nothing(boost::asio::io_context& io, LoopTimer& timer) {
    static_cast<void>(io);
    timer.at({}, [] {});
}

namespace {

using namespace std::chrono_literals;

struct LoopWatchTest : testing::Test {
    std::vector<std::string> reports;
    LoopWatch watch{[this](const std::string& line) { reports.push_back(line); }};
    LoopWatch::Clock::time_point start = LoopWatch::Clock::time_point{} + 1h;

    void handle(std::chrono::milliseconds from, std::chrono::milliseconds to) {
        watch.handled(typeid(int), start + from, start + to);
    }
};

TEST_F(LoopWatchTest, SaysNothingOfWhatHoldsUpNobody) {
    for (int i = 0; i < 100; ++i) handle(i * 100ms, i * 100ms + 99ms);
    EXPECT_TRUE(reports.empty());
    EXPECT_EQ(watch.stalls(), 0u);
    EXPECT_EQ(watch.counters(), "");
    EXPECT_EQ(watch.longest(), 99ms);
}

TEST_F(LoopWatchTest, TellsOfAStallAndItsHandler) {
    handle(0ms, 812ms);
    handle(900ms, 901ms);
    EXPECT_EQ(reports, std::vector<std::string>{"the loop was held up for 812ms by int"});
    EXPECT_EQ(watch.counters(), "loop: stalls=1 longest=812ms in int");
}

TEST_F(LoopWatchTest, AHandlerAroundAStallIsNotToldAsWell) {
    handle(10ms, 500ms);  // ends first, inside the next
    handle(0ms, 505ms);
    EXPECT_EQ(reports.size(), 1u);
    EXPECT_EQ(watch.stalls(), 1u);
}

TEST_F(LoopWatchTest, ManyStallsAreCountedAndToldOnceASecond) {
    for (int i = 0; i < 50; ++i) handle(i * 200ms, i * 200ms + 150ms);  // 10 s
    EXPECT_EQ(watch.stalls(), 50u);
    EXPECT_GE(reports.size(), 8u);
    EXPECT_LE(reports.size(), 10u);
}

TEST_F(LoopWatchTest, IsOfItsThreadAlone) {
    EXPECT_EQ(LoopWatch::current(), &watch);
    const LoopWatch* other = &watch;
    std::thread([&] { other = LoopWatch::current(); }).join();
    EXPECT_EQ(other, nullptr);
}

// Asio calls the hook: every handler of a loop is seen.
TEST(HandlerTracking, NamesTheFunctionThatMadeTheHandler) {
    std::vector<std::string> reports;
    LoopWatch watch([&](const std::string& line) { reports.push_back(line); }, 0ms);
    boost::asio::io_context io;
    LoopTimer timer(io);
    wait_for_nothing(io, timer);
    io.run();
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_NE(reports[0].find("LoopTimer::at"), std::string::npos) << reports[0];
    EXPECT_NE(reports[0].find("wait_for_nothing"), std::string::npos) << reports[0];
}

TEST(HandlerTracking, WithoutAWatchNothingIsDone) {
    boost::asio::io_context io;
    bool ran = false;
    boost::asio::post(io, [&] { ran = true; });
    io.run();
    EXPECT_TRUE(ran);
}

}  // namespace
}  // namespace whinledge::test
