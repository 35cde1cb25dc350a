#include "control_plane/proxy_census.hpp"

#include <algorithm>

namespace whinledge::control_plane {

void ProxyCensus::told(const std::string& control, std::size_t watching, Instant now) {
    forget(now);
    told_[control] = {watching, now};
}

void ProxyCensus::forget(Instant now) {
    std::erase_if(told_, [&](const auto& each) { return now - each.second.at > kHelloHolds; });
}

std::optional<std::size_t> ProxyCensus::live(std::size_t watching, std::size_t watched_at_once, Instant now) {
    forget(now);
    if (now - started_ < kSettling) return std::nullopt;
    std::size_t most = watching, sum = watching;
    for (const auto& [control, told] : told_) {
        most = std::max(most, told.watching);
        sum += told.watching;
    }
    // Where there are no more control processes than a proxy watches, each hears all proxies; where there are
    // more, each proxy is in the numbers of `watched_at_once` of them.
    const std::size_t each_once = std::max<std::size_t>(1, watched_at_once);
    return std::max(most, (sum + each_once - 1) / each_once);
}

}  // namespace whinledge::control_plane
