// Brings the storage map in line with the storage processes that are there: found it, let new disks join,
// count them as members once they are filled, replace wiped ones, drop those gone for good and those emptied.
//
// Voters that may still answer leave only once a majority of the present map's voters knows that map: a
// caller with a map older than that finds no majority any more. Where ledgers lie on groups, that has to hold
// in every group, also of the map before: of one group at most its minority less one may not know the map.
//
// Pure: it is given the register's state, who was heard, and the time; it answers with the state that is
// wanted.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "control_plane/membership.hpp"

namespace whinledge::control_plane {

// What a storage process says of itself in its watches.
inline constexpr const char* kSyncedNote = "synced";
inline constexpr const char* kEmptiedNote = "emptied";

class StorageMapReconciler {
public:
    struct Options {
        std::size_t copies = 2;         // of each record: machineLosses + 1
        std::int32_t ledger_group = 0;  // voters that keep a program's ledger; 0: all
        Span present{3000};             // heard within: it is there
        Span gone{8000};                // unheard for so long: it may be dropped
        Span replaced{3200};            // the same of one whose successor is a member; above `present`
        Span between_words{1000};       // a member that is there is heard at least so often
        Span between_drops{4500};       // for repair, before the next is dropped
        Span founding_quiet{400};       // nobody new for so long: all are there
        Span founding_longest{1500};    // since the first was heard
        Span blind{2000};               // without observe() for so long, silence of others says nothing
    };
    explicit StorageMapReconciler(Options options) : options_(options) {}

    // To be told of the newest state again and again, whoever holds the lease.
    void observe(const wire::RegisterState& state, Instant now);
    // The state that is wanted instead of `current`; none: it is as it should be.
    std::optional<wire::RegisterState> wanted(const wire::RegisterState& current,
                                              const std::vector<Heard>& storages, Instant now) const;

private:
    struct Since {
        std::int32_t state = wire::StorageState::joining;
        std::int64_t sequence = 0;  // the first that we saw it in
        Instant at{};
    };
    class Draft;
    bool majority_knows(const wire::RegisterState& current, const std::vector<Heard>& storages) const;
    void count_progress(Draft& draft) const;
    void drop_gone(Draft& draft) const;
    bool has_successor(std::int64_t identity, Instant last_heard) const;
    void place_ledgers(Draft& draft) const;
    bool found(Draft& draft) const;

    Options options_;
    std::map<std::int64_t, Since> since_;  // by identity, of the map's members
    Instant observed_{}, sighted_{}, dropped_{};
    std::int64_t map_epoch_ = 0;     // of the newest map observed
    std::int64_t map_sequence_ = 0;  // of the first state that we saw it in
};

}  // namespace whinledge::control_plane
