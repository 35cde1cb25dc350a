// Addresses as configurations and sources write them: IP:PORT, [IPv6]:PORT, numeric.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

namespace whinledge {

using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;

// None: it is no such address.
template <class Protocol>
std::optional<typename Protocol::endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [at, wrong] = std::from_chars(text.data() + colon + 1, end, port);
    if (error || wrong != std::errc() || at != end) return std::nullopt;
    return typename Protocol::endpoint(address, port);
}

// Throws std::invalid_argument.
template <class Protocol>
typename Protocol::endpoint endpoint_of(const std::string& text) {
    const auto endpoint = parse_endpoint<Protocol>(text);
    if (!endpoint) throw std::invalid_argument("'" + text + "' is not ADDRESS:PORT");
    return *endpoint;
}

}  // namespace whinledge
