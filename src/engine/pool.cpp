#include "engine/pool.hpp"

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <unordered_set>
#include <utility>

#include "engine/engine.hpp"
#include "engine/overloaded.hpp"

namespace whinledge {

namespace {

// Room for so many events at once is there ahead, so that none is lost for want of memory.
constexpr std::size_t kEvents = 256;
// A connect that was under way when its server was told to drain still carries its request if it comes up
// within this: half of what rule 3 grants.
constexpr Millis kDrainGrace = 250;

}  // namespace

Pool::Pool(Engine& engine, PoolId id, Options options, Transport& transport, Observer& observer,
           Outside outside)
    : engine_(engine),
      id_(id),
      options_(std::move(options)),
      transport_(transport),
      observer_(observer),
      outside_(std::move(outside)),
      balancer_(options_.decisions, options_.seed) {
    events_.reserve(kEvents);
}

// Whatever is still out is stopped, and nobody is told: who removes a pool waits until it is idle.
Pool::~Pool() {
    for (auto& [id, request] : ledger_.requests())
        for (const OpenAttempt& attempt : request.attempts)
            if (attempt.out) {
                transport_.stop(attempt.exchange);
                engine_.remove_due(attempt.limit);
            }
    for (const auto& [token, handle] : timers_) engine_.remove_due(handle);
    for (const auto& [id, server] : ledger_.servers())
        if (server.machine) engine_.unlisted(server.machine, transport_, *this, id);
}

void Pool::log(const std::string& line) const {
    if (outside_.log) outside_.log(line);
}

void Pool::start() { give(Started{}); }

// ---- Events and actions -----------------------------------------------------------------------------------

void Pool::give(Event event) {
    events_.push_back(std::move(event));
    if (handling_) return;
    handling_ = true;
    for (std::size_t i = 0; i < events_.size(); ++i) {
        const Event next = std::move(events_[i]);
        actions_.clear();
        const Millis now = engine_.now();
        observer_.event(*this, now, next);
        try {
            balancer_.handle(now, next, actions_);
        } catch (const std::exception& error) {  // out of memory, say: costs this event and no other
            failed("an event", error);
        }
        for (const Action& action : actions_) try {  // each for itself: the module counts on all of them
                observer_.action(*this, now, action);
                carry_out(action);
            } catch (const std::exception& error) {
                failed("an action", error);
            }
    }
    events_.clear();
    handling_ = false;
    if (retired_ && idle()) engine_.add_due(engine_.now(), Engine::Farewell{});
}

// What the module now believes of the open requests may be wrong: each has an answer by its deadline all the
// same.
void Pool::failed(const char* what, const std::exception& error) {
    log(std::string(what) + " failed: " + error.what());
    for (const auto& [id, request] : ledger_.requests())
        if (!request.ended) engine_.add_due(request.deadline, Engine::Overtime{id_, id});
}

void Pool::carry_out(const Action& action) {
    std::visit(Overloaded{[&](const Send& a) { carry_out(a); }, [&](const Cancel& a) { carry_out(a); },
                          [&](const Refuse& a) {
                              if (const auto call = finish(a.id, Final::refused)) call->refused(a.retry_in);
                          },
                          [&](const GiveUp& a) {
                              const auto* const request = ledger_.request(a.id);
                              const bool late = request && engine_.now() >= request->deadline;
                              if (const auto call = finish(a.id, Final::failed))
                                  call->failed(late ? Failure::too_late : Failure::gave_up);
                          },
                          [&](const SetTimer& a) { carry_out(a); },
                          [&](const DropTimer& a) {
                              const auto at = timers_.find(a.token);
                              if (at == timers_.end()) return;
                              engine_.remove_due(at->second);
                              timers_.erase(at);
                          },
                          [&](const Probe& a) { probe(a.server); },
                          [&](const CloseIdle& a) {
                              const auto* const server = ledger_.server(a.server);
                              if (server && server->machine) transport_.close_idle(server->machine);
                          },
                          [&](const TellPeer& a) {
                              if (outside_.tell_peer) outside_.tell_peer(a.to, a.bytes);
                          },
                          [&](const Subscribe& a) {
                              if (outside_.watch_members) outside_.watch_members(a.active);
                          },
                          [&](const FetchList&) {
                              if (outside_.fetch_members) outside_.fetch_members();
                          },
                          [&](const Log& a) {
                              const auto* const server = a.server ? ledger_.server(*a.server) : nullptr;
                              log((server ? server->name + " " : "") + a.text);
                          }},
               action);
}

void Pool::carry_out(const SetTimer& timer) {
    timers_[timer.token] = engine_.add_due(timer.at, Engine::ModuleTimer{this, timer.token});
}

void Pool::carry_out(const Send& send) {
    Book::OpenRequest* const request = ledger_.request(send.id);
    if (!request) return;
    const auto number = static_cast<std::uint32_t>(request->attempts.size());
    const Millis until = send.try_until > 0 ? std::min(send.try_until, request->deadline) : request->deadline;
    const Millis begin_by = send.begin_by > 0 ? std::min(send.begin_by, until) : until;
    // Its room was reserved: does not throw.
    request->attempts.push_back({0, send.server, engine_.now(), begin_by, until, {}, true});
    ledger_.sent(*request, send.server);
    std::optional<Outcome> unsent = Outcome::superseded;
    if (may_begin(*request, number)) try {
            unsent = begin(send, number);
        } catch (const std::exception& error) {
            log(std::string("an attempt failed: ") + error.what());
        }
    if (unsent) ended(send.id, number, *unsent, nullptr);
}

// The one place that says whether an attempt may begin: asked ahead of its start, and once more ahead of its
// first byte where a connection had to be made meanwhile.
bool Pool::may_begin(const Book::OpenRequest& request, std::uint32_t number) const {
    if (request.ended || !request.call->may_start(number)) return false;  // its client has gone, say
    const OpenAttempt& attempt = request.attempts[number];
    const Millis now = engine_.now();
    if (!attempt.out || now >= attempt.begin_by) return false;
    const Book::KnownServer* const server = ledger_.server(attempt.server);
    if (!server || !server->machine) return false;
    const bool started = attempt.exchange != 0;
    return server->off_since < 0 ? server->listed : started && now - server->off_since <= kDrainGrace;
}

// The outcome, where it can't even begin.
std::optional<Outcome> Pool::begin(const Send& send, std::uint32_t number) {
    Book::OpenRequest& request = *ledger_.request(send.id);
    OpenAttempt& attempt = request.attempts[number];
    attempt.limit = engine_.add_due(attempt.begin_by, Engine::AttemptLimit{this, send.id, number});
    const Transport::Attempt what{id_,
                                  ledger_.server(send.server)->machine,
                                  request.call,
                                  attempt.until - engine_.now(),
                                  request.careful,
                                  ledger_.server(send.server)->name};
    const Transport::Begun begun = transport_.start(what, {send.id, number}, *this);
    attempt.exchange = begun.exchange;
    return begun.ended;
}

void Pool::carry_out(const Cancel& cancel) {
    Book::OpenRequest* const request = ledger_.request(cancel.id);
    if (!request || cancel.attempt >= request->attempts.size() || request->detached) return;
    const OpenAttempt& attempt = request->attempts[cancel.attempt];
    if (!attempt.out) return;
    transport_.stop(attempt.exchange);
    ended(cancel.id, cancel.attempt, Outcome::recalled, nullptr);
}

// Null: it has its end already. The caller tells the call of it.
std::shared_ptr<Call> Pool::finish(RequestId id, Final final) {
    Book::OpenRequest* const request = ledger_.request(id);
    if (!request || request->ended) return nullptr;
    request->ended = true;
    std::shared_ptr<Call> call = std::move(request->call);
    call->pool = nullptr;
    observer_.ended(*this, engine_.now(), id, final);
    ledger_.settle_request(id);
    return call;
}

// Of a machine that is no member any more: one that there is not, so that the module refuses.
ServerId Pool::bound_server(MachineId machine) const {
    for (const auto& [id, server] : ledger_.servers())
        if (server.machine == machine && server.listed) return id;
    return ~ServerId{0};
}

void Pool::take(const std::shared_ptr<Call>& call, const Arrival& arrival) {
    const RequestId id = engine_.next_request_++;
    RequestArrived event;
    event.id = id;
    event.class_index = arrival.class_index;
    event.tenant = arrival.tenant;
    event.time_left = arrival.time_left;
    event.effort = arrival.effort;
    event.repeat = arrival.repeat;
    if (arrival.bound_to) event.bound_to = bound_server(arrival.bound_to);
    event.candidates.reserve(arrival.candidates.size());
    for (const std::string& member : arrival.candidates)
        if (const ServerId server = ledger_.find(member)) event.candidates.push_back(server);
    const auto& classes = options_.decisions.classes;
    RequestPart part;
    part.deadline = engine_.now() + arrival.time_left;
    part.careful =
        arrival.class_index >= classes.size() || classes[arrival.class_index].effect == Effect::once;
    part.attempts.reserve(options_.decisions.max_attempts);
    part.call = call;
    static_cast<RequestPart&>(ledger_.open(id)) = std::move(part);
    call->id = id;
    call->pool = this;
    try {
        give(event);
    } catch (...) {  // the module has not heard of it
        call->pool = nullptr;
        ledger_.forget_request(id);
        throw;
    }
}

void Pool::gone(RequestId id, bool detach) {
    const auto open = [&] {
        Book::OpenRequest* const request = ledger_.request(id);
        return request && !request->ended ? request : nullptr;
    };
    if (!open()) return;
    engine_.run_due_now();  // what was due by now came first
    Book::OpenRequest* const request = open();
    if (!request) return;
    request->ended = true;
    request->detached = detach;
    request->gave_up_silence = request->call->gave_up_silence;
    request->call->pool = nullptr;
    request->call.reset();
    observer_.ended(*this, engine_.now(), id, Final::gone);
    ledger_.settle_request(id);  // first: who has retired goes with its last request
    give(ClientGone{id});
}

void Pool::hurry() {
    std::vector<RequestId> open;
    for (const auto& [id, request] : ledger_.requests())
        if (!request.ended) open.push_back(id);
    for (const RequestId id : open) {
        const Book::OpenRequest* const request = ledger_.request(id);
        if (!request || request->ended) continue;
        // Nothing was sent for it: trying again is harmless.
        const bool unsent = request->attempts.empty();
        if (const auto call = finish(id, unsent ? Final::refused : Final::failed))
            unsent ? call->refused(0) : call->failed(Failure::hurried);
        give(ClientGone{id});
    }
}

void Pool::ended(RequestId id, std::uint32_t number, Outcome outcome, std::unique_ptr<Answer> answer) {
    Book::OpenRequest* const request = ledger_.request(id);
    if (!request || number >= request->attempts.size()) return;
    OpenAttempt& attempt = request->attempts[number];
    if (!attempt.out) return;
    attempt.out = false;
    engine_.remove_due(attempt.limit);
    const bool gave_up_silence = request->call ? request->call->gave_up_silence : request->gave_up_silence;
    if (outcome == Outcome::recalled && gave_up_silence) outcome = Outcome::overdue;
    const Millis judged_at = request->call ? request->call->judged_at : -1;
    const Millis end = judged_at >= attempt.sent ? judged_at : engine_.now();
    AttemptEnded event{id, number, outcome, end - attempt.sent, request->ended};
    const ServerId server = attempt.server;
    const bool cut_off = attempt.begun && outcome != Outcome::completed;
    ledger_.came_back(*request, server);
    if (!request->ended && (outcome == Outcome::completed || cut_off)) {
        event.request_ended = true;
        const auto call = finish(id, cut_off ? Final::failed : Final::served);
        cut_off ? call->failed(Failure::gave_up) : call->served(std::move(answer));
    } else if (!request->ended && answer) {
        request->call->errored(std::move(answer));
    }
    ledger_.settle_request(id);
    give(event);
    drop_server(server);
}

void Pool::probe(ServerId id) {
    const Book::KnownServer* const server = ledger_.server(id);
    if (!options_.may_probe || !server || !server->listed)
        return give(ProbeEnded{id, Outcome::superseded, 0});
    probes_.push_back({server->machine, id, engine_.now()});
    transport_.probe(id_, server->machine, options_.probe_timeout, *this);
}

void Pool::probe_ended(MachineId machine, Outcome outcome) {
    const auto at =
        std::find_if(probes_.begin(), probes_.end(), [&](const Probing& p) { return p.machine == machine; });
    if (at == probes_.end()) return;
    const Probing probing = *at;
    probes_.erase(at);
    give(ProbeEnded{probing.server, outcome, engine_.now() - probing.began});
}

Millis Pool::attempt_time_left(Transport::Key key) const {
    const Book::OpenRequest* const request = ledger_.request(key.request);
    const bool may = request && key.attempt < request->attempts.size() && may_begin(*request, key.attempt);
    return may ? request->attempts[key.attempt].until - engine_.now() : 0;
}

bool Pool::attempt_begun(Transport::Key key) {
    Book::OpenRequest* const request = ledger_.request(key.request);
    if (!request || request->ended || key.attempt >= request->attempts.size()) return false;
    OpenAttempt& attempt = request->attempts[key.attempt];
    if (!attempt.out) return false;
    attempt.begun = true;
    engine_.remove_due(attempt.limit);  // from here on the transport watches over its progress
    give(FirstByte{key.request, key.attempt});
    return true;
}

void Pool::attempt_ended(Transport::Key key, Outcome outcome, std::unique_ptr<Answer> answer) {
    ended(key.request, key.attempt, outcome, std::move(answer));
}

// ---- Due
// ----------------------------------------------------------------------------------------------------

void Pool::attempt_over(RequestId id, std::uint32_t number) {
    Book::OpenRequest* const request = ledger_.request(id);
    if (!request || !request->attempts[number].out) return;
    OpenAttempt& attempt = request->attempts[number];
    if (engine_.now() < attempt.until && transport_.written(attempt.exchange)) {  // it was in time
        attempt.limit = engine_.add_due(attempt.until, Engine::AttemptLimit{this, id, number});
        return;
    }
    const bool written = transport_.stop(attempt.exchange);
    ended(id, number, written ? Outcome::overdue : Outcome::refused_connection, nullptr);
}

void Pool::timer_due(TimerToken token) {
    timers_.erase(token);
    give(TimerFired{token});
}

// After something went wrong with the module's view of it: its client has waited for long enough.
void Pool::overtime(RequestId id) {
    const auto call = finish(id, Final::failed);
    if (!call) return;
    call->failed(Failure::too_late);
    give(ClientGone{id});
}

// ---- Members
// ------------------------------------------------------------------------------------------------

std::uint32_t Pool::number(std::vector<std::string>& names, const std::string& name) {
    const auto at = std::find(names.begin(), names.end(), name);
    const auto number = static_cast<std::uint32_t>(at - names.begin());
    if (at == names.end()) names.push_back(name);
    return number;
}

// What the module hears of a server: its own source's word, and what any source says of the machine.
ServerInfo Pool::told(ServerId id, const ServerPart& server) const {
    ServerInfo info{id,         server.zone, server.member.cell, server.member.phase, server.member.started,
                    server.kind};
    info.name_hash = ledger_.name_hash(id);
    if (!server.machine) return info;
    const Engine::Machine& machine = engine_.known(server.machine);
    info.online_since = std::max(info.online_since, machine.started);
    if (info.phase == Phase::on && info.online_since <= machine.drained_life) info.phase = Phase::fading;
    info.part = 1.0 / static_cast<double>(std::max<std::size_t>(1, engine_.sharers(machine)));
    return info;
}

void Pool::note_phase(ServerPart& server) const {
    if (server.info.phase == Phase::on)
        server.off_since = -1;
    else if (server.off_since < 0)
        server.off_since = engine_.now();
}

// Of a whole list the module hears what it changes: all else keeps its connections and its history.
void Pool::members(const MemberList& list, bool saved) {
    std::unordered_set<ServerId> named;
    std::vector<ServerId> changed;
    for (const Member& m : list.members) {
        const ServerId id = ledger_.intern(m.id);
        Book::KnownServer& server = *ledger_.server(id);
        named.insert(id);
        changed.push_back(id);
        const bool fresh = !server.listed;
        const std::string before = server.member.address;
        server.member = m;
        server.listed = m.phase != Phase::off;
        server.zone = number(options_.zones, m.zone);
        server.kind = number(options_.kinds, m.kind);
        if (m.address.empty()) server.member.address = before;
        try {
            const MachineId machine =
                server.member.address.empty() ? 0 : engine_.machine(server.member.address);
            if (server.machine && server.machine != machine)
                engine_.unlisted(server.machine, transport_, *this, id);
            server.machine = machine;
            if (machine) engine_.listed(machine, transport_, *this, id, m.phase, m.started);
        } catch (const std::invalid_argument& error) {
            log(m.id + " is left out: " + error.what());
            server.machine = 0;
            server.listed = false;
            if (fresh) changed.pop_back();
        }
    }
    if (list.full)
        for (auto& [id, server] : ledger_.servers()) {
            if (!server.listed || named.contains(id)) continue;
            server.listed = false;
            server.member.phase = Phase::off;
            changed.push_back(id);
            // Another pool's list says nothing of the machine, only of its own members.
            if (server.machine) engine_.left(server.machine, *this, id);
        }
    ServerList event{saved ? ListKind::saved : ListKind::incremental, {}};
    for (const ServerId id : changed) {
        Book::KnownServer& server = *ledger_.server(id);
        const ServerInfo info = told(id, server);
        const bool same = std::exchange(server.info, info) == info && !server.unheard;
        note_phase(server);
        if (!same || saved) event.servers.push_back(info);
        server.unheard = false;
    }
    give(std::move(event));
    std::vector<ServerId> ids;
    for (const auto& [id, server] : ledger_.servers()) ids.push_back(id);
    for (const ServerId id : ids) drop_server(id);
}

// Something was told of a machine elsewhere.
void Pool::retell(MachineId machine) {
    ServerList event{ListKind::incremental, {}};
    for (auto& [id, server] : ledger_.servers()) {
        if (server.machine != machine || !server.listed || server.unheard) continue;
        const ServerInfo info = told(id, server);
        if (std::exchange(server.info, info) != info) event.servers.push_back(info);
        note_phase(server);
    }
    if (!event.servers.empty()) give(std::move(event));
}

void Pool::members_failed() { give(ServerList{ListKind::failed, {}}); }

void Pool::peer_message(std::uint32_t from, std::vector<std::uint8_t> bytes) {
    give(PeerMessage{from, std::move(bytes)});
}

std::size_t Pool::ready() const {
    std::size_t ready = 0;
    for (const auto& [id, server] : ledger_.servers())
        ready += server.listed && server.info.phase == Phase::on;
    return ready;
}

void Pool::drop_server(ServerId id) {
    const Book::KnownServer* const server = ledger_.server(id);
    if (!server) return;
    const MachineId machine = server->machine;
    if (ledger_.settle_server(id) && machine) engine_.unlisted(machine, transport_, *this, id);
}

}  // namespace whinledge
