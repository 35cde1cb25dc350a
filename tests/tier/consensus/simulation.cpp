#include "simulation.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "rpc/codec.hpp"

namespace whinledge::consensus::test {

// ---- The checker
// -----------------------------------------------------------------------------------------------

void Checker::complain(const std::string& what) {
    if (complaints_.size() < 10) complaints_.push_back(what);
}

bool Checker::contains(const History& history, int change) {
    const std::string number = std::to_string(change).append(",");
    const std::size_t at = history.find(std::string(1, ',').append(number));
    return at != std::string::npos || begins(history, number);
}

void Checker::chosen(const wire::RegisterState& state) {
    const History& history = state.configuration;
    const auto [known, fresh] = by_sequence_.emplace(state.sequence, history);
    if (!fresh && known->second != history)
        complain(std::string("sequence ").append(std::to_string(state.sequence)) + " was chosen as [" +
                 known->second + "] and as [" + history + "]");
    if (begins(history, line_))
        line_ = history;
    else if (!begins(line_, history))
        complain("chosen [" + history + "] is not on the line of [" + line_ + "]");
    for (const int change : refused_)
        if (contains(history, change))
            complain(std::string("refused change ").append(std::to_string(change)) + " was chosen");
    if (static_cast<std::int64_t>(std::count(history.begin(), history.end(), ',')) != state.sequence)
        complain(std::string("sequence ").append(std::to_string(state.sequence)) + " has the history [" +
                 history + "]");
}

void Checker::told(const History& floor, const wire::RegisterState& state, const std::string& by) {
    chosen(state);
    if (!begins(state.configuration, floor))
        complain(by + " was told [" + state.configuration + "] after [" + floor + "] had been told");
    if (state.configuration.size() > told_.size()) told_ = state.configuration;
}

void Checker::acknowledged(int change, const wire::RegisterState& state) {
    acknowledged_.insert(change);
    if (!contains(state.configuration, change))
        complain(std::string("change ").append(std::to_string(change)) + " was acknowledged with [" +
                 state.configuration + "]");
}

void Checker::finish(const wire::RegisterState& state) {
    chosen(state);
    if (state.configuration.size() < line_.size())
        complain("at the end [" + state.configuration + "] is in force, and [" + line_ + "] was chosen");
    for (const int change : acknowledged_)
        if (!contains(state.configuration, change))
            complain(std::string("change ").append(std::to_string(change)) + " is lost");
    std::set<std::string> seen;
    for (std::size_t at = 0; at < state.configuration.size();) {
        const std::size_t end = state.configuration.find(',', at);
        if (!seen.insert(state.configuration.substr(at, end - at)).second)
            complain("a change was made twice: [" + state.configuration + "]");
        at = end + 1;
    }
}

// ---- Machines, network and disks
// -------------------------------------------------------------------------------

class Simulation::Host : public RegisterHost {
public:
    Host(Simulation& simulation, std::size_t machine, std::uint64_t life)
        : simulation_(simulation), machine_(machine), life_(life) {}

