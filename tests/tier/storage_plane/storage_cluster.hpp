// Real storage members (log, node, repair) on simulated disks, network and time, with real clients' quorums
// at the edges and a control plane that keeps their map: what the storage plane is tested in as a whole.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "control_plane/retirement.hpp"
#include "control_plane/storage_map_reconciler.hpp"
#include "rpc/codec.hpp"
#include "simulated_disk.hpp"
#include "storage_map/wanted_holders.hpp"
#include "storage_plane/repair.hpp"
#include "storage_plane/storage_node.hpp"
#include "storage_plane/turn_quorum.hpp"
#include "turn_tier_model.hpp"

namespace whinledge::storage_plane::test {

using model::Timeline;

class Cluster;

template <class Request>
constexpr const char* request_name() {
    if constexpr (std::is_same_v<Request, wire::BeginTurnRequest>)
        return "begin";
    else if constexpr (std::is_same_v<Request, wire::EndTurnRequest>)
        return "end";
    else if constexpr (std::is_same_v<Request, wire::ReadTurnsRequest>)
        return "read";
    else if constexpr (std::is_same_v<Request, wire::ChangesRequest>)
        return "changes";
    else if constexpr (std::is_same_v<Request, wire::FetchRequest>)
        return "fetch";
    else if constexpr (std::is_same_v<Request, wire::DigestRequest>)
        return "digests";
    else
        return "store";
}

// A machine with a disk, and the process on it while it is up.
struct Machine {
    std::string node, zone, region, address;
    SimulatedDisk disk;
    std::unique_ptr<PeerCalls> peers;
    std::unique_ptr<StorageNode> process;
    std::unique_ptr<Repair> repair;
    std::int64_t identity = 0;  // of the process; as control heard it last
    std::uint64_t life = 0;     // counts starts
    std::uint64_t steps = 0;    // counts series of steps of its repair
    bool up = false;
    bool cut = false;     // from everything
    bool gone = false;    // for good
    bool frozen = false;  // runs nothing; what reaches it waits
    double slow_ms = 0;   // that each message takes longer at it, to begin with and until its reply leaves
    double clock_off_ms = 0;
    std::int64_t told_epoch = 0;  // of the newest map that control has told this life
    bool commit_planned = false;
    double link_free_ms = 0;  // what it sends waits until then
};

struct ClusterOptions {
    int machines = 4;
    failure_domain::LossTolerance survive{};
    std::size_t cache_bytes = 1U << 16;
    std::uint64_t segment_bytes = 16U << 10;
    std::uint64_t disk_bytes = 64U << 20;
    std::size_t most_items = 400'000;
    double late_share = 0;                           // of messages that take up to four seconds
    int zones = 26;                                  // over which the machines are spread in turn
    std::vector<failure_domain::Location> places{};  // of the machines, in place of zones in turn
    int ledger_group = 0;                            // voters that keep a program's ledger; 0: all
    SnapshotWriter::Options snapshots{};
    double link_bytes_per_ms = 0;  // of replies that a machine sends, one after the other; 0: no bound
    RepairPace::Options repair_pace{};
    int keep_for_s = 60;  // of the operator's configuration
};

class Cluster {
public:
    using Random = SimulatedDisk::Random;

    Cluster(std::uint64_t seed, ClusterOptions options) : random(seed), options_(options) {}

