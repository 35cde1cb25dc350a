#include "http/front.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cmath>
#include <cstdio>
#include <optional>
#include <utility>

#include "http/client_connection.hpp"
#include "http/message.hpp"
#include "io/clock.hpp"

namespace whinledge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// A client has this long to send a whole request, from its connecting or the request's first byte, and to
// take an answer: error or close are owed within 3 s.
constexpr Millis kLongestRead = 2500, kLongestWrite = 2500;
constexpr Millis kIdMemory = 4000;  // at least; a request's id is used up for longer than any is open
constexpr std::size_t kMostIds = 16384;
constexpr std::size_t kLongestName = 256;  // of an id, a key, a tenant

std::string text(boost::beast::string_view view) { return {view.data(), view.size()}; }
std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

template <class Field>
bool is_timeout(const Field& field) {
    return field.name() == http::field::unknown &&
           boost::beast::iequals(field.name_string(), "Request-Timeout-Ms");
}

Front::Reply empty(http::status status) {
    return {HeadText::response(static_cast<unsigned>(status), view(http::obsolete_reason(status))), {}};
}
Front::Reply plain(http::status status) {
    Front::Reply answer = empty(status);
    answer.head.add("Content-Type", "text/plain");
    answer.body = text(http::obsolete_reason(status));
    return answer;
}

// The first part of the path.
boost::beast::string_view first_part(boost::beast::string_view target) {
    if (!target.starts_with('/')) return {};
    target.remove_prefix(1);
    return target.substr(0, target.find_first_of("/?"));
}

// What the protocol knows of a head, found in one pass over its fields.
class Known {
public:
    enum Name { id, kind, timeout, key, tenant, affinity, hint, retry, info, kNames };
    explicit Known(const http::request_header<>& head) {
        static constexpr std::array<boost::beast::string_view, kNames> names{
            "Request-Id",   "Request-Class", "Request-Timeout-Ms", "Idempotency-Key", "Tenant",
            "Affinity-Key", "Work-Hint",     "Client-Retry",       "Request-Info"};
        for (const auto& field : head) {
            if (field.name() != http::field::unknown) continue;
            const auto name = std::find_if(names.begin(), names.end(), [&](const auto& n) {
                return boost::beast::iequals(field.name_string(), n);
            });
            if (name == names.end()) continue;
            const auto at = static_cast<std::size_t>(name - names.begin());
            if (counts_[at]++ == 0) values_[at] = view(field.value());
        }
    }
    std::size_t count(Name name) const { return counts_[name]; }
    std::string_view operator[](Name name) const { return values_[name]; }  // of the first
    // It stands there once, with something in it and not too long.
    bool given(Name name) const { return counts_[name] == 1 && is_name(values_[name]); }
    static bool is_name(std::string_view value) { return !value.empty() && value.size() <= kLongestName; }

private:
    std::array<std::size_t, kNames> counts_{};
    std::array<std::string_view, kNames> values_{};
};

std::string decimal(double value, const char* format) {
    char text[40];
    return {text, text + std::snprintf(text, sizeof text, format, value)};
}

