#include "tier/client.hpp"

#include <algorithm>
#include <array>

namespace whinledge::tier_rig {
namespace {

constexpr Millis kConnectLimit = 1000, kLeastSilence = 2000, kLeastTry = 100;
constexpr int kTries = 3, kTurnsAgain = 2;
constexpr std::int64_t kMostOfTurn = 32;  // tokens
constexpr Millis kTurnTime = 6000, kTurnTarget = 400, kTurnGap = 400;

bool ends_a_program(int status) {
    return status == 400 || status == 401 || status == 402 || status == 403 || status == 404 || status == 413;
}
bool forbids_retry(int status) {
    return status == 400 || status == 401 || status == 404 || status == 413 || status == 431 ||
           is_success(status) || status == 402 || status == 403;
}

// Takes whole events out of the bytes of a stream.
class EventReader {
public:
    template <class Each>
    void read(std::string_view bytes, Each each) {
        text_.append(bytes);
        for (std::size_t end; (end = text_.find("\n\n")) != std::string::npos; text_.erase(0, end + 2))
            each(parse(std::string_view(text_).substr(0, end)));
    }

private:
    static Event parse(std::string_view lines) {
        Event event;
        while (!lines.empty()) {
            const auto end = std::min(lines.find('\n'), lines.size());
            const std::string_view line = lines.substr(0, end);
            if (line.starts_with("id: ")) event.id = std::strtoull(line.data() + 4, nullptr, 10);
            if (line.starts_with("data: ")) event.data = line.substr(6);
            lines.remove_prefix(std::min(end + 1, lines.size()));
        }
        return event;
    }
    std::string text_;
};

}  // namespace

struct Client::Connection {
    explicit Connection(asio::io_context& io) : stream(io) {}
    Stream stream;
    Sidecar sidecar;
    beast::flat_buffer buffer;
    bool used = false, reusable = true;
};

Client::Client(World& world, const Platform& platform, std::string zone, bool keeps_connection)
    : world_(world),
      platform_(platform),
      zone_(std::move(zone)),
      keeps_(keeps_connection),
      hash_(world.random()) {}

Task<std::shared_ptr<Client::Connection>> Client::connect(const Sidecar& sidecar, Millis limit) {
    auto connection = std::make_shared<Connection>(world_.io);
    connection->sidecar = sidecar;
    connection->stream.expires_after(span(std::min(limit, kConnectLimit)));
    error_code error;
    co_await connection->stream.async_connect(sidecar.public_address, caught(error));
    if (error) co_return nullptr;
    error_code ignored;
    connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
    co_return connection;
}

Task<const Try*> Client::call_at(Ask ask, Sidecar sidecar, Millis time_left) {
    Try& one = world_.record.tries.emplace_back();
    one.id = world_.hex(16);
    one.host = ask.host;
    one.method = ask.method;
    one.path = ask.path;
    one.body = ask.body;
    one.kind = ask.kind;
    one.program = ask.program;
    one.previous = ask.previous;
    one.budget = ask.budget;
    one.most = ask.most;
    one.time_left = time_left;
    one.target = ask.target;
    one.gap_limit = ask.gap_limit;
    one.probe = ask.probe;
    one.runaway = ask.runaway;
    one.sent = world_.now();
    one.machine = sidecar.machine;
    one.incarnation = sidecar.incarnation;
    retry_after_ = 0;

    std::shared_ptr<Connection> connection = std::exchange(kept_, nullptr);
    if (connection) {
        one.on_kept_connection = true;
        if (connection->buffer.size() > 0) one.stray_bytes = true;
        one.machine = connection->sidecar.machine;
        one.incarnation = connection->sidecar.incarnation;
    } else {
        connection = co_await connect(sidecar, time_left);
    }
    if (!connection) {
        one.end = End::not_connected;
        one.ended = world_.now();
        co_return &one;
    }
    co_await exchange(one, ask, connection);
    one.ended = world_.now();
    one.servers_idle = world_.servers_idle && world_.servers_idle(one.path);
    one.left_early = ask.leaves_after > 0 && one.end == End::given_up;
    if (keeps_ && connection->reusable && one.end == End::answered) kept_ = connection;
    co_return &one;
}

Task<void> Client::exchange(Try& one, const Ask& ask, std::shared_ptr<Connection> connection) {
    Request request(http::string_to_verb(ask.method), ask.path, 11);
    request.set(http::field::host, ask.host);
    request.set("Try-Id", one.id);
    request.set("Time-Left", std::to_string(static_cast<long>(one.time_left)));
    for (const auto& [name, value] : ask.fields) request.set(name, value);
    if (!ask.previous.empty()) request.set("Previous", ask.previous);
    request.body() = ask.body;
    request.keep_alive(keeps_);
    request.prepare_payload();
    if (ask.chunked && !ask.body.empty()) request.chunked(true);
    connection->stream.expires_after(span(one.time_left));
    error_code error;
    co_await http::async_write(connection->stream, request, caught(error));
    if (error) {
        one.end = error == beast::error::timeout ? End::given_up : End::cut;
        co_return;
    }
    connection->reusable = co_await read_answer(one, ask, *connection, retry_after_);
}

// Returns whether the connection can carry another request.
Task<bool> Client::read_answer(Try& one, const Ask& ask, Connection& connection, double& retry_after) {
    const Millis silence = std::max({kLeastSilence, 4 * ask.target, 8 * ask.gap_limit});
    const Millis stays = ask.leaves_after > 0 ? std::min(ask.leaves_after, one.time_left) : one.time_left;
    const auto patience = [&] {
        const Millis left = one.sent + stays - world_.now();
        connection.stream.expires_after(
            span(ask.kind == RouteKind::streaming ? std::min(left, silence) : left));
    };
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(64 << 20);
    if (ask.method == "HEAD") parser.skip(true);
    error_code error;
    patience();
    co_await http::async_read_header(connection.stream, connection.buffer, parser, caught(error));
    const auto end_of = [](const error_code& fault) {
        if (fault == beast::error::timeout) return End::given_up;
        if (fault.category() == http::make_error_code(http::error::bad_version).category() &&
            fault != http::error::end_of_stream && fault != http::error::partial_message)
            return End::no_protocol;
        return End::cut;
    };
    if (error) {
        one.end = end_of(error);
        co_return false;
    }
    const auto& head = parser.get();
    one.status = static_cast<int>(head.result_int());
    one.seal = text(head["Server-Seal"]);
    one.answered_id = text(head["Try-Id"]);
    retry_after = std::strtod(text(head[http::field::retry_after]).c_str(), nullptr);
    const bool stream = ask.kind == RouteKind::streaming && is_success(one.status);
    const bool keep = head.keep_alive();

    EventReader events;
    std::array<char, 16384> space;
    while (!parser.is_done()) {
        parser.get().body().data = space.data();
        parser.get().body().size = space.size();
        patience();
        co_await http::async_read_some(connection.stream, connection.buffer, parser, caught(error));
        if (error == http::error::need_buffer) error = {};
        const std::string_view came(space.data(), space.size() - parser.get().body().size);
        if (stream) {
            events.read(came, [&](Event event) {
                event.at = world_.now();
                if (one.events.empty()) one.first_event = event.at;
                one.events.push_back(std::move(event));
            });
        } else {
            one.answer.append(came);
        }
        if (error) {
            one.end = end_of(error);
            co_return false;
        }
    }
    one.end = End::answered;
    co_return keep;
}

Task<const Try*> Client::call(Ask ask) {
    const Millis until = world_.now() + ask.time_left;
    const Try* last = nullptr;
    for (int tried = 0; tried < kTries; ++tried) {
        const Millis left = until - world_.now();
        if (left < kLeastTry) break;
        if (!kept_) ++connections_;
        const auto sidecar = platform_.way_in(zone_, hash_ + connections_ * 7919);
        if (!sidecar) {
            co_await sleep_for(world_, kLeastTry);
            continue;
        }
        last = co_await call_at(ask, *sidecar, left);
        if (last->end == End::answered && forbids_retry(last->status)) break;
        if (last->left_early) break;
        kept_.reset();  // every retry goes out on a new connection
        const bool promised = last->end == End::answered && is_promise(last->status);
        const bool unread = last->end == End::not_connected;
        if (ask.kind != RouteKind::repeatable && !promised && !unread) break;
        const Millis rest = until - world_.now();
        co_await sleep_for(world_,
                           promised ? std::min(retry_after_ * 1000, rest / 3) : world_.between(5, 30));
    }
    co_return last;
}

namespace {

class Program : public std::enable_shared_from_this<Program> {
public:
    Program(World& world, const Platform& platform, std::string zone, ProgramPlan plan,
            std::shared_ptr<ProgramResult> result)
        : world_(world),
          platform_(platform),
          zone_(std::move(zone)),
          plan_(std::move(plan)),
          result_(std::move(result)),
          name_(world.hex(6)),
          finish_(world.now() + 2500 * plan_.turns + 4000),
          budget_(plan_.runaway ? kMostOfTurn * 6 : kMostOfTurn * plan_.turns * 20) {}

