// Lines of words, as tests write what is there.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace whinledge::consensus::test {

inline std::vector<std::string> words(const std::string& line) {
    std::vector<std::string> result;
    for (std::size_t at = 0; at < line.size();) {
        const std::size_t end = std::min(line.find(' ', at), line.size());
        result.push_back(line.substr(at, end - at));
        at = end + 1;
    }
    return result;
}

}  // namespace whinledge::consensus::test