// None: not a request as the protocol words it. What a request is must be told in one way only: a server that
// reads it otherwise would turn it away, at its cost.
bool names_all(const http::request_header<>& head, const Known& known) {
    for (const auto once : {Known::tenant, Known::affinity, Known::hint, Known::retry, Known::info})
        if (known.count(once) > 1) return false;
    const std::string_view target = view(head.target()), host = view(head[http::field::host]);
    return is_sound_target(target) && !has_dot_segment(target) && is_sound_host(host) &&
           head.count(http::field::host) == 1 && Known::is_name(host) && known.given(Known::id) &&
           known.given(Known::kind) && known.count(Known::timeout) == 1;
}
std::optional<Arrival> read_arrival(const http::request_header<>& head, const Known& known, bool has_body,
                                    const Site& site) {
    Arrival arrival;
    std::uint32_t timeout = 0;
    if (!parse(std::string(known[Known::timeout]), timeout)) return std::nullopt;
    const std::string name(known[Known::kind]);
    arrival.class_index = site.class_index(name);
    if (arrival.class_index >= site.settings.classes.size() || first_part(head.target()) != name)
        return std::nullopt;
    const Effect effect = site.settings.classes[arrival.class_index].effect;
    const bool safe = effect == Effect::repeatable;
    const bool keyed = effect == Effect::by_key;
    if (head.method() != (safe ? http::verb::get : http::verb::post) || (safe && has_body) ||
        known.count(Known::key) != (keyed ? 1 : 0) || (keyed && !known.given(Known::key)))
        return std::nullopt;
    arrival.time_left = std::min<Millis>(timeout, site.longest_wait);
    if (parse(std::string(known[Known::hint]), arrival.effort)) arrival.effort /= 1000;  // microseconds
    if (!(arrival.effort >= 0 && arrival.effort < 1e7)) arrival.effort = 0;
    if (const auto tenant = known[Known::tenant]; !tenant.empty())
        arrival.tenant = site.tenant_index(std::string(tenant));
    arrival.repeat = known[Known::retry] == "1";
    return arrival;
}

}  // namespace

bool Front::RecentIds::take(const std::string& id, Millis longest, Millis now) {
    memory_ = std::max({memory_, longest, kIdMemory});
    if (now - since_ > memory_ || now_.size() >= kMostIds) {
        before_.clear();
        before_.swap(now_);
        since_ = now;
    }
    return !before_.contains(id) && now_.insert(id).second;
}

// A request from its last byte to its answer.
class Front::Request final : public HttpCall, public std::enable_shared_from_this<Request> {
public:
    Request(std::shared_ptr<Client> client, Message message)
        : client_(std::move(client)), message_(std::move(message)) {}

    Upstream::Request outgoing(Millis time_left) const override {
        Upstream::Request to;
        to.head = head(time_left);
        to.body = message_.body();
        to.keep = shared_from_this();
        return to;
    }
    void retell(std::string& head, Millis time_left) const override { head = this->head(time_left); }
    std::string head(Millis time_left) const {
        HeadText head = HeadText::request(view(message_.method_string()), view(message_.target()));
        head.add("Host", view(message_[http::field::host]));
        each_end_to_end(message_, [&](const auto& field) {
            if (!is_timeout(field)) head.add(view(field.name_string()), view(field.value()));
        });
        head.add("Request-Timeout-Ms", static_cast<std::uint64_t>(std::max(1.0, time_left)));
        const std::string& body = message_.body();
        if (!body.empty() || message_.method() == http::verb::post) head.add("Content-Length", body.size());
        return head.whole();
    }
    // By the protocol's table. An error without the proof may have run.
    Outcome outcome_of(const http::response_header<>& head) const override {
        const unsigned status = head.result_int();
        if (status == 200) return Outcome::completed;
        const bool proof = (status == 503 || status == 504) && proves_never_ran(head);
        return proof ? Outcome::saturated : Outcome::errored;
    }

    void served(std::unique_ptr<Answer> answer) noexcept override;
    void refused(Millis retry_in) noexcept override;
    void failed(Failure why) noexcept override;

    // Its client has gone: what comes now is for nobody.
    void leave() noexcept { client_.reset(); }
    // An attempt that does not begin right on arrival looks first: its client's end may wait in the loop's
    // queue behind what makes room for it.
    bool may_start(std::uint32_t) const noexcept override;
    const http::request_header<>& head() const { return message_.base(); }
    std::size_t size() const { return message_.body().size(); }

    std::unique_ptr<Grant> grant;  // what it holds of its limits
    bool arriving = true;          // its last byte has just been read

private:
    template <class Make>
    void end(Make make) noexcept;

    std::shared_ptr<Client> client_;  // until it has its answer
    Message message_;
};

