#include "route/text.hpp"

#include <algorithm>

namespace whinledge::route {

namespace {

bool is_alnum(char c) { return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z'); }

bool is_token_char(char c) {
    return is_alnum(c) ||
           (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}

bool is_space(char c) { return c == ' ' || c == '\t'; }

}  // namespace

bool is_token(std::string_view text) { return !text.empty() && std::ranges::all_of(text, is_token_char); }

bool is_field_value(std::string_view text) {
    if (!text.empty() && (is_space(text.front()) || is_space(text.back()))) return false;
    return std::ranges::all_of(text, [](unsigned char c) { return (c >= 0x20 && c != 0x7f) || c == '\t'; });
}

bool same_name(std::string_view a, std::string_view b) { return std::ranges::equal(a, b, {}, lower, lower); }

std::string lowered(std::string_view text) {
    std::string out(text);
    std::ranges::transform(out, out.begin(), lower);
    return out;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    const char small = lower(c);
    return small >= 'a' && small <= 'f' ? small - 'a' + 10 : -1;
}

void append_triplet(std::string& out, unsigned char byte) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    out += '%';
    out += digits[byte >> 4];
    out += digits[byte & 15];
}

std::uint64_t hash_of(std::string_view text) {
    std::uint64_t hash = kHashStart;
    for (const char c : text) hash = hash_next(hash, c);
    return mix64(hash);
}

}  // namespace whinledge::route
