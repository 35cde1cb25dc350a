#include "lab/load_members.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace whinledge::lab {

namespace {

constexpr std::uint64_t kLoadDraws = 31;    // names the draws of members and losses
constexpr std::size_t kMembersOfATurn = 3;  // that a turn's call goes to, about

}  // namespace

LoadMembers::LoadMembers(const Deployment& deployment, Simulation& simulation, std::uint64_t seed)
    : deployment_(deployment),
      simulation_(simulation),
      random_({seed, kLoadDraws}),
      members_(static_cast<std::size_t>(std::max(1, deployment.storage_members))) {}

bool LoadMembers::is_lost() { return random_.share() < deployment_.load_report_loss; }

void LoadMembers::call(const wire::LoadReport& report, Millis takes, Told told) {
    const std::size_t first = random_.below(members_.size());
    for (std::size_t i = 0; i < std::min(kMembersOfATurn, members_.size()); ++i) {
        if (is_lost()) continue;
        storage_plane::SharedLoads& member = members_[(first + i) % members_.size()];
        const Millis sent = simulation_.now();
        simulation_.in(
            takes / 2 + deployment_.load_report_delay_ms, [this, &member, report, takes, told, sent] {
                const Millis now = simulation_.now();
                member.told(report, now);
                if (!told || is_lost()) return;
                const storage_plane::ToldLoads loads{report.asked, member.others(report, now),
                                                     member.mean_age_ms(now) + (now - sent) + takes / 2};
                simulation_.in(takes / 2, [loads, told] { told(loads); });
            });
    }
}

}  // namespace whinledge::lab
