// Limits of many members over a simulated network: the objects that the program runs, and their bytes. The
// same options and seed give the same run.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleet/limits.hpp"

namespace whinledge::fleetsim {

class LimitFleet {
public:
    struct Options {
        std::size_t members = 7;
        fleet::LimitSpec spec;
        fleet::Millis least_delay = 0.5, most_delay = 5;
        double loss = 0;
        std::uint64_t seed = 1;
        bool shared_out = true;  // false: nobody lends, each keeps to its own part
    };
    explicit LimitFleet(const Options& options);

    static std::string name(std::size_t i) { return std::string("s").append(std::to_string(i)); }

    // Requests of each member a second (Poisson); each is open for `open_for` ms, of kind open.
    std::vector<double> demand;
    fleet::Millis open_for = 100;
    std::function<bool(std::size_t from, std::size_t to)> passes;

    void run(fleet::Millis until);
    fleet::Millis now() const { return now_; }
    void kill(std::size_t i) { nodes_[i].limits.reset(); }
    void restart(std::size_t i) { start(i); }
    fleet::Limit& at(std::size_t i) { return *nodes_[i].limits->find(options_.spec.name); }
    fleet::Limits& limits(std::size_t i) { return *nodes_[i].limits; }
    bool up(std::size_t i) const { return nodes_[i].limits != nullptr; }
    std::size_t size() const { return nodes_.size(); }

    // When each request was admitted, in order; of all and of each member.
    const std::vector<fleet::Millis>& admitted() const { return admitted_; }
    std::uint64_t admitted_by(std::size_t i) const { return nodes_[i].admitted; }
    std::uint64_t asked() const { return asked_; }
    std::uint64_t datagrams() const { return datagrams_; }
    std::uint64_t sent_by(std::size_t i) const { return nodes_[i].sent; }
    std::size_t most_open() const { return most_open_; }
    // The most that was admitted in any window of that length, ms.
    std::size_t most_in(fleet::Millis window) const;
    // Of the limit, served between these times.
    double use(fleet::Millis from, fleet::Millis until) const;

private:
    struct Node {
        std::unique_ptr<fleet::Limits> limits;
        fleet::Incarnation life = 0;
        std::uint64_t admitted = 0, sent = 0;
        fleet::Millis next_request = 1e18;
        double drawn_for = 0;
    };
    struct Event {
        fleet::Millis at;
        std::uint64_t order;
        std::size_t to, from;
        fleet::Incarnation life;
        enum { datagram, done } what;
        fleet::Item item;
        bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    void start(std::size_t i);
    void step(fleet::Millis until);
    void send(std::size_t i, const std::vector<fleet::Limits::Send>& all);
    void ask(std::size_t i);
    double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

    Options options_;
    std::mt19937_64 random_;
    std::vector<fleet::Key> keys_;
    std::vector<Node> nodes_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    fleet::Millis now_ = 0;
    std::uint64_t order_ = 0, asked_ = 0, datagrams_ = 0;
    fleet::Incarnation next_life_ = 1;
    std::size_t open_ = 0, most_open_ = 0;
    std::vector<fleet::Millis> admitted_;
};

}  // namespace whinledge::fleetsim
