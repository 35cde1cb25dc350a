#include "fleet/datagram_relay.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace whinledge::fleetrig {

namespace {

constexpr std::size_t kMostBytes = 2048;  // of a datagram; one of the program has 256
constexpr int kRoom = 4 << 20;            // asked of the system, for what waits to be read
constexpr std::size_t kAtOnce = 512;      // before others have a turn

struct Control {
    alignas(
        cmsghdr) std::array<char, CMSG_SPACE(sizeof(in_pktinfo)) + CMSG_SPACE(sizeof(std::uint32_t))> bytes{};
};

}  // namespace

DatagramRelay::DatagramRelay(asio::io_context& io, Places& places, Links& links, const RunClock& clock,
                             std::vector<Member> member_of)
    : places_(places),
      links_(links),
      clock_(clock),
      member_of_(std::move(member_of)),
      bytes_in_(kMostBytes),
      timer_(io) {
    const std::size_t nodes = member_of_.size();
    bearers_.resize(nodes);
    for (Node n = 0; n < nodes; ++n) bearers_[member_of_[n]].push_back(n);
    sent_.resize(nodes);
    bytes_.resize(nodes);
    by_pair_.resize(nodes * nodes);
    passed_.resize(nodes * nodes);
    Udp::socket& socket = places_.datagrams();
    const int yes = 1;
    ::setsockopt(socket.native_handle(), IPPROTO_IP, IP_PKTINFO, &yes, sizeof yes);
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RXQ_OVFL, &yes, sizeof yes);
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVBUF, &kRoom, sizeof kRoom);
    socket.non_blocking(true);
    wait();
}

void DatagramRelay::wait() {
    places_.datagrams().async_wait(Udp::socket::wait_read, [this](boost::system::error_code failed) {
        if (failed) return;
        read_all();
        wait();
    });
}

void DatagramRelay::read_all() {
    for (std::size_t i = 0; i < kAtOnce && read(); ++i) {
    }
}

bool DatagramRelay::read() {
    bytes_in_.resize(kMostBytes);
    iovec part{bytes_in_.data(), bytes_in_.size()};
    sockaddr_in source{};
    Control control;
    msghdr message{};
    message.msg_name = &source;
    message.msg_namelen = sizeof source;
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.bytes.data();
    message.msg_controllen = control.bytes.size();
    const ssize_t size = ::recvmsg(places_.datagrams().native_handle(), &message, 0);
    // An error that some node is gone (ECONNREFUSED) is none of the relay's: the next may be readable.
    if (size < 0) return errno != EAGAIN && errno != EWOULDBLOCK;
    std::uint32_t to = 0;
    for (cmsghdr* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c)) {
        if (c->cmsg_level == IPPROTO_IP && c->cmsg_type == IP_PKTINFO) {
            in_pktinfo info{};
            std::memcpy(&info, CMSG_DATA(c), sizeof info);
            to = ntohl(info.ipi_addr.s_addr);
        } else if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SO_RXQ_OVFL) {
            std::uint32_t lost = 0;
            std::memcpy(&lost, CMSG_DATA(c), sizeof lost);
            overrun_ = lost;
        }
    }
    bytes_in_.resize(static_cast<std::size_t>(size));
    const auto pair = Places::pair_of(to);
    const bool known = pair && pair->first < member_of_.size() && pair->second < bearers_.size() &&
                       !bearers_[pair->second].empty() &&
                       Udp::endpoint(asio::ip::address_v4(ntohl(source.sin_addr.s_addr)),
                                     ntohs(source.sin_port)) == places_.datagrams_of(pair->first);
    if (known)
        take(pair->first, pair->second);
    else
        ++strange_;
    return true;
}

void DatagramRelay::take(Node from, Member to) {
    ++sent_[from];
    bytes_[from] += bytes_in_.size();
    longest_ = std::max(longest_, bytes_in_.size());
    for (const Node node : bearers_[to])
        if (node != from) pass(from, node);
}

void DatagramRelay::pass(Node from, Node to) {
    ++by_pair_[from * member_of_.size() + to];
    if (on_datagram) on_datagram(from, to, bytes_in_);
    const Millis now = clock_.now();
    const Links::Fate fate = links_.fate(from, to, now);
    for (const Millis delay : fate.copies) {
        if (fate.held_by != 0)
            held_.emplace(fate.held_by, Waiting{from, to, bytes_in_});
        else if (delay <= 0)
            send(from, to, bytes_in_);
        else
            due_.emplace(now + delay, Waiting{from, to, bytes_in_});
    }
    if (!due_.empty()) arm();
}

void DatagramRelay::send(Node from, Node to, std::span<const std::uint8_t> bytes) {
    ++passed_[from * member_of_.size() + to];
    inject(from, to, bytes);
}

void DatagramRelay::inject(Node from, Node to, std::span<const std::uint8_t> bytes) {
    const Udp::endpoint node = places_.datagrams_of(to);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(node.address().to_v4().to_uint());
    target.sin_port = htons(node.port());
    iovec part{const_cast<std::uint8_t*>(bytes.data()), bytes.size()};
    Control control;
    msghdr message{};
    message.msg_name = &target;
    message.msg_namelen = sizeof target;
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.bytes.data();
    message.msg_controllen = CMSG_SPACE(sizeof(in_pktinfo));
    cmsghdr* const c = CMSG_FIRSTHDR(&message);
    c->cmsg_level = IPPROTO_IP;
    c->cmsg_type = IP_PKTINFO;
    c->cmsg_len = CMSG_LEN(sizeof(in_pktinfo));
    in_pktinfo info{};
    info.ipi_spec_dst.s_addr = htonl(Places::pair(to, member_of_[from]));
    std::memcpy(CMSG_DATA(c), &info, sizeof info);
    // To a node that is down it fails, and is lost, as on any network.
    [[maybe_unused]] const ssize_t sent = ::sendmsg(places_.datagrams().native_handle(), &message, 0);
}

void DatagramRelay::arm() {
    const Millis first = due_.begin()->first;
    if (armed_ && armed_for_ <= first) return;
    armed_ = true;
    armed_for_ = first;
    timer_.expires_at(clock_.when(first));
    timer_.async_wait([this](boost::system::error_code failed) {
        if (failed) return;
        armed_ = false;
        deliver_due();
    });
}

void DatagramRelay::deliver_due() {
    const Millis now = clock_.now();
    while (!due_.empty() && due_.begin()->first <= now) {
        const Waiting& w = due_.begin()->second;
        send(w.from, w.to, w.bytes);
        due_.erase(due_.begin());
    }
    if (!due_.empty()) arm();
}

void DatagramRelay::release(Links::Id rule) {
    const auto [first, last] = held_.equal_range(rule);
    for (auto at = first; at != last; ++at) send(at->second.from, at->second.to, at->second.bytes);
    held_.erase(first, last);
}

}  // namespace whinledge::fleetrig
