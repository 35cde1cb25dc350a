// The rig's one clock: ms since its start.
#pragma once

#include <chrono>

#include "fleet/record.hpp"

namespace whinledge::fleetrig {

class RunClock {
public:
    using Steady = std::chrono::steady_clock;
    Millis now() const { return std::chrono::duration<Millis, std::milli>(Steady::now() - start_).count(); }
    Steady::time_point when(Millis at) const { return start_ + span(at); }
    static Steady::duration span(Millis length) {
        return std::chrono::duration_cast<Steady::duration>(
            std::chrono::duration<Millis, std::milli>(length));
    }

private:
    Steady::time_point start_ = Steady::now();
};

}  // namespace whinledge::fleetrig
