// What is wrong with a set of routes.
#pragma once

#include <string>

namespace whinledge::route {

struct Fault {
    enum class Kind {
        name,         // of the route: none, or not unique
        listener,     // unknown
        pool,         // unknown
        host,         // neither a host nor "*.", then one
        path,         // of a match: not a path
        regex,        // doesn't compile, is beyond a bound, or expressions aren't built in
        method,       // not a token (RFC 9110 9.1)
        field,        // a header's, query parameter's or cookie's name, or its value
        action,       // none, or several, or something that goes with another one only
        weight,       // their sum is beyond 2^32 - 1
        rewrite,      // of a path or host
        redirect,     // its scheme, host, path or status
        answer,       // its status, type or body
        handling,     // a number out of its range
        bound,        // more than a table takes
        unreachable,  // no request gets there: routes before it take them all
    } kind;
    std::string origin, route;  // Route::origin and Route::name
    std::string what;           // "matches[1].path: is not ..."
};

// "services.toml:41: route "shop": hosts[0]: ...", in one line: bytes that aren't printable ASCII as
// triplets.
std::string to_text(const Fault& fault);

}  // namespace whinledge::route
