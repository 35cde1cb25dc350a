// The platform: the list of servers, which is behind and takes calls at a rate, and the way in, which asks
// the sidecars whether they are ready and hands connections of clients to them.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tier/http.hpp"

namespace whinledge::tier_rig {

struct ServerEntry {
    std::string id, service, address, zone;
    int slots = 0;
    bool draining = false, engine = false;
};

struct Sidecar {
    std::string machine, zone;
    Tcp::endpoint public_address, readiness;
    int incarnation = 0;
};

class Platform {
public:
    struct Options {
        Tcp::endpoint address;
        Millis delay = 800;         // how far the list is behind
        double calls_per_s = 40;    // beyond them: 429
        std::size_t page_size = 4;  // entries
    };
    Platform(World& world, Options options);
    void start();

    void put(const ServerEntry& server);        // new or changed
    void remove(const std::string& server_id);  // gone

    void put_sidecar(const Sidecar& sidecar);  // new, or another incarnation
    void remove_sidecar(const std::string& machine);
    // Where a connection of this client goes now; none: there is no sidecar.
    std::optional<Sidecar> way_in(const std::string& zone, std::uint64_t client_hash) const;
    std::vector<Sidecar> sidecars() const;  // with whether they are in, see ready()
    std::size_t ready() const;
    std::size_t known() const { return sidecars_.size(); }
    std::uint64_t calls() const { return calls_; }
    std::uint64_t rejected() const { return rejected_; }

private:
    struct Known {
        Sidecar sidecar;
        int misses = 2;  // two: out
        bool asked = false;
    };
    struct Change {
        Millis at;
        std::vector<ServerEntry> servers;
    };
    Task<bool> answer(Stream& stream, Request& request);
    Task<void> ask_readiness();
    Task<void> ask(std::string machine, Tcp::endpoint address);
    void changed();
    const std::vector<ServerEntry>& shown() const;
    bool takes_call();

    World& world_;
    Options options_;
    std::shared_ptr<HttpService> service_;
    std::map<std::string, ServerEntry> servers_;
    std::deque<Change> history_;
    std::map<std::string, Known> sidecars_;
    std::deque<Millis> recent_calls_;
    std::uint64_t calls_ = 0, rejected_ = 0;
};

// A loopback net that a rig has to itself, 127.SUBNET: its platform's address claims it.
struct ClaimedNet {
    int subnet = 0;
    std::unique_ptr<Platform> platform;
    Platform::Options options;  // with the platform's address
};
// `subnet` 0: one that no other rig uses at present. Throws boost::system::system_error where that one, or
// all of them, are taken.
ClaimedNet claim_net(World& world, Platform::Options options, int subnet);

// Address `last` of the servers in a zone, on their port.
Tcp::endpoint server_endpoint(int subnet, std::size_t zone, int last);

}  // namespace whinledge::tier_rig
