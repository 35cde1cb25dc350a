// Versions of servers' software, as the list tells them by name, in a form that thousands of entries can
// hold.
#pragma once

#include <cstdint>
#include <string_view>

namespace whinledge::servers_list {

using VersionId = std::int32_t;

// Of a name; the same in every process. Two names of a service have the same id about once in four thousand
// million. 0 of the empty name alone.
VersionId version_id(std::string_view name);

}  // namespace whinledge::servers_list
