// The services file (docs/operate/services.md), from its text. No file is opened but by read_file.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fault.hpp"
#include "config/services.hpp"

namespace whinledge::config {

struct Result {
    std::optional<Services> services;  // none if anything is wrong
    std::vector<Fault> faults;         // everything that is wrong, in the order of the file
    std::vector<Fault> warnings;       // what can't be meant so; only of a file that is right
};

// `origin` names the text in faults and in the routes' origins.
Result read_services(std::string_view text, const std::string& origin);

// The text of a file; where it can't be read, nothing, and `why` is one line.
std::optional<std::string> read_file(const std::string& path, std::string& why);

}  // namespace whinledge::config
