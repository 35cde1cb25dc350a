// A client's connection on which one HTTP/1.1 request follows another: what all profiles of a listener do
// alike. Reading and bounding a request, what comes early, and how a connection rests, ends or breaks stand
// here; a profile says what its requests and answers are.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http/message.hpp"
#include "http/stream.hpp"
#include "listen/door.hpp"

namespace whinledge {

// Body: the Beast body that a request is read into.
template <class Body>
class ClientConnection : public Door::Guest {
public:
    void last_chance() override {
        const auto self = shared_from_this();
        if (phase_ == Phase::idle) end_idle();
        for (int reads = 0; reads_at_the_end() && reads < most_reads() && !unread(); ++reads) read();
        if (door_ && reading()) reject(kUnavailable);
    }

protected:
    using Parser = boost::beast::http::request_parser<Body>;
    using Message = boost::beast::http::request<Body>;
    using Head = boost::beast::http::request_header<>;
    enum class Phase { idle, head, body, waiting, answering };
    struct Bounds {
        std::size_t head_bytes = kHeaderLimit;
        std::uint64_t body_bytes = kBodyLimit;
        bool long_body = false;  // one that may be larger than memory, and is drained as it comes
        bool http10 = true;      // whether HTTP/1.0 is spoken as well
    };
    static constexpr unsigned kBadRequest = 400, kBodyTooLarge = 413, kHeadTooLarge = 431, kUnavailable = 503;

    using Guest::Guest;

    // ---- What a profile says
    // --------------------------------------------------------------------------------

    // A request is to be read: set what it has of its own, then begin_reading().
    virtual void begin() = 0;
    // Its head is whole and sound. False: it has been answered.
    virtual bool judge_head(const Head& head) = 0;
    // Its head is read, and more of its body may be pending.
    virtual void parse_body() = 0;
    // It can't be read, is too much or does not come: answered with this status, and the last on this
    // connection.
    virtual void reject(unsigned status) = 0;
    // Whether a client whose end is seen takes nothing more of what is under way.
    virtual bool ends_with_client() const = 0;
    // Whether all requests that come early are answered in their turn: what is beyond the bound stays unread
    // meanwhile, and the connection ends behind an answer with none behind it. False: what is beyond the
    // bound is dropped, and the answer is the last.
    virtual bool answers_all_early() const { return false; }
    // Whether what is being read now is read on at once as accepting ends, and how often at the most.
    virtual bool reads_at_the_end() const { return reading(); }
    virtual int most_reads() const { return kMostReads; }

    // ---- Reading
    // --------------------------------------------------------------------------------------------

    bool reading() const { return phase_ == Phase::head || phase_ == Phase::body; }

    void begin_reading(const Bounds& bounds) {
        phase_ = Phase::head;
        held_up_ = false;
        bounds_ = bounds;
        head_is_read_ = head_request_ = false;
        scan_ = {};
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(bounds.head_bytes));
        parser_->body_limit(bounds.body_bytes);
        parser_->eager(true);
        if (pending_.empty()) return read();
        has_gone() ? close() : parse();
    }

    void read() {
        error_code error;
        const std::string_view bytes = receive(error);
        if (error == boost::asio::error::would_block) return wait_readable();
        if (error) return close();  // its end, perhaps within a request: nobody waits for an answer
        pending_.append(bytes);
        parse();
    }

    // What is pending, into the parser. The first: of the body.
    error_code feed_body() {
        error_code error;
        feed_->feed(*parser_, pending_, error);
        return error;
    }

    // Who waits for an answer, or takes it, is read on.
    void read_ahead() {
        if (keep_ && answers_all_early() && pending_.size() >= kMostEarly) {
            held_up_ = true;
            return watch_end();
        }
        const Early early =
            read_early(pending_, keep_, answers_all_early() ? kMostEarly + kOneRead : kMostEarly);
        if (early == Early::ended && ends_with_client()) return close();
        if (early != Early::kept) end_after_answer();  // which who has ended its sending may still take
        if (early != Early::ended) wait_readable();
    }

