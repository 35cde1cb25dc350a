// Random days on which storage machines are killed and frozen whatever else is down, and disks are lost one
// at a time: a machine whose disk was lost has run for `syncS` before the next one goes, and so has the
// machine whose disk goes, as nobody else need have what it alone has. Programs go on from their own and
// others' turns. No turn is denied, and in the end every turn is there with its chain.
//
// A range of seeds: OVERLAPPING_LOSSES=1-1000 whinledge_storage_tests --gtest_filter='OverlappingLosses.*'
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "hard_case.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr double kDayMs = 45'000;
constexpr double kSyncMs = 4100;        // `guarantees.syncS`
constexpr double kRecoveryMs = 12'000;  // `guarantees.recoveryS`, after all are back
constexpr double kKeptMs = kKeepForS * 1000.0;
constexpr double kTurnEveryMs = 120;
constexpr double kAskEveryMs = 150;
constexpr double kLastingMs = 15'000;  // of a freeze, at the most
constexpr std::size_t kMostComplaints = 3;

class LossDay {
public:
    explicit LossDay(std::uint64_t seed) : test_(seed, options(seed)) {
        test_.found();
        for (int i = 0; i < 4; ++i) edges_.push_back(&test_.edge(std::string(1, static_cast<char>('a' + i))));
        for (const auto& machine : test_.cluster.machines) up_since_[machine.get()] = now();
    }

    // What was broken.
    std::vector<std::string> play() {
        write();
        ask();
        strike();
        test_.cluster.time.run_until(now() + kDayMs);
        over_ = true;
        test_.run(kLastingMs);
        bring_back();
        test_.run(kRecoveryMs);
        for (const auto& [turn, ended_ms] : whole_)
            if (now() - ended_ms < kKeptMs - kTurnMs) expect_served(turn);
        return complaints_;
    }
    int disks_lost() const { return disks_lost_; }

private:
    static ClusterOptions options(std::uint64_t seed) {
        ClusterOptions options;
        options.machines = seed % 3 == 0 ? 5 : 4;
        return options;
    }

    Cluster& cluster() { return test_.cluster; }
    double now() { return test_.cluster.time.now(); }
    bool chance(double share) { return cluster().between(0, 1) < share; }
    template <class Value, std::size_t Size>
    Value any_of(const Value (&values)[Size]) {
        return values[static_cast<std::size_t>(cluster().pick(0, Size - 1))];
    }
    Machine& any_machine() {
        return test_.machine(
            static_cast<std::size_t>(cluster().pick(0, static_cast<int>(cluster().machines.size()) - 1)));
    }
    ClusterEdge& any_edge() { return *edges_[static_cast<std::size_t>(cluster().pick(0, 3))]; }
    void complain(std::string what) {
        if (complaints_.size() < kMostComplaints) complaints_.push_back(std::move(what));
    }

    // ---- Programs

    // A turn that may still be continued; empty: none.
    std::string young_turn() {
        if (whole_.empty()) return "";
        auto turn = whole_.begin();
        std::advance(turn, cluster().pick(0, static_cast<int>(whole_.size()) - 1));
        return now() - turn->second < kKeptMs - 2 * kTurnMs ? turn->first : "";
    }

