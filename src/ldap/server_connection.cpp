// Setting a connection to a directory up, writing to it, and the ends of its operations and of itself.
#include "ldap/server_connection.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "io/clock.hpp"
#include "io/open_socket.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

namespace {

constexpr Millis kDoubt = 500;                // of silence: then a server may be gone without a word
constexpr std::size_t kMostOut = 64 << 10;    // encoded and not written, before further operations wait
constexpr std::size_t kMostUnsent = 1 << 20;  // of abandons, say, that a server does not read
constexpr MessageId kLastId = 0x7fffffff;
constexpr Millis kLeastSetup = 1000;  // of a handshake, or the service's bind

}  // namespace

void LdapTransport::Connection::connect(const Tcp::endpoint& address) {
    if (settings->secured != PoolSettings::Secured::no)
        name_ = settings->tls_name.empty() ? address.address().to_string() : settings->tls_name;
    limit(settings->connect_timeout);
    if (const error_code failed = open_socket(socket_, address.protocol(), owner_->let_go_))
        throw boost::system::system_error(failed);
    ++owner_->stats_.opened;
    socket_.async_connect(address, [self = shared_from_this()](error_code failed) {
        if (!self->owner_) return;
        if (failed)
            return self->broke(is_own_exhaustion(failed) ? Outcome::not_sent : Outcome::refused_connection);
        self->guarded([&] { self->connected(); });
    });
}

void LdapTransport::Connection::retire() {
    retired_ = true;
    session_ = nullptr;
    if (open_.empty()) close_politely();
}

bool LdapTransport::Connection::usable() const {
    return owner_ && !retired_ && !doubtful_ && !noticed_ && !paused_ && next_id_ < kLastId - 16;
}

MessageId LdapTransport::Connection::take(ExchangeId exchange, Key key, Listener& listener,
                                          std::shared_ptr<LdapCall> call) {
    const MessageId id = next_id_++;
    Open o;
    o.exchange = exchange;
    o.key = key;
    o.listener = &listener;
    o.out = call->outgoing();
    o.call = std::move(call);
    o.progress = o.sent_at = Steady::now();
    const auto at = open_.emplace(id, std::move(o)).first;
    try {
        waiting_.push_back(id);
    } catch (...) {
        open_.erase(at);
        throw;
    }
    resting_ = false;
    if (phase_ == Phase::ready) pump_soon();
    return id;
}

bool LdapTransport::Connection::written(MessageId id) const {
    const auto at = open_.find(id);
    return at != open_.end() && written_whole(at->second);
}

bool LdapTransport::Connection::stop(MessageId id) {
    const auto at = open_.find(id);
    if (at == open_.end()) return true;
    const Open o = std::move(at->second);
    open_.erase(at);
    if (holder_ == id) resume();
    if (o.end == 0) return over(), false;
    if (received_at_ < o.sent_at && Steady::now() - o.sent_at > span(kDoubt)) doubtful_ = way == Way::shared;
    if (o.out.op == Op::bind)  // it can't be abandoned (RFC 4511, 4.11), and who is bound now nobody knows
        close();
    else
        say(abandon_tail(id));
    over();
    return true;
}

void LdapTransport::Connection::sweep(Steady::time_point now) {
    if (resting_ && now - since_ >= span(settings->idle)) return close_politely();
    if (paused_ && way == Way::shared && now - paused_at_ >= span(settings->stall)) {
        const auto at = open_.find(holder_);
        if (at != open_.end()) {
            const auto call = at->second.call;
            paused_at_ = now;
            call->stalled();
        }
    }
    if (!owner_ || paused_) return;
    std::vector<MessageId> silent;
    for (const auto& [id, o] : open_)
        if (const Millis idle = o.call->idle(); o.begun && idle > 0 && now - o.progress >= span(idle))
            silent.push_back(id);
    for (const MessageId id : silent) {
        if (!owner_) return;
        end(id, Outcome::severed, nullptr);
        if (owner_) say(abandon_tail(id));
    }
}

void LdapTransport::Connection::close_politely() {
    if (owner_ && phase_ == Phase::ready && out_.size() == out_at_) {
        try {
            append(with_id(next_id_++, std::string_view("\x42\0", 2)));  // unbind
            error_code ignored;
            socket_.write_some(asio::buffer(out_.data() + out_at_, out_.size() - out_at_), ignored);
        } catch (const std::exception&) {  // it ends without
        }
    }
    close();
}

void LdapTransport::Connection::close() {
    if (!owner_) return;
    LdapTransport* const owner = std::exchange(owner_, nullptr);
    --owner->stats_.open;
    if (session_) {
        if (session_->connections_.contains(machine)) session_->connections_.erase(machine);
        if (session_->home_ == machine && session_->lost_) asio::post(owner->io_, session_->lost_);
        session_ = nullptr;
    }
    if (owner->budget_) {
        if (phase_ == Phase::connecting) owner->budget_->connected(pool);
        owner->budget_->closed(pool, resting_);
    }
    phase_ = Phase::closed;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    owner->removed(*this);
}

void LdapTransport::Connection::limit(Millis length) {
    timer_.expires_after(span(length));
    timer_.async_wait([weak = weak_from_this(), phase = phase_](error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self && self->owner_ && self->phase_ == phase) self->broke();
    });
}

void LdapTransport::Connection::connected() {
    if (owner_->budget_) owner_->budget_->connected(pool);
    error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    phase_ = Phase::asking_tls;
    wait_readable();
    using Secured = PoolSettings::Secured;
    if (settings->secured == Secured::no) return secured();
    limit(std::max(kLeastSetup, 4 * settings->connect_timeout));
    if (settings->secured == Secured::ldaps) return shake();
    own_id_ = next_id_++;
    append(with_id(own_id_, extended_tail(oid::start_tls)));
    write();
}

