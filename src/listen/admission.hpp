// What a request is granted by the limits of its listener and its pool, for as long as it holds it.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "engine/types.hpp"

namespace whinledge {

// Given back by its end.
class Grant {
public:
    virtual ~Grant() = default;
    // Bytes of bodies held for it from now on, as a whole. False: it has to do with what it had.
    virtual bool hold(std::size_t bytes) = 0;
};

struct Admission {
    std::unique_ptr<Grant> grant;  // null: refused
    bool of_listener = false;      // whose limit it was
    Millis retry_in = 0;           // a hint, in milliseconds
};

// By the names of the pool and of the request's class; empty: everybody is let in.
using Admit = std::function<Admission(const std::string& pool, const std::string& request_class)>;

}  // namespace whinledge
