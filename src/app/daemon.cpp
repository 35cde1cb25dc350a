#include "app/daemon.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <random>
#include <stdexcept>
#include <utility>

#include "app/own_limit.hpp"
#include "config/diff.hpp"
#include "discovery/file_source.hpp"
#include "discovery/platform.hpp"
#include "discovery/static_list.hpp"
#include "hash/mix64.hpp"
#include "http/head_fields.hpp"
#include "http/message.hpp"
#include "io/address.hpp"
#include "route/split.hpp"
#ifdef WHINLEDGE_HAS_DNS
#include "discovery/dns_source.hpp"
#endif

namespace whinledge {

namespace asio = boost::asio;

namespace {

// As in the platform's sidecar, but for the rest of what may run twice: here few connections carry much.
constexpr Millis kSettle = 3, kSettleCareful = 250, kDoubt = 10000;
constexpr Millis kAccepting = 500;             // of a drain
constexpr std::size_t kOtherDescriptors = 32;  // listeners, sources, files, the log

std::uint64_t entropy() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

limits::Bound bound_of(const config::Share& share) { return {share.guaranteed, share.most}; }

std::vector<std::string> names_of(const auto& things) {
    std::vector<std::string> names;
    for (const auto& thing : things) names.push_back(thing.name);
    return names;
}

// Throws with a line for each fault.
std::shared_ptr<const Routing> compile(const config::Services& services, route::RegexMaker regexes,
                                       Log& log) {
    const std::vector<std::string> listeners = names_of(services.listeners);
    Routing routing;
    routing.pools = names_of(services.pools);
    route::Table::Compiled compiled =
        route::Table::compile(services.routes, listeners, routing.pools, regexes);
    if (!compiled.table) {
        std::string lines;
        for (const route::Fault& fault : compiled.faults)
            lines.append(lines.empty() ? "" : "\n").append(to_text(fault));
        throw std::runtime_error(lines);
    }
    for (const route::Fault& fault : compiled.faults) log.line("warning: " + to_text(fault));
    routing.table = std::move(compiled.table);
    return std::make_shared<const Routing>(std::move(routing));
}

// The platform's discovery, for one pool.
class PlatformSource final : public MemberSource {
public:
    PlatformSource(asio::io_context& io, Log& log, const Tcp::endpoint& address, Callbacks callbacks,
                   LetGo let_go)
        : discovery_(
              io, log, address, 0, true,
              {[changed = callbacks.changed](MemberList list) { changed(std::move(list)); },
               [failed = callbacks.failed] { failed("discovery does not answer"); }, std::move(let_go)}) {}
    void start() override { discovery_.watch(true); }
    void watch(bool active) override { discovery_.watch(active); }
    void fetch() override { discovery_.fetch(); }

private:
    Discovery discovery_;
};

}  // namespace

// What a request holds of its limits.
class Daemon::Grant final : public whinledge::Grant {
public:
    Grant(Daemon& daemon, limits::Ticket ticket) : daemon_(daemon), hold_(daemon.gate_, std::move(ticket)) {}
    ~Grant() override {
        daemon_.gate_.at(daemon_.clock_.now());
        hold_.give_back();
    }
    bool hold(std::size_t bytes) override {
        const limits::Amount held = daemon_.gate_.held(hold_.ticket());
        if (bytes <= held) return true;
        daemon_.gate_.at(daemon_.clock_.now());
        return !daemon_.gate_.grow(hold_.ticket(), bytes - held);
    }

