// What has been heard so far: versions only rise. Pure.
#pragma once

#include <cstdint>

#include "control_types.h"  // generated from idl/control.thrift
#include "servers_list/difference.hpp"

namespace whinledge::feed {

// Highest sequence of a state that is taken from a message: there is room for others above it.
inline constexpr std::int64_t kMostSequence = std::int64_t{1} << 62;

class View {
public:
    struct News {
        bool state = false;      // newer than the one before
        bool servers = false;    // the same
        bool confirmed = false;  // for the first time
    };

    // Takes what a reply brings.
    News take(wire::WatchReply& reply);

    // False: a difference did not fit the list that is held, and the whole is wanted.
    bool wants_difference() const { return !wants_whole_; }

    // Whether the answerer knows something that this view lacks.
    bool behind(const wire::WatchReply& reply) const;

    const wire::RegisterState& state() const { return state_; }
    const wire::ServersList& servers() const { return servers_.list(); }
    bool confirmed() const { return confirmed_; }

private:
    bool take_servers(wire::WatchReply& reply);

    wire::RegisterState state_;
    servers_list::KeptList servers_;
    bool wants_whole_ = false;
    bool confirmed_ = false;
};

}  // namespace whinledge::feed
