// Days of a simulated storage plane, each from a seed: programs of turns through several edges, while
// machines lose power, processes and disks, are cut off, retire and are replaced, one lost machine at a time.
// A checker sees only what clients see: an acknowledged turn never answers "no such turn", a chain is whole
// and right, no program gets more than its budget and one turn, and none begins a turn that its budget does
// not hold, however long it kept away within keepForS.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "storage_cluster.hpp"

namespace whinledge::storage_plane::test {

struct DayOptions {
    ClusterOptions cluster;
    bool faults = true;
    bool retires = false;
    bool all_lose_power = true;
    bool clocks_step = true;
    bool late_until_end = true;  // messages are late also while all is read in the end
    double length_ms = 15000;
    double sync_ms = 4100;  // a machine counts as lost for so long after its return
    int programs = 6;
    int limited_every = 3;  // one program of so many has a budget that it spends
    int lines = 2;          // of turns in each program, at the same time
    int keep_for_s = 60;
    bool planted_vote_when_empty = false;
    bool planted_no_sync = false;
    double planted_clock_rate = 1;
    LedgerSpread::Planted planted_ledgers;
    int faults_at_once = 1;    // lines of faults, each one machine at a time
    bool freezes = false;      // machines, for up to ten seconds
    bool edges_crash = false;  // one after the other
    // A program that has spent its budget keeps away now and then until its time is nearly over.
    bool spent_keep_away = false;
    std::function<void(TurnQuorumOptions&)> plant = [](TurnQuorumOptions&) {};
};

struct DayResult {
    std::vector<std::string> broken;
    int acknowledged = 0, refused_402 = 0, unavailable = 0, wipes = 0, losses = 0, blackouts = 0,
        retirements = 0, not_durable = 0;
    std::uint64_t conflicts = 0;
    int starts_by_snapshot = 0;
    int most_held = 0;    // turns and programs by one machine when all is over
    bool usual = true;    // the seeds that CI plays, which are enough to see each kind of fault
    int returns = 0;      // of programs without budget, after most of keepForS
    int asked_again = 0;  // in the end, as messages were late
};

class Day {
public:
    Day(std::uint64_t seed, DayOptions options) : options_(options), cluster_(seed, options.cluster) {}

    DayResult play() {
        cluster_.planted_vote_when_empty = options_.planted_vote_when_empty;
        cluster_.planted_no_sync = options_.planted_no_sync;
        cluster_.planted_clock_rate = options_.planted_clock_rate;
        cluster_.planted_ledgers = options_.planted_ledgers;
        cluster_.on_map = [this](const wire::StorageMap& map) {
            for (const auto& edge : edges_)
                cluster_.time.after(cluster_.between(5, 300), [edge, map] { edge->set_map(map); });
        };
        cluster_.found();
        // The first two keep nothing, so that chains are read at the members.
        for (int i = 0; i < 3; ++i) edges_.push_back(new_edge(i));
        if (options_.edges_crash) cluster_.time.after(cluster_.between(500, 1500), [this] { crash_edge(); });
        for (int i = 0; i < options_.programs; ++i) {
            programs_.push_back({});
            programs_.back().name = std::string("program-").append(std::to_string(i));
            programs_.back().budget = i % options_.limited_every == 0 ? cluster_.pick(200, 600) : 1'000'000;
            for (int line = 0; line < options_.lines; ++line)
                cluster_.time.after(cluster_.between(300, 900), [this, i] { next_turn(i); });
        }
        for (int line = 0; options_.faults && line < options_.faults_at_once; ++line)
            cluster_.time.after(cluster_.between(1000, 2000), [this] { fault(); });
        if (options_.retires) cluster_.time.after(cluster_.between(2000, 5000), [this] { retire(); });
        cluster_.time.run_until(options_.length_ms);
        traffic_ends_ = true;
        faults_end_ = true;
        if (!options_.late_until_end) cluster_.end_late_messages();
        if (options_.spent_keep_away) all_come_back();
        cluster_.time.run_until(options_.length_ms + 25000);
        result_.starts_by_snapshot = cluster_.starts_by_snapshot;
        for (const auto& machine : cluster_.machines)
            if (machine->up) result_.most_held = std::max(result_.most_held, items(*machine));
        check_at_end();
        return result_;
    }

private:
    struct Turn {
        std::string id, parent, input, output;
        double ended_ms = 0;  // acknowledged
    };
    struct Program {
        std::string name;
        std::int64_t budget = 0;
        std::int64_t handed = 0;  // to clients
        std::map<std::string, Turn> turns;
        std::vector<std::string> acknowledged;
        bool ended = false;
        // What a majority has written of it last it had written after this: the end of an answer, or the
        // sending of a turn that was begun or refused for its budget.
        double written_ms = 0;
        double away_until_ms = 0;

