// Another member, as repair follows it. Internal to repair.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "storage_plane/repair.hpp"

namespace whinledge::storage_plane {

struct Repair::Peer {
    wire::StorageMember member;
    std::int64_t run = 0;
    std::int64_t cursor = 0;
    bool asking = false;
    bool followed = false;  // to its end, under the map of this epoch
    bool restarts = false;  // to be followed from the beginning, with the next question
    bool anew = false;      // followed from the beginning, though it has told all before
    bool told_all = false;  // of all its turns: from then on of those alone that concern this member
    std::int64_t next_ask_ms = 0;
    std::int64_t next_compare_ms = 0;
    std::map<std::size_t, int> mismatches;  // by range, in a row
    bool pushing = false;
    bool incomplete = false;  // turns up to the cursor were not taken, for want of room
    // The page that is being pulled.
    std::deque<wire::TurnHead> lacking;
    std::deque<std::string> differing;  // programs with other ledger entries there
    std::int64_t page_cursor = 0;
    bool page_more = false;
};

inline std::size_t bytes_of(const std::vector<wire::TurnRecord>& turns) {
    std::size_t bytes = 0;
    for (const wire::TurnRecord& turn : turns) bytes += body_size(turn);
    return bytes;
}

}  // namespace whinledge::storage_plane
