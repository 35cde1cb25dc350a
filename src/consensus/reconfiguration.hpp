// Who should be the acceptors: a decision from what is there.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "consensus/ballot.hpp"
#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::consensus {

// More acceptors make each change dearer and bear more losses than any deployment asks for.
inline constexpr std::size_t kMostAcceptors = 7;

// A control process's disk as it was heard of.
struct HeardAcceptor {
    wire::Acceptor acceptor;
    Millis heard_at = 0;  // the last message from it
    Millis first_heard_at = 0;
    bool present = false;  // it is there for certain
};

struct ReconfigurationLimits {
    Millis gone = 5000;         // not heard for this: it is gone
    Millis silent = 2000;       // was there and is not heard for this: it may be left out where that helps
    Millis watching_since = 0;  // nobody could be heard before
    failure_domain::LossTolerance survive{};
};

// The acceptors that should follow `current`, or none where it should stay. All that are there are acceptors,
// up to kMostAcceptors; where zones or regions may be lost, those of them that bear it. An acceptor whose
// address has another identity is gone at once. One that is gone is replaced, or dropped where those left are
// enough for the losses without it; else it is kept, since it may come back. One that is silent is dropped
// under the same condition, and if more of those that are there may then be lost before they are no majority:
// a loss can follow as soon as a successor has had its time, and not later. A set is only proposed if a
// majority of it is there, and of the present one, which has to agree.
std::optional<Acceptors> next_acceptors(const Acceptors& current, const std::vector<HeardAcceptor>& heard,
                                        Millis now, const ReconfigurationLimits& limits);

}  // namespace whinledge::consensus
