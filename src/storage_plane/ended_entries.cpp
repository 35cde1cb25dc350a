#include "storage_plane/ended_entries.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "hash/mix64.hpp"

namespace whinledge::storage_plane {
namespace {

constexpr std::uint64_t kStates = 4;  // more than EntryState has values

std::uint64_t entry_hash(const wire::LedgerEntry& entry) {
    const std::uint64_t value =
        static_cast<std::uint64_t>(entry.tokens) * kStates + static_cast<std::uint64_t>(entry.state);
    return mix64(XXH64(entry.turn.data(), entry.turn.size(), value));
}

}  // namespace

std::int64_t ended_digest(const std::vector<wire::LedgerEntry>& entries) {
    std::uint64_t digest = kNoEntriesDigest;
    for (const wire::LedgerEntry& entry : entries)
        if (has_ended(entry)) digest += entry_hash(entry);
    return static_cast<std::int64_t>(digest);
}

void tell_entries(const wire::BeginTurnRequest& request, std::vector<wire::LedgerEntry> entries,
                  wire::BeginTurnReply& reply) {
    if (request.__isset.ended_digest && request.ended_digest == ended_digest(entries)) {
        std::erase_if(entries, has_ended);
        reply.__set_same_ended(true);
    }
    reply.entries = std::move(entries);
}

void EndedEntriesCache::replace(const std::string& program, const LedgerEntries& ledger) {
    std::vector<wire::LedgerEntry> ended;
    for (const auto& [turn, entry] : ledger)
        if (has_ended(entry)) ended.push_back(entry);
    put(program, std::move(ended));
}

void EndedEntriesCache::add(const std::string& program, const wire::LedgerEntry& entry) {
    if (!has_ended(entry)) return;
    std::vector<wire::LedgerEntry> entries;
    if (const auto known = find(program)) entries = known->entries;
    const auto same = std::find_if(entries.begin(), entries.end(),
                                   [&](const wire::LedgerEntry& other) { return other.turn == entry.turn; });
    if (same == entries.end()) {
        entries.push_back(entry);
    } else {
        merge_entry(*same, entry);
    }
    put(program, std::move(entries));
}

std::shared_ptr<const EndedEntries> EndedEntriesCache::find(const std::string& program) {
    const auto found = by_name_.find(program);
    if (found == by_name_.end()) return nullptr;
    order_.splice(order_.begin(), order_, found->second);
    return order_.front().known;
}

void EndedEntriesCache::put(const std::string& program, std::vector<wire::LedgerEntry> entries) {
    if (const auto found = by_name_.find(program); found != by_name_.end()) drop(found->second);
    if (entries.empty() || entries.size() > most_entries_) return;
    while (entries_ + entries.size() > most_entries_) drop(std::prev(order_.end()));
    entries_ += entries.size();
    auto known = std::make_shared<EndedEntries>();
    known->digest = ended_digest(entries);
    known->entries = std::move(entries);
    order_.push_front({program, std::move(known)});
    by_name_.emplace(program, order_.begin());
}

void EndedEntriesCache::drop(Order::iterator held) {
    entries_ -= held->known->entries.size();
    by_name_.erase(held->program);
    order_.erase(held);
}

}  // namespace whinledge::storage_plane
