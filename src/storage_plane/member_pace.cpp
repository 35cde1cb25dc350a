#include "storage_plane/member_pace.hpp"

#include <algorithm>
#include <vector>

namespace whinledge::storage_plane {

void MemberPace::answered(std::int64_t member, double took_ms, double now_ms) {
    const auto [at, is_new] = members_.try_emplace(member, Answers{took_ms, now_ms});
    Answers& answers = at->second;
    if (!is_new) answers.mean_ms += options_.weight * (took_ms - answers.mean_ms);
    answers.latest_at_ms = now_ms;
    if (now_ms >= look_at_ms_) look(now_ms);
}

void MemberPace::set_map(const wire::StorageMap& map) {
    std::set<std::int64_t> present;
    for (const wire::StorageMember& member : map.members) present.insert(member.identity);
    std::erase_if(members_, [&](const auto& entry) { return present.count(entry.first) == 0; });
    std::erase_if(slow_, [&](std::int64_t member) { return present.count(member) == 0; });
}

void MemberPace::look(double now_ms) {
    look_at_ms_ = now_ms + options_.look_every_ms;
    std::erase_if(members_, [&](const auto& entry) {
        return now_ms - entry.second.latest_at_ms > options_.remembered_ms;
    });
    const double usual_ms = members_.empty() ? 0 : median();
    std::set<std::int64_t> slow;
    for (const auto& [member, answers] : members_) {
        const double factor = is_slow(member) ? options_.recovered_factor : options_.slow_factor;
        if (answers.mean_ms >= std::max(factor * usual_ms, options_.slow_from_ms)) slow.insert(member);
    }
    slow_ = std::move(slow);
}

// Of two in the middle the lower: of two members one may be slow.
double MemberPace::median() const {
    std::vector<double> means;
    for (const auto& [member, answers] : members_) means.push_back(answers.mean_ms);
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

}  // namespace whinledge::storage_plane
