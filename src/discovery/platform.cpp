#include "discovery/platform.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "discovery/member_json.hpp"
#include "http/message.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"

namespace whinledge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kListLimit = 2 * 1024 * 1024;
// A server and its successor may be listed at one address at once.
const MemberRules kRules{.distinct_addresses = false};
// Of what is read and not yet parsed: a head, a chunk's size and extension, a trailer.
constexpr std::size_t kUnparsedLimit = 64 * 1024;

}  // namespace

// One connection to discovery, and the one call that is out on it.
class Discovery::Call : public std::enable_shared_from_this<Call> {
public:
    Call(asio::io_context& io, const Tcp::endpoint& address, const Limits& limits, LetGo let_go)
        : address_(address),
          limits_(limits),
          let_go_(std::move(let_go)),
          socket_(io),
          timer_(io),
          buffer_(kUnparsedLimit) {}

    using Done = std::function<void(bool answered, const std::string& body)>;
    // The answer is due `hold` later.
    void get(const std::string& target, Millis hold, Done done) {
        done_ = std::move(done);
        hold_ = hold;
        parser_.reset();
        request_ = {http::verb::get, target, 11};
        request_.set(http::field::host,
                     address_.address().to_string() + ":" + std::to_string(address_.port()));
        if (socket_.is_open()) return write();
        give(limits_.connect, false);
        if (open_socket(socket_, address_.protocol(), let_go_))
            return asio::post(socket_.get_executor(), [self = shared_from_this()] { self->end(false); });
        socket_.async_connect(address_, [self = shared_from_this()](error_code failed) {
            if (failed || !self->out()) return self->end(false);
            error_code ignored;
            self->socket_.set_option(Tcp::no_delay(true), ignored);
            self->socket_.non_blocking(true, ignored);
            self->write();
        });
    }
    bool out() const { return done_ != nullptr; }

    // What has come behind the last answer.
    enum class Idle { nothing, bytes, end };
    Idle idle() {
        if (buffer_.size() > 0) return Idle::bytes;
        char byte;
        error_code error;
        socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        if (!error) return Idle::bytes;
        return error == asio::error::would_block ? Idle::nothing : Idle::end;
    }
    void close() {
        done_ = nullptr;
        drop();
    }

private:
    // The time for what comes next. `more`: what lies unread by then has begun, and has its own time.
    void give(Millis time, bool more) {
        timer_.expires_after(span(time));
        timer_.async_wait([weak = weak_from_this(), more](error_code cancelled) {
            const auto self = weak.lock();
            if (!self || cancelled) return;
            // One that was under way when its time was over otherwise is not for what came next.
            if (self->timer_.expiry() > asio::steady_timer::clock_type::now()) return;
            error_code ignored;
            if (more && self->socket_.available(ignored) > 0) return self->give(self->limits_.rest, false);
            self->end(false);
        });
    }
    void write() {
        give(hold_ + limits_.patience, true);
        http::async_write(socket_, request_, [self = shared_from_this()](error_code failed, std::size_t) {
            if (failed) return self->end(false);
            self->read();
        });
    }
    // An answer that has begun has `rest` to be whole, so that one that trickles is not waited for in vain.
    void read() {
        parser_.emplace();
        socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
            if (failed || !self->out()) return self->end(false);
            self->give(self->limits_.rest, false);
            self->read_on();
        });
    }
    void read_on() {
        async_read_bounded(socket_, buffer_, *parser_, kListLimit,
                           [self = shared_from_this()](error_code failed) {
                               self->end(!failed && self->parser_->get().result() == http::status::ok);
                           });
    }
    void drop() {
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }
    void end(bool answered) {
        const Done done = std::exchange(done_, nullptr);
        if (!done) return;
        timer_.cancel();
        if (!answered || !parser_->keep_alive()) drop();
        done(answered, answered ? parser_->get().body() : std::string());
    }

    Tcp::endpoint address_;
    const Limits& limits_;
    const LetGo let_go_;
    Millis hold_ = 0;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    http::request<http::empty_body> request_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    Done done_;
};

Discovery::Discovery(asio::io_context& io, Log& log, const Tcp::endpoint& address, std::uint64_t version,
                     bool persistent, Callbacks callbacks)
    : io_(io),
      log_(log),
      address_(address),
      version_(version),
      persistent_(persistent),
      limits_(persistent ? kPushed : kAsked),
      callbacks_(std::move(callbacks)),
      timer_(io) {}

Discovery::~Discovery() {
    end_watch();
    if (fetch_) fetch_->close();
}