        // By the reservation of each turn at its most, and what it settles to, what was handed out at least
        // is counted.
        bool holds_one_more() const { return handed + kMost <= budget; }
    };
    static constexpr std::int64_t kMost = 40;
    static constexpr int kAsksWhileLate = 3;
    static constexpr double kAskTimeoutMs = 2000;
    static constexpr double kAskMs = 3000;  // within which each ask has its outcome

    static int items(const Machine& machine) {
        const TurnStore& held = machine.process->index();
        return static_cast<int>(held.turns().size() + held.programs().size());
    }
    double time_over_ms(const Program& program) const {
        return program.written_ms + options_.keep_for_s * 1000.0;
    }

    void breaks(const std::string& what) {
        std::ostringstream line;
        line << what << " at " << cluster_.time.now() << " ms";
        result_.broken.push_back(line.str());
    }

    std::shared_ptr<ClusterEdge> new_edge(int index) {
        TurnQuorumOptions quorum =
            ClusterEdge::options(std::string(1, static_cast<char>('a' + index)), options_.cluster.survive);
        options_.plant(quorum);
        return std::make_shared<ClusterEdge>(cluster_, index < 2 ? 1 : 1U << 20, std::move(quorum));
    }

    void crash_edge() {
        if (faults_end_) return;
        const int index = cluster_.pick(0, 2);
        auto& edge = edges_[static_cast<std::size_t>(index)];
        edge->crash();
        edge = new_edge(index);
        edge->set_map(cluster_.map);
        cluster_.time.after(cluster_.between(200, 1500), [this] { crash_edge(); });
    }

    // A client whose edge has ended hears nothing more of its turn, and goes on.
    std::shared_ptr<bool> awaited(int index, double timeout_ms) {
        auto answered = std::make_shared<bool>(false);
        if (options_.edges_crash)
            cluster_.time.after(timeout_ms + 200, [this, index, answered] {
                if (!*answered) next_turn(index);
            });
        return answered;
    }

    std::shared_ptr<ClusterEdge> any_edge() { return edges_[static_cast<std::size_t>(cluster_.pick(0, 2))]; }

    void next_turn(int index) {
        Program& program = programs_[static_cast<std::size_t>(index)];
        if (traffic_ends_ || program.ended) return;
        if (cluster_.time.now() < program.away_until_ms)
            return cluster_.time.at(program.away_until_ms, [this, index] { next_turn(index); });
        TurnStart start;
        start.program = program.name;
        start.turn = std::string("turn-").append(std::to_string(++last_turn_));
        start.budget = program.budget;
        start.most = kMost;
        start.keep_for_s = options_.keep_for_s;
        if (!program.acknowledged.empty() && cluster_.pick(0, 9) > 0) {
            const std::size_t back = static_cast<std::size_t>(cluster_.pick(0, 3));
            const std::size_t size = program.acknowledged.size();
            start.previous = program.acknowledged[size - 1 - std::min(back, size - 1)];
        }
        const auto edge = any_edge();
        edge->begin(start, 2000,
                    [this, index, start, edge, sent_ms = cluster_.time.now(),
                     answered = awaited(index, 2000)](BegunTurn begun) {
                        *answered = true;
                        if (begun.status == BeginStatus::ok || begun.status == BeginStatus::budget_spent)
                            written(programs_[static_cast<std::size_t>(index)], sent_ms);
                        begun_turn(index, start, edge, begun);
                    });
    }

    static void written(Program& program, double after_ms) {
        program.written_ms = std::max(program.written_ms, after_ms);
    }

    // One time in three, until it is nearly too late to come back.
    void keep_away(Program& program) {
        if (!options_.spent_keep_away || cluster_.pick(0, 2) > 0) return;
        ++result_.returns;
        program.away_until_ms = time_over_ms(program) - cluster_.between(50, 1000);
    }

