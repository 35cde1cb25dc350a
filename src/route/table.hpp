// Routes, compiled: which one a request takes. Immutable; shared by whoever still handles a request by it.
//
// Of all matches that hold for a request, the first in this order is taken, as HTTPRoute has it
// (gateway.networking.k8s.io/v1, HTTPRouteSpec.hostnames and HTTPRouteRule.matches):
//   1. host: exact, then the longest wildcard, then routes without hosts;
//   2. path: exact, then the longest prefix ("/a/" is as long as "/a"). HTTPRoute leaves the place of regular
//      expressions open: here one counts as a prefix as long as the literal text it starts with
//      (literal_length), and precedes that prefix. "/v[0-9]+/x" comes before "/" and after "/v1";
//   3. with a method before without;
//   4. most header conditions (a request class counts as one);
//   5. most conditions on query parameters;
//   6. the file's order, of routes and then of matches.
// A host whose routes don't hold for a request leaves it to less specific hosts: the order is one of matches
// that hold, and nothing in HTTPRoute ends it at a host.
// Of several conditions of a match on one name the first counts (HTTPHeaderMatch.name).
//
// Paths are compared normalised (path.hpp); a path that servers can read in several ways has to lead to one
// route in each of them, or the request is bad. Expressions have to match the whole text: of the normalised
// path, of a header's value (lines of one name joined with ", ", RFC 9110 5.3), of a parameter's first value,
// decoded.
//
// A lookup costs a hash probe for each level of the host's name and each segment of the path at which the
// table has anything. It does not grow with the number of routes, but for two lists that are tried in order:
// a host's expressions, and the matches under one host and path that differ in their conditions only. It
// doesn't allocate, but for: a Scratch that grows to its longest path, headers of several lines, and
// expressions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "route/fault.hpp"
#include "route/host.hpp"
#include "route/regex.hpp"
#include "route/request.hpp"
#include "route/spec.hpp"

namespace whinledge::route {

constexpr std::size_t kMostEntries = 1 << 20;  // matches times hosts, over all sets of listeners

// A pool by its place among the names given to compile, and its part of a split.
struct Share {
    std::uint32_t pool = 0;
    std::uint32_t weight = 0;
    std::uint64_t seed = 0;  // of the pool's name: what its keys are hashed with
};

// Memory that lookups use again. What Found points into holds until the next lookup with it.
struct Scratch {
    HostText host;
    std::string path, other, value;
};

struct Found {
    enum class Kind {
        route,
        none,         // answered 404
        bad_request,  // answered 400: a host or path that can't be read, or that can be read in two ways
    } kind = Kind::none;
    const Route* route = nullptr;
    const Match* match = nullptr;   // of the route; a route without matches has one for all paths
    std::span<const Share> shares;  // the route's pools, each once, in their order
    std::string_view host;          // read_host's
    std::string_view path;          // normalised
    std::size_t prefix_length = 0;  // bytes of `path` that a prefix took, without a slash at its end
};

class Index;  // index.hpp
struct Rule;
struct PathLook;

class Table {
public:
    struct Compiled {
        std::shared_ptr<const Table> table;  // null if any fault is of another kind than `unreachable`
        std::vector<Fault> faults;           // all of them
    };
    // `regexes`: null where they aren't built in, which makes each of them a fault.
    //
    // Unreachable is a route for each of whose matches, at each of its listeners and hosts, a match of higher
    // precedence at the same listener and host is proved to hold whenever it does. Proved is: both have the
    // same path (kind and normalised text), and the same conditions, or for at most 6 conditions, some that
    // ask for the presence of a name where the later one asks for a value of it. Not proved, though it may be
    // so: that an expression covers another path or value, and that several matches cover one together.
    static Compiled compile(std::vector<Route> routes, std::span<const std::string> listeners,
                            std::span<const std::string> pools, RegexMaker regexes = nullptr);
    ~Table();

    Found find(const RequestView& request, Scratch& scratch) const;
    const std::vector<Route>& routes() const { return routes_; }

private:
    friend class Compiler;
    Table();
    Found read(const RequestView& request, const Index& index, PathLook look, Scratch& scratch) const;

    std::vector<Route> routes_;
    std::vector<std::unique_ptr<const Regex>> regexes_;
    std::vector<Rule> rules_;                            // in the file's order
    std::vector<std::vector<Share>> shares_;             // by route
    std::vector<std::shared_ptr<const Index>> indexes_;  // by listener; alike ones share theirs
};

}  // namespace whinledge::route
