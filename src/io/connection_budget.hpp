// Who may have one more connection to a server.
#pragma once

#include "engine/transport.hpp"

namespace whinledge {

// Whose the connections to servers are, by pool, where more than one bound counts. All calls on the loop's
// thread.
class ConnectionBudget {
public:
    // One more, with a request on it; idle ones may be closed for it meanwhile. False: there is none to be
    // had.
    virtual bool open(PoolId pool) = 0;
    // It has come up, or failed to.
    virtual void connected(PoolId pool) = 0;
    // It falls idle. False: it has to be closed, as one at work.
    virtual bool rest(PoolId pool) = 0;
    // An idle one of `from` goes to work for `to`. False: it may not, and stays idle.
    virtual bool reuse(PoolId from, PoolId to) = 0;
    virtual void closed(PoolId pool, bool idle) = 0;

protected:
    ~ConnectionBudget() = default;
};

}  // namespace whinledge