    Millis now() const override { return simulation_.now_; }
    std::uint64_t random() override { return simulation_.random_(); }
    void after(Millis delay, std::function<void()> act) override {
        simulation_.on_machine(simulation_.now_ + std::max<Millis>(delay, 0), machine_, life_,
                               std::move(act));
    }
    void persist(AcceptorWrite write, std::function<void(bool)> done) override {
        simulation_.persist(machine_, std::move(write), std::move(done));
    }
    void send(const std::string& address, const AcceptorRequest& request, Millis timeout,
              std::function<void(std::optional<wire::AcceptorReply>)> done) override {
        if (!simulation_.faults_.seals_ignored)
            return simulation_.carry<AcceptorRequest, wire::AcceptorReply>(machine_, address, request,
                                                                           timeout, std::move(done));
        simulation_.carry<AcceptorRequest, wire::AcceptorReply>(
            machine_, address, request, timeout,
            [done = std::move(done)](std::optional<wire::AcceptorReply> reply) {
                if (reply) reply->entry.seal.clear();
                done(std::move(reply));
            });
    }
    void send(const std::string& address, const wire::ShareRequest& request, Millis timeout,
              std::function<void(std::optional<wire::ShareReply>)> done) override {
        simulation_.carry<wire::ShareRequest, wire::ShareReply>(machine_, address, request, timeout,
                                                                std::move(done));
    }
    void chosen(const wire::ChosenValue& value) override {
        simulation_.checker.chosen(value.entry.state);
        simulation_.mark(machine_,
                         std::string("knows [").append(value.entry.state.configuration).append("]"));
    }

private:
    Simulation& simulation_;
    std::size_t machine_;
    std::uint64_t life_;
};

Simulation::Simulation(std::uint64_t seed, std::size_t seeds, std::size_t machines, PlantedFaults faults)
    : random_(seed), faults_(faults), seeds_(seeds), machines_(machines) {
    for (std::size_t m = 0; m < machines; ++m)
        machines_[m].address = std::string(1, static_cast<char>('a' + m));
}

Simulation::~Simulation() = default;

void Simulation::at(Millis time, std::function<void()> act) {
    events_.push({time, ++orders_, std::move(act)});
}

void Simulation::run_until(Millis time) {
    while (!events_.empty() && events_.top().at <= time) {
        Event event = std::move(const_cast<Event&>(events_.top()));
        events_.pop();
        now_ = event.at;
        event.act();
    }
    now_ = time;
}

void Simulation::on_machine(Millis time, std::size_t machine, std::uint64_t life, std::function<void()> act) {
    at(time, [this, machine, life, act = std::move(act)]() mutable {
        Machine& where = machines_[machine];
        if (!where.core || where.life != life) return;
        if (where.frozen_until > now_) return on_machine(where.frozen_until, machine, life, std::move(act));
        act();
    });
}

void Simulation::start(std::size_t machine, bool first_boot) {
    Machine& where = machines_[machine];
    if (where.core) return;
    if (where.identity == 0) {
        where.identity = ++identities_ * 7919 % 100'003;
        where.founder =
            first_boot || (machine < seeds_ && !where.started);  // a seed's first start is the first boot
        where.disk.emplace(where.identity);
    }
    where.started = true;
    ++where.life;
    where.host = std::make_unique<Host>(*this, machine, where.life);
    RegisterCore::Options options;
    options.self.node = where.address;
    options.self.zone = "zone-" + where.address;
    if (!places.empty()) {
        options.self.zone = places[machine].zone;
        options.self.__set_region(places[machine].region);
    }
    options.self.address = where.address;
    options.self.role = wire::NodeRole::control;
    options.self.started_ms = -++starts_;  // times of day step back: nothing may depend on them
    options.reconfiguration = reconfiguration;
    options.founder = where.founder;
    for (std::size_t m = 0; m < seeds_; ++m) options.seeds.push_back(machines_[m].address);
    where.core = std::make_unique<RegisterCore>(*where.host, options, *where.disk);
    const std::uint64_t life = where.life;
    on_machine(now_, machine, life, [this, machine] { machines_[machine].core->start(); });
}

// What a core leaves behind may still be on the stack: it is dropped later.
void Simulation::stop(std::size_t machine) {
    Machine& where = machines_[machine];
    if (!where.core) return;
    ++where.life;
    std::shared_ptr<RegisterCore> core(std::move(where.core));
    std::shared_ptr<Host> host(std::move(where.host));
    at(now_ + 1, [core, host]() mutable {
        core.reset();
        host.reset();
    });
    where.frozen_until = 0;
    where.crash_at_write = false;
    write_in_part(where, std::exchange(where.writing, {}));
}

void Simulation::wipe(std::size_t machine) {
    stop(machine);
    Machine& where = machines_[machine];
    where.disk.reset();
    if (faults_.identity_survives_wipe)
        where.disk.emplace(where.identity);
    else
        where.identity = 0;
}

void Simulation::cut(std::size_t a, std::size_t b, bool cut) {
    const auto pair = std::minmax(a, b);
    if (cut)
        cuts_.insert(pair);
    else
        cuts_.erase(pair);
}

void Simulation::heal() {
    cuts_.clear();
    one_way_cuts_.clear();
    silent_acceptors_.clear();
    network.lost = network.doubled = network.very_late = 0;
    for (Machine& machine : machines_) {
        machine.full = machine.crash_at_write = false;
        machine.frozen_until = std::min(machine.frozen_until, now_);
        machine.held_until = std::min(machine.held_until, now_);
    }
}

void Simulation::persist(std::size_t machine, AcceptorWrite write, std::function<void(bool)> done) {
    Machine& where = machines_[machine];
    if (!where.writing.empty() && !faults_.replies_before_sync)
        checker.complain("two writes at once at " + where.address);
    if (where.full) return on_machine(now_, machine, where.life, [done = std::move(done)] { done(false); });
    if (faults_.replies_before_sync) {
        on_machine(now_, machine, where.life, [done = std::move(done)] { done(true); });
        done = nullptr;
    }
    std::move(write.records.begin(), write.records.end(), std::back_inserter(where.writing));
    if (where.crash_at_write) return stop(machine);
    const Millis sync = most_sync == 0 ? 0 : static_cast<Millis>(draw(std::uint64_t(most_sync) + 1));
    at(std::max(now_ + sync, where.held_until), [this, machine, life = where.life, done = std::move(done)] {
        if (machines_[machine].life == life) end_write(machine, done);
    });
}

// The disk goes on while its machine is frozen.
void Simulation::end_write(std::size_t machine, const std::function<void(bool)>& done) {
    Machine& where = machines_[machine];
    if (where.held_until > now_)
        return at(where.held_until, [this, machine, life = where.life, done] {
            if (machines_[machine].life == life) end_write(machine, done);
        });
    const std::uint64_t life = where.life;
    for (const wire::AcceptorRecord& record : std::exchange(where.writing, {})) {
        put_on_disk(where, record);
        mark(machine, describe(record));
        if (where.life != life) return;  // whoever looks at the marks has stopped it
    }
    if (done) on_machine(now_, machine, life, [done] { done(true); });
}

// As many of them as a loss of power leaves.
void Simulation::write_in_part(Machine& where, const std::vector<wire::AcceptorRecord>& records) {
    for (const wire::AcceptorRecord& record : records) {
        if (!chance(.5)) return;
        put_on_disk(where, record);
    }
}

void Simulation::put_on_disk(Machine& where, const wire::AcceptorRecord& record) {
    const bool promise_only = !record.__isset.accepted && !record.__isset.installed;
    const bool synced = record.__isset.installed ||
                        (promise_only ? !faults_.promises_not_synced : !faults_.accepted_not_synced);
    if (synced) where.disk->apply(record);
}

std::optional<Millis> Simulation::transit(std::size_t from, std::size_t to) {
    const bool cut = cuts_.count(std::minmax(from, to)) != 0 || one_way_cuts_.count({from, to}) != 0;
    if (cut || chance(network.lost)) return std::nullopt;
    const auto spread = static_cast<std::uint64_t>(network.most_delay - network.least_delay + 1);
    const Millis late = chance(network.very_late) ? static_cast<Millis>(draw(2000)) : 0;
    return network.least_delay + static_cast<Millis>(draw(spread)) + late;
}

template <class Message>
void Simulation::count_bytes(std::size_t a, std::size_t b, const Message& message) {
    if (!counts_bytes) return;
    std::uint64_t bytes = 0;
    if constexpr (std::is_same_v<Message, AcceptorRequest>)
        bytes = std::visit([](const auto& one) { return rpc::encode_body(one).size(); }, message);
    else
        bytes = rpc::encode_body(message).size();
    machines_[a].bytes += bytes;
    machines_[b].bytes += bytes;
}

template <class Request, class Reply>
void Simulation::carry(std::size_t from, const std::string& address, const Request& request, Millis timeout,
                       std::function<void(std::optional<Reply>)> done) {
    if constexpr (std::is_same_v<Request, AcceptorRequest>)
        if (const auto* prepare = std::get_if<wire::PrepareRequest>(&request))
            proposers_[prepare->ballot.proposer] = machines_[from].address;
    const std::uint64_t life = machines_[from].life;
    const auto to = static_cast<std::size_t>(address[0] - 'a');
    // Called once: by the first reply or by the end of the wait.
    auto once = std::make_shared<std::function<void(std::optional<Reply>)>>(std::move(done));
    const auto answer = [once](std::optional<Reply> reply) {
        if (!*once) return;
        const auto act = std::move(*once);
        *once = nullptr;
        act(std::move(reply));
    };
    on_machine(now_ + timeout, from, life, [answer] { answer(std::nullopt); });
    const int copies = chance(network.doubled) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const std::optional<Millis> delay = transit(from, to);
        if (!delay) continue;
        count_bytes(from, to, request);
        at(now_ + *delay, [this, from, life, to, request, answer] {
            if (!machines_[to].core) return;
            on_machine(now_, to, machines_[to].life, [this, from, life, to, request, answer] {
                const auto send_back = [this, from, life, to, request, answer](std::optional<Reply> reply) {
                    if constexpr (std::is_same_v<Request, AcceptorRequest>) mark(to, refusal(request, reply));
                    const std::optional<Millis> back = transit(to, from);
                    const bool silent =
                        std::is_same_v<Request, AcceptorRequest> && silent_acceptors_.count(to) != 0;
                    if (!reply || !back || silent) return;
                    count_bytes(from, to, *reply);
                    on_machine(now_ + *back, from, life, [answer, reply] { answer(reply); });
                };
                if constexpr (std::is_same_v<Request, AcceptorRequest>)
                    machines_[to].core->handle(request, send_back);
                else
                    send_back(machines_[to].core->handle(request));
            });
        });
    }
}

