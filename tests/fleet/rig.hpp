// A run of an experiment: N processes of the program, the relays between them, and what watches them.
#pragma once

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "fleet/checks.hpp"
#include "fleet/experiment.hpp"
#include "fleet/record.hpp"

namespace whinledge::fleetrig {

class Processes;

struct Outcome {
    bool passed = false;
    std::vector<Result> results;
    std::vector<Detection> detections;
    Millis settled_after = 0;  // from the start of the processes
    // Of the rig itself: what it lost, and how late its own timers came at worst, ms.
    std::uint64_t overrun = 0, strange = 0;
    Millis lateness = 0;
    std::uint64_t longest_datagram = 0;
    std::uint64_t least_kib = 0, most_kib = 0;  // resident, of a process at the end
};

// A few lines for a terminal.
std::string summary_of(const Experiment& experiment, const Record::Cast& cast, const Outcome& outcome);

// Runs it with that program. `folder` takes files and logs of the nodes, events.jsonl and report.html.
// Throws std::runtime_error where it can't be run at all.
// `settled` is called once, when the fleet has; the rig stands still meanwhile.
Outcome run(const Experiment& experiment, const std::string& binary, const std::filesystem::path& folder,
            const std::function<void(const Processes&)>& settled = {});

}  // namespace whinledge::fleetrig
