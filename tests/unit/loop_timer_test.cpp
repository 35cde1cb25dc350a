// Handlers that stand in the loop's queue when their timer goes, is cancelled or is set anew.
#include "io/loop_timer.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

namespace whinledge {
namespace {

// Two timers whose time has passed: the loop queues both handlers before it calls the first.
class LoopTimerTest : public testing::Test {
protected:
    LoopTimer::Clock::time_point long_past() const {
        return LoopTimer::Clock::now() - std::chrono::seconds(1);
    }

    boost::asio::io_context io_;
    std::string called_;
};

TEST_F(LoopTimerTest, CallsItsHandlerOnce) {
    LoopTimer timer(io_);
    timer.after(std::chrono::microseconds(0), [&] { called_ += "a"; });
    io_.run();
    EXPECT_EQ(called_, "a");
}

TEST_F(LoopTimerTest, TheHandlerOfATimerThatIsGoneIsNotCalled) {
    LoopTimer first(io_);
    auto second = std::make_unique<LoopTimer>(io_);
    second->at(long_past() + std::chrono::milliseconds(1), [&] { called_ += "b"; });
    first.at(long_past(), [&] {
        called_ += "a";
        second.reset();
    });
    io_.run();
    EXPECT_EQ(called_, "a");
}

TEST_F(LoopTimerTest, TheHandlerOfACancelledWaitIsNotCalled) {
    LoopTimer first(io_);
    LoopTimer second(io_);
    second.at(long_past() + std::chrono::milliseconds(1), [&] { called_ += "b"; });
    first.at(long_past(), [&] {
        called_ += "a";
        second.cancel();
    });
    io_.run();
    EXPECT_EQ(called_, "a");
}

TEST_F(LoopTimerTest, AWaitSetAnewCallsTheNewHandlerAlone) {
    LoopTimer first(io_);
    LoopTimer second(io_);
    second.at(long_past() + std::chrono::milliseconds(1), [&] { called_ += "old"; });
    first.at(long_past(), [&] { second.at(long_past(), [&] { called_ += "new"; }); });
    io_.run();
    EXPECT_EQ(called_, "new");
}

TEST_F(LoopTimerTest, MayGoInItsOwnHandler) {
    auto timer = std::make_unique<LoopTimer>(io_);
    timer->at(long_past(), [&] {
        timer.reset();
        called_ += "a";
    });
    io_.run();
    EXPECT_EQ(called_, "a");
}

TEST_F(LoopTimerTest, MayBeSetAgainByItsOwnHandler) {
    LoopTimer timer(io_);
    timer.at(long_past(), [&] {
        called_ += "a";
        timer.at(long_past(), [&] { called_ += "b"; });
    });
    io_.run();
    EXPECT_EQ(called_, "ab");
}

}  // namespace
}  // namespace whinledge