    void begun_turn(int index, const TurnStart& start, const std::shared_ptr<ClusterEdge>& edge,
                    const BegunTurn& begun) {
        Program& program = programs_[static_cast<std::size_t>(index)];
        switch (begun.status) {
            case BeginStatus::no_such_turn:
                if (kept(program, start.previous))
                    breaks(start.previous + " was acknowledged, and is said not to be");
                break;
            case BeginStatus::budget_spent:
                ++result_.refused_402;
                keep_away(program);
                break;
            case BeginStatus::unavailable:
                ++result_.unavailable;
                break;
            case BeginStatus::ok: {
                check_chain(program, start.previous, begun.chain);
                run_turn(index, start, edge);
                return;
            }
        }
        cluster_.time.after(cluster_.between(50, 400), [this, index] { next_turn(index); });
    }

    bool kept(const Program& program, const std::string& id) const {
        const auto turn = program.turns.find(id);
        return turn != program.turns.end() && turn->second.ended_ms > 0 &&
               cluster_.time.now() - turn->second.ended_ms < options_.keep_for_s * 1000.0 + 300;
    }

    void check_chain(const Program& program, const std::string& previous,
                     const std::vector<wire::TurnRecord>& chain) {
        std::vector<std::string> expected;
        for (std::string id = previous; !id.empty();) {
            const auto turn = program.turns.find(id);
            if (turn == program.turns.end()) break;
            expected.insert(expected.begin(), id);
            id = turn->second.parent;
        }
        bool right = expected.size() == chain.size();
        for (std::size_t i = 0; right && i < chain.size(); ++i) {
            const Turn& turn = program.turns.at(expected[i]);
            right = chain[i].id == turn.id && chain[i].input == turn.input && chain[i].output == turn.output;
        }
        if (!right)
            breaks("the chain of " + previous + " has " + std::to_string(chain.size()) +
                   " turns and not its " + std::to_string(expected.size()));
    }

    void run_turn(int index, const TurnStart& start, const std::shared_ptr<ClusterEdge>& edge) {
        Program& program = programs_[static_cast<std::size_t>(index)];
        Turn turn;
        turn.id = start.turn;
        turn.parent = start.previous;
        turn.input = "in " + start.turn + std::string(static_cast<std::size_t>(cluster_.pick(0, 1500)), 'i');
        turn.output = "out " + start.turn + "\n" +
                      std::string(static_cast<std::size_t>(cluster_.pick(0, 1500)), 'o') + "\n";
        const std::int64_t tokens = cluster_.pick(1, kMost);
        if (!program.holds_one_more()) breaks(program.name + " has spent its budget, and goes on");
        program.handed += tokens;
        if (program.handed > program.budget + kMost)
            breaks(program.name + " was handed " + std::to_string(program.handed) + " of " +
                   std::to_string(program.budget));
        program.turns[turn.id] = turn;
        cluster_.time.after(cluster_.between(5, 150), [this, index, start, edge, turn, tokens] {
            TurnEnd end;
            end.program = start.program;
            end.turn = start.turn;
            end.tokens = tokens;
            end.whole = true;
            end.keep_for_s = options_.keep_for_s;
            end.record.id = turn.id;
            end.record.parent = turn.parent;
            end.record.program = start.program;
            end.record.input = turn.input;
            end.record.output = turn.output;
            end.record.ended_ms = static_cast<std::int64_t>(1.8e12 + cluster_.time.now());
            end.record.keep_for_s = options_.keep_for_s;
            edge->end(end, 3000,
                      [this, index, id = turn.id, ended_ms = cluster_.time.now(),
                       answered = awaited(index, 3000)](bool durable) {
                          *answered = true;
                          Program& ended = programs_[static_cast<std::size_t>(index)];
                          if (durable) {
                              ++result_.acknowledged;
                              written(ended, ended_ms);
                              ended.turns[id].ended_ms = cluster_.time.now();
                              ended.acknowledged.push_back(id);
                          } else {
                              ++result_.not_durable;
                          }
                          cluster_.time.after(cluster_.between(5, 200), [this, index] { next_turn(index); });
                      });
        });
    }

    // ---- Faults

    Machine& any_machine() {
        for (;;) {
            Machine& machine = *cluster_.machines[static_cast<std::size_t>(
                cluster_.pick(0, static_cast<int>(cluster_.machines.size()) - 1))];
            if (!machine.gone) return machine;
        }
    }

