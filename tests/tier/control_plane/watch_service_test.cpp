// Long polls over loopback.
#include "control_plane/watch_service.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "../runs_until.hpp"
#include "rpc/client.hpp"

namespace whinledge::control_plane {
namespace {

using Tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto kLimit = 10s;

class WatchServiceTest : public ::testing::Test {
protected:
    WatchServiceTest()
        : server(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
          service(io, server, source()) {
        state.sequence = 4;
        state.version = 40;
        state.configuration = "c";
        state.taken.resize(3);
    }

    WatchService::Source source() {
        WatchService::Source source;
        source.state = [this]() -> const wire::RegisterState& { return state; };
        source.servers = [this]() -> const wire::ServersList& { return servers; };
        source.list_alive = [this] { return alive; };
        source.controls = [this] { return controls; };
        source.proxies = [this] { return proxies; };
        source.read = [this](std::function<void(std::optional<wire::RegisterState>)> done) {
            reads.push_back(std::move(done));
        };
        source.heard = [this](const wire::WatchRequest& request) { heard.push_back(request.who.node); };
        return source;
    }

    wire::WatchRequest request(std::int64_t sequence, std::int32_t wait_ms) {
        wire::WatchRequest request;
        request.who.node = "edge-1";
        request.sequence = sequence;
        request.wait_ms = wait_ms;
        return request;
    }
    void ask(const wire::WatchRequest& what) {
        client.call<wire::WatchRequest, wire::WatchReply>(
            std::string("127.0.0.1:").append(std::to_string(server.address().port())), feed::kWatch, what,
            5000ms, [this](rpc::Result<wire::WatchReply> reply) {
                ASSERT_TRUE(reply) << reply.error().message;
                replies.push_back(std::move(reply).value());
            });
    }
    template <class Done>
    void run_until(Done done) {
        ASSERT_TRUE(runs_until(io, std::move(done), kLimit));
    }

    boost::asio::io_context io;
    rpc::Client client{io};
    rpc::Server server;
    wire::RegisterState state;
    wire::ServersList servers;
    std::vector<wire::NodeInfo> controls = std::vector<wire::NodeInfo>(2);
    bool alive = true;
    std::optional<std::size_t> proxies;
    std::vector<std::string> heard;
    std::vector<std::function<void(std::optional<wire::RegisterState>)>> reads;
    std::vector<wire::WatchReply> replies;
    WatchService service;
};

TEST_F(WatchServiceTest, EdgeProcessesAreToldHowManyOfThemThereAre) {
    ask(request(3, 5000));
    run_until([this] { return replies.size() == 1; });
    EXPECT_FALSE(replies[0].__isset.proxies) << "not known";
    proxies = 64;
    ask(request(3, 5000));
    run_until([this] { return replies.size() == 2; });
    EXPECT_EQ(replies[1].proxies, 64);
    wire::WatchRequest of_storage = request(3, 5000);
    of_storage.who.role = wire::NodeRole::storage;
    ask(of_storage);
    run_until([this] { return replies.size() == 3; });
    EXPECT_FALSE(replies[2].__isset.proxies) << "of no use to it";
}

TEST_F(WatchServiceTest, WhatTheCallerLacksIsToldAtOnce) {
    ask(request(3, 5000));
    run_until([this] { return replies.size() == 1; });
    EXPECT_EQ(replies[0].state.version, 40);
    EXPECT_TRUE(replies[0].state.taken.empty()) << "of use to control processes only";
    EXPECT_FALSE(replies[0].__isset.servers);
    EXPECT_EQ(replies[0].controls.size(), 2U);
    EXPECT_TRUE(replies[0].list_alive);
    EXPECT_FALSE(replies[0].fresh);
    EXPECT_EQ(heard, std::vector<std::string>{"edge-1"});
}

TEST_F(WatchServiceTest, ControlProcessesThatTheCallerWasToldOfAreLeftOut) {
    auto again = request(4, 0);
    ask(again);
    run_until([this] { return replies.size() == 1; });
    EXPECT_EQ(replies[0].controls.size(), 2U);
    again.controls_version = replies[0].controls_version;
    ask(again);
    run_until([this] { return replies.size() == 2; });
    EXPECT_TRUE(replies[1].controls.empty());
    EXPECT_EQ(replies[1].controls_version, again.controls_version);
    controls[0].node = "core-1";
    ask(again);
    run_until([this] { return replies.size() == 3; });
    EXPECT_EQ(replies[2].controls, controls);
}

TEST_F(WatchServiceTest, ChangeWakesAllWhoWaitForIt) {
    ask(request(4, 5000));
    ask(request(4, 5000));
    run_until([this] { return service.waiting() == 2; });
    service.changed();
    EXPECT_EQ(service.waiting(), 2U) << "nothing is newer";
    servers.term = 1;
    service.changed();
    run_until([this] { return replies.size() == 2; });
    EXPECT_TRUE(replies[0].__isset.servers);
    EXPECT_FALSE(replies[0].__isset.state);
}

TEST_F(WatchServiceTest, WithoutNewsThePollEndsInTime) {
    ask(request(4, 20));
    run_until([this] { return replies.size() == 1; });
    EXPECT_FALSE(replies[0].__isset.state);
    EXPECT_EQ(replies[0].sequence, 4);
}

TEST_F(WatchServiceTest, AnnouncementHoldsNumbersOnly) {
    auto only = request(3, 5000);
    only.announce_only = true;
    ask(only);
    run_until([this] { return replies.size() == 1; });
    EXPECT_FALSE(replies[0].__isset.state);
    EXPECT_EQ(replies[0].sequence, 4);
}

TEST_F(WatchServiceTest, OneReadServesAllWhoAskedBeforeItBegan) {
    auto fresh = request(4, 0);
    fresh.fresh = true;
    ask(fresh);
    run_until([this] { return reads.size() == 1; });
    ask(fresh);
    ask(fresh);
    run_until([this] { return heard.size() == 3; });
    EXPECT_EQ(reads.size(), 1U) << "they asked while it was under way";
    reads[0](state);
    run_until([this] { return replies.size() == 1 && reads.size() == 2; });
    EXPECT_TRUE(replies[0].fresh);
    reads[1](std::nullopt);
    run_until([this] { return replies.size() == 3; });
    EXPECT_EQ(reads.size(), 2U);
    EXPECT_FALSE(replies[1].fresh) << "no majority answered";
}

TEST_F(WatchServiceTest, NewerStateThatAReadFoundIsTold) {
    auto fresh = request(4, 0);
    fresh.fresh = true;
    ask(fresh);
    run_until([this] { return reads.size() == 1; });
    wire::RegisterState newer = state;
    newer.sequence = 6;
    newer.version = 60;
    reads[0](newer);
    run_until([this] { return replies.size() == 1; });
    EXPECT_TRUE(replies[0].fresh);
    EXPECT_EQ(replies[0].state.version, 60);
    EXPECT_EQ(replies[0].sequence, 6);
}

TEST_F(WatchServiceTest, DrainAnswersEverybody) {
    ask(request(4, 5000));
    run_until([this] { return service.waiting() == 1; });
    service.drain();
    run_until([this] { return replies.size() == 1; });
    ask(request(4, 5000));
    run_until([this] { return replies.size() == 2; });
}

}  // namespace
}  // namespace whinledge::control_plane
