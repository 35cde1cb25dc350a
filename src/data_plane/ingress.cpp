#include "data_plane/ingress.hpp"

#include <glog/logging.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <utility>

#include "http/answer_end.hpp"
#include "http/chunks.hpp"
#include "http/client_connection.hpp"
#include "http/message.hpp"
#include "http/target.hpp"

namespace whinledge::data_plane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kStreamBound = 64 << 10;  // bytes of an answer that wait for their client
constexpr std::size_t kMostOut = 64 << 10;      // bytes taken from a stream for one write
constexpr Millis kLongestWrite = 15000;         // without the client taking anything
constexpr Millis kWaitForConfiguration = 600;   // of a request that comes before there is one
constexpr Millis kNotYet = 300;                 // advised to who comes before there is a configuration
constexpr unsigned kUserTimeout = 15000;        // of a client that is silent about what it was sent
const serving::ClientLimits kLimitsAtFirst;

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::string seconds(Millis length) {
    char text[32];
    return {text, static_cast<std::size_t>(std::snprintf(text, sizeof text, "%.3f", length / 1000))};
}

}  // namespace

class Ingress::Client final : public StreamingConnection<PlainBody>, public AnswerSink {
public:
    Client(Ingress& ingress, Places::Id place, Door::Tcp::socket socket)
        : StreamingConnection(ingress.door_, place, std::move(socket)), ingress_(ingress) {
        ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeout,
                     sizeof kUserTimeout);
    }

    // ---- Door::Guest --------------------------------------------------------------------------------------

    void welcome() override {
        limit(limits().header_ms);
        wait_readable();
        door_->rested();
    }
    // What lies unread may be the end of a head, which counts as taken; what idles may hold a whole one.
    bool spare() const override {
        return phase_ != Phase::waiting && phase_ != Phase::answering &&
               (phase_ != Phase::idle || pending_.empty()) && unread() != error_code();
    }
    void out_of_time() override {
        if (reading()) return reject(408);
        if (const auto request = std::exchange(unrouted_, nullptr)) return own(503, kNotYet);
        phase_ == Phase::idle ? end_idle() : close_on_request();
    }
    void hurried() override {
        if (const auto request = std::exchange(unrouted_, nullptr)) return own(503, kNotYet);
        if (const auto exchange = exchange_) exchange->hurry();
    }
    // ---- AnswerSink ---------------------------------------------------------------------------------------

    void whole(HttpAnswer& answer) override {
        HeadText head = head_of(answer.message);
        if (is_bodiless(answer.message.result_int()) || head_request_) {
            add_stated_length(head, answer.message);
            return say(std::move(head), {});
        }
        head.add("Content-Length", answer.message.body().size());
        say(std::move(head), answer.message.body());
    }

    void own(unsigned status, std::optional<Millis> retry_in) override {
        const auto reason = http::obsolete_reason(http::int_to_status(status));
        HeadText head = HeadText::response(status, view(reason));
        if (retry_in) head.add("Retry-After", seconds(*retry_in));
        if (!try_id_.empty()) head.add("Try-Id", try_id_);
        head.add("Content-Length", 0);
        begin_answer(head);
        say(std::move(head), {});
    }

    std::shared_ptr<Stream> begin(const Upstream::Response& from,
                                  std::optional<std::uint64_t> length) override {
        const bool has_body = !is_bodiless(from.result_int()) && !head_request_;
        HeadText head = head_of(from);
        chunked_ = has_body && !length;
        if (chunked_) head.add("Transfer-Encoding", "chunked");
        if (has_body && length) head.add("Content-Length", *length);
        if (!has_body) add_stated_length(head, from);
        out_ += head.whole();
        in_ = std::make_shared<Stream>(kStreamBound);
        const auto in = in_;
        in_->on_bytes = [weak = weak_from_this(), this] {
            const auto self = weak.lock();
            if (!self || !in_) return;
            if (exchange_ && !in_->bytes().empty()) exchange_->first_piece();
            pump();
        };
        write();
        return in;
    }

    void cut_off() override {
        exchange_.reset();
        close_on_request();
    }
    bool has_left() const override { return !door_ || has_gone(); }
    void fail() noexcept override {
        exchange_.reset();
        broken();
    }

    // The configuration that its request has waited for has come.
    void configured() {
        if (!door_ || !unrouted_) return;
        in_force_ = ingress_.in_force_();
        send_on();
    }

