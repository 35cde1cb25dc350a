// The edge process: clients come in, requests go out to the servers of their services, by the configuration
// and the servers list that control processes tell of.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "data_plane/connection_share.hpp"
#include "data_plane/exchange.hpp"
#include "data_plane/ingress.hpp"
#include "data_plane/list_pace.hpp"
#include "data_plane/openings_share.hpp"
#include "data_plane/readiness.hpp"
#include "data_plane/rollout_share.hpp"
#include "data_plane/service_pools.hpp"
#include "engine/engine.hpp"
#include "feed/feed.hpp"
#include "feed/feed_relay.hpp"
#include "feed/servers_list_client.hpp"
#include "http/transport.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"
#include "io/loop_timer.hpp"
#include "io/wake.hpp"
#include "node/settings.hpp"
#include "rpc/client.hpp"
#include "storage_plane/turn_client.hpp"

namespace whinledge::data_plane {

class Proxy {
public:
    // What no proxy can be run with, by key and remedy. Empty: nothing.
    static std::optional<std::string> fault(const node::Settings& settings);

    // Listens at once; throws where an address can't be had.
    Proxy(boost::asio::io_context& io, const node::Settings& settings);

    // From a settings file that has changed: what can change while the process runs.
    void change(const node::Settings& settings);
    // Not ready at once; requests go on being taken for a moment, and what was taken is finished within the
    // grace of the settings. `done` once, then.
    void terminate(std::function<void()> done);

    bool is_ready() const;
    // A line of figures; the same text while nothing has changed.
    std::string counters() const;

    Door::Tcp::endpoint public_address() { return ingress_->door().address(); }
    Door::Tcp::endpoint readiness_address() const { return readiness_->address(); }

private:
    ServicePools::Options pool_options();
    storage_plane::TurnClient::Options turn_options();
    OpeningsShare::Options openings_options();
    RolloutShare::Options rollout_options();
    // The storage plane as exchanges see it.
    class Turns;

    void apply(const wire::RegisterState& state);
    // The platform's list, read by this process where nobody does it for all.
    void watch_list();
    void read_list();
    bool has_list() const;
    ListSituation list_situation() const;
    void end();

    boost::asio::io_context& io_;
    node::Settings settings_;
    std::mt19937_64 random_;
    Log log_;
    Clock clock_;
    Wake wake_;
    HttpTransport transport_;
    Engine engine_;
    ServicePools pools_;
    ProxyCount proxy_count_;
    rpc::Client rpc_;
    feed::Feed feed_;
    feed::FeedRelay relay_;
    OpeningsShare openings_;
    RolloutShare rollouts_;
    storage_plane::TurnClient turn_client_;
    std::unique_ptr<TurnStore> turns_;
    ExchangeHost host_;
    std::shared_ptr<const serving::Configuration> in_force_;
    feed::ServersListClient list_client_;
    ListPace list_pace_;
    LoopTimer list_timer_;
    std::uint64_t own_readings_ = 0, own_failures_ = 0;
    int own_reading_calls_ = 0;  // that the latest took; 0: none yet
    std::optional<Readiness> readiness_;
    std::optional<Ingress> ingress_;
    LoopTimer terminate_timer_;
    std::function<void()> terminated_;
    bool terminating_ = false;
};

}  // namespace whinledge::data_plane
