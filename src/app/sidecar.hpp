// The platform's sidecar: one listener of the platform's profile, one pool, its discovery and its peers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "app/config.hpp"
#include "discovery/platform.hpp"
#include "engine/engine.hpp"
#include "http/front.hpp"
#include "http/transport.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"
#include "io/wake.hpp"
#include "peers/peers.hpp"

namespace whinledge {

class Sidecar {
public:
    // A connection to a server carries its next request once it has been quiet for so long: copies of answers
    // come some milliseconds behind them. What that costs stands in docs/design/attacks.md.
    static constexpr Millis kSettle = 25;

    // Ready when it returns. Throws where the settings make no sense or an address can't be listened on.
    // `clients`: the clock of the limits of clients' connections.
    Sidecar(boost::asio::io_context& io, Config config, const TimeSource& clients = Door::steady());

    // Finishes what it holds and what still comes, then calls `done`. Each request has the time that its
    // client gives it. `accepting`: new connections come for up to 400 ms.
    void drain(std::function<void()> done, Millis accepting = 500);
    // During a drain: takes nothing more, and what is without an answer fails now.
    void hurry();

    // Takes from a new configuration what can change while it runs: where discovery is.
    void reload(const Config& config);

    Tcp::endpoint address() const { return front_->address(); }
    Balancer::Held held() const { return pool_->held(); }
    std::size_t records() const { return pool_->open(); }
    std::size_t clients() const { return front_->clients(); }
    std::size_t timers() const { return engine_.timers(); }
    Log& log() { return log_; }

private:
    Config config_;
    Log log_;  // of all the parts
    Clock clock_;
    Wake wake_;
    HttpTransport transport_;
    Engine engine_;
    Pool* pool_;
    std::optional<Discovery> discovery_;
    std::optional<Peers> peers_;
    std::optional<Front> front_;
    std::function<void()> drained_;
};

}  // namespace whinledge
