// A list of members as JSON, in the form that the platform's discovery and files of members share.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string_view>

#include "engine/members.hpp"

namespace whinledge {

// Names the entry and the key at fault: "servers[3] 'addr' is not IP:PORT".
struct MemberJsonError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct MemberRules {
    std::size_t most = 10000;  // members of one list
    // Two members at one address are an error. A live view may list a server and its successor at once.
    bool distinct_addresses = true;
};

// Strict on types, bounds and addresses; keys that are not known are passed over. Throws MemberJsonError.
MemberList read_member_list(std::string_view json, const MemberRules& rules = {});

}  // namespace whinledge
