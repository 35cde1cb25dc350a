#include "storage_map/staying_holders.hpp"

#include <algorithm>
#include <bit>
#include <map>

namespace whinledge::storage_map {

namespace {

// Sets of zones or regions, a bit for each.
constexpr std::size_t kBits = 64;
std::uint64_t bit_of(std::size_t number) { return std::uint64_t{1} << (number % kBits); }
std::size_t count_of(std::uint64_t bits) { return static_cast<std::size_t>(std::popcount(bits)); }

}  // namespace

StayingHolders::StayingHolders(const wire::StorageMap& map, const failure_domain::LossTolerance& survive)
    : copies_(survive.copies()), regions_(survive.region_losses() + 1) {
    std::map<std::string, std::size_t> zones, regions;
    for (const wire::StorageMember& member : map.members) {
        if (member.state == wire::StorageState::retiring) continue;
        places_[member.identity] = {zones.emplace(member.zone, zones.size()).first->second,
                                    regions.emplace(member.region, regions.size()).first->second};
    }
}

bool StayingHolders::enough(const std::vector<std::int64_t>& holders) const {
    std::size_t staying = 0;
    std::uint64_t zones = 0, regions = 0;
    for (const std::int64_t holder : holders) {
        const auto place = places_.find(holder);
        if (place == places_.end()) continue;
        ++staying;
        zones |= bit_of(place->second.zone);
        regions |= bit_of(place->second.region);
    }
    return staying >= copies_ && count_of(zones) >= copies_ && count_of(regions) >= regions_;
}

}  // namespace whinledge::storage_map
