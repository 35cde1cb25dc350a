// What the fleet's modules share: names of members, lives, states. Words: docs/design/fleet.md.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "kestrelhall/balancer.hpp"

namespace whinledge::fleet {

using kestrelhall::Millis;
// A time that does not come: no timer is set for it.
inline constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

// A member on the wire: 32 bits of its name's hash. Who reads a configuration refuses two names with one key.
using Key = std::uint32_t;
// A life of a member: Unix time of its start in ms, raised by the member itself to contradict a rumour.
using Incarnation = std::uint64_t;

// XXH3's; the same on every machine. Never 0, which stands for nobody.
Key key_of(std::string_view name);

// In the order in which one replaces another within an incarnation.
enum class State : std::uint8_t { alive, suspect, failed, left };
constexpr std::string_view name_of(State state) {
    constexpr std::string_view names[] = {"alive", "suspect", "failed", "left"};
    return names[static_cast<int>(state)];
}

// A member's own: whether it hears a majority of the configured fleet, fewer, or nobody.
enum class Standing : std::uint8_t { joined, minority, alone };
constexpr std::string_view name_of(Standing standing) {
    constexpr std::string_view names[] = {"joined", "minority", "alone"};
    return names[static_cast<int>(standing)];
}

}  // namespace whinledge::fleet
