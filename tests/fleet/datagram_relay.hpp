// Stands between every two nodes for their datagrams: what comes to the address at which one sees the other
// is sent to that one, as from the address at which it sees the first.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

#include "fleet/clock.hpp"
#include "fleet/links.hpp"
#include "fleet/places.hpp"

namespace whinledge::fleetrig {

class DatagramRelay {
public:
    using Bytes = std::vector<std::uint8_t>;
    // `member_of`: whose name each node bears. Datagrams for a name go to each node that bears it.
    DatagramRelay(asio::io_context& io, Places& places, Links& links, const RunClock& clock,
                  std::vector<Member> member_of);

    // What that rule has held goes its way now.
    void release(Links::Id rule);
    // Bytes as from `from`, by no rule.
    void inject(Node from, Node to, std::span<const std::uint8_t> bytes);
    // Of each datagram as it comes, before anything befalls it.
    std::function<void(Node from, Node to, const Bytes& bytes)> on_datagram;

    const std::vector<std::uint64_t>& sent() const { return sent_; }  // by node
    const std::vector<std::uint64_t>& sent_bytes() const { return bytes_; }
    std::size_t longest() const { return longest_; }
    // By pair, from * nodes + to: as sent, and as passed on.
    const std::vector<std::uint32_t>& by_pair() const { return by_pair_; }
    const std::vector<std::uint32_t>& passed_by_pair() const { return passed_; }
    // Lost for want of room in the relay's own socket, or from where no node is; 0 in a run that is worth
    // something.
    std::uint64_t overrun() const { return overrun_; }
    std::uint64_t strange() const { return strange_; }

private:
    struct Waiting {
        Node from, to;
        Bytes bytes;
    };
    void wait();
    void read_all();
    bool read();
    void take(Node from, Member to);
    void pass(Node from, Node to);
    void send(Node from, Node to, std::span<const std::uint8_t> bytes);
    void arm();
    void deliver_due();

    Places& places_;
    Links& links_;
    const RunClock& clock_;
    std::vector<Member> member_of_;
    std::vector<std::vector<Node>> bearers_;  // by member
    Bytes bytes_in_;
    std::multimap<Millis, Waiting> due_;
    std::multimap<Links::Id, Waiting> held_;
    asio::steady_timer timer_;
    Millis armed_for_ = 0;
    bool armed_ = false;
    std::vector<std::uint64_t> sent_, bytes_;
    std::vector<std::uint32_t> by_pair_, passed_;
    std::size_t longest_ = 0;
    std::uint64_t overrun_ = 0, strange_ = 0;
};

}  // namespace whinledge::fleetrig
