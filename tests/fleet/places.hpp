// Where everything of a run stands: all on 127.0.0.0/8, of which the system takes every address as its own.
// The address that a datagram or a connection is sent to says who sends it and whom it is for, so that one
// socket stands between all pairs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>
#include <utility>

#include "fleet/record.hpp"

namespace whinledge::fleetrig {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

// Takes two ports that no other run on this machine has: `port` (even) and the one after it. Of the first the
// TCP side belongs to the relay of connections, the UDP side to the nodes; of the second the TCP side to
// listeners of nodes and servers, the UDP side to the relay of datagrams.
class Places {
public:
    explicit Places(asio::io_context& io);

    // A node's own, for datagrams and for clients.
    Udp::endpoint datagrams_of(Node node) const { return {own(128, node), port_}; }
    Tcp::endpoint listener_of(Node node) const { return {own(128, node), after_}; }
    Tcp::endpoint server(std::size_t server) const { return {own(129, server), after_}; }
    // Where the relays stand for what `from` sends to `to`: a member's name, or a server.
    Udp::endpoint relayed(Node from, Member to) const {
        return {asio::ip::address_v4(pair(from, to)), after_};
    }
    Tcp::endpoint relayed_server(Node from, std::size_t to) const {
        return {asio::ip::address_v4(pair(from, to)), port_};
    }
    // The pair of an address of the relays.
    static std::optional<std::pair<std::size_t, std::size_t>> pair_of(std::uint32_t address);
    static std::uint32_t pair(std::size_t from, std::size_t to);

    Tcp::acceptor& connections() { return connections_; }
    Udp::socket& datagrams() { return datagrams_; }

private:
    static asio::ip::address_v4 own(unsigned block, std::size_t place);
    bool take(unsigned short port);

    Tcp::acceptor connections_;
    Udp::socket datagrams_;
    unsigned short port_ = 0, after_ = 0;
};

template <class Endpoint>
std::string text_of(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace whinledge::fleetrig
