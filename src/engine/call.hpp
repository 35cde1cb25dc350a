// One request as its protocol knows it. A pool drives it and knows nothing of the protocol.
#pragma once

#include <cstdint>
#include <memory>

#include "engine/types.hpp"

namespace whinledge {

class Pool;

// What a server made of a request, as its protocol has it.
class Answer {
public:
    virtual ~Answer() = default;
};

// How a request ended that was neither served nor refused. It promises nothing: the request may have run.
enum class Failure {
    gave_up,   // the module has given it up
    too_late,  // its time is over
    hurried,   // the process ends and does not wait for it
};

// The client's side of one request. The pool calls exactly one of served(), refused() and failed(), once, on
// the loop's thread, unless the client leaves first (Pool::gone): then none. They must not throw; what goes
// wrong in them is theirs.
class Call {
public:
    virtual ~Call() = default;

    // The final answer, whole. Or null: the transport has passed it on as it came, from begun() on, and this
    // was its end.
    virtual void served(std::unique_ptr<Answer> answer) noexcept = 0;
    // Trying again is harmless; `retry_in` tells when (milliseconds, 0: no advice).
    virtual void refused(Millis retry_in) noexcept = 0;
    virtual void failed(Failure why) noexcept = 0;
    // A whole answer that counts as a failed attempt: the call may keep it and pass it on if it fails for
    // good.
    virtual void errored(std::unique_ptr<Answer>) noexcept {}

    // Whether an attempt may be made, the first being 0: all of the request is there, from its beginning, its
    // route permits one more, and its client has not been seen to go.
    virtual bool may_start(std::uint32_t) const noexcept { return true; }

    // Set by the pool that has taken it, until it has ended.
    RequestId id = 0;
    Pool* pool = nullptr;
    // When what its server is judged by had come, on the engine's clock: of a stream of events the first of
    // them. -1: at the answer's end.
    Millis judged_at = -1;
    // Its client has given up a server that was silent for much longer than others are: what is withdrawn
    // for that counts as overdue.
    bool gave_up_silence = false;
};

}  // namespace whinledge
