// Loopback addresses that only one test process binds. A port of 127.0.0.1 that was free a moment ago may
// be taken since, by a connection of any other process: those go out from 127.0.0.1.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace whinledge::test {

// How many addresses a process has to itself: ids of processes take up to 22 bits, addresses of
// 127.0.0.0/8 24.
inline constexpr unsigned kOwnAddresses = 4;

// Address `index`, under `kOwnAddresses`, of this process.
inline boost::asio::ip::address_v4 own_address(unsigned index) {
    constexpr unsigned kLoopbackNet = 0x7f000000;
    constexpr unsigned kProcessIds = 0x3fffff;
    const unsigned process = static_cast<unsigned>(::getpid()) & kProcessIds;
    return boost::asio::ip::address_v4(kLoopbackNet | (process * kOwnAddresses + index % kOwnAddresses));
}

// A port of that address on which nobody listens, nor will till this process does.
inline boost::asio::ip::tcp::endpoint own_endpoint(boost::asio::io_context& io, unsigned index) {
    const boost::asio::ip::tcp::acceptor probe(io, {own_address(index), 0});
    return probe.local_endpoint();
}

// As settings name an endpoint: address, colon, port.
inline std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace whinledge::test
