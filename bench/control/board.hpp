// Memory that the processes of a run share: what each tells the one that measures. Times are microseconds of
// the steady clock, 0 before.
#pragma once

#include <sys/types.h>

#include <array>
#include <atomic>
#include <cstdint>

#include "rpc/traffic.hpp"
#include "shape.hpp"

namespace whinledge::control_bench {

inline constexpr std::size_t kMostProcesses = 16;
inline constexpr std::size_t kMostCalls = 32, kMostName = 48;

// What the calls of one name have cost the sidecars of one process.
struct CallTraffic {
    std::array<char, kMostName> name{};
    rpc::Traffic traffic;
};

// Written by its process, with `answered` last, and read once that is what was asked.
struct Figures {
    std::array<CallTraffic, kMostCalls> calls;
    std::size_t call_names = 0;
    std::uint64_t failed_calls = 0;
    double processor_ms = 0;
    std::uint64_t resident_kb = 0;
    std::size_t descriptors = 0;
};

// Of one process of sidecars.
struct SidecarSlot {
    std::atomic<pid_t> process{0};
    std::atomic<std::size_t> confirmed{0};       // sidecars that have a confirmed state and a list
    std::atomic<std::int64_t> least_version{0};  // of all its sidecars
    std::atomic<std::int64_t> version_at{0};     // when the last of them had that
    std::atomic<std::size_t> least_drains{0};
    std::atomic<std::int64_t> drains_at{0};            // when the last of them had heard of so many
    std::atomic<std::int64_t> first_drain_at{0};       // when the first of them heard of the newest
    std::atomic<std::int64_t> stall_us{0};             // longest of its loop since that was last set to 0
    std::atomic<std::uint64_t> asked{0}, answered{0};  // for its figures, rising
    Figures figures;
};

struct Board {
    std::atomic<std::size_t> drains{0};   // that the platform's list shows
    std::atomic<std::uint64_t> calls{0};  // that the platform was asked
    std::atomic<pid_t> controls{0};
    std::atomic<double> controls_ms{0};  // processor time of the control processes
    // Of the newest drain: a first page that shows it, and the last page of that reading, have been served.
    std::atomic<std::int64_t> shown_at{0}, read_at{0};
    std::atomic<std::int64_t> controls_stall_us{0};  // longest of their loop since it was last set to 0
    std::array<SidecarSlot, kMostProcesses> sidecars;
};

}  // namespace whinledge::control_bench
