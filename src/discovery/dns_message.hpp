// DNS messages: RFC 1035, with AAAA (RFC 3596), SRV (RFC 2782) and EDNS0 (RFC 6891). No I/O.
//
// Names are text without the last dot; the root is "". Bytes of a label that are no printing ASCII, dots and
// backslashes in it are written \DDD. They are compared without regard to case.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace whinledge::dns {

struct Error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

enum class Type : std::uint16_t { a = 1, cname = 5, aaaa = 28, srv = 33, opt = 41 };
constexpr std::uint16_t kInternet = 1;    // the class
constexpr std::uint16_t kUdpSize = 1232;  // bytes: crosses every usual path in one piece (DNS flag day 2020)
constexpr int kLongestChain = 8;          // CNAMEs

enum class Rcode : std::uint16_t { ok = 0, format = 1, server_failure = 2, no_such_name = 3, refused = 5 };

using A = std::array<std::uint8_t, 4>;
using Aaaa = std::array<std::uint8_t, 16>;
struct Cname {
    std::string name;
    bool operator==(const Cname&) const = default;
};
struct Srv {
    std::uint16_t priority = 0, weight = 0, port = 0;
    std::string target;
    bool operator==(const Srv&) const = default;
};
using Raw = std::vector<std::uint8_t>;  // of any other type

struct Question {
    std::string name;
    Type type = Type::a;
    std::uint16_t klass = kInternet;
    bool operator==(const Question&) const = default;
};
struct Record {
    std::string name;
    Type type = Type::a;
    std::uint16_t klass = kInternet;
    std::uint32_t ttl = 0;  // seconds
    std::variant<Raw, A, Aaaa, Cname, Srv> data;
    bool operator==(const Record&) const = default;
};
struct Edns {
    std::uint16_t udp_size = kUdpSize;
    std::uint8_t version = 0;
    std::uint16_t flags = 0;
    Raw options;
    bool operator==(const Edns&) const = default;
};
struct Message {
    std::uint16_t id = 0;
    bool response = false, authoritative = false, truncated = false;
    bool recursion_desired = true, recursion_available = false;
    std::uint8_t opcode = 0;
    Rcode rcode = Rcode::ok;  // with the upper bits that EDNS has
    std::vector<Question> questions;
    std::vector<Record> answers, authority, additional;
    std::optional<Edns> edns;
    bool operator==(const Message&) const = default;
};

// Throws Error where the bytes are no whole message, or one with bytes left over.
Message decode(std::span<const std::uint8_t> bytes);
// Without compression. Throws Error for what no message can hold.
std::vector<std::uint8_t> encode(const Message& message);

bool same_name(std::string_view a, std::string_view b);
// In small letters and without a last dot; throws Error where it is no name of a host or a service.
std::string host_name(std::string_view text);

// What a message answers to a question, through its CNAMEs.
struct Answer {
    std::vector<Record> records;  // of the type asked for; none: there are none
    std::uint32_t ttl = 0;        // the smallest of them and of the CNAMEs, seconds; with records only
    bool exists = true;           // the name
};
// Throws Error where the message is not an answer to it, or tells of a failure (an rcode, a chain that is too
// long or goes round).
Answer answer_to(const Message& message, const Question& question);

}  // namespace whinledge::dns
