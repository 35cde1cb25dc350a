// How writing to a disk fails, for all who keep state on one.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace whinledge {

enum class DiskFault {
    io,    // the disk failed: what was written since the last sync is uncertain
    full,  // no room is left
};

struct DiskError {
    DiskFault fault = DiskFault::io;
    std::string message;  // what failed on which file, and what to do about it
};

template <class T>
using DiskResult = boost::outcome_v2::result<T, DiskError, boost::outcome_v2::policy::all_narrow>;

}  // namespace whinledge
