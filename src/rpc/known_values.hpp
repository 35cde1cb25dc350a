// The boundary at which messages are checked for numbers of enumerations that this version does not know.
//
// A field that holds an enumeration is an i32 in idl/*.thrift, so that whatever number comes can be held and
// copied. decode_body() refuses a message that has_known_values() denies; behind it code may rely on such a
// field being one of the enumeration's names, and known_value() gives it its type. Each structure that holds
// an enumeration, itself or within, has an overload of has_known_values():
// tests/tier/rpc/known_values_test.cpp reads the files and fails where one is missing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "control_types.h"   // generated from idl/control.thrift
#include "overlay_types.h"   // generated from idl/overlay.thrift
#include "register_types.h"  // generated from idl/register.thrift
#include "rollout_types.h"   // generated from idl/rollout.thrift
#include "storage_types.h"   // generated from idl/storage.thrift

namespace whinledge::rpc {

// ---- Enumerations
// -------------------------------------------------------------------------------------------

// The largest number of each; they are numbered from 0 without gaps.
constexpr std::int32_t last_number(wire::StorageState::type) { return wire::StorageState::retiring; }
constexpr std::int32_t last_number(wire::RolloutPhase::type) { return wire::RolloutPhase::reverted; }
constexpr std::int32_t last_number(wire::NodeRole::type) { return wire::NodeRole::storage; }
constexpr std::int32_t last_number(wire::AcceptorStatus::type) { return wire::AcceptorStatus::not_stored; }
constexpr std::int32_t last_number(wire::EntryState::type) { return wire::EntryState::cancelled; }
constexpr std::int32_t last_number(wire::StorageStatus::type) { return wire::StorageStatus::conflict; }

// `Enum`: the `type` of a generated enumeration, such as wire::EntryState::type.
template <class Enum>
constexpr bool is_known(std::int32_t number) {
    return number >= 0 && number <= last_number(Enum());
}

// The typed value of a field; nothing where this version does not know its number.
template <class Enum>
constexpr std::optional<Enum> known_value(std::int32_t number) {
    if (!is_known<Enum>(number)) return std::nullopt;
    return static_cast<Enum>(number);
}

// ---- Messages
// -----------------------------------------------------------------------------------------------

// Of structures without any enumeration.
template <class Message>
bool has_known_values(const Message&) {
    return true;
}

template <class Message>
bool all_known(const std::vector<Message>& messages);

inline bool has_known_values(const wire::StorageMember& member) {
    return is_known<wire::StorageState::type>(member.state);
}
inline bool has_known_values(const wire::StorageMap& map) { return all_known(map.members); }
inline bool has_known_values(const wire::Rollout& rollout) {
    return is_known<wire::RolloutPhase::type>(rollout.phase);
}
inline bool has_known_values(const wire::RegisterState& state) {
    return has_known_values(state.storage) && all_known(state.rollouts);
}
inline bool has_known_values(const wire::NodeInfo& info) { return is_known<wire::NodeRole::type>(info.role); }
inline bool has_known_values(const wire::WatchRequest& request) { return has_known_values(request.who); }
inline bool has_known_values(const wire::WatchReply& reply) {
    return has_known_values(reply.state) && all_known(reply.controls);
}
inline bool has_known_values(const wire::SeenStorage& seen) { return has_known_values(seen.who); }
inline bool has_known_values(const wire::HelloRequest& request) {
    return has_known_values(request.who) && all_known(request.storages);
}
inline bool has_known_values(const wire::HelloReply& reply) {
    return has_known_values(reply.who) && all_known(reply.controls);
}

inline bool has_known_values(const wire::RolloutReport& report) {
    return is_known<wire::RolloutPhase::type>(report.phase);
}
inline bool has_known_values(const wire::RolloutExchange& exchange) { return all_known(exchange.reports); }

inline bool has_known_values(const wire::Entry& entry) { return has_known_values(entry.state); }
inline bool has_known_values(const wire::ChosenValue& value) { return has_known_values(value.entry); }
inline bool has_known_values(const wire::AcceptRequest& request) { return has_known_values(request.entry); }
inline bool has_known_values(const wire::AcceptorReply& reply) {
    return is_known<wire::AcceptorStatus::type>(reply.status) && has_known_values(reply.entry) &&
           has_known_values(reply.newer);
}
inline bool has_known_values(const wire::ShareRequest& request) {
    return has_known_values(request.who) && has_known_values(request.value);
}
inline bool has_known_values(const wire::ShareReply& reply) {
    return has_known_values(reply.who) && has_known_values(reply.value);
}
inline bool has_known_values(const wire::AcceptorRecord& record) {
    return has_known_values(record.installed) && has_known_values(record.entry);
}

inline bool has_known_values(const wire::LedgerEntry& entry) {
    return is_known<wire::EntryState::type>(entry.state);
}
inline bool has_known_values(const wire::ProgramLedger& ledger) { return all_known(ledger.entries); }
inline bool has_known_values(const wire::BeginTurnReply& reply) {
    return is_known<wire::StorageStatus::type>(reply.status) && all_known(reply.entries);
}
inline bool has_known_values(const wire::EndTurnRequest& request) { return has_known_values(request.entry); }
inline bool has_known_values(const wire::EndTurnReply& reply) {
    return is_known<wire::StorageStatus::type>(reply.status);
}
inline bool has_known_values(const wire::ReadTurnsReply& reply) {
    return is_known<wire::StorageStatus::type>(reply.status);
}
inline bool has_known_values(const wire::DigestReply& reply) {
    return is_known<wire::StorageStatus::type>(reply.status);
}
inline bool has_known_values(const wire::ChangesReply& reply) {
    return is_known<wire::StorageStatus::type>(reply.status) && all_known(reply.ledgers);
}
inline bool has_known_values(const wire::FetchReply& reply) {
    return is_known<wire::StorageStatus::type>(reply.status) && all_known(reply.ledgers);
}
inline bool has_known_values(const wire::StoreRequest& request) { return all_known(request.ledgers); }
inline bool has_known_values(const wire::StoreReply& reply) {
    return is_known<wire::StorageStatus::type>(reply.status);
}

template <class Message>
bool all_known(const std::vector<Message>& messages) {
    return std::all_of(messages.begin(), messages.end(),
                       [](const Message& message) { return has_known_values(message); });
}

}  // namespace whinledge::rpc
