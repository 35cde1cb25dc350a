// Where the parts of a trial ask for what is to happen later: on simulated time, or on this machine's clock.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <utility>
#include <vector>

#include "engine/time_source.hpp"

namespace whinledge::lab {

class Timeline : public TimeSource {
public:
    // What is due at one time happens in the order in which it was asked for; what is late, now.
    virtual void at(Millis when, std::function<void()> what) = 0;
    void in(Millis delay, std::function<void()> what) { at(now() + delay, std::move(what)); }
};

// What is due, in its order. Pure.
class DueQueue {
public:
    void push(Millis when, std::function<void()> what) { queue_.push({when, next_++, std::move(what)}); }
    // Infinity: nothing is due.
    Millis next() const {
        return queue_.empty() ? std::numeric_limits<Millis>::infinity() : queue_.top().when;
    }
    // Takes the first off. There has to be one.
    std::function<void()> pop() {
        // The queue shows its top as constant only; it is taken off at once.
        std::function<void()> what = std::move(const_cast<Due&>(queue_.top()).what);
        queue_.pop();
        return what;
    }

private:
    struct Due {
        Millis when;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Due& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    std::uint64_t next_ = 0;
    std::priority_queue<Due> queue_;
};

}  // namespace whinledge::lab
