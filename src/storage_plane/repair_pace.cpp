#include "storage_plane/repair_pace.hpp"

#include <algorithm>

namespace whinledge::storage_plane {

std::size_t RepairPace::reply_bytes(std::int64_t now_ms, std::optional<std::int64_t> repairing_ms) const {
    const bool turns_come = last_turn_ms_ && now_ms - *last_turn_ms_ <= options_.quiet_ms;
    const bool can_wait = repairing_ms && *repairing_ms < options_.patience_ms;
    if (!options_.on || !turns_come || !can_wait) return options_.most_bytes;
    return std::min(options_.beside_turns_bytes, options_.most_bytes);
}

}  // namespace whinledge::storage_plane
