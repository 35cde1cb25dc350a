// Which pool an LDAP operation goes to, of which class it is there, and what results mean. Pure: no I/O, no
// clock. Immutable once compiled; an operation keeps the table that it began with.
//
// Of all routes that hold for an operation the first in this order is taken: the longest suffix; with
// operations before without; with identities before without; the file's order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ldap_codec/message.hpp"

namespace whinledge::ldap {

using Millis = double;

struct Handling {
    Millis timeout = 15000;         // to the final response, or the first one that is passed on
    Millis stream_idle = 30000;     // without a byte, once entries are passed on
    unsigned attempts = 4;          // at most, 1 to 4
    std::size_t buffer = 16 << 10;  // bytes of entries that are held back, so that the search may be repeated
    // Names of the pool's classes by operation. Of those not named: search and compare are safe, bind too
    // (a bind that is repeated counts twice against a wrong password, and changes nothing else), the rest
    // unsafe.
    std::vector<std::pair<Op, std::string>> classes;
    std::vector<std::pair<std::string, std::string>> extended;  // by OID; others are unsafe
    std::string safe_class = "safe", unsafe_class = "unsafe";
    std::vector<std::int32_t> errors = {unavailable};  // results that count as failed attempts
    // Of results, those that prove that nothing ran, where they are the first response (RFC 4511, A.2).
    std::vector<std::int32_t> never_ran = {busy};
    bool operator==(const Handling&) const = default;
};

struct Route {
    std::string name;
    std::string origin;                  // where it was described
    std::vector<std::string> listeners;  // empty: every one
    std::vector<std::string> suffixes;   // names; empty: any
    std::vector<Op> operations;          // empty: all
    // Names that the client has to be bound as, or under; "anonymous"; empty: any.
    std::vector<std::string> identities;
    std::string pool;
    Handling handling;
    bool operator==(const Route&) const = default;
};

struct Fault {
    std::string route, what;
    bool operator==(const Fault&) const = default;
};

// What of an operation routes ask for.
struct Asked {
    std::size_t listener = 0;  // by its place among the names given to compile
    Op op = Op::search;
    std::string_view dn;        // normal
    std::string_view identity;  // normal; empty: anonymous
};

class Routes {
public:
    struct Compiled;
    static Compiled compile(std::vector<Route> routes, std::span<const std::string> listeners);
    // Null: nobody has such an operation. Costs a hash for each level of the name, and the routes that have
    // the same suffix, in order.
    const Route* find(const Asked& asked) const;
    const std::vector<Route>& all() const { return routes_; }

private:
    struct Rule {
        std::size_t route;
        std::vector<bool> listeners;  // empty: all
        std::vector<Op> operations;
        std::vector<std::string> identities;  // normal
        bool anonymous = false;
        bool holds(const Asked& asked) const;
    };
    std::vector<Route> routes_;
    std::unordered_map<std::string, std::vector<Rule>> by_suffix_;
};
struct Routes::Compiled {
    Routes routes;
    std::vector<Fault> faults;
};

// The name of its class.
const std::string& class_of(const Request& request, const Handling& how);

// What a final result means for the attempt. `first`: nothing of its response has come before.
enum class Meaning { answer, error, never_ran };
Meaning meaning_of(std::int32_t code, bool first, const Handling& how);

// What binds an operation to one server connection, beyond its own end.
enum class Tie {
    none,
    begins,     // the next operation of its kind has to go the same way: a first page, a transaction's start
    continues,  // it has to go where the one before it went
    alone,      // it has a connection of its own until it ends: persistent search, refreshAndPersist
};
Tie tie_of(const Message& message, const Request& request);
// Whether such a final response ends what was begun: the last page, a transaction's end.
bool unties(const Message& response, const Request& request);

}  // namespace whinledge::ldap
