// The fleet of a services file in this process: its agent and its control socket.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "app/fleet_limits.hpp"
#include "config/services.hpp"
#include "control/server.hpp"
#include "io/clock.hpp"
#include "peers/fleet_agent.hpp"

namespace whinledge {

// All calls on the loop's thread.
class Fleet {
public:
    // Throws std::runtime_error: an address that can't be listened on, a control socket that can't be made.
    Fleet(boost::asio::io_context& io, const Clock& clock, const config::Fleet& config, std::uint64_t seed);

    // What a reload opens ahead of the change. prepare() throws as the constructor, with nothing changed.
    struct Change {
        config::Fleet config;
        FleetAgent::Change agent;
        std::unique_ptr<control::Server> control;  // null: it stays
    };
    Change prepare(const config::Fleet& config);
    void adopt(Change change);

    // A drain begins: others see `draining`. At its end the fleet is told goodbye.
    void drain() { agent_.set_draining(true); }
    void leave() { agent_.leave(); }

    // Of a request: see FleetLimits.
    std::optional<Millis> admit(const std::string& pool, const std::string& request_class,
                                FleetLimits::Hold& hold) {
        return limits_.admit(pool, request_class, hold);
    }

    const FleetAgent& agent() const { return agent_; }

private:
    std::unique_ptr<control::Server> open(const std::string& path);
    control::Answer answer(const nlohmann::json& request) const;
    nlohmann::json members() const;
    std::vector<fleet::Key> keys() const;
    std::vector<fleet::Key> absent() const;
    void tell(const FleetAgent::MemberEvent& event);
    void tell(const fleet::StandingChanged& change);

    boost::asio::io_context& io_;
    std::uint64_t seed_;
    FleetAgent agent_;
    FleetLimits limits_;
    std::unique_ptr<control::Server> control_;  // null: the file names none
};

}  // namespace whinledge
