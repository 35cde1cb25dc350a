// Rollouts at one control process: takes what proxies have seen, shares it with the other control processes,
// and, as the holder of the duty's lease, records the steps that follow.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "consensus/register_service.hpp"
#include "control_plane/lease_service.hpp"
#include "io/loop_timer.hpp"
#include "rollout/follower.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::control_plane {

inline constexpr const char* kRolloutsLease = "rollouts";

class RolloutService {
public:
    struct Options {
        std::string node;
        double bad_share = 0;  // of a service's requests that a bad version may get; 0: not stated
        std::function<std::vector<std::string>()> others{};  // addresses of other control processes
        std::function<std::size_t()> proxies{};              // live ones; 0: not known
    };
    RolloutService(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server,
                   consensus::RegisterService& reg, LeaseService& leases, Options options);

    // The register's state, whenever it is another.
    void follow(const wire::RegisterState& state);

    // For whinledge-ctl; JSON.
    std::string page() const;
    std::string counters() const;

private:
    void tick();
    void exchange();
    void record(const rollout::Step& step);

    rpc::Client& client_;
    consensus::RegisterService& register_;
    LeaseService& leases_;
    Options options_;
    rollout::Follower follower_;
    LoopTimer timer_;
    bool ticking_ = false, recording_ = false;
    std::uint64_t reports_ = 0, steps_ = 0, failed_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // calls that end later look whether it is there
};

}  // namespace whinledge::control_plane
