// Reading a server's answer: its head, its body as a whole or as it comes, and where it breaks off.
#include <netinet/tcp.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <utility>

#include "http/server_connection.hpp"

namespace whinledge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr int kMostInterim = 8;     // answers 1xx ahead of one
constexpr double kIdleShare = 0.8;  // of the time that a server keeps an idle connection

// What an answer tells, by the protocol's table. An error without the proof may have run.
Outcome outcome_of(const http::response_header<>& head) {
    const unsigned status = head.result_int();
    if (status == 200) return Outcome::completed;
    const bool proof = (status == 503 || status == 504) && proves_never_ran(head);
    return proof ? Outcome::saturated : Outcome::errored;
}

}  // namespace

void Upstream::Connection::hear() {
    try {
        receive();
    } catch (const std::exception&) {  // out of memory, say
        stall();
    }
}

void Upstream::Connection::receive() {
    error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(owner_->scratch_), error);
    if (error == asio::error::would_block) return wait_readable();
    if (error)
        return connection_ended(error == asio::error::eof ? ConnectionEnd::orderly : ConnectionEnd::broken);
    heard_ = true;
    acknowledge();
    progress_ = std::chrono::steady_clock::now();
    pending_.append(owner_->scratch_.data(), size);
    // More than a head and a body can hold is not kept: whatever is behind them ends the connection.
    if (const char* const fault = parse()) broke(fault);
}

void Upstream::Connection::acknowledge() {
    const int on = 1;
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_QUICKACK, &on, sizeof on);
}

void Upstream::Connection::begin_parsing() {
    const Judge* const judge = exchange_->request.judge;
    const std::size_t limit = judge ? judge->answer_limit() : kBodyLimit;
    parser_.emplace();
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(limit ? limit : kAnyLength);
    if (judge && judge->head_only()) parser_->skip(true);
    scan_ = {};
}

const char* Upstream::Connection::parse_head() {
    while (!outcome_) {
        if (!parser_) begin_parsing();
        const HeadScan::Found found = scan_.scan(pending_);
        if (found == HeadScan::Found::fault) return "no head of HTTP";
        if (scan_.size() > kHeaderLimit) return "a head without end";
        if (found == HeadScan::Found::more) return wait_readable(), nullptr;
        error_code error;
        pending_.erase(0, parser_->put(asio::buffer(pending_.data(), scan_.size()), error));
        if (!parser_->is_header_done()) return "a head that can't be read";
        const auto& head = parser_->get();
        if (!framing_is_sound(head)) return "a length that can be read in two ways";
        if (head.result_int() < 100) return "a status that is none";
        if (head.result_int() / 100 == 1) {  // the answer is yet to come
            if (++interim_ > kMostInterim || head.result_int() == 101) return "interim answers without end";
            parser_.reset();
            continue;
        }
        outcome_ = outcome_of(head);
        if (error) return "a body that is too long";  // by the length that its head states
    }
    begin_body();
    return nullptr;
}

void Upstream::Connection::begin_body() {
    // Its judge takes it for another's answer: nothing that comes on this connection is ours.
    if (outcome_ == Outcome::severed) return fail(Outcome::severed);
    const Judge* const judge = exchange_->request.judge;
    if (owner_->limits_.heed_keep_alive) heed_keep_alive(parser_->get());
    delimiter_ = body_delimiter(parser_->get(), judge && judge->head_only());
    if (delimiter_ == BodyDelimiter::connection_close && !needs_body()) return cut_short();
    parser_->eager(true);
    feed_.emplace(*parser_, judge && judge->whole_up_to() > 0);
}

const char* Upstream::Connection::parse() {
    if (!feed_) {
        if (const char* const fault = parse_head()) return fault;
        if (!feed_) return nullptr;  // its head is not whole, or has ended it
    }
    error_code error;
    feed_->feed(*parser_, pending_, error);
    if (error) return "a body that can't be read";
    if (!written_ && parser_->get().result_int() / 100 == 2) return "an answer ahead of its request's end";
    if (!out_stream_ && !parser_->is_done() && passes_on()) {
        if (!begin_passing()) return nullptr;
    }
    if (out_stream_) return pass(), nullptr;
    const bool whole = is_whole(ConnectionEnd::none);
    if (!whole && too_much()) return cut_short(), nullptr;
    whole ? answered() : wait_readable();
    return nullptr;
}

