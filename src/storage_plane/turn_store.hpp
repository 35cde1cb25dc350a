// What a storage member holds, as an index over its log: turns by id, the ledger of each program, when they
// may go, and the order in which things changed, which the other members follow. Pure: no I/O, no clock.
//
// The turns and the ledger of a program are kept together, until keep_for_s (and a margin) after anything of
// the program was last written: a chain lasts as long as its newest turn.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "storage_plane/digest_summary.hpp"
#include "storage_plane/ledger_merge.hpp"
#include "storage_plane/segment_log.hpp"
#include "storage_plane/turn_types.hpp"
#include "storage_types.h"  // generated from idl/storage.thrift

namespace whinledge::storage_plane {

// Clocks may differ by some seconds, and so may what two members know of a program.
inline constexpr std::int64_t kKeepMarginMs = 8000;
inline constexpr std::int32_t kMostKeepForS = 3600;

// What a turn, or an entry of a ledger, costs in memory, about: measured by bench/storage_bench.cpp.
inline constexpr std::size_t kItemBytes = 450;

// How long a program that was written to just now is held (ms).
std::int64_t kept_ms(std::int32_t keep_for_s);

struct HeldTurn {
    std::string parent;
    std::string program;
    std::vector<std::int64_t> holders;
    Place place;               // of the record in the log
    std::uint64_t digest = 0;  // of its bytes, without the holders
    std::uint64_t id_hash = 0;
    std::uint64_t change = 0;
    bool holders_changed = false;             // since the start: others may know of fewer
    std::uint64_t confirmed = 0;              // bit i: holders[i] has told of it since the start
    std::shared_ptr<const std::string> body;  // the encoded record, where it is in memory
};

struct HeldEntry {
    wire::LedgerEntry entry;
    std::uint64_t change = 0;
};

struct HeldProgram {
    std::map<std::string, HeldEntry> entries;  // by turn
    std::vector<std::string> turns;
    std::vector<std::string> continued;  // programs that its turns' chains come from: kept as long as it
    std::int64_t goes_ms = 0;            // steady: held until then
    std::int64_t offered_ms = 0;         // steady: told to other members until then; not above goes_ms
    std::int64_t touched_ms = 0;         // time of day
    std::int32_t keep_for_s = 0;
    std::uint64_t oldest_segment = 0;  // that has entries of it; 0: none
    std::uint64_t hash = 0;
    // Remembered by SharedDigests; null once the turns, their holders or the entries have changed.
    mutable std::unique_ptr<DigestSummary> digest_summary;

    // Of the whole ledger in the log, about.
    std::uint64_t ledger_bytes() const { return 64 + entries.size() * kEntryBytes; }
    static constexpr std::uint64_t kEntryBytes = 24;
};

class TurnStore {
public:
    struct Options {
        std::size_t cache_bytes = 32U << 20;  // of records in memory
    };
    explicit TurnStore(Options options) : options_(options) {}

    enum class Added { added, known, conflict };
    // Of a record that is to be written: whether it is news. `known` with further holders counts as `added`.
    Added check(const wire::TurnRecord& record) const;
    void add_turn(const wire::TurnRecord& record, Place place, std::shared_ptr<const std::string> body);
    // Known in memory only: it can be learned again from where it came.
    void merge_holders(const std::string& id, const std::vector<std::int64_t>& holders);
    // A member has told that it holds the turn. Known in memory only.
    void confirm_holder(const std::string& id, std::int64_t holder);
    // A program is kept for as long as another that goes on from its turns.
    void add_continued(const std::string& program, const std::vector<std::string>& continued);

    // Whether an entry would change anything.
    bool is_news(const std::string& program, const wire::LedgerEntry& entry) const;
    void add_entry(const std::string& program, const wire::LedgerEntry& entry, Place place);

    // Something of the program was written: it is kept from now on for at least `left_ms`, and so are the
    // programs that it continues. What was not told to others any more is told anew.
    void keep(const std::string& program, std::int64_t now_ms, std::int64_t left_ms, std::int32_t keep_for_s,
              std::int64_t touched_ms);
    // After a restart: all is kept in full, however the time of day has moved, but told to others only as
    // long as the time of day says.
    void keep_after_restart(std::int64_t now_ms, std::int64_t time_of_day_ms);
    // Drops programs whose time is over. Returns how many.
    std::size_t expire(std::int64_t now_ms);

