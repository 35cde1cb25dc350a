// Whether a route, taken by itself, is sound.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "route/fault.hpp"
#include "route/spec.hpp"

namespace whinledge::route {

constexpr std::size_t kMostMatches = 1024;    // of a route
constexpr std::size_t kMostConditions = 32;   // headers, and query parameters, of a match
constexpr std::size_t kDeepestPrefix = 63;    // segments
constexpr std::size_t kDeepestWildcard = 63;  // labels

using NameIndex = std::unordered_map<std::string_view, std::uint32_t>;
struct Names {
    const NameIndex &listeners, &pools;
};
// Adds all that is wrong. Expressions are left to whoever compiles them.
void check(const Route& route, Names names, std::vector<Fault>& faults);

}  // namespace whinledge::route
