#include "tier/server.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace whinledge::tier_rig {
namespace {

constexpr Millis kStep = 40;        // between looks whether the client is still there
constexpr double kTokensRead = 32;  // prefilled in a millisecond
constexpr Millis kHealthLimit = 1000;

std::string field(const Request& request, const char* name) { return text(request[name]); }

std::optional<double> number_of(const std::string& words) {
    char* end = nullptr;
    const double value = std::strtod(words.c_str(), &end);
    return words.empty() || *end != '\0' ? std::nullopt : std::optional(value);
}

struct Part {
    std::string id;
    std::int64_t tokens = 0;
};
// ID:TOKENS separated by commas.
std::vector<Part> parts_of(const std::string& words) {
    std::vector<Part> parts;
    std::stringstream items(words);
    for (std::string item; std::getline(items, item, ',');)
        if (const auto colon = item.find(':'); colon != std::string::npos)
            parts.push_back({item.substr(0, colon), std::atoll(item.c_str() + colon + 1)});
    return parts;
}

}  // namespace

struct Server::Waiter {
    explicit Waiter(World& world) : timer(world.io) {}
    asio::steady_timer timer;
    bool let_in = false;
};

Server::Server(World& world, ServerOptions options) : world_(world), options_(std::move(options)) {}

void Server::start() {
    service_ = std::make_shared<HttpService>(
        world_, options_.address,
        [self = shared_from_this()](Stream& stream, Request& request) {
            return self->answer(stream, request);
        },
        options_.most_connections);
    service_->start();
}

void Server::stop() {
    stopped_ = true;
    if (service_) service_->stop();
    service_.reset();
}

void Server::add_common(http::fields& fields) const {
    if (options_.tells_load)
        fields.set("Server-Load", std::to_string(running_) + "," + std::to_string(waiting_.size()) + "," +
                                      std::to_string(options_.slots));
    if (options_.engine) fields.set("Versions", "1");
}

Response Server::plain(const Request& request, unsigned status) const {
    Response response(static_cast<http::status>(status), 11);
    response.keep_alive(request.keep_alive() && !leaving_);
    if (const std::string id = field(request, "Try-Id"); !id.empty()) response.set("Try-Id", id);
    add_common(response);
    return response;
}

Task<bool> Server::refuse(Stream& stream, const Request& request, unsigned status) {
    Response response = plain(request, status);
    if (status == 421)
        response.set("Answered-By", options_.id);
    else
        response.set("Not-Run", "1");
    co_return co_await respond(stream, std::move(response));
}

Task<Server::Entry> Server::enter(Stream& stream, Millis limit) {
    if (running_ < options_.slots) {
        ++running_;
        co_return Entry::in;
    }
    if (waiting_.size() >= static_cast<std::size_t>(options_.queue)) co_return Entry::full;
    const auto waiter = std::make_shared<Waiter>(world_);
    waiting_.push_back(waiter);
    waiter->timer.expires_after(span(limit));
    error_code ignored;
    co_await waiter->timer.async_wait(caught(ignored));
    if (!waiter->let_in) {
        waiting_.remove(waiter);
        co_return Entry::late;
    }
    if (is_closed(stream)) {
        release();
        co_return Entry::left;
    }
    co_return Entry::in;
}

void Server::release() {
    if (waiting_.empty()) {
        --running_;
        return;
    }
    const auto next = waiting_.front();
    waiting_.pop_front();
    next->let_in = true;
    next->timer.cancel();
}

Task<bool> Server::work(Stream& stream, Millis span) {
    const Millis until = world_.now() + span;
    for (;;) {
        const Millis left = until - world_.now();
        if (left <= 0) co_return !stopped_;
        co_await sleep_for(world_, std::min(left, kStep));
        if (stopped_ || is_closed(stream)) co_return false;
    }
}

Task<bool> Server::answer_report(Stream& stream, Request& request) {
    nlohmann::json report{{"phase", "both"},
                          {"models", {{{"name", "m"}, {"version", 1}, {"addOns", nlohmann::json::array()}}}},
                          {"busy", false},
                          {"callCount", 0},
                          {"queued", waiting_.size()},
                          {"active", running_},
                          {"memoryUsed", 0},
                          {"memoryTotal", options_.memory_tokens},
                          {"sessions", 0}};
    Response response = plain(request, 200);
    response.set(http::field::content_type, "application/json");
    response.body() = report.dump();
    co_return co_await respond(stream, std::move(response));
}

Task<bool> Server::answer_health(Stream& stream, Request& request) {
    const Entry entry = co_await enter(stream, kHealthLimit);
    if (entry == Entry::left) co_return false;
    if (entry != Entry::in) co_return co_await refuse(stream, request, 503);
    release();
    Response response = plain(request, leaving_ ? 503 : 200);
    response.set("Answered-By", options_.id);
    co_return co_await respond(stream, std::move(response));
}

