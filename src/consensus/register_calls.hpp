// The register's remote calls.
#pragma once

#include "register_types.h"  // generated from idl/register.thrift
#include "rpc/call.hpp"

namespace whinledge::consensus {

inline constexpr rpc::Call<wire::PrepareRequest, wire::AcceptorReply> kPrepare{"register.prepare"};
inline constexpr rpc::Call<wire::AcceptRequest, wire::AcceptorReply> kAccept{"register.accept"};
inline constexpr rpc::Call<wire::QueryRequest, wire::AcceptorReply> kQuery{"register.query"};
inline constexpr rpc::Call<wire::ShareRequest, wire::ShareReply> kShare{"register.share"};

}  // namespace whinledge::consensus
