// One control process: the register's acceptor and proposer, the operator's API, watches, leases and the
// duties that go with them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "consensus/register_service.hpp"
#include "control_plane/http_server.hpp"
#include "control_plane/lease_service.hpp"
#include "control_plane/membership.hpp"
#include "control_plane/openings_service.hpp"
#include "control_plane/operator_api.hpp"
#include "control_plane/proxy_census.hpp"
#include "control_plane/rollout_service.hpp"
#include "control_plane/servers_list_reader.hpp"
#include "control_plane/storage_map_reconciler.hpp"
#include "control_plane/watch_service.hpp"
#include "failure_domain/loss_tolerance.hpp"
#include "io/loop_timer.hpp"
#include "node/settings.hpp"
#include "overlay/overlay_service.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::control_plane {

inline constexpr rpc::Call<wire::HelloRequest, wire::HelloReply> kHello{"hello"};
inline constexpr const char* kStorageMapLease = "storage-map";

class ControlProcess {
public:
    // Listens and reads its disk. Throws std::runtime_error or boost::system::system_error where it can't.
    ControlProcess(boost::asio::io_context& io, const node::Settings& settings,
                   const consensus::RegisterService::WrapLog& wrap_log = {});
    ~ControlProcess();

    void start();
    // The settings file has changed; only the seeds are taken from it.
    void set_seeds(std::vector<std::string> seeds);
    // Gives up leases, answers what it owes, then calls `done`.
    void stop(std::function<void()> done);

    std::string counters() const;

private:
    void tick();
    void tick_after(Span delay);
    void say_hello();
    void hear_hello(const wire::HelloRequest& hello);
    void reconcile_storage();
    // Many watchers take states and lists from the overlay, whose roots the control processes are.
    void reconcile_overlay();
    void publish(const wire::RegisterState& state);
    void finish_when_nothing_is_owed(Instant limit, std::function<void()> done);

    std::vector<std::string> other_controls() const;
    std::vector<wire::NodeInfo> present_controls() const;
    std::optional<std::size_t> live_proxies();
    WatchService::Source watch_source();
    OperatorApi::Options api_options();
    std::string members_page() const;
    std::string acceptors_page() const;
    std::string leases_page() const;
    std::string overlay_page() const;
    std::string list_page() const;
    nlohmann::json acceptors() const;
    std::vector<std::string> unborne_losses() const;
    void tell_unborne_losses();
    std::string replicas_page() const;
    std::string openings_page();
    std::string status_page() const;

    boost::asio::io_context& io_;
    wire::NodeInfo self_;
    std::vector<std::string> seeds_;
    rpc::Client client_;
    rpc::Server server_;
    consensus::RegisterService register_;
    Membership membership_;
    ProxyCensus proxy_census_{std::chrono::steady_clock::now()};
    std::size_t watching_proxies_ = 0;  // as of the last hello; replies to watches tell of them
    LeaseService leases_;
    ServersListReader list_reader_;
    WatchService watches_;
    overlay::OverlayService overlay_;
    StorageMapReconciler reconciler_;
    failure_domain::LossTolerance survive_;
    std::vector<std::string> told_unborne_losses_;
    OpeningsService openings_;
    RolloutService rollouts_;
    OperatorApi api_;
    std::optional<HttpServer> http_;
    LoopTimer timer_;
    std::minstd_rand random_{std::random_device{}()};
    Instant hello_due_{};
    bool changing_storage_ = false, stopping_ = false;
    std::shared_ptr<int> alive_ =
        std::make_shared<int>(0);  // callbacks that come later look whether it is there
};

}  // namespace whinledge::control_plane
