#include "lab/live_server.hpp"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>
#include <vector>

namespace whinledge::lab {

using tier_rig::caught;
using tier_rig::error_code;
using tier_rig::Response;
using tier_rig::text;
namespace asio = tier_rig::asio;
namespace http = tier_rig::http;

namespace {

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
constexpr Millis kLook = 40;  // between looks whether a client is still there
constexpr auto kWriteLimit = std::chrono::seconds(10);
constexpr double kHeadBytes = 300;          // of a request or an answer, as in simulation
constexpr std::uint64_t kServerDraws = 31;  // names the draws of what goes wrong at servers
constexpr const char* kHealthPath = "/health";

}  // namespace

LiveServers::LiveServers(const Experiment& of, tier_rig::World& on, Timeline& at, Measures& in,
                         std::uint64_t seed)
    : experiment(of), world(on), timeline(at), measures(in), reads(in), random({seed, kServerDraws}) {}

// A request that was accepted.
struct LiveServer::Attempt {
    Attempt(tier_rig::World& world, std::uint64_t number, const ServerTask& of, bool breaks)
        : id(number), task(of), will_break(breaks), bell(world.io) {}
    bool has_news() const { return is_done || unsent >= due; }

    std::uint64_t id;
    ServerTask task;
    bool will_break;
    asio::steady_timer bell;  // rung by what happens to it
    std::int64_t unsent = 0, due = 1, events = 0;
    bool is_done = false;
};

LiveServer::LiveServer(LiveServers& shared, Options options)
    : shared_(shared), options_(std::move(options)), wakes_(kNever) {
    if (options_.is_model) {
        ModelSettings settings = shared.experiment.deployment.model;
        settings.slowness = options_.slowness;
        model_ = std::make_unique<ModelServer>(settings);
    } else {
        tool_ = std::make_unique<ToolServer>(shared.experiment.deployment.tool);
    }
    service_ = std::make_shared<tier_rig::HttpService>(
        shared.world, options_.address,
        [this](Stream& stream, Request& request) { return answer(stream, request); });
}

void LiveServer::start() { service_->start(); }

void LiveServer::crash() {
    ended_ = true;
    service_->stop();
    for (const auto& [id, attempt] : attempts_) attempt->bell.cancel();
}

void LiveServer::set_slowdown(double factor) {
    pump();
    model_ ? model_->set_slowdown(factor) : tool_->set_slowdown(factor);
}

void LiveServer::set_frozen(bool frozen) {
    pump();
    frozen_ = frozen;
    const Millis now = shared_.timeline.now();
    model_ ? model_->set_frozen(frozen, now) : tool_->set_frozen(frozen, now);
    wakes_ = kNever;
    wake();
}

// ---- The pure server on this machine's clock
// ----------------------------------------------------------------

void LiveServer::wake() {
    if (ended_) return;
    const Millis next = model_ ? model_->next() : tool_->next();
    if (next >= wakes_) return;
    wakes_ = next;
    shared_.timeline.at(next, [self = weak_from_this(), next] {
        const auto server = self.lock();
        if (!server || server->wakes_ != next) return;  // an earlier one has been asked for
        server->wakes_ = kNever;
        server->pump();
    });
}

void LiveServer::pump() {
    if (ended_) return;
    const Millis now = shared_.timeline.now();
    if (model_) {
        std::vector<ModelEvent> events;
        const std::int64_t before = model_->tokens_read();
        model_->advance(now, events);
        shared_.reads.read(model_->tokens_read() - before);
        for (const ModelEvent& event : events) happened(event);
    } else {
        std::vector<std::uint64_t> done;
        tool_->advance(now, done);
        for (const std::uint64_t id : done) happened({ModelEvent::Kind::done, id, 0, 0});
    }
    wake();
}

void LiveServer::happened(const ModelEvent& event) {
    shared_.reads.happened(event);
    const auto at = attempts_.find(event.request);
    if (at == attempts_.end()) return;
    Attempt& attempt = *at->second;
    if (event.kind == ModelEvent::Kind::token) ++attempt.unsent;
    if (event.kind == ModelEvent::Kind::done) attempt.is_done = true;
    if (attempt.has_news()) attempt.bell.cancel();
}

bool LiveServer::submit(std::uint64_t id, const Request& request, const ServerTask& task) {
    pump();  // what was due by now came first
    const Millis now = shared_.timeline.now();
    bool accepted = false;
    if (model_) {
        ModelRequest asked = task.model;
        asked.id = id;
        const std::string priority = text(request["Priority"]);
        if (shared_.heeds_priority && !priority.empty()) asked.priority = std::atoi(priority.c_str());
        accepted = model_->submit(asked, now) == Verdict::accepted;
    } else {
        accepted = tool_->submit(id, task.work, now);
    }
    wake();
    return accepted;
}

void LiveServer::abandon(const Attempt& attempt) {
    AttemptEnds& ends = shared_.measures.attempts;
    if (ended_) return end(attempt, ends.lost);
    const std::uint64_t id = attempt.id;
    end(attempt, attempt.will_break ? ends.lost : ends.cancelled);
    const Millis now = shared_.timeline.now();
    model_ ? model_->cancel(id, now) : tool_->cancel(id, now);
    wakes_ = kNever;
    wake();
}

void LiveServer::cross(std::size_t proxy_zone, double bytes) {
    if (proxy_zone != options_.zone) shared_.measures.cross_zone_bytes += bytes;
}

// ---- HTTP
// ---------------------------------------------------------------------------------------------------

void LiveServer::add_load(http::fields& fields) const {
    if (!shared_.tells_load) return;
    const placement::Load now = load();
    std::string words = std::to_string(now.running);
    words.append(",").append(std::to_string(now.waiting)).append(",").append(std::to_string(now.slots));
    fields.set("Server-Load", words);
}

Response LiveServer::plain(const Request& request, unsigned status) const {
    Response response(static_cast<http::status>(status), 11);
    response.keep_alive(request.keep_alive());
    response.set("Try-Id", request["Try-Id"]);
    add_load(response);
    return response;
}

LiveServer::Task<bool> LiveServer::refuse(Stream& stream, const Request& request, unsigned status) {
    Response response = plain(request, status);
    response.set("Not-Run", "1");
    if (status == 421) response.set("Answered-By", options_.id);
    co_return co_await tier_rig::respond(stream, std::move(response));
}

LiveServer::Task<bool> LiveServer::answer(Stream& stream, Request& request) {
    const auto self = shared_from_this();
    while (frozen_ && !ended_ && !tier_rig::is_closed(stream))
        co_await tier_rig::sleep_for(shared_.world, kLook);
    if (ended_) co_return false;
    if (text(request.target()) == kHealthPath) {
        Response response = plain(request, 200);
        response.set("Answered-By", options_.id);
        co_return co_await tier_rig::respond(stream, std::move(response));
    }
    const auto task = shared_.tasks.find(text(request["Try-Id"]));
    if (task == shared_.tasks.end()) co_return co_await refuse(stream, request, 400);
    AttemptEnds& ends = shared_.measures.attempts;
    ++ends.sent;
    cross(task->second.proxy_zone, kHeadBytes + static_cast<double>(request.body().size()));
    if (const std::string wanted = text(request["Wanted-Server"]); !wanted.empty() && wanted != options_.id) {
        ++ends.refused;
        co_return co_await refuse(stream, request, 421);
    }
    if (shared_.random.share() < grey_share_) {
        ++ends.error;
        co_return co_await tier_rig::respond(stream, plain(request, 500));
    }
    co_return co_await run(stream, request, task->second);
}

LiveServer::Task<bool> LiveServer::run(Stream& stream, const Request& request, const ServerTask& task) {
    const bool breaks = shared_.random.share() < lost_share_;
    const auto attempt = std::make_shared<Attempt>(shared_.world, shared_.next_attempt++, task, breaks);
    if (!submit(attempt->id, request, task)) {
        ++shared_.measures.attempts.refused;
        co_return co_await refuse(stream, request, 503);
    }
    attempts_[attempt->id] = attempt;
    const auto running = static_cast<std::uint64_t>(model_ ? load().running : 0);
    shared_.measures.most_running = std::max(shared_.measures.most_running, running);
    if (model_) co_return co_await run_turn(stream, request, *attempt);
    co_return co_await run_tool(stream, request, *attempt);
}

void LiveServer::end(const Attempt& attempt, std::uint64_t& count) {
    ++count;
    attempts_.erase(attempt.id);
}

LiveServer::Task<bool> LiveServer::await_news(Stream& stream, Attempt& attempt) {
    while (!attempt.has_news()) {
        attempt.bell.expires_after(tier_rig::span(kLook));
        error_code ignored;
        co_await attempt.bell.async_wait(caught(ignored));
        if (ended_) co_return false;
        if (!attempt.has_news() && tier_rig::is_closed(stream)) co_return false;
    }
    co_return true;
}

LiveServer::Task<bool> LiveServer::write_head(Stream& stream, const Request& request) {
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("Try-Id", request["Try-Id"]);
    head.set("Server-Seal", options_.id);
    head.set("Versions", "1");
    add_load(head);
    head.keep_alive(request.keep_alive());
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    error_code error;
    stream.expires_after(kWriteLimit);
    co_await http::async_write_header(stream, serializer, caught(error));
    co_return !error;
}

LiveServer::Task<bool> LiveServer::write_event(Stream& stream, Attempt& attempt) {
    attempt.unsent = 0;
    attempt.due = shared_.experiment.deployment.event_tokens;
    const std::string id = std::to_string(++attempt.events);
    std::string bytes = "id: " + id + "\ndata: ";
    const auto size = static_cast<std::size_t>(shared_.experiment.deployment.event_bytes);
    bytes.resize(std::max(bytes.size() + 1, size), 'w');
    bytes += "\n\n";
    cross(attempt.task.proxy_zone, static_cast<double>(bytes.size()));
    error_code error;
    stream.expires_after(kWriteLimit);
    co_await asio::async_write(stream, http::make_chunk(asio::buffer(bytes)), caught(error));
    co_return !error;
}

LiveServer::Task<bool> LiveServer::run_turn(Stream& stream, const Request& request, Attempt& attempt) {
    bool goes_on = true;
    while (goes_on && !(attempt.is_done && attempt.unsent == 0)) {
        goes_on = co_await await_news(stream, attempt);
        if (attempt.will_break) goes_on = false;
        if (goes_on && attempt.events == 0) goes_on = co_await write_head(stream, request);
        if (goes_on && attempt.unsent > 0) goes_on = co_await write_event(stream, attempt);
    }
    if (!goes_on) {
        abandon(attempt);
        co_return false;
    }
    end(attempt, shared_.measures.attempts.done);
    error_code error;
    co_await asio::async_write(stream, http::make_chunk_last(), caught(error));
    co_return !error && request.keep_alive();
}

LiveServer::Task<bool> LiveServer::run_tool(Stream& stream, const Request& request, Attempt& attempt) {
    attempt.due = std::numeric_limits<std::int64_t>::max();
    const bool is_there = co_await await_news(stream, attempt);
    if (!is_there || attempt.will_break) {
        abandon(attempt);
        co_return false;
    }
    end(attempt, shared_.measures.attempts.done);
    Response response = plain(request, 200);
    response.set("Server-Seal", options_.id);
    response.body().assign(static_cast<std::size_t>(shared_.experiment.deployment.tool_bytes), 't');
    cross(attempt.task.proxy_zone, kHeadBytes + shared_.experiment.deployment.tool_bytes);
    co_return co_await tier_rig::respond(stream, std::move(response));
}

}  // namespace whinledge::lab
