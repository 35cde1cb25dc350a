// One trial on processes of this machine: the tier's own programs on loopback, with servers, clients and the
// platform of the emulator. Times are this machine's, so that a seed gives the same programs and not the same
// trial.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "lab/experiment.hpp"
#include "lab/measures.hpp"
#include "tier/tier.hpp"

namespace whinledge::lab {

// Why an experiment can't be played so, with the remedy; none: it can.
std::optional<std::string> why_not_live(const Experiment& experiment);
// The same of an arm: what proxies decide is not theirs to choose, only what they are told.
std::optional<std::string> why_not_live(const Arm& arm);

struct LiveOptions {
    tier_rig::Programs programs;
    // Where a trial's folder, with the disks of its machines, is made and removed.
    std::filesystem::path disks = std::filesystem::temp_directory_path();
};

// Throws std::runtime_error where the tier does not start.
Measures run_live_trial(const Experiment& experiment, const Arm& arm, std::uint64_t seed,
                        const LiveOptions& options);

}  // namespace whinledge::lab
