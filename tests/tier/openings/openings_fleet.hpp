// Simulated nodes and control processes that share openings: messages take time, and are lost as TCP loses
// them, which is to say that they come later.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "openings/merger.hpp"
#include "openings/messages.hpp"
#include "openings/teller.hpp"

namespace whinledge::openings {

class OpeningsFleet {
public:
    struct Options {
        std::size_t nodes = 300, controls = 8;
        double lost = 0.05;       // of messages
        Millis way = 5;           // of a message, and up to twice that
        Millis sent_again = 220;  // after a loss, doubled each time
        Millis call_timeout = 400;
        std::uint64_t seed = 1;
    };
    explicit OpeningsFleet(const Options& options);

    // What comes through a node now.
    std::function<Traffic(std::size_t node, Millis now)> seen;

    void run_until(Millis end);
    Millis now() const { return now_; }
    // What a node holds of what comes through all.
    const Traffic& held(std::size_t node) { return nodes_[node].teller.sum(now_); }
    std::size_t size() const { return nodes_.size(); }

    void cut(std::size_t node) { cut_.insert(node); }
    void heal(std::size_t node) { cut_.erase(node); }
    void restart(std::size_t node);
    void restart_control(std::size_t control);
    // It answers nothing any more.
    void stop_control(std::size_t control) { stopped_.insert(control); }

    // Sent and received by all nodes since the start, without headers.
    std::uint64_t node_bytes() const { return node_bytes_; }
    std::uint64_t control_bytes() const { return control_bytes_; }

private:
    struct Node {
        Teller teller;
        std::uint64_t identity = 0;
        std::size_t control = 0, failures = 0;
        std::uint64_t life = 0;  // answers to an earlier one are nobody's
    };
    void at(Millis when, std::function<void()> what) { queue_.emplace(when, std::move(what)); }
    Millis way();
    void look(std::size_t node);
    void tell(std::size_t node, const wire::OpeningsRequest& request);
    void fail(std::size_t node);
    void tick(std::size_t control);

    Options options_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<Merger> controls_;
    std::set<std::size_t> cut_, stopped_;
    std::multimap<Millis, std::function<void()>> queue_;
    Millis now_ = 0;
    std::uint64_t node_bytes_ = 0, control_bytes_ = 0;
};

}  // namespace whinledge::openings
