#include "engine/engine.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace whinledge {

Engine::Engine(const TimeSource& time, Host host)
    : time_(time), host_(std::move(host)), told_(std::numeric_limits<Millis>::infinity()) {}

// Pools take back what is due for them: they go first.
Engine::~Engine() {
    pools_.clear();
    retired_.clear();
}

Pool& Engine::add_pool(Pool::Options options, Transport& transport, Observer* observer,
                       Pool::Outside outside) {
    if (!outside.log && host_.log) outside.log = host_.log;
    pools_.push_back(std::make_unique<Pool>(*this, next_pool_, std::move(options), transport,
                                            observer ? *observer : nobody_, std::move(outside)));
    ++next_pool_;
    return *pools_.back();
}

void Engine::remove_pool(Pool& pool) {
    const auto at =
        std::find_if(pools_.begin(), pools_.end(), [&](const auto& p) { return p.get() == &pool; });
    if (at == pools_.end()) return;
    retired_.push_back(std::move(*at));
    pools_.erase(at);
    // What it sent runs to its end; an attempt that fails is not made again elsewhere.
    pool.retired_ = true;
    pool.members({0, true, {}});
}

Pool* Engine::pool(std::string_view name) const {
    for (const auto& pool : pools_)
        if (pool->name() == name) return pool.get();
    return nullptr;
}

std::size_t Engine::open() const {
    std::size_t open = 0;
    for (const auto* list : {&pools_, &retired_})
        for (const auto& pool : *list) open += pool->open();
    return open;
}

void Engine::hurry() {
    for (const auto* list : {&pools_, &retired_})
        for (const auto& pool : *list) pool->hurry();
}

// ---- Time
// -----------------------------------------------------------------------------------------------------

DueHandle Engine::add_due(Millis at, What what) {
    const int rank = static_cast<int>(what.index());
    const DueHandle handle = due_.add(at, rank, std::move(what));
    if (at < told_) told_due();
    return handle;
}

void Engine::told_due() {
    told_ = due_.next();
    if (host_.wake_at) host_.wake_at(told_);
}

void Engine::run_due() {
    run_due_now();
    std::vector<std::unique_ptr<Pool>> over;
    for (auto& pool : retired_)
        if (pool->idle()) over.push_back(std::move(pool));
    std::erase(retired_, nullptr);
}

void Engine::run_due_now() {
    while (due_.next() <= time_.now()) {
        const What what = due_.pop();
        if (const auto* const limit = std::get_if<AttemptLimit>(&what))
            limit->pool->attempt_over(limit->request, limit->attempt);
        else if (const auto* const timer = std::get_if<ModuleTimer>(&what))
            timer->pool->timer_due(timer->token);
        else if (const auto* const back = std::get_if<Return>(&what))
            came_back(back->machine);
        else if (const auto* const overtime = std::get_if<Overtime>(&what))
            for (const auto* list : {&pools_, &retired_})
                for (const auto& pool : *list)
                    if (pool->id() == overtime->pool) pool->overtime(overtime->request);
    }
    told_due();
}

// ---- Machines
// -------------------------------------------------------------------------------------------------

MachineId Engine::machine(const std::string& address) {
    const auto [at, fresh] = by_address_.try_emplace(address, next_machine_);
    if (fresh) machines_[next_machine_++].address = address;
    return at->second;
}

// How many of the pools' servers are this machine and take new requests.
std::size_t Engine::sharers(const Machine& machine) const {
    return static_cast<std::size_t>(std::count_if(machine.listings.begin(), machine.listings.end(),
                                                  [](const auto& l) { return l.phase == Phase::on; }));
}

