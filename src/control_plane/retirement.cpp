#include "control_plane/retirement.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace whinledge::control_plane {
namespace {

const wire::StorageMember* find_member(const wire::RegisterState& state, std::string_view node) {
    for (const wire::StorageMember& member : state.storage.members)
        if (member.node == node) return &member;
    return nullptr;
}

bool is_retired(const wire::RegisterState& state, std::string_view node) {
    return std::find(state.retired.begin(), state.retired.end(), node) != state.retired.end();
}

using Members = std::vector<const wire::StorageMember*>;

template <class Wanted>
Members members_that(const wire::RegisterState& state, Wanted wanted) {
    Members members;
    for (const wire::StorageMember& member : state.storage.members)
        if (member.state != wire::StorageState::retiring && wanted(member)) members.push_back(&member);
    return members;
}

// Zones that are left whichever machines are lost, so many at once.
std::size_t zones_left(const Members& members, std::size_t losses) {
    std::map<std::string, std::size_t> by_zone;
    for (const wire::StorageMember* member : members) ++by_zone[member->zone];
    std::vector<std::size_t> sizes;
    for (const auto& [zone, size] : by_zone) sizes.push_back(size);
    std::sort(sizes.begin(), sizes.end());
    std::size_t left = sizes.size();
    for (const std::size_t size : sizes) {
        if (losses < size) break;
        losses -= size;
        --left;
    }
    return left;
}

// After a loss a majority of the voters is still there, and so are as many zones as a turn has copies. Where
// all machines of the map lie in too few zones, no more can be asked for.
bool bear_losses(const Members& remaining, const Members& all, std::size_t losses) {
    const std::size_t copies = losses + 1;
    if (remaining.size() < 2 * losses + 1) return false;
    for (const std::size_t lost : {std::size_t{0}, losses})
        if (zones_left(remaining, lost) < std::min(copies, zones_left(all, lost))) return false;
    return true;
}

}  // namespace

RetirementDecision decide_retirement(const wire::RegisterState& current, std::string_view node,
                                     const RetirementNeeds& needs) {
    const wire::StorageMember* member = find_member(current, node);
    if (!member)
        return is_retired(current, node) ? RetirementDecision::finished : RetirementDecision::unknown;
    if (member->state == wire::StorageState::retiring) return RetirementDecision::under_way;
    const Members all = members_that(current, [](const wire::StorageMember&) { return true; });
    const Members others =
        members_that(current, [&](const wire::StorageMember& one) { return one.node != node; });
    const Members voting = members_that(current, [&](const wire::StorageMember& one) {
        return one.node != node && one.state == wire::StorageState::member &&
               needs.voting.count(one.identity) > 0;
    });
    // One that joins may be the successor of another, of whose loss nobody knows yet.
    const bool joins = member->state == wire::StorageState::joining;
    if (!joins && bear_losses(voting, all, needs.machine_losses)) return RetirementDecision::begin;
    const bool later = bear_losses(others, all, needs.machine_losses);
    return later ? RetirementDecision::not_yet : RetirementDecision::too_few;
}

wire::RegisterState retiring(const wire::RegisterState& current, std::string_view node) {
    wire::RegisterState next = current;
    for (wire::StorageMember& member : next.storage.members)
        if (member.node == node) member.state = wire::StorageState::retiring;
    ++next.storage.epoch;
    return next;
}

RetirementProgress retirement_progress(const wire::RegisterState& current, std::string_view node) {
    if (find_member(current, node)) return RetirementProgress::serving;
    return is_retired(current, node) ? RetirementProgress::finished : RetirementProgress::unknown;
}

}  // namespace whinledge::control_plane
