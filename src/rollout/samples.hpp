// What is counted of attempts while a rollout is open, by route and by servers' version, and how the totals
// of many proxies are put together. Pure.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "rollout_types.h"  // generated from idl/rollout.thrift

namespace whinledge::rollout {

using RouteId = std::uint64_t;

RouteId route_id(std::string_view route_name);

// Servers of the old versions, and groups of servers of the new one, so that one server's own fault can be
// told from its version's.
inline constexpr int kOldGroup = 0;
inline constexpr int kNewGroups = 32;
// Of the server with this rank among those of the new version (see on_trial()).
int group_of_new(std::size_t rank);

// Durations by a logarithmic scale.
inline constexpr std::size_t kDurationBuckets = 24;
inline constexpr double kDurationGrowth = 1.5;  // of one bucket's bound to the next one's
using Durations = std::array<std::int64_t, kDurationBuckets>;
std::size_t duration_bucket(double milliseconds);

struct Cell {
    std::int64_t ended = 0;   // attempts that ran to an end of the server's
    std::int64_t failed = 0;  // of them
    // Of successes at warm servers.
    Durations paces{};         // from the first event to the end; of what is no stream, the whole time
    Durations first_events{};  // until the first event
};
using CellKey = std::pair<RouteId, int>;  // route, group
using Cells = std::map<CellKey, Cell>;

// How an attempt ended.
struct Sample {
    RouteId route = 0;
    int group = kOldGroup;
    bool failed = false;
    bool warm = true;  // of its server: what a cold one takes says nothing of its version
    double pace_ms = 0;
    std::optional<double> first_event_ms{};  // of streams
};
void count(Cells& cells, const Sample& sample);

std::vector<wire::RolloutCell> to_wire(const Cells& cells);
// Bounded in number and in every figure.
Cells from_wire(const std::vector<wire::RolloutCell>& told);

// The newest totals of each proxy for one rollout. Taking a report twice, or an older one later, changes
// nothing.
class SampleBook {
public:
    struct Row {
        wire::RolloutReport report;
        Cells cells;
        double heard_at = 0;  // milliseconds, on the caller's clock
    };

    // What is new in a report; empty where it is older than what is known.
    Cells take(const wire::RolloutReport& report, double now);

    const std::map<std::int64_t, Row>& rows() const { return rows_; }  // by proxy

private:
    std::map<std::int64_t, Row> rows_;
};

}  // namespace whinledge::rollout