    void fault() {
        if (faults_end_) return;
        Machine& machine = any_machine();
        const auto returns = [this, &machine](double down_ms) {
            cluster_.time.after(down_ms, [this, &machine] {
                machine.cut = false;
                if (options_.clocks_step && cluster_.pick(0, 3) == 0)
                    machine.clock_off_ms = cluster_.between(-4000, 4000);
                cluster_.start(machine);
                cluster_.time.after(options_.sync_ms, [this] { fault(); });
            });
        };
        ++result_.losses;
        if (options_.freezes && cluster_.pick(0, 2) == 0) {
            machine.frozen = true;
            const double frozen_ms = cluster_.between(100, 10000);
            cluster_.time.after(frozen_ms, [&machine] { machine.frozen = false; });
            return returns(frozen_ms);
        }
        switch (cluster_.pick(0, options_.all_lose_power ? 8 : 6)) {
            case 0:
                cluster_.kill(machine);
                return returns(cluster_.between(100, 1000));
            case 1:
                cluster_.lose_power(machine);
                return returns(cluster_.between(100, 3000));
            case 2:
            case 3:
                ++result_.wipes;
                cluster_.wipe(machine);
                return returns(cluster_.between(100, 2500));
            case 4:
                machine.cut = true;
                return returns(cluster_.between(100, 3000));
            case 5:  // in the middle of a write; it comes back by itself
                machine.disk.power_goes_at =
                    machine.disk.operations + static_cast<std::uint64_t>(cluster_.pick(0, 5));
                cluster_.time.after(1500, [this, &machine] {
                    if (machine.up) machine.disk.recover();
                    cluster_.time.after(2000 + options_.sync_ms, [this] { fault(); });
                });
                return;
            case 6:  // a write or sync of its disk fails, several times perhaps
                for (int i = cluster_.pick(1, 4); i > 0; --i)
                    cluster_.time.after(cluster_.between(0, 800), [this, &machine] {
                        machine.disk.fails_with = cluster_.pick(0, 1) == 0 ? DiskFault::io : DiskFault::full;
                        machine.disk.fails_at =
                            machine.disk.operations + static_cast<std::uint64_t>(cluster_.pick(0, 3));
                    });
                return returns(1500);
            default:  // everybody's power; one loses its disk as well, perhaps
                ++result_.blackouts;
                const bool one_wiped = cluster_.pick(0, 1) == 0;
                for (const auto& each : cluster_.machines) {
                    if (each->gone) continue;
                    if (one_wiped && each.get() == &machine)
                        cluster_.wipe(*each);
                    else
                        cluster_.lose_power(*each);
                    if (each.get() == &machine) continue;
                    cluster_.time.after(cluster_.between(100, 1500),
                                        [this, &each = *each] { cluster_.start(each); });
                }
                return returns(cluster_.between(100, 1500));
        }
    }

    void retire() {
        if (faults_end_) return;
        Machine& machine = any_machine();
        const wire::StorageMember* member = storage_map::find_member(cluster_.map, machine.identity);
        std::size_t members = 0;
        for (const wire::StorageMember& each : cluster_.map.members)
            members += each.state == wire::StorageState::member;
        if (member && member->state == wire::StorageState::member && members > 3) {
            ++result_.retirements;
            cluster_.retire(machine);
            cluster_.add(machine.zone);
        }
        cluster_.time.after(6000, [this] { retire(); });
    }

    // ---- At the end, with all machines back

    // Nothing was written for a while: what two members should both hold is the same.
    void check_digests() {
        for (const auto& one : cluster_.machines) {
            for (const auto& other : cluster_.machines) {
                if (!one->up || !other->up || one == other) continue;
                const auto mine = one->process->shared_digests(other->identity, 64);
                const auto theirs = other->process->shared_digests(one->identity, 64);
                if (mine != theirs)
                    breaks(one->node + " and " + other->node + " differ in what both should hold");
            }
        }
    }

