// What a route makes of a request's target, host and headers, and of a redirect's Location. Pure functions.
// Whatever they are given, what they make holds no CR, LF or NUL: bytes that no target holds leave as
// triplets, and edits with a name or value that no header has (which Table::compile refuses) are left out.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "route/spec.hpp"
#include "route/table.hpp"

namespace whinledge::route {

// The target, path and query, that is sent on, if the route rewrites the path; else it is sent on as it came.
// Behind a replaced prefix stands the rest of the normalised path, after one slash (HTTPPathModifier's
// table);
// "/" if nothing is left. `query` is the text behind '?'; an empty one is left out.
std::string upstream_target(const PathRewrite& rewrite, const Found& found, std::string_view query);
// The Host that is sent on.
std::string_view upstream_host(const Route& route, std::string_view came);

// Where header fields are edited. Names are compared without case.
class HeaderSink {
public:
    virtual ~HeaderSink() = default;
    virtual void set(std::string_view name, std::string_view value) = 0;  // in the place of all of that name
    virtual void add(std::string_view name, std::string_view value) = 0;  // one more line
    virtual void remove(std::string_view name) = 0;                       // all of that name
};
class HeaderFields : public HeaderSink {
public:
    void set(std::string_view name, std::string_view value) override;
    void add(std::string_view name, std::string_view value) override;
    void remove(std::string_view name) override;

    std::vector<std::pair<std::string, std::string>> fields;
};
// All that set, then all that add, then all that remove (HTTPHeaderFilter), each kind in the file's order.
void edit(std::span<const HeaderEdit> edits, HeaderSink& headers);

// How a request came.
struct Arrival {
    std::string_view scheme;  // "http" or "https"
    std::uint16_t port = 0;   // the listener's
};
// A redirect's Location (RFC 9110 10.2.2, 15.4) as HTTPRequestRedirectFilter has it. The scheme and host are
// the redirect's, or as they came. The port is the redirect's; else that of its scheme, if it names one; else
// the listener's; 80 of http and 443 of https are not written. `path` and `query` as they came; the path is
// kept unless it is replaced. Without any host it is a path alone, with one slash at its start: "//x" would
// name a host.
std::string location(const Redirect& redirect, const Found& found, std::string_view path,
                     std::string_view query, Arrival arrival);

}  // namespace whinledge::route
