// Many rules for one host and path, which differ in their conditions: found by the values they ask for.
// Internal to the table.
//
// Rules that ask for values of the same names make a group, and within it a rule is found by the hash of its
// values (a search in the space of tuples). A lookup costs a hash for each group, of which there are as many
// as there are different sets of names, and not as many as there are rules. Rules with expressions are lists.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "route/rule.hpp"
#include "route/slots.hpp"

namespace whinledge::route {

class Choices {
public:
    // `rules`: places in `all`, by rank and then in the file's order.
    Choices(const std::vector<Rule>& all, std::span<const std::uint32_t> rules);
    // The first that holds.
    const Rule* find(const RequestView& request, std::string& value) const;

private:
    struct Group {
        std::vector<std::uint32_t> rules;  // of one rank, in the file's order
        bool hashed = false;               // by the values that its first rule has conditions on
        Slots slots;
    };
    std::optional<std::uint32_t> in_group(const Group& group, const RequestView& request,
                                          std::string& value) const;

    const std::vector<Rule>& all_;
    std::vector<Group> groups_;  // by rank
};

}  // namespace whinledge::route
