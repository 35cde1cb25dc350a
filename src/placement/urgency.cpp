#include "placement/urgency.hpp"

#include <algorithm>

namespace whinledge::placement {

namespace {

constexpr Priority kMostUrgent = 2, kLeastUrgent = 8;  // of a first try
constexpr int kMostSteps = 2;                          // that further tries gain

// Steps of urgency by what is left, as a multiple of what is needed; one that is late already waits.
constexpr double kAmple = 6, kTight = 2.5, kPressing = 1.5, kLost = 0.9;

int steps_by_slack(const UrgencyFacts& facts) {
    if (!facts.finish_ms) return 0;
    if (*facts.finish_ms <= 0) return 1;
    if (facts.needs_ms <= 0) return 0;
    const double slack = *facts.finish_ms / facts.needs_ms;
    if (slack < kLost) return 1;
    if (slack < kPressing) return -2;
    if (slack < kTight) return -1;
    return slack > kAmple ? 1 : 0;
}

// The highest rank is a step ahead of the plain one, the second level with it, all others a step behind.
int steps_by_rank(const UrgencyFacts& facts) { return facts.rank ? std::clamp(*facts.rank, 0, 2) - 1 : 0; }

}  // namespace

Priority urgency(const UrgencyFacts& facts) {
    const int first =
        std::clamp(kPlainPriority + steps_by_rank(facts) + steps_by_slack(facts), kMostUrgent, kLeastUrgent);
    return std::max(0, first - std::clamp(facts.earlier_tries, 0, kMostSteps));
}

}  // namespace whinledge::placement