    Timeline time;
    int starts_by_snapshot = 0;
    Random random;
    wire::RegisterState state;  // as control has it
    wire::StorageMap& map = state.storage;
    std::vector<std::unique_ptr<Machine>> machines;
    std::function<void(const wire::StorageMap&)> on_map;
    bool planted_vote_when_empty =
        false;  // a fault for the checker to find: wiped members vote at once, and nothing is repaired
    bool planted_leaves_unemptied = false;  // another: a retiring member goes before others hold what it does
    bool planted_no_sync = false;           // another: disks say that they have synced
    bool planted_answers_unsynced = false;  // another: members answer before they have synced
    bool planted_serves_stale_maps = false;  // another: callers with older maps are served
    bool planted_half_digests = false;       // another: half of the ranges are not compared
    bool planted_skips_last_range = false;   // another: the last of the ranges is not compared
    double planted_clock_rate = 1;           // another: members' steady clocks run so much too fast
    LedgerSpread::Planted planted_ledgers;   // others
    // Of calls by sidecars and between members, there and back.
    struct Traffic {
        std::uint64_t messages = 0, bytes = 0;
    };
    Traffic edge_traffic, member_traffic;
    bool counts_bytes = false;  // each message is encoded for that
    // Turns that replies about changes leave out, as if they had been missed.
    std::set<std::string> missed_turns;
    // Called as a member asks another, at its address, for records or ledgers.
    std::function<void(const Machine& asker, const std::string& address, const wire::FetchRequest&)>
        before_fetch;

