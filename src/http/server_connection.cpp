// Connecting, writing requests, and the ends of an exchange and of its connection.
#include "http/server_connection.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <exception>
#include <utility>

#include "io/open_socket.hpp"

namespace whinledge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Of an answer whose time is over, and that has gone on coming until then.
constexpr Millis kLastPause = 100;

}  // namespace

void Upstream::Connection::connect(const Tcp::endpoint& address) {
    const Millis longest = exchange_->request.connect_timeout;
    timer_.expires_after(span(longest > 0 ? longest : owner_->limits_.connect_timeout));
    timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self && !self->connected_) self->fail(Outcome::refused_connection);
    });
    if (const error_code failed = open_socket(socket_, address.protocol(), owner_->let_go_))
        throw boost::system::system_error(failed);
    ++owner_->stats_.opened;
    socket_.async_connect(address, [self = shared_from_this()](error_code failed) {
        if (failed || !self->exchange_)
            return self->fail(is_own_exhaustion(failed) ? Outcome::not_sent : Outcome::refused_connection);
        self->connected_ = true;
        if (self->owner_->budget_) self->owner_->budget_->connected(self->pool);
        self->timer_.cancel();
        error_code ignored;
        self->socket_.set_option(Tcp::no_delay(true), ignored);
        self->bound_silence();
        self->socket_.non_blocking(true, ignored);
        if (!self->quiet()) {  // it has spoken first, or has ended: what is there is no answer
            if (self->unasked()) self->owner_->stray(*self);
            return self->fail(Outcome::refused_connection);
        }
        Request& request = self->exchange_->request;
        if (request.wanted && !request.wanted(request.head)) return self->fail(Outcome::superseded);
        self->wait_readable();
        self->write();
    });
}

void Upstream::Connection::carry(ExchangeId id, Request request, Done done) {
    idle_ = request.idle > 0 ? request.idle : owner_->limits_.idle;
    exchange_.emplace(Exchange{id, std::move(request), std::move(done)});
    last_ = written_ = begun_ = heard_ = false;
    progress_ = std::chrono::steady_clock::now();
    parser_.reset();
    feed_.reset();
    outcome_.reset();
    interim_ = 0;
    if (!connected_) return;
    wait_readable();  // mostly it does already
    write();
}

void Upstream::Connection::rest() {
    since_ = std::chrono::steady_clock::now();
    resting_ = true;
    wait_readable();
}

void Upstream::Connection::wake(PoolId for_pool) {
    resting_ = false;
    reused_ = true;
    pool = for_pool;
}

void Upstream::Connection::discard() {
    if (unasked()) owner_->stray(*this);
    close();
}

bool Upstream::Connection::stop() {
    const bool ran = may_have_run();
    let_go();
    exchange_.reset();
    close();
    return ran;
}

bool Upstream::Connection::is_waited_for() const {
    if (!exchange_ || !exchange_->request.judge || (!out_stream_ && written_)) return false;
    const bool ours = out_stream_ ? paused_ : !writing_;  // the client takes nothing, or sends nothing
    return !ours && connected_;
}

bool Upstream::Connection::stalled(std::chrono::steady_clock::time_point now) const {
    if (!is_waited_for()) return false;
    if (now - progress_ > span(exchange_->request.judge->idle())) return true;
    const std::optional<Millis> overdue = until_overdue(now);
    return overdue && *overdue <= 0;
}

std::optional<Millis> Upstream::Connection::until_overdue(std::chrono::steady_clock::time_point now) const {
    if (!is_waited_for()) return std::nullopt;
    const std::optional<Millis> left = exchange_->request.judge->answer_time_left();
    if (!left) return std::nullopt;
    const Millis silent = std::chrono::duration<Millis, std::milli>(now - progress_).count();
    return std::max(*left, kLastPause - silent);
}

void Upstream::Connection::lost() {
    if (!reused_ || heard_) return stall();
    owner_->link_lost(*this);
    fail(may_have_run() ? Outcome::link_lost : Outcome::superseded);
}

