// Which members should hold a turn's record under a map: its holders that are there, and others in place of
// those that are not. Every member works out the same from the same record and map.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::storage_map {

const wire::StorageMember* find_member(const wire::StorageMap& map, std::int64_t identity);

// Identities. Holders that are in the map and not retiring stay; where these would not outlast a loss,
// members in other regions and zones join them, ranked by rendezvous of the turn's id and the identity; those
// in `unable`, which can take no copies at present, come last.
std::vector<std::int64_t> wanted_holders(const std::string& id, const std::vector<std::int64_t>& holders,
                                         const wire::StorageMap& map,
                                         const failure_domain::LossTolerance& survive,
                                         const std::set<std::int64_t>& unable = {});

// Whether a member stands for a program's ledger: one of the first by rendezvous of the program and the
// identity that together outlast a loss. All members hold all ledgers; these gather what any of them has and
// tell it to all, so that not everybody has to tell everybody.
bool stands_for(const std::string& program, std::int64_t identity, const wire::StorageMap& map,
                const failure_domain::LossTolerance& survive);

}  // namespace whinledge::storage_map
