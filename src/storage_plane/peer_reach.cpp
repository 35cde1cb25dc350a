#include "storage_plane/peer_reach.hpp"

#include <algorithm>

namespace whinledge::storage_plane {

void PeerReach::step(std::int64_t now_ms) {
    const bool stalled = stepped_ && now_ms - now_ms_ > options_.stall_ms;
    now_ms_ = now_ms;
    stepped_ = true;
    if (!stalled) return;
    for (auto& [identity, member] : members_) member.unanswered_since_ms = now_ms;
}

void PeerReach::keep_only(const std::set<std::int64_t>& identities) {
    std::erase_if(members_, [&](const auto& member) { return identities.count(member.first) == 0; });
}

void PeerReach::asked(std::int64_t identity, std::int64_t now_ms) {
    Member& member = members_[identity];
    if (member.waits) return;
    member.waits = true;
    member.unanswered_since_ms = now_ms;
}

void PeerReach::answered(std::int64_t identity, bool full) {
    Member& member = members_[identity];
    member.waits = member.failed = false;
    member.full = full;
}

void PeerReach::failed(std::int64_t identity) { members_[identity].failed = true; }

bool PeerReach::is_silent(const Member& member, std::int64_t for_ms) const {
    return member.waits && member.failed && now_ms_ - member.unanswered_since_ms >= for_ms;
}

bool PeerReach::is_away(std::int64_t identity) const {
    const auto member = members_.find(identity);
    return member != members_.end() && is_away(member->second);
}

bool PeerReach::is_full(std::int64_t identity) const {
    const auto member = members_.find(identity);
    return member != members_.end() && member->second.full;
}

std::set<std::int64_t> PeerReach::unable() const {
    std::set<std::int64_t> unable;
    for (const auto& [identity, member] : members_)
        if (member.full || is_away(member)) unable.insert(identity);
    return unable;
}

std::set<std::int64_t> PeerReach::doubted() const {
    std::set<std::int64_t> doubted;
    for (const auto& [identity, member] : members_)
        if (member.full || is_silent(member, options_.doubted_after_ms)) doubted.insert(identity);
    return doubted;
}

bool PeerReach::suspects() const {
    return std::any_of(members_.begin(), members_.end(), [&](const auto& member) {
        return member.second.waits && member.second.failed &&
               !is_silent(member.second, options_.doubted_after_ms);
    });
}

}  // namespace whinledge::storage_plane
