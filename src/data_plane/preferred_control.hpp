// Which control process a proxy tells what it has seen.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift

namespace whinledge::data_plane {

// Those of the own zone come first, in an order that is another for each node, so that nodes spread over
// them. `turn`: 0 for the first; rises with each that has not answered. Empty: none is known.
std::string preferred_control(std::vector<wire::NodeInfo> controls, std::string_view zone, std::uint64_t node,
                              std::uint64_t turn);

}  // namespace whinledge::data_plane
