// When an edge process reads the platform's list of servers itself: while it hears of nobody who reads it for
// all, and seldom enough to leave the platform's calls to the one who does. Pure.
#pragma once

#include <cstdint>
#include <functional>

#include "engine/types.hpp"

namespace whinledge::data_plane {

// What an edge process knows as it asks whether to read.
struct ListSituation {
    bool configured = false;  // a configuration is in force: without one a list is of no use
    bool has_list = false;    // whoever read it
    Millis silence = 0;       // since there was last word of a living reader; infinite: never
    // Milliseconds for which one reading takes all calls that the platform accepts.
    Millis reading_cost = 0;
};

class ListPace {
public:
    // All in milliseconds.
    static constexpr Millis kSilence = 1500;   // without word of a living reader
    static constexpr Millis kAtStart = 20;     // before the first reading of a process without a list
    static constexpr Millis kSpread = 300;     // more, at most: many processes start at once
    static constexpr Millis kPatience = 3000;  // for a list, when a living reader is heard of
    static constexpr Millis kAgain = 1000;     // between readings, to twice as much
    static constexpr Millis kBackoff = 400;    // after a reading that failed; doubles
    static constexpr Millis kLongestBackoff = 6400;
    // How many processes may read beside this one, as far as a process reckons, which can't know.
    static constexpr double kCrowd = 16;

    // `draw`: evenly from 0 to 1. `now`: milliseconds that never go back.
    ListPace(Millis now, std::function<double()> draw);

    // Whether to read at `now`.
    bool due(Millis now, const ListSituation& situation);
    // A reading has ended.
    void ended(Millis now, bool succeeded, Millis reading_cost);

private:
    bool silent(const ListSituation& situation) const;

    std::function<double()> draw_;
    Millis not_before_;
    double share_;                    // drawn anew after each reading: spreads the processes
    Millis without_list_since_ = -1;  // negative: it has one, or no configuration
    Millis backoff_ = kBackoff;
};

}  // namespace whinledge::data_plane