    FleetLimits::Hold of_fleet;

private:
    Daemon& daemon_;
    limits::Hold hold_;
};

// Of what the file tells, or of what the process's own limit leaves: some are for what is no connection.
std::size_t Daemon::for_connections(std::size_t told) const {
    const std::size_t use = told > 2 * kOtherDescriptors ? told - kOtherDescriptors : told;
    return std::min(use, std::max<std::size_t>(8, allowed_));
}

Daemon::Daemon(asio::io_context& io, config::Services services, Options options)
    : allowed_(descriptors_left(kOtherDescriptors)),
      io_(io),
      options_(std::move(options)),
      log_(options_.log ? *options_.log : own_log_),
      descriptors_(for_connections(services.descriptors),
                   [this](PoolId pool, std::size_t count) {
                       const std::size_t closed = transport_.upstream().close_idle_of(pool, count);
                       if (directory_ && closed < count) directory_->close_idle_of(pool, count - closed);
                   }),
      gate_(services.requests, services.bytes),
      wake_(io, clock_, [this] { engine_.run_due(); }),
      transport_(io, log_,
                 {250, 14000, for_connections(services.descriptors), kSettle, kSettleCareful, kDoubt},
                 &descriptors_, [this] { return let_go(); }),
      directory_(make_directory(
          io, log_, descriptors_,
          [this](MachineId machine) { engine_.notice(machine, options_.notice_hold); },
          [this] { return let_go(); })),
      engine_(clock_,
              {[this](Millis at) { wake_.at(at); }, [this](const std::string& text) { log_.line(text); }}),
      random_state_(services.seed ? *services.seed : entropy()),
      drain_timer_(io) {
    apply(std::move(services));
}

Daemon::~Daemon() {
    std::exchange(entrances_, {}).clear();  // whom a client leaves behind may ask for a descriptor
    leaving_.clear();
    services_.clear();
}

// SplitMix64.
std::uint64_t Daemon::random() { return mix64(random_state_ += kSplitMixStep); }

// ---- What is in service
// -----------------------------------------------------------------------------------------

// What opened now would not know that it has to end.
void Daemon::reload(config::Services services) {
    if (draining_) throw std::runtime_error("the process is ending");
    apply(std::move(services));
}

// First all that may fail, then what changes.
void Daemon::apply(config::Services services) {
    auto routing = compile(services, options_.regexes, log_);
    const auto plan = directory_ ? directory_->plan(services) : nullptr;
    const config::Difference difference = config::difference(config_, services);
    const auto change_of = [](const std::vector<config::Changed>& list, const std::string& name) {
        const auto at = std::find_if(list.begin(), list.end(), [&](const auto& c) { return c.name == name; });
        return at == list.end() ? config::Change::added : at->change;
    };
    const auto is_new = [](config::Change change) {
        return change == config::Change::added || change == config::Change::replaced;
    };
    Services fresh;
    Entrances opened;
    Bounds bounds;
    FleetChange fleet_change;
    try {
        fleet_change = prepare_fleet(services);
        for (const config::Pool& pool : services.pools)
            if (is_new(change_of(difference.pools, pool.name)))
                fresh.emplace(pool.name, start(pool, plan.get()));
        for (std::size_t i = 0; i < services.listeners.size(); ++i)
            if (const auto& l = services.listeners[i]; is_new(change_of(difference.listeners, l.name)))
                opened.emplace(l.name, open(l, i, for_connections(services.descriptors), plan.get()));
        bounds = bound(services, fresh);
    } catch (...) {
        for (auto& [name, service] : fresh) remove(service);
        throw;
    }
    // From here on nothing fails but for want of memory.
    Services kept;
    for (const config::Pool& pool : services.pools) {
        if (const auto at = fresh.find(pool.name); at != fresh.end()) {
            kept.insert(fresh.extract(at));
            continue;
        }
        Service& service = services_.find(pool.name)->second;
        if (auto* const list = dynamic_cast<StaticList*>(service.source.get()); list)
            list->replace(pool.source.members);
        service.config = pool;
        set_pool(service, plan.get());
        kept.insert(services_.extract(pool.name));
    }
    std::swap(services_, kept);
    for (auto& [name, service] : kept) {
        remove(service);
    }
    Entrances staying;
    for (std::size_t i = 0; i < services.listeners.size(); ++i) {
        const config::Listener& l = services.listeners[i];
        if (const auto at = opened.find(l.name); at != opened.end()) {
            staying.insert(opened.extract(at));
            continue;
        }
        Entrance& entrance = *entrances_.find(l.name)->second;
        entrance.config = l;
        entrance.index = i;
        if (auto* const web = dynamic_cast<Web*>(entrance.listener.get()))
            web->change({l.name, i, {}, 0, l.head_timeout, l.idle_timeout, l.via});
        if (l.profile == config::Listener::Profile::ldap) directory_->change(*plan, *entrance.listener, l, i);
        staying.insert(entrances_.extract(l.name));
    }
    std::swap(entrances_, staying);
    for (auto& [name, entrance] : staying) retire(std::move(entrance));
    for (std::size_t i = 0; i < services.pools.size(); ++i)
        services_.find(services.pools[i].name)->second.member = bounds.pools[i];
    for (std::size_t i = 0; i < services.listeners.size(); ++i)
        entrances_.find(services.listeners[i].name)->second->member = bounds.listeners[i];
    routing_ = std::move(routing);
    plan_ = plan;
    if (directory_) directory_->adopt(plan);
    adopt_fleet(std::move(fleet_change), services.fleet.has_value());
    config_ = std::move(services);
    for (auto& [name, service] : services_)
        if (service.source && is_new(change_of(difference.pools, name))) service.source->start();
}

// The fleet that stays keeps its life, whatever else changes.
Daemon::FleetChange Daemon::prepare_fleet(const config::Services& services) {
    FleetChange change;
    if (!services.fleet) return change;
    if (fleet_)
        change.change = fleet_->prepare(*services.fleet);
    else
        change.fresh = std::make_unique<Fleet>(io_, clock_, *services.fleet, random());
    return change;
}

void Daemon::adopt_fleet(FleetChange change, bool wanted) {
    if (change.fresh) fleet_ = std::move(change.fresh);
    if (change.change) fleet_->adopt(std::move(*change.change));
    if (wanted || !fleet_) return;
    fleet_->leave();
    fleet_.reset();
}

void Daemon::remove(Service& service) {
    service.source.reset();
    // It sends nothing new.
    service.config.is_ldap ? directory_->forget_pool(service.pool->id())
                           : transport_.forget_pool(service.pool->id());
    engine_.remove_pool(*service.pool);
}

void Daemon::set_pool(const Service& service, const Directory::Plan* plan) {
    const config::Pool& pool = service.config;
    if (pool.is_ldap)
        directory_->set_pool(*plan, service.pool->id(), pool);
    else
        transport_.set_pool(service.pool->id(), {pool.connect_timeout, pool.idle_close});
}

Daemon::Service Daemon::start(const config::Pool& pool, const Directory::Plan* plan) {
    Service service;
    service.config = pool;
    Pool::Options options;
    options.name = pool.name;
    options.decisions = pool.decisions;
    options.seed = random();
    Pool::Outside outside;
    outside.watch_members = [this, name = pool.name](bool active) {
        const auto at = services_.find(name);
        if (at != services_.end() && at->second.source) at->second.source->watch(active);
    };
    outside.fetch_members = [this, name = pool.name] {
        const auto at = services_.find(name);
        if (at != services_.end() && at->second.source) at->second.source->fetch();
    };
    outside.log = [this, name = pool.name](const std::string& text) { log_.line(name + ": " + text); };
    Transport& transport = pool.is_ldap ? directory_->transport() : transport_;
    service.pool = &engine_.add_pool(std::move(options), transport, options_.observer, std::move(outside));
    set_pool(service, plan);
    service.site = std::make_unique<Site>();
    service.site->settings = pool.decisions;
    service.site->classes = pool.class_names;
    service.site->longest_wait = 60000;
    service.pool->start();
    try {
        service.source = source_of(pool, *service.pool);
    } catch (...) {
        remove(service);
        throw;
    }
    return service;
}

std::unique_ptr<MemberSource> Daemon::source_of(const config::Pool& pool, Pool& of) {
    const auto& from = pool.source;
    MemberSource::Callbacks callbacks{[&of](const MemberList& list) { of.members(list); },
                                      [this, &of, name = pool.name](const std::string& why) {
                                          log_.line(name + ": its members stay as they are: " + why);
                                          of.members_failed();
                                      }};
    using Kind = config::Pool::Source::Kind;
    switch (from.kind) {
        case Kind::list:
            of.members({1, true, from.members});  // there at once
            return std::make_unique<StaticList>(io_, from.members, std::move(callbacks));
        case Kind::file:
            return std::make_unique<FileSource>(io_, FileSettings{from.path}, std::move(callbacks));
        case Kind::platform:
            return std::make_unique<PlatformSource>(io_, log_, endpoint_of<Tcp>(from.address),
                                                    std::move(callbacks), [this] { return let_go(); });
        case Kind::dns:
            break;
    }
#ifdef WHINLEDGE_HAS_DNS
    return std::make_unique<DnsSource>(io_,
                                       DnsSettings{from.host, from.port, from.service, from.resolver,
                                                   from.min_ttl, from.max_ttl, from.timeout, random()},
                                       std::move(callbacks));
#else
    throw std::runtime_error("pool " + pool.name + ": members from DNS are not built in");
#endif
}

// For the descriptor of a connect that wants one.
bool Daemon::let_go() {
    return std::any_of(entrances_.begin(), entrances_.end(),
                       [](const auto& e) { return e.second->listener->door().let_go(); });
}

// Where another listener is at that address, which a reload replaces, its socket: nobody is turned away
// meanwhile.
Door::Listen Daemon::listen_at(const Tcp::endpoint& address) const {
    for (const auto& [name, e] : entrances_)
        if (e->listener->address() == address && !e->listener->door().shut()) return e->listener->door();
    return address;
}

std::unique_ptr<Daemon::Entrance> Daemon::open(const config::Listener& listener, std::size_t index,
                                               std::size_t descriptors, const Directory::Plan* plan) {
    auto entrance = std::make_unique<Entrance>();
    Entrance& e = *entrance;
    e.config = listener;
    e.index = index;
    const auto& share = listener.limits.descriptors;
    const std::size_t places = share.most ? share.most : std::max<std::size_t>(1, descriptors);
    const auto log = [this](const std::string& text) { log_.line(text); };
    const auto over = [this, &e] { drained(e); };
    const Door::Budget budget{[this, name = listener.name] { return descriptors_.enter(name); },
                              [this, name = listener.name] { descriptors_.leave(name); }};
    try {
        const Door::Listen address = listen_at(endpoint_of<Tcp>(listener.address));
        if (listener.profile == config::Listener::Profile::ldap)
            e.listener = open_ldap(e, address, places, budget, *plan);
        else if (listener.profile == config::Listener::Profile::platform)
            e.listener = std::make_unique<Front>(
                io_, address, places,
                Front::Callbacks{[this, &e](const auto& head) { return place(e, head); },
                                 [this, &e](const std::string& pool, const std::string& request_class) {
                                     return admit(e, pool, request_class);
                                 },
                                 over, log},
                budget, *options_.clients);
        else
            e.listener = std::make_unique<Web>(
                io_,
                Web::Options{listener.name, index, address, places, listener.head_timeout,
                             listener.idle_timeout, listener.via},
                Web::Callbacks{[this] { return routing_; },
                               [this](std::string_view name) {
                                   const auto at = services_.find(name);
                                   return at == services_.end()
                                              ? Web::PoolView{}
                                              : Web::PoolView{at->second.pool,
                                                              &at->second.config.class_names};
                               },
                               [this, &e](const std::string& pool, const std::string& request_class) {
                                   return admit(e, pool, request_class);
                               },
                               [this] { return random(); }, over, log},
                budget, *options_.clients);
    } catch (const std::exception& error) {
        throw std::runtime_error("listener " + listener.name + ": " + listener.address + ": " + error.what());
    }
    return entrance;
}

std::unique_ptr<Listener> Daemon::open_ldap(Entrance& e, const Door::Listen& listen, std::size_t places,
                                            const Door::Budget& budget, const Directory::Plan& plan) {
    Directory::Callbacks callbacks{
        [this](std::string_view name) {
            const auto at = services_.find(name);
            return at == services_.end() ? Directory::PoolView{}
                                         : Directory::PoolView{at->second.pool, &at->second.config};
        },
        [this, &e](const std::string& pool, const std::string& request_class) {
            return admit(e, pool, request_class);
        },
        [this, &e] { drained(e); }, [this](const std::string& text) { log_.line(text); }};
    return directory_->open(plan, e.config, e.index, listen, places, std::move(callbacks), budget);
}

// Throws where the guarantees don't fit; then nothing has changed.
Daemon::Bounds Daemon::bound(const config::Services& services, const Services& fresh) {
    std::vector<limits::Gate::Wanted> listeners, pools;
    std::vector<Descriptors::ListenerBound> doors;
    std::vector<Descriptors::PoolBound> servers;
    std::vector<limits::Bound> descriptors;
    for (const config::Listener& l : services.listeners) {
        const auto at = entrances_.find(l.name);
        const auto member = at == entrances_.end() ? limits::Member{} : at->second->member;
        listeners.push_back({member, bound_of(l.limits.requests), bound_of(l.limits.bytes)});
        descriptors.push_back(bound_of(l.limits.descriptors));
        doors.push_back({l.name, descriptors.back()});
    }
    for (const config::Pool& p : services.pools) {
        const auto before = services_.find(p.name);
        const auto now = fresh.find(p.name);
        const auto member = before == services_.end() ? limits::Member{} : before->second.member;
        const Pool& pool = *(now == fresh.end() ? before->second.pool : now->second.pool);
        pools.push_back({member, bound_of(p.limits.requests), bound_of(p.limits.bytes)});
        descriptors.push_back(bound_of(p.limits.descriptors));
        servers.push_back({pool.id(), descriptors.back(), p.limits.connects.most});
    }
    const std::size_t total = for_connections(services.descriptors);
    if (limits::Shares::check(total, descriptors) != limits::Fault::none)
        throw std::runtime_error("process.descriptors: the guarantees don't fit into " +
                                 std::to_string(total));
    if (services.descriptors > total + kOtherDescriptors)
        log_.line("process.descriptors: " + std::to_string(services.descriptors) +
                  " are told; the process's own limit leaves " + std::to_string(total) + " for connections");
    Bounds bounds;
    gate_.at(clock_.now());
    if (gate_.reload(services.requests, services.bytes, listeners, pools, bounds))
        throw std::runtime_error("process: the guarantees of requests or bytes don't fit");
    descriptors_.reload(total, doors, servers);
    return bounds;
}

// ---- Requests
// ---------------------------------------------------------------------------------------------------

// What the process itself can't hold is asked first: the fleet's part is not spent on it.
Admission Daemon::admit(const Entrance& entrance, const std::string& pool, const std::string& request_class) {
    const auto service = services_.find(pool);
    gate_.at(clock_.now());
    auto admission = gate_.admit(entrance.member,
                                 service == services_.end() ? limits::Member{} : service->second.member, 0);
    // Spread, or all that are refused now come back together.
    const auto spread = [this](Millis hint) {
        return hint * (1 + static_cast<double>(random() >> 11) * 0x1.0p-53);
    };
    if (admission.refusal)
        return {nullptr, admission.refusal->side == limits::Side::listener,
                spread(admission.refusal->retry_after.value_or(1000))};
    auto grant = std::make_unique<Grant>(*this, std::move(admission.ticket));
    if (!fleet_) return {std::move(grant), false, 0};
    const auto wait = fleet_->admit(pool, request_class, grant->of_fleet);
    if (wait) return {nullptr, false, spread(*wait)};
    return {std::move(grant), false, 0};
}

// The platform's profile: by host, path and class to a pool that knows the class.
std::optional<Front::Place> Daemon::place(const Entrance& entrance,
                                          const boost::beast::http::request_header<>& head) {
    const auto text = [](boost::beast::string_view v) { return std::string_view(v.data(), v.size()); };
    const std::string_view target = text(head.target());
    const auto mark = target.find('?');
    const HeadFields fields(head);
    const route::RequestView request{
        entrance.index,
        text(head["Host"]),
        text(head.method_string()),
        target.substr(0, mark),
        mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1),
        &fields,
        text(head["Request-Class"])};
    route::Scratch scratch;
    const route::Found found = routing_->table->find(request, scratch);
    if (found.kind != route::Found::Kind::route || found.shares.empty()) return std::nullopt;
    const auto share = route::choose(found.shares, random());
    if (!share) return std::nullopt;
    const auto service = services_.find(routing_->pools.at(found.shares[*share].pool));
    if (service == services_.end()) return std::nullopt;
    return Front::Place{service->second.site.get(), service->second.pool};
}

