// Storage members, edges and the network between them, on simulated time: what TurnQuorum is tested against.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "storage_plane/ended_entries.hpp"
#include "storage_plane/ledger_merge.hpp"
#include "storage_plane/turn_quorum.hpp"

namespace whinledge::storage_plane::model {

// Events in the order of their times; those of one time in the order in which they were added.
class Timeline {
public:
    double now() const { return now_; }
    void at(double ms, std::function<void()> event) {
        events_.push({std::max(ms, now_), ++sequence_, std::move(event)});
    }
    void after(double ms, std::function<void()> event) { at(now_ + ms, std::move(event)); }
    void run_until(double ms) {
        while (!events_.empty() && events_.top().at <= ms) {
            // Events carry whole messages: taken, not copied. Their order does not look at `run`.
            Event event = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            now_ = event.at;
            event.run();
        }
        now_ = std::max(now_, ms);
    }

private:
    struct Event {
        double at;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const Event& other) const {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };
    double now_ = 0;
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event> events_;
};

// A storage process with its disk, as the messages' comments say that it answers.
struct Member {
    std::int64_t identity = 0;
    std::string node, zone;
    bool up = true;
    bool filled = true;  // may vote
    wire::StorageMap map;
    std::map<std::string, LedgerEntries> ledgers;  // by program
    std::map<std::string, wire::TurnRecord> records;

    template <class Request>
    wire::StorageStatus::type refusal(const Request& request) const {
        if (request.identity != identity) return wire::StorageStatus::not_member;
        if (request.map_epoch < map.epoch) return wire::StorageStatus::stale_map;
        if (request.map_epoch > map.epoch) return wire::StorageStatus::unknown_map;
        return wire::StorageStatus::ok;
    }

    std::vector<wire::TurnRecord> chain(std::string id) const {
        std::vector<wire::TurnRecord> found;
        for (auto record = records.find(id); record != records.end(); record = records.find(id)) {
            found.push_back(record->second);
            id = record->second.parent;
        }
        return found;
    }

    wire::BeginTurnReply answer(const wire::BeginTurnRequest& request) {
        wire::BeginTurnReply reply;
        reply.map_epoch = map.epoch;
        reply.status = refusal(request);
        if (reply.status != wire::StorageStatus::ok) return reply;
        wire::LedgerEntry entry;
        entry.turn = request.turn;
        entry.tokens = request.reserve;
        if (request.reserve > 0) merge_entry(ledgers[request.program], entry);
        if (!filled) reply.status = wire::StorageStatus::not_voting;
        std::vector<wire::LedgerEntry> entries;
        for (const auto& [turn, known] : ledgers[request.program]) entries.push_back(known);
        tell_entries(request, std::move(entries), reply);
        reply.chain = chain(request.previous);
        return reply;
    }
    wire::EndTurnReply answer(const wire::EndTurnRequest& request) {
        wire::EndTurnReply reply;
        reply.map_epoch = map.epoch;
        reply.status = refusal(request);
        if (reply.status != wire::StorageStatus::ok) return reply;
        if (!request.entry.turn.empty()) merge_entry(ledgers[request.program], request.entry);
        if (request.__isset.record) records.emplace(request.record.id, request.record);
        if (!filled) reply.status = wire::StorageStatus::not_voting;
        return reply;
    }
    wire::ReadTurnsReply answer(const wire::ReadTurnsRequest& request) {
        wire::ReadTurnsReply reply;
        reply.map_epoch = map.epoch;
        reply.status = refusal(request);
        if (reply.status != wire::StorageStatus::ok) return reply;
        if (!filled) reply.status = wire::StorageStatus::not_voting;
        reply.chain = chain(request.id);
        return reply;
    }

    // Takes over all that the other holds.
    void pull(const Member& other) {
        for (const auto& [program, ledger] : other.ledgers)
            for (const auto& [turn, entry] : ledger) merge_entry(ledgers[program], entry);
        records.insert(other.records.begin(), other.records.end());
    }

    wire::StorageMember described(wire::StorageState::type state) const {
        wire::StorageMember described;
        described.identity = identity;
        described.node = node;
        described.zone = zone;
        described.address = node;
        described.state = state;
        return described;
    }
};

// One message's way to a member and back.
struct Route {
    double there_ms = 1, back_ms = 1;
    bool request_lost = false, reply_lost = false;
    bool request_twice = false, reply_twice = false;
};

class Network {
public:
    explicit Network(Timeline& time) : time_(time) {}

    std::map<std::string, std::shared_ptr<Member>> members;  // by address
    std::function<Route(const std::string& from, const std::string& to)> route = [](auto&, auto&) {
        return Route();
    };
    // Sees each request as it is taken by a member, for traces.
    std::function<void(const std::string& from, Member& to, const TurnSend& send)> on_request =
        [](auto&, auto&, auto&) {};

