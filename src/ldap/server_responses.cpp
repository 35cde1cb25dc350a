// Reading what a directory sends: responses, parts of a search, notices.
#include <algorithm>
#include <utility>

#include "io/clock.hpp"
#include "ldap/server_connection.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

namespace {

bool answers(Op request, Op response) {
    if (response == Op::intermediate) return true;
    if (request == Op::search && (response == Op::entry || response == Op::reference)) return true;
    return response_of(request) == response;
}

}  // namespace

void LdapTransport::Connection::wait_readable() {
    if (std::exchange(waiting_to_read_, true)) return;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
        self->waiting_to_read_ = false;
        if (!self->owner_) return;
        if (failed) return self->broke();
        if (self->paused_) return;  // resume() waits again
        self->guarded([&] { self->receive(); });
    });
}

void LdapTransport::Connection::receive() {
    error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(owner_->scratch_), error);
    if (error == asio::error::would_block) return wait_readable();
    if (error) return broke();
    received_at_ = Steady::now();
    const std::string_view bytes(owner_->scratch_.data(), size);
    if (!tls_) {
        pending_.append(bytes);
    } else {
        const bool was_up = tls_->up(), sound = tls_->take(bytes, pending_);
        tls_->drain(out_);
        if (!sound) {
            owner_->log_.line("TLS towards a directory: " + tls_->why());
            return broke();
        }
        if (!was_up && tls_->up()) secured();
        if (!owner_) return;
        write();
        if (tls_->ended()) return broke();
    }
    parse();
}

void LdapTransport::Connection::parse() {
    Bytes bytes = std::move(pending_);
    pending_.clear();
    std::size_t at = 0;
    while (owner_ && !paused_) {
        const std::string_view rest = std::string_view(bytes).substr(at);
        const Framed framed = frame(rest, settings->bounds.message);
        if (framed.found == Framed::Found::fault) return spoilt(framed.fault);
        if (framed.found == Framed::Found::more) break;
        at += framed.size;
        if (!heard(rest.substr(0, framed.size))) return;
        // StartTLS: what comes behind its response is not in clear any more, or somebody else's.
        if (phase_ == Phase::shaking && at < bytes.size()) return spoilt("bytes ahead of TLS");
    }
    if (!owner_) return;
    if (at < bytes.size()) pending_ = bytes.substr(at);
    if (!paused_) wait_readable();
}

bool LdapTransport::Connection::heard(std::string_view bytes) {
    const Read read = read_message(bytes, settings->bounds);
    if (const auto* const fault = std::get_if<const char*>(&read)) return spoilt(*fault), false;
    const Message& message = std::get<Message>(read);
    const ReadResponse judged = read_response(message, settings->bounds);
    if (const auto* const fault = std::get_if<const char*>(&judged)) return spoilt(*fault), false;
    const Response& response = std::get<Response>(judged);
    if (message.id == 0) {
        if (response.oid == oid::notice_of_disconnection) disconnects();
        return owner_ != nullptr;
    }
    if (message.id == own_id_) return settled(message, response), owner_ != nullptr;
    const auto at = open_.find(message.id);
    if (at == open_.end()) {
        if (message.id >= next_id_) return spoilt("a response to nothing"), false;
        return true;  // of what was abandoned
    }
    if (at->second.end == 0 || !answers(at->second.out.op, message.op))
        return spoilt("a response of another kind"), false;
    deliver(message.id, message, response);
    return owner_ != nullptr;
}

void LdapTransport::Connection::disconnects() {
    noticed_ = true;
    const auto noticed = owner_->noticed_;
    if (open_.empty()) close();
    if (noticed) noticed(machine);
}

void LdapTransport::Connection::deliver(MessageId id, const Message& message, const Response& response) {
    Open& o = open_.at(id);
    o.progress = Steady::now();
    if (session_) session_->answered_by_ = machine;
    const bool first = !o.begun && !o.answer;
    if (response.final && !o.begun) {
        const Meaning meaning = o.call->meaning(response.code, first);
        if (meaning == Meaning::never_ran) return end(id, Outcome::saturated, nullptr);
        if (!o.answer) o.answer = std::make_unique<LdapAnswer>();
        auto answer = std::move(o.answer);
        answer->parts.push_back({message.op, bytes(message.tail)});
        answer->code = response.code;
        answer->unties = unties(message, *o.out.request);
        return end(id, meaning == Meaning::error ? Outcome::errored : Outcome::completed, std::move(answer));
    }
    if (o.begun) return pass(id, message, response.final);
    if (!o.answer) o.answer = std::make_unique<LdapAnswer>();
    o.answer->parts.push_back({message.op, bytes(message.tail)});
    o.held += message.tail.size();
    if (o.held > o.call->buffer()) begin(id);
}

void LdapTransport::Connection::begin(MessageId id) {
    const auto self = shared_from_this();
    auto at = open_.find(id);
    if (!at->second.listener->attempt_begun(at->second.key)) return drop(id);
    at = open_.find(id);
    if (at == open_.end()) return;
    at->second.begun = true;
    const auto held = std::move(at->second.answer);
    if (!held) return;
    for (const LdapAnswer::Part& part : held->parts) {
        Message message;
        message.op = part.op;
        message.tail = part.tail;
        pass(id, message, false);
        if (!owner_ || !open_.contains(id)) return;
    }
}

void LdapTransport::Connection::pass(MessageId id, const Message& message, bool final) {
    const auto call = open_.at(id).call;
    if (!call->part(message)) {
        if (owner_ && open_.contains(id)) drop(id);
        return;
    }
    if (!owner_ || !open_.contains(id)) return;
    if (final) return end(id, Outcome::completed, nullptr);
    if (paused_ || !call->full()) return;
    paused_ = true;
    holder_ = id;
    paused_at_ = Steady::now();
    call->on_room([weak = weak_from_this(), id] {
        const auto self = weak.lock();
        if (self && self->owner_ && self->holder_ == id) self->resume();
    });
}

void LdapTransport::Connection::resume() {
    if (!std::exchange(paused_, false)) return;
    holder_ = 0;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->owner_ && !self->paused_) self->guarded([&] { self->parse(); });
    });
}

void LdapTransport::Connection::drop(MessageId id) {
    end(id, Outcome::recalled, nullptr);
    if (owner_) say(abandon_tail(id));
}

}  // namespace whinledge::ldap
