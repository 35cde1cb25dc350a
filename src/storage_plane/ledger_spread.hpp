// Whether every majority that keeps a ledger under a new map holds what any majority under an older map
// decided. Those that are lost, or keep it no more, take their entries with them: of five, a reservation may
// stand at three, and where two of these lose their disks at once, a majority of the remaining three need not
// have it. A member that can't be sure follows all others of the new map before it votes: each of them then
// refuses callers with older maps, and has given what it granted under them. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage_map/ledger_placement.hpp"

namespace whinledge::storage_plane {

class LedgerSpread {
public:
    // Since `map` took effect here, all of its members have been followed: older maps matter no more.
    void reset(const wire::StorageMap& map);
    // Started anew under `map`, for which this member may vote on every ledger that it keeps. Of the maps
    // before it nothing is known.
    void restart(const wire::StorageMap& map);
    // The next map that this member has heard of. False: it must not vote on anything before it has followed
    // all others. Where ledgers lie on groups it is true, and may_vote() tells for each program.
    bool follow(const wire::StorageMap& present, const wire::StorageMap& next);

    // All ledgers lie as they did when all were followed last.
    bool settled() const { return known_ && !gap_ && placements_.size() == 1; }
    // Whether the ledgers of some programs may have to wait until the others have been followed.
    bool some_wait() const { return gap_ || (some_grouped() && placements_.size() > 1); }
    // Of the other members so many need not be followed where ledgers lie on groups: of a majority that
    // decided something, as far as its disks are not lost, at least one has been followed all the same.
    std::size_t may_miss(const failure_domain::LossTolerance& survive) const;
    // Under the newest map programs differ in who keeps their ledgers.
    bool grouped() const { return !placements_.empty() && placements_.back().grouped(); }
    // Whether a member keeps the program's ledger under the newest map, and a majority that it votes in meets
    // all those of the maps since all were followed.
    bool may_vote(const std::string& program, std::int64_t identity) const;

    // Faults for the tests' checkers to find.
    struct Planted {
        bool votes_unfilled = false;  // new members of a group vote at once
        bool any_change = false;      // the majorities of any two groups are taken to meet
        bool follows_few = false;     // two of the others need not be followed, whatever the size of a group
    };
    Planted planted;

private:
    bool some_grouped() const;

    std::vector<storage_map::LedgerPlacement> placements_;  // of the maps since; the present one is the last
    bool known_ = false;  // what was decided before the first of them is held
    bool gap_ = false;    // of maps between these the groups are not known: no ledger is voted on
};

}  // namespace whinledge::storage_plane
