// What the digests that a member shares with others are worked out from, for one program. It depends on what
// is held of the program and on the map, and is kept beside the program until either changes.
#pragma once

#include <cstdint>
#include <vector>

#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::storage_plane {

struct DigestSummary {
    // Of the turns that this member and another should both hold.
    struct SharedTurns {
        std::int64_t member = 0;  // identity of the other
        std::uint64_t sum = 0;    // of the turns' hashes: their order does not matter
    };

    // What it holds for, besides what is held of the program.
    struct Scope {
        std::int64_t self = 0;  // identity
        std::int64_t map_epoch = 0;
        failure_domain::LossTolerance survive{};
        bool operator==(const Scope&) const = default;
    };

    Scope scope;
    std::uint64_t ledger = 0;                // of all entries; 0: there are none
    bool all_keep_ledger = false;            // the group is everybody
    std::vector<std::int64_t> ledger_group;  // identities, sorted; empty where this member is not one of them
    std::vector<SharedTurns> turns;          // by identity
};

}  // namespace whinledge::storage_plane
