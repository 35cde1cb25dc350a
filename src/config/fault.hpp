// What is wrong with a services file, one line each.
#pragma once

#include <string>

namespace whinledge::config {

struct Fault {
    std::string file;
    int line = 0;
    int column = 0;   // 0: not told, the key tells more
    std::string key;  // "pool.archive.members.source"; empty: of the text itself
    std::string what;
    // "services.toml:41: pool.archive.members.source: ..."
    std::string text() const;
    bool operator==(const Fault&) const = default;
};

}  // namespace whinledge::config
