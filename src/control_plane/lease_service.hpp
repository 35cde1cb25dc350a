// Leases among control processes, with network and time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control_plane/lease.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::control_plane {

inline constexpr rpc::Call<wire::LeaseRequest, wire::LeaseReply> kLease{"lease"};

class LeaseService {
public:
    struct Options {
        std::int64_t holder = 0;  // drawn at the start of the process
        std::string node;
        bool nothing_forgotten = false;  // the system's first start: no lease can have been granted before
        std::function<LeaseVoters()> voters;
        // Whether this process has accepted the end of the epoch whose voters are told.
        std::function<bool()> epoch_ends;
    };
    LeaseService(rpc::Client& client, rpc::Server& server, Options options);
    ~LeaseService();

    // From now on this process asks for the lease.
    void seek(const std::string& lease);
    // Now and then, several times within LeaseTimes::renew.
    void tick();

    bool held(const std::string& lease) const;
    std::int64_t fencing(const std::string& lease) const;
    void raise_fencing(const std::string& lease, std::int64_t seen);
    // Lets others do it for `pause`.
    void release(const std::string& lease, Span pause);
    void release_all();

    struct View {
        std::string lease, node;  // node empty: nobody holds it, as far as this voter knows
        std::int64_t fencing = 0;
        bool own = false;
    };
    std::vector<View> views() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::control_plane
