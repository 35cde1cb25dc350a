#include "feed/known_controls.hpp"

#include <iterator>

namespace whinledge::feed {

bool KnownControls::learn(const std::vector<wire::NodeInfo>& told, Instant now) {
    bool changed = forget(now);
    for (const wire::NodeInfo& info : told) changed |= learn_one(info, now);
    if (!changed) return false;
    all_.clear();
    for (const auto& [address, known] : known_) all_.push_back(known.info);
    return true;
}

bool KnownControls::learn_one(const wire::NodeInfo& info, Instant now) {
    if (info.address.empty() || info.role != wire::NodeRole::control) return false;
    const auto known = known_.find(info.address);
    if (known == known_.end()) {
        if (known_.size() >= kMost) return false;
        known_.emplace(info.address, Known{info, now});
        return true;
    }
    const bool changed = known->second.info != info;
    known->second = {info, now};
    return changed;
}

bool KnownControls::forget(Instant now) {
    bool changed = false;
    for (auto at = known_.begin(); at != known_.end();) {
        const bool old = now - at->second.told > kForgetAfter;
        changed |= old;
        at = old ? known_.erase(at) : std::next(at);
    }
    return changed;
}

bool KnownControls::in_zone(const std::string& address, const std::string& zone) const {
    const auto known = known_.find(address);
    return known != known_.end() && known->second.info.zone == zone;
}

}  // namespace whinledge::feed
