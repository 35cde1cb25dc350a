// How soon the next call at discovery may go, from when the last one began and was answered.
#pragma once

#include <algorithm>
#include <utility>

#include "engine/types.hpp"

namespace whinledge {

// A watch that was held, and news up to a burst of it, is followed by the next call at once. Answers that
// come at once are followed by pauses: without news they grow from 5 to 150 ms; with news they keep to a call
// each 50 ms. So, whatever the answers, at most T / 50 ms + kBurst + 2 calls begin within T.
class CallPace {
public:
    static constexpr Millis kMost = 150;  // a watch goes on if the next call comes within 200 ms
    static constexpr Millis kLeast = 5;   // what came without news; long enough for a second answer to show
    static constexpr Millis kEach = 50;
    static constexpr int kBurst = 30;
    static constexpr Millis kFirstBackoff = 25, kLongestBackoff = kMost;

    void began(Millis now) { began_ = now; }

    // How long to wait before the next call.
    Millis answered(Millis now, bool news) {
        backoff_ = kFirstBackoff;
        return paced(now, news);
    }
    // The same after a call without an answer to be used. The backoff runs from when it began: a call that
    // was given up has waited by then.
    Millis failed(Millis now) {
        const Millis backoff = std::exchange(backoff_, std::min(2 * backoff_, kLongestBackoff));
        return std::max(paced(now, false), began_ + backoff - now);
    }

private:
    Millis paced(Millis now, bool news) {
        const Millis burst = kBurst * kEach;
        debt_ = std::min(std::max(0.0, debt_ - (now - answered_)) + kEach, burst + kMost);
        answered_ = now;
        if (now - began_ >= kMost) return idle_ = 0;  // held: no faster than it may be
        idle_ = news ? 0 : std::clamp(2 * idle_, kLeast, kMost);
        return std::max(debt_ - burst, idle_);
    }

    Millis began_ = 0, answered_ = 0;
    Millis debt_ = 0;  // of calls that came sooner than each kEach
    Millis idle_ = 0;  // the last pause for want of news
    Millis backoff_ = kFirstBackoff;
};

}  // namespace whinledge
