// The one hook on what a pool is told and does: capture, journal and counts hang here and nowhere else.
#pragma once

#include "engine/types.hpp"

namespace whinledge {

class Pool;

enum class Final { served, refused, failed, gone };

// Called on the loop's thread, in order, before the pool acts on it. Must not throw and must not call back
// into the pool.
class Observer {
public:
    virtual ~Observer() = default;
    // What the module is told, and what it wants done.
    virtual void event(const Pool&, Millis, const Event&) noexcept {}
    virtual void action(const Pool&, Millis, const Action&) noexcept {}
    // A request has its end. Attempts of it may still be out, after gone() alone.
    virtual void ended(const Pool&, Millis, RequestId, Final) noexcept {}
};

}  // namespace whinledge
