// A plain server: so many requests at once, each for its own time, and a queue. Pure, as ModelServer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "engine/types.hpp"
#include "placement/placement.hpp"

namespace whinledge::lab {

struct ToolSettings {
    int slots = 6;
    int queue = 24;
    double slowness = 1;
};

class ToolServer {
public:
    explicit ToolServer(ToolSettings settings) : settings_(settings) {}

    // False: it is full, and the request has not run.
    bool submit(std::uint64_t request, Millis work, Millis now);
    void cancel(std::uint64_t request, Millis now);
    // When the next request ends; infinity: none runs.
    Millis next() const;
    // Appends the requests that have ended.
    void advance(Millis now, std::vector<std::uint64_t>& done);
    // A multiple of the time of requests that start from here on.
    void set_slowdown(double slowdown) { slowdown_ = slowdown; }
    void set_frozen(bool frozen, Millis now);
    placement::Load load() const;
    std::size_t open() const { return running_.size() + waiting_.size(); }

private:
    struct Waiting {
        std::uint64_t request;
        Millis work;
    };
    void let_in(Millis now);

    ToolSettings settings_;
    double slowdown_ = 1;
    bool frozen_ = false;
    Millis frozen_at_ = 0;
    std::multimap<Millis, std::uint64_t> running_;  // by their ends
    std::deque<Waiting> waiting_;
};

}  // namespace whinledge::lab
