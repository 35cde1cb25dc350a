#include "register_walk.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

#include "rpc/codec.hpp"

namespace whinledge::consensus::test {
namespace {

constexpr Millis kNoEnd = 1'000'000'000;  // operations have all the time that a path takes
constexpr Millis kLongestPause = 10'000;  // between rounds; later wake-ups are ends of operations

std::uint64_t mix(std::uint64_t sum, std::uint64_t value) {
    sum ^= value + 0x9e3779b97f4a7c15ULL + (sum << 6) + (sum >> 2);
    sum *= 0xff51afd7ed558ccdULL;
    return sum ^ sum >> 33;
}
std::uint64_t mix(std::uint64_t sum, const std::string& text) {
    return mix(sum, std::hash<std::string>()(text));
}

std::string address_of(std::size_t process) { return std::string(1, static_cast<char>('a' + process)); }
std::size_t process_at(const std::string& address) { return static_cast<std::size_t>(address[0] - 'a'); }

std::string text_of(const AcceptorRequest& request) {
    return std::visit([](const auto& one) { return rpc::encode_body(one); }, request);
}
constexpr std::size_t kPrepare = 0, kAccept = 1, kQuery = 2;  // places in AcceptorRequest

const char* kind_of(const AcceptorRequest& request) {
    static const char* const kNames[] = {"prepare", "accept", "query"};
    return kNames[request.index()];
}

}  // namespace

struct WalkWorld::Message {
    std::size_t from = 0, to = 0;
    std::uint64_t life = 0;  // of the sender
    std::uint64_t key = 0;   // of its content
    std::string name;
    wire::Ballot ballot;  // of a prepare or an accept
    // Exactly one is set.
    std::optional<AcceptorRequest> request;
    std::optional<wire::ShareRequest> share;
    std::function<void(std::optional<wire::AcceptorReply>)> replied;
    std::function<void(std::optional<wire::ShareReply>)> shared;
};

class WalkWorld::Host : public RegisterHost {
public:
    Host(WalkWorld& world, std::size_t process) : world_(world), process_(process) {}
    Millis now() const override { return 0; }
    std::uint64_t random() override;
    void after(Millis delay, std::function<void()> act) override;
    void persist(AcceptorWrite write, std::function<void(bool)> done) override;
    void send(const std::string& address, const AcceptorRequest& request, Millis,
              std::function<void(std::optional<wire::AcceptorReply>)> done) override;
    void send(const std::string& address, const wire::ShareRequest& request, Millis,
              std::function<void(std::optional<wire::ShareReply>)> done) override;
    void chosen(const wire::ChosenValue& value) override { world_.checker_.chosen(value.entry.state); }

private:
    WalkWorld& world_;
    std::size_t process_;
};

struct WalkWorld::Process {
    std::int64_t identity = 0;
    std::optional<Acceptor> disk;  // synced
    std::uint64_t life = 0, drawn = 0;
    // Of all that it was told in this life and that counted: the replies of a round in any order, since a
    // proposer counts them.
    std::uint64_t history = 0;
    wire::Ballot round;      // of the proposer's latest round
    bool accepting = false;  // its prepare round is over
    std::deque<std::function<void()>> local;
    std::deque<std::function<void()>> pauses;
    std::vector<wire::AcceptorRecord> writing;
    std::function<void(bool)> written;      // the end of the write under way
    std::vector<std::uint64_t> unanswered;  // keys of requests
    std::unique_ptr<Host> host;
    std::unique_ptr<Replica> replica;
    std::unique_ptr<Proposer> proposer;
    std::unique_ptr<Reader> reader;
};

std::uint64_t WalkWorld::Host::random() {
    Process& process = *world_.processes_[process_];
    std::uint64_t drawn = process_ + 1;
    drawn = mix(drawn, process.life);
    return mix(drawn, ++process.drawn);
}

void WalkWorld::Host::after(Millis delay, std::function<void()> act) {
    Process& process = *world_.processes_[process_];
    if (delay <= 0)
        process.local.push_back(std::move(act));
    else if (delay <= kLongestPause)
        process.pauses.push_back(std::move(act));
}

void WalkWorld::Host::persist(AcceptorWrite write, std::function<void(bool)> done) {
    Process& process = *world_.processes_[process_];
    if (world_.options_.faults.replies_before_sync) {
        process.local.push_back([done = std::move(done)] { done(true); });
        done = [](bool) {};
    } else if (process.written) {
        world_.checker_.complain("two writes at once at " + address_of(process_));
    }
    std::move(write.records.begin(), write.records.end(), std::back_inserter(process.writing));
    process.written = std::move(done);
    if (!world_.options_.slow_disks)
        process.local.push_back([&world = world_, index = process_] { world.end_write(index); });
}

void WalkWorld::end_write(std::size_t index) {
    Process& process = *processes_[index];
    put_on_disk(index, process.writing);
    process.writing.clear();
    const auto done = std::exchange(process.written, nullptr);
    done(true);
}

void WalkWorld::put_on_disk(std::size_t index, const std::vector<wire::AcceptorRecord>& records) {
    const PlantedFaults& faults = options_.faults;
    for (const wire::AcceptorRecord& record : records) {
        const bool promise_only = !record.__isset.accepted && !record.__isset.installed;
        const bool lost = promise_only ? faults.promises_not_synced
                                       : faults.accepted_not_synced && !record.__isset.installed;
        if (!lost) processes_[index]->disk->apply(record);
    }
}

void WalkWorld::Host::send(const std::string& address, const AcceptorRequest& request, Millis,
                           std::function<void(std::optional<wire::AcceptorReply>)> done) {
    Message message;
    message.from = process_;
    message.to = process_at(address);
    message.life = world_.processes_[process_]->life;
    message.key = mix(request.index() + 1, text_of(request));
    message.name = address_of(process_) + "'s " + kind_of(request) + " at " + address;
    message.request = request;
    message.replied = std::move(done);
    if (const auto* prepare = std::get_if<wire::PrepareRequest>(&request)) message.ballot = prepare->ballot;
    if (const auto* accept = std::get_if<wire::AcceptRequest>(&request)) message.ballot = accept->ballot;
    world_.begin_round(process_, request.index(), message.ballot);
    world_.messages_.push_back(std::move(message));
}

void WalkWorld::Host::send(const std::string& address, const wire::ShareRequest& request, Millis,
                           std::function<void(std::optional<wire::ShareReply>)> done) {
    Message message;
    message.from = process_;
    message.to = process_at(address);
    message.life = world_.processes_[process_]->life;
    message.key = mix(9, rpc::encode_body(request));
    message.name = address_of(process_) + "'s share at " + address;
    message.share = request;
    message.shared = std::move(done);
    world_.messages_.push_back(std::move(message));
}

WalkWorld::WalkWorld(const WalkOptions& options)
    : options_(options), left_(options.bounds), begun_(options.operations.size(), false) {
    for (std::size_t p = 0; p < options.processes; ++p) {
        processes_.push_back(std::make_unique<Process>());
        processes_[p]->identity = ++identities_;
    }
    wire::ChosenValue first;
    first.epoch = 1;
    first.acceptors = acceptors({0, 1, 2});
    for (std::size_t p = 0; p < options.processes; ++p) {
        Acceptor disk(processes_[p]->identity);
        wire::AcceptorRecord record;
        record.__set_installed(first);
        disk.apply(record);
        processes_[p]->disk = disk;
        boot(p);
    }
}

WalkWorld::~WalkWorld() = default;

void WalkWorld::begin_round(std::size_t index, std::size_t kind, const wire::Ballot& ballot) {
    Process& process = *processes_[index];
    const bool accepting = kind == kAccept;
    const bool same = rank(process.round) == rank(ballot) && process.accepting == accepting;
    if (kind == kQuery || same) return;
    process.round = ballot;
    process.accepting = accepting;
    process.history = mix(mix(process.history, static_cast<std::uint64_t>(ballot.round)), kind);
}

// Whether the reply may still count with its sender.
bool WalkWorld::awaited(const Message& message) const {
    const Process& sender = *processes_[message.from];
    if (sender.life != message.life) return false;
    if (!message.request || message.request->index() == kQuery) return true;
    const bool prepared = message.request->index() == kPrepare && sender.accepting;
    return rank(sender.round) == rank(message.ballot) && !prepared;
}

void WalkWorld::remember(const Message& message, std::uint64_t reply) {
    Process& sender = *processes_[message.from];
    const bool counted = message.request && message.request->index() != kQuery;
    if (counted)
        sender.history += mix(message.key, reply);
    else
        sender.history = mix(mix(sender.history, message.key), reply);
}

wire::Acceptor WalkWorld::acceptor(std::size_t process) const {
    wire::Acceptor acceptor;
    acceptor.identity = processes_[process]->identity;
    acceptor.node = acceptor.address = address_of(process);
    return acceptor;
}

Acceptors WalkWorld::acceptors(const std::vector<std::size_t>& processes) const {
    Acceptors all;
    for (const std::size_t process : processes) all.push_back(acceptor(process));
    return all;
}

// Starts a process on what its disk holds. What the life before had sent may still arrive.
void WalkWorld::boot(std::size_t index) {
    Process& process = *processes_[index];
    process.reader.reset();
    process.proposer.reset();
    process.replica.reset();
    process.local.clear();
    process.pauses.clear();
    process.writing.clear();
    process.written = nullptr;
    process.unanswered.clear();
    process.history = process.drawn = 0;
    process.round = {};
    process.accepting = false;
    ++process.life;
    wire::NodeInfo self;
    self.node = self.address = address_of(index);
    self.role = wire::NodeRole::control;
    process.host = std::make_unique<Host>(*this, index);
    process.replica = std::make_unique<Replica>(*process.host, self, false, *process.disk);
    process.proposer = std::make_unique<Proposer>(*process.replica);
    process.reader = std::make_unique<Reader>(*process.replica, *process.proposer);
    process.replica->on_epoch = [&process] {
        process.proposer->run_next();
        process.reader->run_next();
    };
    if (!options_.announces) return;
    process.proposer->announce = [this, index](const std::vector<std::int64_t>& accepted_by) {
        const Process& teller = *processes_[index];
        for (std::size_t to = 0; to < processes_.size(); ++to) {
            const std::int64_t identity = processes_[to]->identity;
            const bool has_it =
                std::find(accepted_by.begin(), accepted_by.end(), identity) != accepted_by.end();
            if (to != index && !has_it)
                teller.host->send(address_of(to), teller.replica->share_request(true), 0, [](auto) {});
        }
    };
}

std::vector<WalkWorld::Choice> WalkWorld::choices() const {
    using Kind = Choice::Kind;
    std::vector<Choice> all;
    for (std::size_t m = 0; m < messages_.size(); ++m) {
        all.push_back({Kind::deliver, m});
        if (left_.lost > 0 && awaited(messages_[m])) {
            all.push_back({Kind::lose_request, m});
            all.push_back({Kind::lose_reply, m});
        }
    }
    for (std::size_t o = 0; o < begun_.size(); ++o)
        if (!begun_[o]) all.push_back({Kind::begin, o});
    for (std::size_t p = 0; p < processes_.size(); ++p) {
        const Process& process = *processes_[p];
        if (process.written) all.push_back({Kind::end_write, p});
        if (!process.pauses.empty() && left_.wake_ups > 0) all.push_back({Kind::wake, p});
        if (left_.restarts > 0) all.push_back({Kind::restart, p});
        if (left_.restarts > 0 && process.written) all.push_back({Kind::restart_written, p});
    }
    if (left_.wipes > 0) all.push_back({Kind::wipe, options_.wiped});
    return all;
}

std::string WalkWorld::name(const Choice& choice) const {
    switch (choice.kind) {
        case Choice::Kind::begin:
            return "operation " + std::to_string(choice.which) + " begins";
        case Choice::Kind::deliver:
            return messages_[choice.which].name;
        case Choice::Kind::lose_request:
            return messages_[choice.which].name + " (lost)";
        case Choice::Kind::lose_reply:
            return messages_[choice.which].name + " (reply lost)";
        case Choice::Kind::end_write:
            return address_of(choice.which) + "'s disk has what was written";
        case Choice::Kind::wake:
            return address_of(choice.which) + " tries again";
        case Choice::Kind::restart:
            return address_of(choice.which) + " restarts";
        case Choice::Kind::restart_written:
            return address_of(choice.which) + " restarts and finds what was being written";
        case Choice::Kind::wipe:
            return address_of(choice.which) + " is wiped";
    }
    return {};
}

void WalkWorld::take(const Choice& choice) {
    switch (choice.kind) {
        case Choice::Kind::begin:
            begun_[choice.which] = true;
            begin(choice.which);
            break;
        case Choice::Kind::deliver:
        case Choice::Kind::lose_request:
        case Choice::Kind::lose_reply: {
            const Message message = std::move(messages_[choice.which]);
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(choice.which));
            if (choice.kind != Choice::Kind::deliver) --left_.lost;
            if (choice.kind != Choice::Kind::lose_request)
                deliver(message, choice.kind == Choice::Kind::deliver);
            if (choice.kind == Choice::Kind::deliver) break;
            remember(message, 1);
            if (message.replied) message.replied(std::nullopt);
            if (message.shared) message.shared(std::nullopt);
            break;
        }
        case Choice::Kind::end_write:
            end_write(choice.which);
            break;
        case Choice::Kind::wake: {
            Process& process = *processes_[choice.which];
            --left_.wake_ups;
            process.history = mix(process.history, 77);
            const auto act = std::move(process.pauses.front());
            process.pauses.pop_front();
            act();
            break;
        }
        case Choice::Kind::restart_written:
            put_on_disk(choice.which, processes_[choice.which]->writing);
            [[fallthrough]];
        case Choice::Kind::restart:
            --left_.restarts;
            boot(choice.which);
            break;
        case Choice::Kind::wipe: {
            --left_.wipes;
            Process& process = *processes_[choice.which];
            if (!options_.faults.identity_survives_wipe) process.identity = ++identities_;
            process.disk.emplace(process.identity);
            boot(choice.which);
        }
    }
    run_local();
    look_at_acceptors();
}

