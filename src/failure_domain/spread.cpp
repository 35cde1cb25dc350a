#include "failure_domain/spread.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace whinledge::failure_domain {
namespace {

template <class Key>
std::vector<std::size_t> sizes_of(const std::map<Key, std::size_t>& counted) {
    std::vector<std::size_t> sizes;
    for (const auto& [key, size] : counted) sizes.push_back(size);
    return sizes;
}

std::size_t count_in(const std::map<std::string, std::size_t>& counted, const std::string& key) {
    const auto found = counted.find(key);
    return found == counted.end() ? 0 : found->second;
}

std::size_t less(std::size_t whole, std::size_t part) { return whole - std::min(whole, part); }

}  // namespace

std::size_t sum_of_largest(std::vector<std::size_t> sizes, std::size_t count) {
    std::sort(sizes.begin(), sizes.end(), std::greater<>());
    sizes.resize(std::min(count, sizes.size()));
    return std::accumulate(sizes.begin(), sizes.end(), std::size_t{0});
}

std::size_t most_lost(std::vector<std::size_t> costs, std::size_t budget) {
    std::sort(costs.begin(), costs.end());
    std::size_t lost = 0;
    for (const std::size_t cost : costs) {
        if (cost > budget) break;
        budget -= cost;
        ++lost;
    }
    return lost;
}

void Spread::add(const Location& location) {
    ++machines_;
    ++by_zone_[location.zone];
    ++by_region_[location.region];
    ++zones_of_region_[location.region][location.zone];
}

std::size_t Spread::machines_in_zone(const std::string& zone) const { return count_in(by_zone_, zone); }

std::size_t Spread::machines_in_region(const std::string& region) const {
    return count_in(by_region_, region);
}

bool Spread::outlasts(const LossTolerance& tolerance) const {
    return machines() > tolerance.machine_losses() && zones() > tolerance.zone_losses() &&
           regions() > tolerance.region_losses();
}

std::size_t Spread::largest_loss(const LossTolerance& tolerance) const {
    return std::max({std::min(tolerance.machine_losses(), machines_),
                     sum_of_largest(sizes_of(by_zone_), tolerance.zone_losses()),
                     sum_of_largest(sizes_of(by_region_), tolerance.region_losses())});
}

bool Spread::keeps_majority(const LossTolerance& tolerance) const {
    return machines_ - largest_loss(tolerance) >= machines_ / 2 + 1;
}

std::size_t Spread::zones_left(const LossTolerance& tolerance) const {
    std::vector<std::size_t> zones_by_region;
    for (const auto& [region, zones] : zones_of_region_) zones_by_region.push_back(zones.size());
    return less(zones(),
                std::max({most_lost(sizes_of(by_zone_), tolerance.machine_losses()), tolerance.zone_losses(),
                          sum_of_largest(zones_by_region, tolerance.region_losses())}));
}

std::size_t Spread::regions_left(const LossTolerance& tolerance) const {
    std::vector<std::size_t> zones_by_region;
    for (const auto& [region, zones] : zones_of_region_) zones_by_region.push_back(zones.size());
    return less(regions(),
                std::max({most_lost(sizes_of(by_region_), tolerance.machine_losses()),
                          most_lost(zones_by_region, tolerance.zone_losses()), tolerance.region_losses()}));
}

}  // namespace whinledge::failure_domain
