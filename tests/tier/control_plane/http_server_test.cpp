// The operator's HTTP server over loopback.
#include "control_plane/http_server.hpp"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "../runs_until.hpp"

namespace whinledge::control_plane {
namespace {

using Tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto kLimit = 10s;

class HttpServerTest : public ::testing::Test {
protected:
    HttpServerTest()
        : server(
              io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
              [this](HttpRequest request, HttpServer::Respond respond) {
                  requests.push_back(request);
                  if (request.target == "/throws") throw std::runtime_error("no such thing");
                  if (held) return waiting.push_back(respond);
                  respond({200,
                           request.method + " " + request.target + " " + std::to_string(request.body.size()),
                           std::nullopt});
              }),
          socket(io) {
        socket.connect(server.address());
        read();
    }
    void send(const std::string& bytes) {
        out = bytes;
        boost::asio::async_write(socket, boost::asio::buffer(out),
                                 [](boost::system::error_code, std::size_t) {});
    }
    void read() {
        socket.async_read_some(boost::asio::buffer(chunk),
                               [this](boost::system::error_code failed, std::size_t size) {
                                   if (failed) {
                                       closed = true;
                                       return;
                                   }
                                   in.append(chunk, size);
                                   read();
                               });
    }
    template <class Done>
    void run_until(Done done) {
        ASSERT_TRUE(runs_until(io, std::move(done), kLimit)) << in;
    }
    bool has(const std::string& text) const { return in.find(text) != std::string::npos; }

    boost::asio::io_context io;
    std::vector<HttpRequest> requests;
    std::vector<HttpServer::Respond> waiting;
    bool held = false, closed = false;
    HttpServer server;
    Tcp::socket socket;
    std::string out, in;
    char chunk[8192];
};

TEST_F(HttpServerTest, ServesSeveralOnOneConnection) {
    send("POST /settings/replace HTTP/1.1\r\nHost: x\r\nBased-On: 5\r\nContent-Length: 3\r\n\r\nabc");
    run_until([this] { return has("POST /settings/replace 3"); });
    EXPECT_EQ(requests[0].based_on, "5");
    EXPECT_EQ(requests[0].body, "abc");
    send("GET /settings/read HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([this] { return has("GET /settings/read 0"); });
    EXPECT_FALSE(closed);
    EXPECT_FALSE(requests[1].based_on);
}

// What is thrown for one request ends neither the process nor the connection.
TEST_F(HttpServerTest, AnswersForAHandlerThatThrows) {
    send("GET /throws HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([this] { return has("HTTP/1.1 500 ") && has("see the log"); });
    EXPECT_EQ(server.owed(), 0U);
    send("GET /settings/read HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([this] { return has("GET /settings/read 0"); });
}

TEST_F(HttpServerTest, TakesChunkedAndLargeBodies) {
    send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    run_until([this] { return has("POST /a 5"); });
    EXPECT_EQ(requests[0].body, "abcde");
    const std::size_t size = 5U << 20;
    send(std::string("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: ").append(std::to_string(size)) +
         "\r\n\r\n" + std::string(size, 'x'));
    run_until([&] { return has(std::string("POST /b ").append(std::to_string(size))); });
}

TEST_F(HttpServerTest, WaitsForNobodyToSayContinue) {
    send("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    run_until([this] { return has("100 Continue"); });
    send("abc");
    run_until([this] { return has("POST /a 3"); });
}

TEST_F(HttpServerTest, TooLargeABodyIsRefused) {
    send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 90000000\r\n\r\n");
    run_until([this] { return closed; });
    EXPECT_TRUE(has("HTTP/1.1 413")) << in;
    EXPECT_TRUE(requests.empty());
}

TEST_F(HttpServerTest, WhatIsOwedGoesOutAfterDraining) {
    held = true;
    send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([this] { return !waiting.empty(); });
    EXPECT_EQ(server.owed(), 1U);
    server.drain();
    waiting[0]({503, "{}", 0.25});
    run_until([this] { return closed; });
    EXPECT_TRUE(has("HTTP/1.1 503"));
    EXPECT_TRUE(has("Retry-After: 0.25"));
    EXPECT_TRUE(has("Connection: close"));
    EXPECT_EQ(server.owed(), 0U);
    waiting[0]({200, "{}", std::nullopt});  // a second answer is nobody's
}

}  // namespace
}  // namespace whinledge::control_plane