void LdapTransport::Connection::shake() {
    phase_ = Phase::shaking;
    tls_.emplace(settings->tls, name_);
    tls_->drain(out_);
    write();
}

void LdapTransport::Connection::secured() {
    if (settings->identity == PoolSettings::Identity::connection || way == Way::bind) return ready();
    phase_ = Phase::binding;
    limit(std::max(kLeastSetup, 4 * settings->connect_timeout));
    own_id_ = next_id_++;
    append(with_id(own_id_, bind_tail(settings->service_name, settings->service_password)));
    write();
}

void LdapTransport::Connection::ready() {
    phase_ = Phase::ready;
    own_id_ = 0;
    timer_.cancel();
    pump();
}

void LdapTransport::Connection::settled(const Message& message, const Response& response) {
    const bool starting = phase_ == Phase::asking_tls;
    if (message.op != (starting ? Op::extended_response : Op::bind_response))
        return spoilt("a wrong response");
    if (response.code != success) {
        owner_->log_.line(std::string(starting ? "a directory refuses StartTLS: "
                                               : "a directory refuses the service's bind: ") +
                          name_of_code(response.code));
        return broke();
    }
    starting ? shake() : ready();
}

void LdapTransport::Connection::append(const Bytes& message) {
    if (!tls_) {
        out_.append(message);
    } else {
        if (!tls_->put(message)) throw std::runtime_error(tls_->why());
        tls_->drain(out_);
    }
}

void LdapTransport::Connection::pump_soon() {
    if (std::exchange(pump_due_, true)) return;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->pump_due_ = false;
        if (self->owner_) self->guarded([&] { self->pump(); });
    });
}

void LdapTransport::Connection::pump() {
    if (phase_ != Phase::ready) return;
    while (!waiting_.empty() && out_.size() - out_at_ < kMostOut) {
        const MessageId id = waiting_.front();
        waiting_.pop_front();
        const auto at = open_.find(id);
        if (at == open_.end()) continue;
        if (at->second.listener->attempt_time_left(at->second.key) <= 0) {
            end(id, Outcome::superseded, nullptr);
            if (!owner_) return;
            continue;
        }
        Open& o = at->second;
        append(with_id(id, o.out.tail));
        o.end = encoded();
        o.sent_at = o.progress = Steady::now();
        if (o.call->at_once()) begin(id);
        if (!owner_) return;
    }
    write();
}

void LdapTransport::Connection::say(const Bytes& tail) {
    if (!owner_ || phase_ != Phase::ready) return;
    guarded([&] {
        if (next_id_ >= kLastId) return;
        append(with_id(next_id_++, tail));
        if (out_.size() - out_at_ > kMostUnsent) return broke();
        pump_soon();
    });
}

void LdapTransport::Connection::write() {
    if (writing_ || !owner_) return;
    error_code error;
    const std::size_t left = out_.size() - out_at_;
    const std::size_t size = left ? socket_.write_some(asio::buffer(out_.data() + out_at_, left), error) : 0;
    sent_ += size;
    out_at_ += size;
    if (error && error != asio::error::would_block) return broke_soon();
    if (out_at_ == out_.size()) {
        Bytes().swap(out_);
        out_at_ = 0;
        if (!waiting_.empty()) pump_soon();
        return;
    }
    if (out_at_ > kMostOut) out_.erase(0, std::exchange(out_at_, 0));
    writing_ = true;
    socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
        self->writing_ = false;
        if (!self->owner_) return;
        if (failed) return self->broke();
        self->guarded([&] { self->phase_ == Phase::ready ? self->pump() : self->write(); });
    });
}

void LdapTransport::Connection::end(MessageId id, Outcome outcome, std::unique_ptr<LdapAnswer> answer) {
    const auto self = shared_from_this();
    const auto at = open_.find(id);
    const Open o = std::move(at->second);
    open_.erase(at);
    owner_->exchanges_.erase(o.exchange);
    if (holder_ == id) resume();
    over();
    o.listener->attempt_ended(o.key, outcome, std::move(answer));
}

void LdapTransport::Connection::over() {
    if (!owner_ || !open_.empty()) return;
    waiting_.clear();
    if (retired_ || doubtful_ || noticed_) return close_politely();
    if (way == Way::session || phase_ != Phase::ready) return;
    since_ = Steady::now();
    if (owner_->budget_ && !owner_->budget_->rest(pool)) return close_politely();
    resting_ = true;
}

void LdapTransport::Connection::spoilt(const char* why) {
    owner_->log_.line(std::string("a response that can't be read: ") + why);
    broke();
}

void LdapTransport::Connection::broke_soon() {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->broke(); });
}

void LdapTransport::Connection::broke(Outcome unsent) {
    if (!owner_) return;
    const auto self = shared_from_this();
    LdapTransport* const owner = owner_;
    const auto alive = std::weak_ptr<LdapTransport*>(owner->self_);
    auto open = std::exchange(open_, {});
    waiting_.clear();
    for (const auto& [id, o] : open) owner->exchanges_.erase(o.exchange);
    close();
    for (auto& [id, o] : open) {
        if (alive.expired()) return;
        const bool written = written_whole(o);
        o.listener->attempt_ended(o.key, written ? Outcome::severed : unsent, nullptr);
    }
}

}  // namespace whinledge::ldap