    void write() {
        if (over_) return;
        cluster().time.after(kTurnEveryMs, [this] { write(); });
        const std::string id = "turn-" + std::to_string(++turns_);
        TurnStart start = test_.start(id, chance(0.4) ? young_turn() : "", 10'000, 20);
        start.program = chance(0.5) && !start.previous.empty() ? program_of_[start.previous] : "of " + id;
        ClusterEdge& edge = any_edge();
        edge.begin(start, kTurnMs, [this, start, &edge](const BegunTurn& begun) {
            judge(start.previous, begun.status);
            if (begun.status != BeginStatus::ok) return;
            TurnEnd end = test_.whole_turn(start.turn, start.previous);
            end.program = end.record.program = start.program;
            end.record.ended_ms = static_cast<std::int64_t>(1.8e12 + now());
            edge.end(end, kTurnMs, [this, start](bool durable) {
                if (!durable) return;
                whole_[start.turn] = now();
                program_of_[start.turn] = start.program;
            });
        });
    }

    void ask() {
        if (over_) return;
        cluster().time.after(kAskEveryMs, [this] { ask(); });
        const std::string turn = young_turn();
        if (turn.empty()) return;
        TurnStart start = test_.start("ask-" + std::to_string(++turns_), turn);
        start.program = "of " + start.turn;
        any_edge().begin(start, kTurnMs, [this, turn](const BegunTurn& begun) { judge(turn, begun.status); });
    }

    void judge(const std::string& previous, BeginStatus status) {
        if (previous.empty() || status != BeginStatus::no_such_turn) return;
        const double age_ms = now() - whole_[previous];
        if (age_ms < kKeptMs)
            complain(previous + ", " + std::to_string(age_ms) + " ms old, is denied at " +
                     std::to_string(now()));
    }

    void expect_served(const std::string& turn) {
        const auto outcome = test_.begins(any_edge(), test_.start("read " + turn, turn));
        for (double ms = 0; ms < kTurnMs && !*outcome; ms += 20) test_.run(20);
        const auto status = *outcome ? (*outcome)->status : BeginStatus::unavailable;
        if (status != BeginStatus::ok)
            complain(turn + " is not served in the end: " + std::to_string(static_cast<int>(status)));
    }

    // ---- Losses

    bool has_synced(const Machine& machine) {
        return machine.up && !machine.frozen && now() - up_since_[&machine] > kSyncMs;
    }
    bool may_lose_disk() {
        std::erase_if(new_disks_, [&](const Machine* machine) { return has_synced(*machine); });
        return new_disks_.empty();
    }

    void strike() {
        if (over_) return;
        static constexpr double kPauseMs[] = {300, 1000, 3000};
        cluster().time.after(any_of(kPauseMs), [this] { strike(); });
        const double kind = cluster().between(0, 1);
        if (kind < 0.25) return freeze_some();
        if (kind < 0.45) return kill_some();
        if (kind < 0.55) return kill_all();
        lose_disk();
    }

    void freeze_some() {
        static constexpr double kForMs[] = {2000, 9000, kLastingMs};
        const double for_ms = any_of(kForMs);
        for (int i = chance(0.6) ? 2 : 1; i > 0; --i) freeze(any_machine(), for_ms);
    }
    void kill_some() {
        static constexpr double kForMs[] = {500, 5000, 12'000};
        const double for_ms = any_of(kForMs);
        for (int i = chance(0.6) ? 2 : 1; i > 0; --i) kill(any_machine(), for_ms);
    }
    void kill_all() {
        for (const auto& machine : cluster().machines) kill(*machine, 500);
    }
    void lose_disk() {
        std::vector<Machine*> machines;
        for (const auto& machine : cluster().machines)
            if (has_synced(*machine)) machines.push_back(machine.get());
        if (!may_lose_disk() || machines.empty()) return;
        Machine& machine =
            *machines[static_cast<std::size_t>(cluster().pick(0, static_cast<int>(machines.size()) - 1))];
        ++disks_lost_;
        new_disks_.push_back(&machine);
        cluster().wipe(machine);
        if (chance(0.3)) kill_all();
        if (chance(0.3)) kill(any_machine(), 1000);
        cluster().time.after(1000, [this, &machine] { start(machine); });
    }

    void freeze(Machine& machine, double for_ms) {
        if (!machine.up || machine.frozen) return;
        machine.frozen = true;
        cluster().time.after(for_ms, [this, &machine, life = machine.life] {
            if (machine.life == life) thaw(machine);
        });
    }
    void thaw(Machine& machine) {
        machine.frozen = false;
        up_since_[&machine] = now();
    }
    void kill(Machine& machine, double for_ms) {
        if (!machine.up) return;
        cluster().kill(machine);
        cluster().time.after(for_ms, [this, &machine] { start(machine); });
    }
    void start(Machine& machine) {
        if (machine.up) return;
        cluster().start(machine);
        up_since_[&machine] = now();
    }
    void bring_back() {
        for (const auto& machine : cluster().machines) {
            if (machine->frozen) thaw(*machine);
            start(*machine);
        }
    }

    HardCase test_;
    std::vector<ClusterEdge*> edges_;
    std::map<std::string, double> whole_;  // when each turn's end was durable
    std::map<std::string, std::string> program_of_;
    std::map<const Machine*, double> up_since_;
    std::vector<const Machine*> new_disks_;  // of machines that have not run for `syncS` since
    std::vector<std::string> complaints_;
    int turns_ = 0, disks_lost_ = 0;
    bool over_ = false;
};

TEST(OverlappingLosses, LoseNoTurn) {
    std::uint64_t first = 1, last = 40;
    const char* const range = std::getenv("OVERLAPPING_LOSSES");
    if (range && std::sscanf(range, "%lu-%lu", &first, &last) != 2) FAIL() << "FIRST-LAST";
    int failed = 0, disks = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        LossDay day(seed);
        const std::vector<std::string> complaints = day.play();
        disks += day.disks_lost();
        failed += !complaints.empty();
        for (const std::string& complaint : complaints) ADD_FAILURE() << "seed " << seed << ": " << complaint;
    }
    std::printf("%lu days, %d disks lost, %d days failed\n", last - first + 1, disks, failed);
    EXPECT_GT(disks, 0);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
