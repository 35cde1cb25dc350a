// How long a process has waited for a CPU: the machine's doing, and none of the process's.
#pragma once

#include <fstream>
#include <string>

namespace whinledge::test {

// So far, in ms.
inline double waited_for_cpu(const std::string& process = "self") {
    std::ifstream schedstat("/proc/" + process + "/schedstat");
    double ran = 0, waited = 0;
    schedstat >> ran >> waited;
    return waited / 1e6;
}

}  // namespace whinledge::test
