#include "lab/cloud.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace whinledge::lab {

namespace {

using Kind = ServerWord::Kind;

constexpr double kHeadBytes = 300;  // of a request or an answer
constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
constexpr std::uint64_t kServerDraws = 11;  // names the draws of what goes wrong at servers

std::string address_of(bool is_model, int index) {
    std::string address = is_model ? "10.1." : "10.2.";
    address.append(std::to_string(index / 250)).append(".").append(std::to_string(index % 250 + 1));
    return address.append(":8080");
}

}  // namespace

Cloud::Cloud(const Experiment& experiment, Simulation& simulation, Measures& measures, std::uint64_t seed)
    : experiment_(experiment),
      simulation_(simulation),
      measures_(measures),
      reads_(measures),
      random_({seed, kServerDraws}) {
    const Deployment& deployment = experiment.deployment;
    const auto add = [&](int count, bool is_model) {
        for (int i = 0; i < count; ++i) {
            Server server;
            server.is_model = is_model;
            server.zone = static_cast<std::size_t>(i) % deployment.zones.size();
            server.address = address_of(is_model, i);
            by_address_[server.address] = servers_.size();
            servers_.push_back(std::move(server));
            start(servers_.back());
        }
    };
    add(deployment.model_servers, true);
    add(deployment.tool_servers, false);
}

void Cloud::start(Server& server) {
    const Deployment& deployment = experiment_.deployment;
    const std::size_t index = by_address_.at(server.address);
    server.id = std::string(1, server.is_model ? 'm' : 't');
    server.id.append(std::to_string(index)).append("-").append(std::to_string(server.starts));
    server.gone = false;
    server.wakes = kNever;
    if (server.is_model) {
        ModelSettings settings = deployment.model;
        settings.slowness = deployment.speeds[index % deployment.speeds.size()];
        const double memory = deployment.memories[index % deployment.memories.size()];
        settings.memory_tokens =
            static_cast<std::int64_t>(memory * static_cast<double>(settings.memory_tokens));
        settings.prefill_tokens_per_ms *= deployment.readings[index % deployment.readings.size()];
        server.model = std::make_unique<ModelServer>(settings);
    } else {
        server.tool = std::make_unique<ToolServer>(deployment.tool);
    }
}

std::optional<ServerIndex> Cloud::find(const std::string& address) const {
    const auto at = by_address_.find(address);
    if (at == by_address_.end()) return std::nullopt;
    return at->second;
}

Millis Cloud::delay(std::size_t zone_a, std::size_t zone_b) const {
    return zone_a == zone_b ? experiment_.deployment.near_delay_ms : experiment_.deployment.zone_delay_ms;
}

void Cloud::cross(std::size_t zone_a, std::size_t zone_b, double bytes) {
    if (zone_a != zone_b) measures_.cross_zone_bytes += bytes;
}

// ---- Attempts -------------------------------------------------------------------------------------------

AttemptId Cloud::send(std::size_t from_zone, ServerIndex server, ServerRequest request,
                      std::weak_ptr<AttemptSink> sink, std::uint64_t tag) {
    const AttemptId id = next_++;
    Attempt attempt;
    attempt.from_zone = from_zone;
    attempt.server = server;
    attempt.sink = std::move(sink);
    attempt.tag = tag;
    attempts_[id] = std::move(attempt);
    ++measures_.attempts.sent;
    cross(from_zone, servers_[server].zone, kHeadBytes + request.bytes);
    simulation_.in(delay(from_zone, servers_[server].zone),
                   [this, id, request = std::move(request)] { arrived(id, request); });
    return id;
}

void Cloud::arrived(AttemptId id, const ServerRequest& request) {
    const auto at = attempts_.find(id);
    if (at == attempts_.end()) return;
    const ServerIndex index = at->second.server;
    Server& server = servers_[index];
    if (server.gone) return end(id, Kind::unreachable, 0);
    if (server.id != request.wanted) return end(id, Kind::wrong, kHeadBytes);
    if (random_.share() < server.grey_share) return end(id, Kind::error, kHeadBytes);
    at->second.will_break = random_.share() < server.lost_share;
    pump(index);  // what was due by now came first
    bool accepted = false;
    if (server.is_model) {
        ModelRequest asked = request.model;
        asked.id = id;
        accepted = server.model->submit(asked, simulation_.now()) == Verdict::accepted;
    } else {
        accepted = server.tool->submit(id, request.work, simulation_.now());
    }
    if (!accepted) return end(id, Kind::refused, kHeadBytes);
    at->second.there = true;
    measures_.most_running = std::max(measures_.most_running,
                                      static_cast<std::uint64_t>(server.is_model ? load(server).running : 0));
    wake(index);
}

void Cloud::cancel(AttemptId id) {
    const auto at = attempts_.find(id);
    if (at == attempts_.end()) return;
    const ServerIndex index = at->second.server;
    const bool there = at->second.there;
    const Millis delay = this->delay(at->second.from_zone, servers_[index].zone);
    attempts_.erase(at);
    ++measures_.attempts.cancelled;
    if (!there) return;
    simulation_.in(delay, [this, id, index] {
        pump(index);
        Server& server = servers_[index];
        if (server.gone) return;
        server.is_model ? server.model->cancel(id, simulation_.now())
                        : server.tool->cancel(id, simulation_.now());
        wake(index);
    });
}

