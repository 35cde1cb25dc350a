// The order of ballots, and a few words on acceptor sets that the cores share.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

#include "register_types.h"  // generated from idl/register.thrift

namespace whinledge::consensus {

// Steady time in milliseconds.
using Millis = std::int64_t;

using Acceptors = std::vector<wire::Acceptor>;

inline auto rank(const wire::Ballot& ballot) { return std::tie(ballot.round, ballot.proposer); }
inline bool lower(const wire::Ballot& a, const wire::Ballot& b) { return rank(a) < rank(b); }

// Rounds and epochs above this are not taken from a message: others have to follow them.
inline constexpr std::int64_t kMostRound = std::int64_t{1} << 62;
inline bool in_bounds(const wire::Ballot& ballot) { return ballot.round >= 0 && ballot.round < kMostRound; }

// Chosen values are ordered by epoch, then by ballot.
inline bool older(std::int64_t epoch_a, const wire::Ballot& a, std::int64_t epoch_b, const wire::Ballot& b) {
    return epoch_a != epoch_b ? epoch_a < epoch_b : lower(a, b);
}

inline std::size_t majority(std::size_t acceptors) { return acceptors / 2 + 1; }

inline const wire::Acceptor* find_acceptor(const Acceptors& acceptors, std::int64_t identity) {
    const auto at = std::find_if(acceptors.begin(), acceptors.end(), [&](const wire::Acceptor& acceptor) {
        return acceptor.identity == identity;
    });
    return at == acceptors.end() ? nullptr : &*at;
}

}  // namespace whinledge::consensus
