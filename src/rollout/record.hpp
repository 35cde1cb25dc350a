// The record of a rollout in the register: how an order begins one, and the steps by which it moves on. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "servers_list/version_id.hpp"

namespace whinledge::rollout {

using Phase = wire::RolloutPhase::type;

inline bool is_open(const wire::Rollout& rollout) {
    return rollout.phase == Phase::trial || rollout.phase == Phase::shifting;
}

// The newest rollout of a service; null: there has been none.
const wire::Rollout* find_rollout(const wire::RegisterState& state, std::string_view service);

struct Order {
    std::string service;
    std::string new_version;
    std::int64_t within_ms = 0;
};

enum class OrderDecision {
    begin,
    taken,            // the same order has been taken before
    other_under_way,  // a rollout of the service to another version has not ended
    rejected_before,  // an earlier rollout to this version was reverted
    runs_already,     // the service runs this version
};
// `listed`: versions of the service's servers on the platform's list; empty: not known.
OrderDecision decide_order(const wire::RegisterState& current, const Order& order,
                           const std::vector<servers_list::VersionId>& listed);
// The state in which the order has been taken.
wire::RegisterState begun(const wire::RegisterState& current, const Order& order,
                          const std::vector<servers_list::VersionId>& listed);

// One step of a rollout.
struct Step {
    std::int64_t number = 0;  // of the rollout
    Phase from = Phase::trial;
    Phase to = Phase::trial;
    std::int64_t elapsed_ms = 0;
    std::int64_t fencing = 0;
    std::string evidence;
};
// None: the rollout is another, has moved on, or another holder's step stands with a higher fencing number.
std::optional<wire::RegisterState> stepped(const wire::RegisterState& current, const Step& step);

}  // namespace whinledge::rollout
