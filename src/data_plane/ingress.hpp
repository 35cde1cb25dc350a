// Where clients connect: HTTP/1.1, one request at a time on each connection, its body held whole before it is
// sent on.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "data_plane/exchange.hpp"
#include "listen/door.hpp"
#include "serving/configuration.hpp"

namespace whinledge::data_plane {

class Ingress {
public:
    struct Options {
        Door::Listen listen;
        std::size_t places = 1000;                  // connections at once
        const TimeSource* clock = &Door::steady();  // of connections' limits
    };
    struct Counters {
        std::uint64_t no_configuration = 0, no_route = 0, rejected = 0;
        // Requests that were read whole, and whose connections were closed on here: without a byte of an
        // answer, or within it.
        std::uint64_t closed_unanswered = 0, closed_within_answer = 0;
        bool operator==(const Counters&) const = default;
    };
    // In force at present; null: none yet.
    using InForce = std::function<std::shared_ptr<const serving::Configuration>()>;

    // Listens at once; throws boost::system::system_error where it can't. `drained`: after a drain, when the
    // last client has gone.
    Ingress(boost::asio::io_context& io, Options options, ExchangeHost& host, InForce in_force,
            std::function<void()> drained);

    // There is a configuration now: who has waited for one goes on.
    void configured();

    Door& door() { return door_; }
    const Counters& counters() const { return counters_; }

private:
    class Client;

    ExchangeHost& host_;
    InForce in_force_;
    Counters counters_;
    std::vector<std::weak_ptr<Client>> unrouted_;  // whose requests wait for a first configuration
    Door door_;
};

}  // namespace whinledge::data_plane
