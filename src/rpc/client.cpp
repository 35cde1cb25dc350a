#include "rpc/client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "io/address.hpp"
#include "rpc/link.hpp"

namespace whinledge::rpc {

namespace asio = boost::asio;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t kMostUnsentBytes = 32U << 20;

Error error_of(Failure failure, const std::string& name, const std::string& address, const char* remedy) {
    static const std::map<Failure, const char*> said{{Failure::unreachable, "can't be reached"},
                                                     {Failure::timed_out, "did not answer in time"},
                                                     {Failure::disconnected, "ended the connection"},
                                                     {Failure::unknown_call, "does not know this call"},
                                                     {Failure::unreadable, "could not read the message"}};
    return {failure, name + ": " + address + " " + said.at(failure) + "; " + remedy};
}

}  // namespace

// One address: its connection, and what is out on it.
class Client::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Client& owner, std::string address)
        : owner_(&owner), address_(std::move(address)), timer_(owner.io_), used_(Steady::now()) {}

    void send(EncodedCall call, Duration timeout, Reply done) {
        const Steady::time_point now = Steady::now();
        used_ = now;
        const std::uint32_t sequence = ++next_sequence_;
        const Steady::time_point limit = now + timeout;
        limits_.emplace(limit, sequence);
        std::string name = call.name;
        const std::string frame =
            encode_frame({FrameKind::call, sequence, std::move(call.name), std::move(call.body)});
        Traffic& traffic = owner_->traffic_[name];
        ++traffic.calls;
        traffic.bytes_out += frame.size();
        calls_.emplace(sequence, Out{std::move(name), limit, std::move(done), &traffic});
        if (!link_) connect();
        if (link_) link_->send(frame);
        arm();
    }

    // Nothing is out on it, and nothing was sent or heard for so long.
    bool idle(Steady::time_point now, Duration timeout) const {
        return calls_.empty() && now - used_ >= timeout;
    }

    // Ends all calls without telling anybody: the client goes, or the connection was idle.
    void abandon() {
        drop();
        owner_ = nullptr;
        calls_.clear();
        limits_.clear();
        timer_.cancel();
    }

