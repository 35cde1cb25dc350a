// The sidecar's one clock: Unix milliseconds when it started, plus what the steady clock has counted since,
// so it can be held against the `started_ms` of servers and never goes back.
#pragma once

#include <chrono>

#include "engine/engine.hpp"

namespace whinledge {

class Clock final : public TimeSource {
public:
    using Steady = std::chrono::steady_clock;
    Clock()
        : unix_(std::chrono::duration<Millis, std::milli>(std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          steady_(Steady::now()) {}

    Millis now() const override {
        return unix_ + std::chrono::duration<Millis, std::milli>(Steady::now() - steady_).count();
    }
    // The first moment at which now() has reached it.
    Steady::time_point when(Millis at) const {
        return steady_ +
               std::chrono::ceil<Steady::duration>(std::chrono::duration<Millis, std::milli>(at - unix_));
    }

private:
    Millis unix_;
    Steady::time_point steady_;
};

inline std::chrono::microseconds span(Millis length) {
    return std::chrono::microseconds(static_cast<std::int64_t>(length * 1000));
}

}  // namespace whinledge
