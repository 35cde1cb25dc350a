// The members of a pool, and where they come from.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "engine/types.hpp"

namespace whinledge {

// A server as its source tells of it.
struct Member {
    std::string id;       // the same at every instance; names the server in logs and in the module's ledger
    std::string address;  // IP:PORT, [IPv6]:PORT; the machine is known by it
    std::string zone;
    std::string kind;
    std::uint32_t cell = 0;
    Phase phase = Phase::on;
    Millis started = 0;  // Unix milliseconds; 0: long ago
    bool operator==(const Member&) const = default;
};

struct MemberList {
    std::uint64_t version = 0;
    bool full = false;  // else only what changed
    std::vector<Member> members;
};

// A source of members. It never blocks the loop and calls back from it, never from within start(). A source
// that fails leaves the list held in force.
class MemberSource {
public:
    struct Callbacks {
        std::function<void(MemberList)> changed;
        // What went wrong, once for each stretch of failures. Only a source that does not go on by itself
        // counts on being asked again through watch().
        std::function<void(const std::string& why)> failed;
    };
    virtual ~MemberSource() = default;
    virtual void start() = 0;
    // The module asks to be told of changes, or not to be; most sources tell all the time.
    virtual void watch(bool) {}
    // The module asks for the whole list, once.
    virtual void fetch() {}
};

}  // namespace whinledge
