// LDAP messages (RFC 4511): where one ends, what it is, and what of it the balancer has to know. Everything
// else goes on byte for byte under another message id. Without I/O; nothing throws but std::bad_alloc.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ldap_codec/ber.hpp"

namespace whinledge::ldap {

using MessageId = std::int32_t;  // 1 to 2^31 - 1; 0 of what a server says unasked

// The operation's tag, with its class and form.
enum class Op : std::uint8_t {
    bind = 0x60,
    bind_response = 0x61,
    unbind = 0x42,
    search = 0x63,
    entry = 0x64,
    search_done = 0x65,
    reference = 0x73,
    modify = 0x66,
    modify_response = 0x67,
    add = 0x68,
    add_response = 0x69,
    remove = 0x4a,
    remove_response = 0x6b,
    rename = 0x6c,
    rename_response = 0x6d,
    compare = 0x6e,
    compare_response = 0x6f,
    abandon = 0x50,
    extended = 0x77,
    extended_response = 0x78,
    intermediate = 0x79,
};
bool is_request(Op op);
// The final response that a request has; none for unbind and abandon.
std::optional<Op> response_of(Op request);
const char* name_of(Op op);

// Result codes that we make or judge by (RFC 4511, 4.1.9; RFC 3909; RFC 4370).
enum Code : std::int32_t {
    success = 0,
    operations_error = 1,
    protocol_error = 2,
    time_limit_exceeded = 3,
    compare_false = 5,
    compare_true = 6,
    auth_method_not_supported = 7,
    stronger_auth_required = 8,
    admin_limit_exceeded = 11,
    unavailable_critical_extension = 12,
    confidentiality_required = 13,
    sasl_bind_in_progress = 14,
    no_such_object = 32,
    invalid_credentials = 49,
    busy = 51,
    unavailable = 52,
    unwilling_to_perform = 53,
    other = 80,
    canceled = 118,
    no_such_operation = 119,
    too_late = 120,
    cannot_cancel = 121,
    authorization_denied = 123,
};
std::optional<std::int32_t> code_named(std::string_view name);
std::string name_of_code(std::int32_t code);

namespace oid {
inline constexpr std::string_view notice_of_disconnection = "1.3.6.1.4.1.1466.20036";
inline constexpr std::string_view start_tls = "1.3.6.1.4.1.1466.20037";
inline constexpr std::string_view cancel = "1.3.6.1.1.8";                  // RFC 3909
inline constexpr std::string_view who_am_i = "1.3.6.1.4.1.4203.1.11.3";    // RFC 4532
inline constexpr std::string_view start_transaction = "1.3.6.1.1.21.1";    // RFC 5805
inline constexpr std::string_view end_transaction = "1.3.6.1.1.21.3";      // RFC 5805
inline constexpr std::string_view in_transaction = "1.3.6.1.1.21.2";       // control of RFC 5805
inline constexpr std::string_view paged = "1.2.840.113556.1.4.319";        // control of RFC 2696
inline constexpr std::string_view persistent = "2.16.840.1.113730.3.4.3";  // draft-ietf-ldapext-psearch
inline constexpr std::string_view sync = "1.3.6.1.4.1.4203.1.9.1.1";       // control of RFC 4533
inline constexpr std::string_view proxied = "2.16.840.1.113730.3.4.18";    // control of RFC 4370
}  // namespace oid

// What a message is held to, before memory is taken for it.
struct Bounds {
    std::size_t message = 1 << 20;  // bytes, with its head
    int depth = 64;                 // of filters within filters
    std::size_t elements = 10000;   // attributes, values, parts of a filter, of one message in all
    std::size_t controls = 16;
};

// Where the first message of `bytes` ends (RFC 4511, 4.1.1 and 5.1).
struct Framed {
    enum class Found { more, whole, fault } found = Found::more;
    std::size_t size = 0;         // whole: its bytes. more: those that are needed, as far as that can be told
    const char* fault = nullptr;  // what is wrong
};
Framed frame(std::string_view bytes, std::size_t most);

struct Control {
    std::string_view oid;
    bool critical = false;
    std::optional<std::string_view> value;
};

// Points into the bytes that it was read from.
struct Message {
    MessageId id = 0;
    Op op = Op::unbind;
    std::string_view body;   // the operation's contents
    std::string_view tail;   // the operation and the controls, as they came
    std::string_view inner;  // of the controls, what stands within their sequence
    std::string_view whole_op;
    std::vector<Control> controls;

    const Control* control(std::string_view oid) const;
};
// Of a whole message. The text tells what is wrong with it.
using Read = std::variant<Message, const char*>;
Read read_message(std::string_view bytes, const Bounds& bounds);

// What a request asks for, as far as it matters here.
struct Request {
    Op op = Op::unbind;
    std::string_view dn;  // base of a search; entry of the others; name of a bind
    // Search.
    std::int32_t scope = 0, time_limit = 0;  // seconds; 0: none
    // Bind.
    std::int32_t version = 3;
    bool simple = false;
    std::string_view credentials, mechanism;  // of simple; of SASL
    // Extended.
    std::string_view oid;
    std::optional<std::string_view> value;
    // Abandon; cancel.
    MessageId target = 0;
};
using ReadRequest = std::variant<Request, const char*>;
// Checks all of the request against the standard's syntax and the bounds.
ReadRequest read_request(const Message& message, const Bounds& bounds);

// A response, checked likewise.
struct Response {
    std::int32_t code = 0;  // of those that have one
    bool final = false;     // no entry, reference or intermediate response
    std::string_view oid;   // of extended and intermediate ones
};
using ReadResponse = std::variant<Response, const char*>;
ReadResponse read_response(const Message& message, const Bounds& bounds);

// The cookie of a paged-results control's value (RFC 2696): of a request, what its server has to know again;
// of an answer, empty at the end. None: no such value.
std::optional<std::string_view> paged_cookie(std::string_view value);

// ---- Writing

// A message of that id around an operation and its controls.
Bytes with_id(MessageId id, std::string_view tail);
// A final response to that kind of request, with a message for people. Code, matched DN (empty), text.
Bytes result_tail(Op response, std::int32_t code, std::string_view text, std::string_view oid = {});
Bytes notice(std::int32_t code, std::string_view text);  // of disconnection (4.4.1), with its id
Bytes abandon_tail(MessageId target);
Bytes bind_tail(std::string_view dn, std::string_view password);
Bytes extended_tail(std::string_view oid);
// The request with the proxied authorization control (RFC 4370) behind its own controls; critical, so that a
// server that does not know it does nothing. `dn` empty: anonymous.
Bytes proxied_tail(const Message& message, std::string_view dn);

}  // namespace whinledge::ldap
