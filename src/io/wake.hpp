// Wakes somebody on the loop at a time of the program's clock.
#pragma once

#include <cmath>
#include <functional>
#include <limits>
#include <utility>

#include "io/clock.hpp"
#include "io/loop_timer.hpp"

namespace whinledge {

class Wake {
public:
    Wake(boost::asio::io_context& io, const Clock& clock, std::function<void()> wake)
        : clock_(clock), wake_(std::move(wake)), timer_(io) {}

    // The earliest of the times asked for since it last woke; infinity asks for none.
    void at(Millis time) {
        if (!(time < armed_)) return;
        armed_ = std::numeric_limits<Millis>::infinity();
        timer_.at(clock_.when(time), [this] {
            armed_ = std::numeric_limits<Millis>::infinity();
            wake_();
        });
        armed_ = time;
    }

private:
    const Clock& clock_;
    std::function<void()> wake_;
    LoopTimer timer_;
    Millis armed_ = std::numeric_limits<Millis>::infinity();  // when the timer fires
};

}  // namespace whinledge
