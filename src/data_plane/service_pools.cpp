#include "data_plane/service_pools.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace whinledge::data_plane {

namespace {

constexpr std::size_t kMostServersAsked = 64;  // by one load report
constexpr Millis kWarmWithin = 10000;          // a server counts as cold for so long at most
constexpr double kColdFrom = 0.3;              // its capacity as it starts, as a share
constexpr double kCrossZoneFee = 0.3;          // of leaving the zone, in aims
constexpr Millis kDoubt = 2000;                // of a server at which a connection broke, by all classes
constexpr std::uint32_t kMostAttempts = 6;     // over all routes; a route's tries bound them further
// Aims of classes made ahead for routes to come, beside those of the routes at hand. A pool's classes stay.
constexpr Millis kLeastAim = 25;
constexpr double kAimStep = 2;
constexpr int kAimSteps = 10;
constexpr Millis kLongWait = 1000;  // of an attempt that was withdrawn
constexpr char kVersionMark = '@';  // between a service's name and a version's in the name of a pool

Effect effect_of(serving::RouteKind kind) {
    return kind == serving::RouteKind::repeatable ? Effect::repeatable : Effect::once;
}

void add_class(std::vector<RequestClass>& classes, Effect effect, Millis aim) {
    const bool known = std::any_of(classes.begin(), classes.end(),
                                   [&](const RequestClass& c) { return c.effect == effect && c.aim == aim; });
    if (known) return;
    RequestClass added;
    added.effect = effect;
    added.aim = aim;
    classes.push_back(added);
}

std::vector<RequestClass> classes_of(const serving::Configuration& configuration, std::string_view service) {
    std::vector<RequestClass> classes;
    for (const serving::Route& route : configuration.routes)
        for (const serving::WeightedService& to : route.split)
            if (to.service == service) add_class(classes, effect_of(route.kind), route.timeout_ms);
    for (const Effect effect : {Effect::repeatable, Effect::once}) {
        Millis aim = kLeastAim;
        for (int i = 0; i < kAimSteps; ++i, aim *= kAimStep) add_class(classes, effect, aim);
    }
    return classes;
}

// What a pool is told of.
bool same_member(const wire::ListedServer& a, const wire::ListedServer& b) {
    return a.id == b.id && a.address == b.address && a.zone == b.zone && a.draining == b.draining &&
           a.slots == b.slots;
}

}  // namespace

ServicePools::ServicePools(Engine& engine, Transport& transport, Options options)
    : engine_(engine), transport_(transport), options_(std::move(options)) {}

void ServicePools::configure(const serving::Configuration& configuration) {
    for (auto at = pools_.begin(); at != pools_.end();) {
        if (configuration.service(at->first)) {
            ++at;
            continue;
        }
        if (const auto candidate = candidates_.find(at->first); candidate != candidates_.end()) {
            remove_pool(candidate->second.pool);
            candidates_.erase(candidate);
        }
        remove_pool(at->second);
        at = pools_.erase(at);
    }
    for (const serving::Service& service : configuration.services) {
        const auto known = pools_.find(service.name);
        if (known == pools_.end()) {
            pools_.emplace(service.name,
                           make_pool(service, service.name, classes_of(configuration, service.name)));
            reconcile_candidate(service.name);
            tell_members(service.name);
            continue;
        }
        std::vector<ServicePool*> pools{&known->second};
        if (const auto candidate = candidates_.find(service.name); candidate != candidates_.end())
            pools.push_back(&candidate->second.pool);
        for (ServicePool* const pool : pools) {
            pool->service = service;
            set_engine(*pool, service);
            set_max_connections(*pool, service);
        }
        tell_openings(service.name, known->second);
    }
}