// The round and its proposer.
std::string Simulation::name(const wire::Ballot& ballot) const {
    const auto proposer = proposers_.find(ballot.proposer);
    return std::to_string(ballot.round) + (proposer == proposers_.end() ? "?" : proposer->second);
}

// What an acceptor does not do; what it does is seen at its disk.
std::string Simulation::refusal(const AcceptorRequest& request,
                                const std::optional<wire::AcceptorReply>& reply) const {
    if (!reply || reply->status == wire::AcceptorStatus::ok) return {};
    std::string text = "no query";
    if (const auto* prepare = std::get_if<wire::PrepareRequest>(&request))
        text = "no promise " + name(prepare->ballot);
    if (const auto* accept = std::get_if<wire::AcceptRequest>(&request))
        text = "no accept " + name(accept->ballot);
    if (reply->status == wire::AcceptorStatus::superseded) text += ", sealed";
    if (reply->status == wire::AcceptorStatus::unknown_epoch) text += ", unknown epoch";
    if (reply->status == wire::AcceptorStatus::wrong_identity) text += ", not me";
    if (reply->status == wire::AcceptorStatus::not_stored) text += ", not stored";
    return text;
}

std::string Simulation::describe(const wire::AcceptorRecord& record) const {
    if (record.__isset.installed)
        return std::string("begin epoch ").append(std::to_string(record.installed.epoch));
    if (!record.__isset.accepted) return "promise " + name(record.promised);
    std::string text = record.entry.seal.empty() ? "accept " : "seal ";
    text += name(record.accepted);
    text += " [";
    text += record.entry.state.configuration;
    text += "]";
    return text;
}

