// The words of a services file: durations, sizes, addresses, names. Each has one form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kestrelhall/balancer.hpp"

namespace whinledge::config {

using kestrelhall::Millis;

// "250ms", "15s", "2m": digits and a unit. Nothing where it is not of this form or beyond 10^12 ms.
std::optional<Millis> parse_duration(std::string_view text);
// In the largest unit that leaves a whole number.
std::string format_duration(Millis value);

// "64KiB", "1MiB", "2GiB".
std::optional<std::uint64_t> parse_size(std::string_view text);
std::string format_size(std::uint64_t bytes);

// A numeric address and port, as inet_ntop(3) writes them: the same address is the same text.
struct Address {
    std::string ip;
    std::uint16_t port = 0;
    bool v6 = false, any = false, multicast = false;  // any: of every interface
    std::string text() const;
};
std::optional<Address> parse_address(std::string_view text);

// Letters, digits, '_', '-' and '.', beginning with a letter or a digit, 64 at most.
bool is_name(std::string_view text);
bool is_token(std::string_view text);  // RFC 9110, 5.6.2; 256 at most
bool is_field_text(
    std::string_view text);  // RFC 9110, 5.5, without obs-text and outer whitespace; 4096 at most
bool is_printable(std::string_view text);  // visible ASCII and spaces
// Labels of a DNS name; `service`: an underscore may lead one (RFC 2782).
bool is_host(std::string_view text, bool service = false);
bool is_path(std::string_view text);  // absolute, in normal form, neither query nor fragment

std::string lower(std::string_view text);
// With all but printable ASCII escaped, cut short.
std::string one_line(std::string_view text, std::size_t most = 200);
// In quotes, on one line, cut short.
std::string quote(std::string_view text, std::size_t most = 60);
// How many letters differ (Levenshtein).
std::size_t distance(std::string_view a, std::string_view b);

}  // namespace whinledge::config
