// Proxies' shares and control processes' services over loopback.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "control_plane/openings_service.hpp"
#include "data_plane/openings_share.hpp"
#include "rig/own_address.hpp"

namespace whinledge {
namespace {

using openings::Traffic;

// A control process, as far as openings go.
struct Control {
    Control(boost::asio::io_context& io, unsigned index, std::uint64_t source)
        : client(io),
          server(io, test::own_endpoint(io, index)),
          service(io, client, server, {source, [this] { return others; }}) {}
    std::string address() const { return test::text_of(server.address()); }
    wire::NodeInfo info(const std::string& zone) const {
        wire::NodeInfo info;
        info.zone = zone;
        info.address = address();
        return info;
    }

    std::vector<std::string> others;
    rpc::Client client;
    rpc::Server server;
    control_plane::OpeningsService service;
};

// A proxy, as far as openings go.
struct Node {
    Node(boost::asio::io_context& io, std::uint64_t number)
        : client(io),
          share(io, client,
                {number, "north", [this] { return controls; }, [this] { return seen; },
                 [this](const Traffic& sum) { shared = sum; }}) {}

    double rate() const { return shared.empty() ? 0 : shared.front().rate; }

    std::vector<wire::NodeInfo> controls;
    Traffic seen, shared;
    rpc::Client client;
    data_plane::OpeningsShare share;
};

class OpeningsShareTest : public testing::Test {
protected:
    bool runs_until(const std::function<bool()>& done) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done() && std::chrono::steady_clock::now() < limit)
            io_.run_one_for(std::chrono::milliseconds(5));
        return done();
    }

    boost::asio::io_context io_{1};
    const Traffic busy_{{"chat", 8, {{7, 1000, 4}}}};
};

TEST_F(OpeningsShareTest, WhatOneNodeSeesAllKnowThroughTwoControlProcesses) {
    Control north(io_, 0, 1), south(io_, 1, 2);
    north.others = {south.address()};
    south.others = {north.address()};
    Node teller(io_, 10), hearer(io_, 11);
    teller.controls = {north.info("north")};
    hearer.controls = {south.info("north")};
    teller.seen = busy_;
    teller.share.set_on(true);
    hearer.share.set_on(true);
    ASSERT_TRUE(runs_until([&] { return hearer.rate() == 8; }));
    EXPECT_EQ(hearer.shared, busy_);
    ASSERT_EQ(south.service.views().size(), 1U);
    EXPECT_EQ(south.service.views().front().opening.key, 7U);
    teller.seen.clear();
    EXPECT_TRUE(runs_until([&] { return hearer.shared.empty(); }));
}

TEST_F(OpeningsShareTest, ANodeWhoseControlProcessIsGoneTellsAnother) {
    auto north = std::make_unique<Control>(io_, 0, 1);
    Control south(io_, 1, 2);
    Node node(io_, 10);
    node.controls = {north->info("north"), south.info("south")};
    node.seen = busy_;
    node.share.set_on(true);
    ASSERT_TRUE(runs_until([&] { return north->service.nodes() == 1; }));
    EXPECT_EQ(south.service.nodes(), 0U);
    north.reset();
    EXPECT_TRUE(runs_until([&] { return south.service.nodes() == 1; }));
}

TEST_F(OpeningsShareTest, WithoutControlProcessesNothingIsKnownAndNothingBreaks) {
    Node node(io_, 10);
    node.seen = busy_;
    node.share.set_on(true);
    for (int turn = 0; turn < 40; ++turn) io_.run_one_for(std::chrono::milliseconds(10));
    EXPECT_TRUE(node.shared.empty());
}

TEST_F(OpeningsShareTest, SwitchedOffANodeForgetsAndTellsNothing) {
    Control control(io_, 0, 1);
    Node node(io_, 10);
    node.controls = {control.info("north")};
    node.seen = busy_;
    node.share.set_on(true);
    ASSERT_TRUE(runs_until([&] { return node.rate() == 8; }));
    node.share.set_on(false);
    EXPECT_TRUE(node.shared.empty());
    EXPECT_TRUE(runs_until([&] { return control.service.views().empty(); }));
    node.share.set_on(true);
    EXPECT_TRUE(runs_until([&] { return node.rate() == 8; }));
}

}  // namespace
}  // namespace whinledge
