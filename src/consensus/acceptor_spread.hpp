// Which of the disks that are at hand should be the acceptors, where the loss of whole zones or regions has
// to be borne: a majority must not stand where one loss takes it. Pure.
#pragma once

#include <vector>

#include "consensus/ballot.hpp"
#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::consensus {

struct AcceptorCandidate {
    enum class Presence {
        there,        // for certain
        may_be_back,  // not heard for a moment
        silent,       // for longer: it may be left out
    };
    wire::Acceptor acceptor;
    Presence presence = Presence::there;
};

// Of `candidates`, the most wanted first, kMostAcceptors at most: such that what is there bears the next
// loss; where that can't be, such that all would bear it if they were there; else such that as many machines
// as possible may be lost.
Acceptors choose_acceptors(const std::vector<AcceptorCandidate>& candidates,
                           const failure_domain::LossTolerance& survive);

}  // namespace whinledge::consensus
