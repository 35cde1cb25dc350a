// Hosts: of requests (RFC 9110 7.2, RFC 3986 3.2.2) and of routes. Pure functions.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace whinledge::route {

constexpr std::size_t kLongestHost = 253;  // bytes of a name, its last dot left out (RFC 1035 2.3.4)
constexpr std::size_t kLongestLabel = 63;
using HostText = std::array<char, kLongestHost + 1>;

// The host of a request's Host or authority, for comparison: in lower case, without its port (digits, at most
// 65535, or none after the colon) and without the dot at its end; an IPv6 literal in its shortest form
// (RFC 5952), in brackets. Empty: none was given, as RFC 9112 3.2 allows. None: it is not a host. Taken are
// letters, digits, '-', '_' and '.'; RFC 3986's other characters of a reg-name are in no name of DNS and
// refused. What is returned lies in `room`.
std::optional<std::string_view> read_host(std::string_view authority, HostText& room);

// A route's host: "example.org", "[::1]", or "*.example.org", which becomes ".example.org". None: it is none
// of these ("a.*.org", "*", a port, a wildcard over an address).
std::optional<std::string> read_host_pattern(std::string_view pattern);

}  // namespace whinledge::route
