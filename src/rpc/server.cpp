#include "rpc/server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <unordered_set>

#include "rpc/link.hpp"

namespace whinledge::rpc {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kMostUnsentBytes = 32U << 20;
constexpr std::chrono::milliseconds kUserTimeout{3000};
constexpr std::chrono::milliseconds kAcceptPause{50};  // after a failed accept

}  // namespace

class Server::State : public std::enable_shared_from_this<State> {
public:
    State(asio::io_context& io, const Tcp::endpoint& address) : acceptor_(io), pause_(io) {
        acceptor_.open(address.protocol());
        acceptor_.set_option(Tcp::acceptor::reuse_address(true));
        acceptor_.bind(address);
        acceptor_.listen();
    }

    void accept() {
        acceptor_.async_accept([self = shared_from_this()](error_code failed, Tcp::socket socket) {
            if (!self->acceptor_.is_open()) return;
            if (failed) return self->accept_later();
            self->welcome(std::move(socket));
            self->accept();
        });
    }

    void close() {
        error_code ignored;
        acceptor_.close(ignored);
        pause_.cancel();
        for (const auto& link : links_) link->close();
        links_.clear();
        handlers.clear();
    }

    Tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    std::unordered_map<std::string, Handler> handlers;
    std::uint64_t unreadable = 0;  // calls
    TrafficByCall traffic;

private:
    void accept_later() {
        pause_.expires_after(kAcceptPause);
        pause_.async_wait([self = shared_from_this()](error_code cancelled) {
            if (!cancelled && self->acceptor_.is_open()) self->accept();
        });
    }

    void welcome(Tcp::socket socket) {
        const auto link = std::make_shared<Link>(std::move(socket), kMostUnsentBytes);
        links_.insert(link);
        link->on_frame = [weak = weak_from_this(), weak_link = std::weak_ptr<Link>(link)](Frame frame) {
            const auto self = weak.lock();
            const auto link = weak_link.lock();
            if (self && link) self->answer(link, std::move(frame));
        };
        link->on_end = [weak = weak_from_this(), weak_link = std::weak_ptr<Link>(link)] {
            const auto self = weak.lock();
            const auto link = weak_link.lock();
            if (self && link) self->links_.erase(link);
        };
        link->start(kUserTimeout);
    }

    void answer(const std::shared_ptr<Link>& link, Frame frame) {
        if (frame.kind != FrameKind::call) return;
        const std::uint32_t sequence = frame.sequence;
        const auto handler = handlers.find(frame.name);
        if (handler == handlers.end()) {
            link->send(encode_frame({FrameKind::unknown_call, sequence, {}, {}}));
            return;
        }
        Traffic& asked = traffic[frame.name];
        ++asked.calls;
        asked.bytes_in += frame_size(frame);
        // Elements of a map stay where they are for as long as the server is there.
        const auto reply = [weak = std::weak_ptr<Link>(link), weak_self = weak_from_this(), sequence,
                            counted = &asked](std::string body) {
            const auto open = weak.lock();
            const auto self = weak_self.lock();
            if (!open || !self) return;
            std::string bytes = encode_frame({FrameKind::reply, sequence, {}, std::move(body)});
            counted->bytes_out += bytes.size();
            open->send(std::move(bytes));
        };
        if (handler->second(frame.body, reply)) return;
        ++unreadable;
        link->send(encode_frame({FrameKind::unreadable, sequence, {}, {}}));
    }

    Tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    std::unordered_set<std::shared_ptr<Link>> links_;
};

Server::Server(asio::io_context& io, const Tcp::endpoint& address)
    : state_(std::make_shared<State>(io, address)) {
    state_->accept();
}

Server::~Server() { state_->close(); }

void Server::add(const char* name, Handler handler) { state_->handlers[name] = std::move(handler); }

std::uint64_t Server::unreadable() const { return state_->unreadable; }

const TrafficByCall& Server::traffic() const { return state_->traffic; }

Server::Tcp::endpoint Server::address() const { return state_->address(); }

}  // namespace whinledge::rpc
