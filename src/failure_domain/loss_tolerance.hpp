// What may be lost at once while all that was promised holds: so many machines, or so many zones with all
// that is in them, or so many regions. Each alone, not one beside the other. Pure.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace whinledge::failure_domain {

struct LossTolerance {
    int machines = 1;
    int zones = 0;
    int regions = 0;

    // Something larger than a machine.
    bool names_domains() const { return zones > 0 || regions > 0; }
    // The highest of the three.
    std::size_t most() const { return static_cast<std::size_t>(std::max({machines, zones, regions, 0})); }
    // Of what has to outlast the loss, in so many zones.
    std::size_t copies() const { return most() + 1; }
    std::size_t machine_losses() const { return static_cast<std::size_t>(std::max(machines, 0)); }
    std::size_t zone_losses() const { return static_cast<std::size_t>(std::max(zones, 0)); }
    std::size_t region_losses() const { return static_cast<std::size_t>(std::max(regions, 0)); }

    bool operator==(const LossTolerance& other) const = default;
};

// Where a machine stands. Regions may be unknown: these count as one.
struct Location {
    std::string zone;
    std::string region;

    bool operator==(const Location& other) const = default;
};

template <class Member>
Location location_of(const Member& member) {
    return {member.zone, member.region};
}

}  // namespace whinledge::failure_domain
