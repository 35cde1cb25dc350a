// Characters, names and hashes that routes are made of. Pure functions, without allocation.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "hash/mix64.hpp"

namespace whinledge::route {

// RFC 9110 5.6.2: what methods and names of headers are made of.
bool is_token(std::string_view text);
// RFC 9110 5.5: no control character but HTAB (so neither CR, LF nor NUL), no white space at its ends.
bool is_field_value(std::string_view text);

constexpr char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }
bool same_name(std::string_view a, std::string_view b);  // ASCII, without case
std::string lowered(std::string_view text);

int hex_digit(char c);                                      // its value; -1: none
void append_triplet(std::string& out, unsigned char byte);  // "%2F": upper case, as RFC 3986 6.2.2.1 has it

// FNV-1a, one byte at a time, so that the hash of each prefix comes for free on the way.
constexpr std::uint64_t kHashStart = 0xcbf29ce484222325u;
constexpr std::uint64_t hash_next(std::uint64_t hash, char c) {
    return (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
}
// The same on every machine and in every version: sidecars that share a split have to agree on it.
std::uint64_t hash_of(std::string_view text);

}  // namespace whinledge::route
