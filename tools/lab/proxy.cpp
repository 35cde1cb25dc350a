#include "lab/proxy.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "placement/urgency.hpp"

namespace whinledge::lab {

namespace {

using Kind = ServerWord::Kind;

constexpr Millis kRetryIn = 200;           // told with a refusal that has no better advice, as by the program
constexpr double kLoadShare = 0.9;         // of a turn's beginning: what others have is told ahead of its end
constexpr std::uint64_t kProxyDraws = 12;  // names the draws of the random choice

}  // namespace

// ---- One request ------------------------------------------------------------------------------------------

class Proxy::Exchange final : public Call {
public:
    Exchange(Proxy& proxy, const ClientRequest& request)
        : request(request), told(request.prompt), received(proxy.simulation_.now()), proxy_(proxy) {
        if (proxy.arm_.kept_prefix) return;
        // One part that no other request has: candidates go by load and zone, and those that cost the same
        // are in another order for each request.
        told.parts = {{placement::mixed(request.id, proxy.where_.seed), told.tokens.prompt}};
        told.line = told.program = 0;
        told.continues = false;
    }

    const char* service() const { return request.is_turn ? kModels : kTools; }
    Millis time_left() const { return request.time_left - (proxy_.simulation_.now() - received); }

    void served(std::unique_ptr<Answer>) noexcept override {
        if (!request.is_turn) return end(ClientWord::done, 0);
        proxy_.tell_load(proxy_.experiment_.deployment.store_end_ms, false);
        // The end of a turn's stream waits until its record is safe.
        proxy_.simulation_.in(proxy_.experiment_.deployment.store_end_ms,
                              [self = proxy_.weak_from_this(), id = request.id] {
                                  const auto proxy = self.lock();
                                  if (!proxy) return;
                                  const auto at = proxy->exchanges_.find(id);
                                  if (at == proxy->exchanges_.end()) return;
                                  const auto exchange = at->second;
                                  exchange->end(ClientWord::done, 0);
                              });
    }
    void refused(Millis retry_in) noexcept override {
        if (request.repeatable && sent) return end(ClientWord::failed, 0);
        end(ClientWord::refused, retry_in > 0 ? retry_in : kRetryIn);
    }
    void failed(Failure) noexcept override { end(ClientWord::failed, 0); }
    bool may_start(std::uint32_t attempt) const noexcept override {
        return attempt < static_cast<std::uint32_t>(std::max(1, request.tries)) && has_client;
    }

    void end(ClientWord word, Millis retry_in) noexcept {
        if (!std::exchange(has_client, false)) return;
        proxy_.clients_.answered(request.id, word, retry_in);
        proxy_.exchanges_.erase(request.id);
    }

