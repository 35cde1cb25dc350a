// What calls cost on the wire, by kind.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace whinledge::rpc {

// Of one kind of call at one side, frames whole.
struct Traffic {
    std::uint64_t calls = 0;      // made here by a client, answered here by a server
    std::uint64_t bytes_out = 0;  // handed to connections
    std::uint64_t bytes_in = 0;   // of frames that were read
};

using TrafficByCall = std::map<std::string, Traffic>;  // by the call's name

}  // namespace whinledge::rpc
