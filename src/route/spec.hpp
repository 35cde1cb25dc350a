// What a route is, as a file or a cluster describes it, before it is compiled (route/table.hpp). Plain data;
// the terms and their precedence are those of Kubernetes' HTTPRoute (gateway.networking.k8s.io/v1).
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace whinledge::route {

using Millis = double;

enum class PathKind { exact, prefix, regex };  // prefix: by whole segments, "/a" holds "/a/b" and not "/ab"
enum class ValueKind { exact, regex, present };

struct PathMatch {
    PathKind kind = PathKind::prefix;
    std::string value = "/";
    bool operator==(const PathMatch&) const = default;
};
// Of a header (its name compared without case) or of a query parameter (compared with it).
struct ValueMatch {
    std::string name;
    ValueKind kind = ValueKind::exact;
    std::string value;
    bool operator==(const ValueMatch&) const = default;
};
// All that is given has to hold.
struct Match {
    PathMatch path;
    std::string method;  // empty: any
    std::vector<ValueMatch> headers;
    std::vector<ValueMatch> query;
    std::string request_class;  // of the platform profile's header; empty: any
    bool operator==(const Match&) const = default;
};

struct Backend {
    std::string pool;
    std::uint32_t weight = 1;  // 0: none of it; all 0: nobody, answered 503
    bool operator==(const Backend&) const = default;
};
// What makes a split stable: the same key goes to the same pool as long as the weights stay.
struct SplitKey {
    enum class From { header, query, cookie } from = From::header;
    std::string name;
    bool operator==(const SplitKey&) const = default;
};

struct HeaderEdit {
    enum class Kind { set, add, remove } kind = Kind::set;
    std::string name;
    std::string value;
    bool operator==(const HeaderEdit&) const = default;
};
// The whole path, or what took the place of the prefix that matched.
struct PathRewrite {
    enum class Kind { full, prefix } kind = Kind::full;
    std::string value;
    bool operator==(const PathRewrite&) const = default;
};
struct Redirect {
    std::string scheme, host;  // empty: as it came
    std::uint16_t port = 0;    // 0: the scheme's if one is given, else the listener's
    std::optional<PathRewrite> path;
    unsigned status = 302;  // 301, 302, 303, 307, 308
    bool operator==(const Redirect&) const = default;
};
struct FixedAnswer {
    unsigned status = 200;
    std::string content_type, body;
    bool operator==(const FixedAnswer&) const = default;
};

// How its requests are handled once a pool has been chosen.
struct Handling {
    Millis timeout = 15000;      // from the whole request, or its buffered part, to the answer's first byte
    Millis stream_idle = 30000;  // without a byte either way, once the answer has begun
    unsigned attempts = 4;       // at most, 1 to 4
    std::size_t request_limit = 1 << 20;  // bytes of a request's body
    std::size_t answer_limit = 0;         // bytes of an answer's body; 0: any
    std::size_t buffer = 64 << 10;        // bytes held of a body, each way; beyond them it is streamed
    // Classes of the pool by method. Of those not named: GET, HEAD and OPTIONS are safe, all else unsafe.
    std::vector<std::pair<std::string, std::string>> classes;
    std::string safe_class = "safe", unsafe_class = "unsafe", keyed_class;  // keyed: with Idempotency-Key;
                                                                            // empty: keys change nothing
    std::vector<unsigned> errors = {500, 502, 503, 504};  // statuses that count as failed attempts
    std::vector<unsigned> never_ran;  // of them, those that prove that the request never ran
    bool add_via = true, add_forwarded = false;
    bool operator==(const Handling&) const = default;
};

struct Route {
    std::string name;    // unique
    std::string origin;  // where it was described ("services.toml:41"), for what is said of it
    std::vector<std::string> listeners;  // empty: every one
    std::vector<std::string> hosts;      // exact or "*.example.org" (one label or more); empty: any
    std::vector<Match> matches;          // any of them; empty: all requests
    // Exactly one of the three.
    std::vector<Backend> backends;
    std::optional<Redirect> redirect;
    std::optional<FixedAnswer> answer;

    std::optional<SplitKey> split_by;
    std::vector<HeaderEdit> request_headers, answer_headers;
    std::string rewrite_host;  // empty: as it came
    std::optional<PathRewrite> rewrite_path;
    Handling handling;
    bool operator==(const Route&) const = default;
};

}  // namespace whinledge::route
