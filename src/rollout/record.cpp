#include "rollout/record.hpp"

#include <algorithm>

namespace whinledge::rollout {

using servers_list::version_id;
using servers_list::VersionId;

namespace {

constexpr std::size_t kMostRejected = 16;
constexpr std::size_t kMostRollouts = 256;

bool contains(const std::vector<std::string>& names, std::string_view name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

// The one version that is listed beside the new one; 0: there is none, or there are several.
VersionId only_other(const std::vector<VersionId>& listed, const std::string& new_version) {
    VersionId other = 0;
    for (const VersionId version : listed) {
        if (version == version_id(new_version) || version == other) continue;
        if (other != 0) return 0;
        other = version;
    }
    return other;
}

void keep_newest(std::vector<wire::Rollout>& rollouts) {
    if (rollouts.size() <= kMostRollouts) return;
    const auto oldest = std::min_element(
        rollouts.begin(), rollouts.end(), [](const wire::Rollout& a, const wire::Rollout& b) {
            return std::make_pair(is_open(a), a.number) < std::make_pair(is_open(b), b.number);
        });
    rollouts.erase(oldest);
}

}  // namespace

const wire::Rollout* find_rollout(const wire::RegisterState& state, std::string_view service) {
    for (const wire::Rollout& rollout : state.rollouts)
        if (rollout.service_name == service) return &rollout;
    return nullptr;
}

OrderDecision decide_order(const wire::RegisterState& current, const Order& order,
                           const std::vector<VersionId>& listed) {
    if (const wire::Rollout* const newest = find_rollout(current, order.service)) {
        if (newest->new_version == order.new_version) return OrderDecision::taken;
        if (is_open(*newest)) return OrderDecision::other_under_way;
        if (contains(newest->rejected_versions, order.new_version)) return OrderDecision::rejected_before;
        if (newest->base_version == version_id(order.new_version) && newest->phase == Phase::reverted)
            return OrderDecision::runs_already;
        return OrderDecision::begin;
    }
    const bool runs = !listed.empty() && std::all_of(listed.begin(), listed.end(), [&](VersionId version) {
        return version == version_id(order.new_version);
    });
    return runs ? OrderDecision::runs_already : OrderDecision::begin;
}

wire::RegisterState begun(const wire::RegisterState& current, const Order& order,
                          const std::vector<VersionId>& listed) {
    wire::RegisterState next = current;
    wire::Rollout rollout;
    rollout.number = current.sequence + 1;
    rollout.service_name = order.service;
    rollout.new_version = order.new_version;
    rollout.within_ms = order.within_ms;
    rollout.base_version = only_other(listed, order.new_version);
    const auto former =
        std::find_if(next.rollouts.begin(), next.rollouts.end(),
                     [&](const wire::Rollout& one) { return one.service_name == order.service; });
    if (former != next.rollouts.end()) {
        rollout.rejected_versions = former->rejected_versions;
        rollout.base_version =
            former->phase == Phase::finished ? version_id(former->new_version) : former->base_version;
        next.rollouts.erase(former);
    }
    next.rollouts.push_back(std::move(rollout));
    keep_newest(next.rollouts);
    return next;
}

std::optional<wire::RegisterState> stepped(const wire::RegisterState& current, const Step& step) {
    wire::RegisterState next = current;
    for (wire::Rollout& rollout : next.rollouts) {
        if (rollout.number != step.number) continue;
        if (rollout.phase != step.from || step.to <= step.from || rollout.fencing > step.fencing)
            return std::nullopt;
        rollout.phase = step.to;
        rollout.elapsed_ms = std::max(rollout.elapsed_ms, step.elapsed_ms);
        rollout.fencing = step.fencing;
        rollout.evidence = step.evidence;
        if (step.to == Phase::reverted) {
            rollout.rejected_versions.push_back(rollout.new_version);
            if (rollout.rejected_versions.size() > kMostRejected)
                rollout.rejected_versions.erase(rollout.rejected_versions.begin());
        }
        return next;
    }
    return std::nullopt;
}

}  // namespace whinledge::rollout
