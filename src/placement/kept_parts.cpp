#include "placement/kept_parts.hpp"

#include <algorithm>

namespace whinledge::placement {

namespace {

constexpr std::size_t kMostParts = 4096;  // of one server: bounds our own memory where parts are tiny

}  // namespace

void KeptParts::set_limit(std::int64_t tokens) {
    limit_ = tokens;
    shrink();
}

void KeptParts::use(std::span<const PromptPart> prompt) {
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) use(*part);
    shrink();
}

void KeptParts::use(const PromptPart& part) {
    const auto at = places_.find(part.id);
    if (at == places_.end()) {
        parts_.push_front(part);
        places_[part.id] = parts_.begin();
        tokens_ += part.tokens;
        return;
    }
    parts_.splice(parts_.begin(), parts_, at->second);
    tokens_ += std::max<std::int64_t>(0, part.tokens - at->second->tokens);  // a session's part grows
    at->second->tokens = std::max(at->second->tokens, part.tokens);
}

void KeptParts::forget(std::uint64_t part) {
    const auto at = places_.find(part);
    if (at == places_.end()) return;
    tokens_ -= at->second->tokens;
    parts_.erase(at->second);
    places_.erase(at);
}

std::int64_t KeptParts::kept(std::span<const PromptPart> prompt) const {
    std::int64_t tokens = 0;
    for (const PromptPart& part : prompt) {
        const auto at = places_.find(part.id);
        if (at == places_.end()) break;
        tokens += std::min(part.tokens, at->second->tokens);
        if (at->second->tokens < part.tokens) break;
    }
    return tokens;
}

void KeptParts::shrink() {
    while (!parts_.empty() && (tokens_ > limit_ || parts_.size() > kMostParts)) forget(parts_.back().id);
}

}  // namespace whinledge::placement
