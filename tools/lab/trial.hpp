// One trial: an experiment's deployment, one arm, one seed. The same seed gives the same trial.
#pragma once

#include <cstdint>

#include "lab/experiment.hpp"
#include "lab/measures.hpp"

namespace whinledge::lab {

Measures run_trial(const Experiment& experiment, const Arm& arm, std::uint64_t seed);

}  // namespace whinledge::lab