    double between(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random);
    }
    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); }

    Machine& add(const std::string& zone, const std::string& region = "") {
        auto machine = std::make_unique<Machine>();
        machine->node = std::string("storage-").append(std::to_string(machines.size()));
        machine->address = machine->node;
        machine->zone = zone;
        machine->region = region;
        machine->disk.planted_no_sync = planted_no_sync;
        machines.push_back(std::move(machine));
        start(*machines.back());
        return *machines.back();
    }

    // All machines, and the first map with them as members.
    void found() {
        if (options_.places.empty())
            for (int i = 0; i < options_.machines; ++i) add(zone(i));
        for (const failure_domain::Location& place : options_.places) add(place.zone, place.region);
        map.epoch = 1;
        map.ledger_group = options_.ledger_group;
        state.__set_longest_keep_for_s(options_.keep_for_s);
        for (const auto& machine : machines)
            map.members.push_back(described(*machine, wire::StorageState::member));
        changed_map();
        control();
    }

    void start(Machine& machine) {
        if (machine.gone || machine.up) return;
        machine.disk.recover();
        ++machine.life;
        machine.told_epoch = 0;
        const std::uint64_t life = machine.life;
        machine.peers = std::make_unique<Peers>(*this, machine, life);
        StorageNode::Options options;
        options.survive = options_.survive;
        options.cache_bytes = options_.cache_bytes;
        options.segment_bytes = options_.segment_bytes;
        options.disk_bytes = options_.disk_bytes;
        options.most_items = options_.most_items;
        options.snapshots = options_.snapshots;
        options.repair_pace = options_.repair_pace;
        options.planted_answers_unsynced = planted_answers_unsynced;
        options.planted_serves_stale_maps = planted_serves_stale_maps;
        options.planted_ledgers = planted_ledgers;
        options.steady_ms = [this] { return static_cast<std::int64_t>(time.now() * planted_clock_rate); };
        options.time_of_day_ms = [this, &machine] {
            return static_cast<std::int64_t>(1.8e12 + time.now() + machine.clock_off_ms);
        };
        options.draw = [this] { return static_cast<std::int64_t>(random() >> 2 | 1); };
        options.commit_soon = [this, &machine, life] { plan_commit(machine, life); };
        auto node = StorageNode::open(machine.disk, options);
        if (node && node.value()->started().by_snapshot) ++starts_by_snapshot;
        if (!node) {  // its power went again
            time.after(100, [this, &machine, life] {
                if (machine.life == life) start(machine);
            });
            return;
        }
        machine.process = std::move(node.value());
        machine.identity = machine.process->identity();
        Repair::Options repair;
        repair.survive = options_.survive;
        machine.repair = std::make_unique<Repair>(*machine.process, *machine.peers, repair);
        machine.up = true;
        step(machine, life);
        tick(machine, life);
    }

    // The process ends; what it wrote stays as it is.
    void kill(Machine& machine) {
        machine.up = machine.frozen = false;
        ++machine.life;
        machine.commit_planned = false;
        machine.repair.reset();
        machine.process.reset();
    }
    void lose_power(Machine& machine) {
        kill(machine);
        machine.disk.lose_power(random);
    }
    void wipe(Machine& machine) {
        kill(machine);
        machine.disk.wipe();
    }
    void remove_for_good(Machine& machine) {
        wipe(machine);
        machine.gone = true;
    }

    // As the operator does it, whether or not enough remain.
    void retire(const Machine& machine) {
        state = control_plane::retiring(state, machine.node);
        changed_map();
    }
    // The same, where the control plane takes the order.
    bool order_retirement(const Machine& machine) {
        control_plane::RetirementNeeds needs;
        needs.survive = options_.survive;
        for (const control_plane::Heard& heard :
             membership_.of_role(wire::NodeRole::storage, instant(), control_plane::Span(3000)))
            if (heard.votes()) needs.voting.insert(heard.info.identity);
        const auto decision = control_plane::decide_retirement(state, machine.node, needs);
        if (decision != control_plane::RetirementDecision::begin) return false;
        retire(machine);
        return true;
    }
    bool retired(const Machine& machine) const {
        return control_plane::retirement_progress(state, machine.node) ==
               control_plane::RetirementProgress::finished;
    }
    // The process that holds the lease of the map is another one from now on, and has just started.
    void restart_control() {
        membership_ = control_plane::Membership();
        reconciler_ = new_reconciler();
    }

    Machine* at(const std::string& address) {
        for (const auto& machine : machines)
            if (machine->address == address) return machine.get();
        return nullptr;
    }

    // Encoded messages between zones, by the type of the request.
    struct MessageBytes {
        std::uint64_t calls = 0, requests = 0, replies = 0;  // the last two in bytes
    };
    bool counts_between_zones = false;
    std::map<std::string, MessageBytes> between_zones;
    std::uint64_t bytes_between_zones() const {
        std::uint64_t bytes = 0;
        for (const auto& [name, message] : between_zones) bytes += message.requests + message.replies;
        return bytes;
    }

    // One message there and one back, with loss where a side is cut off or down. `done` once.
    template <class Request, class Reply>
    void call(Traffic& traffic, const std::string& caller_zone, std::function<bool()> caller_lives,
              std::function<bool()> caller_cut, const std::string& address,
              void (StorageNode::*handler)(const Request&, StorageNode::Done<Reply>), const Request& request,
              double timeout_ms, std::function<void(std::optional<Reply>)> done) {
        auto open = std::make_shared<bool>(true);
        const auto answer = [open, caller_lives, done](std::optional<Reply> reply) {
            if (!std::exchange(*open, false) || !caller_lives()) return;
            done(std::move(reply));
        };
        time.after(timeout_ms, [answer] { answer(std::nullopt); });
        count(traffic, request);
        if (caller_cut()) return;
        MessageBytes* const counted = bytes_of<Request>(caller_zone, address);
        if (counted) {
            ++counted->calls;
            counted->requests += rpc::encode_body(request).size();
        }
        const int copies = !counts_between_zones && pick(0, 30) == 0 ? 2 : 1;
        const auto message = std::make_shared<const Request>(request);
        for (int copy = 0; copy < copies; ++copy) {
            time.after(message_ms() * (copy + 1) + slow_ms(address), [=, this, &traffic] {
                when_thawed(address, [=, this, &traffic](Machine& machine) {
                    if (!machine.up || machine.cut || caller_cut()) return;
                    const std::uint64_t life = machine.life;
                    (machine.process.get()->*handler)(
                        *message, [=, this, &machine, &traffic](const Reply& reply) {
                            count(traffic, reply);
                            if (machine.life != life || machine.cut || caller_cut()) return;
                            if (counted) counted->replies += rpc::encode_body(reply).size();
                            time.after(message_ms() + machine.slow_ms + link_ms(machine, reply),
                                       [answer, reply] { answer(reply); });
                        });
                });
            });
        }
    }

    // From now on messages take no longer than usual.
    void end_late_messages() { options_.late_share = 0; }

    // How many machines that are up hold a turn.
    std::set<std::string> zones_with(const std::string& id) const {
        std::set<std::string> zones;
        for (const auto& machine : machines)
            if (machine->up && machine->process->holds(id)) zones.insert(machine->zone);
        return zones;
    }
    bool settled() const {
        for (const auto& machine : machines) {
            if (machine->gone) continue;
            if (!machine->up || machine->cut || machine->frozen || machine->process->map().epoch != map.epoch)
                return false;
            if (!machine->process->voting() || machine->repair->busy()) return false;
            if (machine->process->ledgers_wait()) return false;
        }
        return true;
    }