bool Simulation::majority_left() const {
    const auto most_are_left = [this](const Acceptors& acceptors) {
        const auto left = std::count_if(acceptors.begin(), acceptors.end(), [&](const auto& acceptor) {
            return std::any_of(machines_.begin(), machines_.end(), [&](const Machine& one) {
                return one.disk && one.identity == acceptor.identity;
            });
        });
        return static_cast<std::size_t>(left) >= majority(acceptors.size());
    };
    std::int64_t newest = 0;
    for (const Machine& one : machines_)
        if (one.disk) newest = std::max(newest, one.disk->installed().epoch);
    return std::all_of(machines_.begin(), machines_.end(), [&](const Machine& one) {
        if (!one.disk || one.disk->installed().epoch != newest) return true;
        const Acceptors& seal = one.disk->entry().seal;
        return most_are_left(one.disk->installed().acceptors) && (seal.empty() || most_are_left(seal));
    });
}

// Within what a deployment bears: one disk at a time, and only once the acceptors are whole again. Looked at
// from above, not through any process.
bool Simulation::may_lose(std::size_t machine) const {
    const Acceptor* newest = nullptr;
    for (const Machine& one : machines_)
        if (one.disk && (newest == nullptr || one.disk->installed().epoch > newest->installed().epoch))
            newest = &*one.disk;
    if (newest == nullptr || newest->installed().epoch == 0) return false;
    const Acceptors& acceptors = newest->installed().acceptors;
    std::size_t whole = 0, left = 0;
    for (const wire::Acceptor& acceptor : acceptors)
        for (std::size_t m = 0; m < machines_.size(); ++m) {
            const Machine& one = machines_[m];
            const bool holds = one.identity == acceptor.identity && one.disk &&
                               one.disk->installed().epoch == newest->installed().epoch &&
                               one.disk->entry().seal.empty();
            whole += holds ? 1 : 0;
            left += holds && m != machine ? 1 : 0;
        }
    return whole == acceptors.size() && left >= majority(acceptors.size());
}

