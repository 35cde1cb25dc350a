#include "data_plane/connection_share.hpp"

#include <algorithm>
#include <cmath>

namespace whinledge::data_plane {

namespace {

constexpr std::size_t kReservedPart = 4;  // room for one more on so many of those counted
// As many newcomers as there are others fit into the reserve, each with so small a part of its share.
constexpr std::size_t kNewcomerPart = 4;

std::size_t equal_share(std::size_t max_connections, const Sharers& sharers) {
    // Not known: right for as many proxies as each of them gets connections.
    if (sharers.proxies == 0)
        return static_cast<std::size_t>(std::sqrt(static_cast<double>(max_connections)));
    const std::size_t share = max_connections / (sharers.proxies + reserved_proxies(sharers.proxies));
    return sharers.newcomer ? share / kNewcomerPart : share;
}

}  // namespace

std::size_t reserved_proxies(std::size_t proxies) { return proxies / kReservedPart + 1; }

std::size_t connection_share(std::size_t max_connections, Sharers sharers) {
    if (max_connections == 0) return 0;
    return std::max<std::size_t>(1, equal_share(max_connections, sharers));
}

void ProxyCount::told(std::size_t proxies, Millis now) {
    if (proxies == 0) return;
    while (!told_.empty() && told_.back().proxies <= proxies) told_.pop_back();
    told_.push_back({proxies, now});
    while (now - told_.front().at > kFallAfter) told_.pop_front();
}

Sharers ProxyCount::sharers(Millis now) const {
    return {told_.empty() ? 0 : told_.front().proxies, now - started_ < kNewcomer};
}

}  // namespace whinledge::data_plane
