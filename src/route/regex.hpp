// Regular expressions of routes, behind an interface: only what has routes with expressions links an
// implementation (make_regex, target whinledge_route_regex).
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace whinledge::route {

class Regex {
public:
    virtual ~Regex() = default;
    // Whether the whole text matches, in time linear in it. May allocate, within the expression's bound.
    virtual bool matches(std::string_view text) const = 0;
};

constexpr std::size_t kLongestRegex = 1024;      // bytes
constexpr std::size_t kRegexMemory = 128 << 10;  // bytes of one's program and of the states it keeps
constexpr std::size_t kMostRegexes = 1024;       // different ones of a table: 128 MiB at the very most

// Compiles an expression of at most kLongestRegex bytes. Null: `fault` says why not.
using RegexMaker = std::unique_ptr<const Regex> (*)(const std::string& pattern, std::string& fault);

// By RE2 (its syntax, bytes as Latin-1, case counts), which has neither back references nor look-around, and
// so no exponential time.
std::unique_ptr<const Regex> make_regex(const std::string& pattern, std::string& fault);

// How many bytes every text that matches starts with, as far as the expression's own text shows at a glance:
// its characters up to the first special one, one less before `*`, `?` or `{`; none if a `|` stands outside
// of all brackets. The rank of an expression among prefixes (table.hpp).
std::size_t literal_length(std::string_view pattern);

}  // namespace whinledge::route
