#include "route/host.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>

#include "route/text.hpp"

namespace whinledge::route {

namespace {

bool is_port(std::string_view text) {
    if (text.empty()) return true;
    unsigned port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port <= 65535;
}

bool is_label_char(char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') || c == '-' || c == '_';
}

// A name whose labels are all there; its last dot is gone already.
bool is_name(std::string_view name) {
    if (name.empty() || name.size() > kLongestHost) return false;
    std::size_t label = 0;
    for (const char c : name) {
        if (c == '.' ? label == 0 : !is_label_char(c)) return false;
        label = c == '.' ? 0 : label + 1;
        if (label > kLongestLabel) return false;
    }
    return label > 0;
}

// The literal between brackets; in `room` its shortest form.
std::optional<std::string_view> read_literal(std::string_view literal, HostText& room) {
    std::array<char, INET6_ADDRSTRLEN + 1> text{};
    if (literal.size() >= text.size()) return std::nullopt;
    std::ranges::copy(literal, text.begin());
    in6_addr address{};
    if (std::strlen(text.data()) != literal.size() || ::inet_pton(AF_INET6, text.data(), &address) != 1)
        return std::nullopt;
    room[0] = '[';
    ::inet_ntop(AF_INET6, &address, room.data() + 1, INET6_ADDRSTRLEN);
    const std::size_t size = std::strlen(room.data());
    room[size] = ']';
    return std::string_view(room.data(), size + 1);
}

bool is_numeric_label(std::string_view name) {
    const std::string_view last = name.substr(name.rfind('.') + 1);
    return std::ranges::all_of(last, [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

std::optional<std::string_view> read_host(std::string_view authority, HostText& room) {
    if (authority.starts_with('[')) {
        const std::size_t close = authority.find(']');
        if (close == std::string_view::npos) return std::nullopt;
        const std::string_view rest = authority.substr(close + 1);
        if (!rest.empty() && (rest.front() != ':' || !is_port(rest.substr(1)))) return std::nullopt;
        return read_literal(authority.substr(1, close - 1), room);
    }
    const std::size_t colon = std::min(authority.find(':'), authority.size());
    if (colon < authority.size() && !is_port(authority.substr(colon + 1))) return std::nullopt;
    std::string_view name = authority.substr(0, colon);
    if (name.empty()) return authority.empty() ? std::optional(name) : std::nullopt;
    if (name.back() == '.') name.remove_suffix(1);
    if (!is_name(name)) return std::nullopt;
    std::ranges::transform(name, room.begin(), lower);
    return std::string_view(room.data(), name.size());
}

std::optional<std::string> read_host_pattern(std::string_view pattern) {
    const bool wildcard = pattern.starts_with("*.");
    if (wildcard) pattern.remove_prefix(2);
    const std::size_t colon = pattern.starts_with('[') ? pattern.find("]:") : pattern.find(':');
    if (colon != std::string_view::npos) return std::nullopt;
    HostText room;
    const auto host = read_host(pattern, room);
    if (!host || host->empty()) return std::nullopt;
    if (!wildcard) return std::string(*host);
    if (host->front() == '[' || is_numeric_label(*host)) return std::nullopt;
    return '.' + std::string(*host);
}

}  // namespace whinledge::route