private:
    const serving::ClientLimits& limits() const { return in_force_ ? in_force_->limits : kLimitsAtFirst; }

    // ---- Reading ------------------------------------------------------------------------------------------

    bool ends_with_client() const override { return phase_ != Phase::answering || in_; }
    bool answers_all_early() const override { return !door_->hurried(); }

    void begin() override {
        in_force_ = ingress_.in_force_();
        try_id_.clear();
        if (!woken_) limit(limits().header_ms);
        woken_ = true;
        door_->places().wakes(place, door_->now());
        begin_reading({limits().header_bytes, limits().body_bytes, false, false});
    }

    bool judge_head(const Head& head) override {
        received_ = ingress_.host_.clock.now();
        has_body_ = parser_->chunked() || parser_->content_length();
        door_->places().asked(place, false, door_->now());
        woken_ = false;
        if (head.method() == http::verb::connect || head.method() == http::verb::trace)
            return reject(501), false;
        if (!read_target(head)) return reject(400), false;
        if (parser_->content_length().value_or(0) > limits().body_bytes) return reject(413), false;
        if (pending_.empty() && boost::beast::iequals(head[http::field::expect], "100-continue"))
            say_continue();
        phase_ = Phase::body;
        limit(limits().idle_ms);
        return true;
    }

    void parse_body() override {
        const std::size_t before = feed_->size(*parser_);
        const error_code error = feed_body();
        const std::size_t size = feed_->size(*parser_);
        if (error == http::error::body_limit || size > limits().body_bytes) return reject(413);
        if (error) return reject(400);
        if (size > before) limit(limits().idle_ms);
        if (!parser_->is_done()) return wait_readable();
        limit(0);
        take();
    }

    // The whole request is there.
    void take() {
        phase_ = Phase::waiting;
        unrouted_ = std::make_unique<Message>(feed_->release(*parser_));
        end_reading();
        try_id_ = view((*unrouted_)["Try-Id"]);
        wait_readable();
        if (door_->hurried()) return own(503, kNotYet);
        if (in_force_) return send_on();
        ++ingress_.counters_.no_configuration;
        ingress_.unrouted_.push_back(std::static_pointer_cast<Client>(shared_from_this()));
        limit(kWaitForConfiguration);
    }
    void send_on() {
        const auto message = std::exchange(unrouted_, nullptr);
        limit(0);
        const auto target = read_target(message->base());
        const serving::Route* const route = in_force_->find(target->host, target->path);
        if (!route) {
            ++ingress_.counters_.no_route;
            return own(404, std::nullopt);
        }
        Exchange::Request request;
        request.configuration = in_force_;
        request.route = route;
        request.facts = read_facts(message->base());
        request.body = std::move(message->body());
        request.head = std::move(message->base());
        request.has_body = has_body_;
        request.received = received_;
        exchange_ = std::make_shared<Exchange>(
            ingress_.host_, std::static_pointer_cast<Client>(shared_from_this()), std::move(request));
        const auto exchange = exchange_;
        exchange->start();
    }

    // What can't be read, is too much or does not come.
    void reject(unsigned status) override {
        ++ingress_.counters_.rejected;
        give_up_reading();
        own(status, status == 503 || status == 408 ? std::optional<Millis>(kNotYet) : std::nullopt);
    }

    // ---- Answering ----------------------------------------------------------------------------------------

    template <class From>
    HeadText head_of(const From& from) {
        HeadText head = HeadText::response(from.result_int(), view(from.reason()));
        each_end_to_end(from,
                        [&](const auto& field) { head.add(view(field.name_string()), view(field.value())); });
        begin_answer(head);
        return head;
    }
    // Of an answer that has no body: the length that it would have (RFC 9110, 8.6).
    template <class From>
    static void add_stated_length(HeadText& head, const From& from) {
        const auto length = from[http::field::content_length];
        if (!length.empty() && from.result() != http::status::no_content)
            head.add("Content-Length", view(length));
    }
    void begin_answer(HeadText& head) {
        begin_answering();
        last_ = false;
        if (!keep_) head.add("Connection", "close");
    }
    void say(HeadText head, std::string_view body) {
        exchange_.reset();
        out_ += head.whole();
        if (!head_request_) out_ += body;
        last_ = true;
        write();
    }

    // More of an answer that is passed on.
    void pump() override {
        if (writing_ || ending_ || !in_ || !door_) return;
        const auto self = shared_from_this();
        const auto in = in_;
        const std::string_view bytes = in->bytes().substr(0, kMostOut);
        if (exchange_) exchange_->handed(bytes);
        chunked_ ? append_chunk(out_, bytes) : static_cast<void>(out_.append(bytes));
        in->take(bytes.size());
        if (!in_ || !door_) return;
        const bool ended = in->ended() && in->bytes().empty();
        if (ended && !in->whole() && out_.empty()) return close_on_request();
        if (!out_.empty()) return write();
        if (ended) end_stream();
    }
    // All of it has gone out but its end, which its exchange may hold back.
    void end_stream() {
        ending_ = true;
        const auto exchange = std::exchange(exchange_, nullptr);
        if (!exchange) return close_on_request();
        exchange->finish([self = std::static_pointer_cast<Client>(shared_from_this())](bool may_end) {
            if (self->door_) may_end ? self->say_end() : self->close_on_request();
        });
    }
    void say_end() {
        ending_ = false;
        drop_stream();
        if (chunked_) append_last_chunk(out_);
        last_ = true;
        write();
    }
    // Its request was read whole, and no whole answer comes.
    void close_on_request() {
        const bool has_request = phase_ == Phase::waiting || phase_ == Phase::answering;
        if (has_request && !finishing())
            ++(begun_ && phase_ == Phase::answering ? ingress_.counters_.closed_within_answer
                                                    : ingress_.counters_.closed_unanswered);
        close();
    }
    Millis write_limit() const override { return kLongestWrite; }
    void answered() override { next(limits().idle_ms); }

    void left() override {
        const auto self = shared_from_this();
        unrouted_.reset();
        const auto exchange = std::exchange(exchange_, nullptr);
        if (exchange) exchange->leave();
        drop_stream();
    }

    // Who waits for its exchange still gets its answer; others are told as much as needs no memory.
    void broken() noexcept override {
        if (phase_ == Phase::waiting && exchange_) return;
        const bool refused = reading() || unrouted_;
        const bool failed = phase_ == Phase::waiting || (phase_ == Phase::answering && !begun_);
        if (const auto exchange = std::exchange(exchange_, nullptr)) exchange->leave();
        say_broken(refused, failed);
    }

    Ingress& ingress_;
    std::shared_ptr<const serving::Configuration> in_force_;  // as its request began
    std::string try_id_;
    std::unique_ptr<Message> unrouted_;   // whole, while there is no configuration to route it by
    std::shared_ptr<Exchange> exchange_;  // until its answer has gone out but for its end
    Millis received_ = 0;
    bool has_body_ = false;
    bool woken_ = true;  // its time for a head runs since its connecting
    bool chunked_ = false;
    bool ending_ = false;  // its exchange holds the end back
};

Ingress::Ingress(asio::io_context& io, Options options, ExchangeHost& host, InForce in_force,
                 std::function<void()> drained)
    : host_(host),
      in_force_(std::move(in_force)),
      door_(
          io, options.listen, options.places,
          [this](Places::Id place, Door::Tcp::socket socket) {
              return std::make_shared<Client>(*this, place, std::move(socket));
          },
          std::move(drained), [](const std::string& line) { LOG(WARNING) << line; }, {}, *options.clock) {}

void Ingress::configured() {
    for (const auto& waiting : std::exchange(unrouted_, {}))
        if (const auto client = waiting.lock()) client->configured();
}

}  // namespace whinledge::data_plane
