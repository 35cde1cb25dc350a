// The operator's order to bring in a new version of a service: read, checked, decided. Pure.
#pragma once

#include <boost/outcome/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "rollout/record.hpp"

namespace whinledge::control_plane {

struct RolloutOrderError {
    std::string message;  // names the field and the remedy
};

template <class T>
using RolloutOrderResult =
    boost::outcome_v2::result<T, RolloutOrderError, boost::outcome_v2::policy::all_narrow>;

// The body of POST /rollouts/begin.
RolloutOrderResult<rollout::Order> parse_rollout_order(std::string_view body);

// What became of an order that was tried against the register's state, perhaps several times.
class RolloutAttempt {
public:
    enum class Outcome { undecided, begun, taken, no_configuration, unknown_service, conflict };

    RolloutAttempt(rollout::Order order, std::vector<servers_list::VersionId> listed)
        : order_(std::move(order)), listed_(std::move(listed)) {}

    // The state with the order in it; none: it isn't to be changed.
    std::optional<wire::RegisterState> apply(const wire::RegisterState& current);

    const rollout::Order& order() const { return order_; }
    Outcome outcome() const { return outcome_; }
    rollout::OrderDecision decision() const { return decision_; }  // behind Outcome::conflict

private:
    rollout::Order order_;
    std::vector<servers_list::VersionId> listed_;
    Outcome outcome_ = Outcome::undecided;
    rollout::OrderDecision decision_ = rollout::OrderDecision::begin;
};

// As operators read it: serving, finished or reverted.
std::string operator_state(const wire::Rollout& rollout);
// Of each phase, for people.
std::string state_name(rollout::Phase phase);

// Versions of a service's servers, each once.
std::vector<servers_list::VersionId> listed_versions(const wire::ServersList& list, std::string_view service);

}  // namespace whinledge::control_plane
