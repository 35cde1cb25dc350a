#pragma once

#include "engine/types.hpp"

namespace whinledge {

// Milliseconds that never go back.
class TimeSource {
public:
    virtual ~TimeSource() = default;
    virtual Millis now() const = 0;
};

}  // namespace whinledge
