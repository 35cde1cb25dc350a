// A match, compiled. Internal to the table.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "route/regex.hpp"
#include "route/request.hpp"
#include "route/spec.hpp"
#include "route/table.hpp"

namespace whinledge::route {

struct Condition {
    std::string name;
    ValueKind kind = ValueKind::exact;
    std::string value;  // a copy: next to the rest of it in memory
    const Regex* regex = nullptr;
};

// The value of a header: its lines make one (RFC 9110 5.3), put together in `joined` if there are several.
std::optional<std::string_view> header_value(const Headers* headers, std::string_view name,
                                             std::string& joined);

// Its first bytes, all that a match without conditions is asked for, share a line of the cache.
struct alignas(64) Rule {
    const Route* route = nullptr;
    const Match* match = nullptr;
    std::span<const Share> shares;
    std::uint32_t prefix_length = 0;  // Found::prefix_length
    PathKind kind = PathKind::prefix;
    bool conditions = false;  // any but the path
    bool by_method = false, by_class = false;

    std::string path;  // normalised; of a prefix without its last slash; of an expression its text
    const Regex* regex = nullptr;
    std::size_t literal = 0;  // of an expression
    std::vector<Condition> headers, query;

    // Whether all but host and path hold. `value` is memory for values that have to be put together.
    bool holds(const RequestView& request, std::string& value) const {
        return !conditions || conditions_hold(request, value);
    }
    // Of conditions, among rules for the same host and path; more comes first.
    using Rank = std::array<std::size_t, 3>;
    Rank rank() const;

private:
    bool conditions_hold(const RequestView& request, std::string& value) const;
};

}  // namespace whinledge::route