    const HeldTurn* turn(const std::string& id) const;
    const HeldProgram* program(const std::string& name) const;
    const std::unordered_map<std::string, HeldTurn>& turns() const { return turns_; }
    const std::unordered_map<std::string, HeldProgram>& programs() const { return programs_; }
    std::vector<wire::LedgerEntry> entries(const std::string& program) const;
    // Ids of the chain that ends with `id`, newest first, as far as it is held.
    std::vector<std::string> chain(const std::string& id) const;

    // Changes in order.
    struct Change {
        const std::string* turn = nullptr;     // id; or, of a ledger entry, its turn; lies in the index
        const std::string* program = nullptr;  // of a ledger entry; null: a turn
    };
    const std::map<std::uint64_t, Change>& changes() const { return changes_; }
    std::uint64_t last_change() const { return last_change_; }
    std::uint64_t last_turn_change() const { return last_turn_change_; }

    // Bytes that count in a segment; what lies there, to be written anew before the segment goes.
    std::uint64_t live_bytes(std::uint64_t segment) const;
    std::vector<std::string> turns_in(std::uint64_t segment) const;
    std::vector<std::string> ledgers_in(std::uint64_t segment_or_older) const;
    void move_turn(const std::string& id, Place place);
    void move_ledger(const std::string& program, Place place);

    std::size_t cached_bytes() const { return cached_bytes_; }

    // Puts back what was held, one program with its turns and entries after the other, into an empty index.
    // What comes again replaces what came before.
    class Restoring {
    public:
        Restoring(TurnStore& store, std::size_t items_about);
        // Entries that lay in segments before `first_segment` are gone, with the whole ledger: what of it was
        // still needed was written anew.
        void program(std::string_view name, std::int64_t touched_ms, std::int32_t keep_for_s,
                     std::uint64_t oldest_segment, std::uint64_t first_segment);
        void continued(std::vector<std::string> programs);  // of the program named last
        void turn(std::string_view id, HeldTurn turn);      // parent, holders, place and digest of it
        void entry(const wire::LedgerEntry& entry);

    private:
        std::pair<const std::string, HeldProgram>& held();

        TurnStore& store_;
        std::string name_;
        std::vector<std::string> continued_;
        std::int64_t touched_ms_ = 0;
        std::int32_t keep_for_s_ = 0;
        std::uint64_t oldest_segment_ = 0;
        bool entries_gone_ = false;
        std::pair<const std::string, HeldProgram>* held_ = nullptr;  // null: nothing of it came yet
    };

private:
    using Programs = std::unordered_map<std::string, HeldProgram>;
    Programs::value_type& program_of(const std::string& name);
    void keep_one(HeldProgram& held, std::int64_t now_ms, std::int64_t left_ms, std::int32_t keep_for_s,
                  std::int64_t touched_ms);
    void retell(HeldProgram& program);
    std::uint64_t changed(std::uint64_t before, Change change);
    void cache(HeldTurn& turn, const std::string& id, std::shared_ptr<const std::string> body);
    void shrink_cache();
    void drop_turn(const std::string& id);
    void uncount(const Place& place);

    Options options_;
    std::unordered_map<std::string, HeldTurn> turns_;
    std::unordered_map<std::string, HeldProgram> programs_;
    std::map<std::uint64_t, Change> changes_;
    std::uint64_t last_change_ = 0;
    std::uint64_t last_turn_change_ = 0;
    std::map<std::uint64_t, std::uint64_t> live_bytes_;  // of turns, by segment
    std::map<std::uint64_t, std::string> cached_;        // ids of turns in memory, oldest first
    std::uint64_t cache_order_ = 0;
    std::size_t cached_bytes_ = 0;
};

// Of a turn's holders, by their places, those of whom it is known whether they have told of it; what lies
// beyond is never taken for told.
inline constexpr std::size_t kHolderBits = 63;

// Whether a holder of the turn, by its place among `holders`, has told that it holds it.
bool is_confirmed(const HeldTurn& turn, std::size_t holder);

// Bytes of what it holds of its conversation.
std::size_t body_size(const wire::TurnRecord& record);
// Of a record's bytes, whoever holds it.
std::uint64_t digest_of(const wire::TurnRecord& record);
// In which of `ranges` equal parts of the hash space.
std::size_t range_of(std::uint64_t hash, std::size_t ranges);

}  // namespace whinledge::storage_plane
