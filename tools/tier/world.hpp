// What all stand-ins share: one loop, one clock, one record, and small helps for coroutines.
#pragma once

// clang-format off
#include <utility>  // ahead of Asio 1.74, which forgets it
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>

#include "tier/record.hpp"

namespace whinledge::tier_rig {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
template <class T>
using Task = asio::awaitable<T>;

inline auto caught(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }
inline std::chrono::steady_clock::duration span(Millis milliseconds) {
    return std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, milliseconds) * 1000));
}

struct World {
    explicit World(asio::io_context& loop, std::uint64_t seed) : io(loop), random(seed) {}
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    Millis now() const {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
    }
    double between(double low, double high) { return std::uniform_real_distribution<>(low, high)(random); }
    int below(int bound) { return std::uniform_int_distribution<>(0, bound - 1)(random); }
    bool chance(double share) { return between(0, 1) < share; }
    std::string hex(int digits) {
        std::string text;
        for (int i = 0; i < digits; ++i) text += "0123456789abcdef"[below(16)];
        return text;
    }

    asio::io_context& io;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    std::mt19937_64 random;
    Record record;
    bool ending = false;  // nothing new is begun
    // Whether under half of the places on the servers that a path may go to are taken and nothing waits
    // there.
    std::function<bool(const std::string& path)> servers_idle;
};

inline Task<void> sleep_for(World& world, Millis milliseconds) {
    asio::steady_timer timer(world.io, span(milliseconds));
    error_code ignored;
    co_await timer.async_wait(caught(ignored));
}

// Begins a task that nobody waits for. An exception out of it is a fault of the rig: told, and the rig stops.
inline void begin(World& world, Task<void> task) {
    asio::co_spawn(world.io, std::move(task), [&world](std::exception_ptr fault) {
        if (!fault) return;
        try {
            std::rethrow_exception(fault);
        } catch (const std::exception& error) {
            std::cerr << "rig: " << error.what() << '\n';
        }
        world.io.stop();
    });
}

// Waits for several tasks.
class Gather {
public:
    explicit Gather(World& world) : world_(world), state_(std::make_shared<State>(world)) {}
    void add(Task<void> task) {
        ++state_->open;
        begin(world_, watch(state_, std::move(task)));
    }
    Task<void> wait() {
        const auto state = state_;
        error_code ignored;
        if (state->open > 0) co_await state->timer.async_wait(caught(ignored));
    }

private:
    struct State {
        explicit State(World& world) : timer(world.io, asio::steady_timer::time_point::max()) {}
        asio::steady_timer timer;
        int open = 0;
    };
    static Task<void> watch(std::shared_ptr<State> state, Task<void> task) {
        co_await std::move(task);
        if (--state->open == 0) state->timer.cancel();
    }
    World& world_;
    std::shared_ptr<State> state_;
};

}  // namespace whinledge::tier_rig
