// Writing answers of the http profile: whole ones, those that come as a stream, and how a connection ends.
#include <utility>

#include "http/answer_end.hpp"
#include "http/web_client.hpp"

namespace whinledge {

namespace http = boost::beast::http;

using web::passed_on;
using web::plain;
using web::Reply;

namespace {

constexpr std::size_t kMostOut = 64 << 10;  // bytes taken from a stream for one write

}  // namespace

void Web::Client::welcome() {
    limit(web_.options_.head_timeout);
    wait_readable();
    door_->rested();
}

bool Web::Client::spare() const {
    return (phase_ != Phase::idle || pending_.empty()) && unread() != error_code();
}

void Web::Client::out_of_time() {
    if (phase_ == Phase::head || reading_body_) return spoilt(408);
    phase_ == Phase::idle ? end_idle() : close();
}

void Web::Client::answer(HttpAnswer& answer) {
    Reply reply;
    head_of(reply, answer.message);
    const bool none = is_bodiless(reply.result_int());
    if (!none) reply.body() = std::move(answer.message.body());
    if (none || call_->is_head) keep_length(reply, answer.message);
    if (!answer.trailers.empty() && !none && !call_->is_head && version_ == 11)
        return say_chunked(std::move(reply), passed_on(std::move(answer.trailers)));
    say(std::move(reply));
}

std::shared_ptr<Stream> Web::Client::begin_answer(const Upstream::Response& from,
                                                  std::optional<std::uint64_t> length) {
    const auto call = call_;
    Reply reply;
    head_of(reply, from);
    begin_reply(reply);
    chunked_ = false;
    if (call->is_head || is_bodiless(reply.result_int())) {
        keep_length(reply, from);
    } else if (length) {
        reply.set(http::field::content_length, std::to_string(*length));
    } else if (version_ == 11) {
        reply.set(http::field::transfer_encoding, "chunked");
        chunked_ = true;
    } else {
        keep_ = false;
        end_by_connection();
        reply.set(http::field::connection, "close");
    }
    out_ += head_text(reply.base());
    in_ = std::make_shared<Stream>(stream_bound(*call));
    const auto in = in_;
    in_->on_bytes = [weak = weak_from_this(), this] {
        if (const auto self = weak.lock()) pump();
    };
    pump();
    return in;
}

void Web::Client::say(Reply reply) {
    const bool none = is_bodiless(reply.result_int());
    const bool head_only = call_ ? call_->is_head : head_request_;
    begin_reply(reply);
    if (!none && (!head_only || !reply.body().empty()))
        reply.set(http::field::content_length, std::to_string(reply.body().size()));
    out_ += head_text(reply.base());
    if (!none && !head_only) out_ += reply.body();
    last_ = true;
    write();
}

void Web::Client::cut_off() {
    waited();
    close();
}

void Web::Client::broken() noexcept {
    if (phase_ == Phase::waiting && call_ && call_->pool) return;
    const bool refused = reading() || phase_ == Phase::waiting;
    const bool failed = phase_ == Phase::answering && !begun_;
    waited();
    say_broken(refused, failed);
}

void Web::Client::fail() noexcept {
    if (phase_ == Phase::waiting) phase_ = Phase::answering;
    broken();
}

void Web::Client::begin_reply(Reply& reply) {
    if (std::exchange(reading_body_, false))
        keep_ = false, may_be_sending_ = true, limit(0);  // what is left of it is dropped
    waited();
    begin_answering();
    last_ = false;
    if (!keep_)
        reply.set(http::field::connection, "close");
    else if (version_ == 10)
        reply.set(http::field::connection, "keep-alive");
}

void Web::Client::say_early(Reply reply) {
    if (has_body_) keep_ = false, may_be_sending_ = true;
    say(std::move(reply));
}

void Web::Client::say_chunked(Reply reply, const Trailers& trailers) {
    begin_reply(reply);
    reply.set(http::field::transfer_encoding, "chunked");
    out_ += head_text(reply.base());
    add_chunk(reply.body());
    end_chunks(trailers);
    last_ = true;
    write();
}

void Web::Client::reject(unsigned status) {
    reading_body_ = false;
    give_up_reading();
    if (call_) call_->leave();
    head_request_ = call_ ? call_->is_head : head_request_;
    waited();
    say(plain(status));
}

void Web::Client::pump() {
    if (writing_ || !in_ || !door_) return;
    const auto self = shared_from_this();
    const std::string_view bytes = in_->bytes().substr(0, kMostOut);
    chunked_ ? add_chunk(bytes) : static_cast<void>(out_.append(bytes));
    const auto in = in_;
    in->take(bytes.size());
    if (!in_) return;
    if (in->ended() && in->bytes().empty()) {
        if (in->whole()) {
            if (chunked_) end_chunks(passed_on(in->trailers()));
            last_ = true;
            drop_stream();
        } else if (out_.empty()) {
            return close();
        }
    }
    if (!out_.empty() || last_) write();
}

void Web::Client::left() {
    const auto self = shared_from_this();
    const auto call = call_;
    drop_stream();
    waited();
    if (!call) return;
    Pool* const pool = call->pool;
    call->leave();
    if (pool) pool->gone(call->id);
}

void Web::Client::waited() noexcept {
    if (call_ && call_->route) write_limit_ = call_->route->handling.stream_idle;
    call_.reset();
}

}  // namespace whinledge
