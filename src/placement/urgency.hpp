// How urgent a request is to its model server (`Priority`). Pure.
#pragma once

#include <optional>

namespace whinledge::placement {

// 0 to 9, 0 first.
using Priority = int;
constexpr Priority kPlainPriority = 5;  // of a request that tells nothing, and where none is set

struct UrgencyFacts {
    std::optional<int> rank{};          // of its route, 0 is highest
    std::optional<double> finish_ms{};  // `Finish-Ms` less the time since: until its program ought to be over
    double needs_ms = 0;                // of that time, by what is known to be still to do; 0: not known
    int earlier_tries = 0;              // of the same request
};

// The more urgent the higher the route's rank and the less is left of the program's time beyond what its turn
// needs. A program that can't end in time any more lets others pass. All stays within 2 and 8 for tries of
// its own, and each further try of a request is a step more urgent, so that no kind of request starves.
Priority urgency(const UrgencyFacts& facts);

}  // namespace whinledge::placement
