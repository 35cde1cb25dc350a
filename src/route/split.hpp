// Which of a route's pools a request goes to. Pure functions.
//
// By key it is rendezvous hashing with weights: each pool draws a number for the key, -ln(u) / weight with u
// from a hash of the key and the pool's name, and the least one wins. A pool wins its weight's part of all
// keys; a pool whose weight grows only gains keys, one whose weight shrinks only loses some, and between the
// others none moves, so that a change moves exactly the part it has to. Neither the pools' order nor their
// places in the table count, and all sidecars agree. It costs a logarithm per pool.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "route/request.hpp"
#include "route/spec.hpp"
#include "route/table.hpp"

namespace whinledge::route {

// The place of a share; none: all weights are 0, which is answered 503. `random`: uniform over all values;
// the parts are exact to 2^-32.
std::optional<std::size_t> choose(std::span<const Share> shares, std::uint64_t random);
std::optional<std::size_t> choose_by_key(std::span<const Share> shares, std::string_view key);

// A request's key. None: it has none, and is split at random. A parameter's value is taken as it came.
std::optional<std::string_view> split_key(const SplitKey& by, const RequestView& request);

}  // namespace whinledge::route