ServicePools::ServicePool ServicePools::make_pool(const serving::Service& service, std::string name,
                                                  std::vector<RequestClass> classes) {
    Pool::Options options;
    options.seed = options_.seed ^ std::hash<std::string>()(name);
    options.name = std::move(name);
    options.zones = {options_.zone};
    Settings& decisions = options.decisions;
    decisions.classes = std::move(classes);
    decisions.my_zone = 0;
    decisions.max_attempts = kMostAttempts;
    decisions.warm_within = kWarmWithin;
    decisions.cold_from = kColdFrom;
    decisions.doubt = kDoubt;
    decisions.fees.cross_zone = kCrossZoneFee;
    ServicePool made{service, nullptr, decisions.classes, nullptr,
                     placement::ProgramAdmission(options_.admission, engine_.now())};
    set_engine(made, service);
    made.pool = &engine_.add_pool(std::move(options), transport_, this, {});
    made.pool->start();
    set_max_connections(made, service);
    tell_openings(service.name, made);
    return made;
}

void ServicePools::remove_pool(ServicePool& pool) {
    if (options_.limit_connections) options_.limit_connections(pool.pool->id(), 0);
    engine_.remove_pool(*pool.pool);
    std::erase_if(open_sends_,
                  [&](const auto& open) { return open.second.placement == pool.placement.get(); });
}

ServicePools::ServicePool* ServicePools::find_pool(std::string_view name) {
    return const_cast<ServicePool*>(std::as_const(*this).find_pool(name));
}

const ServicePools::ServicePool* ServicePools::find_pool(std::string_view name) const {
    if (const auto at = pools_.find(name); at != pools_.end()) return &at->second;
    const auto end = name.rfind(kVersionMark);
    if (end == std::string_view::npos) return nullptr;
    const std::string_view service = name.substr(0, end);
    const auto candidate = candidates_.find(service);
    if (candidate != candidates_.end() && candidate->second.name == name) return &candidate->second.pool;
    const auto at = pools_.find(service);
    return at == pools_.end() ? nullptr : &at->second;
}

// ---- Versions ---------------------------------------------------------------------------------------------

ServiceRollout& ServicePools::rollout_of(const std::string& service) {
    return rollouts_.try_emplace(service, options_.rollouts).first->second;
}

void ServicePools::set_rollouts(const std::vector<wire::Rollout>& rollouts) {
    std::map<std::string, const wire::Rollout*> newest;
    for (const auto& [service, rollout] : rollouts_) newest.emplace(service, nullptr);
    for (const wire::Rollout& rollout : rollouts) newest[rollout.service_name] = &rollout;
    for (const auto& [service, record] : newest) {
        if (!rollout_of(service).set_record(record, engine_.now())) continue;
        reconcile_candidate(service);
        tell_members(service);
    }
}

void ServicePools::reconcile_candidate(const std::string& service) {
    const auto serving = pools_.find(service);
    if (serving == pools_.end()) return;
    const ServiceRollout& rollout = rollout_of(service);
    const std::string* const version = rollout.candidate_version();
    const std::string* const finished = rollout.finished_version();
    const auto name_of = [&](const std::string& of) { return service + kVersionMark + of; };
    const auto at = candidates_.find(service);
    if (at != candidates_.end() && !(version && at->second.name == name_of(*version))) {
        if (finished && at->second.name == name_of(*finished)) std::swap(serving->second, at->second.pool);
        remove_pool(at->second.pool);
        candidates_.erase(at);
    }
    if (!version || candidates_.contains(service)) return;
    candidates_.emplace(
        service, Candidate{name_of(*version),
                           make_pool(serving->second.service, name_of(*version), serving->second.classes)});
}

std::string ServicePools::choose_pool(const std::string& service, std::uint64_t line) const {
    const auto candidate = candidates_.find(service);
    if (candidate == candidates_.end()) return service;
    const auto serving = pools_.find(service);
    const bool candidate_ready = candidate->second.pool.pool->ready() > 0;
    // Where the old servers have all gone there is nobody else.
    const bool serving_ready = serving != pools_.end() && serving->second.pool->ready() > 0;
    const ServiceRollout& rollout = rollouts_.find(service)->second;
    const double share = rollout.candidate_share(engine_.now());
    const auto mixed = placement::mixed(line, static_cast<std::uint64_t>(rollout.number()));
    const double draw = std::ldexp(static_cast<double>(mixed >> 11), -53);
    const bool goes_there = candidate_ready && (draw < share || !serving_ready);
    return goes_there ? candidate->second.name : service;
}