// ---- Clients
// ---------------------------------------------------------------------------------------------------

void Simulation::change(std::size_t machine, Millis timeout, bool declining) {
    if (!up(machine)) return;
    const int number = ++changes_;
    mark(machine, std::string("asked for ").append(std::to_string(number)));
    const History floor = checker.floor();
    const std::string by =
        std::string("change ").append(std::to_string(number)) + " at " + machines_[machine].address;
    core(machine).change(
        [number, declining](const wire::RegisterState& state) -> std::optional<wire::RegisterState> {
            if (declining && state.sequence % 2 == 0) return std::nullopt;
            wire::RegisterState next = state;
            next.configuration += std::to_string(number) + ",";
            return next;
        },
        timeout,
        [this, number, floor, by, machine](RegisterResult<wire::RegisterState> result) {
            if (result) {
                ++outcomes_.acknowledged;
                mark(machine, std::to_string(number) + " done");
                checker.told(floor, result.value(), by);
                checker.acknowledged(number, result.value());
            } else if (result.error().failure == RegisterFailure::no_majority) {
                ++outcomes_.open;
            } else {
                ++outcomes_.refused;
                checker.refused(number);
            }
        });
}

void Simulation::read(std::size_t machine, Millis timeout) {
    if (!up(machine)) return;
    const History floor = checker.floor();
    core(machine).read(timeout, [this, floor, machine](RegisterResult<wire::RegisterState> result) {
        if (!result) return;
        ++outcomes_.read;
        checker.told(floor, result.value(), "a reader at " + machines_[machine].address);
    });
}

// ---- A day
// -----------------------------------------------------------------------------------------------------

namespace {

constexpr Millis kTraffic = 16'000, kWhole = 12'000;

class Troubles {
public:
    Troubles(Simulation& world, Day& day, std::size_t machines)
        : world_(world), day_(day), machines_(machines) {}

    void schedule() {
        world_.at(world_.now() + 50 + static_cast<Millis>(world_.draw(900)), [this] {
            if (world_.now() > kTraffic) return;
            make();
            schedule();
        });
    }

private:
    std::size_t any() { return static_cast<std::size_t>(world_.draw(machines_)); }
    void later(Millis most, std::function<void()> act) {
        world_.at(world_.now() + 20 + static_cast<Millis>(world_.draw(static_cast<std::uint64_t>(most))),
                  std::move(act));
    }
    void start_later(std::size_t machine, Millis most) {
        later(most, [this, machine] { world_.start(machine, false); });
    }
    void make() {
        const std::size_t machine = any();
        switch (world_.draw(13)) {
            case 0:  // a process is killed, or a machine loses power
                world_.stop(machine);
                return start_later(machine, world_.chance(.5) ? 3000 : 10);
            case 1:
                world_.crash_at_next_write(machine);
                return start_later(machine, 1500);
            case 2: {
                const std::size_t other = any();
                world_.cut(machine, other, true);
                return later(4000, [this, machine, other] { world_.cut(machine, other, false); });
            }
            case 3:
                for (std::size_t other = 0; other < machines_; ++other) world_.cut(machine, other, true);
                return later(8000, [this, machine] {
                    for (std::size_t other = 0; other < machines_; ++other) world_.cut(machine, other, false);
                });
            case 4:
                return world_.freeze(machine, world_.now() + static_cast<Millis>(world_.draw(5000)));
            case 5:
            case 6:
                return lose_disk(machine);
            case 7:
                world_.fill_disk(machine, true);
                // Sometimes for so long that it is left out.
                return later(world_.chance(.3) ? 12'000 : 1500,
                             [this, machine] { world_.fill_disk(machine, false); });
            case 8:
                world_.network.lost = .1;
                world_.network.doubled = .1;
                world_.network.very_late = .1;
                return later(3000, [this] {
                    world_.network.lost = world_.network.doubled = world_.network.very_late = 0;
                });
            case 9:  // all at once
                if (!world_.chance(.3)) return;
                for (std::size_t m = 0; m < machines_; ++m) {
                    world_.stop(m);
                    start_later(m, 800);
                }
                return;
            case 10:
                return world_.hold_disk(machine, world_.now() + static_cast<Millis>(world_.draw(4000)));
            case 11:
                world_.most_sync = 400;
                return later(3000, [this] { world_.most_sync = 3; });
            default:
                return world_.start(machine, false);  // a spare, or one that died in a write
        }
    }
    void lose_disk(std::size_t machine) {
        if (world_.now() < next_loss_ || !world_.may_lose(machine)) return;
        world_.wipe(machine);
        ++day_.wipes;
        next_loss_ = world_.now() + 3000;
        start_later(machine, 1500);
    }

