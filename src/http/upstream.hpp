// Requests to servers: one exchange at a time on each kept-alive connection, and how each of them ended.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/transport.hpp"
#include "engine/types.hpp"
#include "http/message.hpp"
#include "http/stream.hpp"
#include "io/address.hpp"
#include "io/connection_budget.hpp"
#include "io/log.hpp"
#include "io/loop_timer.hpp"
#include "io/open_socket.hpp"

namespace whinledge {

class Upstream {
public:
    using Response = boost::beast::http::response<PlainBody>;
    // What an answer is held to, and what it means.
    class Judge {
    public:
        virtual Outcome outcome_of(const boost::beast::http::response_header<>& head) const = 0;
        // Bytes of a body that are waited for ahead of passing an answer on as it comes; 0: it is never
        // passed on.
        virtual std::size_t whole_up_to() const { return 0; }
        virtual std::size_t answer_limit() const { return kBodyLimit; }  // bytes of a body; 0: any
        // Whether a good answer of a length that is not told is waited for too, for as long as it is no
        // larger.
        virtual bool waits_for_unknown_length() const { return false; }
        virtual bool head_only() const { return false; }  // of HEAD
        // Whether the answer of a failed attempt may reach the client, so that its body is read even where it
        // costs the connection (BodyDelimiter::connection_close).
        virtual bool keeps_failed_answers() const { return false; }
        // Whether a request that did not go out whole provably never ran. Most servers begin with its head.
        virtual bool begins_when_whole() const { return true; }
        // Without a byte either way, once an answer is passed on, or while a request is.
        virtual Millis idle() const { return 30000; }
        // Until an answer that is passed on is waited for only as long as it goes on coming; none: it may
        // take any time.
        virtual std::optional<Millis> answer_time_left() const { return std::nullopt; }

    protected:
        ~Judge() = default;
    };
    // Asked where a connection had to be made, just ahead of the first byte; false: it ends as superseded.
    // What the head tells may have become another by then, and is written anew.
    using Wanted = std::function<bool(std::string& head)>;
    // The answer is passed on as it comes: where to, or null if nobody wants it. `length`: of its body, where
    // the head tells it.
    using PassOn = std::function<std::shared_ptr<Stream>(Response head, std::optional<std::uint64_t> length)>;
    // The body stays where `keep` keeps it.
    struct Request {
        std::string head;  // from its first line to the empty one
        std::string_view body{};
        std::shared_ptr<const void> keep{};
        // Tells what an answer's head means; none: the platform's table.
        const Judge* judge = nullptr;
        // More of the body, behind `body`; the head says how long it is, or that it comes in chunks.
        std::shared_ptr<Stream> rest{};
        bool chunked = false;
        Trailers trailers{};  // of a chunked body that is whole
        PassOn pass_on{};
        Wanted wanted{};
        // It must not be given another's answer: it goes on a fresh connection, or on one shown to be clean
        // as far as that can be (Limits::settle_careful).
        bool careful = false;
        PoolId pool = 0;
        Millis connect_timeout = 0, idle = 0;  // of its pool; 0: as the limits have it
    };
    struct End {
        Outcome outcome;
        std::optional<Response> answer{};  // none: it did not come whole, or it was passed on
        Trailers trailers{};               // of `answer`
    };
    // Called once, never from within start(), unless that tells the outcome itself.
    using Done = std::function<void(End)>;

    struct Limits {
        Millis connect_timeout = 250;
        Millis idle = 14000;            // a connection idle for longer is not used any more
        std::size_t connections = 512;  // open at once, to all servers
        Millis settle = 0;              // a connection is not used again before it has been quiet for so long
        // The same for what is careful, and for all at servers that have sent what nobody asked for; the
        // former then goes on fresh connections only.
        Millis settle_careful = 0;
        Millis doubt =
            0;  // after a connection to a server broke on reuse, what is careful goes there on fresh ones
        // Bytes that are not acknowledged for so long end their connection (TCP_USER_TIMEOUT); 0: as the
        // system has it.
        Millis user_timeout = 0;
        bool heed_keep_alive = false;  // an answer's Keep-Alive shortens `idle` of its connection
    };

    // `let_go`: for a connection's descriptor, where none is left.
    Upstream(boost::asio::io_context& io, Log& log, Limits limits, ConnectionBudget* budget = nullptr,
             LetGo let_go = {});
    ~Upstream();

    // Where the server listens; connections to another address, or to an earlier life, are not used again.
    void set_server(ServerId server, const Tcp::endpoint& address, Millis started);
    void forget_server(ServerId server);
    void close_idle(ServerId server);
    // Of a pool's idle connections at least so many, those idle longest first; returns how many there were.
    std::size_t close_idle_of(PoolId pool, std::size_t count);

    // How many connections a server may have from here for a pool's requests; 0: any number. Beyond that,
    // idle ones are closed, and those at work once they are done.
    void limit_connections(PoolId pool, std::size_t each_server);

    // Does not throw. What can't even begin has its outcome at once: not_sent where connections, descriptors
    // or memory of our own are wanting, superseded for a server not known or one whose connections are all
    // at work.
    struct Begun {
        ExchangeId exchange = 0;
        std::optional<Outcome> ended{};
    };
    Begun start(ServerId server, Request request, Done done);
    // Stops waiting; Done is not called any more. False: the request was provably never written whole. True
    // for an exchange that is not known (any more).
    bool stop(ExchangeId exchange);
    // Whether the request's last byte has been written. False for an exchange that is not known (any more).
    bool written(ExchangeId exchange) const;

    struct Stats {
        std::size_t open = 0, opened = 0;
        std::size_t most_at_server = 0;  // open at once, to any one
        std::size_t over_limit = 0;      // requests that a server had no connection for
        std::size_t shed = 0;            // connections closed for their server's limit
    };
    const Stats& stats() const { return stats_; }

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Server {
        Tcp::endpoint address;
        Millis started = 0;
        std::uint64_t life = 0;
        std::size_t open = 0;  // connections, of this life
        bool strays = false;   // it has sent what nobody asked for, in this life
        std::chrono::steady_clock::time_point breaks_until{};  // its idle connections are not what they seem
        std::vector<ConnectionPtr> idle;                       // the most recently used last
    };

    ConnectionPtr take_idle(Server& server, const Request& request);
    void stray(const Connection& connection);
    void link_lost(const Connection& connection);
    ConnectionPtr made(ServerId server, std::uint64_t life, PoolId pool);
    bool make_room();
    // The most that a server may have for the pool.
    std::size_t limit_of(PoolId pool) const;
    bool make_room_at(Server& server, PoolId pool);
    bool shed_idle(Server& server);
    void drop_idle(Server& server);
    void sweep();
    Millis until_next_sweep() const;
    void ended(ExchangeId exchange, const Done& done, End end);
    void reuse(const ConnectionPtr& connection);
    void remove(const Connection& connection);

    boost::asio::io_context& io_;
    Log& log_;
    Limits limits_;
    ConnectionBudget* budget_;
    const LetGo let_go_;
    std::unordered_map<ServerId, Server> servers_;
    std::unordered_map<PoolId, std::size_t> limit_at_server_;  // by pool; those without one are left out
    std::unordered_map<ExchangeId, ConnectionPtr> exchanges_;
    ExchangeId next_exchange_ = 1;
    std::uint64_t next_life_ = 1;
    Stats stats_;
    LoopTimer sweep_timer_;
    std::array<char, 16 * 1024> scratch_{};  // what is read, before it is a connection's own
};

}  // namespace whinledge
