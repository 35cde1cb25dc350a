// Writing a body in chunks (RFC 9112, 7.1).
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "http/stream.hpp"

namespace whinledge {

// Nothing for no bytes: an empty chunk is the last one.
inline void append_chunk(std::string& out, std::string_view bytes) {
    if (bytes.empty()) return;
    char size[20];
    out.append(size, static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", bytes.size())));
    out.append(bytes).append("\r\n");
}

inline void append_last_chunk(std::string& out, const Trailers& trailers = {}) {
    out += "0\r\n";
    for (const auto& [name, value] : trailers) out.append(name).append(": ").append(value).append("\r\n");
    out += "\r\n";
}

}  // namespace whinledge
