// When a name is asked for again. Pure: the same seed gives the same waits.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "engine/types.hpp"

namespace whinledge::dns {

class Plan {
public:
    Plan(Millis min_ttl, Millis max_ttl, std::uint64_t seed)
        : least_(std::max(min_ttl, kLeast)),
          most_(std::max(max_ttl, least_)),
          backoff_(least_),
          random_(seed) {}

    // Up to a tenth later than the answer's TTL (seconds) ends, so that many who asked together don't go on
    // so.
    Millis after_answer(std::uint32_t ttl) {
        backoff_ = least_;
        return std::clamp(ttl * 1000.0, least_, most_) * (1 + 0.1 * draw());
    }
    // Twice as long with each failure in turn, and up to half of that more.
    Millis after_failure() {
        const Millis wait = backoff_;
        backoff_ = std::min(2 * backoff_, std::max(least_, std::min(most_, kLongestBackoff)));
        return wait * (1 + 0.5 * draw());
    }

private:
    static constexpr Millis kLeast = 10;  // a TTL of 0 is no leave to ask without pause
    static constexpr Millis kLongestBackoff = 30000;
    // In [0, 1); the standard's distributions differ from library to library.
    double draw() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    Millis least_, most_, backoff_;
    std::mt19937_64 random_;
};

}  // namespace whinledge::dns
