// Ledger entries of programs that have ended, as a process remembers them from earlier turns. A storage
// member leaves them out of its reply where it holds the same, which it tells by their digest: what beginning
// a turn costs on the wire then does not grow with the turns before it. Pure: no I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage_plane/ledger_merge.hpp"
#include "storage_types.h"  // generated from idl/storage.thrift

namespace whinledge::storage_plane {

// Settled or cancelled: it is no longer open.
inline bool has_ended(const wire::LedgerEntry& entry) { return entry.state != wire::EntryState::reserved; }

// The digest of no entries at all.
inline constexpr std::int64_t kNoEntriesDigest = 0;

// Of those entries that have ended, whatever their order. Both sides of a call work it out: a change of it is
// a change of the protocol, after which replies name all entries until both sides know it.
std::int64_t ended_digest(const std::vector<wire::LedgerEntry>& entries);

// A member's side: the reply names its entries of the program, without those that the caller shows to know.
void tell_entries(const wire::BeginTurnRequest& request, std::vector<wire::LedgerEntry> entries,
                  wire::BeginTurnReply& reply);

struct EndedEntries {
    std::vector<wire::LedgerEntry> entries;
    std::int64_t digest = kNoEntriesDigest;
};

// By program, in bounded memory: the programs unused for longest are forgotten first. What is forgotten, or
// differs from what members hold, costs a whole reply and nothing else.
class EndedEntriesCache {
public:
    // `most_entries`: of all programs together.
    explicit EndedEntriesCache(std::size_t most_entries) : most_entries_(most_entries) {}

    // What members were found to hold takes the place of what was known; open entries are left out.
    void replace(const std::string& program, const LedgerEntries& ledger);
    // Merges an entry that this process has ended itself.
    void add(const std::string& program, const wire::LedgerEntry& entry);
    // Null: none are known. Counts as a use.
    std::shared_ptr<const EndedEntries> find(const std::string& program);

    std::size_t programs() const { return by_name_.size(); }
    std::size_t entries() const { return entries_; }

private:
    struct Held {
        std::string program;
        std::shared_ptr<const EndedEntries> known;
    };
    using Order = std::list<Held>;  // used most recently first

    void put(const std::string& program, std::vector<wire::LedgerEntry> entries);
    void drop(Order::iterator held);

    std::size_t most_entries_;
    std::size_t entries_ = 0;
    Order order_;
    std::unordered_map<std::string, Order::iterator> by_name_;
};

}  // namespace whinledge::storage_plane
