// Writing to an LDAP client, and the ends of its operations and of its connection.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "io/clock.hpp"
#include "ldap/client.hpp"
#include "ldap_codec/dn.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Millis kLongestWrite = 30000;  // without the client's taking a byte

}  // namespace

// Notice of Disconnection, unavailable.
const std::string_view LdapListener::Client::kLastNotice(
    "\x30\x24\x02\x01\x00\x78\x1f\x0a\x01\x34\x04\x00\x04\x00\x8a\x16"
    "1.3.6.1.4.1.1466.20036",
    38);

void LdapListener::Client::say(MessageId id, std::string_view tail) {
    if (!door_ || finishing()) return;
    append(with_id(id, tail));
    write_soon();
}

void LdapListener::Client::result(const Operation& op, std::int32_t code, std::string_view text) {
    say(op.id, result_tail(*response_of(op.request.op), code, text));
}

void LdapListener::Client::done(Operation& op, const LdapAnswer* answer, bool passed) {
    const auto at = ops_.find(op.id);
    if (at == ops_.end()) return;
    const auto keep = at->second;
    ops_.erase(at);
    if (op.request.op == Op::bind) bound(op, answer);
    if (op.session && op.request.op != Op::bind) tied(op, answer, passed);
    counted();
}

void LdapListener::Client::append(const Bytes& message) {
    if (!tls_) {
        out_.append(message);
        return;
    }
    if (!tls_->up()) return;  // before its end there is nobody to say it to
    if (!tls_->put(message)) throw std::runtime_error(tls_->why());
    tls_->drain(out_);
}

void LdapListener::Client::write_soon() {
    if (std::exchange(write_due_, true)) return;
    asio::post(door_->io(), [self = shared_from_this(), this] {
        write_due_ = false;
        if (door_) write();
    });
}

void LdapListener::Client::write() {
    if (writing_ || !door_) return;
    const std::size_t left = out_.size() - out_at_;
    error_code error;
    const std::size_t size = left ? socket_.write_some(asio::buffer(out_.data() + out_at_, left), error) : 0;
    out_at_ += size;
    if (error && error != asio::error::would_block) return close();
    if (out_at_ == out_.size()) {
        Bytes().swap(out_);
        out_at_ = 0;
    } else {
        if (out_at_ > kMostWaiting) out_.erase(0, std::exchange(out_at_, 0));
        writing_ = true;
        socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this(), this](error_code failed) {
            writing_ = false;
            if (!door_) return;
            failed ? close() : write();
        });
    }
    if (size > 0 && waits_ == Waits::writing) waits_ = Waits::nothing;
    watch();
    if (!full()) {
        for (const auto& room : std::exchange(rooms_, {})) room();
        unblock();
    }
    if (out_.empty() && finish_due_) finish(true);
}

void LdapListener::Client::watch() {
    if (!door_ || finishing()) return;
    const Waits now = !out_.empty()                                     ? Waits::writing
                      : tls_ && !tls_->up()                             ? Waits::message
                      : !pending_.empty() && !blocked() && ops_.empty() ? Waits::message
                      : ops_.empty()                                    ? Waits::idle
                                                                        : Waits::nothing;
    if (now == waits_ && limited()) return;
    waits_ = now;
    limit(now == Waits::writing   ? kLongestWrite
          : now == Waits::message ? owner_.options_.head_timeout
          : now == Waits::idle    ? owner_.options_.idle_timeout
                                  : 0);
}

void LdapListener::Client::counted() {
    if (!door_) return;
    if (ops_.empty()) {
        waits_ = Waits::nothing;
        binding_ = false;
        door_->places().idles(place, door_->now());
        if (leaving_) return part_with(unavailable, leaving_);
        door_->rested();
    }
    watch();
    unblock();
}

void LdapListener::Client::leave_when_done(const char* why) {
    if (!door_ || finishing()) return;
    leaving_ = why;
    if (ops_.empty()) part_with(unavailable, why);
}

void LdapListener::Client::part_with(std::int32_t code, std::string_view why) {
    if (!door_ || finishing() || finish_due_) return;
    const auto self = shared_from_this();
    drop_all();
    append(notice(code, why));
    finish_due_ = true;
    pending_.clear();
    write();
}

void LdapListener::Client::drop_all() {
    for (const auto& [id, op] : std::exchange(ops_, {})) forget(op);
}

void LdapListener::Client::left() {
    const auto self = shared_from_this();
    for (const auto& [id, op] : std::exchange(ops_, {})) {
        Pool* const pool = op->pool;
        const RequestId request = op->Call::id;
        op->leave();
        if (pool) pool->gone(request, op->unsafe && op->sent());
    }
    sessions_.clear();
    identity_ = std::make_shared<Identity>();
    Bytes().swap(pending_);
    Bytes().swap(out_);
    for (const auto& room : std::exchange(rooms_, {})) room();
}

}  // namespace whinledge::ldap