void WalkWorld::run_local() {
    for (bool any = true; any;) {
        any = false;
        for (const auto& process : processes_) {
            if (process->local.empty()) continue;
            const auto act = std::move(process->local.front());
            process->local.pop_front();
            act();
            any = true;
        }
    }
}

void WalkWorld::deliver(const Message& message, bool reply_arrives) {
    Process& target = *processes_[message.to];
    const bool heard = reply_arrives && processes_[message.from]->life == message.life;
    if (message.share) {
        if (message.share->__isset.value) target.replica->learn(message.share->value);
        wire::ShareReply reply;
        reply.who = target.replica->self();
        if (!heard) return;
        remember(message, 2);
        message.shared(reply);
        return;
    }
    if (options_.slow_disks) target.unanswered.push_back(message.key);
    const std::uint64_t life = target.life;
    target.replica->handle(
        *message.request, [this, message, heard, life](std::optional<wire::AcceptorReply> reply) {
            Process& answering = *processes_[message.to];
            if (answering.life == life) std::erase(answering.unanswered, message.key);
            if (reply && options_.faults.seals_ignored) reply->entry.seal.clear();
            if (!heard || processes_[message.from]->life != message.life) return;
            if (awaited(message)) remember(message, mix(3, reply ? rpc::encode_body(*reply) : std::string()));
            message.replied(std::move(reply));
        });
}

