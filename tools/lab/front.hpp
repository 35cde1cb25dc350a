// A proxy as the clients of a trial see it: simulated (`Proxy`), or a process behind a socket (`LiveFront`).
#pragma once

#include <cstddef>
#include <cstdint>

#include "engine/types.hpp"
#include "placement/placement.hpp"

namespace whinledge::lab {

using TryId = std::uint64_t;

// A client's try.
struct ClientRequest {
    TryId id = 0;
    bool is_turn = false;  // else a call of a tool
    std::size_t kind = 0;  // of the program, or of the tool
    TryId previous = 0;    // of a turn: the try that answered the one before it; 0: it is the first
    bool repeatable = false;
    int tries = 1;                           // servers to which it may go
    int rank = 0;                            // of its route
    Millis time_left = 0;                    // that its client waits
    Millis finish_ms = 0;                    // until its program ought to be over
    std::uint64_t program = 0, session = 0;  // whose it is, and of which line of turns
    placement::Request prompt;               // of a turn
    std::int64_t out = 0;                    // tokens that it will put out, which nobody is told
    std::uint64_t output_part = 0;
    Millis work = 0;  // of a tool
    double bytes = 0;
};

enum class ClientWord { piece, done, refused, failed };

class ClientSink {
public:
    // On the proxy's side of the way to the client. `retry_in`: of a refusal.
    virtual void answered(TryId id, ClientWord word, Millis retry_in) = 0;

protected:
    ~ClientSink() = default;
};

class Front {
public:
    virtual ~Front() = default;
    virtual std::size_t zone() const = 0;
    virtual void take(const ClientRequest& request) = 0;
    // Its client has gone.
    virtual void left(TryId id) = 0;
};

}  // namespace whinledge::lab