private:
    std::string zone(int machine) const {
        return std::string(1, static_cast<char>('a' + machine % options_.zones));
    }
    template <class Message>
    void count(Traffic& traffic, const Message& message) const {
        ++traffic.messages;
        if (counts_bytes) traffic.bytes += rpc::encode_body(message).size();
    }
    // Null: not counted. Its place stays: elements of a map do not move.
    template <class Request>
    MessageBytes* bytes_of(const std::string& caller_zone, const std::string& address) {
        const Machine* machine = at(address);
        if (!counts_between_zones || !machine || machine->zone == caller_zone) return nullptr;
        return &between_zones[request_name<Request>()];
    }

    // Until the machine has sent it, behind what it is sending.
    template <class Message>
    double link_ms(Machine& machine, const Message& message) {
        if (options_.link_bytes_per_ms <= 0) return 0;
        const double begins_ms = std::max(machine.link_free_ms, time.now());
        const auto bytes = static_cast<double>(rpc::encode_body(message).size());
        machine.link_free_ms = begins_ms + bytes / options_.link_bytes_per_ms;
        return machine.link_free_ms - time.now();
    }

    double slow_ms(const std::string& address) {
        const Machine* machine = at(address);
        return machine ? machine->slow_ms : 0;
    }
    double message_ms() {
        if (options_.late_share > 0 && between(0, 1) < options_.late_share) return between(200, 4000);
        return between(.2, 3);
    }
    void when_thawed(const std::string& address, std::function<void(Machine&)> run) {
        Machine* machine = at(address);
        if (!machine) return;
        if (!machine->frozen) return run(*machine);
        time.after(20, [this, address, run = std::move(run)] { when_thawed(address, run); });
    }

    class Peers : public PeerCalls {
    public:
        Peers(Cluster& cluster, Machine& machine, std::uint64_t life)
            : cluster_(cluster), machine_(machine), life_(life) {}
        void changes(const std::string& address, const wire::ChangesRequest& request,
                     Done<wire::ChangesReply> done) override {
            ask<wire::ChangesRequest, wire::ChangesReply>(
                address, &StorageNode::changes, request, 800,
                [this, done = std::move(done)](rpc::Result<wire::ChangesReply> reply) {
                    if (reply) leave_out_missed(reply.value());
                    done(std::move(reply));
                });
        }
        void fetch(const std::string& address, const wire::FetchRequest& request,
                   Done<wire::FetchReply> done) override {
            if (cluster_.before_fetch) cluster_.before_fetch(machine_, address, request);
            ask(address, &StorageNode::fetch, request, 3000, std::move(done));
        }
        void digests(const std::string& address, const wire::DigestRequest& request,
                     Done<wire::DigestReply> done) override {
            ask<wire::DigestRequest, wire::DigestReply>(
                address, &StorageNode::digests, request, 800,
                [this, done = std::move(done)](rpc::Result<wire::DigestReply> reply) {
                    if (reply && cluster_.planted_half_digests)
                        reply.value().digests.resize(reply.value().digests.size() / 2);
                    if (reply && cluster_.planted_skips_last_range && !reply.value().digests.empty())
                        reply.value().digests.pop_back();
                    done(std::move(reply));
                });
        }
        void store(const std::string& address, const wire::StoreRequest& request,
                   Done<wire::StoreReply> done) override {
            ask(address, &StorageNode::store, request, 3000, std::move(done));
        }

    private:
        template <class Request, class Reply>
        void ask(const std::string& address,
                 void (StorageNode::*handler)(const Request&, StorageNode::Done<Reply>),
                 const Request& request, double timeout_ms, Done<Reply> done) {
            cluster_.call<Request, Reply>(
                cluster_.member_traffic, machine_.zone,
                [&machine = machine_, life = life_] { return machine.up && machine.life == life; },
                [&machine = machine_] { return machine.cut; }, address, handler, request, timeout_ms,
                [done](std::optional<Reply> reply) {
                    if (reply) return done(std::move(*reply));
                    done(rpc::Error{rpc::Failure::timed_out, "simulated"});
                });
        }

        void leave_out_missed(wire::ChangesReply& reply) {
            std::erase_if(reply.turns, [&](const wire::TurnHead& head) {
                return cluster_.missed_turns.count(head.id) > 0;
            });
        }

        Cluster& cluster_;
        Machine& machine_;
        std::uint64_t life_;
    };

    void plan_commit(Machine& machine, std::uint64_t life) {
        if (std::exchange(machine.commit_planned, true)) return;
        time.after(between(0, 3), [this, &machine, life] {
            if (machine.life != life || !machine.up) return;
            machine.commit_planned = false;
            if (machine.frozen) return plan_commit(machine, life);
            machine.process->commit();
            if (!machine.disk.powered()) power_gone(machine);
        });
    }

    void power_gone(Machine& machine) {
        lose_power(machine);
        time.after(between(200, 2000), [this, &machine] { start(machine); });
    }

    // At once and then again and again; the steps that were planned before are not taken.
    void step(Machine& machine, std::uint64_t life) { next_step(machine, life, ++machine.steps); }

    void next_step(Machine& machine, std::uint64_t life, std::uint64_t steps) {
        if (machine.life != life || !machine.up || machine.steps != steps) return;
        const auto again = [this, &machine, life, steps] { next_step(machine, life, steps); };
        if (machine.frozen) return time.after(20, again);
        if (!planted_vote_when_empty) machine.repair->step(static_cast<std::int64_t>(time.now()));
        time.after(machine.repair->wants_step_soon() ? 100 : 1000, again);
    }

    void tick(Machine& machine, std::uint64_t life) {
        if (machine.life != life || !machine.up) return;
        if (machine.frozen) return time.after(20, [this, &machine, life] { tick(machine, life); });
        machine.process->tick();
        if (!machine.disk.powered()) return power_gone(machine);
        if (machine.process->must_restart()) {
            kill(machine);
            return start(machine);
        }
        time.after(1000, [this, &machine, life] { tick(machine, life); });
    }

    wire::StorageMember described(const Machine& machine, wire::StorageState::type state) const {
        wire::StorageMember member;
        member.identity = machine.identity;
        member.node = machine.node;
        member.zone = machine.zone;
        if (!machine.region.empty()) member.__set_region(machine.region);
        member.address = machine.address;
        member.state = state;
        return member;
    }

    // The register holds nothing else that changes.
    void changed_map() { state.sequence = map.epoch; }

    bool reachable(const Machine& machine) const { return machine.up && !machine.cut && !machine.frozen; }

    // What its watch tells control.
    wire::WatchRequest watch_of(const Machine& machine) const {
        wire::WatchRequest watch;
        watch.who.identity = machine.identity;
        watch.who.node = machine.node;
        watch.who.zone = machine.zone;
        if (!machine.region.empty()) watch.who.__set_region(machine.region);
        watch.who.address = machine.address;
        watch.who.role = wire::NodeRole::storage;
        watch.storage_note = machine.repair->note();
        watch.__set_storage_progress(machine.repair->progress());
        if (planted_vote_when_empty) watch.storage_note = control_plane::kSyncedNote;
        const wire::StorageMember* const member = machine.process->self();
        const bool retires = member && member->state == wire::StorageState::retiring;
        if (planted_leaves_unemptied && retires) watch.storage_note = control_plane::kEmptiedNote;
        watch.sequence = machine.told_epoch;
        return watch;
    }

    control_plane::Instant instant() const {
        return control_plane::Instant(std::chrono::hours(1)) +
               control_plane::Span(static_cast<std::int64_t>(time.now()));
    }

    control_plane::StorageMapReconciler new_reconciler() const {
        control_plane::StorageMapReconciler::Options options;
        options.survive = options_.survive;
        options.ledger_group = options_.ledger_group;
        return control_plane::StorageMapReconciler(options);
    }

    // Keeps the map in line with the machines that are there, and tells them and the edges of it.
    void control() {
        for (const auto& machine : machines)
            if (reachable(*machine)) membership_.hear(watch_of(*machine), instant());
        reconciler_.observe(state, membership_.storages(), instant());
        if (auto next = reconciler_.wanted(state, membership_.storages(), instant())) {
            state = std::move(*next);
            changed_map();
        }
        for (const auto& machine : machines)
            if (!machine->gone && retired(*machine)) remove_for_good(*machine);
        for (const auto& machine : machines) tell_map(*machine);
        if (on_map) on_map(map);
        time.after(200, [this] { control(); });
    }

    void tell_map(Machine& machine) {
        if (!reachable(machine)) return;
        time.after(between(5, 150), [this, &machine, life = machine.life, told = map] {
            if (machine.life != life || !reachable(machine)) return;
            const bool newer = told.epoch > machine.process->map().epoch;
            machine.process->set_map(told);
            machine.told_epoch = std::max(machine.told_epoch, told.epoch);
            if (planted_vote_when_empty) machine.process->mark_filled();
            if (newer) step(machine, life);
        });
    }

    ClusterOptions options_;
    control_plane::Membership membership_;
    control_plane::StorageMapReconciler reconciler_ = new_reconciler();
};

