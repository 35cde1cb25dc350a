#include "net/upstream.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <utility>

#include "net/clock.hpp"
#include "net/log.hpp"
#include "net/message.hpp"

namespace kestrelhall::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// What an answer tells, by the protocol's table. An error without the proof may have run.
Outcome outcome_of(const Upstream::Response& response) {
    const unsigned status = response.result_int();
    if (status == 200) return Outcome::completed;
    const bool proof = (status == 503 || status == 504) && response["Not-Started"] == "1";
    return proof ? Outcome::saturated : Outcome::errored;
}

}  // namespace

// One connection: connecting, carrying an exchange, or idle. It always waits to be readable, so that it
// learns of its end while idle, and reads an answer only while it carries an exchange.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Upstream& owner, ServerId server_, std::uint64_t life_)
        : server(server_), life(life_), owner_(&owner), socket_(owner.io_), timer_(owner.io_) {
        ++owner_->stats_.open;
    }
    ~Connection() { close(); }

    void connect(const Tcp::endpoint& address) {
        expire_after(owner_->limits_.connect_timeout);
        error_code error;
        if (socket_.open(address.protocol(), error)) {  // out of descriptors
            asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail(false); });
            return;
        }
        ++owner_->stats_.opened;
        socket_.async_connect(address, [self = shared_from_this()](error_code failed) {
            if (failed || !self->exchange_) return self->fail(false);
            self->connected_ = true;
            self->timer_.cancel();
            error_code ignored;
            self->socket_.set_option(Tcp::no_delay(true), ignored);
            self->wait_readable();
            self->write();
        });
    }

    void carry(ExchangeId id, Request request, Done done) {
        exchange_.emplace(Exchange{id, std::make_shared<Request>(std::move(request)), std::move(done)});
        if (connected_) {
            timer_.cancel();
            write();
        }
    }

    void rest(Millis limit) {
        since_ = std::chrono::steady_clock::now();
        expire_after(limit);
        wait_readable();
    }
    // Nothing has come since it fell idle, not even its end, and it has not stood for too long.
    bool fresh(Millis limit) {
        char byte;
        error_code error;
        socket_.non_blocking(true, error);
        socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        return error == asio::error::would_block && std::chrono::steady_clock::now() - since_ < span(limit);
    }
    std::chrono::steady_clock::time_point idle_since() const { return since_; }

    // Whether the request may have been written whole.
    bool stop() {
        const bool written = writing_ || written_;
        exchange_.reset();
        close();
        return written;
    }

    void close() {
        if (!owner_) return;
        --owner_->stats_.open;
        owner_->remove(*this);
        owner_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }

    const ServerId server;
    const std::uint64_t life;

private:
    struct Exchange {
        ExchangeId id;
        std::shared_ptr<Request> request;
        Done done;
    };

    void expire_after(Millis length) {
        timer_.expires_after(span(length));
        timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self) return;
            if (!self->connected_)
                self->fail(false);
            else if (!self->exchange_)
                self->close();
        });
    }

    void write() {
        writing_ = true;
        written_ = false;
        http::async_write(
            socket_, exchange_->request->message,
            [self = shared_from_this(), request = exchange_->request](error_code failed, std::size_t) {
                self->writing_ = false;
                self->written_ = !failed;
                if (failed || self->broken_) self->fail(!failed);
            });
    }

    void wait_readable() {
        if (waiting_) return;
        waiting_ = true;
        socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
            self->waiting_ = false;
            if (!self->owner_) return;
            if (failed || !self->exchange_) return self->close();  // its end, or what nobody asked for
            self->read();
        });
    }

    void read() {
        parser_.emplace();
        async_read_bounded(socket_, buffer_, *parser_, kBodyLimit,
                           [self = shared_from_this()](error_code failed) {
                               if (!self->owner_ || !self->exchange_) return;
                               if (failed) return self->broke(failed);
                               if (self->parser_->get().result_int() / 100 == 1)
                                   return self->read();  // the answer is yet to come
                               self->answered();
                           });
    }

    void broke(error_code why) {
        if (malformed(why)) log_line("an answer that is not HTTP: " + why.message());
        // The proof that it never ran stands in the header.
        if (parser_->is_header_done() && parser_->get().result_int() != 200) return answered();
        if (!writing_) return fail(written_);
        // Whether the last byte went out, the write's own end tells; nothing more goes out now.
        broken_ = true;
        error_code ignored;
        socket_.close(ignored);
    }

    void answered() {
        // An answer that only the connection's end delimits can't be told from a truncated one.
        if (parser_->need_eof() && parser_->get().result_int() == 200) return fail(true);
        const bool keep = parser_->is_done() && parser_->keep_alive() && !writing_ && buffer_.size() == 0;
        Response response = parser_->release();
        parser_.reset();
        buffer_.shrink_to_fit();
        const Outcome outcome = outcome_of(response);
        end(keep, outcome, std::move(response));
    }

    void fail(bool may_have_run) {
        if (!exchange_) return close();
        end(false, may_have_run ? Outcome::severed : Outcome::refused_connection, {});
    }

    void end(bool keep, Outcome outcome, Response response) {
        const auto self = shared_from_this();
        Upstream* const owner = owner_;
        Exchange exchange = std::move(*exchange_);
        exchange_.reset();
        if (keep)
            owner->reuse(self);
        else
            close();
        owner->ended(exchange.id, exchange.done, outcome, std::move(response));
    }

    Upstream* owner_;  // none: closed
    Tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_{kHeaderLimit + kBodyLimit};
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<Exchange> exchange_;
    std::chrono::steady_clock::time_point since_;
    bool connected_ = false, waiting_ = false, writing_ = false, written_ = false, broken_ = false;
};

