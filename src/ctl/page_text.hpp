// A page of a control process as text for people. Pure.
#pragma once

#include <string>

namespace whinledge::ctl {

// Single values as lines `name: value`, lists as tables with a column for each field. What is no JSON object
// is given back as it is.
std::string page_text(const std::string& json);

}  // namespace whinledge::ctl