    void send(const std::string& from, const TurnSend& send, std::function<void(const TurnReply&)> done) {
        const Route route_taken = route(from, send.address);
        time_.after(send.timeout_ms, [done] { done(NoReply()); });
        if (route_taken.request_lost) return;
        const int times = route_taken.request_twice ? 2 : 1;
        for (int copy = 0; copy < times; ++copy) {
            time_.after(route_taken.there_ms * (copy + 1), [this, from, send, done, route_taken] {
                const auto found = members.find(send.address);
                if (found == members.end() || !found->second->up) return;
                Member& member = *found->second;
                on_request(from, member, send);
                const TurnReply reply = std::visit(
                    [&](const auto& request) { return TurnReply(member.answer(request)); }, send.request);
                if (route_taken.reply_lost) return;
                time_.after(route_taken.back_ms, [done, reply] { done(reply); });
                if (route_taken.reply_twice)
                    time_.after(route_taken.back_ms * 3, [done, reply] { done(reply); });
            });
        }
    }

private:
    Timeline& time_;
};

// An edge process: the core with simulated time and calls.
class Edge : public std::enable_shared_from_this<Edge> {
public:
    using Options = TurnQuorumOptions;
    Edge(Timeline& time, Network& network, std::string name, Options options)
        : time_(time), network_(network), name_(std::move(name)), quorum_(std::move(options), cache_) {}

    void set_map(const wire::StorageMap& map) {
        quorum_.set_map(map, time_.now());
        flush();
    }
    void begin(const TurnStart& start, double timeout_ms, std::function<void(BegunTurn)> done) {
        begins_.emplace(quorum_.begin(start, timeout_ms, time_.now()), std::move(done));
        flush();
    }
    void end(const TurnEnd& end, double timeout_ms, std::function<void(bool)> done) {
        ends_.emplace(quorum_.end(end, timeout_ms, time_.now()), std::move(done));
        flush();
    }
    // Nothing that is under way goes on; what was sent may still arrive.
    void crash() {
        dead_ = true;
        begins_.clear();
        ends_.clear();
    }
    bool dead() const { return dead_; }

    TurnQuorum& quorum() { return quorum_; }
    const std::string& name() const { return name_; }
    std::uint64_t repeated_outcomes = 0;

private:
    void flush() {
        for (const TurnSend& send : quorum_.take_sends()) {
            network_.send(name_, send, [weak = weak_from_this(), id = send.id](const TurnReply& reply) {
                const auto self = weak.lock();
                if (!self || self->dead_) return;
                self->quorum_.replied(id, reply, self->time_.now());
                self->flush();
            });
        }
        for (TurnOutcome& outcome : quorum_.take_outcomes()) deliver(outcome);
        arm();
    }

    void deliver(TurnOutcome& outcome) {
        if (!seen_.insert(outcome.operation).second) ++repeated_outcomes;
        // As in the client: outcomes arrive after the call that started the operation.
        time_.after(0, [weak = weak_from_this(), outcome] {
            const auto self = weak.lock();
            if (!self || self->dead_) return;
            if (const auto* begun = std::get_if<BegunTurn>(&outcome.result)) {
                const auto found = self->begins_.find(outcome.operation);
                if (found != self->begins_.end()) std::exchange(found->second, [](BegunTurn) {})(*begun);
            } else {
                const auto found = self->ends_.find(outcome.operation);
                if (found != self->ends_.end())
                    std::exchange(found->second, [](bool) {})(std::get<bool>(outcome.result));
            }
        });
    }

    void arm() {
        const double wake_ms = quorum_.wake_at_ms();
        if (wake_ms == TurnQuorum::kNever || wake_ms == armed_ms_) return;
        armed_ms_ = wake_ms;
        time_.at(wake_ms, [weak = weak_from_this(), wake_ms] {
            const auto self = weak.lock();
            if (!self || self->dead_) return;
            if (self->armed_ms_ == wake_ms) self->armed_ms_ = TurnQuorum::kNever;
            self->quorum_.wake(self->time_.now());
            self->flush();
        });
    }

    Timeline& time_;
    Network& network_;
    std::string name_;
    TurnCache cache_{1U << 20};
    TurnQuorum quorum_;
    bool dead_ = false;
    double armed_ms_ = TurnQuorum::kNever;
    std::set<std::uint64_t> seen_;
    std::map<std::uint64_t, std::function<void(BegunTurn)>> begins_;
    std::map<std::uint64_t, std::function<void(bool)>> ends_;
};

}  // namespace whinledge::storage_plane::model