void Cloud::word(const Attempt& attempt, ServerWord word, double bytes) {
    const std::size_t zone = servers_[attempt.server].zone;
    cross(zone, attempt.from_zone, bytes);
    simulation_.in(delay(zone, attempt.from_zone), [sink = attempt.sink, tag = attempt.tag, word] {
        if (const auto heard_by = sink.lock()) heard_by->heard(tag, word);
    });
}

void Cloud::end(AttemptId id, Kind kind, double bytes) {
    const auto at = attempts_.find(id);
    if (at == attempts_.end()) return;
    const Attempt attempt = std::move(at->second);
    attempts_.erase(at);
    AttemptEnds& ends = measures_.attempts;
    ServerWord word{kind, {}};
    if (kind == Kind::done) ++ends.done;
    if (kind == Kind::error) ++ends.error;
    if (kind == Kind::broken) ++ends.lost;
    if (kind == Kind::refused || kind == Kind::wrong || kind == Kind::unreachable) ++ends.refused;
    const Server& server = servers_[attempt.server];
    const bool tells =
        kind == Kind::refused || kind == Kind::error || (kind == Kind::done && !server.is_model);
    if (tells) word.load = load(server);
    this->word(attempt, word, bytes);
}

placement::Load Cloud::load(const Server& server) const {
    return server.is_model ? server.model->load() : server.tool->load();
}

// ---- Servers --------------------------------------------------------------------------------------------

void Cloud::wake(ServerIndex index) {
    Server& server = servers_[index];
    if (server.gone) return;
    const Millis next = server.is_model ? server.model->next() : server.tool->next();
    if (next >= server.wakes) return;
    server.wakes = next;
    simulation_.at(next, [this, index, next] {
        if (servers_[index].wakes != next) return;  // an earlier one has been asked for, or it started anew
        servers_[index].wakes = kNever;
        pump(index);
    });
}

void Cloud::pump(ServerIndex index) {
    Server& server = servers_[index];
    if (server.gone) return;
    if (server.is_model) {
        std::vector<ModelEvent> events;
        const std::int64_t before = server.model->tokens_read();
        server.model->advance(simulation_.now(), events);
        reads_.read(server.model->tokens_read() - before);
        for (const ModelEvent& event : events) happened(index, event);
    } else {
        std::vector<std::uint64_t> done;
        server.tool->advance(simulation_.now(), done);
        for (const AttemptId id : done) finished(id);
    }
    wake(index);
}

void Cloud::happened(ServerIndex, const ModelEvent& event) {
    reads_.happened(event);
    const auto at = attempts_.find(event.request);
    if (at == attempts_.end()) return;
    if (event.kind == ModelEvent::Kind::token) token(event.request, at->second);
    if (event.kind == ModelEvent::Kind::done) finished(event.request);
}

void Cloud::token(AttemptId id, Attempt& attempt) {
    if (attempt.will_break) return end(id, Kind::broken, 0);
    ++attempt.unsent;
    if (attempt.heard && attempt.unsent < experiment_.deployment.event_tokens) return;
    ServerWord piece{Kind::piece, {}};
    if (!std::exchange(attempt.heard, true)) piece.load = load(servers_[attempt.server]);
    attempt.unsent = 0;
    word(attempt, piece, experiment_.deployment.event_bytes);
}

void Cloud::finished(AttemptId id) {
    const auto at = attempts_.find(id);
    if (at == attempts_.end()) return;
    if (at->second.will_break) return end(id, Kind::broken, 0);
    const bool is_model = servers_[at->second.server].is_model;
    if (is_model && at->second.unsent > 0)
        word(at->second, {Kind::piece, {}}, experiment_.deployment.event_bytes);
    end(id, Kind::done, is_model ? 0 : kHeadBytes + experiment_.deployment.tool_bytes);
}

// ---- Troubles -------------------------------------------------------------------------------------------

void Cloud::set_slowdown(ServerIndex index, double factor) {
    Server& server = servers_[index];
    if (server.model) server.model->set_slowdown(factor);
    if (server.tool) server.tool->set_slowdown(factor);
}

void Cloud::set_frozen(ServerIndex index, bool frozen) {
    pump(index);
    Server& server = servers_[index];
    if (server.gone) return;
    if (server.model) server.model->set_frozen(frozen, simulation_.now());
    if (server.tool) server.tool->set_frozen(frozen, simulation_.now());
    if (frozen) server.wakes = kNever;
    wake(index);
}

void Cloud::crash(ServerIndex index) {
    pump(index);
    if (servers_[index].gone) return;
    servers_[index].gone = true;
    servers_[index].wakes = kNever;
    std::vector<AttemptId> open;
    for (const auto& [id, attempt] : attempts_)
        if (attempt.server == index && attempt.there) open.push_back(id);
    std::sort(open.begin(), open.end());  // else their order would be the hash table's
    for (const AttemptId id : open) end(id, Kind::broken, 0);
}

void Cloud::restart(ServerIndex index) {
    Server& server = servers_[index];
    if (!server.gone) return;
    ++server.starts;
    start(server);
}

void Cloud::count_open() { measures_.attempts.open = attempts_.size(); }

}  // namespace whinledge::lab
