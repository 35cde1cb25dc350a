// Which storage members should hold a turn's record.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::storage_map {

// A member's place in the order of a program's holders (rendezvous hashing): higher goes first.
std::uint64_t rendezvous_weight(const std::string& program, std::int64_t identity);

// How many copies make a turn durable under a map, and in how many zones and regions.
struct CopiesNeeded {
    std::size_t members = 0;
    std::size_t zones = 0;    // fewer than `members` where the map has no more zones
    std::size_t regions = 0;  // as many as outlast the loss, or all that the map has
};

// Those of a map that may take new records, best first: the ones of `zone`, then the others by rendezvous.
class HolderOrder {
public:
    HolderOrder() = default;
    HolderOrder(const wire::StorageMap& map, const std::string& zone, const std::string& program);

    const std::vector<const wire::StorageMember*>& members() const { return members_; }
    CopiesNeeded copies_needed(const failure_domain::LossTolerance& survive) const;
    bool durable(const std::set<std::int64_t>& holders, const failure_domain::LossTolerance& survive) const;
    // Further members that, beside `holders`, would make a turn durable; fewer where `usable` leaves too few.
    std::vector<const wire::StorageMember*> complement(
        const std::set<std::int64_t>& holders, const failure_domain::LossTolerance& survive,
        const std::function<bool(const wire::StorageMember&)>& usable) const;

private:
    std::vector<const wire::StorageMember*> members_;  // lie in the map
};

}  // namespace whinledge::storage_map
