// Which holders of turns stay under a map (are in it, and not retiring), worked out once for many turns.
// Where they are enough, in enough zones, they are all that is wanted: most turns are told from this alone.
// Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::storage_map {

class StayingHolders {
public:
    StayingHolders(const wire::StorageMap& map, const failure_domain::LossTolerance& survive);

    bool has(std::int64_t identity) const { return places_.count(identity) > 0; }
    // Those of these holders that stay are as many copies as make a turn durable, each in another zone, in as
    // many regions as outlast the loss. Of more than 64 zones or regions some count as one, which only says
    // "not enough".
    bool enough(const std::vector<std::int64_t>& holders) const;
    // They are enough, and one fewer would not be: nobody else should hold the turn.
    bool just_enough(const std::vector<std::int64_t>& holders) const {
        return holders.size() == copies_ && enough(holders);
    }

private:
    struct Place {
        std::size_t zone = 0, region = 0;  // counted from 0
    };
    std::size_t copies_, regions_;                    // that are needed
    std::unordered_map<std::int64_t, Place> places_;  // by identity, of members that stay
};

}  // namespace whinledge::storage_map
