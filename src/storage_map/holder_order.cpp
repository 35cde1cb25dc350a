#include "storage_map/holder_order.hpp"

// Its code is taken in here: no library to link.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <unordered_map>

#include "failure_domain/spread.hpp"

namespace whinledge::storage_map {
namespace {

using failure_domain::location_of;
using failure_domain::LossTolerance;
using failure_domain::Spread;

Spread spread_of(const std::vector<const wire::StorageMember*>& members,
                 const std::set<std::int64_t>& holders) {
    Spread spread;
    for (const wire::StorageMember* member : members)
        if (holders.count(member->identity)) spread.add(location_of(*member));
    return spread;
}

bool covers(const Spread& spread, const CopiesNeeded& needed) {
    return spread.machines() >= needed.members && spread.zones() >= needed.zones &&
           spread.regions() >= needed.regions;
}

}  // namespace

std::uint64_t rendezvous_weight(const std::string& program, std::int64_t identity) {
    return XXH64(program.data(), program.size(), static_cast<XXH64_hash_t>(identity));
}

HolderOrder::HolderOrder(const wire::StorageMap& map, const std::string& zone, const std::string& program) {
    std::unordered_map<std::int64_t, std::uint64_t> weights;
    for (const wire::StorageMember& member : map.members) {
        if (member.state != wire::StorageState::member) continue;
        members_.push_back(&member);
        weights.emplace(member.identity, rendezvous_weight(program, member.identity));
    }
    std::sort(members_.begin(), members_.end(),
              [&](const wire::StorageMember* a, const wire::StorageMember* b) {
                  const bool a_near = a->zone == zone, b_near = b->zone == zone;
                  if (a_near != b_near) return a_near;
                  return std::pair(weights[a->identity], a->identity) >
                         std::pair(weights[b->identity], b->identity);
              });
}

CopiesNeeded HolderOrder::copies_needed(const LossTolerance& survive) const {
    Spread all;
    for (const wire::StorageMember* member : members_) all.add(location_of(*member));
    const std::size_t copies = survive.copies();
    return {copies, std::min(copies, all.zones()), std::min(survive.region_losses() + 1, all.regions())};
}

bool HolderOrder::durable(const std::set<std::int64_t>& holders, const LossTolerance& survive) const {
    return covers(spread_of(members_, holders), copies_needed(survive));
}

std::vector<const wire::StorageMember*> HolderOrder::complement(
    const std::set<std::int64_t>& holders, const LossTolerance& survive,
    const std::function<bool(const wire::StorageMember&)>& usable) const {
    const CopiesNeeded needed = copies_needed(survive);
    Spread held = spread_of(members_, holders);
    std::vector<const wire::StorageMember*> chosen;
    const auto take = [&](const auto& enough, const auto& helps) {
        for (const wire::StorageMember* member : members_) {
            if (enough()) return;
            if (holders.count(member->identity) || !usable(*member) || !helps(*member)) continue;
            if (std::find(chosen.begin(), chosen.end(), member) != chosen.end()) continue;
            chosen.push_back(member);
            held.add(location_of(*member));
        }
    };
    const auto regions_covered = [&] { return held.regions() >= needed.regions; };
    const auto zones_covered = [&] { return held.zones() >= needed.zones; };
    take(regions_covered,
         [&](const wire::StorageMember& member) { return held.machines_in_region(member.region) == 0; });
    take(zones_covered,
         [&](const wire::StorageMember& member) { return held.machines_in_zone(member.zone) == 0; });
    // Machines of zones that are covered already help only where the map has fewer zones than copies.
    if (regions_covered() && zones_covered())
        take([&] { return held.machines() >= needed.members; }, [](const auto&) { return true; });
    return chosen;
}

}  // namespace whinledge::storage_map
