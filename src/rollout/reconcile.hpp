// The next step of a rollout, from what is recorded and what is known of it. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "control_types.h"  // generated from idl/control.thrift
#include "rollout/record.hpp"

namespace whinledge::rollout {

struct Findings {
    std::int64_t elapsed_ms = 0;  // since the order
    bool bad = false;             // the new version has been shown to be
    bool enough = false;   // every route with traffic has been tried often enough, as most proxies tell
    std::string evidence;  // for people
    // All proxies that were heard of late act by the shift, and nothing of theirs runs at old servers.
    bool old_servers_idle = false;
};
// None: nothing is due.
std::optional<Step> next_step(const wire::Rollout& rollout, const Findings& findings);

}  // namespace whinledge::rollout