// An edge process whose calls go to the cluster's machines.
class ClusterEdge : public std::enable_shared_from_this<ClusterEdge> {
public:
    ClusterEdge(Cluster& cluster, std::string zone, std::size_t cache_bytes,
                failure_domain::LossTolerance survive)
        : ClusterEdge(cluster, cache_bytes, options(std::move(zone), survive)) {}
    ClusterEdge(Cluster& cluster, std::string zone, std::size_t cache_bytes, int machine_losses)
        : ClusterEdge(cluster, std::move(zone), cache_bytes,
                      failure_domain::LossTolerance{.machines = machine_losses}) {}
    ClusterEdge(Cluster& cluster, std::size_t cache_bytes, TurnQuorumOptions quorum)
        : cluster_(cluster), zone_(quorum.zone), cache_(cache_bytes), quorum_(std::move(quorum), cache_) {}

    bool cut = false;
    std::set<std::string> unreachable;  // addresses
    // Of its processor, for each message that it sends or hears, one after the other; 0: none is counted.
    double handling_ms = 0;

    // Nothing that is under way goes on; what was sent may still arrive.
    void crash() {
        dead_ = true;
        begins_.clear();
        ends_.clear();
    }
    bool dead() const { return dead_; }

    void set_map(const wire::StorageMap& map) {
        quorum_.set_map(map, cluster_.time.now());
        flush();
    }
    void begin(const TurnStart& start, double timeout_ms, std::function<void(BegunTurn)> done) {
        begins_.emplace(quorum_.begin(start, timeout_ms, cluster_.time.now()), std::move(done));
        flush();
    }
    void end(const TurnEnd& end, double timeout_ms, std::function<void(bool)> done) {
        ends_.emplace(quorum_.end(end, timeout_ms, cluster_.time.now()), std::move(done));
        flush();
    }
    std::int64_t epoch() const { return quorum_.map().epoch; }

