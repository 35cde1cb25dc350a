#include "openings/newest_parts.hpp"

#include <utility>

namespace whinledge::openings {

NewestParts::Taken NewestParts::take(std::uint64_t teller, std::uint64_t sequence, Traffic traffic,
                                     Millis now) {
    const auto known = parts_.find(teller);
    if (known == parts_.end()) {
        if (parts_.size() >= most_) return Taken::no;
        parts_.emplace(teller, Part{sequence, now, std::move(traffic)});
        return Taken::newcomer;
    }
    if (sequence <= known->second.sequence) return Taken::no;
    known->second = {sequence, now, std::move(traffic)};
    return Taken::newer;
}

void NewestParts::drop_older(std::uint64_t teller, std::uint64_t sequence) {
    const auto known = parts_.find(teller);
    if (known != parts_.end() && known->second.sequence < sequence) parts_.erase(known);
}

std::uint64_t NewestParts::sequence_of(std::uint64_t teller) const {
    const auto known = parts_.find(teller);
    return known == parts_.end() ? 0 : known->second.sequence;
}

void NewestParts::expire(Millis now) {
    std::erase_if(parts_, [&](const auto& each) { return now - each.second.at > holds_; });
}

void NewestParts::add_to(TrafficSum& sum) const {
    for (const auto& [teller, part] : parts_) sum.add(part.traffic);
}

}  // namespace whinledge::openings