    Simulation& world_;
    Day& day_;
    std::size_t machines_;
    Millis next_loss_ = 0;
};

void client(Simulation& world, std::size_t machine) {
    world.at(world.now() + static_cast<Millis>(world.draw(700)), [&world, machine] {
        if (world.now() > kTraffic) return;
        const bool crowd = world.chance(.1);  // several change it at once
        for (std::size_t m = 0; m < world.machines(); ++m)
            if (m != machine && crowd) world.change(m, 1500, false);
        if (crowd || world.chance(.5))
            world.change(machine, 300 + static_cast<Millis>(world.draw(2500)), world.chance(.2));
        else
            world.read(machine, 300 + static_cast<Millis>(world.draw(2500)));
        client(world, machine);
    });
}

// All is well again: each process reads and changes, and all tell the same.
void check_the_end(Simulation& world) {
    for (std::size_t m = 0; m < world.machines(); ++m) {
        bool changed = false, read = false;
        const std::string name(1, static_cast<char>('a' + m));
        wire::RegisterState last;
        const int before = world.outcomes().acknowledged;
        world.change(m, 4000, false);
        world.run_until(world.now() + 4100);
        changed = world.outcomes().acknowledged > before;
        world.core(m).read(4000, [&](RegisterResult<wire::RegisterState> result) {
            read = result.has_value();
            if (read) last = result.value();
        });
        world.run_until(world.now() + 4100);
        if (!changed) world.checker.complain("once all is well " + name + " can't change the register");
        if (!read) world.checker.complain("once all is well " + name + " can't read the register");
        if (read && m + 1 == world.machines()) world.checker.finish(last);
    }
}

}  // namespace

Day play_day(std::uint64_t seed, PlantedFaults faults) {
    Day day;
    const std::size_t machines = 3 + seed % 4;  // spares among them begin later, by a trouble
    Simulation world(seed, 3, machines, faults);
    world.most_sync = 3;
    for (std::size_t m = 0; m < 3; ++m)
        world.at(static_cast<Millis>(world.draw(300)), [&world, m] { world.start(m, true); });
    Troubles troubles(world, day, machines);
    if (seed % 5 != 0)  // some days are in trouble from the start
        world.at(1500, [&troubles] { troubles.schedule(); });
    else
        troubles.schedule();
    for (std::size_t m = 0; m < machines; ++m) client(world, m);
    world.run_until(kTraffic + 10);
    world.heal();
    world.most_sync = 3;
    for (std::size_t m = 0; m < machines; ++m) world.start(m, false);
    world.run_until(kTraffic + kWhole);
    world.heal();
    for (std::size_t m = 0; m < machines; ++m) world.start(m, false);
    world.run_until(kTraffic + 2 * kWhole);
    check_the_end(world);
    day.complaints = world.checker.complaints();
    day.outcomes = world.outcomes();
    for (std::size_t m = 0; m < machines; ++m) day.epochs = std::max(day.epochs, world.core(m).known().epoch);
    return day;
}

}  // namespace whinledge::consensus::test
