// Ledger entries of a program as a join semilattice: merged by any order of messages to the same result.
#pragma once

#include <map>
#include <string>

#include "storage_types.h"  // generated from idl/storage.thrift

namespace whinledge::storage_plane {

using LedgerEntries = std::map<std::string, wire::LedgerEntry>;  // by turn

// A higher state replaces a lower one; of equal states the larger count of tokens stands. True: `into`
// changed.
inline bool merge_entry(wire::LedgerEntry& into, const wire::LedgerEntry& other) {
    if (other.state < into.state) return false;
    if (other.state == into.state && other.tokens <= into.tokens) return false;
    into.state = other.state;
    into.tokens = other.tokens;
    return true;
}

inline bool merge_entry(LedgerEntries& into, const wire::LedgerEntry& other) {
    const auto [entry, added] = into.emplace(other.turn, other);
    return added || merge_entry(entry->second, other);
}

}  // namespace whinledge::storage_plane