// One connection of the application: idle, sending a request, waiting for its answer, or being answered.
class Front::Client final : public ClientConnection<http::string_body> {
public:
    Client(Front& front, Places::Id place, Tcp::socket socket)
        : ClientConnection(front.door_, place, std::move(socket)), front_(front) {}

    void welcome() override {
        limit(kLongestRead);
        wait_readable();
        door_->rested();
    }
    // What lies unread may be the end of a request, which counts as taken; what idles may hold a whole one.
    bool spare() const override {
        return (phase_ != Phase::idle || pending_.empty()) && unread() != error_code();
    }
    void out_of_time() override {
        if (reading()) return reject(kTooSlow);
        phase_ == Phase::idle ? end_idle() : close();
    }
    void answer(Reply reply) {
        waited();
        begin_answering();
        limit(kLongestWrite);
        if (!keep_) reply.head.add("Connection", "close");
        out_ = reply.head.add("Content-Length", reply.body.size()).whole();
        body_ = std::move(reply.body);
        if (head_request_) body_.clear();
        // Mostly it goes out whole at once; what does not is written as the client takes it.
        const std::array<asio::const_buffer, 2> whole{asio::buffer(out_), asio::buffer(body_)};
        error_code error;
        const std::size_t size = socket_.write_some(whole, error);
        begun_ = !error;
        if (error && error != asio::error::would_block) return end();
        if (size == out_.size() + body_.size()) return answered();
        out_ += body_;
        wait_readable();
        asio::async_write(socket_, asio::buffer(out_) + size,
                          [self = shared_from_this(), this](error_code failed, std::size_t) {
                              if (!door_) return;
                              try {
                                  failed ? end() : answered();
                              } catch (const std::exception&) {
                                  broken();
                              }
                          });
    }

    using Guest::has_gone;

    // Who waits for an answer of the module still gets it; who was being read is refused, who was being
    // answered is told of a failure.
    void broken() noexcept override {
        if (phase_ == Phase::waiting && call_ && call_->pool) return;
        const bool refused = reading() || phase_ == Phase::waiting;
        const bool failed = phase_ == Phase::answering && !begun_;
        waited();
        say_broken(refused, failed);
    }
    // Its answer could not be made.
    void fail() noexcept {
        waited();
        phase_ = Phase::answering;
        begun_ = false;
        broken();
    }

private:
    static constexpr unsigned kTooSlow = 408;

    // More than a request may have.
    int most_reads() const override {
        return static_cast<int>((kHeaderLimit + kBodyLimit + kFramingLimit) / (16 * 1024)) + 2;
    }
    bool ends_with_client() const override { return phase_ == Phase::waiting; }

    void left() override {
        if (phase_ != Phase::waiting) return;
        const auto call = call_;
        const auto self = shared_from_this();
        waited();
        if (call) call->leave();  // first: the pool catches up with what is due
        if (call && call->pool) call->pool->gone(call->id);
    }
    // It waits for the module no more.
    void waited() noexcept { call_.reset(); }

    void answered() {
        std::string().swap(out_);
        std::string().swap(body_);
        keep_ ? next(0) : end();
    }
    void begin() override {
        if (!limited()) limit(kLongestRead);  // else it runs since the connecting
        door_->places().wakes(place, door_->now());
        begin_reading({});
    }

    void parse_body() override {
        if (const error_code error = feed_body())
            return reject(error == http::error::body_limit ? kBodyTooLarge : kBadRequest);
        if (!parser_->is_done()) return wait_readable();
        arrived();
    }

