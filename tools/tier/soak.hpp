// Days of a soak, drawn from a seed: signals, restarts and changes of the configuration come in series that
// overlap, while clients use the connections that they have until the process behind them is gone.
#pragma once

#include <cstdint>

#include "tier/rig.hpp"

namespace whinledge::tier_rig {

// Every other seed has planned work alone: whatever is cut then is LOST. The others have kills, freezes, lost
// disks and replaced machines as well, and every fourth seed of all ends with a final fault.
void make_soak(DayOptions& day, std::uint64_t seed);

// Control and storage processes are killed and frozen whatever else is lost, disks are lost one at a time
// meanwhile, and at the end one goes as all processes are killed. Programs go on from each other's turns.
// Zones, machines, `keepForS` and the rate of changes are drawn as well.
void make_loss_soak(DayOptions& day, std::uint64_t seed);

}  // namespace whinledge::tier_rig