void Upstream::Connection::close() {
    if (!owner_) return;
    --owner_->stats_.open;
    owner_->remove(*this);
    if (owner_->budget_) {
        if (!connected_) owner_->budget_->connected(pool);
        owner_->budget_->closed(pool, resting_);
    }
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

error_code Upstream::Connection::peek() {
    char byte;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    return error;
}

bool Upstream::Connection::may_have_run() const {
    const Judge* const judge = exchange_ ? exchange_->request.judge : nullptr;
    return written_ || (begun_ && judge && !judge->begins_when_whole());
}

void Upstream::Connection::write() {
    Exchange& exchange = *exchange_;
    const std::string_view body = exchange.request.body;
    out_ = std::move(exchange.request.head);
    last_ = !exchange.request.rest;
    if (exchange.request.rest)
        exchange.request.rest->on_bytes = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->write_rest();
        };
    if (exchange.request.chunked) {  // rare: no length was told ahead
        add_chunk(body);
        if (last_) end_chunks(exchange.request.trailers);
        return wait_writable(0);
    }
    const std::array<asio::const_buffer, 2> whole{asio::buffer(out_), asio::buffer(body.data(), body.size())};
    error_code error;
    const std::size_t size = socket_.write_some(whole, error);
    begun_ = size > 0;
    if (error && error != asio::error::would_block) {
        if (reused_) owner_->link_lost(*this);
        return fail_later(reused_ ? Outcome::superseded : Outcome::refused_connection);
    }
    if (size < out_.size() + body.size()) {
        out_.append(body.data(), body.size());
        return wait_writable(size);
    }
    sent();
}

void Upstream::Connection::sent() {
    out_.clear();
    written_ = last_;
    if (!last_) write_rest();
}

void Upstream::Connection::wait_writable(std::size_t size) {
    out_at_ = size;
    writing_ = true;
    socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](error_code) {
        self->writing_ = false;
        if (self->exchange_) try {
                self->write_on();
            } catch (const std::exception&) {  // out of memory, say
                self->stall();
            }
    });
}

void Upstream::Connection::write_on() {
    if (!paused_) hear();
    if (!exchange_) return;
    error_code error;
    const std::size_t size = socket_.write_some(asio::buffer(out_) + out_at_, error);
    if (error && error != asio::error::would_block) return lost();
    begun_ = begun_ || size > 0;
    progress_ = std::chrono::steady_clock::now();
    if (out_at_ + size < out_.size()) return wait_writable(out_at_ + size);
    sent();
}

void Upstream::Connection::write_rest() {
    if (!exchange_ || !connected_ || writing_ || written_ || !exchange_->request.rest) return;
    Stream& rest = *exchange_->request.rest;
    const std::string_view bytes = rest.bytes();
    if (bytes.empty() && rest.ended() && !rest.whole())
        return fail_later(may_have_run() ? Outcome::recalled : Outcome::superseded);
    if (bytes.empty() && !rest.ended()) return;
    if (exchange_->request.chunked)
        add_chunk(bytes);
    else
        out_.append(bytes);
    last_ = rest.whole();
    rest.take(bytes.size());
    if (last_ && exchange_->request.chunked) end_chunks(rest.trailers());
    if (out_.empty()) {
        written_ = last_;
        return;
    }
    wait_writable(0);
}

void Upstream::Connection::wait_readable() {
    if (waiting_) return;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
        self->waiting_ = false;
        if (!self->owner_) return;
        if (!failed && self->exchange_) return self->hear();
        self->discard();  // its end, or what nobody asked for
    });
    waiting_ = true;
}

void Upstream::Connection::bound_silence() {
    const auto longest = static_cast<unsigned>(owner_->limits_.user_timeout);
    if (longest == 0) return;
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &longest, sizeof longest);
}

void Upstream::Connection::let_go() {
    paused_ = false;
    if (exchange_ && exchange_->request.rest) exchange_->request.rest->on_bytes = nullptr;
    if (const auto stream = std::exchange(out_stream_, nullptr)) {
        stream->on_room = nullptr;
        stream->fail();
    }
}

void Upstream::Connection::fail_later(Outcome outcome) {
    asio::post(socket_.get_executor(), [self = shared_from_this(), id = exchange_->id, outcome] {
        if (self->exchange_ && self->exchange_->id == id) self->fail(outcome);
    });
}

void Upstream::Connection::fail(Outcome outcome) {
    if (!exchange_) return close();
    end(false, {outcome});
}

void Upstream::Connection::end(bool keep, End end) {
    const auto self = shared_from_this();
    Upstream* const owner = owner_;
    let_go();
    Exchange exchange = std::move(*exchange_);
    exchange_.reset();
    std::string().swap(pending_);
    std::string().swap(out_);
    try {
        if (keep) owner->reuse(self);
    } catch (const std::exception&) {  // then it is not
        keep = false;
    }
    if (!keep) close();
    owner->ended(exchange.id, exchange.done, std::move(end));
}

}  // namespace whinledge
