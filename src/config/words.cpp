#include "config/words.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>
#include <vector>

namespace whinledge::config {

namespace {

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_alnum(char c) { return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
bool is_hex(char c) { return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }
bool is_visible(char c) { return c > ' ' && c < 0x7f; }

struct Unit {
    std::string_view name;
    std::uint64_t of;
};
constexpr std::array kTimes{Unit{"ms", 1}, Unit{"s", 1000}, Unit{"m", 60000}};
constexpr std::array kSizes{Unit{"KiB", 1ULL << 10}, Unit{"MiB", 1ULL << 20}, Unit{"GiB", 1ULL << 30}};

// Digits without a leading zero, and one of the units.
std::optional<std::uint64_t> parse_amount(std::string_view text, const std::array<Unit, 3>& units) {
    std::uint64_t amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (error != std::errc() || (text[0] == '0' && end != text.data() + 1)) return std::nullopt;
    const std::string_view rest = text.substr(static_cast<std::size_t>(end - text.data()));
    const auto unit = std::ranges::find(units, rest, &Unit::name);
    constexpr std::uint64_t kMost = 1'000'000'000'000'000;  // far from where a product overflows
    if (unit == units.end() || amount > kMost / unit->of) return std::nullopt;
    return amount * unit->of;
}

std::string format_amount(std::uint64_t amount, const std::array<Unit, 3>& units, std::string none) {
    for (auto unit = units.rbegin(); unit != units.rend(); ++unit)
        if (amount != 0 && amount % unit->of == 0)
            return std::to_string(amount / unit->of) + std::string(unit->name);
    return std::to_string(amount) + none;
}

template <class In>
void fill(Address& address, int family, const In& in) {
    char text[INET6_ADDRSTRLEN];
    address.ip = inet_ntop(family, &in, text, sizeof text);
}

bool parse_ip(const std::string& text, Address& address) {
    in_addr four{};
    if (inet_pton(AF_INET, text.c_str(), &four) == 1) {
        fill(address, AF_INET, four);
        const auto bits = ntohl(four.s_addr);
        address.any = bits == 0;
        address.multicast = bits >> 28 == 0xe;  // 224.0.0.0/4
        return true;
    }
    in6_addr six{};
    if (text.size() < 4 || text.front() != '[' || text.back() != ']' ||
        inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), &six) != 1)
        return false;
    fill(address, AF_INET6, six);
    address.v6 = true;
    address.any = std::ranges::all_of(six.s6_addr, [](auto byte) { return byte == 0; });
    address.multicast = six.s6_addr[0] == 0xff;
    return true;
}

bool parse_port(std::string_view text, std::uint16_t& port) {
    if (text.empty() || text[0] == '0' || !std::ranges::all_of(text, is_digit)) return false;
    return std::from_chars(text.data(), text.data() + text.size(), port).ec == std::errc();
}

bool is_label(std::string_view label, bool service) {
    if (service && label.starts_with('_')) label.remove_prefix(1);
    return !label.empty() && label.size() <= 63 && label.front() != '-' && label.back() != '-' &&
           std::ranges::all_of(label, [](char c) { return is_alnum(c) || c == '-'; });
}

template <class Each>
bool all_parts(std::string_view text, char separator, Each each) {
    while (true) {
        const auto end = text.find(separator);
        if (!each(text.substr(0, end))) return false;
        if (end == std::string_view::npos) return true;
        text.remove_prefix(end + 1);
    }
}

bool is_escaped_well(std::string_view text) {
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && (i + 2 >= text.size() || !is_hex(text[i + 1]) || !is_hex(text[i + 2])))
            return false;
    return true;
}

}  // namespace

std::optional<Millis> parse_duration(std::string_view text) {
    const auto amount = parse_amount(text, kTimes);
    if (!amount || *amount > 1'000'000'000'000) return std::nullopt;
    return static_cast<Millis>(*amount);
}
std::string format_duration(Millis value) {
    const auto whole = static_cast<std::uint64_t>(std::llround(std::max(0.0, value)));
    return format_amount(whole, kTimes, "ms");
}

std::optional<std::uint64_t> parse_size(std::string_view text) { return parse_amount(text, kSizes); }
std::string format_size(std::uint64_t bytes) { return format_amount(bytes, kSizes, ""); }

std::string Address::text() const { return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port); }

std::optional<Address> parse_address(std::string_view text) {
    Address address;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) return std::nullopt;
    if (!parse_port(text.substr(colon + 1), address.port)) return std::nullopt;
    if (!parse_ip(std::string(text.substr(0, colon)), address)) return std::nullopt;
    return address;
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= 64 && is_alnum(text[0]) &&
           std::ranges::all_of(text, [](char c) { return is_alnum(c) || c == '_' || c == '-' || c == '.'; });
}
bool is_token(std::string_view text) {
    constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
    return !text.empty() && text.size() <= 256 &&
           std::ranges::all_of(text, [&](char c) { return is_alnum(c) || kOthers.find(c) != kOthers.npos; });
}
bool is_field_text(std::string_view text) {
    if (text.empty()) return true;
    return text.size() <= 4096 && is_visible(text.front()) && is_visible(text.back()) &&
           std::ranges::all_of(text, [](char c) { return is_visible(c) || c == ' ' || c == '\t'; });
}
bool is_printable(std::string_view text) {
    return std::ranges::all_of(text, [](char c) { return is_visible(c) || c == ' '; });
}
bool is_host(std::string_view text, bool service) {
    return text.size() <= 253 &&
           all_parts(text, '.', [&](std::string_view label) { return is_label(label, service); });
}
bool is_path(std::string_view text) {
    if (!text.starts_with('/') || text.size() > 1024 || !std::ranges::all_of(text, is_visible)) return false;
    if (text.find_first_of("?#") != std::string_view::npos || !is_escaped_well(text)) return false;
    return text.find("//") == std::string_view::npos &&
           all_parts(text, '/', [](std::string_view part) { return part != "." && part != ".."; });
}

std::string lower(std::string_view text) {
    std::string low(text);
    for (char& c : low)
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    return low;
}

std::string one_line(std::string_view text, std::size_t most) {
    std::string line;
    for (const char c : text.substr(0, most)) {
        char code[5];
        std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
        if (is_visible(c) || c == ' ')
            line += c;
        else
            line += code;
    }
    return text.size() > most ? line + "..." : line;
}

std::string quote(std::string_view text, std::size_t most) {
    std::string escaped;
    for (const char c : text.substr(0, most)) (escaped += c == '"' || c == '\\' ? "\\" : "") += c;
    std::string quoted = "\"";
    quoted += one_line(escaped, escaped.size());
    return quoted + (text.size() > most ? "...\"" : "\"");
}

std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t before = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t changed = before + (a[i - 1] != b[j - 1]);
            before = row[j];
            row[j] = std::min({changed, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row[b.size()];
}

}  // namespace whinledge::config
