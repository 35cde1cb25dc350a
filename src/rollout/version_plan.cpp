#include "rollout/version_plan.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace whinledge::rollout {

using servers_list::version_id;
using servers_list::VersionId;

namespace {

bool takes_new(const wire::ListedServer* server) { return !server->draining; }

bool any_takes_new(const std::vector<const wire::ListedServer*>& servers) {
    return std::any_of(servers.begin(), servers.end(), takes_new);
}

}  // namespace

void VersionPlan::set_rollout(const wire::Rollout* rollout) {
    known_ = rollout != nullptr;
    if (rollout) rollout_ = *rollout;
}

// The versions of the first list; of several there, those of servers that have run for a while.
void VersionPlan::establish(const std::vector<wire::ListedServer>& listed) {
    if (!established_.empty()) return;
    for (const wire::ListedServer& server : listed)
        if (server.cold_left_ms == 0) established_.insert(server.version);
    if (!established_.empty()) return;
    for (const wire::ListedServer& server : listed) established_.insert(server.version);
}

bool VersionPlan::is_rejected(VersionId version) const {
    const auto& rejected = rollout_.rejected_versions;
    return std::any_of(rejected.begin(), rejected.end(),
                       [version](const std::string& name) { return version_id(name) == version; });
}

Arm VersionPlan::arm_of(VersionId version) const {
    if (version == 0) return Arm::serving;
    if (!known_) return !by_order_ || established_.contains(version) ? Arm::serving : Arm::none;
    if (is_rejected(version)) return Arm::none;
    if (version == version_id(rollout_.new_version)) {
        if (is_open(rollout_)) return Arm::candidate;
        return rollout_.phase == Phase::finished ? Arm::serving : Arm::none;
    }
    if (rollout_.phase == Phase::finished) return Arm::none;
    const bool is_base = rollout_.base_version == 0 || rollout_.base_version == version;
    return is_base || !by_order_ ? Arm::serving : Arm::none;
}

VersionArms VersionPlan::arms(const std::vector<wire::ListedServer>& listed) {
    establish(listed);
    VersionArms arms;
    std::vector<const wire::ListedServer*> others;
    for (const wire::ListedServer& server : listed) {
        const Arm arm = arm_of(server.version);
        if (arm == Arm::serving) arms.serving.push_back(&server);
        if (arm == Arm::candidate) arms.candidate.push_back(&server);
        if (arm == Arm::none && !is_rejected(server.version)) others.push_back(&server);
    }
    // Where nobody is left who may take requests, versions that no order names are better than none.
    if (!any_takes_new(arms.serving) && !any_takes_new(arms.candidate) && any_takes_new(others))
        arms.serving.insert(arms.serving.end(), others.begin(), others.end());
    return arms;
}

std::vector<const wire::ListedServer*> on_trial(const std::vector<const wire::ListedServer*>& candidates,
                                                std::size_t first, std::size_t width) {
    struct Ranked {
        std::size_t turn;  // of its zone
        std::uint64_t hash;
        const wire::ListedServer* server;
    };
    std::map<std::string_view, std::vector<Ranked>> by_zone;
    for (const wire::ListedServer* const server : candidates)
        if (takes_new(server))
            by_zone[server->zone].push_back({0, XXH64(server->id.data(), server->id.size(), 0), server});
    std::vector<Ranked> all;
    for (auto& [zone, servers] : by_zone) {
        std::sort(servers.begin(), servers.end(),
                  [](const Ranked& a, const Ranked& b) { return a.hash < b.hash; });
        for (std::size_t turn = 0; turn < servers.size(); ++turn) {
            servers[turn].turn = turn;
            all.push_back(servers[turn]);
        }
    }
    std::sort(all.begin(), all.end(), [](const Ranked& a, const Ranked& b) {
        return std::tie(a.turn, a.hash) < std::tie(b.turn, b.hash);
    });
    std::vector<const wire::ListedServer*> chosen;
    const std::size_t count = std::min(width, all.size());
    for (std::size_t i = 0; i < count; ++i) chosen.push_back(all[(first + i) % all.size()].server);
    return chosen;
}

}  // namespace whinledge::rollout
