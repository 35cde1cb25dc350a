#include "storage_plane/log_record.hpp"

#include <cstring>

#include "rpc/codec.hpp"

namespace whinledge::storage_plane {
namespace {

enum class Kind : char { turn = 1, ledger = 2, map = 3, filled = 4 };

template <class Struct>
std::string encode(Kind kind, const Struct& value) {
    std::string payload(1, static_cast<char>(kind));
    payload += rpc::encode_body(value);
    return payload;
}

template <class Struct>
std::optional<LogRecord> decode(std::string_view body) {
    auto decoded = rpc::decode_body<Struct>(std::string(body));
    if (!decoded) return std::nullopt;
    return LogRecord(std::move(decoded.value()));
}

std::optional<LogRecord> decode_mark(std::string_view body) {
    FilledMark mark;
    if (body.size() != sizeof mark.identity) return std::nullopt;
    std::memcpy(&mark.identity, body.data(), body.size());
    return LogRecord(mark);
}

}  // namespace

std::string encode_record(const wire::TurnRecord& record) { return encode(Kind::turn, record); }
std::string encode_record(const wire::ProgramLedger& ledger) { return encode(Kind::ledger, ledger); }
std::string encode_record(const wire::StorageMap& map) { return encode(Kind::map, map); }

std::string encode_record(FilledMark mark) {
    std::string payload(1, static_cast<char>(Kind::filled));
    payload.append(reinterpret_cast<const char*>(&mark.identity), sizeof mark.identity);
    return payload;
}

std::string encode_promise(std::int64_t epoch) {
    wire::StorageMap promise;
    promise.epoch = epoch;
    return encode_record(promise);
}

std::string_view body_of(std::string_view payload) { return payload.substr(payload.empty() ? 0 : 1); }

std::optional<LogRecord> decode_record(std::string_view payload) {
    if (payload.empty()) return std::nullopt;
    const std::string_view body = body_of(payload);
    switch (static_cast<Kind>(payload.front())) {
        case Kind::turn:
            return decode<wire::TurnRecord>(body);
        case Kind::ledger:
            return decode<wire::ProgramLedger>(body);
        case Kind::map:
            return decode<wire::StorageMap>(body);
        case Kind::filled:
            return decode_mark(body);
    }
    return std::nullopt;
}

}  // namespace whinledge::storage_plane
