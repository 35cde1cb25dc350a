// Ports for what is to listen later.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace whinledge::test {

// One that nobody has at present, below those that the kernel gives to connections: those may be gone again
// by the time that it is listened on, in a flood of them most of all.
inline boost::asio::ip::tcp::endpoint free_endpoint(boost::asio::io_context& io) {
    using Tcp = boost::asio::ip::tcp;
    static unsigned next = static_cast<unsigned>(::getpid()) * 31;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(10000 + ++next % 20000);
        const Tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
        Tcp::acceptor probe(io, Tcp::v4());
        boost::system::error_code taken;
        probe.set_option(boost::asio::socket_base::reuse_address(true));
        probe.bind(endpoint, taken);
        if (!taken) return endpoint;
    }
}

}  // namespace whinledge::test
