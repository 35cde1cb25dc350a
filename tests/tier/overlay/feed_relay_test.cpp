// Feeds that take their states from the overlay, over loopback, with one control process that answers their
// watches.
#include "feed/feed_relay.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../runs_until.hpp"
#include "control_plane/watch_service.hpp"
#include "overlay/overlay_service.hpp"

namespace whinledge::feed {
namespace {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

const Tcp::endpoint kAnyPort(boost::asio::ip::make_address("127.0.0.1"), 0);

std::string address_of(const rpc::Server& server) {
    return std::string("127.0.0.1:").append(std::to_string(server.address().port()));
}

struct Control {
    explicit Control(boost::asio::io_context& io)
        : client(io),
          server(io, kAnyPort),
          watches(io, server, source()),
          overlay(io, client, server, options()) {
        overlay.start();
    }
    overlay::OverlayService::Options options() const { return {info(), {}}; }
    wire::NodeInfo info() const {
        wire::NodeInfo info;
        info.node = "control";
        info.address = address_of(server);
        info.role = wire::NodeRole::control;
        return info;
    }
    control_plane::WatchService::Source source() {
        control_plane::WatchService::Source made;
        made.state = [this]() -> const wire::RegisterState& { return state; };
        made.servers = [this]() -> const wire::ServersList& { return servers; };
        made.list_alive = [] { return true; };
        made.controls = [this] { return std::vector<wire::NodeInfo>{info()}; };
        made.read = [this](std::function<void(std::optional<wire::RegisterState>)> done) { done(state); };
        made.heard = [](const wire::WatchRequest&) {};
        made.relay = [this] { return relay; };
        return made;
    }
    void choose(std::int64_t sequence, bool by_overlay) {
        state.sequence = sequence;
        state.configuration = std::string(5000, 'c');
        if (by_overlay) overlay.publish(state);
        watches.changed();
    }

    wire::RegisterState state;
    wire::ServersList servers;
    bool relay = true;
    rpc::Client client;
    rpc::Server server;
    control_plane::WatchService watches;
    overlay::OverlayService overlay;
};

struct Edge {
    Edge(boost::asio::io_context& io, const std::string& control) : client(io) {
        Feed::Options options;
        options.self.address = address_of(rpc::Server(io, kAnyPort));  // free a moment ago
        options.self.node = options.self.address;
        options.seeds = {control};
        feed = std::make_unique<Feed>(io, client, options);
        relay =
            std::make_unique<FeedRelay>(io, client, *feed, FeedRelay::Options{options.self, options.seeds});
        feed->on_state = [this](const wire::RegisterState& state) { sequence = state.sequence; };
        feed->start();
    }
    bool has(const std::string& counter) const {
        return (feed->counters() + " " + relay->counters() + " ").find(counter + " ") != std::string::npos;
    }

    rpc::Client client;
    std::unique_ptr<Feed> feed;
    std::unique_ptr<FeedRelay> relay;
    std::int64_t sequence = 0;
};

class FeedRelayTest : public testing::Test {
protected:
    FeedRelayTest() {
        control_.choose(1, true);
        for (int i = 0; i < 8; ++i) edges_.push_back(std::make_unique<Edge>(io_, control_.info().address));
    }
    template <class Holds>
    bool run_until(Holds holds, std::chrono::milliseconds within = 5000ms) {
        return runs_until(io_, std::move(holds), within);
    }
    bool all(const std::string& counter) const {
        for (const auto& edge : edges_)
            if (!edge->has(counter)) return false;
        return true;
    }
    bool all_at(std::int64_t sequence) const {
        for (const auto& edge : edges_)
            if (edge->sequence != sequence) return false;
        return true;
    }

    boost::asio::io_context io_;
    Control control_{io_};
    std::vector<std::unique_ptr<Edge>> edges_;
};

TEST_F(FeedRelayTest, StatesComeByTheOverlayWhileTheControlProcessAsksForThat) {
    ASSERT_TRUE(run_until([&] { return all_at(1) && all("relayed=1") && all("running=1"); }));
    ASSERT_TRUE(run_until([&] { return all("delivered=1"); }));
    for (std::int64_t sequence = 2; sequence < 6; ++sequence) {
        control_.choose(sequence, true);
        ASSERT_TRUE(run_until([&] { return all_at(sequence); }));
    }
    EXPECT_TRUE(all("delivered=5"));
    EXPECT_TRUE(all("fetched=0"));
}

TEST_F(FeedRelayTest, WhatTheOverlayDoesNotBringIsFetched) {
    ASSERT_TRUE(run_until([&] { return all_at(1) && all("relayed=1"); }));
    control_.choose(2, false);
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(run_until([&] { return all_at(2); }));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 1500ms);
    EXPECT_TRUE(all("fetched=1"));
}

TEST_F(FeedRelayTest, EndsWhenTheControlProcessNoLongerAsks) {
    ASSERT_TRUE(run_until([&] { return all_at(1) && all("relayed=1"); }));
    control_.relay = false;
    control_.choose(2, false);
    EXPECT_TRUE(run_until([&] { return all_at(2) && all("relayed=0") && all("running=0"); }));
    control_.choose(3, false);
    EXPECT_TRUE(run_until([&] { return all_at(3); }));
}

}  // namespace
}  // namespace whinledge::feed
