// The calls by which openings are shared.
#pragma once

#include "openings_types.h"  // generated from idl/openings.thrift
#include "rpc/call.hpp"

namespace whinledge::openings {

// From a proxy to a control process.
inline constexpr rpc::Call<wire::OpeningsRequest, wire::OpeningsReply> kTellOpenings{"openings"};
// Between control processes.
inline constexpr rpc::Call<wire::OpeningsSubtotal, wire::OpeningsSubtotalReply> kOpeningsSubtotal{
    "openings-subtotal"};

}  // namespace whinledge::openings