    // Judges a request by its head, before any of its body is kept.
    bool judge_head(const Head& head) override {
        const auto fault = fault_of(head);
        if (fault) reject(static_cast<unsigned>(*fault));
        return !fault;
    }
    std::optional<http::status> fault_of(const Head& head) {
        const bool has_body = parser_->chunked() || parser_->content_length().value_or(0) > 0;
        if (head.target() == "/_health") {
            if (has_body) return http::status::bad_request;
            arrival_.reset();
        } else {
            const Known known(head);
            if (!names_all(head, known)) return http::status::bad_request;
            const auto place = front_.callbacks_.place(head);
            if (!place) return http::status::bad_request;
            site_ = place->site;
            arrival_ = read_arrival(head, known, has_body, *site_);
            if (!arrival_) return http::status::bad_request;
        }
        if (const auto expected = head[http::field::expect]; !expected.empty()) {
            if (!boost::beast::iequals(expected, "100-continue")) return http::status::expectation_failed;
            if (has_body && pending_.empty() && head.version() == 11) say_continue();
        }
        return std::nullopt;
    }

    void arrived() {
        door_->places().asked(place, !arrival_, door_->now());
        limit(0);
        Message message = feed_->release(*parser_);
        end_reading();
        if (!arrival_)
            return answer(plain(message.method() == http::verb::get ? http::status::ok
                                                                    : http::status::method_not_allowed));
        if (!front_.ids_.take(text(message["Request-Id"]), site_->longest_wait, door_->now()))
            return reject(static_cast<unsigned>(http::status::conflict));
        const auto self = std::static_pointer_cast<Client>(shared_from_this());
        call_ = std::make_shared<Request>(self, std::move(message));
        phase_ = Phase::waiting;
        wait_readable();
        // Asked anew: what its head was read by may have been replaced since.
        const auto place = front_.callbacks_.place(call_->head());
        const auto call = call_;
        if (!place || place->site != site_) return call->refused(0);
        if (front_.callbacks_.admit) {
            Admission admission =
                front_.callbacks_.admit(place->pool->name(), site_->classes.at(arrival_->class_index));
            if (!admission.grant) return call->refused(admission.retry_in);
            call->grant = std::move(admission.grant);
            call->grant->hold(call->size());
        }
        place->pool->take(call, *arrival_);
        call->arriving = false;
    }

    void reject(unsigned status) override {
        give_up_reading();
        answer(plain(static_cast<http::status>(status)));
    }

    Front& front_;
    std::string out_, body_;  // of the answer
    std::optional<Arrival> arrival_;
    const Site* site_ = nullptr;     // that its class is of
    std::shared_ptr<Request> call_;  // while it waits for the module
};

bool Front::Request::may_start(std::uint32_t) const noexcept {
    return arriving || (client_ && !client_->has_gone());
}

// Once: the client leaves with it.
template <class Make>
void Front::Request::end(Make make) noexcept {
    const auto client = std::exchange(client_, nullptr);
    if (!client) return;
    try {
        client->answer(make());
    } catch (const std::exception&) {
        client->fail();
    }
}

void Front::Request::served(std::unique_ptr<Answer> answer) noexcept {
    end([&] {
        Upstream::Response& from = static_cast<HttpAnswer&>(*answer).message;
        Reply reply = empty(http::status::ok);
        each_end_to_end(
            from, [&](const auto& field) { reply.head.add(view(field.name_string()), view(field.value())); });
        reply.body = std::move(from.body());
        return reply;
    });
}

void Front::Request::refused(Millis retry_in) noexcept {
    end([&] {
        Reply reply = empty(http::status::service_unavailable);
        if (retry_in > 0) reply.head.add("Retry-After", decimal(retry_in / 1000, "%.3f"));
        return reply;
    });
}

void Front::Request::failed(Failure why) noexcept {
    end([&] {
        return empty(why == Failure::too_late ? http::status::gateway_timeout : http::status::bad_gateway);
    });
}

Front::Front(asio::io_context& io, const Door::Listen& listen, std::size_t clients, Callbacks callbacks,
             Door::Budget budget, const TimeSource& clock)
    : callbacks_(std::move(callbacks)),
      ids_(clock.now()),
      door_(
          io, listen, clients,
          [this](Places::Id place, Tcp::socket socket) {
              return std::make_shared<Client>(*this, place, std::move(socket));
          },
          callbacks_.drained, callbacks_.log, std::move(budget), clock) {}

}  // namespace whinledge
