#include "lab/live_front.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "placement/prompt.hpp"
#include "placement/urgency.hpp"
#include "tier/record.hpp"

namespace whinledge::lab {

using tier_rig::caught;
using tier_rig::error_code;
using tier_rig::text;
namespace beast = tier_rig::beast;
namespace http = tier_rig::http;

namespace {

constexpr Millis kConnectLimit = 1000;     // the protocol's
constexpr Millis kAgainSoon = 20;          // after a connection that did not come up
constexpr std::int64_t kBudget = 1 << 30;  // tokens of a program: none is a runaway
constexpr std::size_t kReadBytes = 16384;

// 16 digits: what ids on the wire have.
std::string hex(std::uint64_t value) {
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

std::string try_name(TryId id) { return hex(placement::mixed(id, 1)); }

// Counts the ends of events in the bytes of a stream.
class EventCounter {
public:
    int count(std::string_view bytes) {
        int ends = 0;
        for (const char byte : bytes) {
            const bool ends_here = byte == '\n' && last_ == '\n';
            ends += ends_here;
            last_ = ends_here ? 0 : byte;
        }
        return ends;
    }

private:
    char last_ = 0;
};

}  // namespace

std::string path_of_program(const ProgramKind& kind) { return "/program-" + kind.name + "/"; }
std::string path_of_tool(const ToolKind& kind) { return "/tool-" + kind.name + "/"; }

void LiveFront::take(const ClientRequest& request) {
    servers_.tasks[try_name(request.id)] = task(request);
    open_[request.id] = std::make_shared<tier_rig::Stream>(servers_.world.io);
    tier_rig::begin(servers_.world, run(shared_from_this(), request));
}

void LiveFront::left(TryId id) {
    const auto at = open_.find(id);
    if (at == open_.end()) return;
    error_code ignored;
    at->second->socket().close(ignored);
    open_.erase(at);
}

ServerTask LiveFront::task(const ClientRequest& request) const {
    ServerTask made;
    made.work = request.work;
    made.proxy_zone = where_.zone;
    if (!request.is_turn) return made;
    made.model.parts = request.prompt.parts;
    made.model.prompt = request.prompt.tokens.prompt;
    made.model.out = std::min(request.out, request.prompt.tokens.most_out);
    made.model.priority = placement::kPlainPriority;
    made.model.output_part = request.output_part;
    return made;
}

LiveFront::Task<void> LiveFront::run(std::shared_ptr<LiveFront> self, ClientRequest request) {
    const auto stream = self->open_.at(request.id);
    const Reply reply = co_await self->exchange(*stream, request);
    if (self->open_.erase(request.id) == 0) co_return;  // its client has left
    self->clients_.answered(request.id, reply.word, reply.retry_in);
}

LiveFront::Task<LiveFront::Reply> LiveFront::exchange(tier_rig::Stream& stream,
                                                      const ClientRequest& request) {
    error_code error;
    stream.expires_after(tier_rig::span(std::min(kConnectLimit, request.time_left)));
    co_await stream.async_connect(where_.address, caught(error));
    if (error) co_return Reply{ClientWord::refused, kAgainSoon};  // nothing has been read
    stream.socket().set_option(tier_rig::Tcp::no_delay(true), error);
    stream.expires_after(tier_rig::span(request.time_left));
    tier_rig::Request asked = message(request);
    co_await http::async_write(stream, asked, caught(error));
    if (error) co_return Reply{};
    co_return co_await read_answer(stream, request);
}

LiveFront::Task<LiveFront::Reply> LiveFront::read_answer(tier_rig::Stream& stream,
                                                         const ClientRequest& request) {
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    error_code error;
    co_await http::async_read_header(stream, buffer, parser, caught(error));
    if (error) co_return Reply{};
    const int status = static_cast<int>(parser.get().result_int());
    const double retry_after = std::strtod(text(parser.get()[http::field::retry_after]).c_str(), nullptr);
    EventCounter events;
    std::array<char, kReadBytes> space;
    while (!parser.is_done()) {
        parser.get().body().data = space.data();
        parser.get().body().size = space.size();
        co_await http::async_read_some(stream, buffer, parser, caught(error));
        if (error == http::error::need_buffer) error = {};
        const std::string_view came(space.data(), space.size() - parser.get().body().size);
        const bool counts = request.is_turn && tier_rig::is_success(status);
        for (int pieces = counts ? events.count(came) : 0; pieces > 0 && open_.count(request.id) > 0;
             --pieces)
            clients_.answered(request.id, ClientWord::piece, 0);
        if (error) co_return Reply{};
    }
    if (tier_rig::is_success(status)) co_return Reply{ClientWord::done, 0};
    if (tier_rig::is_promise(status)) co_return Reply{ClientWord::refused, retry_after * 1000};
    co_return Reply{};
}

tier_rig::Request LiveFront::message(const ClientRequest& request) const {
    const bool is_get = !request.is_turn && request.repeatable;
    const std::string path = request.is_turn ? path_of_program(servers_.experiment.programs[request.kind])
                                             : path_of_tool(servers_.experiment.tools[request.kind]);
    tier_rig::Request made(is_get ? http::verb::get : http::verb::post, path + hex(request.id), 11);
    made.set(http::field::host, kLiveHost);
    made.set(http::field::connection, "close");
    made.set("Try-Id", try_name(request.id));
    made.set("Time-Left", std::to_string(static_cast<long>(request.time_left)));
    made.set("Finish-Ms", std::to_string(std::max(1L, static_cast<long>(request.finish_ms))));
    made.set("Program", hex(request.program));
    made.set("Session", hex(kept_prefix_ ? request.session : placement::mixed(request.id, request.session)));
    if (request.is_turn) add_turn(request, made);
    made.prepare_payload();
    return made;
}

// Only what is new in the line is sent; the proxies put what came earlier in front of it.
void LiveFront::add_turn(const ClientRequest& request, tier_rig::Request& message) const {
    const placement::Request& prompt = request.prompt;
    std::string parts;
    for (const PromptPart& part : prompt.parts) {
        if (!parts.empty()) parts += ',';
        parts.append(hex(part.id)).append(":").append(std::to_string(part.tokens));
    }
    if (!kept_prefix_)
        parts =
            hex(placement::mixed(request.id, request.session)) + ":" + std::to_string(prompt.tokens.prompt);
    message.set("Model-Name", "m");
    message.set("Prompt-Start", parts);
    message.set("Token-Count",
                std::to_string(prompt.tokens.prompt) + "," + std::to_string(prompt.tokens.most_out));
    message.set("Budget", std::to_string(kBudget));
    if (request.previous) message.set("Previous", try_name(request.previous));
    const std::int64_t tokens = request.previous ? prompt.parts.back().tokens : prompt.tokens.prompt;
    const double bytes = servers_.experiment.deployment.bytes_per_token * static_cast<double>(tokens);
    message.body().assign(static_cast<std::size_t>(bytes), 'i');
}

}  // namespace whinledge::lab