std::vector<wire::RolloutReport> ServicePools::rollout_reports(std::int64_t proxy) {
    std::vector<wire::RolloutReport> reports;
    for (const auto& [service, candidate] : candidates_) {
        ServiceRollout& rollout = rollouts_.find(service)->second;
        if (rollout.trial_is_due(engine_.now())) tell_members(service);
        const ServiceRollout::OpenRequests open{pools_.find(service)->second.pool->open(),
                                                candidate.pool.pool->open()};
        reports.push_back(rollout.report(proxy, open, engine_.now()));
    }
    return reports;
}

void ServicePools::rollout_reply(std::int64_t number, const wire::RolloutReportReply& reply) {
    for (auto& [service, rollout] : rollouts_)
        if (number != 0 && rollout.number() == number) rollout.hear(reply, engine_.now());
}

void ServicePools::note_for_rollout(std::string_view pool, RequestId id, std::string_view server,
                                    std::string_view route) {
    if (candidates_.empty()) return;
    const auto version = pool.rfind(kVersionMark);
    const bool is_service = pools_.contains(pool) || version == std::string_view::npos;
    const auto candidate = candidates_.find(is_service ? pool : pool.substr(0, version));
    if (candidate == candidates_.end()) return;
    RolloutAttempt& attempt = rollout_attempts_[id];
    attempt.service = candidate->first;
    attempt.number = rollouts_.find(candidate->first)->second.number();
    attempt.server = server;
    attempt.attempt.route = rollout::route_id(route);
    attempt.attempt.sent_at = engine_.now();
    attempt.attempt.at_candidate = pool == candidate->second.name;
    const auto started = started_.find(attempt.server);
    attempt.attempt.warm = started == started_.end() || started->second + kWarmWithin <= engine_.now();
}

// What the server made of it; what says nothing of the server is left out.
void ServicePools::count_for_rollout(const AttemptEnded& end) {
    const auto open = rollout_attempts_.find(end.id);
    if (open == rollout_attempts_.end()) return;
    RolloutAttempt attempt = std::move(open->second);
    rollout_attempts_.erase(open);
    const bool failed =
        end.outcome == Outcome::errored || end.outcome == Outcome::overdue || end.outcome == Outcome::severed;
    // What a client gave up after a while tells that it takes at least so long.
    const bool waited_long =
        end.outcome == Outcome::recalled && engine_.now() - attempt.attempt.sent_at >= kLongWait;
    if (!failed && !waited_long && end.outcome != Outcome::completed) return;
    if (waited_long && !attempt.attempt.first_event_at) attempt.attempt.first_event_at = engine_.now();
    const auto rollout = rollouts_.find(attempt.service);
    if (rollout == rollouts_.end() || rollout->second.number() != attempt.number) return;
    attempt.attempt.server = attempt.server;
    attempt.attempt.failed = failed;
    attempt.attempt.ended_at = engine_.now();
    rollout->second.ended(attempt.attempt);
}

// ---- The list ---------------------------------------------------------------------------------------------

void ServicePools::set_servers(const wire::ServersList& list) {
    std::map<std::string_view, std::vector<const wire::ListedServer*>> listed;
    for (const wire::ListedServer& server : list.servers) listed[server.service_name].push_back(&server);
    for (const auto& [service, servers] : servers_) listed.try_emplace(service);
    std::vector<std::string> changed;
    for (const auto& [service, servers] : listed) {
        std::vector<wire::ListedServer>& known = servers_[std::string(service)];
        const bool same = std::equal(known.begin(), known.end(), servers.begin(), servers.end(),
                                     [](const auto& a, const auto* b) { return same_member(a, *b); });
        if (!same) changed.emplace_back(service);
    }
    // One that went to another service is gone from the first before it is new in the second.
    std::unordered_map<std::string, Millis> before;
    for (const std::string& service : changed)
        for (const wire::ListedServer& server : servers_[service]) before.insert(started_.extract(server.id));
    std::map<std::string, std::vector<wire::ListedServer>> held;
    for (const std::string& service : changed) {
        std::vector<wire::ListedServer>& known = servers_[service];
        held[service] = std::exchange(known, {});
        for (const wire::ListedServer* const server : listed.at(service)) {
            const auto at = before.find(server->id);
            started_.emplace(server->id, at != before.end() ? at->second
                                                            : engine_.now() - kWarmWithin +
                                                                  std::max(0, server->cold_left_ms));
            known.push_back(*server);
        }
    }
    std::erase_if(replaced_, [this](const std::string& server) { return !started_.contains(server); });
    for (const std::string& service : changed) tell_changes(service, held[service]);
}

