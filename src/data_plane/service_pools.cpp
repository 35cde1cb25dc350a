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
        if (options_.limit_connections) options_.limit_connections(at->second.pool->id(), 0);
        engine_.remove_pool(*at->second.pool);
        std::erase_if(open_sends_,
                      [&](const auto& open) { return open.second.placement == at->second.placement.get(); });
        at = pools_.erase(at);
    }
    for (const serving::Service& service : configuration.services) {
        if (const auto known = pools_.find(service.name); known != pools_.end()) {
            set_engine(known->second, service);
            tell_openings(service.name, known->second);
            set_max_connections(known->second, service);
            continue;
        }
        Pool::Options options;
        options.name = service.name;
        options.seed = options_.seed ^ std::hash<std::string>()(service.name);
        options.zones = {options_.zone};
        Settings& decisions = options.decisions;
        decisions.classes = classes_of(configuration, service.name);
        decisions.my_zone = 0;
        decisions.max_attempts = kMostAttempts;
        decisions.warm_within = kWarmWithin;
        decisions.cold_from = kColdFrom;
        decisions.doubt = kDoubt;
        decisions.fees.cross_zone = kCrossZoneFee;
        ServicePool made{nullptr, decisions.classes, nullptr,
                         placement::ProgramAdmission(options_.admission, engine_.now())};
        set_engine(made, service);
        made.pool = &engine_.add_pool(std::move(options), transport_, this, {});
        made.pool->start();
        set_max_connections(made, service);
        tell_openings(service.name, made);
        pools_.emplace(service.name, std::move(made));
        tell_members(service.name);
    }
}

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
    MemberList list;
    list.full = unchanged.empty();
    for (const wire::ListedServer& server : servers_[service])
        if (!replaced_.contains(server.id) && !unchanged.contains(server.id))
            list.members.push_back(member(server));
    pool->second.pool->members(list);
    if (!pool->second.placement) return;
    std::vector<placement::ListedServer> listed;
    for (const wire::ListedServer& server : servers_[service])
        if (!replaced_.contains(server.id))
            listed.push_back({server.id, server.zone, server.draining,
                              std::max(0.0, started_.at(server.id) + kWarmWithin - engine_.now()),
                              server.slots});
    pool->second.placement->set_servers(listed, engine_.now());
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
    const auto at = pools_.find(service);
    return at == pools_.end() ? nullptr : at->second.placement.get();
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
                        const placement::Request& request) {
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
    const auto at = pools_.find(service);
    return at == pools_.end() || !at->second.placement ? nullptr : &at->second.admission;
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
    if (open_sends_.empty()) return;
    if (const auto* const end = std::get_if<AttemptEnded>(&event)) ended(*end, now);
}

void ServicePools::first_event(RequestId id) {
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
    const auto at = pools_.find(service);
    if (at == pools_.end()) return {};
    const auto& classes = at->second.classes;
    const auto distance = [&](const RequestClass& c) {
        return c.effect == effect ? std::abs(std::log(std::max(1.0, aim) / c.aim)) : HUGE_VAL;
    };
    const auto nearest = std::min_element(classes.begin(), classes.end(), [&](const auto& a, const auto& b) {
        return distance(a) < distance(b);
    });
    return {at->second.pool, static_cast<std::uint32_t>(nearest - classes.begin())};
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
