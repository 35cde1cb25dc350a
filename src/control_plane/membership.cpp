#include "control_plane/membership.hpp"

#include <algorithm>

namespace whinledge::control_plane {
namespace {

// Milliseconds: who was heard longer ago is forgotten whatever it said.
constexpr std::int64_t kLongestAgo = 3'600'000;

// As a storage process told it, itself or through another control process.
template <class Message>
std::optional<wire::StorageProgress> progress_in(const Message& message) {
    if (!message.__isset.storage_progress) return std::nullopt;
    return message.storage_progress;
}

}  // namespace

Heard& Membership::entry(const wire::NodeInfo& info, Instant at) {
    Heard& heard = heard_[info.address];
    if (heard.info.identity != info.identity || heard.info.role != info.role) {
        heard = Heard();
        heard.first = at;
    }
    heard.info = info;
    heard.last = std::max(heard.last, at);
    return heard;
}

void Membership::hear(const wire::WatchRequest& watch, Instant now) {
    if (watch.who.address.empty()) return;
    Heard& heard = entry(watch.who, now);
    heard.storage_note = watch.storage_note;
    heard.storage_progress = progress_in(watch);
    heard.sequence = watch.sequence;
    heard.direct = true;
}

void Membership::hear_control(const wire::NodeInfo& info, Instant now) {
    if (!info.address.empty()) entry(info, now).direct = true;
}

void Membership::hear_of(const wire::SeenStorage& seen, Instant now) {
    if (seen.who.address.empty()) return;
    const Instant at = now - Span(std::clamp<std::int64_t>(seen.ago_ms, 0, kLongestAgo));
    const auto known = heard_.find(seen.who.address);
    if (known != heard_.end() && known->second.last >= at) return;
    Heard& heard = entry(seen.who, at);
    heard.storage_note = seen.storage_note;
    heard.storage_progress = progress_in(seen);
    heard.sequence = seen.sequence;
    heard.direct = false;
}

void Membership::forget(Instant now, Span after) {
    std::erase_if(heard_, [&](const auto& entry) { return now - entry.second.last > after; });
}

std::vector<Heard> Membership::of_role(wire::NodeRole::type role, Instant now, Span within) const {
    std::vector<Heard> found;
    for (const auto& [address, heard] : heard_)
        if (heard.info.role == role && now - heard.last <= within) found.push_back(heard);
    return found;
}

std::size_t Membership::count_of_role(wire::NodeRole::type role, Instant now, Span within) const {
    return static_cast<std::size_t>(std::count_if(heard_.begin(), heard_.end(), [&](const auto& known) {
        return known.second.info.role == role && now - known.second.last <= within;
    }));
}

std::vector<Heard> Membership::storages() const {
    std::vector<Heard> found;
    for (const auto& [address, heard] : heard_)
        if (heard.info.role == wire::NodeRole::storage) found.push_back(heard);
    return found;
}

std::vector<wire::SeenStorage> Membership::seen_storages(Instant now, Span within) const {
    std::vector<wire::SeenStorage> seen;
    for (const auto& [address, heard] : heard_) {
        if (heard.info.role != wire::NodeRole::storage || !heard.direct || now - heard.last > within)
            continue;
        wire::SeenStorage one;
        one.who = heard.info;
        one.ago_ms = std::chrono::duration_cast<Span>(now - heard.last).count();
        one.storage_note = heard.storage_note;
        if (heard.storage_progress) one.__set_storage_progress(*heard.storage_progress);
        one.sequence = heard.sequence;
        seen.push_back(std::move(one));
    }
    return seen;
}

}  // namespace whinledge::control_plane
