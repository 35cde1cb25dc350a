// Runs a loop with real sockets until something has happened. It waits for events; the limit only ends a test
// that hangs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace whinledge {

// Whether it did within the limit.
template <class Holds>
bool runs_until(boost::asio::io_context& io, Holds holds,
                std::chrono::milliseconds within = std::chrono::seconds(10)) {
    constexpr std::chrono::milliseconds kLook{20};  // for what no event of the loop tells
    const auto limit = std::chrono::steady_clock::now() + within;
    while (!holds() && std::chrono::steady_clock::now() < limit) {
        io.restart();
        io.run_one_for(kLook);
    }
    return holds();
}

}  // namespace whinledge
