// Addresses of members as text: IP:PORT, [IPv6]:PORT, in one spelling, so that equal ones are equal strings.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whinledge {

// What a member can be reached at: not the unspecified address, no multicast.
bool reachable(const boost::asio::ip::address& address);
// IPv4 in IPv6 (::ffff:a.b.c.d) is spelled as the IPv4 address that it is.
std::string address_text(boost::asio::ip::address address, std::uint16_t port);
// Numeric only, port 1..65535; nothing where `text` is no such address.
std::optional<std::string> canonical_address(std::string_view text);

}  // namespace whinledge
