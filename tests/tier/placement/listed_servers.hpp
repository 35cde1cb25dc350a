// Servers for tests of the choice, and what a request would cost at one of them.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "placement/placement.hpp"

namespace whinledge::placement {

// PREFIX1 to PREFIXn, of eight slots each.
inline std::vector<ListedServer> listed_servers(const std::string& prefix, int count,
                                                const std::string& zone) {
    std::vector<ListedServer> all;
    for (int i = 1; i <= count; ++i) {
        std::string id = prefix;
        all.push_back({id.append(std::to_string(i)), zone, false, 0, 8});
    }
    return all;
}

// n1 and on "here", f1 and on "there".
inline std::vector<ListedServer> listed_in_two_zones(int near, int far) {
    std::vector<ListedServer> all = listed_servers("n", near, "here");
    const std::vector<ListedServer> others = listed_servers("f", far, "there");
    all.insert(all.end(), others.begin(), others.end());
    return all;
}

inline Estimate estimate_at(const Placement& placement, const std::string& server, const Request& request,
                            Millis now) {
    for (const Estimate& e : placement.estimates(request, now))
        if (e.server == server) return e;
    ADD_FAILURE() << server << " takes nothing";
    return {};
}

}  // namespace whinledge::placement