// Those that are new or others than before; all of them where some have gone.
void ServicePools::tell_changes(const std::string& service, const std::vector<wire::ListedServer>& before) {
    std::unordered_map<std::string_view, const wire::ListedServer*> known;
    for (const wire::ListedServer& server : before) known.emplace(server.id, &server);
    std::set<std::string_view> unchanged;
    std::size_t still_there = 0;
    for (const wire::ListedServer& server : servers_[service]) {
        const auto at = known.find(server.id);
        if (at == known.end()) continue;
        ++still_there;
        if (same_member(*at->second, server)) unchanged.insert(server.id);
    }
    if (still_there < known.size()) unchanged.clear();
    tell_members(service, unchanged);
}

void ServicePools::replaced(const std::string& server) {
    if (!started_.contains(server) || !replaced_.insert(server).second) return;
    for (const auto& [service, servers] : servers_)
        if (std::any_of(servers.begin(), servers.end(), [&](const auto& s) { return s.id == server; }))
            return tell_members(service);
}

Member ServicePools::member(const wire::ListedServer& server) {
    Member member;
    member.id = server.id;
    member.address = server.address;
    member.zone = server.zone;
    member.phase = server.draining ? Phase::fading : Phase::on;
    member.started = started_.at(server.id);
    return member;
}

void ServicePools::tell_members(const std::string& service, const std::set<std::string_view>& unchanged) {
    const auto pool = pools_.find(service);
    if (pool == pools_.end()) return;
    const rollout::VersionArms arms = rollout_of(service).arms(servers_[service], engine_.now());
    tell_pool(pool->second, arms.serving, unchanged);
    if (const auto candidate = candidates_.find(service); candidate != candidates_.end())
        tell_pool(candidate->second.pool, arms.candidate, {});
}

void ServicePools::tell_pool(ServicePool& pool, const std::vector<const wire::ListedServer*>& servers,
                             const std::set<std::string_view>& unchanged) {
    MemberList list;
    list.full = unchanged.empty();
    for (const wire::ListedServer* const server : servers)
        if (!replaced_.contains(server->id) && !unchanged.contains(server->id))
            list.members.push_back(member(*server));
    pool.pool->members(list);
    if (!pool.placement) return;
    std::vector<placement::ListedServer> listed;
    for (const wire::ListedServer* const server : servers)
        if (!replaced_.contains(server->id))
            listed.push_back({server->id, server->zone, server->draining,
                              std::max(0.0, started_.at(server->id) + kWarmWithin - engine_.now()),
                              server->slots});
    pool.placement->set_servers(listed, engine_.now());
}

// ---- Connections of a server, shared out among proxies ----------------------------------------------------

void ServicePools::set_max_connections(ServicePool& pool, const serving::Service& service) {
    pool.max_connections = static_cast<std::size_t>(std::max(0, service.max_connections));
    share_connections(pool);
}

void ServicePools::set_sharers(Sharers sharers) {
    if (std::exchange(sharers_, sharers) == sharers) return;
    for (auto& [service, pool] : pools_) share_connections(pool);
}

void ServicePools::share_connections(ServicePool& pool) {
    const std::size_t share = connection_share(pool.max_connections, sharers_);
    if (std::exchange(pool.share, share) == share || !options_.limit_connections) return;
    options_.limit_connections(pool.pool->id(), share);
}

// ---- Openings of prompts ---------------------------------------------------------------------------------

openings::Traffic ServicePools::busiest_openings() const {
    openings::Traffic traffic;
    for (const auto& [name, pool] : pools_) {
        if (!pool.placement) continue;
        openings::ServiceTraffic service{name, pool.placement->request_rate(engine_.now())};
        for (const placement::BusyStart& start :
             pool.placement->busiest(openings::kMostToldOpenings, engine_.now()))
            service.openings.push_back({start.id, start.tokens, start.rate});
        traffic.push_back(std::move(service));
    }
    return openings::heaviest(std::move(traffic), openings::kMostToldOpenings);
}

