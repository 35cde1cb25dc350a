// The steady clock as the pure cores are told it.
#pragma once

#include <chrono>

namespace whinledge {

// Milliseconds on a clock that never goes back; where it begins says nothing.
inline double steady_millis() {
    using Span = std::chrono::duration<double, std::milli>;
    return Span(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}  // namespace whinledge
