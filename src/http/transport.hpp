// HTTP/1.1 to a pool's servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <unordered_map>
#include <utility>

#include "engine/transport.hpp"
#include "http/upstream.hpp"

namespace whinledge {

// Takes calls that are HttpCalls.
class HttpTransport final : public Transport {
public:
    HttpTransport(boost::asio::io_context& io, Log& log, Upstream::Limits limits,
                  ConnectionBudget* budget = nullptr, LetGo let_go = {})
        : io_(io), upstream_(io, log, limits, budget, std::move(let_go)) {}

    void set_machine(MachineId machine, const std::string& address, Millis started) override;
    void forget_machine(MachineId machine) override { upstream_.forget_server(machine); }
    void close_idle(MachineId machine) override { upstream_.close_idle(machine); }
    Begun start(const Attempt& attempt, Key key, Listener& listener) noexcept override;
    bool stop(ExchangeId exchange) noexcept override { return upstream_.stop(exchange); }
    bool written(ExchangeId exchange) const noexcept override { return upstream_.written(exchange); }
    // GET /ping, as the platform's servers know it.
    void probe(PoolId pool, MachineId machine, Millis timeout, Listener& listener) override;

    // How a pool's connections are held; without it, as the limits of all have it.
    struct PoolLimits {
        Millis connect_timeout = 0, idle = 0;
    };
    void set_pool(PoolId pool, PoolLimits limits) { pools_[pool] = limits; }
    void forget_pool(PoolId pool) { pools_.erase(pool); }

    Upstream& upstream() { return upstream_; }
    const Upstream& upstream() const { return upstream_; }

private:
    boost::asio::io_context& io_;
    Upstream upstream_;
    std::unordered_map<PoolId, PoolLimits> pools_;
};

}  // namespace whinledge
