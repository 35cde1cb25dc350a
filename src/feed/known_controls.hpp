// The control processes that watches have told of, and when last. Pure: the caller brings the time.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift

namespace whinledge::feed {

class KnownControls {
public:
    using Instant = std::chrono::steady_clock::time_point;
    // One that nobody has told of for so long is forgotten.
    static constexpr std::chrono::seconds kForgetAfter{30};
    // More are not learned: a core has a few.
    static constexpr std::size_t kMost = 64;

    // Those that a reply names; what is no control process with an address is left out. Whether anything is
    // other than before.
    bool learn(const std::vector<wire::NodeInfo>& told, Instant now);

    // In the order of addresses.
    const std::vector<wire::NodeInfo>& all() const { return all_; }
    // Whether it is known to be in that zone.
    bool in_zone(const std::string& address, const std::string& zone) const;

private:
    struct Known {
        wire::NodeInfo info;
        Instant told;
    };

    bool learn_one(const wire::NodeInfo& info, Instant now);
    bool forget(Instant now);

    std::map<std::string, Known> known_;  // by address
    std::vector<wire::NodeInfo> all_;
};

}  // namespace whinledge::feed
