#include "storage_plane/ledger_spread.hpp"

#include <algorithm>

namespace whinledge::storage_plane {
namespace {

constexpr std::size_t kMostMaps = 64;  // without being reset; beyond them all others are followed

}  // namespace

void LedgerSpread::reset(const wire::StorageMap& map) {
    placements_ = {storage_map::LedgerPlacement(map)};
    known_ = true;
    gap_ = false;
}

void LedgerSpread::restart(const wire::StorageMap& map) {
    placements_ = {storage_map::LedgerPlacement(map)};
    known_ = false;
    gap_ = false;
}

bool LedgerSpread::some_grouped() const {
    return std::any_of(placements_.begin(), placements_.end(),
                       [](const storage_map::LedgerPlacement& placement) { return placement.grouped(); });
}

bool LedgerSpread::follow(const wire::StorageMap& present, const wire::StorageMap& next) {
    const storage_map::LedgerPlacement after(next);
    if (present.epoch == 0) {  // the first map of all
        reset(next);
        return true;
    }
    if (placements_.empty()) restart(present);
    const storage_map::LedgerPlacement& last = placements_.back();
    const bool lost_some = std::any_of(last.voters().begin(), last.voters().end(),
                                       [&](std::int64_t voter) { return after.voters().count(voter) == 0; });
    const bool skipped = next.epoch > present.epoch + 1;
    const bool unknown = (lost_some && (!known_ || skipped)) || placements_.size() >= kMostMaps;
    if (some_grouped() || after.grouped()) {
        gap_ = gap_ || unknown || skipped;
        if (!(placements_.back() == after)) placements_.push_back(after);
        return true;
    }
    const bool meet =
        std::all_of(placements_.begin(), placements_.end(), [&](const storage_map::LedgerPlacement& before) {
            return planted.any_change || before.quorum_of_voters().meets(after.quorum_of_voters());
        });
    placements_.push_back(after);
    return meet && !unknown;
}

bool LedgerSpread::may_vote(const std::string& program, std::int64_t identity) const {
    if (placements_.empty()) return false;
    if (gap_ && !planted.votes_unfilled) return false;
    const storage_map::LedgerPlacement& present = placements_.back();
    if (!some_wait() || planted.votes_unfilled) return present.keeps(program, identity);
    const storage_map::LedgerQuorum quorum = present.quorum(program);
    if (quorum.voters().count(identity) == 0) return false;
    return std::all_of(placements_.begin(), placements_.end() - 1,
                       [&](const storage_map::LedgerPlacement& placement) {
                           const storage_map::LedgerQuorum before = placement.quorum(program);
                           if (before.voters().count(identity) == 0) return false;
                           return planted.any_change || before.meets(quorum);
                       });
}

std::size_t LedgerSpread::may_miss(const failure_domain::LossTolerance& survive) const {
    if (planted.follows_few) return 2;
    if (placements_.empty() || survive.names_domains()) return 0;
    const std::size_t size = placements_.back().group_size();
    const bool alike = std::all_of(placements_.begin(), placements_.end(),
                                   [size](const storage_map::LedgerPlacement& placement) {
                                       return placement.grouped() && placement.group_size() == size;
                                   });
    const std::size_t lost = survive.machine_losses() + 1;
    const std::size_t majority = storage_map::reservation_majority(size);
    return alike && majority > lost ? majority - lost : 0;
}

}  // namespace whinledge::storage_plane
