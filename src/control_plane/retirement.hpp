// The operator's order to empty a storage machine, decided against the register's state. Pure.
#pragma once

#include <cstdint>
#include <set>
#include <string_view>

#include "control_types.h"  // generated from idl/control.thrift
#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::control_plane {

enum class RetirementDecision {
    begin,
    under_way,
    finished,
    unknown,
    too_few,  // those that would remain, whoever of them is there, don't bear a loss
    not_yet   // enough would remain, but some of them are not filled, or not there
};

struct RetirementNeeds {
    failure_domain::LossTolerance survive{};  // that those who remain have to bear
    std::set<std::int64_t> voting;            // identities of the storage processes that are there and vote
};
RetirementDecision decide_retirement(const wire::RegisterState& current, std::string_view node,
                                     const RetirementNeeds& needs);
// The state in which the node takes no new records and is being emptied.
wire::RegisterState retiring(const wire::RegisterState& current, std::string_view node);

enum class RetirementProgress { serving, finished, unknown };
RetirementProgress retirement_progress(const wire::RegisterState& current, std::string_view node);

}  // namespace whinledge::control_plane
