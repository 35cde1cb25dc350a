// What a run of control_bench is made of, and where its processes listen.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace whinledge::control_bench {

using Steady = std::chrono::steady_clock;

inline constexpr int kControls = 3, kZones = 4;
inline constexpr std::size_t kServersOnAPage = 50;

struct Shape {
    std::string folder;
    std::size_t sidecars = 30, processes = 1, servers = 200, orders = 20, drains = 20;
    std::chrono::seconds settle{15}, rest{20};
    std::chrono::milliseconds freeze_controls{0}, freeze_sidecars{0};
    int port = 17380;
};

inline std::string control_ip(int i) { return std::string("127.0.0.").append(std::to_string(i + 1)); }
inline std::string sidecar_ip(std::size_t i) {
    return std::string("127.") + std::to_string(i / 250 + 1) + ".0." + std::to_string(i % 250 + 1);
}
inline std::string zone(std::size_t i) { return std::string("zone-").append(std::to_string(i % kZones)); }
inline std::string with_port(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

// The same clock in all processes.
inline std::int64_t now_us() {
    return std::chrono::duration_cast<std::chrono::microseconds>(Steady::now().time_since_epoch()).count();
}

}  // namespace whinledge::control_bench
