#include "storage_map/wanted_holders.hpp"

#include <algorithm>
#include <tuple>

#include "failure_domain/spread.hpp"
#include "storage_map/holder_order.hpp"

namespace whinledge::storage_map {
namespace {

using failure_domain::location_of;
using failure_domain::LossTolerance;
using failure_domain::Spread;

// By rendezvous, best first, and behind these the ones that are unable.
void rank(std::vector<const wire::StorageMember*>& members, const std::string& name,
          const std::set<std::int64_t>& unable) {
    const auto place = [&](const wire::StorageMember* member) {
        const bool able = unable.count(member->identity) == 0;
        return std::tuple(able, rendezvous_weight(name, member->identity), member->identity);
    };
    std::sort(
        members.begin(), members.end(),
        [&](const wire::StorageMember* a, const wire::StorageMember* b) { return place(a) > place(b); });
}

}  // namespace

const wire::StorageMember* find_member(const wire::StorageMap& map, std::int64_t identity) {
    for (const wire::StorageMember& member : map.members)
        if (member.identity == identity) return &member;
    return nullptr;
}

std::vector<std::int64_t> wanted_holders(const std::string& id, const std::vector<std::int64_t>& holders,
                                         const wire::StorageMap& map, const LossTolerance& survive,
                                         const std::set<std::int64_t>& unable) {
    const std::size_t copies = survive.copies(), regions = survive.region_losses() + 1;
    std::vector<std::int64_t> wanted;
    Spread spread;
    std::vector<const wire::StorageMember*> others;
    const auto take = [&](const wire::StorageMember& member) {
        wanted.push_back(member.identity);
        spread.add(location_of(member));
    };
    for (const wire::StorageMember& member : map.members) {
        if (member.state == wire::StorageState::retiring) continue;
        if (std::find(holders.begin(), holders.end(), member.identity) == holders.end())
            others.push_back(&member);
        else
            take(member);
    }
    if (wanted.size() >= copies && spread.zones() >= copies && spread.regions() >= regions) return wanted;
    rank(others, id, unable);
    for (const wire::StorageMember* member : others) {
        if (spread.regions() >= regions) break;
        if (spread.machines_in_region(member->region) == 0) take(*member);
    }
    for (const wire::StorageMember* member : others) {
        if (spread.zones() >= copies) break;
        if (spread.machines_in_zone(member->zone) == 0) take(*member);
    }
    // There are fewer zones than copies.
    for (const wire::StorageMember* member : others) {
        if (wanted.size() >= copies) break;
        if (std::find(wanted.begin(), wanted.end(), member->identity) == wanted.end()) take(*member);
    }
    return wanted;
}

bool stands_for(const std::string& program, std::int64_t identity, const wire::StorageMap& map,
                const LossTolerance& survive) {
    const std::pair own(rendezvous_weight(program, identity), identity);
    const auto self = find_member(map, identity);
    Spread before;
    for (const wire::StorageMember& member : map.members)
        if (std::pair(rendezvous_weight(program, member.identity), member.identity) > own)
            before.add(location_of(member));
    if (before.machines() <= survive.most()) return true;
    if (!self) return false;
    const bool new_zone = before.zones() <= survive.zone_losses() && before.machines_in_zone(self->zone) == 0;
    const bool new_region =
        before.regions() <= survive.region_losses() && before.machines_in_region(self->region) == 0;
    return new_zone || new_region;
}

}  // namespace whinledge::storage_map