    Task<void> run() {
        const auto self = shared_from_this();
        const std::string continues = plan_.continues;
        const std::string session = world_.hex(6);
        co_await line(continues, session, plan_.turns, 0);
        result_->finished = result_->fault.empty() && !stopped_;
        result_->done = true;
    }

private:
    // Turns one after another, each with tools or sub-agents behind it.
    Task<void> line(std::string previous, std::string session, int turns, int depth) {
        const auto client = std::make_shared<Client>(world_, platform_, zone_, depth == 0);
        for (int i = 0; !stopped_ && !world_.ending && (plan_.runaway || i < turns); ++i) {
            previous = co_await turn(*client, previous, session);
            if (previous.empty()) {
                stopped_ = true;
                break;
            }
            if (!plan_.runaway && i + 1 == turns) break;
            Gather beside(world_);
            const int what = world_.below(3);
            if (what == 0 && depth < 2) {
                for (int agent = 0; agent < 2; ++agent)
                    beside.add(sub_agent(shared_from_this(), previous, world_.hex(6), depth + 1));
            } else if (what == 1 && !plan_.tools.empty()) {
                for (int tool = 0; tool < 2; ++tool) beside.add(use_tool(shared_from_this(), session));
            }
            co_await beside.wait();
            co_await sleep_for(world_, world_.between(0, plan_.pause));
        }
    }
    static Task<void> sub_agent(std::shared_ptr<Program> self, std::string previous, std::string session,
                                int depth) {
        co_await self->line(previous, session, 1 + self->world_.below(2), depth);
    }

