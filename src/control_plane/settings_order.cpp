#include "control_plane/settings_order.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "serving/configuration.hpp"

namespace whinledge::control_plane {

std::int64_t digest_of(std::string_view body) {
    return static_cast<std::int64_t>(XXH64(body.data(), body.size(), 0));
}

OrderDecision decide(const wire::RegisterState& current, const SettingsOrder& order) {
    for (const wire::TakenChange& change : current.taken)
        if (change.version == order.version)
            return change.digest == order.digest && change.based_on == order.based_on
                       ? OrderDecision::taken_before
                       : OrderDecision::other_version;
    const bool trimmed = current.taken.size() >= kMostTakenChanges;
    const bool may_be_taken = order.based_on < order.version;  // versions rise
    if (trimmed && may_be_taken && order.version < current.taken.front().version)
        return OrderDecision::forgotten;
    if (order.based_on != current.version) return OrderDecision::other_version;
    if (order.version <= current.version) return OrderDecision::not_above;
    return OrderDecision::take;
}

int longest_keep_for_s(const wire::RegisterState& state) {
    if (state.__isset.longest_keep_for_s) return state.longest_keep_for_s;
    if (state.version == 0) return 0;
    const auto configuration = serving::parse_configuration(state.configuration);
    return configuration ? configuration.value()->longest_keep_for_s() : 0;
}

wire::RegisterState taken(const wire::RegisterState& current, const SettingsOrder& order) {
    wire::RegisterState next = current;
    next.__set_longest_keep_for_s(std::max(longest_keep_for_s(current), order.keep_for_s));
    next.version = order.version;
    next.configuration = order.body;
    wire::TakenChange change;
    change.version = order.version;
    change.based_on = order.based_on;
    change.digest = order.digest;
    next.taken.push_back(change);
    if (next.taken.size() > kMostTakenChanges)
        next.taken.erase(next.taken.begin(), next.taken.end() - kMostTakenChanges);
    return next;
}

std::optional<wire::RegisterState> OrderAttempt::apply(const wire::RegisterState& current) {
    last_ = decide(current, order_);
    if (last_ != OrderDecision::take) return std::nullopt;
    proposed_ = true;
    return taken(current, order_);
}

OrderAnswer OrderAttempt::answer(const consensus::RegisterResult<wire::RegisterState>& result) const {
    if (result) return OrderAnswer::acknowledged;
    if (result.error().failure != consensus::RegisterFailure::rejected) return OrderAnswer::unavailable;
    if (last_ == OrderDecision::taken_before) return OrderAnswer::acknowledged;
    if (last_ == OrderDecision::forgotten || proposed_) return OrderAnswer::unavailable;
    return last_ == OrderDecision::not_above ? OrderAnswer::not_above : OrderAnswer::other_version;
}

}  // namespace whinledge::control_plane
