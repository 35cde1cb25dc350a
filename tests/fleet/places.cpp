#include "fleet/places.hpp"

#include <random>
#include <stdexcept>

namespace whinledge::fleetrig {

namespace {

// Below what the system hands out by itself, above what services commonly have.
constexpr unsigned kFirstPort = 20000, kLastPort = 32000;
constexpr unsigned kBits = 12;  // of an address for each of a pair; 0 and all ones stay free: broadcast

}  // namespace

Places::Places(asio::io_context& io) : connections_(io), datagrams_(io) {
    std::random_device random;
    for (int tries = 0; tries < 200; ++tries) {
        const unsigned port = kFirstPort + 2 * (random() % ((kLastPort - kFirstPort) / 2));
        if (take(static_cast<unsigned short>(port))) return;
    }
    throw std::runtime_error("no two ports are free on every address, from 20000 to 32000");
}

bool Places::take(unsigned short port) {
    boost::system::error_code failed;
    const auto after = static_cast<unsigned short>(port + 1);
    connections_.open(Tcp::v4());
    connections_.bind({Tcp::v4(), port}, failed);
    if (!failed) connections_.listen(asio::socket_base::max_listen_connections, failed);
    if (!failed) {
        datagrams_.open(Udp::v4());
        datagrams_.bind({Udp::v4(), after}, failed);
    }
    if (!failed) {
        port_ = port;
        after_ = after;
        return true;
    }
    boost::system::error_code ignored;
    connections_.close(ignored);
    datagrams_.close(ignored);
    return false;
}

asio::ip::address_v4 Places::own(unsigned block, std::size_t place) {
    return asio::ip::address_v4(127u << 24 | block << 16 | static_cast<std::uint32_t>(place + 1));
}

std::uint32_t Places::pair(std::size_t from, std::size_t to) {
    return 127u << 24 | static_cast<std::uint32_t>(from + 1) << kBits | static_cast<std::uint32_t>(to + 1);
}

std::optional<std::pair<std::size_t, std::size_t>> Places::pair_of(std::uint32_t address) {
    const std::size_t mask = (1u << kBits) - 1, from = address >> kBits & mask, to = address & mask;
    if (address >> 24 != 127 || from == 0 || to == 0) return std::nullopt;
    return std::pair(from - 1, to - 1);
}

}  // namespace whinledge::fleetrig
