// Calls to other processes: one connection to each address, replies matched by sequence number.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "rpc/call.hpp"
#include "rpc/codec.hpp"
#include "rpc/traffic.hpp"

namespace whinledge::rpc {

class Client {
public:
    using Duration = std::chrono::milliseconds;

    struct Options {
        Duration connect_timeout{400};
        Duration user_timeout{1500};   // TCP_USER_TIMEOUT: unacknowledged bytes end the connection
        Duration idle_timeout{20000};  // a connection that nothing was sent over for so long is closed
    };

    explicit Client(boost::asio::io_context& io) : Client(io, Options()) {}
    Client(boost::asio::io_context& io, Options options);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // `done` is called exactly once on the loop's thread, never from within call(), within `timeout` and a
    // little; never after this client has been destroyed. `address`: IP:PORT.
    template <class Request, class Reply>
    void call(const std::string& address, const Call<Request, Reply>& what, const Request& request,
              Duration timeout, std::function<void(Result<Reply>)> done) {
        send(address, encode_call(what.name, request), timeout,
             [this, done = std::move(done)](Result<std::string> reply) {
                 if (!reply) return done(reply.error());
                 Result<Reply> decoded = decode_body<Reply>(reply.value());
                 if (!decoded) ++stats_.unreadable;
                 done(std::move(decoded));
             });
    }

    // Connections open at present, and bytes that have gone out and come in since the start.
    struct Stats {
        std::size_t open = 0;
        std::uint64_t bytes_out = 0, bytes_in = 0, calls = 0, failed = 0;
        std::uint64_t unreadable = 0;  // replies that can't be decoded
    };
    const Stats& stats() const { return stats_; }
    const TrafficByCall& traffic() const { return traffic_; }

private:
    class Connection;
    using Reply = std::function<void(Result<std::string>)>;
    void send(const std::string& address, EncodedCall call, Duration timeout, Reply done);
    void close_idle_later();
    void close_idle();

    boost::asio::io_context& io_;
    Options options_;
    std::unordered_map<std::string, std::shared_ptr<Connection>> connections_;
    boost::asio::steady_timer idle_timer_;
    bool idle_timer_runs_ = false;
    std::shared_ptr<int> alive_ =
        std::make_shared<int>(0);  // timers that come later look whether it is there
    Stats stats_;
    TrafficByCall traffic_;
};

}  // namespace whinledge::rpc
