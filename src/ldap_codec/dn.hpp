// Distinguished names as far as routes need them: two spellings of one name compare alike (RFC 4514).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace whinledge::ldap {

// Letters of ASCII in lower case, no blanks round separators, everything escaped that has to be, in one way;
// parts of an RDN in the order in which they came. None: no name of RFC 4514's form. The empty name is one.
// At most 4,096 bytes.
std::optional<std::string> normal_dn(std::string_view text);

// Whether the one (normal) is, or is under, the other (normal).
bool is_under(std::string_view dn, std::string_view suffix);

// Calls `with` for the name (normal) and for each one above it, down to the empty one, until it returns true.
template <class With>
bool each_above(std::string_view dn, With with) {
    for (;;) {
        if (with(dn)) return true;
        if (dn.empty()) return false;
        std::size_t at = 0;
        while (at < dn.size() && dn[at] != ',') at += dn[at] == '\\' ? 2 : 1;
        dn = at < dn.size() ? dn.substr(at + 1) : std::string_view();
    }
}

}  // namespace whinledge::ldap
