#include "peers/peers.hpp"

#include <boost/asio/buffer.hpp>
#include <string_view>

#include "io/clock.hpp"
#include "io/insist.hpp"

namespace whinledge {

using boost::system::error_code;

namespace {

constexpr Millis kPause = 20;  // of a socket that fails

}  // namespace

Peers::Peers(boost::asio::io_context& io, Log& log, const Udp::endpoint& listen,
             std::vector<Udp::endpoint> peers, std::optional<Udp::endpoint> all, Received received)
    : log_(log), socket_(io, listen), pause_(io), all_(std::move(all)), received_(std::move(received)) {
    socket_.non_blocking(true);
    replace(std::move(peers));
    receive();
}

// Of the bytes that the system knows the address by.
std::size_t Peers::Hash::operator()(const Udp::endpoint& e) const {
    return std::hash<std::string_view>()({reinterpret_cast<const char*>(e.data()), e.size()});
}

// With thousands of peers a datagram's sender is found by a hash, not by a walk.
void Peers::replace(std::vector<Udp::endpoint> peers) {
    peers_ = std::move(peers);
    by_address_.clear();
    for (std::uint32_t i = 0; i < peers_.size(); ++i) by_address_.emplace(peers_[i], i);
}

void Peers::tell(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
    if (bytes.size() > kLongest || (to ? *to >= peers_.size() : !all_))
        return log_.line("a peer message not sent");
    error_code lost;  // as any datagram may be
    socket_.send_to(boost::asio::buffer(bytes), to ? peers_[*to] : *all_, 0, lost);
    if (lost) {
        ++counts_.not_taken;
        return;
    }
    ++counts_.sent;
    counts_.bytes += bytes.size();
}

// The next one is waited for ahead of what this one does, which may throw.
void Peers::take(std::size_t size) {
    const auto from = by_address_.find(sender_);
    if (size > kLongest || from == by_address_.end()) {
        ++(from == by_address_.end() ? counts_.strangers : counts_.too_long);
        receive();
        return log_.line("a datagram that is no peer's message");
    }
    ++counts_.received;
    std::vector<std::uint8_t> bytes(buffer_.begin(), buffer_.begin() + size);
    receive();
    received_(from->second, std::move(bytes));
}

void Peers::receive() {
    insist([this] {
        socket_.async_receive_from(
            boost::asio::buffer(buffer_), sender_,
            [this, here = std::weak_ptr<void>(here_)](error_code failed, std::size_t size) {
                if (here.expired() || failed == boost::asio::error::operation_aborted) return;
                failed ? receive_later() : take(size);
            });
    });
}

// A socket that fails may do so each time, and at once.
void Peers::receive_later() {
    ++counts_.failed;
    pause_.after(span(kPause), [this] { receive(); });
}

}  // namespace whinledge
