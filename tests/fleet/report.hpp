// One page about a run: HTML with pictures in it, which needs no network.
#pragma once

#include <string>

#include "fleet/experiment.hpp"
#include "fleet/record.hpp"

namespace whinledge::fleetrig {

struct Outcome;

// `zero`: when times of the experiment begin.
std::string report_of(const Experiment& experiment, const Record& record, const Outcome& outcome,
                      Millis zero);
void write_report(const std::string& path, const Experiment& experiment, const Record& record,
                  const Outcome& outcome, Millis zero);

}  // namespace whinledge::fleetrig
