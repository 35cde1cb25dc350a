// What befalls datagrams between two nodes: decided in one place, without I/O and without a clock, by rules
// that come and go and by a generator for each pair, so that what one pair sends changes nothing for another.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "fleet/record.hpp"

namespace whinledge::fleetrig {

struct Rule {
    std::function<bool(Node from, Node to)> applies;
    Millis begins = 0;
    Millis flap = 0;  // on for so long, off for so long; 0: always on
    bool cut = false;
    double loss = 0, doubled = 0, reorder = 0, hold = 0;  // shares of datagrams
    Millis delay = 0, jitter = 0;
};

class Links {
public:
    using Id = std::uint64_t;
    explicit Links(std::uint64_t seed) : seed_(seed) {}

    Id add(Rule rule);
    void remove(Id id);

    struct Fate {
        std::vector<Millis> copies;  // each after so long; none: lost
        Id held_by = 0;              // until that rule goes; 0: by none
    };
    Fate fate(Node from, Node to, Millis now);

private:
    struct Named {
        Id id;
        Rule rule;
    };
    std::uint64_t seed_;
    Id next_ = 1;
    std::vector<Named> rules_;
    std::unordered_map<std::uint64_t, std::uint32_t> count_;  // datagrams by pair
};

}  // namespace whinledge::fleetrig
