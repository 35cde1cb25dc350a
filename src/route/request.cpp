#include "route/request.hpp"

#include <algorithm>

#include "route/text.hpp"

namespace whinledge::route {

namespace {

// The byte that starts there, decoded; `at` moves past it.
char next_decoded(std::string_view raw, std::size_t& at) {
    const char c = raw[at++];
    if (c == '+') return ' ';
    if (c != '%' || at + 1 >= raw.size()) return c;
    const int high = hex_digit(raw[at]), low = hex_digit(raw[at + 1]);
    if (high < 0 || low < 0) return c;
    at += 2;
    return static_cast<char>(high * 16 + low);
}

// Cuts off what stands before the next separator.
std::string_view take(std::string_view& text, char separator) {
    const std::size_t end = std::min(text.find(separator), text.size());
    const std::string_view first = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return first;
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

}  // namespace

std::optional<std::string_view> HeaderList::value(std::string_view name, std::size_t nth) const {
    for (const auto& [own, value] : fields_)
        if (same_name(own, name) && nth-- == 0) return value;
    return std::nullopt;
}

std::optional<std::string_view> query_value(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        std::string_view value = take(query, '&');
        if (equals_decoded(take(value, '='), name)) return value;
    }
    return std::nullopt;
}

std::optional<std::string_view> cookie(const Headers& headers, std::string_view name) {
    for (std::size_t nth = 0;; ++nth) {
        auto line = headers.value("Cookie", nth);
        if (!line) return std::nullopt;
        while (!line->empty()) {
            std::string_view value = take(*line, ';');
            if (trimmed(take(value, '=')) == name) return trimmed(value);
        }
    }
}

bool equals_decoded(std::string_view raw, std::string_view text) {
    std::size_t at = 0;
    for (const char c : text)
        if (at >= raw.size() || next_decoded(raw, at) != c) return false;
    return at == raw.size();
}

void decode(std::string_view raw, std::string& out) {
    out.clear();
    for (std::size_t at = 0; at < raw.size();) out += next_decoded(raw, at);
}

}  // namespace whinledge::route
