// The calls by which a new version is judged.
#pragma once

#include "rollout_types.h"  // generated from idl/rollout.thrift
#include "rpc/call.hpp"

namespace whinledge::rollout {

inline constexpr int kRolloutProtocol = 1;

// From a proxy to a control process.
inline constexpr rpc::Call<wire::RolloutReport, wire::RolloutReportReply> kReportRollout{"rollout-report"};
// Between control processes.
inline constexpr rpc::Call<wire::RolloutExchange, wire::RolloutExchangeReply> kExchangeRollout{
    "rollout-exchange"};

}  // namespace whinledge::rollout
