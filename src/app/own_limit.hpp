// What the machine allows the process to hold, whatever its configuration says.
#pragma once

#include <sys/resource.h>

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <limits>
#include <system_error>

namespace whinledge {

inline std::size_t less(std::size_t from, std::size_t what) { return from - std::min(from, what); }

// Open now; `unknown` where that can't be told.
inline std::size_t open_descriptors(std::size_t unknown) {
    std::error_code failed;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator at("/proc/self/fd", failed), end; !failed && at != end;
         at.increment(failed))
        ++count;
    return failed ? unknown : count;
}

// What RLIMIT_NOFILE leaves beside what is open now and so many that are still to come. What is beyond it
// would be had by idle clients, and wanting to discovery and to servers.
inline std::size_t descriptors_left(std::size_t to_come) {
    constexpr std::size_t kUsuallyOpen = 8;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return less(limit.rlim_cur, open_descriptors(kUsuallyOpen) + to_come);
}

}  // namespace whinledge