    // The client awaits it ahead of its body (RFC 9110, 10.1.1). Its buffer is empty: it fits, or the
    // connection has ended.
    void say_continue() {
        error_code ignored;
        socket_.write_some(boost::asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }

    // The request is whole, or given up: nothing of it is kept for reading.
    void end_reading() {
        parser_.reset();
        feed_.reset();
        if (pending_.empty()) release_pending();
    }
    // The same of a request that is rejected: nor is anything behind it begun.
    void give_up_reading() {
        parser_.reset();
        feed_.reset();
        end_after_answer();
    }

    // ---- Its end
    // --------------------------------------------------------------------------------------------

    // An answer has gone out, and the client may ask again. `idle`: ms that it may rest; 0: any.
    void next(Millis idle) {
        phase_ = Phase::idle;
        may_be_sending_ = false;
        door_->places().idles(place, door_->now());
        limit(idle);
        if (door_->shut()) return last_chance();
        if (!pending_.empty())  // its next request, early
            return boost::asio::post(door_->io(), [self = shared_from_this(), this] {
                if (door_ && phase_ == Phase::idle) begin();
            });
        wait_readable();
        door_->rested();
    }
    // One that idles ends in good order, unless something has come on it by now: that is read.
    void end_idle() {
        const bool is_quiet = pending_.empty() && unread() == boost::asio::error::would_block;
        is_quiet ? finish_idle() : begin();
    }
    // An answer has gone out, the last of this connection.
    void end() { finish(may_be_sending_ || !pending_.empty()); }

    // From here on the answer is the client's. Whether its connection is kept is settled by it.
    void begin_answering() {
        phase_ = Phase::answering;
        begun_ = false;
        const bool may_stay = !door_->draining() && door_->stays(*this);
        keep_ = keep_ && (may_stay || (answers_all_early() && has_come_early()));
    }
    // Something of a further request, read or not.
    bool has_come_early() const { return !pending_.empty() || !unread(); }

    // Of broken(): what was being read is refused, what was not answered yet has failed, else the bytes end.
    void say_broken(bool refused, bool failed) noexcept {
        static constexpr std::string_view kRefused =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        static constexpr std::string_view kFailed =
            "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        phase_ = Phase::answering;
        say_last(refused ? kRefused : failed ? kFailed : std::string_view());
    }

    std::string pending_;  // read and not parsed
    std::optional<Parser> parser_;
    std::optional<BodyFeed<Parser>> feed_;
    Phase phase_ = Phase::idle;
    bool keep_ = true;             // the connection, behind the answer
    bool may_be_sending_ = false;  // as the last answer goes out
    bool head_request_ = false;    // by HEAD: its answer has no body
    unsigned version_ = 11;        // of its request: 10 or 11
    bool begun_ = false;           // the answer is on its way

private:
    static constexpr int kMostReads = 16;
    static constexpr std::size_t kOneRead = 16 * 1024;  // bytes, of the door's buffer

    bool held_up() const override { return held_up_; }
    void readable(error_code) override {
        if (phase_ == Phase::idle) return begin();
        if (reading() || reads_body_late()) return read();
        read_ahead();
    }
    // Whether the body is read while the answer is awaited already.
    virtual bool reads_body_late() const { return false; }

    // Reads on, if at all, from the event loop: who sends at full speed is no more than one among all.
    void parse() {
        if (!head_is_read_) {
            const HeadScan::Found found = scan_.scan(pending_);
            if (found == HeadScan::Found::fault) return reject(kBadRequest);
            const std::size_t unfinished = found == HeadScan::Found::end ? 0 : pending_.size();
            if (std::max(scan_.size(), unfinished) > bounds_.head_bytes) return reject(kHeadTooLarge);
            if (found == HeadScan::Found::more) return wait_readable();
            if (!read_head()) return;
        }
        parse_body();
    }

    // False: it has been answered.
    bool read_head() {
        error_code error;
        parser_->eager(false);
        pending_.erase(0, parser_->put(boost::asio::buffer(pending_.data(), scan_.size()), error));
        parser_->eager(true);
        const auto& head = parser_->get().base();
        const bool spoken = head.version() == 11 || (head.version() == 10 && bounds_.http10);
        if (error == boost::beast::http::error::body_limit) return reject(kBodyTooLarge), false;
        if (error || !parser_->is_header_done() || !spoken || !framing_is_sound(head))
            return reject(kBadRequest), false;
        head_is_read_ = true;
        keep_ = parser_->keep_alive();
        head_request_ = head.method() == boost::beast::http::verb::head;
        version_ = head.version();
        feed_.emplace(*parser_, bounds_.long_body);
        return judge_head(head);
    }

    // Who has gone, or sends more than one request at a time: nothing that came early is begun.
    void end_after_answer() {
        keep_ = false;
        may_be_sending_ = true;
        release_pending();
    }
    void release_pending() { std::string().swap(pending_); }

    Bounds bounds_;
    HeadScan scan_;
    bool held_up_ = false;  // what has come early is left unread for now
    bool head_is_read_ = false;
};

// One whose answers may come in pieces, through a stream.
template <class Body>
class StreamingConnection : public ClientConnection<Body> {
protected:
    using Base = ClientConnection<Body>;
    using Base::Base;
    using typename Base::error_code;

    // More of the stream, into what is being written.
    virtual void pump() = 0;
    // ms without the client taking anything.
    virtual Millis write_limit() const = 0;
    // The last bytes of an answer have gone out, and the connection is kept.
    virtual void answered() = 0;

    void write() {
        error_code error;
        std::size_t size = 0;
        if (!out_.empty()) size = this->socket_.write_some(boost::asio::buffer(out_), error);
        this->begun_ = this->begun_ || size > 0;
        if (error && error != boost::asio::error::would_block) return this->close();
        if (size == out_.size()) return written();
        writing_ = true;
        this->limit(write_limit());
        boost::asio::async_write(this->socket_, boost::asio::buffer(out_) + size,
                                 [self = this->shared_from_this(), this](error_code failed, std::size_t) {
                                     writing_ = false;
                                     if (!this->door_) return;
                                     this->limit(0);
                                     try {
                                         failed ? this->close() : written();
                                     } catch (const std::exception&) {
                                         this->broken();
                                     }
                                 });
    }
    void drop_stream() {
        if (const auto in = std::exchange(in_, nullptr)) {
            in->on_bytes = nullptr;
            in->stop();
        }
    }

    std::string out_;             // being written
    std::shared_ptr<Stream> in_;  // the rest of an answer
    bool last_ = false;           // behind what is being written nothing of the answer is left
    bool writing_ = false;

private:
    void written() {
        out_.clear();
        if (!last_) {
            if (in_ && (!in_->bytes().empty() || in_->ended())) pump_later();
            return;
        }
        std::string().swap(out_);
        this->keep_ ? answered() : this->end();
    }
    // Not at once: whoever takes much is no more than one among all.
    void pump_later() {
        boost::asio::post(this->door_->io(), [self = this->shared_from_this(), this] {
            if (this->door_) pump();
        });
    }
};

}  // namespace whinledge