    ClientRequest request;
    placement::Request told;  // what placement is told of it
    Millis received = 0;
    bool has_client = true, sent = false;
    std::string member;  // of the latest attempt

private:
    Proxy& proxy_;
};

// ---- The proxy --------------------------------------------------------------------------------------------

std::shared_ptr<Proxy> Proxy::make(const Experiment& experiment, const Arm& arm, Where where,
                                   Simulation& simulation, Cloud& cloud, ClientSink& clients,
                                   Measures& measures) {
    // Its constructor is its own.
    return std::shared_ptr<Proxy>(new Proxy(experiment, arm, where, simulation, cloud, clients, measures));
}

Proxy::Proxy(const Experiment& experiment, const Arm& arm, Where where, Simulation& simulation, Cloud& cloud,
             ClientSink& clients, Measures& measures)
    : experiment_(experiment),
      arm_(arm),
      where_(where),
      simulation_(simulation),
      cloud_(cloud),
      clients_(clients),
      measures_(measures),
      random_({where.seed, kProxyDraws, where.number}),
      engine_(simulation, {[this](Millis at) {
                               if (at == std::numeric_limits<Millis>::infinity()) return;
                               simulation_.at(at, [self = weak_from_this()] {
                                   if (const auto proxy = self.lock()) proxy->engine_.run_due();
                               });
                           },
                           {}}) {
    data_plane::ServicePools::Options options;
    if (arm.zones) options.zone = experiment.deployment.zones[where.zone];
    options.seed = random_.next();
    options.mechanisms = arm.mechanisms;
    pools_ = std::make_unique<data_plane::ServicePools>(engine_, *this, std::move(options));
}

Proxy::~Proxy() = default;

serving::Configuration Proxy::configuration() const {
    serving::Configuration made;
    made.version = 1;
    for (const ProgramKind& kind : experiment_.programs) {
        serving::Route route;
        route.name = kind.name;
        route.kind = serving::RouteKind::streaming;
        route.timeout_ms = kind.deadline_ms;
        route.split = {{kModels, 1}};
        made.routes.push_back(std::move(route));
    }
    for (const ToolKind& kind : experiment_.tools) {
        serving::Route route;
        route.name = kind.name;
        route.kind = kind.repeatable ? serving::RouteKind::repeatable : serving::RouteKind::one_shot;
        route.timeout_ms = kind.deadline_ms;
        route.split = {{kTools, 1}};
        made.routes.push_back(std::move(route));
    }
    const ModelSettings& model = experiment_.deployment.model;
    made.services.resize(2);
    made.services[0].name = kModels;
    made.services[0].engine =
        serving::Engine{model.slots, model.memory_tokens, experiment_.deployment.event_tokens};
    made.services[1].name = kTools;
    made.index();
    return made;
}

void Proxy::set_servers() {
    pools_->configure(configuration());
    wire::ServersList list;
    for (const Cloud::Server& server : cloud_.servers()) {
        if (server.gone) continue;
        wire::ListedServer listed;
        listed.id = server.id;
        listed.service_name = server.is_model ? kModels : kTools;
        listed.address = server.address;
        if (arm_.zones) listed.zone = experiment_.deployment.zones[server.zone];
        listed.slots =
            server.is_model ? experiment_.deployment.model.slots : experiment_.deployment.tool.slots;
        list.servers.push_back(std::move(listed));
    }
    pools_->set_servers(list);
}

void Proxy::take(const ClientRequest& request) {
    const auto exchange = std::make_shared<Exchange>(*this, request);
    exchanges_[request.id] = exchange;
    if (!request.is_turn) return dispatch(exchange);
    tell_load(kLoadShare * experiment_.deployment.store_begin_ms, true);
    simulation_.in(experiment_.deployment.store_begin_ms, [self = weak_from_this(), id = request.id] {
        const auto proxy = self.lock();
        if (!proxy) return;
        const auto at = proxy->exchanges_.find(id);
        if (at != proxy->exchanges_.end()) proxy->dispatch(at->second);
    });
}

void Proxy::tell_load(Millis takes, bool asks) {
    if (!where_.load_members) return;
    const wire::LoadReport report = pools_->load_report(asks);
    LoadMembers::Told told;
    if (asks)
        told = [self = weak_from_this()](const storage_plane::ToldLoads& loads) {
            if (const auto proxy = self.lock()) proxy->pools_->loads_told(loads);
        };
    where_.load_members->call(report, takes, std::move(told));
}

void Proxy::dispatch(const std::shared_ptr<Exchange>& given) {
    const auto exchange = given;  // its entry may go while it is taken
    const Effect effect = exchange->request.repeatable ? Effect::repeatable : Effect::once;
    const auto place = pools_->place(exchange->service(), effect, exchange->time_left());
    if (!place.pool || exchange->time_left() <= 0) return exchange->refused(0);
    Arrival arrival;
    arrival.class_index = place.class_index;
    arrival.time_left = exchange->time_left();
    arrival.candidates = candidates(*exchange);
    place.pool->take(exchange, arrival);
}

std::vector<std::string> Proxy::candidates(const Exchange& exchange) {
    if (arm_.choice == Choice::plain) return {};
    if (arm_.choice == Choice::prefix) return pools_->candidates(exchange.service(), exchange.told);
    std::vector<std::string> all;
    for (const Cloud::Server& server : cloud_.servers())
        if (!server.gone && server.is_model == exchange.request.is_turn) all.push_back(server.id);
    if (all.empty()) return {};
    return {all[random_.below(all.size())]};
}

int Proxy::priority(const ClientRequest& request) {
    const Millis needs = pools_->idle_ms(kModels, request.prompt);
    if (!arm_.mechanisms.urgency || needs <= 0) return placement::kPlainPriority;
    placement::UrgencyFacts facts;
    facts.rank = request.rank;
    facts.finish_ms = request.finish_ms;
    facts.needs_ms = needs;
    return placement::urgency(facts);
}

void Proxy::left(TryId id) {
    const auto at = exchanges_.find(id);
    if (at == exchanges_.end()) return;
    const auto exchange = at->second;
    exchanges_.erase(at);
    if (!std::exchange(exchange->has_client, false)) return;
    exchange->gave_up_silence = exchange->judged_at < 0 && pools_->is_overdue(exchange->id);
    if (exchange->judged_at >= 0) return cut(*exchange);
    const bool detach = !exchange->request.is_turn && !exchange->request.repeatable;
    if (Pool* const pool = exchange->pool) pool->gone(exchange->id, detach);
}

// Its stream is broken off, and its server hears of it.
void Proxy::cut(const Exchange& exchange) {
    const auto at = std::find_if(out_.begin(), out_.end(), [&](const auto& entry) {
        return entry.second.exchange.get() == &exchange && entry.second.passing;
    });
    if (at == out_.end()) return;
    cloud_.cancel(at->second.attempt);
    ended(at->first, Outcome::recalled, false);
}

std::vector<TryId> Proxy::die() {
    std::vector<TryId> open;
    for (const auto& [id, exchange] : exchanges_) open.push_back(id);
    std::sort(open.begin(), open.end());
    std::vector<AttemptId> sent;
    for (const auto& [id, out] : out_)
        if (out.attempt) sent.push_back(out.attempt);
    std::sort(sent.begin(), sent.end());
    for (const AttemptId attempt : sent) cloud_.cancel(attempt);
    return open;
}

// ---- Its transport ----------------------------------------------------------------------------------------

void Proxy::set_machine(MachineId machine, const std::string& address, Millis) {
    Machine& known = machines_[machine];
    known.address = address;
    known.idle.clear();  // of a process that started earlier
}

void Proxy::close_idle(MachineId machine) {
    if (const auto at = machines_.find(machine); at != machines_.end()) at->second.idle.clear();
}

Transport::Begun Proxy::start(const Attempt& attempt, Key key, Listener& listener) noexcept {
    const auto machine = machines_.find(attempt.machine);
    if (machine == machines_.end()) return {0, Outcome::superseded};
    const auto server = cloud_.find(machine->second.address);
    if (!server) return {0, Outcome::superseded};
    const ExchangeId id = next_exchange_++;
    Out& out = out_[id];
    out.key = key;
    out.listener = &listener;
    out.exchange = std::static_pointer_cast<Exchange>(attempt.call);
    out.machine = attempt.machine;
    out.member = attempt.member;
    std::vector<Millis>& idle = machine->second.idle;
    if (!idle.empty() && simulation_.now() - idle.back() > experiment_.deployment.idle_connection_ms)
        idle.clear();  // the latest used is the last to be closed
    if (!idle.empty()) {
        idle.pop_back();
        out.reused = true;
        write(id, out);
        return {id, std::nullopt};
    }
    ++measures_.connections;
    const Millis way = cloud_.delay(where_.zone, cloud_.server(*server).zone);
    simulation_.in(2 * way + experiment_.deployment.connection_ms, [self = weak_from_this(), id] {
        if (const auto proxy = self.lock()) proxy->connected(id);
    });
    return {id, std::nullopt};
}

void Proxy::connected(ExchangeId id) {
    const auto at = out_.find(id);
    if (at == out_.end()) return;
    const auto machine = machines_.find(at->second.machine);
    if (machine == machines_.end()) return ended(id, Outcome::superseded, false);
    if (cloud_.server(*cloud_.find(machine->second.address)).gone)
        return ended(id, Outcome::refused_connection, false);
    if (at->second.listener->attempt_time_left(at->second.key) <= 0)
        return ended(id, Outcome::superseded, true);
    write(id, at->second);
}

void Proxy::write(ExchangeId id, Out& out) {
    Exchange& exchange = *out.exchange;
    const ClientRequest& request = exchange.request;
    exchange.sent = true;
    exchange.member = out.member;
    pools_->sent(exchange.service(), exchange.id, out.member, exchange.told, {});
    ServerRequest to;
    to.wanted = out.member;
    to.work = request.work;
    to.bytes = request.bytes;
    if (request.is_turn) {
        ClientRequest late = request;
        late.finish_ms -= simulation_.now() - exchange.received;
        to.model = {0,           request.prompt.parts, request.prompt.tokens.prompt,
                    request.out, priority(late),       request.output_part};
    }
    const ServerIndex server = *cloud_.find(machines_.at(out.machine).address);
    out.attempt = cloud_.send(where_.zone, server, std::move(to), weak_from_this(), id);
}

bool Proxy::stop(ExchangeId id) noexcept {
    const auto at = out_.find(id);
    if (at == out_.end()) return true;
    const AttemptId attempt = at->second.attempt;
    out_.erase(at);
    if (attempt) cloud_.cancel(attempt);
    return attempt != 0;
}

bool Proxy::written(ExchangeId id) const noexcept {
    const auto at = out_.find(id);
    return at != out_.end() && at->second.attempt != 0;
}

// The decisions use none.
void Proxy::probe(PoolId, MachineId machine, Millis, Listener& listener) {
    listener.probe_ended(machine, Outcome::completed);
}

void Proxy::heard(std::uint64_t id, const ServerWord& word) {
    const auto at = out_.find(id);
    if (at == out_.end()) return;
    Out& out = at->second;
    if (word.load && arm_.told_load) {
        std::string load = std::to_string(word.load->running);
        load.append(",").append(std::to_string(word.load->waiting));
        load.append(",").append(std::to_string(word.load->slots));
        pools_->load_seen(out.exchange->service(), out.member, load);
    }
    if (word.kind == Kind::wrong) pools_->replaced(std::string(out.member));
    if (word.kind != Kind::piece) {
        const bool keeps = word.kind == Kind::done || word.kind == Kind::refused || word.kind == Kind::error;
        return ended(id, outcome(out, word.kind), keeps);
    }
    if (!std::exchange(out.heard, true)) first_piece(out, word);
    if (out.passing && out.exchange->has_client)
        clients_.answered(out.exchange->request.id, ClientWord::piece, 0);
}

void Proxy::first_piece(Out& out, const ServerWord&) {
    out.exchange->judged_at = simulation_.now();
    pools_->first_event(out.exchange->id);
    out.passing = out.listener->attempt_begun(out.key);
}

Outcome Proxy::outcome(const Out& out, Kind kind) const {
    switch (kind) {
        case Kind::done:
            return Outcome::completed;
        case Kind::refused:
            return Outcome::saturated;
        case Kind::wrong:
            return Outcome::superseded;
        case Kind::unreachable:
            return out.reused ? Outcome::link_lost : Outcome::refused_connection;
        case Kind::error:
            return Outcome::errored;
        default:
            return out.reused && !out.heard ? Outcome::link_lost : Outcome::severed;
    }
}

void Proxy::ended(ExchangeId id, Outcome outcome, bool keeps_connection) {
    const auto at = out_.find(id);
    const Out out = std::move(at->second);
    out_.erase(at);
    if (const auto machine = machines_.find(out.machine); keeps_connection && machine != machines_.end())
        machine->second.idle.push_back(simulation_.now());
    std::unique_ptr<Answer> answer;
    if (!out.passing && outcome == Outcome::completed) answer = std::make_unique<Answer>();
    out.listener->attempt_ended(out.key, outcome, std::move(answer));
}

}  // namespace whinledge::lab
