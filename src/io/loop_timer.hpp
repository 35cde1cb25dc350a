// A timer of the loop whose handler is never called once the timer is gone, cancelled or set anew.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <utility>

#include "io/insist.hpp"

namespace whinledge {

// Asio's own timer cancels only waits whose time has not passed: a handler that stands in the loop's queue
// already is called all the same, with success, even where the owner of the timer was destroyed in between.
// Handlers given here may hold a plain pointer to the owner of the timer.
class LoopTimer {
public:
    using Clock = boost::asio::steady_timer::clock_type;

    explicit LoopTimer(boost::asio::io_context& io) : timer_(io) {}
    LoopTimer(const LoopTimer&) = delete;
    LoopTimer& operator=(const LoopTimer&) = delete;

    // Calls `handler` at `time`, in place of what was awaited before.
    template <class Handler>
    void at(Clock::time_point time, Handler handler) {
        const std::uint64_t own_turn = ++*turn_;
        timer_.expires_at(time);
        insist([&] {
            timer_.async_wait([turn = std::weak_ptr<std::uint64_t>(turn_), own_turn,
                               handler](boost::system::error_code cancelled) mutable {
                const std::shared_ptr<std::uint64_t> current = turn.lock();
                if (cancelled || !current || *current != own_turn) return;
                handler();
            });
        });
    }

    // Calls `handler` after `delay`, in place of what was awaited before.
    template <class Handler>
    void after(Clock::duration delay, Handler handler) {
        at(Clock::now() + delay, std::move(handler));
    }

    void cancel() {
        ++*turn_;
        timer_.cancel();
    }

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<std::uint64_t> turn_ = std::make_shared<std::uint64_t>(0);  // counts what was awaited
};

}  // namespace whinledge
