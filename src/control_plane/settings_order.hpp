// The operator's order to replace the configuration, decided against the register's state. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "consensus/register_types.hpp"

namespace whinledge::control_plane {

struct SettingsOrder {
    std::int64_t based_on = 0;
    std::int64_t version = 0;
    std::int64_t digest = 0;  // of the body
    std::string body;
    int keep_for_s = 0;  // the longest of its routes, for turns
};

// The longest time for which a configuration that was taken keeps turns, in seconds.
int longest_keep_for_s(const wire::RegisterState& state);

std::int64_t digest_of(std::string_view body);

enum class OrderDecision {
    take,           // it is the next configuration
    taken_before,   // this same order was taken, now or earlier
    other_version,  // it builds on a version that is not the current one
    not_above,      // its version is not above the current one
    forgotten,      // older than all that are remembered: it may have been taken
};

// Changes remembered, so that an order that is repeated after many others is known again.
inline constexpr std::size_t kMostTakenChanges = 2000;

OrderDecision decide(const wire::RegisterState& current, const SettingsOrder& order);
// The state in which the order is taken.
wire::RegisterState taken(const wire::RegisterState& current, const SettingsOrder& order);

// What may be told of an order. `unavailable`: whether it was or will be taken is not known.
enum class OrderAnswer { acknowledged, other_version, not_above, unavailable };

// One call with an order, as a change of the register. A try whose accept round got no clear answer may yet
// be chosen: from then on only a success can be told for certain.
class OrderAttempt {
public:
    explicit OrderAttempt(SettingsOrder order) : order_(std::move(order)) {}

    const SettingsOrder& order() const { return order_; }
    // The register's transform.
    std::optional<wire::RegisterState> apply(const wire::RegisterState& current);
    OrderAnswer answer(const consensus::RegisterResult<wire::RegisterState>& result) const;
    // The newest decision.
    OrderDecision last() const { return last_; }

private:
    SettingsOrder order_;
    bool proposed_ = false;
    OrderDecision last_ = OrderDecision::other_version;
};

}  // namespace whinledge::control_plane
