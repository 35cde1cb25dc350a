// The words that the program shares with its decision module.
#pragma once

#include "kestrelhall/balancer.hpp"

namespace whinledge {

using namespace kestrelhall;

}  // namespace whinledge
