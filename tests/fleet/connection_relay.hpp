// Stands between nodes and servers for their connections: passes bytes, or passes nothing, late, or resets.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "fleet/clock.hpp"
#include "fleet/places.hpp"

namespace whinledge::fleetrig {

class ConnectionRelay {
public:
    ConnectionRelay(asio::io_context& io, Places& places);
    ~ConnectionRelay();
    ConnectionRelay(const ConnectionRelay&) = delete;
    ConnectionRelay& operator=(const ConnectionRelay&) = delete;

    struct Rule {
        std::function<bool(Node)> applies;
        bool reset = false;  // what there is, and what comes
        Millis delay = 0;    // of bytes, each way; without either nothing passes
    };
    std::uint64_t add(Rule rule);
    void remove(std::uint64_t id);
    std::size_t open() const { return open_.size(); }

private:
    struct Named {
        std::uint64_t id;
        Rule rule;
    };
    struct Link;
    void accept();
    const Rule* rule_for(Node node) const;
    void wake();  // what the rules held back goes on

    asio::io_context& io_;
    Places& places_;
    std::list<Named> rules_;
    std::uint64_t next_ = 1;
    std::list<std::shared_ptr<Link>> open_;
};

}  // namespace whinledge::fleetrig