    void check_at_end() {
        if (!cluster_.settled()) breaks("the members have not come to rest");
        check_digests();
        for (const auto& machine : cluster_.machines)
            if (machine->up) result_.conflicts += machine->process->counts().conflicts;
        const std::size_t copies = options_.cluster.survive.copies();
        int unread = 0;
        for (Program& program : programs_) {
            for (const std::string& id : program.acknowledged) {
                if (!kept(program, id)) continue;
                if (cluster_.zones_with(id).size() < copies)
                    breaks(id + " has copies in " + std::to_string(cluster_.zones_with(id).size()) +
                           " zones");
                TurnStart start;
                start.program = "reader of " + id;
                start.turn = "reader-" + id;
                start.previous = id;
                start.keep_for_s = options_.keep_for_s;
                ++unread;
                ask(edges_[0], start, asks_at_end(), [&, id](const BegunTurn& begun) {
                    --unread;
                    if (begun.status != BeginStatus::ok) return breaks(id + " can't be read at the end");
                    check_chain(program, id, begun.chain);
                });
            }
        }
        run_asks([&] { return unread > 0; });
        if (unread > 0) breaks(std::to_string(unread) + " reads had no outcome");
        for (Program& program : programs_)
            if (!program.holds_one_more() && cluster_.time.now() < time_over_ms(program))
                comes_back(program, true);
        run_asks([&] { return untold_ > 0; });
    }

    // As long as asks are open, each for its time.
    void run_asks(const std::function<bool()>& open) {
        for (int asks = asks_at_end(); asks > 0; --asks) {
            cluster_.time.run_until(cluster_.time.now() + kAskMs);
            if (!open()) return;
        }
    }

    // Where messages are late while all is asked once, one of so many asks may find no answer in time: that
    // is said (503), and asking again is the client's part. Anything else counts at once, and so does no
    // answer to the last.
    int asks_at_end() const {
        return options_.cluster.late_share > 0 && options_.late_until_end ? kAsksWhileLate : 1;
    }

    void ask(const std::shared_ptr<ClusterEdge>& edge, const TurnStart& start, int asks,
             const std::function<void(const BegunTurn&)>& told) {
        edge->begin(start, kAskTimeoutMs, [this, edge, start, asks, told](const BegunTurn& begun) {
            if (begun.status != BeginStatus::unavailable || asks <= 1) return told(begun);
            ++result_.asked_again;
            TurnStart again = start;
            again.turn += "-again";
            ask(edge, again, asks - 1, told);
        });
    }

    // ---- Programs without budget that come back in time

    // Each when its time is nearly over, while machines that were lost last may still be on their way back.
    void all_come_back() {
        for (Program& program : programs_) {
            if (program.holds_one_more()) continue;
            const double at_ms = time_over_ms(program) - cluster_.between(50, 500);
            if (at_ms < cluster_.time.now()) continue;
            ++result_.returns;
            cluster_.time.at(at_ms, [this, &program] { comes_back(program, false); });
        }
    }

    // `all_are_here`: no machine is away, so that it is certain what was spent.
    void comes_back(Program& program, bool all_are_here) {
        TurnStart start;
        start.program = program.name;
        start.turn = "late-" + program.name;
        start.budget = program.budget;
        start.most = kMost;
        start.keep_for_s = options_.keep_for_s;
        const int asks = all_are_here ? asks_at_end() : 1;
        ++untold_;
        ask(edges_[1], start, asks, [this, &program, all_are_here](const BegunTurn& begun) {
            --untold_;
            if (begun.status == BeginStatus::ok)
                breaks(program.name + " has spent its budget, and may go on");
            else if (all_are_here && begun.status != BeginStatus::budget_spent)
                breaks(program.name + " has spent its budget, and isn't told");
        });
    }