void Engine::listed(MachineId id, Transport& transport, Pool& pool, ServerId server, Phase phase,
                    Millis started) {
    Machine& machine = machines_.at(id);
    auto at = std::find_if(machine.listings.begin(), machine.listings.end(),
                           [&](const auto& l) { return l.pool == &pool && l.server == server; });
    const bool fresh = at == machine.listings.end();
    try {
        machine.transport = &transport;
        if (fresh || started > machine.started)
            transport.set_machine(id, machine.address, std::max(started, machine.started));
    } catch (...) {
        if (machine.listings.empty()) forget(id);
        throw;
    }
    // By who told of it, or by one that lists it anew, and not against anybody's word.
    const bool others_drain =
        std::any_of(machine.listings.begin(), machine.listings.end(),
                    [&](const auto& l) { return l.drains && !(l.pool == &pool && l.server == server); });
    const bool taken_back = phase == Phase::on && !others_drain && (fresh || at->phase != Phase::on);
    if (fresh) at = machine.listings.insert(machine.listings.end(), {&pool, server, phase, started});
    *at = {&pool, server, phase, started, phase != Phase::on};
    machine.started = std::max(machine.started, started);
    // Who does not know when it started speaks of the life that it is in.
    const Millis life = started > 0 ? started : machine.started;
    if (phase != Phase::on)
        machine.drained_life = std::max(machine.drained_life, life);
    else if (taken_back && life >= machine.drained_life)
        machine.drained_life = -1;  // whoever told of the drain takes it back, or has gone and comes anew
    tell_others(machine, id, pool);
}

void Engine::notice(MachineId id, Millis hold) {
    const auto at = machines_.find(id);
    if (at == machines_.end() || at->second.drained_life >= std::max(at->second.started, time_.now() - hold))
        return;
    at->second.drained_life = time_.now();
    add_due(time_.now() + hold, Return{id});
    tell(at->second, id);
}

// It is another process now, for all that is known, and a cold one.
void Engine::came_back(MachineId id) {
    const auto at = machines_.find(id);
    if (at == machines_.end()) return;
    Machine& machine = at->second;
    if (machine.started <= machine.drained_life && !machine.listings.empty() &&
        std::none_of(machine.listings.begin(), machine.listings.end(),
                     [](const auto& l) { return l.drains; })) {
        machine.started = time_.now();
        machine.transport->set_machine(id, machine.address, machine.started);
    }
    tell(machine, id);
}

// All pools that list it.
void Engine::tell(const Machine& machine, MachineId id) {
    std::vector<Pool*> pools;
    for (const auto& listing : machine.listings)
        if (std::find(pools.begin(), pools.end(), listing.pool) == pools.end()) pools.push_back(listing.pool);
    for (Pool* const pool : pools) pool->retell(id);
}

void Engine::left(MachineId id, Pool& pool, ServerId server) {
    const auto at = machines_.find(id);
    if (at == machines_.end()) return;
    for (auto& listing : at->second.listings)
        if (listing.pool == &pool && listing.server == server)
            listing.phase = Phase::off, listing.drains = false;
    tell_others(at->second, id, pool);
}

void Engine::tell_others(const Machine& machine, MachineId id, const Pool& teller) {
    if (machine.listings.size() < 2) return;
    std::vector<Pool*> others;
    for (const auto& listing : machine.listings)
        if (listing.pool != &teller && std::find(others.begin(), others.end(), listing.pool) == others.end())
            others.push_back(listing.pool);
    for (Pool* const other : others) other->retell(id);
}

void Engine::unlisted(MachineId id, Transport& transport, Pool& pool, ServerId server) {
    const auto at = machines_.find(id);
    if (at == machines_.end()) return;
    auto& listings = at->second.listings;
    std::erase_if(listings, [&](const auto& l) { return l.pool == &pool && l.server == server; });
    if (!listings.empty()) return tell_others(at->second, id, pool);
    transport.forget_machine(id);
    forget(id);
}

void Engine::forget(MachineId id) {
    const auto at = machines_.find(id);
    if (at == machines_.end()) return;
    by_address_.erase(at->second.address);
    machines_.erase(at);
}

}  // namespace whinledge
