// Short messages between the sidecars of a tier, over UDP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "engine/types.hpp"
#include "io/address.hpp"
#include "io/log.hpp"
#include "io/loop_timer.hpp"

namespace whinledge {

class Peers {
public:
    static constexpr std::size_t kLongest = 256;
    using Received = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;

    // Throws boost::system::system_error where it can't listen.
    Peers(boost::asio::io_context& io, Log& log, const Udp::endpoint& listen,
          std::vector<Udp::endpoint> peers, std::optional<Udp::endpoint> all, Received received);

    // To one of them, or to all. What is too long, or is for nobody, is not sent.
    void tell(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes);
    // Others from now on: `from` and `to` count in this list.
    void replace(std::vector<Udp::endpoint> peers);
    Udp::endpoint address() const { return socket_.local_endpoint(); }

    // Since the start. Bytes of what was sent; what the system did not take is lost like any datagram.
    struct Counts {
        std::uint64_t sent = 0, bytes = 0, not_taken = 0, received = 0, strangers = 0, too_long = 0,
                      failed = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Hash {
        std::size_t operator()(const Udp::endpoint& e) const;
    };
    void receive();
    void receive_later();
    void take(std::size_t size);

    Log& log_;
    Udp::socket socket_;
    LoopTimer pause_;
    std::vector<Udp::endpoint> peers_;
    std::unordered_map<Udp::endpoint, std::uint32_t, Hash> by_address_;
    std::optional<Udp::endpoint> all_;
    Received received_;
    Counts counts_;
    Udp::endpoint sender_;
    std::array<std::uint8_t, kLongest + 1> buffer_{};  // one more than a message may have
    // Gone with this object: what had arrived by then finds nobody.
    std::shared_ptr<void> here_ = std::make_shared<int>();
};

}  // namespace whinledge
