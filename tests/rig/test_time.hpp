// A clock that the test sets.
#pragma once

#include "engine/time_source.hpp"

namespace whinledge::test {

struct TestTime final : TimeSource {
    Millis now() const override { return at; }
    Millis at = 1e6;
};

}  // namespace whinledge::test
