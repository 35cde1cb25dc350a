// Processes of the overlay over loopback, all in one loop.
#include "overlay/overlay_service.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../runs_until.hpp"
namespace whinledge::overlay {
namespace {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

struct Process {
    Process(boost::asio::io_context& io, bool control, const std::vector<std::string>& seeds)
        : client(io), server(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
        OverlayService::Options options;
        options.self.address = address();
        options.self.role = control ? wire::NodeRole::control : wire::NodeRole::edge;
        options.seeds = seeds;
        service = std::make_unique<OverlayService>(io, client, server, options);
        service->on_state = [this](wire::RegisterState state) { sequence = state.sequence; };
        service->on_servers = [this](wire::ServersList list) { listed = list.servers.size(); };
    }
    std::string address() const {
        return std::string("127.0.0.1:").append(std::to_string(server.address().port()));
    }

    rpc::Client client;
    rpc::Server server;
    std::unique_ptr<OverlayService> service;
    std::int64_t sequence = 0;
    std::size_t listed = 0;
};

wire::RegisterState state_of(std::int64_t sequence) {
    wire::RegisterState state;
    state.sequence = sequence;
    state.configuration = std::string(10000, 'c');
    return state;
}

class OverlayServiceTest : public testing::Test {
protected:
    OverlayServiceTest() {
        control_ = std::make_unique<Process>(io_, true, std::vector<std::string>());
        for (int i = 0; i < 12; ++i) add_edge();
    }
    void add_edge() {
        edges_.push_back(
            std::make_unique<Process>(io_, false, std::vector<std::string>{control_->address()}));
    }
    void start() {
        control_->service->start();
        for (const auto& edge : edges_) edge->service->start();
    }
    template <class Holds>
    bool run_until(Holds holds, std::chrono::milliseconds within = 5000ms) {
        return runs_until(io_, std::move(holds), within);
    }
    bool all_at(std::int64_t sequence) const {
        for (const auto& edge : edges_)
            if (edge && edge->sequence != sequence) return false;
        return true;
    }

    boost::asio::io_context io_;
    std::unique_ptr<Process> control_;
    std::vector<std::unique_ptr<Process>> edges_;
};

TEST_F(OverlayServiceTest, WhatARootPublishesReachesAll) {
    start();
    control_->service->publish(state_of(1));
    EXPECT_TRUE(run_until([&] { return all_at(1); }));
    wire::ServersList list;
    list.term = 2;
    list.servers.resize(3);
    control_->service->publish(list);
    control_->service->publish(state_of(2));
    EXPECT_TRUE(run_until([&] { return all_at(2) && edges_.back()->listed == 3; }));
}

TEST_F(OverlayServiceTest, WhatWasPublishedBeforeTheStartIsToldToo) {
    control_->service->publish(state_of(5));
    start();
    EXPECT_TRUE(run_until([&] { return all_at(5); }));
}

TEST_F(OverlayServiceTest, WhoTakesNoPartIsLeftOut) {
    control_->service->start();
    for (std::size_t i = 1; i < edges_.size(); ++i) edges_[i]->service->start();
    edges_[1]->service->set_seeds({control_->address(), edges_[0]->address()});
    control_->service->publish(state_of(1));
    EXPECT_TRUE(run_until([&] { return edges_.back()->sequence == 1 && edges_[1]->sequence == 1; }));
    EXPECT_EQ(edges_[0]->sequence, 0);
    edges_[0]->service->start();
    EXPECT_TRUE(run_until([&] { return all_at(1); }));
}

TEST_F(OverlayServiceTest, TheRestGoOnWhenSomeEnd) {
    start();
    control_->service->publish(state_of(1));
    ASSERT_TRUE(run_until([&] { return all_at(1); }));
    for (std::size_t i = 0; i < edges_.size(); i += 2) edges_[i].reset();
    edges_[1]->service->stop();
    edges_[1]->service->start();
    control_->service->publish(state_of(2));
    EXPECT_TRUE(run_until([&] { return all_at(2); }));
    EXPECT_NE(edges_[1]->service->counters().find("running=1"), std::string::npos);
}

}  // namespace
}  // namespace whinledge::overlay
