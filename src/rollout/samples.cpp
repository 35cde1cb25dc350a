#include "rollout/samples.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace whinledge::rollout {

namespace {

constexpr double kShortestMs = 8;
constexpr std::size_t kMostCells = 1024;
constexpr std::size_t kMostProxies = 4096;

std::uint64_t hash_of(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

std::int64_t grown(std::int64_t now, std::int64_t before) { return std::max<std::int64_t>(0, now - before); }

Cell difference(const Cell& now, const Cell& before) {
    Cell cell;
    cell.ended = grown(now.ended, before.ended);
    cell.failed = std::min(cell.ended, grown(now.failed, before.failed));
    for (std::size_t i = 0; i < kDurationBuckets; ++i) {
        cell.paces[i] = grown(now.paces[i], before.paces[i]);
        cell.first_events[i] = grown(now.first_events[i], before.first_events[i]);
    }
    return cell;
}

// Without the empty buckets at its end.
std::vector<std::int32_t> to_wire(const Durations& durations) {
    std::size_t last = kDurationBuckets;
    while (last > 0 && durations[last - 1] == 0) --last;
    std::vector<std::int32_t> told;
    for (std::size_t i = 0; i < last; ++i) told.push_back(static_cast<std::int32_t>(durations[i]));
    return told;
}

Durations from_wire(const std::vector<std::int32_t>& told, std::int32_t most) {
    Durations durations{};
    const std::size_t buckets = std::min(told.size(), kDurationBuckets);
    for (std::size_t i = 0; i < buckets; ++i) durations[i] = std::clamp(told[i], 0, most);
    return durations;
}

}  // namespace

RouteId route_id(std::string_view route_name) { return hash_of(route_name); }

int group_of_new(std::size_t rank) { return 1 + static_cast<int>(rank % std::size_t{kNewGroups}); }

std::size_t duration_bucket(double milliseconds) {
    if (!(milliseconds > kShortestMs)) return 0;
    const double bucket = std::log(milliseconds / kShortestMs) / std::log(kDurationGrowth);
    return std::min(kDurationBuckets - 1, static_cast<std::size_t>(bucket));
}

void count(Cells& cells, const Sample& sample) {
    Cell& cell = cells[{sample.route, sample.group}];
    ++cell.ended;
    if (sample.failed) {
        ++cell.failed;
        return;
    }
    if (!sample.warm) return;
    ++cell.paces[duration_bucket(sample.pace_ms)];
    if (sample.first_event_ms) ++cell.first_events[duration_bucket(*sample.first_event_ms)];
}

std::vector<wire::RolloutCell> to_wire(const Cells& cells) {
    std::vector<wire::RolloutCell> told;
    told.reserve(cells.size());
    for (const auto& [key, cell] : cells) {
        wire::RolloutCell& one = told.emplace_back();
        one.route = static_cast<std::int64_t>(key.first);
        one.group = key.second;
        one.ended = static_cast<std::int32_t>(cell.ended);
        one.failed = static_cast<std::int32_t>(cell.failed);
        one.paces = to_wire(cell.paces);
        one.first_events = to_wire(cell.first_events);
    }
    return told;
}

Cells from_wire(const std::vector<wire::RolloutCell>& told) {
    Cells cells;
    for (const wire::RolloutCell& one : told) {
        if (cells.size() >= kMostCells) break;
        if (one.group < kOldGroup || one.group > kNewGroups || one.ended < 0) continue;
        Cell& cell = cells[{static_cast<RouteId>(one.route), one.group}];
        cell.ended = one.ended;
        cell.failed = std::clamp(one.failed, 0, one.ended);
        cell.paces = from_wire(one.paces, one.ended);
        cell.first_events = from_wire(one.first_events, one.ended);
    }
    return cells;
}

Cells SampleBook::take(const wire::RolloutReport& report, double now) {
    const auto known = rows_.find(report.proxy);
    if (known == rows_.end() && rows_.size() >= kMostProxies) return {};
    if (known != rows_.end() && report.sequence <= known->second.report.sequence) return {};
    Cells cells = from_wire(report.cells);
    Cells news;
    for (const auto& [key, cell] : cells) {
        Cell before;
        if (known != rows_.end())
            if (const auto at = known->second.cells.find(key); at != known->second.cells.end())
                before = at->second;
        const Cell added = difference(cell, before);
        if (added.ended > 0) news.emplace(key, added);
    }
    Row& row = rows_[report.proxy];
    row.report = report;
    row.report.cells.clear();
    row.cells = std::move(cells);
    row.heard_at = now;
    return news;
}

}  // namespace whinledge::rollout