bool Upstream::Connection::too_much() const {
    const Judge* const judge = exchange_->request.judge;
    return judge && judge->whole_up_to() > 0 && feed_->size(*parser_) > judge->whole_up_to();
}

void Upstream::Connection::cut_short() {
    const Outcome outcome = *outcome_;
    parser_.reset();
    feed_.reset();
    fail(outcome == Outcome::completed ? Outcome::severed : outcome);
}

bool Upstream::Connection::needs_body() const {
    const Judge* const judge = exchange_->request.judge;
    if (outcome_ == Outcome::errored) return judge && judge->keeps_failed_answers();
    return outcome_ == Outcome::completed;
}

bool Upstream::Connection::passes_on() const {
    const Judge* const judge = exchange_->request.judge;
    if (!judge || judge->whole_up_to() == 0 || !exchange_->request.pass_on) return false;
    if (outcome_ != Outcome::completed) return false;
    const auto length = parser_->content_length();
    if (!length && judge->waits_for_unknown_length()) return feed_->size(*parser_) > judge->whole_up_to();
    return !length || *length > judge->whole_up_to();
}

void Upstream::Connection::heed_keep_alive(const http::response_header<>& head) {
    constexpr std::string_view kTimeout = "timeout=";
    const auto field = head[http::field::keep_alive];
    const std::string text(field.data(), field.size());
    const auto at = text.find(kTimeout);
    if (at == std::string::npos) return;
    const double seconds = std::strtod(text.c_str() + at + kTimeout.size(), nullptr);
    idle_ = std::min(idle_, std::max(0.0, seconds * 1000 * kIdleShare));
}

bool Upstream::Connection::begin_passing() {
    const auto self = shared_from_this();
    Response head;
    head.base() = parser_->get().base();
    const auto length = parser_->content_length();
    out_stream_ = exchange_->request.pass_on(std::move(head),
                                             length ? std::optional<std::uint64_t>(*length) : std::nullopt);
    if (!exchange_) return false;  // stopped from there
    if (!out_stream_ || out_stream_->stopped()) return fail(Outcome::recalled), false;
    out_stream_->on_room = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->room();
    };
    return true;
}

void Upstream::Connection::pass() {
    const auto self = shared_from_this();
    out_stream_->put(feed_->drain(*parser_));
    if (!exchange_ || !out_stream_) return;  // it was too much for whoever takes it
    if (parser_->is_done()) {
        const auto stream = std::exchange(out_stream_, nullptr);
        const bool keep = parser_->keep_alive() && !writing_ && written_ && pending_.empty();
        if (!pending_.empty()) owner_->stray(*this);
        stream->on_room = nullptr;
        stream->finish(feed_->trailers(*parser_));
        parser_.reset();
        feed_.reset();
        if (exchange_) end(keep, {Outcome::completed});
        return;
    }
    paused_ = out_stream_->full();
    if (!paused_) wait_readable();
}

void Upstream::Connection::room() {
    if (!out_stream_ || !exchange_) return;
    progress_ = std::chrono::steady_clock::now();
    if (out_stream_->stopped()) return fail_later(Outcome::recalled);
    if (std::exchange(paused_, false)) wait_readable();
}

void Upstream::Connection::connection_ended(ConnectionEnd how) {
    if (!outcome_ || !is_whole(how)) return broke(nullptr);
    error_code error;
    parser_->put_eof(error);
    if (error) return broke("a body that can't be read");
    out_stream_ ? pass() : answered();
}

void Upstream::Connection::broke(const char* fault) {
    if (fault) owner_->log_.line(std::string("an answer that can't be read: ") + fault);
    // The proof that it never ran stands in the header.
    if (outcome_ && outcome_ != Outcome::completed) return fail(*outcome_);  // without its body
    lost();
}

Outcome Upstream::Connection::outcome_of(const http::response_header<>& head) const {
    const Judge* const judge = exchange_->request.judge;
    return judge ? judge->outcome_of(head) : whinledge::outcome_of(head);
}

void Upstream::Connection::answered() {
    // What comes behind a good answer is nobody's: the connection ends with it.
    if (!pending_.empty()) owner_->stray(*this);
    const bool keep = parser_->keep_alive() && !writing_ && written_ && pending_.empty();
    Trailers trailers = feed_->trailers(*parser_);
    Response response = feed_->release(*parser_);
    feed_.reset();
    parser_.reset();
    end(keep, {*outcome_, std::move(response), std::move(trailers)});
}

}  // namespace whinledge