private:
    struct Out {
        std::string name;
        Steady::time_point limit;
        Reply done;
        Traffic* traffic;  // of its kind; elements of a map stay where they are
    };

    void connect() {
        const auto endpoint = parse_endpoint<asio::ip::tcp>(address_);
        if (!endpoint) return post_failure(Failure::unreachable, "it is no IP:PORT");
        link_ = std::make_shared<Link>(asio::ip::tcp::socket(owner_->io_), kMostUnsentBytes);
        link_->bytes_out = &owner_->stats_.bytes_out;
        link_->bytes_in = &owner_->stats_.bytes_in;
        ++owner_->stats_.open;
        connected_ = false;
        connect_limit_ = Steady::now() + owner_->options_.connect_timeout;
        link_->on_frame = [weak = weak_from_this()](Frame frame) {
            if (const auto self = weak.lock()) self->heard(std::move(frame));
        };
        link_->on_end = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->lost(Failure::disconnected);
        };
        link_->socket().async_connect(*endpoint,
                                      [self = shared_from_this(), link = link_](error_code failed) {
                                          if (!self->owner_ || self->link_ != link) return;
                                          if (failed) return self->lost(Failure::unreachable);
                                          self->connected_ = true;
                                          link->start(self->owner_->options_.user_timeout);
                                      });
    }

    void heard(Frame frame) {
        const auto at = calls_.find(frame.sequence);
        if (at == calls_.end()) return;
        Out out = take(at);
        used_ = Steady::now();
        out.traffic->bytes_in += frame_size(frame);
        switch (frame.kind) {
            case FrameKind::reply:
                return out.done(std::move(frame.body));
            case FrameKind::unknown_call:
                return fail(out, Failure::unknown_call, "it may run an older version");
            default:
                return fail(out, Failure::unreadable, "check that both sides run compatible versions");
        }
    }

    void lost(Failure failure) {
        drop();
        fail_all(failure);
    }
    void post_failure(Failure failure, const char*) {
        asio::post(owner_->io_, [self = shared_from_this(), failure] {
            if (self->owner_) self->fail_all(failure);
        });
    }
    void fail_all(Failure failure) {
        auto calls = std::move(calls_);
        calls_.clear();
        limits_.clear();
        for (auto& [sequence, out] : calls) fail(out, failure, "it is tried again on a new connection");
    }
    void fail(Out& out, Failure failure, const char* remedy) {
        if (owner_) ++owner_->stats_.failed;
        out.done(error_of(failure, out.name, address_, remedy));
    }

    Out take(std::unordered_map<std::uint32_t, Out>::iterator at) {
        limits_.erase({at->second.limit, at->first});
        Out out = std::move(at->second);
        calls_.erase(at);
        return out;
    }

    void drop() {
        if (!link_) return;
        if (owner_) --owner_->stats_.open;
        link_->close();
        link_.reset();
    }

    Steady::time_point due() const {
        Steady::time_point at = Steady::time_point::max();
        if (!limits_.empty()) at = limits_.begin()->first;
        if (link_ && !connected_) at = std::min(at, connect_limit_);
        return at;
    }
    // One timer for all; it only moves when something is due earlier.
    void arm() {
        const Steady::time_point at = due();
        if (at >= armed_) return;
        armed_ = at;
        timer_.expires_at(at);
        timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self || !self->owner_) return;
            self->armed_ = Steady::time_point::max();
            self->expire();
        });
    }
    void expire() {
        const Steady::time_point now = Steady::now();
        if (link_ && !connected_ && now >= connect_limit_) return lost(Failure::unreachable);
        while (!limits_.empty() && limits_.begin()->first <= now) {
            const auto at = calls_.find(limits_.begin()->second);
            Out out = take(at);
            fail(out, Failure::timed_out, "the other side may be down, frozen or cut off");
            if (!owner_) return;
        }
        arm();
    }

    Client* owner_;  // null: it has gone
    const std::string address_;
    std::shared_ptr<Link> link_;
    bool connected_ = false;
    Steady::time_point connect_limit_{};
    asio::steady_timer timer_;
    Steady::time_point armed_ = Steady::time_point::max();
    Steady::time_point used_;
    std::uint32_t next_sequence_ = 0;
    std::unordered_map<std::uint32_t, Out> calls_;
    std::set<std::pair<Steady::time_point, std::uint32_t>> limits_;
};

Client::Client(asio::io_context& io, Options options) : io_(io), options_(options), idle_timer_(io) {}

Client::~Client() {
    for (auto& [address, connection] : connections_) connection->abandon();
}

void Client::send(const std::string& address, EncodedCall call, Duration timeout, Reply done) {
    ++stats_.calls;
    auto& connection = connections_[address];
    if (!connection) connection = std::make_shared<Connection>(*this, address);
    connection->send(std::move(call), timeout, std::move(done));
    close_idle_later();
}

// One look at all of them now and then, rather than a timer for each.
void Client::close_idle_later() {
    if (idle_timer_runs_ || connections_.empty()) return;
    idle_timer_runs_ = true;
    idle_timer_.expires_after(options_.idle_timeout / 2);
    idle_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](error_code cancelled) {
        if (cancelled || alive.expired()) return;
        idle_timer_runs_ = false;
        close_idle();
        close_idle_later();
    });
}

void Client::close_idle() {
    const Steady::time_point now = Steady::now();
    for (auto at = connections_.begin(); at != connections_.end();) {
        if (!at->second->idle(now, options_.idle_timeout)) {
            ++at;
            continue;
        }
        at->second->abandon();
        at = connections_.erase(at);
    }
}

}  // namespace whinledge::rpc
