// The log of a daemon, as its settings want it: level, destination, bound on what waits to be written.
#pragma once

#include <optional>
#include <string>

#include "io/log_writer.hpp"
#include "node/settings.hpp"

namespace whinledge::programs {

// What is wrong with the settings of the log, with key and remedy. Makes no file.
std::optional<std::string> log_fault(const node::Settings& settings);

// Sends what glog is given to the writer that the settings name. Called once, with settings that have no
// fault; the writer lasts as long as the process.
LogWriter& begin_log(const node::Settings& settings);

// The level can change while the process runs; where the lines go can't.
void set_log_level(const node::Settings& settings);

}  // namespace whinledge::programs
