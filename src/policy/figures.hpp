// Figures that several of the decisions, or their state, use; those of one decision stand in its file.
#pragma once

#include <cstddef>

#include "kestrelhall/balancer.hpp"

namespace kestrelhall {

// The mechanism's own figures: io.l5d.successRate as its authors demonstrated it.
constexpr std::size_t kWindow = 20;
constexpr Millis kBackoff = 10000;
constexpr Millis kRateMemory = 5000;        // of means and rates: long against gaps, short against a warm-up
constexpr double kSamples = kWindow / 2.0;  // or this many, where they come sooner
constexpr Millis kMixMemory = 4 * kRateMemory;  // of who asks for how much
constexpr double kKindWorth = 3;  // answers of its own that weigh as much as what is known of a server's kind
// Retry budget: a fifth more attempts than requests in the long run, and this many at a stretch.
constexpr double kRetryShare = 0.2, kRetryBurst = 10;
// Admission: attempts out are kept to what brings the mean answer in at this share of its aim: more makes the
// slower answers late and overdrives servers, less refuses where service alone takes that long. The bound
// starts far off, moves by a share for the time passed, and leaves kLeast of the demand.
constexpr double kAimShare = 0.46, kRoomAtStart = 1000, kRoomGain = 0.004, kLeast = 0.25;
// A cold server is spared what is heavier than both of these, while a warm one can have it: so many means,
// and this share of the root of its N, two of which are what is put down to chance.
constexpr double kHeavy = 1.5, kHeavyShare = 0.5;
constexpr Millis kSurvey = 100;  // between surveys; a server warms and fills slower than that
constexpr int kDraws = 16;       // of a server for our part, before what we have must do
// Where more servers come into question than this, a decision looks at a random choice of so many: among
// thousands it costs what it costs among so many, and two of them at random are two of all.
constexpr std::size_t kMost = 32;
// Our part of the pool shrinks as load falls, but not with each lull: it is held against the most that was
// needed in the last one to two kRest. Once it is kSlack of that, servers leave until it is just that, as a
// share of what is too much for the time passed, looked at so often at most.
constexpr Millis kRest = 60000, kNarrow = 200;
// After a failed call for the list: the first wait at the longest, which doubles. What was missed counts as
// told 6 s later whatever we do, so a few of them together have to stay well below that.
constexpr Millis kResubscribe = 25, kLongestResubscribe = 800;

}  // namespace kestrelhall
