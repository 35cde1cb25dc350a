// Looks after the acceptors: where others should vote than do, it seals the epoch.
#pragma once

#include <optional>

#include "consensus/control_peers.hpp"
#include "consensus/proposer.hpp"
#include "consensus/replica.hpp"

namespace whinledge::consensus {

class AcceptorCare {
public:
    // `limits`: but for `watching_since`.
    AcceptorCare(Replica& replica, ControlPeers& peers, Proposer& proposer, ReconfigurationLimits limits)
        : replica_(replica), peers_(peers), proposer_(proposer), limits_(limits) {}

    // Now and then. `watching_since`: nobody could be heard before.
    void look(Millis watching_since);

private:
    bool may_seal() const;
    // By those heard since `asked_at`, or heard of late where none were asked.
    std::optional<Acceptors> wanted(std::optional<Millis> asked_at) const;
    bool majority_present() const;
    bool my_turn(Millis waited, const std::vector<HeardAcceptor>& heard) const;

    Replica& replica_;
    ControlPeers& peers_;
    Proposer& proposer_;
    ReconfigurationLimits limits_;
    std::optional<Millis> asked_at_;   // the wish came up, and all were asked whether they are there
    Millis majority_since_ = 0;        // before, too few acceptors were there to change anything
    std::optional<Millis> sealed_at_;  // the last seal was begun
};

}  // namespace whinledge::consensus
