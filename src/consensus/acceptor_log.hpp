// An acceptor's log of records as its writer uses it: a seam, so that tests can hold and fail its syncs.
#pragma once

#include <cstdint>

#include "consensus/register_host.hpp"
#include "io/disk_error.hpp"

namespace whinledge::consensus {

struct LogFigures {
    std::uint64_t syncs = 0;
    std::uint64_t bytes = 0;  // of the segment in use
};

class AcceptorLog {
public:
    virtual ~AcceptorLog() = default;
    // Returns once all records are synced, by one sync. After an error they are to be taken as not written.
    virtual DiskResult<void> append(const AcceptorWrite& write) = 0;
    virtual LogFigures figures() const = 0;
};

}  // namespace whinledge::consensus
