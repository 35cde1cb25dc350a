// The compiled view of a services file, for `whinledge check FILE`: one line each for the process, a
// listener, a limit, a pool, a member, a class, a route's match and a route's handling. The same services
// give the same text, and lines of the file play no part in it, so two texts can be compared by diff(1).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/services.hpp"

namespace whinledge::config {

// A route's match in the order of precedence; without a match: the route takes everything.
struct Tried {
    std::size_t route = 0;  // into Services::routes
    std::optional<std::size_t> match;
};
// The order in which routes are tried. It is that of the file until the table of routes tells the true one:
// to be swapped for a question to it.
std::vector<Tried> order_of_trial(const std::vector<route::Route>& routes);

std::string print_services(const Services& services);

}  // namespace whinledge::config
