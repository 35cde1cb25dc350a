// Differences between versions of the servers list: they are made, put together, and applied to a list that
// is their base. A digest of all servers tells whether a base was the right one. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift

namespace whinledge::servers_list {

// Highest term and sequence that are taken from a message: there is room for others above them.
inline constexpr std::int64_t kMostVersion = std::int64_t{1} << 62;

// Whether a list under this version is one that another may replace.
bool can_be_followed(std::int64_t term, std::int64_t sequence);

// What two readings of a server say in common: the time until it is warm runs down by itself.
bool same_server(const wire::ListedServer& a, const wire::ListedServer& b);

// Of all servers, in any order; 0 of none. Costs as much as the list is long.
std::int64_t digest_of(const std::vector<wire::ListedServer>& servers);

// What makes `newer` of `older`. Both lists are in the order of their ids.
wire::ServersDifference difference(const wire::ServersList& older, const wire::ServersList& newer);

enum class Applied {
    yes,
    not_newer,   // the list is as new already, or none could replace what would come of it
    other_base,  // the list is older than the base, or of another term
    mismatch,    // what came of it is not what was meant: only a whole list helps. The list is left as it was
};

// A list that is kept up to date by differences and whole lists, with its digest. Versions only rise.
class KeptList {
public:
    const wire::ServersList& list() const { return list_; }

    // A list that is not newer, or that none could replace, is ignored: false.
    bool replace(wire::ServersList list);
    Applied apply(const wire::ServersDifference& difference);

private:
    wire::ServersList list_;
    std::int64_t digest_ = 0;
};

// The latest changes of a list, one after another, from which a difference to any recent version is made.
class RecentChanges {
public:
    static constexpr std::size_t kMost = 48;

    // A change whose base is not the newest version here makes those before it useless.
    void add(wire::ServersDifference change);
    // From that version to the newest; none where it is not known, or where a whole list of `list_size`
    // servers is about as short.
    std::optional<wire::ServersDifference> since(std::int64_t term, std::int64_t sequence,
                                                 std::size_t list_size) const;

private:
    std::deque<wire::ServersDifference> changes_;  // oldest first
};

}  // namespace whinledge::servers_list
