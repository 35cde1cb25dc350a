// A sum that fades exponentially. Pure.
#pragma once

#include <cmath>

namespace whinledge::placement {

struct FadingSum {
    double value = 0;  // as of `at`
    double at = 0;     // milliseconds
    double at_time(double now, double memory_ms) const { return value * std::exp((at - now) / memory_ms); }
    void add(double amount, double now, double memory_ms) {
        value = at_time(now, memory_ms) + amount;
        at = now;
    }
};

}  // namespace whinledge::placement