    static TurnQuorumOptions options(std::string zone, failure_domain::LossTolerance survive) {
        TurnQuorumOptions options;
        options.zone = std::move(zone);
        options.survive = survive;
        return options;
    }

private:
    template <class Request, class Reply>
    void call(const TurnSend& send, const Request& request,
              void (StorageNode::*handler)(const Request&, StorageNode::Done<Reply>)) {
        const auto weak = weak_from_this();
        cluster_.call<Request, Reply>(
            cluster_.edge_traffic, zone_, [weak] { return !weak.expired(); },
            [weak, address = send.address] {
                const auto self = weak.lock();
                return !self || self->cut || self->unreachable.count(address) > 0;
            },
            send.address, handler, request, send.timeout_ms,
            [weak, id = send.id](std::optional<Reply> reply) {
                const auto self = weak.lock();
                if (!self || self->dead_) return;
                self->handled([self, id, reply = std::move(reply)]() mutable {
                    if (self->dead_) return;
                    self->quorum_.replied(id, reply ? TurnReply(std::move(*reply)) : TurnReply(NoReply()),
                                          self->cluster_.time.now());
                    self->flush();
                });
            });
    }

    // When its processor has come to it.
    template <class Work>
    void handled(Work work) {
        if (handling_ms == 0) return work();
        busy_until_ms_ = std::max(busy_until_ms_, cluster_.time.now()) + handling_ms;
        cluster_.time.at(busy_until_ms_, std::move(work));
    }

