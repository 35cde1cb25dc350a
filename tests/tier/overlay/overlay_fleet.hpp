// Many processes of the overlay on simulated network and time: the objects that the program runs. The same
// options and seed give the same run.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "overlay/overlay_node.hpp"

namespace whinledge::overlay {

class OverlayFleet {
public:
    struct Options {
        std::size_t controls = 3;  // the first ones; they are the seeds
        std::size_t edges = 27;
        double loss = 0;                           // of requests, and of replies
        Millis least_delay = 0.5, most_delay = 5;  // one way
        Millis handling = 0.2;                     // a process handles one message at a time
        Millis start_within = 300;
        std::uint64_t seed = 1;
        bool grafts = true;
        std::size_t zones = 4;  // processes belong to them in turn
    };
    explicit OverlayFleet(const Options& options);

    std::size_t size() const { return processes_.size(); }
    Millis now() const { return now_; }
    void run(Millis duration);
    // When it held first, counted from now.
    std::optional<Millis> run_until(const std::function<bool()>& holds, Millis within, Millis step = 10);

    // ---- Faults
    void kill(std::size_t i);       // its port refuses
    void power_off(std::size_t i);  // it says nothing
    void start(std::size_t i);      // again from nothing, at its address
    void freeze(std::size_t i);
    void thaw(std::size_t i);
    // Takes so long for each message, until it is started anew; Options::handling is usual.
    void slow(std::size_t i, Millis handling) { processes_[i].handling = handling; }
    bool up(std::size_t i) const { return processes_[i].node != nullptr; }
    bool frozen(std::size_t i) const { return processes_[i].frozen; }
    std::function<bool(std::size_t from, std::size_t to)> passes;  // by default all do
    double loss;

    // ---- Versions
    void publish(std::size_t i, Topic topic, std::int64_t sequence, std::size_t bytes = 200);
    std::int64_t held(std::size_t i, Topic topic) const;
    // Of those that are up and not frozen, for which `counted` holds.
    bool all_hold(Topic topic, std::int64_t sequence,
                  const std::function<bool(std::size_t)>& counted = {}) const;
    std::size_t without(Topic topic, std::int64_t sequence) const;

    // ---- Views
    const OverlayNode& at(std::size_t i) const { return *processes_[i].node; }
    OverlayNode& at(std::size_t i) { return *processes_[i].node; }
    // All that are up and not frozen are joined by links that both sides hold.
    bool connected(const std::function<bool(std::size_t)>& counted = {}) const;
    std::size_t index(const std::string& address) const { return by_address_.at(address); }
    static std::string address(std::size_t i);

    // ---- What it costs
    // What a request is for. A sign of life is one over a link that has carried nothing else.
    enum class Kind { neighbour, walk, shuffle, disconnect, push, graft, sign_of_life };
    static constexpr std::size_t kKinds = 7;
    struct KindCost {
        std::uint64_t calls = 0, bytes = 0;  // with their replies
    };
    struct Cost {
        std::array<KindCost, kKinds> by_kind;                      // of the requests that it sent
        std::uint64_t messages = 0, bytes = 0;                     // sent, replies included
        std::uint64_t pushes = 0, duplicates = 0, far_pushes = 0;  // received; the last, from another zone
    };
    Cost cost_of(std::size_t i) const { return processes_[i].cost; }
    Cost total() const;
    void reset_costs();
    int most_hops() const { return most_hops_; }
    // Faults that the checker saw: a version that fell.
    const std::vector<std::string>& faults() const { return faults_; }

    // Called for what happens between processes, for timelines.
    struct Event {
        enum class Kind { push, digest, graft, prune, reply, deliver, lost } kind;
        std::size_t from, to;
        std::int64_t sequence;
    };
    std::function<void(const Event&)> on_event;

private:
    struct Call {
        std::size_t from, to;
        std::uint64_t life;  // of the caller
        Outgoing outgoing;
        bool done = false;
    };
    using CallPtr = std::shared_ptr<Call>;
    struct Happening {
        enum class Kind { tick, request, reply, timeout, refusal } kind;
        Millis at;
        std::uint64_t order;
        std::size_t to;
        CallPtr call;
        std::shared_ptr<wire::OverlayReply> reply;
        bool operator>(const Happening& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    struct Process {
        std::unique_ptr<OverlayNode> node;
        std::uint64_t life = 0;
        bool frozen = false, dark = false;
        Millis busy_until = 0, wakes_at = kNever, handling = 0;
        std::deque<Happening> waiting;
        std::map<Topic, Version> delivered;
        Cost cost;
    };

    void happen(Happening happening);
    void handle(const Happening& happening);
    void handle_request(const Happening& happening);
    void carry_out(std::size_t i, Effects& effects);
    void send(std::size_t i, Outgoing outgoing);
    static Kind kind_of(const wire::OverlayRequest& request);
    void later(Happening::Kind kind, Millis delay, std::size_t to, CallPtr call,
               std::shared_ptr<wire::OverlayReply> reply = nullptr);
    void wake(std::size_t i);
    bool gets_lost(std::size_t from, std::size_t to);
    Millis delay() { return options_.least_delay + unit() * (options_.most_delay - options_.least_delay); }
    double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
    void tell(Event::Kind kind, std::size_t from, std::size_t to, std::int64_t sequence = 0);
    void tell_request(const Call& call);

    Options options_;
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::uint64_t next_order_ = 0;
    std::vector<Process> processes_;
    std::map<std::string, std::size_t> by_address_;
    std::priority_queue<Happening, std::vector<Happening>, std::greater<>> happenings_;
    int most_hops_ = 0;
    std::vector<std::string> faults_;
};

}  // namespace whinledge::overlay