void WalkWorld::begin(std::size_t index) {
    const WalkOptions::Operation& operation = options_.operations[index];
    Process& process = *processes_[operation.process];
    process.history = mix(process.history, 100 + index);
    const History floor = checker_.floor();
    const std::string by = std::string("operation ").append(std::to_string(index));
    const int number = static_cast<int>(index) + 1;
    using Kind = WalkOptions::Operation::Kind;
    switch (operation.kind) {
        case Kind::change:
        case Kind::declining_change: {
            const bool declining = operation.kind == Kind::declining_change;
            process.proposer->change(
                [number, declining](const wire::RegisterState& state) -> std::optional<wire::RegisterState> {
                    if (declining && state.sequence > 0) return std::nullopt;
                    wire::RegisterState next = state;
                    next.configuration += std::to_string(number) + ",";
                    return next;
                },
                kNoEnd,
                [this, floor, by, number](RegisterResult<wire::RegisterState> result) {
                    if (result) {
                        checker_.told(floor, result.value(), by);
                        checker_.acknowledged(number, result.value());
                    } else if (result.error().failure != RegisterFailure::no_majority) {
                        checker_.refused(number);
                    }
                });
            break;
        }
        case Kind::read:
            process.reader->read(kNoEnd, [this, floor, by](RegisterResult<wire::RegisterState> result) {
                if (result) checker_.told(floor, result.value(), by);
            });
            break;
        case Kind::seal:
            process.proposer->seal([next = acceptors(operation.next)] { return next; }, kNoEnd);
            break;
        case Kind::switch_without_seal: {
            // The planted fault: the next epoch begins with what one process knows, and no round is run.
            wire::Entry entry = process.replica->known().entry;
            entry.seal = acceptors(operation.next);
            process.replica->learn(after_seal(process.replica->known().epoch, entry));
        }
    }
}

