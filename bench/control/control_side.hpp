// The process of the control processes and the platform.
#pragma once

#include "board.hpp"
#include "shape.hpp"

namespace whinledge::control_bench {

// Goes on until its parent is gone.
[[noreturn]] void run_controls(const Shape& shape, Board& board);

}  // namespace whinledge::control_bench
