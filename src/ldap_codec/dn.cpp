#include "ldap_codec/dn.hpp"

namespace whinledge::ldap {

namespace {

constexpr std::size_t kLongest = 4096;
constexpr std::string_view kSpecial = ",+\"\\<>;=";

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 'a' - 'A') : c; }
int digit(char c) {
    return c >= '0' && c <= '9'   ? c - '0'
           : c >= 'a' && c <= 'f' ? c - 'a' + 10
           : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                  : -1;
}
bool is_key(std::string_view key) {
    return !key.empty() && key.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.") == key.npos;
}
void blanks(std::string_view& text) {
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
}

// The value's bytes, without escapes; false: it is none. Trailing blanks belong to it only where escaped.
bool read_value(std::string_view& text, std::string& value) {
    std::size_t kept = 0;  // up to here nothing is a blank that may go
    while (!text.empty() && text.front() != ',' && text.front() != '+') {
        const char c = text.front();
        text.remove_prefix(1);
        if (c != '\\') {
            if (c == '\0' || kSpecial.find(c) != kSpecial.npos) {
                if (c != '=') return false;
            }
            value.push_back(lower(c));
            if (c != ' ') kept = value.size();
            continue;
        }
        if (text.empty()) return false;
        if (text.size() >= 2 && digit(text[0]) >= 0 && digit(text[1]) >= 0) {
            value.push_back(lower(static_cast<char>(digit(text[0]) * 16 + digit(text[1]))));
            text.remove_prefix(2);
        } else if (kSpecial.find(text.front()) != kSpecial.npos || text.front() == ' ' ||
                   text.front() == '#') {
            value.push_back(text.front());
            text.remove_prefix(1);
        } else {
            return false;
        }
        kept = value.size();
    }
    value.resize(kept);
    return true;
}

void append_value(std::string& to, const std::string& value) {
    static constexpr char hex[] = "0123456789abcdef";
    for (std::size_t i = 0; i < value.size(); ++i) {
        const char c = value[i];
        const bool edge = (i == 0 && (c == ' ' || c == '#')) || (i + 1 == value.size() && c == ' ');
        if (kSpecial.find(c) != kSpecial.npos || edge || c == '\0') {
            to.push_back('\\');
            to.push_back(hex[static_cast<unsigned char>(c) >> 4]);
            to.push_back(hex[static_cast<unsigned char>(c) & 15]);
        } else {
            to.push_back(c);
        }
    }
}

}  // namespace

std::optional<std::string> normal_dn(std::string_view text) {
    std::string to;
    if (text.size() > kLongest) return std::nullopt;
    blanks(text);
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == text.npos) return std::nullopt;
        std::string key;
        for (const char c : text.substr(0, equals)) key.push_back(lower(c));
        while (!key.empty() && key.back() == ' ') key.pop_back();
        if (!is_key(key)) return std::nullopt;
        text.remove_prefix(equals + 1);
        blanks(text);
        std::string value;
        if (!read_value(text, value)) return std::nullopt;
        to.append(key).push_back('=');
        append_value(to, value);
        if (text.empty()) break;
        to.push_back(text.front());
        text.remove_prefix(1);
        blanks(text);
        if (text.empty()) return std::nullopt;  // nothing behind the separator
    }
    return to;
}

bool is_under(std::string_view dn, std::string_view suffix) {
    return each_above(dn, [&](std::string_view above) { return above == suffix; });
}

}  // namespace whinledge::ldap
