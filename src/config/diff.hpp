// What changes when one set of services takes the place of another: what a reload may keep. Pure.
#pragma once

#include <string>
#include <vector>

#include "config/services.hpp"

namespace whinledge::config {

enum class Change {
    unchanged,  // keeps all it has
    in_place,   // keeps its connections and its history, and takes the new values
    replaced,   // a new one in its place; the old one finishes what it has
    added,
    removed,  // finishes what it has
};

struct Changed {
    std::string name;
    Change change = Change::unchanged;
    std::vector<std::string> keys;  // of the file that differ
    bool operator==(const Changed&) const = default;
};

struct Difference {
    std::vector<std::string> process;  // its keys that differ
    std::vector<Changed> listeners,
        pools;  // in the order of the new file, then those removed in the old one's
    std::vector<Changed> ldap_routes;
    std::vector<Changed> routes;    // routes hold nothing: they are in_place where they differ
    bool routes_reordered = false;  // which can change who wins among equals
    Changed fleet;                  // replaced: this process is another member, or another life of it
    bool routes_changed() const;
    bool empty() const;  // nothing changes
};

// Where a thing stands in the file makes no difference; neither does the order of members.
Difference difference(const Services& before, const Services& after);

// One line for each thing that changes, "pool archive: changed in place (limits)".
std::vector<std::string> describe(const Difference& difference);

}  // namespace whinledge::config