void ServicePools::set_shared_openings(openings::Traffic shared) {
    shared_openings_ = std::move(shared);
    for (auto& [service, pool] : pools_) tell_openings(service, pool);
}

void ServicePools::tell_openings(const std::string& service, ServicePool& pool) {
    if (!pool.placement) return;
    std::vector<placement::ToldStart> starts;
    for (const openings::ServiceTraffic& told : shared_openings_) {
        if (told.service != service || told.rate <= 0) continue;
        for (const openings::Opening& opening : told.openings)
            starts.push_back({opening.key, opening.rate / told.rate});
    }
    pool.placement->set_told_starts(starts);
}

// ---- Placement on model servers ---------------------------------------------------------------------------

void ServicePools::set_engine(ServicePool& pool, const serving::Service& service) {
    if (!service.engine) return;  // what is out may still name the placement of one that had
    placement::Settings settings;
    settings.zone = options_.zone;
    settings.mechanisms = options_.mechanisms;
    if (service.engine->slots > 0) settings.slots = service.engine->slots;
    if (service.engine->memory_tokens > 0) settings.memory_tokens = service.engine->memory_tokens;
    if (pool.placement)
        pool.placement->change(std::move(settings));
    else
        pool.placement = std::make_unique<placement::Placement>(std::move(settings));
}

void ServicePools::set_mechanisms(const placement::Mechanisms& mechanisms) {
    options_.mechanisms = mechanisms;
    for (auto& [service, pool] : pools_)
        if (pool.placement) pool.placement->set_mechanisms(mechanisms);
}

placement::Placement* ServicePools::placement_of(std::string_view service) const {
    const ServicePool* const pool = find_pool(service);
    return pool ? pool->placement.get() : nullptr;
}

std::vector<std::string> ServicePools::candidates(std::string_view service,
                                                  const placement::Request& request) {
    placement::Placement* const placement = placement_of(service);
    return placement ? placement->candidates(request, engine_.now()) : std::vector<std::string>();
}

Millis ServicePools::idle_ms(std::string_view service, const placement::Request& request) const {
    const placement::Placement* const placement = placement_of(service);
    return placement ? placement->idle_ms(request) : 0;
}

void ServicePools::sent(std::string_view service, RequestId id, std::string_view server,
                        const placement::Request& request, std::string_view route) {
    note_for_rollout(service, id, server, route);
    placement::Placement* const placement = placement_of(service);
    if (!placement) return;
    placement->sent(next_send_, server, request, engine_.now());
    open_sends_[id] = {placement, next_send_++};
}

void ServicePools::load_seen(std::string_view service, std::string_view server, std::string_view text) {
    placement::Placement* const placement = placement_of(service);
    placement::Load load;
    if (placement && placement::parse_load(text, load)) placement->load_seen(server, load, engine_.now());
}

wire::LoadReport ServicePools::load_report(bool asks) {
    wire::LoadReport report;
    report.proxy = static_cast<std::int64_t>(options_.seed);
    report.number = ++load_reports_;
    for (const auto& [service, pool] : pools_) {
        if (!pool.placement) continue;
        for (const placement::Placement::ServerRequests& own : pool.placement->own_requests()) {
            wire::ServerRequests at;
            at.server = static_cast<std::int32_t>(own.server);
            at.requests = own.requests;
            report.under_way.push_back(at);
        }
        if (!asks) continue;
        const std::size_t room = kMostServersAsked - std::min(report.asked.size(), kMostServersAsked);
        for (const std::uint32_t server : pool.placement->servers_to_ask(room))
            report.asked.push_back(static_cast<std::int32_t>(server));
    }
    return report;
}

void ServicePools::loads_told(const storage_plane::ToldLoads& told) {
    const std::size_t known = std::min(told.servers.size(), told.other_requests.size());
    std::vector<placement::Placement::ServerRequests> at_servers(known);
    for (std::size_t i = 0; i < known; ++i)
        at_servers[i] = {static_cast<std::uint32_t>(told.servers[i]), told.other_requests[i]};
    for (const auto& [service, pool] : pools_)
        if (pool.placement) pool.placement->others_told(at_servers, told.age_ms, engine_.now());
}