Task<bool> Server::answer(Stream& stream, Request& request) {
    const std::string target = text(request.target());
    if (target == "/health") co_return co_await answer_health(stream, request);
    if (target == "/report") co_return co_await answer_report(stream, request);
    if (const std::string wanted = field(request, "Wanted-Server"); !wanted.empty() && wanted != options_.id)
        co_return co_await refuse(stream, request, 421);
    const std::string id = field(request, "Try-Id");
    if (id.empty()) co_return co_await refuse(stream, request, 400);

    const std::optional<double> time_left = number_of(field(request, "Time-Left"));
    const Entry entry = co_await enter(stream, time_left.value_or(10000));
    if (entry == Entry::left || stopped_) co_return false;
    if (entry != Entry::in) co_return co_await refuse(stream, request, 503);

    Run& run = world_.record.runs.emplace_back();
    run.server = options_.id;
    run.service = options_.service;
    run.try_id = id;
    run.seal = world_.hex(4) + "." + world_.hex(8);
    run.host = text(request[http::field::host]);
    run.method = text(request.method_string());
    run.path = target;
    run.body = request.body();
    run.previous = field(request, "Previous");
    run.time_left = time_left;
    run.at = world_.now();
    run.status = world_.chance(options_.fail_share) ? 500 : 200;
    bool goes_on = false;
    if (options_.engine && run.status == 200)
        goes_on = co_await run_engine(stream, request, run);
    else
        goes_on = co_await run_tool(stream, request, run);
    run.ended = world_.now();
    if (stopped_ && !run.whole) run.broke_off = true;
    release();
    co_return goes_on;
}

Task<bool> Server::run_tool(Stream& stream, Request& request, Run& run) {
    const double crowding = running_ * 2 > options_.slots ? 1.5 : 1;
    const bool stays = co_await work(stream, options_.latency * world_.between(0.5, 1.5) * crowding);
    if (!stays) co_return false;
    run.answer = options_.service + " has done " + run.try_id + "\n" + std::string(world_.below(600), '.');
    Response response = plain(request, static_cast<unsigned>(run.status));
    response.set("Server-Seal", run.seal);
    response.body() = run.answer;
    if (world_.chance(options_.break_share)) {
        co_await spoil_answer(stream, std::move(response), run);
        co_return false;
    }
    run.whole = true;
    co_return co_await respond(stream, std::move(response));
}

Task<void> Server::spoil_answer(Stream& stream, Response response, Run& run) {
    response.prepare_payload();
    std::ostringstream whole;
    whole << response;
    std::string bytes = whole.str();
    switch (world_.below(4)) {
        case 0:
            bytes.clear();
            break;
        case 1:
            bytes.resize(bytes.size() - 1 - static_cast<std::size_t>(world_.below(9)));
            break;
        case 2:
            bytes = "no answer at all\r\n\r\n";
            break;
        default:
            bytes +=
                "HTTP/1.1 200 OK\r\nTry-Id: 0123456789abcdef\r\nServer-Seal: surplus\r\nContent-Length: "
                "3\r\n\r\nbad";
            run.whole = true;
    }
    run.broke_off = !run.whole;
    error_code ignored;
    co_await asio::async_write(stream, asio::buffer(bytes), caught(ignored));
}

// Parts kept are not read again, as long as every part before them is kept.
Millis Server::prefill(const Request& request) {
    std::int64_t total = std::atoll(field(request, "Token-Count").c_str()), kept = 0;
    bool so_far = true;
    for (const Part& part : parts_of(field(request, "Prompt-Start"))) {
        const auto found = std::find_if(parts_.begin(), parts_.end(),
                                        [&](const auto& known) { return known.first == part.id; });
        so_far = so_far && found != parts_.end();
        if (so_far) kept += part.tokens;
        keep(part.id, part.tokens);
    }
    kept = std::min(kept, total);
    tokens_kept_ += kept;
    tokens_read_ += total - kept;
    return static_cast<double>(total - kept) / kTokensRead;
}

void Server::keep(const std::string& part, std::int64_t tokens) {
    parts_.remove_if([&](const auto& known) {
        if (known.first == part) parts_tokens_ -= known.second;
        return known.first == part;
    });
    parts_.emplace_front(part, tokens);
    parts_tokens_ += tokens;
    while (parts_tokens_ > options_.memory_tokens && !parts_.empty()) {
        parts_tokens_ -= parts_.back().second;
        parts_.pop_back();
    }
}

Task<bool> Server::run_engine(Stream& stream, Request& request, Run& run) {
    const std::string counts = field(request, "Token-Count");
    const auto comma = counts.find(',');
    const int most = comma == std::string::npos ? 16 : std::atoi(counts.c_str() + comma + 1);
    const int events = std::max(1, most / kTokensInEvent - world_.below(std::max(1, most / 4)));
    const bool read = co_await work(stream, prefill(request));
    if (!read) co_return false;

    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("Try-Id", run.try_id);
    head.set("Server-Seal", run.seal);
    add_common(head);
    head.keep_alive(request.keep_alive() && !leaving_);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    error_code error;
    stream.expires_after(std::chrono::seconds(10));
    co_await http::async_write_header(stream, serializer, caught(error));
    const int broken_at = world_.chance(options_.break_share) ? world_.below(events) : -1;
    for (int i = 0; i < events && !error; ++i) {
        const double crowding = 1 + static_cast<double>(running_) / options_.slots;
        const bool stays = co_await work(stream, options_.token_ms * kTokensInEvent * crowding);
        if (!stays) co_return false;
        if (i == broken_at) {
            run.broke_off = true;
            co_return false;
        }
        Event event{static_cast<std::uint64_t>(i + 1), "w" + world_.hex(1 + world_.below(6)), world_.now()};
        const std::string bytes =
            std::string("id: ").append(std::to_string(event.id)) + "\ndata: " + event.data + "\n\n";
        run.events.push_back(event);
        stream.expires_after(std::chrono::seconds(10));
        co_await asio::async_write(stream, http::make_chunk(asio::buffer(bytes)), caught(error));
    }
    if (error) co_return false;
    run.whole = true;
    co_await asio::async_write(stream, http::make_chunk_last(), caught(error));
    co_return !error && head.keep_alive();
}

}  // namespace whinledge::tier_rig
