// A process of hollow sidecars: they follow the control processes (feed, overlay) and do nothing else.
#pragma once

#include "board.hpp"
#include "shape.hpp"

namespace whinledge::control_bench {

// The sidecars of process `process` of `shape.processes`: each so-many-th, so that zones are spread alike.
// Goes on until its parent is gone.
[[noreturn]] void run_sidecars(const Shape& shape, std::size_t process, SidecarSlot& slot);

}  // namespace whinledge::control_bench
