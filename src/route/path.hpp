// A request's path as it is compared (RFC 3986 6.2.2), and the other ways a server behind may read it.
//
// Compared is a copy: triplets in upper case and those of unreserved characters decoded (6.2.2.1, 6.2.2.2),
// dot segments removed (6.2.2.3). Bytes that a path can't hold as they are but that clients send (RFC
// 3986 3.3 leaves out `"<>[]^`{|}` and what is not ASCII) count as their triplets. Refused, since no two
// readers agree on them: a broken triplet, %00, a control character, a space, '\', '#', '?', ".." above the
// root, and a dot segment with parameters ("..;x", which some servers take for "..").
//
// Two things stay open in RFC 3986, and servers differ: whether an encoded slash (%2F, or %5C) parts
// segments, and whether empty segments ("//") count. `Reading` names one way of each; the plain one takes
// neither. A path that is ambiguous has to lead to the same route whichever way it is read (Table::find). Not
// covered: triplets decoded twice ("%252F"), and parameters of ordinary segments ("/a;x" is not "/a").
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace whinledge::route {

constexpr std::size_t kLongestPath = 8192;  // bytes; RFC 9110 4.1 asks for 8000 of a whole URI

struct Reading {
    bool parts_encoded = false;  // an encoded slash parts segments
    bool merges = false;         // empty segments are dropped
};

// What a path is, in one pass.
struct PathLook {
    bool valid = false;   // starts with '/', holds no byte that is refused, is not longer than kLongestPath
    bool normal = false;  // equal to its plain reading: compared as it is
    bool encoded_slash = false, empty_segment = false;  // ambiguous
};
PathLook look_at(std::string_view path);

// `path` has to be valid. False: it climbs above the root, or holds a dot segment with parameters. `out` is
// replaced; its memory is used again.
bool read_path(std::string_view path, Reading reading, std::string& out);

// The bytes of a prefix that count: without the slash at its end ("/" counts none).
constexpr std::string_view without_slash(std::string_view prefix) {
    return !prefix.empty() && prefix.back() == '/' ? prefix.substr(0, prefix.size() - 1) : prefix;
}

}  // namespace whinledge::route
