// How long a process has waited for a CPU: the machine's doing, and none of the process's.
#pragma once

#include <chrono>
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

// Time since it was made, less that in which this process waited for a CPU.
class RunTime {
public:
    double ms() const {
        const auto passed = std::chrono::steady_clock::now() - begun_;
        return std::chrono::duration<double, std::milli>(passed).count() - (waited_for_cpu() - waited_);
    }

private:
    std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
    double waited_ = waited_for_cpu();
};

}  // namespace whinledge::test
