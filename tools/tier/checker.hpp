// Judges a record by the rules of the tier, from outside. Pure: no I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tier/record.hpp"

namespace whinledge::tier_rig {

inline constexpr std::int64_t kTokensOfEvent = 2;  // `chunkTokens` of the stand-in's engine

struct Bounds {  // those of the settings' `guarantees`, in milliseconds
    Millis in_touch = 3000, apply = 2000, revert = 250, drain = 3000, grace = 8000, loss_slack = 200;
    Millis recovery = 12000, settle = 1000, pass = 120;
};

struct Finding {
    std::string rule;  // TWICE, UNASKED, ...
    std::string what;
};

// All rules that the record breaks; empty: none. `now`: what is open then may still end well.
std::vector<Finding> check(const Record& record, const Bounds& bounds, Millis now);

struct Tally {
    std::map<std::string, int> refusals;  // by the sidecar: how often it said what
    std::map<std::string, int> failures;  // how often requests ended in which way
    int refused_idle = 0;  // by the sidecar, while under half of the places of its servers were taken
    int refused_late = 0;  // by the sidecar, after a quarter of the aim
    int owed = 0, served = 0, refused = 0, failed = 0;  // tries of clients, probes left out
    int turns_whole = 0, late_events = 0;               // streams with a pause too long
    int unmeasured_pauses = 0;                          // those that the rig, the server or this machine made
    std::vector<std::string> long_pauses;               // of both
    std::vector<std::string> cuts;                      // connections that ended without a whole answer
    int budgets_spent = 0, budgets_early = 0;           // answers 402; of them, with room for one more turn
    int acknowledged = 0;                               // configurations
};
Tally tally(const Record& record, const Bounds& bounds = {});

}  // namespace whinledge::tier_rig