    void write(const TurnSend& send) {
        if (const auto* begin = std::get_if<wire::BeginTurnRequest>(&send.request))
            call(send, *begin, &StorageNode::begin);
        else if (const auto* end = std::get_if<wire::EndTurnRequest>(&send.request))
            call(send, *end, &StorageNode::end);
        else
            call(send, std::get<wire::ReadTurnsRequest>(send.request), &StorageNode::read);
    }

    void flush() {
        for (const TurnSend& send : quorum_.take_sends())
            handled([self = shared_from_this(), send] { self->write(send); });
        for (TurnOutcome& outcome : quorum_.take_outcomes()) {
            cluster_.time.after(0, [weak = weak_from_this(), outcome = std::move(outcome)] {
                const auto self = weak.lock();
                if (!self || self->dead_) return;
                if (const auto* begun = std::get_if<BegunTurn>(&outcome.result)) {
                    if (auto done = self->begins_.extract(outcome.operation)) done.mapped()(*begun);
                } else if (auto done = self->ends_.extract(outcome.operation)) {
                    done.mapped()(std::get<bool>(outcome.result));
                }
            });
        }
        arm();
    }

    void arm() {
        const double wake_ms = quorum_.wake_at_ms();
        if (wake_ms == TurnQuorum::kNever || wake_ms == armed_ms_) return;
        armed_ms_ = wake_ms;
        cluster_.time.at(wake_ms, [weak = weak_from_this(), wake_ms] {
            const auto self = weak.lock();
            if (!self || self->dead_) return;
            if (self->armed_ms_ == wake_ms) self->armed_ms_ = TurnQuorum::kNever;
            self->quorum_.wake(self->cluster_.time.now());
            self->flush();
        });
    }

    Cluster& cluster_;
    std::string zone_;
    TurnCache cache_;
    TurnQuorum quorum_;
    bool dead_ = false;
    double armed_ms_ = TurnQuorum::kNever, busy_until_ms_ = 0;
    std::map<std::uint64_t, std::function<void(BegunTurn)>> begins_;
    std::map<std::uint64_t, std::function<void(bool)>> ends_;
};

}  // namespace whinledge::storage_plane::test
