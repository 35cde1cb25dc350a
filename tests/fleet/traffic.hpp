// What stands at both ends of the nodes: servers that keep what reached them, and clients that ask at a
// steady rate, whether they are answered or not.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "fleet/clock.hpp"
#include "fleet/places.hpp"
#include "fleet/record.hpp"

namespace whinledge::fleetrig {

class Servers {
public:
    // Each answers `after` ms.
    Servers(asio::io_context& io, const Places& places, const RunClock& clock, Record& record, Millis after);
    ~Servers();

private:
    class Server;
    std::vector<std::shared_ptr<Server>> servers_;
    // Requests without an answer, at all of them; a connection that ends takes its own along.
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

// Each request on a connection of its own: a read, a change that must not be repeated, in turn.
class Clients {
public:
    // `rate` a second through each member; those that `wanted` refuses are left out.
    Clients(asio::io_context& io, const Places& places, const RunClock& clock, Record& record, double rate,
            std::function<bool(Node)> wanted, std::string prefix = "");
    ~Clients();
    // No further requests; what is open may still be answered.
    void stop();
    std::size_t open() const { return calls_->size(); }
    // What is still open counts as not answered.
    void finish();

private:
    class Call;
    void next();

    asio::io_context& io_;
    const Places& places_;
    const RunClock& clock_;
    Record& record_;
    Millis between_;  // two requests, of all members taken together
    std::function<bool(Node)> wanted_;
    std::string prefix_;  // of ids, where there are several
    asio::steady_timer timer_;
    Millis next_at_ = 0;
    std::uint64_t count_ = 0;
    std::shared_ptr<std::set<Call*>> calls_ = std::make_shared<std::set<Call*>>();
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

}  // namespace whinledge::fleetrig
