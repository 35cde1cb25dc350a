// A fleet of memberships on simulated network and time: the objects that the program runs, and their bytes.
// The same options and seed give the same run.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleet/membership.hpp"

namespace whinledge::fleetsim {

using fleet::Key;
using fleet::Millis;

class Fleet {
public:
    struct Options {
        std::size_t members = 10;
        Millis period = 1000;
        double loss = 0;                           // of datagrams, 0 to 1
        Millis least_delay = 0.5, most_delay = 5;  // one way
        std::uint64_t seed = 1;
        Millis start_within = 1000;  // members start evenly spread over so long
        fleet::MembershipTuning tuning = {};
    };
    explicit Fleet(const Options& options);

    // Runs until then.
    void run(Millis until);
    // Runs until it holds, or until then; returns when, if it did.
    std::optional<Millis> run_until(const std::function<bool()>& holds, Millis until, Millis step = 50);
    Millis now() const { return now_; }

    std::size_t size() const { return nodes_.size(); }
    static std::string name(std::size_t i) { return std::string("s").append(std::to_string(i)); }
    Key key(std::size_t i) const { return nodes_[i].key; }
    std::optional<std::size_t> index(Key key) const;

    // ---- Faults
    void kill(std::size_t i);
    // Again from nothing, under its name; `born` by its clock, which may be off.
    void restart(std::size_t i, Millis clock_off = 0);
    void stop(std::size_t i);  // as by SIGSTOP; what comes waits, 256 datagrams at most
    void go_on(std::size_t i);
    void leave(std::size_t i);
    bool up(std::size_t i) const { return nodes_[i].membership != nullptr; }
    fleet::Membership& at(std::size_t i) { return *nodes_[i].membership; }
    const fleet::Membership& at(std::size_t i) const { return *nodes_[i].membership; }
    // Whether datagrams go from one to the other; by default all do.
    std::function<bool(std::size_t from, std::size_t to)> passes;
    // Of each datagram sent: may change or copy it, or hold it back, by sending it itself with deliver().
    std::function<bool(std::size_t from, std::size_t to, const std::vector<std::uint8_t>& bytes)> takes;
    double loss = 0;
    void deliver(std::size_t from, std::size_t to, std::vector<std::uint8_t> bytes, Millis delay);
    void configure(std::size_t i, const std::vector<std::size_t>& members);
    // What that member's actions ask for is carried out.
    void act(std::size_t i, const std::function<void(fleet::Membership&, fleet::FleetActions&)>& what);

    // ---- What is seen
    std::function<void(std::size_t at, const fleet::Changed&)> on_change;
    std::function<void(std::size_t at, const fleet::StandingChanged&)> on_standing;
    struct Counts {
        std::uint64_t datagrams = 0, bytes = 0, lost = 0, unreadable = 0, longest = 0;
        std::uint64_t disputed = 0;
    };
    const Counts& counts() const { return counts_; }
    std::uint64_t sent_by(std::size_t i) const { return nodes_[i].sent; }
    // Whether all that are up (and for which `counted` holds) believe `state` of i.
    bool all_hold(std::size_t i, fleet::State state,
                  const std::function<bool(std::size_t)>& counted = {}) const;
    bool views_equal(const std::function<bool(std::size_t)>& counted = {}) const;
    std::mt19937_64& random() { return random_; }

private:
    struct Node {
        Key key = 0;
        std::unique_ptr<fleet::Membership> membership;
        fleet::Incarnation born = 0;
        bool stopped = false;
        std::deque<std::pair<std::size_t, std::vector<std::uint8_t>>> waiting;
        Millis wakes_at = 1e300;
        std::uint64_t life = 0, sent = 0;
        std::vector<Key> configured;
    };
    struct Happening {
        Millis at;
        std::uint64_t order;
        std::size_t to, from;
        bool tick;
        std::vector<std::uint8_t> bytes;
        bool operator>(const Happening& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    static constexpr Millis kEpoch = 1.7e12;  // Unix time of the fleet's 0

    void start(std::size_t i, Millis clock_off);
    void handle(std::size_t to, std::size_t from, const std::vector<std::uint8_t>& bytes);
    void carry_out(std::size_t i, const fleet::FleetActions& actions);
    void wake(std::size_t i);
    double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

    Options options_;
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::vector<Node> nodes_;
    std::vector<std::pair<Key, std::size_t>> by_key_;
    std::priority_queue<Happening, std::vector<Happening>, std::greater<>> happenings_;
    std::uint64_t next_order_ = 0;
    Counts counts_;
    const std::uint32_t fleet_ = fleet::key_of("simulated");
};

}  // namespace whinledge::fleetsim