// ---- The end
// ------------------------------------------------------------------------------------------------------

// A listener that is gone takes nothing new and finishes what it has.
void Daemon::retire(std::unique_ptr<Entrance> entrance) {
    leaving_.push_back(std::move(entrance));
    Entrance& e = *leaving_.back();
    e.listener->stop_accepting();
}

void Daemon::drained(Entrance& entrance) {
    entrance.drained = true;
    // Not from within its own call.
    asio::post(io_, [this] {
        std::erase_if(leaving_, [](const auto& e) { return e->drained; });
        const bool all = std::all_of(entrances_.begin(), entrances_.end(),
                                     [](const auto& e) { return e.second->drained; });
        if (draining_ && all && leaving_.empty() && drained_) finish();
    });
}

// Nothing is open any more: the fleet learns that this was no failure.
void Daemon::finish() {
    if (fleet_) fleet_->leave();
    std::exchange(drained_, nullptr)();
}

void Daemon::drain(std::function<void()> done) {
    if (draining_) return;
    draining_ = true;
    drained_ = std::move(done);
    if (fleet_) fleet_->drain();
    for (auto& [name, e] : entrances_) e->listener->drain(kAccepting);
    if (entrances_.empty() && leaving_.empty()) return asio::post(io_, [this] { finish(); });
    drain_timer_.after(span(config_.drain), [this] { hurry(); });
}

void Daemon::hurry() {
    if (!draining_) return;
    for (auto& [name, e] : entrances_) e->listener->hurry();
    for (auto& e : leaving_) e->listener->hurry();
    engine_.hurry();  // then: what was taken just now ends with the rest
}

Door::Tcp::endpoint Daemon::address(const std::string& listener) const {
    return entrances_.at(listener)->listener->address();
}

std::size_t Daemon::clients() const {
    std::size_t clients = 0;
    for (const auto& [name, e] : entrances_) clients += e->listener->clients();
    for (const auto& e : leaving_) clients += e->listener->clients();
    return clients;
}

}  // namespace whinledge