// What a majority of an epoch has accepted under one ballot is chosen, whether any process knows it or not.
void WalkWorld::look_at_acceptors() {
    for (const auto& process : processes_) {
        const Acceptor& acceptor = process->replica->acceptor();
        if (!acceptor.votes() || acceptor.accepted().round == 0) continue;
        const wire::ChosenValue& epoch = acceptor.installed();
        const std::string vote = std::to_string(epoch.epoch) + "/" +
                                 std::to_string(acceptor.accepted().round) + "/" +
                                 std::to_string(acceptor.accepted().proposer) + "/";
        if (!accepted_.insert(vote + std::to_string(acceptor.identity())).second) continue;
        const auto votes = static_cast<std::size_t>(
            std::count_if(epoch.acceptors.begin(), epoch.acceptors.end(), [&](const wire::Acceptor& one) {
                return accepted_.count(vote + std::to_string(one.identity)) != 0;
            }));
        if (votes == majority(epoch.acceptors.size())) checker_.chosen(acceptor.entry().state);
    }
}

std::uint64_t WalkWorld::fingerprint() const {
    std::uint64_t sum = 1;
    for (const auto& process : processes_) {
        sum = mix(sum, static_cast<std::uint64_t>(process->identity));
        sum = mix(sum, process->life);
        sum = mix(sum, process->history);
        sum = mix(sum, process->pauses.size());
        for (const std::uint64_t key : process->unanswered) sum = mix(sum, key);
        for (const wire::AcceptorRecord& record : process->writing) sum = mix(sum, rpc::encode_body(record));
        sum = mix(sum, rpc::encode_body(process->disk->snapshot()));
        sum = mix(sum, rpc::encode_body(process->replica->acceptor().snapshot()));
        sum = mix(sum, rpc::encode_body(process->replica->known()));
    }
    std::vector<std::uint64_t> pending;
    for (const Message& message : messages_)
        pending.push_back(mix(mix(message.from * 8 + message.to, message.life), message.key));
    std::sort(pending.begin(), pending.end());
    for (const std::uint64_t one : pending) sum = mix(sum, one);
    for (const bool begun : begun_) sum = mix(sum, begun ? 2 : 1);
    for (const int left : {left_.lost, left_.restarts, left_.wipes, left_.wake_ups})
        sum = mix(sum, static_cast<std::uint64_t>(left));
    for (const std::string& vote : accepted_) sum = mix(sum, vote);
    return mix(mix(sum, checker_.line()), checker_.floor());
}

