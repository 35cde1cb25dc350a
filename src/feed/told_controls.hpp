// Control processes in the replies to watches: told when they are others than the caller was told before, and
// else left out, as they are the larger part of a reply without news. Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift

namespace whinledge::feed {

// Tells sets of control processes apart, whatever their order; the same in all processes. Never 0.
std::int64_t controls_version(const std::vector<wire::NodeInfo>& controls);

// By who answers: puts `controls` into the reply, unless the request names their version.
void tell_controls(std::vector<wire::NodeInfo> controls, std::int64_t known_version, wire::WatchReply& reply);

// By who asks: what one answerer has told.
class ToldControls {
public:
    // Goes with the next request to the same answerer; 0: they are wanted.
    std::int64_t version() const { return version_; }
    // The control processes that a reply tells of, named in it or not.
    const std::vector<wire::NodeInfo>& take(wire::WatchReply& reply);

private:
    std::int64_t version_ = 0;
    std::vector<wire::NodeInfo> controls_;
};

}  // namespace whinledge::feed
