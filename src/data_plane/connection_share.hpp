// How many connections this proxy may hold to each server of a service, so that all proxies together stay
// within what the server takes (`maxConns`). Pure: the caller brings the time, in milliseconds.
#pragma once

#include <cstddef>
#include <deque>

#include "engine/types.hpp"

namespace whinledge::data_plane {

// Who shares the connections of a server, as far as one of them knows.
struct Sharers {
    std::size_t proxies = 0;  // live ones, this one included; 0: not known
    // This one has started so lately that others may not count it yet.
    bool newcomer = false;
    bool operator==(const Sharers&) const = default;
};

// Proxies beyond those counted for which room is kept: those that have started and are not counted yet.
std::size_t reserved_proxies(std::size_t proxies);

// Connections to one server. `max_connections` 0: no bound is stated, and the result is 0 as well. Never
// below one otherwise.
std::size_t connection_share(std::size_t max_connections, Sharers sharers);

// Live proxies, as control processes tell it. A higher count holds at once; a lower one once no higher one
// has been told for a while, so that proxies that restart, and control processes that are cut off from some
// of them, don't make shares grow.
class ProxyCount {
public:
    static constexpr Millis kFallAfter = 10000;
    // From its start until others have heard of a proxy: its first watch, and then theirs, within a second
    // each, with room for a late one.
    static constexpr Millis kNewcomer = 4000;

    explicit ProxyCount(Millis started) : started_(started) {}

    // 0 is ignored: the teller does not know.
    void told(std::size_t proxies, Millis now);
    Sharers sharers(Millis now) const;

private:
    struct Told {
        std::size_t proxies;
        Millis at;
    };
    Millis started_;
    std::deque<Told> told_;  // counts fall and times rise from front to back
};

}  // namespace whinledge::data_plane
