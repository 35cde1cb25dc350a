// The call by which edge and storage processes follow the control plane.
#pragma once

#include <cstddef>

#include "control_types.h"  // generated from idl/control.thrift
#include "rpc/call.hpp"

namespace whinledge::feed {

inline constexpr rpc::Call<wire::WatchRequest, wire::WatchReply> kWatch{"watch"};

inline constexpr int kWatchProtocol = 1;

// Control processes that one process watches at once; the second where states and lists come by the overlay.
inline constexpr std::size_t kMostChannels = 5;
inline constexpr std::size_t kMostChannelsBesideRelay = 2;

// Whether a list under (term, sequence) replaces the one under (known_term, known_sequence).
inline bool list_is_newer(std::int64_t term, std::int64_t sequence, std::int64_t known_term,
                          std::int64_t known_sequence) {
    return term > known_term || (term == known_term && sequence > known_sequence);
}

}  // namespace whinledge::feed