    DayOptions options_;
    Cluster cluster_;
    std::vector<std::shared_ptr<ClusterEdge>> edges_;
    std::vector<Program> programs_;
    std::uint64_t last_turn_ = 0;
    int untold_ = 0;  // programs that have asked for a turn beyond their budget
    bool traffic_ends_ = false, faults_end_ = false;
    DayResult result_;
};

// Which seeds a run plays. Each kind of day has its first seed and a usual number of seeds, which CI plays.
// For more, in processes beside each other or for a look at a failure:
//   STORAGE_DAYS=100-599   the 101st to the 600th seed of each kind, at most kMostDays at once
//   STORAGE_SEED=6128      this seed alone, of each kind
struct WantedDays {
    bool usual = true;
    std::vector<std::uint64_t> seeds;
};
inline constexpr std::uint64_t kMostDays = 10'000;

// `also`: seeds beyond the usual that have failed once.
inline WantedDays wanted_days(int usual, std::uint64_t first, const std::vector<std::uint64_t>& also) {
    WantedDays wanted;
    const char* const range = std::getenv("STORAGE_DAYS");
    const char* const one = std::getenv("STORAGE_SEED");
    wanted.usual = !range && !one;
    if (one) {
        wanted.seeds = {std::strtoull(one, nullptr, 10)};
        return wanted;
    }
    std::uint64_t from = 0, to = static_cast<std::uint64_t>(usual) - 1;
    if (range) {
        char* end = nullptr;
        from = std::strtoull(range, &end, 10);
        to = *end == '-' ? std::strtoull(end + 1, nullptr, 10) : from;
        if (to < from || to - from >= kMostDays) {
            ADD_FAILURE() << "STORAGE_DAYS is FROM-TO, of no more than " << kMostDays << " days: " << range;
            return wanted;
        }
    }
    for (std::uint64_t day = from; day <= to; ++day) wanted.seeds.push_back(first + day);
    if (wanted.usual) wanted.seeds.insert(wanted.seeds.end(), also.begin(), also.end());
    return wanted;
}

inline DayResult play_seeds(const std::vector<std::uint64_t>& seeds, const DayOptions& options) {
    DayResult sum;
    std::size_t failed = 0;
    for (const std::uint64_t seed : seeds) {
        const DayResult result = Day(seed, options).play();
        for (const std::string& broken : result.broken)
            sum.broken.push_back(std::string("seed ").append(std::to_string(seed)) + ": " + broken);
        failed += !result.broken.empty() || result.conflicts > 0;
        sum.acknowledged += result.acknowledged;
        sum.refused_402 += result.refused_402;
        sum.unavailable += result.unavailable;
        sum.not_durable += result.not_durable;
        sum.wipes += result.wipes;
        sum.losses += result.losses;
        sum.blackouts += result.blackouts;
        sum.retirements += result.retirements;
        sum.returns += result.returns;
        sum.asked_again += result.asked_again;
        sum.conflicts += result.conflicts;
        sum.starts_by_snapshot += result.starts_by_snapshot;
        sum.most_held = std::max(sum.most_held, result.most_held);
    }
    std::cout << "days " << seeds.size() << ", failed " << failed << ", acknowledged " << sum.acknowledged
              << ", not durable " << sum.not_durable << ", 402 " << sum.refused_402 << ", 503 "
              << sum.unavailable << ", losses " << sum.losses << " (wipes " << sum.wipes << ", blackouts "
              << sum.blackouts << "), retirements " << sum.retirements << ", returns " << sum.returns
              << ", asked again " << sum.asked_again << std::endl;
    return sum;
}

// The seeds from `first` on that are wanted of a kind of day, `usual` ones and `also` if no others are asked
// for.
inline DayResult play_all(int usual, std::uint64_t first, const DayOptions& options,
                          const std::vector<std::uint64_t>& also = {}) {
    const WantedDays wanted = wanted_days(usual, first, also);
    DayResult result = play_seeds(wanted.seeds, options);
    result.usual = wanted.usual;
    return result;
}

// Whatever seeds are wanted: of days with a planted fault always the same are played.
inline DayResult play_planted(int days, std::uint64_t first, const DayOptions& options) {
    std::vector<std::uint64_t> seeds;
    for (int day = 0; day < days; ++day) seeds.push_back(first + static_cast<std::uint64_t>(day));
    return play_seeds(seeds, options);
}

inline std::vector<std::string> first_few(std::vector<std::string> lines) {
    if (lines.size() > 12) lines.resize(12);
    return lines;
}

// `result` is worked out once.
#define EXPECT_WHOLE(result)                                                                \
    do {                                                                                    \
        const DayResult& day_result = (result);                                             \
        for (const std::string& line : first_few(day_result.broken)) ADD_FAILURE() << line; \
        EXPECT_EQ(day_result.conflicts, 0u);                                                \
    } while (false)

// Calm days of these machines.
inline void expect_every_turn_served(DayOptions options) {
    options.faults = false;
    const DayResult result = play_all(4, 1, options);
    EXPECT_WHOLE(result);
    EXPECT_EQ(result.not_durable, 0);
    EXPECT_EQ(result.unavailable, 0);
    if (!result.usual) return;
    EXPECT_GT(result.acknowledged, 300);
    EXPECT_GT(result.refused_402, 0);
}

}  // namespace whinledge::storage_plane::test
