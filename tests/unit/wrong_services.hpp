// Tables of wrong services files, each with all of its faults, by the part of the file that is wrong.
#pragma once

#include "unit/services_rig.hpp"

namespace whinledge::config::test {

struct Wrong {
    std::string name, text;
    Lines faults;  // without the file's name
};

// The file as a whole, `process` and listeners with their limits.
const std::vector<Wrong>& wrong_process_and_listeners();
// Pools, their members and classes.
const std::vector<Wrong>& wrong_pools();
// Routes, and what they say of requests and answers.
const std::vector<Wrong>& wrong_routes();

}  // namespace whinledge::config::test
