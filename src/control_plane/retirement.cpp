#include "control_plane/retirement.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "failure_domain/spread.hpp"
#include "storage_map/ledger_quorum.hpp"

namespace whinledge::control_plane {
namespace {

using failure_domain::LossTolerance;
using failure_domain::Spread;

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

Spread spread_of(const Members& members) {
    Spread spread;
    for (const wire::StorageMember* member : members) spread.add(failure_domain::location_of(*member));
    return spread;
}

// As many zones and regions as a turn's copies want are there: `remaining` of those that `all` have.
bool can_spread(std::size_t remaining, std::size_t all, std::size_t wanted) {
    return remaining >= std::min(wanted, all);
}

bool voters_bear(const Members& members, const LossTolerance& survive) {
    if (!survive.names_domains()) return members.size() >= 2 * survive.machine_losses() + 1;
    std::vector<storage_map::LedgerVoter> voters;
    for (const wire::StorageMember* member : members)
        voters.push_back({member->identity, failure_domain::location_of(*member)});
    return storage_map::LedgerQuorum(voters, survive).bears_losses();
}

// After a loss voters that decide are still there, and so are as many zones and regions as a turn has
// copies in. Where all machines of the map lie in too few of them, no more can be asked for.
bool bear_losses(const Members& remaining_members, const Members& all_members, const LossTolerance& survive) {
    const Spread remaining = spread_of(remaining_members), all = spread_of(all_members);
    if (!voters_bear(remaining_members, survive)) return false;
    const std::size_t regions = survive.region_losses() + 1;
    for (const LossTolerance& loss : {LossTolerance{0, 0, 0}, survive}) {
        if (!can_spread(remaining.zones_left(loss), all.zones_left(loss), survive.copies())) return false;
        if (!can_spread(remaining.regions_left(loss), all.regions_left(loss), regions)) return false;
    }
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
    if (!joins && bear_losses(voting, all, needs.survive)) return RetirementDecision::begin;
    const bool later = bear_losses(others, all, needs.survive);
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