    void add_common(Ask& ask, const std::string& session) const {
        ask.fields.emplace_back("Program", name_);
        ask.fields.emplace_back("Session", session);
        const Millis left = std::max(1.0, finish_ - world_.now());
        ask.fields.emplace_back("Finish-Ms", std::to_string(static_cast<long>(left)));
    }

    static Task<void> use_tool(std::shared_ptr<Program> self, std::string session) {
        Ask ask = self->plan_.tools[self->world_.below(static_cast<int>(self->plan_.tools.size()))];
        self->add_common(ask, session);
        ask.path += self->world_.hex(3);
        Client client(self->world_, self->platform_, self->zone_, false);
        const Try* const last = co_await client.call(ask);
        const bool own_fault = last && last->end == End::answered && last->status == 500;
        const bool served = last && last->end == End::answered && is_success(last->status);
        if (!served && !own_fault) self->fail("a tool", last);
    }

    // The id of the turn that was answered whole; empty: the program ends.
    Task<std::string> turn(Client& client, std::string previous, std::string session) {
        Ask ask;
        ask.method = "POST";
        ask.host = plan_.turn_host;
        ask.path = plan_.turn_path + world_.hex(2);
        ask.body = "input " + world_.hex(8) + "\n";
        ask.kind = RouteKind::streaming;
        ask.time_left = kTurnTime;
        ask.target = kTurnTarget;
        ask.gap_limit = kTurnGap;
        ask.program = name_;
        ask.previous = previous;
        ask.budget = budget_;
        ask.runaway = plan_.runaway;
        ask.most = kMostOfTurn;
        add_common(ask, session);
        const std::int64_t before = tokens_of(previous);
        ask.fields.emplace_back("Budget", std::to_string(budget_));
        ask.fields.emplace_back("Model-Name", "m");
        ask.fields.emplace_back("Token-Count",
                                std::to_string(before + 200) + "," + std::to_string(kMostOfTurn));
        const std::string mine = world_.hex(8);
        const std::string prompt = prompt_of(previous) + mine + ":200";
        ask.fields.emplace_back("Prompt-Start", prompt);
        int again = 0, spent_again = 0;
        for (;;) {
            const Try* const last = co_await client.call(ask);
            if (last && last->end == End::answered && is_success(last->status)) {
                prompts_[last->id] = {prompt + ",", before + 200};
                result_->turns.push_back(last->id);
                co_return last->id;
            }
            const int status = last && last->end == End::answered ? last->status : 0;
            if (status == 402) {
                result_->spent = true;
                if (!plan_.runaway || ++spent_again > 2) co_return std::string();
            } else if (ends_a_program(status) || ++again > kTurnsAgain) {
                fail("a turn", last);
                co_return std::string();
            }
            if (world_.ending) co_return std::string();
            co_await sleep_for(world_, world_.between(100, 400));
        }
    }

    void fail(const std::string& what, const Try* last) {
        stopped_ = true;
        if (!result_->fault.empty()) return;
        result_->fault = what + " failed";
        if (!last) return;
        result_->fault += last->end == End::answered
                              ? std::string(" with ").append(std::to_string(last->status))
                          : last->end == End::cut      ? ": its connection was closed"
                          : last->end == End::given_up ? ": no answer in time"
                                                       : ": no connection";
        result_->fault += " (" + last->method + " " + last->path + " at " + last->machine + ", " +
                          std::to_string(static_cast<long>(last->sent)) + " ms)";
    }
    std::string prompt_of(const std::string& turn) const {
        const auto found = prompts_.find(turn);
        return found == prompts_.end() ? "" : found->second.first;
    }
    std::int64_t tokens_of(const std::string& turn) const {
        const auto found = prompts_.find(turn);
        return found == prompts_.end() ? 0 : found->second.second;
    }

    World& world_;
    const Platform& platform_;
    std::string zone_;
    ProgramPlan plan_;
    std::shared_ptr<ProgramResult> result_;
    std::string name_;
    Millis finish_;
    std::int64_t budget_;
    bool stopped_ = false;
    std::map<std::string, std::pair<std::string, std::int64_t>> prompts_;  // parts, tokens; by turn
};

}  // namespace

Task<void> run_program(World& world, const Platform& platform, std::string zone, ProgramPlan plan,
                       std::shared_ptr<ProgramResult> result) {
    const auto program = std::make_shared<Program>(world, platform, std::move(zone), std::move(plan), result);
    co_await program->run();
}

}  // namespace whinledge::tier_rig
