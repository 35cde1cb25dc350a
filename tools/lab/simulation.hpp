// Simulated time: what is to happen, in its order. One thread; nothing waits.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include "lab/timeline.hpp"

namespace whinledge::lab {

class Simulation final : public Timeline {
public:
    explicit Simulation(Millis start = 0) : now_(start) {}
    Millis now() const override { return now_; }
    void at(Millis when, std::function<void()> what) override {
        queue_.push(std::max(when, now_), std::move(what));
    }

    // All that is due by then; the time is then, afterwards.
    void run_until(Millis end) {
        while (queue_.next() <= end) {
            now_ = queue_.next();
            ++happened_;
            const auto what = queue_.pop();
            what();
        }
        now_ = std::max(now_, end);
    }
    std::uint64_t happened() const { return happened_; }

private:
    Millis now_;
    std::uint64_t happened_ = 0;
    DueQueue queue_;
};

}  // namespace whinledge::lab