Upstream::Upstream(asio::io_context& io, Limits limits) : io_(io), limits_(limits) {}

Upstream::~Upstream() {
    for (auto& [id, server] : servers_) drop_idle(server);
    while (!exchanges_.empty()) stop(exchanges_.begin()->first);
}

void Upstream::set_server(ServerId id, const Tcp::endpoint& address, Millis started) {
    Server& server = servers_[id];
    if (server.life != 0 && server.address == address && server.started == started) return;
    drop_idle(server);
    server.address = address;
    server.started = started;
    server.life = next_life_++;
}

void Upstream::forget_server(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return;
    drop_idle(at->second);
    servers_.erase(at);
}

void Upstream::close_idle(ServerId id) {
    if (const auto at = servers_.find(id); at != servers_.end()) drop_idle(at->second);
}

void Upstream::drop_idle(Server& server) {
    for (const ConnectionPtr& connection : std::exchange(server.idle, {})) connection->close();
}

Upstream::ConnectionPtr Upstream::take_idle(Server& server) {
    while (!server.idle.empty()) {
        const ConnectionPtr connection = std::move(server.idle.back());
        server.idle.pop_back();
        if (connection->fresh(limits_.idle)) return connection;
        connection->close();
    }
    return nullptr;
}

// At the bound, the connection that has been idle longest makes room.
bool Upstream::make_room() {
    if (stats_.open < limits_.connections) return true;
    ConnectionPtr oldest;
    for (const auto& [id, server] : servers_)
        if (!server.idle.empty() && (!oldest || server.idle.front()->idle_since() < oldest->idle_since()))
            oldest = server.idle.front();
    if (oldest) oldest->close();
    return oldest != nullptr;
}

ExchangeId Upstream::start(ServerId id, Request request, Done done) {
    const ExchangeId exchange = next_exchange_++;
    const auto server = servers_.find(id);
    ConnectionPtr connection = server == servers_.end() ? nullptr : take_idle(server->second);
    const bool fresh = !connection;
    if (fresh) {
        if (server == servers_.end() || !make_room()) {
            asio::post(io_, [done = std::move(done)] { done(Outcome::refused_connection, {}); });
            return exchange;
        }
        connection = std::make_shared<Connection>(*this, id, server->second.life);
    }
    exchanges_[exchange] = connection;
    connection->carry(exchange, std::move(request), std::move(done));
    if (fresh) connection->connect(server->second.address);
    return exchange;
}

bool Upstream::stop(ExchangeId id) {
    const auto at = exchanges_.find(id);
    if (at == exchanges_.end()) return false;
    const ConnectionPtr connection = at->second;
    exchanges_.erase(at);
    return connection->stop();
}

void Upstream::ended(ExchangeId exchange, const Done& done, Outcome outcome, Response response) {
    exchanges_.erase(exchange);
    done(outcome, std::move(response));
}

void Upstream::reuse(const ConnectionPtr& connection) {
    const auto server = servers_.find(connection->server);
    if (server == servers_.end() || server->second.life != connection->life) return connection->close();
    server->second.idle.push_back(connection);
    connection->rest(limits_.idle);
}

void Upstream::remove(const Connection& connection) {
    const auto server = servers_.find(connection.server);
    if (server == servers_.end()) return;
    std::erase_if(server->second.idle, [&](const ConnectionPtr& c) { return c.get() == &connection; });
}

}  // namespace kestrelhall::net
