// Calls over loopback between two ends in one loop.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "control_types.h"
#include "rig/own_address.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::rpc {
namespace {

using Tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr Call<wire::Ballot, wire::Ballot> kEcho{"echo"};
constexpr Call<wire::Ballot, wire::Ballot> kUnknown{"unknown"};
const Tcp::endpoint kAnyPort(boost::asio::ip::make_address("127.0.0.1"), 0);

using test::text_of;

wire::Ballot ballot(std::int64_t round) {
    wire::Ballot value;
    value.round = round;
    return value;
}

class RpcCall : public ::testing::Test {
protected:
    template <class Done>
    void run_until(Done done) {
        io.restart();
        for (int turns = 0; turns < 20000 && !done(); ++turns) io.run_one_for(50ms);
        ASSERT_TRUE(done());
    }

    boost::asio::io_context io;
    Client client{io};
};

// A process calls many others in its life, and most of them once: what it keeps open is what it uses.
TEST_F(RpcCall, ConnectionsThatAreNotUsedAreClosed) {
    Client::Options options;
    options.idle_timeout = 60ms;
    Client brief(io, options);
    const auto answer = [](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) {
        respond(request);
    };
    Server first(io, kAnyPort), second(io, kAnyPort);
    first.on(kEcho, std::function(answer));
    std::optional<Server::Responder<wire::Ballot>> held;
    second.on(kEcho, std::function([&](const wire::Ballot&, Server::Responder<wire::Ballot> respond) {
                  held = std::move(respond);
              }));
    int done = 0;
    bool slow_done = false;
    const std::function<void(Result<wire::Ballot>)> count = [&](const Result<wire::Ballot>& reply) {
        EXPECT_TRUE(reply);
        ++done;
    };
    brief.call(text_of(first.address()), kEcho, ballot(1), 2000ms, count);
    brief.call(text_of(second.address()), kEcho, ballot(2), 10000ms,
               std::function([&](Result<wire::Ballot> reply) { slow_done = reply.has_value(); }));
    run_until([&] { return done == 1 && held && brief.stats().open == 1; });
    EXPECT_FALSE(slow_done) << "one that waits for a reply is in use";
    brief.call(text_of(first.address()), kEcho, ballot(3), 2000ms, count);
    run_until([&] { return done == 2; });
    (*held)(ballot(2));
    run_until([&] { return slow_done && brief.stats().open == 0; });
    EXPECT_EQ(brief.stats().failed, 0U);
}

// Both sides count the same bytes, by the name of the call; calls that nobody answers here are not counted.
TEST_F(RpcCall, TrafficIsCountedByCall) {
    Server server(io, kAnyPort);
    server.on(kEcho, std::function([](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) {
                  respond(request);
              }));
    int done = 0;
    const std::function<void(Result<wire::Ballot>)> count = [&](const Result<wire::Ballot>&) { ++done; };
    for (int i = 0; i < 3; ++i) client.call(text_of(server.address()), kEcho, ballot(i), 2000ms, count);
    client.call(text_of(server.address()), kUnknown, ballot(1), 2000ms, count);
    run_until([&] { return done == 4; });
    const Traffic made = client.traffic().at("echo"), answered = server.traffic().at("echo");
    EXPECT_EQ(made.calls, 3U);
    EXPECT_EQ(answered.calls, 3U);
    EXPECT_GT(made.bytes_out, made.bytes_in) << "replies carry no name";
    EXPECT_EQ(made.bytes_out, answered.bytes_in);
    EXPECT_EQ(made.bytes_in, answered.bytes_out);
    EXPECT_EQ(client.traffic().at("unknown").calls, 1U);
    EXPECT_EQ(server.traffic().size(), 1U);
    EXPECT_EQ(client.stats().bytes_out, made.bytes_out + client.traffic().at("unknown").bytes_out);
}

TEST_F(RpcCall, RepliesFindTheirCallsWhateverTheirOrder) {
    Server server(io, kAnyPort);
    std::vector<std::pair<std::int64_t, Server::Responder<wire::Ballot>>> held;
    server.on(kEcho, std::function([&](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) {
                  held.emplace_back(request.round, respond);
                  if (held.size() < 3) return;
                  for (auto at = held.rbegin(); at != held.rend(); ++at) at->second(ballot(at->first));
              }));
    std::vector<std::int64_t> heard;
    for (std::int64_t round = 1; round <= 3; ++round)
        client.call(text_of(server.address()), kEcho, ballot(round), 2000ms,
                    std::function([&, round](Result<wire::Ballot> reply) {
                        ASSERT_TRUE(reply);
                        EXPECT_EQ(reply.value().round, round);
                        heard.push_back(round);
                    }));
    run_until([&] { return heard.size() == 3; });
    EXPECT_EQ(heard, (std::vector<std::int64_t>{3, 2, 1}));
    EXPECT_EQ(client.stats().open, 1U);
}

TEST_F(RpcCall, ACallThatNobodyAnswersTimesOutAndItsLateReplyIsDropped) {
    Server server(io, kAnyPort);
    std::optional<Server::Responder<wire::Ballot>> late;
    server.on(kEcho, std::function([&](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) {
                  if (request.round == 1)
                      late = respond;
                  else
                      respond(request);
              }));
    std::optional<Failure> failed;
    client.call(text_of(server.address()), kEcho, ballot(1), 30ms,
                std::function([&](Result<wire::Ballot> reply) {
                    ASSERT_FALSE(reply);
                    failed = reply.error().failure;
                }));
    run_until([&] { return failed.has_value(); });
    EXPECT_EQ(*failed, Failure::timed_out);
    (*late)(ballot(99));
    std::int64_t heard = 0;
    client.call(text_of(server.address()), kEcho, ballot(2), 2000ms,
                std::function([&](Result<wire::Ballot> reply) { heard = reply.value().round; }));
    run_until([&] { return heard != 0; });
    EXPECT_EQ(heard, 2);
}

TEST_F(RpcCall, WhereNobodyListensTheCallWasNotRun) {
    std::string address;
    {
        Server gone(io, kAnyPort);
        address = text_of(gone.address());
    }
    std::optional<Failure> failed;
    client.call(address, kEcho, ballot(1), 2000ms,
                std::function([&](Result<wire::Ballot> reply) { failed = reply.error().failure; }));
    run_until([&] { return failed.has_value(); });
    EXPECT_EQ(*failed, Failure::unreachable);
}

TEST_F(RpcCall, AnUnknownCallIsToldFromAnUnreadableOne) {
    Server server(io, kAnyPort);
    std::optional<Failure> failed;
    client.call(text_of(server.address()), kUnknown, ballot(1), 2000ms,
                std::function([&](Result<wire::Ballot> reply) { failed = reply.error().failure; }));
    run_until([&] { return failed.has_value(); });
    EXPECT_EQ(*failed, Failure::unknown_call);
}

TEST_F(RpcCall, ASilentPeerIsGivenUpAndTheNextCallConnectsAnew) {
    auto server = std::make_unique<Server>(io, kAnyPort);
    const Tcp::endpoint address = server->address();
    const auto echo = std::function(
        [](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) { respond(request); });
    server->on(kEcho, echo);
    int heard = 0, failed = 0;
    const auto ask = [&] {
        client.call(text_of(address), kEcho, ballot(1), 2000ms,
                    std::function([&](Result<wire::Ballot> reply) { reply ? ++heard : ++failed; }));
    };
    ask();
    run_until([&] { return heard == 1; });
    server.reset();
    run_until([&] { return client.stats().open == 0; });
    server = std::make_unique<Server>(io, address);
    server->on(kEcho, echo);
    ask();
    run_until([&] { return heard == 2; });
    EXPECT_EQ(failed, 0);
}

TEST_F(RpcCall, AClientThatGoesCallsNobodyBack) {
    Server server(io, kAnyPort);
    server.on(kEcho, std::function([](const wire::Ballot&, Server::Responder<wire::Ballot>) {}));
    bool called = false;
    {
        Client short_lived(io);
        short_lived.call(text_of(server.address()), kEcho, ballot(1), 10ms,
                         std::function([&](Result<wire::Ballot>) { called = true; }));
    }
    io.restart();
    io.run_for(50ms);
    EXPECT_FALSE(called);
}

TEST_F(RpcCall, BytesThatAreNoFrameEndTheConnectionAndNothingElse) {
    Server server(io, kAnyPort);
    server.on(kEcho, std::function([](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) {
                  respond(request);
              }));
    Tcp::socket stranger(io);
    stranger.connect(server.address());
    boost::asio::write(stranger, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    bool ended = false;
    char byte = 0;
    stranger.async_receive(boost::asio::buffer(&byte, 1),
                           [&](boost::system::error_code error, std::size_t) { ended = error.failed(); });
    int heard = 0;
    client.call(text_of(server.address()), kEcho, ballot(1), 2000ms,
                std::function([&](Result<wire::Ballot> reply) { heard += reply.has_value(); }));
    run_until([&] { return ended && heard == 1; });
}

}  // namespace
}  // namespace whinledge::rpc
