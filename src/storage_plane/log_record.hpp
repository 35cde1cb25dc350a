// What a member writes to its log: one byte that says what follows, then a Thrift compact structure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "control_types.h"  // generated from idl/*.thrift
#include "storage_types.h"

namespace whinledge::storage_plane {

// All that this identity should hold was there; identity 0: not any more.
struct FilledMark {
    std::int64_t identity = 0;
};

// A map without members says only that its epoch was promised: callers with older ones are refused.
using LogRecord = std::variant<wire::TurnRecord, wire::ProgramLedger, wire::StorageMap, FilledMark>;

std::string encode_record(const wire::TurnRecord& record);
std::string encode_record(const wire::ProgramLedger& ledger);
std::string encode_record(const wire::StorageMap& map);
std::string encode_record(FilledMark mark);
std::string encode_promise(std::int64_t epoch);

// Absent: of a kind or a form that this version does not know.
std::optional<LogRecord> decode_record(std::string_view payload);
// The structure alone, as it stands behind the first byte of a payload.
std::string_view body_of(std::string_view payload);

}  // namespace whinledge::storage_plane