placement::ProgramAdmission* ServicePools::admission_of(std::string_view service) {
    if (!options_.admission.on) return nullptr;
    ServicePool* const pool = find_pool(service);
    return pool && pool->placement ? &pool->admission : nullptr;
}

bool ServicePools::admit(std::string_view service, const placement::ProgramTurn& turn) {
    placement::ProgramAdmission* const admission = admission_of(service);
    return !admission || admission->admit(turn, engine_.now());
}

void ServicePools::set_admission(const placement::AdmissionSettings& settings) {
    options_.admission = settings;
    for (auto& [service, pool] : pools_)
        pool.admission = placement::ProgramAdmission(settings, engine_.now());
}

void ServicePools::awaits(std::string_view service, const placement::AwaitedEvent& event) {
    if (placement::ProgramAdmission* const admission = admission_of(service)) admission->awaits(event);
}

void ServicePools::stream_began(std::string_view service, const placement::AwaitedEvent& event) {
    if (placement::ProgramAdmission* const admission = admission_of(service))
        admission->began(event, engine_.now());
}

void ServicePools::withdrawn(std::string_view service, const placement::AwaitedEvent& event) {
    if (placement::ProgramAdmission* const admission = admission_of(service)) admission->withdrawn(event);
}

void ServicePools::event(const Pool&, Millis now, const Event& event) noexcept {
    if (open_sends_.empty() && rollout_attempts_.empty()) return;
    const auto* const end = std::get_if<AttemptEnded>(&event);
    if (!end) return;
    count_for_rollout(*end);
    ended(*end, now);
}

void ServicePools::first_event(RequestId id) {
    if (const auto attempt = rollout_attempts_.find(id); attempt != rollout_attempts_.end())
        attempt->second.attempt.first_event_at = engine_.now();
    if (const auto open = open_sends_.find(id); open != open_sends_.end())
        open->second.placement->began(open->second.id, engine_.now());
}

bool ServicePools::is_overdue(RequestId id) const {
    const auto open = open_sends_.find(id);
    return open != open_sends_.end() && open->second.placement->is_overdue(open->second.id, engine_.now());
}

void ServicePools::ended(const AttemptEnded& attempt, Millis now) {
    const auto open = open_sends_.find(attempt.id);
    if (open == open_sends_.end()) return;
    const bool never_ran = attempt.outcome == Outcome::refused_connection ||
                           attempt.outcome == Outcome::superseded || attempt.outcome == Outcome::saturated ||
                           attempt.outcome == Outcome::not_sent;
    open->second.placement->ended(open->second.id, !never_ran, now);
    open_sends_.erase(open);
}

// The class whose aim is nearest, as a multiple.
ServicePools::Place ServicePools::place(std::string_view service, Effect effect, Millis aim) const {
    const ServicePool* const found = find_pool(service);
    if (!found) return {};
    const auto& classes = found->classes;
    const auto distance = [&](const RequestClass& c) {
        return c.effect == effect ? std::abs(std::log(std::max(1.0, aim) / c.aim)) : HUGE_VAL;
    };
    const auto nearest = std::min_element(classes.begin(), classes.end(), [&](const auto& a, const auto& b) {
        return distance(a) < distance(b);
    });
    return {found->pool, static_cast<std::uint32_t>(nearest - classes.begin())};
}

std::string ServicePools::counters() const {
    std::string text;
    for (const auto& [service, pool] : pools_) {
        const auto listed = servers_.find(service);
        text += (text.empty() ? "" : " ") + service + " " + std::to_string(pool.pool->ready()) + "/" +
                std::to_string(listed == servers_.end() ? 0 : listed->second.size());
        if (!pool.placement || !options_.admission.on) continue;
        const placement::ProgramAdmission& admission = pool.admission;
        text += " late=" + std::to_string(admission.late_share(engine_.now())) +
                " put_off_share=" + std::to_string(admission.put_off_share()) +
                " put_off=" + std::to_string(admission.put_off()) +
                " programs=" + std::to_string(admission.under_way());
    }
    return text;
}

}  // namespace whinledge::data_plane
