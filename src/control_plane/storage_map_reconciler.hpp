// Brings the storage map in line with the storage processes that are there: found it, let new disks join,
// count them as members once they are filled, replace wiped ones, drop those gone for good and those emptied.
//
// Voters that may still answer leave only once a majority of the present voters knows that it votes by these:
// a caller with an older map and other voters finds no majority any more. Where ledgers lie on groups, that
// has to hold in every group, also of the map before: of one group at most its minority less one may not know
// the voters.
//
// A voter that is silent while a joining member is there gives its place to that one. Where enough others are
// there it is dropped, and the joining member votes once it is filled; where they are few, the joining member
// becomes a voter in the same epoch, so that there are never fewer voters than bear a loss. Either way the
// joining member need not wait for what the silent one would have told it.
//
// A voter or joining member that leaves because it is silent may hold turns that nobody else has. It stays in
// the map's list of those that are away until it votes again, its disk is known to be gone, or all that it
// may hold has expired; meanwhile no turn is denied.
//
// Pure: it is given the register's state, who was heard, and the time; it answers with the state that is
// wanted.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control_plane/membership.hpp"
#include "failure_domain/spread.hpp"
#include "storage_map/ledger_placement.hpp"

namespace whinledge::control_plane {

// What a storage process says of itself in its watches.
inline constexpr const char* kSyncedNote = "synced";
inline constexpr const char* kEmptiedNote = "emptied";

class StorageMapReconciler {
public:
    struct Options {
        failure_domain::LossTolerance survive{};
        std::int32_t ledger_group = 0;  // voters that keep a program's ledger; 0: all
        Span present{2200};             // heard within: it is there
        Span gone{8000};                // unheard for so long: it may be dropped
        Span replaced{2600};            // the same where another can take its place; above `present`
        Span between_words{1000};       // a member that is there is heard at least so often
        Span between_drops{4500};       // for repair, before the next is dropped
        Span founding_quiet{400};       // nobody new for so long: all are there
        Span founding_longest{1500};    // since the first was heard
        Span blind{2000};               // without observe() for so long, silence of others says nothing
        Span away_longer{10'000};       // than turns are kept, until one that is away can't hold any
    };
    explicit StorageMapReconciler(Options options) : options_(options) {}

    // To be told of the newest state, and of who was heard, again and again, whoever holds the lease.
    void observe(const wire::RegisterState& state, const std::vector<Heard>& storages, Instant now);
    // The state that is wanted instead of `current`; none: it is as it should be.
    std::optional<wire::RegisterState> wanted(const wire::RegisterState& current,
                                              const std::vector<Heard>& storages, Instant now) const;

private:
    struct Since {
        std::int32_t state = wire::StorageState::joining;
        std::int64_t sequence = 0;  // the first that we saw it in
        Instant at{};
        std::string node;
    };
    class Draft;
    struct Attendance;
    // After any loss that is to be borne, those of them that are left decide about ledgers.
    bool bear_losses(const std::set<std::int64_t>& voters) const;
    bool bear_losses_without(std::set<std::int64_t> voters, std::int64_t leaving) const;
    void place_ledgers_by_losses(wire::StorageMap& map) const;
    bool can_hold_copies(const failure_domain::Spread& members) const;
    failure_domain::Spread spread_of(const std::set<std::int64_t>& identities) const;
    void note_locations(const wire::RegisterState& state);
    void update_regions(Draft& draft) const;
    void note_away(const wire::RegisterState& state, Instant now);
    void forget_away(Draft& draft) const;
    bool majority_knows(const wire::RegisterState& current, const std::vector<Heard>& storages) const;
    void count_progress(Draft& draft) const;
    Instant last_heard(const Draft& draft, const wire::StorageMember& member) const;
    Attendance attendance(const Draft& draft) const;
    void note_voters(const wire::RegisterState& state);
    void note_departures(const wire::RegisterState& state, const std::map<std::int64_t, Since>& present,
                         Instant now);
    bool is_made_good(const std::vector<Heard>& storages);
    bool can_do_without_absent(const Attendance& attendance) const;
    bool drop_silent_joiner(Draft& draft) const;
    bool replace_silent(Draft& draft) const;
    void drop_gone(Draft& draft) const;
    bool has_successor(std::int64_t identity, Instant last_heard) const;
    void place_ledgers(Draft& draft) const;
    void resume_retirements(Draft& draft) const;
    bool found(Draft& draft) const;

    Options options_;
    std::map<std::int64_t, Since> since_;         // by identity, of the map's members
    std::map<std::int64_t, Instant> away_since_;  // at the latest; by identity
    Instant observed_{}, sighted_{}, dropped_{};
    std::int64_t map_epoch_ = 0;           // of the newest map observed
    storage_map::LedgerPlacement voters_;  // of that map
    std::int64_t voters_sequence_ = 0;     // of the first state that we saw these voters in
    // Of the present voters, those that have said since they are so that they vote and lack nothing.
    std::set<std::int64_t> complete_;
    // Voters of the maps before, since all voters of a map were complete; and who of them left emptied.
    std::vector<storage_map::LedgerQuorum> earlier_voters_;
    std::set<std::int64_t> emptied_;
    // By identity, of the voters of the present map and of those before it.
    std::map<std::int64_t, failure_domain::Location> locations_;
    std::set<std::string>
        retiring_nodes_;  // whose order is not finished, though they may have left meanwhile
};

}  // namespace whinledge::control_plane