// ---- The walk -------------------------------------------------------------------------------------------

namespace {

class Walker {
public:
    Walker(const WalkOptions& options, std::size_t most_worlds)
        : options_(options), most_worlds_(most_worlds) {}

    WalkResult run() {
        explore(std::make_unique<WalkWorld>(options_));
        return std::move(result_);
    }

private:
    // Worlds can't be copied: each choice but the last is played on one that has walked the same path again.
    void explore(std::unique_ptr<WalkWorld> world) {
        if (!result_.complaint.empty() || !result_.whole) return;
        if (!world->complaints().empty()) {
            result_.complaint = world->complaints().front() + "\n" + story();
            return;
        }
        if (!seen_.insert(world->fingerprint()).second) return;
        ++result_.worlds;
        result_.longest = std::max(result_.longest, path_.size());
        if (result_.worlds >= most_worlds_) {
            result_.whole = false;
            return;
        }
        const std::vector<WalkWorld::Choice> choices = world->choices();
        for (std::size_t at = 0; at < choices.size(); ++at) {
            std::unique_ptr<WalkWorld> next = at + 1 == choices.size() ? std::move(world) : again();
            next->take(choices[at]);
            path_.push_back(choices[at]);
            explore(std::move(next));
            path_.pop_back();
        }
    }
    std::unique_ptr<WalkWorld> again() const {
        auto world = std::make_unique<WalkWorld>(options_);
        for (const WalkWorld::Choice& choice : path_) world->take(choice);
        return world;
    }
    std::string story() const {
        WalkWorld world(options_);
        std::string text;
        for (const WalkWorld::Choice& choice : path_) {
            text += "  " + world.name(choice) + "\n";
            world.take(choice);
        }
        return text;
    }

    const WalkOptions& options_;
    std::size_t most_worlds_;
    std::vector<WalkWorld::Choice> path_;
    std::unordered_set<std::uint64_t> seen_;
    WalkResult result_;
};

}  // namespace

WalkResult walk(const WalkOptions& options, std::size_t most_worlds) {
    return Walker(options, most_worlds).run();
}

}  // namespace whinledge::consensus::test