void Discovery::watch(bool active) {
    active_ = active;
    pause_ = nullptr;
    timer_.cancel();
    end_watch();
    if (active) begin();
}

void Discovery::begin() {
    pause_ = nullptr;
    look();
    if (!watch_) watch_ = std::make_shared<Call>(io_, address_, limits_, callbacks_.let_go);
    const Asked asked{version_, !compares_};
    // Silence is no sign of a fault while a call holds. So where nobody has answered yet, or not lately, the
    // call holds for nothing: one that is lost, as with an agent that is down, is soon replaced.
    const Millis hold = heard_ && !asked.whole ? limits_.hold : 0;
    const std::string from =
        "?from=" + std::to_string(version_) + "&hold_ms=" + std::to_string(static_cast<int>(hold));
    pace_.began(clock_.now());
    watch_->get("/catalog/members" + (asked.whole ? "" : from), hold,
                [this, asked](bool answered, const std::string& body) { watched(asked, answered, body); });
}

void Discovery::renew(Millis wait) {
    if (!active_) return;
    if (wait <= 0) return begin();
    pause_ = std::make_shared<char>();
    timer_.expires_after(span(wait));
    timer_.async_wait([this, pause = std::weak_ptr(pause_)](error_code cancelled) {
        if (!cancelled && !pause.expired()) begin();
    });
}

void Discovery::move(const Tcp::endpoint& address) {
    if (address == address_) return;
    address_ = address;
    compares_ = false;
    heard_ = false;
    if (active_) watch(true);
    if (fetch_ && fetch_->out()) {
        fetch_->close();
        fetch();
    }
}

void Discovery::fetch() {
    if (fetch_ && fetch_->out()) return;
    fetch_ = std::make_shared<Call>(io_, address_, limits_, callbacks_.let_go);
    fetch_->get("/catalog/members", 0,
                [this, asked = Asked{version_, true}](bool answered, const std::string& body) {
                    fetched(asked, answered, body);
                });
}

void Discovery::fetched(const Asked& asked, bool answered, const std::string& body) {
    fetch_->close();
    std::optional<MemberList> list = read(asked, answered, body);
    if (!list) return callbacks_.failed();
    if (take(asked, *list)) callbacks_.changed(std::move(*list));
}

void Discovery::watched(const Asked& asked, bool answered, const std::string& body) {
    const std::optional<MemberList> list = read(asked, answered, body);
    const std::uint64_t before = version_;
    const bool believed = list && take(asked, *list);
    if (!list) end_watch();
    look();
    const bool back = !std::exchange(heard_, list.has_value()) && !persistent_;
    if (!heard_ && !persistent_) return callbacks_.failed();
    if (heard_ && compares_) told_ = false;
    const Millis now = clock_.now();
    // Before anything else: the next watch is due.
    renew(heard_ ? pace_.answered(now, believed && compares_ && version_ != before) : pace_.failed(now));
    if (believed && (back || list->full || !list->members.empty())) callbacks_.changed(*list);
}

// What an answer says, if it can be read and is what was asked for.
std::optional<MemberList> Discovery::read(const Asked& asked, bool answered, const std::string& body) {
    std::string why = "no answer";
    try {
        if (answered) {
            MemberList list = read_member_list(body, kRules);
            if (list.full || !asked.whole) return list;
            why = "not the whole list";
        }
    } catch (const std::exception& error) {
        why = error.what();
    }
    log_once(why);
    return std::nullopt;
}

// Whether the list is news to be believed.
bool Discovery::take(const Asked& asked, const MemberList& list) {
    if (!asked.whole && !list.full && list.version < asked.version)
        return distrust("a version that goes back"), false;
    // The other one of the two calls has told more since this one was asked.
    if (compares_ && version_ != asked.version && list.version < version_) return false;
    version_ = list.version;
    compares_ = true;
    return true;
}

// What came on the watch's connection with no call out is nobody's answer, and what comes next might be taken
// for another's. Its end alone is no fault.
void Discovery::look() {
    const auto idle = watch_ ? watch_->idle() : Call::Idle::nothing;
    if (idle == Call::Idle::bytes) return distrust("more than was asked for");
    if (idle == Call::Idle::end) end_watch();
}

// The whole list is asked for next, on another connection.
void Discovery::distrust(const char* why) {
    compares_ = false;
    end_watch();
    log_once(why);
}

void Discovery::end_watch() {
    if (watch_) watch_->close();
    watch_ = nullptr;
}

// Until there is a good answer again.
void Discovery::log_once(const std::string& why) {
    if (!std::exchange(told_, true)) log_.line("discovery: " + why);
}

}  // namespace whinledge
