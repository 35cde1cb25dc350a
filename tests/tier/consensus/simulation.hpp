// Control processes with simulated network, disks and time, all drawn from one seed, and a checker that looks
// from outside at what they tell.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/register_core.hpp"

namespace whinledge::consensus::test {

// What is broken on purpose, to see that the checker notices.
struct PlantedFaults {
    bool promises_not_synced = false;
    bool accepted_not_synced = false;
    bool replies_before_sync = false;
    bool seals_ignored = false;
    bool identity_survives_wipe = false;
};

// Each change adds its number to the history that the register holds: "3,17,4,".
using History = std::string;

// The rules, seen from outside: all chosen values are on one line; what was acknowledged stays on it, once;
// what was refused never gets on it; who reads sees all that had been told to anybody before.
class Checker {
public:
    void chosen(const wire::RegisterState& state);
    // What an operation that begins now has to see at least.
    History floor() const { return told_; }
    void told(const History& floor, const wire::RegisterState& state, const std::string& by);
    void acknowledged(int change, const wire::RegisterState& state);
    void refused(int change) { refused_.insert(change); }
    // At the end: the register's value, read once all is well.
    void finish(const wire::RegisterState& state);

    void complain(const std::string& what);
    const std::vector<std::string>& complaints() const { return complaints_; }
    const History& line() const { return line_; }
    static bool begins(const History& whole, const History& part) {
        return whole.compare(0, part.size(), part) == 0;
    }
    static bool contains(const History& history, int change);

private:
    History line_;  // the longest chosen so far
    History told_;  // the longest that anybody was told
    std::map<std::int64_t, History> by_sequence_;
    std::set<int> refused_, acknowledged_;
    std::vector<std::string> complaints_;
};

class Simulation {
public:
    struct Network {
        Millis least_delay = 1, most_delay = 20;
        double lost = 0, doubled = 0, very_late = 0;
    };

    Simulation(std::uint64_t seed, std::size_t seeds, std::size_t machines, PlantedFaults faults = {});
    ~Simulation();

    void run_until(Millis time);
    Millis now() const { return now_; }
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }
    bool chance(double share) { return static_cast<double>(random_() >> 11) / 9007199254740992.0 < share; }
    void at(Millis time, std::function<void()> act);

    std::size_t machines() const { return machines_.size(); }
    bool up(std::size_t machine) const { return machines_[machine].core != nullptr; }
    RegisterCore& core(std::size_t machine) { return *machines_[machine].core; }

    // Life of machines. A loss of power at any moment may also hit a write that is under way.
    void start(std::size_t machine, bool first_boot);
    void stop(std::size_t machine);
    void wipe(std::size_t machine);  // stops it as well
    void freeze(std::size_t machine, Millis until) { machines_[machine].frozen_until = until; }
    void fill_disk(std::size_t machine, bool full) { machines_[machine].full = full; }
    // No write of its disk is done before this.
    void hold_disk(std::size_t machine, Millis until) { machines_[machine].held_until = until; }
    Millis most_sync = 0;  // what a write takes
    void crash_at_next_write(std::size_t machine) { machines_[machine].crash_at_write = true; }
    void cut(std::size_t a, std::size_t b, bool cut);
    void cut_one_way(std::size_t from, std::size_t to) { one_way_cuts_.insert({from, to}); }
    // Its acceptor alone says nothing to others.
    void silence_acceptor(std::size_t machine) { silent_acceptors_.insert(machine); }
    void heal();
    Network network;
    ReconfigurationLimits reconfiguration;         // of processes that start from now on
    std::vector<failure_domain::Location> places;  // of the machines; none: each is a zone

    // A majority of the newest acceptors have their disks, and of those that a seal under way names. Looked
    // at from above.
    bool majority_left() const;
    // The disks hold the register even if `machine` loses its own now.
    bool may_lose(std::size_t machine) const;

    // Client calls, looked at by the checker.
    void change(std::size_t machine, Millis timeout, bool declining);
    void read(std::size_t machine, Millis timeout);
    struct Outcomes {
        int acknowledged = 0, read = 0, open = 0, refused = 0;
    };
    const Outcomes& outcomes() const { return outcomes_; }

    // Encoded messages that have come to a machine, and what it answered, since the start.
    bool counts_bytes = false;
    std::uint64_t bytes_at(std::size_t machine) const { return machines_[machine].bytes; }

    Checker checker;
    std::function<void(std::size_t machine, const std::string& text)> on_mark;

private:
    class Host;
    struct Machine {
        std::string address;
        std::int64_t identity = 0;  // of the disk; 0: empty
        bool founder = false;
        std::optional<Acceptor> disk;  // synced
        std::unique_ptr<Host> host;
        std::unique_ptr<RegisterCore> core;
        std::uint64_t life = 0;
        Millis frozen_until = 0;
        std::vector<wire::AcceptorRecord> writing;  // under way
        Millis held_until = 0;
        bool started = false, full = false, crash_at_write = false;
        std::uint64_t bytes = 0;
    };
    struct Event {
        Millis at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    template <class Request, class Reply>
    void carry(std::size_t from, const std::string& address, const Request& request, Millis timeout,
               std::function<void(std::optional<Reply>)> done);
    template <class Message>
    void count_bytes(std::size_t a, std::size_t b, const Message& message);
    // Runs on a machine unless it has died since, later where it is frozen.
    void on_machine(Millis time, std::size_t machine, std::uint64_t life, std::function<void()> act);
    std::optional<Millis> transit(std::size_t from, std::size_t to);
    void persist(std::size_t machine, AcceptorWrite write, std::function<void(bool)> done);
    void end_write(std::size_t machine, const std::function<void(bool)>& done);
    void write_in_part(Machine& where, const std::vector<wire::AcceptorRecord>& records);
    void put_on_disk(Machine& where, const wire::AcceptorRecord& record);
    void mark(std::size_t machine, const std::string& text) {
        if (on_mark && !text.empty()) on_mark(machine, text);
    }
    std::string name(const wire::Ballot& ballot) const;
    std::string refusal(const AcceptorRequest& request,
                        const std::optional<wire::AcceptorReply>& reply) const;
    std::string describe(const wire::AcceptorRecord& record) const;

    std::mt19937_64 random_;
    PlantedFaults faults_;
    std::size_t seeds_;
    std::vector<Machine> machines_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_, one_way_cuts_;
    std::set<std::size_t> silent_acceptors_;
    std::priority_queue<Event> events_;
    std::uint64_t orders_ = 0;
    std::int64_t identities_ = 0, starts_ = 0;
    Millis now_ = 0;
    int changes_ = 0;
    std::map<std::int64_t, std::string> proposers_;
    Outcomes outcomes_;
};

// What a seed plays: a founding, calls of clients all the time, and troubles; at the end all is healed, and
// the register has to be read and changed through each process. Returns the complaints.
struct Day {
    std::vector<std::string> complaints;
    Simulation::Outcomes outcomes;
    std::int64_t epochs = 0;
    std::size_t wipes = 0;
};
Day play_day(std::uint64_t seed, PlantedFaults faults = {});

}  // namespace whinledge::consensus::test
