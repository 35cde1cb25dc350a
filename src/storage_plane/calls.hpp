// The remote calls that storage processes answer: turns and ledgers for the data plane, and repair among
// themselves.
#pragma once

#include "rpc/call.hpp"
#include "storage_types.h"  // generated from idl/storage.thrift

namespace whinledge::storage_plane {

// For the data plane; `begin-turn` and `end-turn` are answered once what they wrote is synced.
inline constexpr rpc::Call<wire::BeginTurnRequest, wire::BeginTurnReply> kBeginTurn{"begin-turn"};
inline constexpr rpc::Call<wire::EndTurnRequest, wire::EndTurnReply> kEndTurn{"end-turn"};
inline constexpr rpc::Call<wire::ReadTurnsRequest, wire::ReadTurnsReply> kReadTurns{"read-turns"};

// Between storage members.
inline constexpr rpc::Call<wire::DigestRequest, wire::DigestReply> kDigests{"digests"};
inline constexpr rpc::Call<wire::ChangesRequest, wire::ChangesReply> kChanges{"changes"};
inline constexpr rpc::Call<wire::FetchRequest, wire::FetchReply> kFetch{"fetch"};
inline constexpr rpc::Call<wire::StoreRequest, wire::StoreReply> kStore{"store"};

}  // namespace whinledge::storage_plane
