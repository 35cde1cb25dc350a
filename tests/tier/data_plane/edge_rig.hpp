// An ingress with its pools between raw clients and scripted servers on loopback, in one io_context. No
// control or storage process: the configuration and the servers list are set by the test, turns are kept by a
// stand-in.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "data_plane/exchange.hpp"
#include "data_plane/ingress.hpp"
#include "data_plane/service_pools.hpp"
#include "engine/engine.hpp"
#include "http/chunks.hpp"
#include "http/transport.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"
#include "io/wake.hpp"
#include "rig/net_rig.hpp"

namespace whinledge::data_plane::test {

using whinledge::test::Reply;
using whinledge::test::response;
using whinledge::test::run_until;
using whinledge::test::ScriptedServer;

// Answers are told by the test.
struct FakeTurns final : TurnStore {
    struct Begun {
        storage_plane::TurnStart turn;
        std::function<void(storage_plane::BegunTurn)> done;
    };
    struct Ended {
        storage_plane::TurnEnd turn;
        std::function<void(bool)> done;
        Millis timeout = 0;
    };
    void begin(const storage_plane::TurnStart& turn, Millis,
               std::function<void(storage_plane::BegunTurn)> done) override {
        begun.push_back({turn, std::move(done)});
    }
    void end(const storage_plane::TurnEnd& turn, Millis timeout, std::function<void(bool)> done) override {
        ended.push_back({turn, std::move(done), timeout});
    }
    std::vector<Begun> begun;
    std::vector<Ended> ended;
};

// Leaves no port waiting.
inline void reset(Tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// A client that sees bytes.
class RawClient {
public:
    RawClient(boost::asio::io_context& io, const Tcp::endpoint& address) : socket_(io) {
        socket_.connect(address);
        read();
    }
    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
    // As the other side takes it: more than the kernel holds, for what runs in the same loop.
    void send_as_taken(std::string bytes) {
        state_->out = std::move(bytes);
        boost::asio::async_write(socket_, boost::asio::buffer(state_->out),
                                 [s = state_](boost::system::error_code, std::size_t) {});
    }
    void close() { socket_.close(); }
    void reset() { whinledge::data_plane::test::reset(socket_); }

    const std::string& heard() const { return state_->heard; }
    bool ended() const { return state_->ended; }
    // Whether the other side has reset the connection, behind its end.
    bool is_reset() {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        state_->reset = state_->reset || error == ECONNRESET || error == EPIPE;
        return state_->reset;
    }
    bool has(const std::string& text) const { return heard().find(text) != std::string::npos; }

private:
    struct State {
        std::array<char, 4096> buffer{};
        std::string heard, out;
        bool ended = false, reset = false;
    };
    void read() {
        socket_.async_read_some(boost::asio::buffer(state_->buffer),
                                [this, s = state_](boost::system::error_code failed, std::size_t size) {
                                    if (failed == boost::asio::error::operation_aborted) return;
                                    s->heard.append(s->buffer.data(), size);
                                    failed ? static_cast<void>(s->ended = true) : read();
                                });
    }
    Tcp::socket socket_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

inline std::string text_of(const ScriptedServer::Request& request, const char* field) {
    const auto value = request[field];
    return {value.data(), value.size()};
}

// What a server of the platform answers with.
inline std::string sealed(const ScriptedServer::Request& request, const std::string& status,
                          const std::string& body = "", const std::string& more = "") {
    return response(status, body,
                    "Try-Id: " + text_of(request, "Try-Id") + "\r\nServer-Seal: s.1\r\n" + more);
}
inline std::string stream_head(const ScriptedServer::Request& request) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nTry-Id: " +
           text_of(request, "Try-Id") + "\r\nServer-Seal: s.1\r\n\r\n";
}
inline std::string chunk(const std::string& bytes) {
    std::string out;
    append_chunk(out, bytes);
    return out;
}
inline const std::string kLastChunk = "0\r\n\r\n";

struct EdgeRig : testing::Test {
    explicit EdgeRig(placement::AdmissionSettings settings = {}) : admission(settings) {}

    static constexpr const char* kConfiguration = R"({"version":1,"routes":[
      {"name":"r","host":"app.example","pathStart":"/read/","kind":"repeatable","timeoutMs":4000,"targetMs":400,
       "priority":0,"service":"web","tries":2},
      {"name":"o","host":"app.example","pathStart":"/once/","kind":"one_shot","timeoutMs":4000,"targetMs":400,
       "priority":0,"service":"web","tries":2},
      {"name":"q","host":"app.example","pathStart":"/quick/","kind":"one_shot","timeoutMs":120,"targetMs":100,
       "priority":0,"service":"web","tries":2},
      {"name":"s","host":"app.example","pathStart":"/stream/","kind":"streaming","timeoutMs":4000,"targetMs":400,
       "priority":0,"service":"web","tries":2,"gap_aim_ms":400},
      {"name":"t","host":"app.example","pathStart":"/turn/","kind":"streaming","timeoutMs":4000,"targetMs":400,
       "priority":0,"service":"web","tries":2,"remembered":true,"keepForS":60.0,"gap_aim_ms":400},
      {"name":"b","host":"app.example","pathStart":"/unkept/","kind":"streaming","timeoutMs":4000,"targetMs":400,
       "priority":0,"service":"web","tries":2,"remembered":false,"gap_aim_ms":400}],
      "services":[{"name":"web","healthPath":"/health","maxConns":50,"protocol":"h1","tls":false,
                   "engine":{"slots":4,"memoryTokens":1000,"tokenBytes":1,"linkMbps":1.0,"chunkTokens":2,
                             "models":[{"name":"m"}]}}],
      "limits":{"headerBytes":2000,"bodyBytes":10000,"headerMs":3000,"idleMs":15000}})";

    boost::asio::io_context io;
    ScriptedServer::Script serve = [](const auto& request) {
        return Reply{sealed(request, "200 OK", "served")};
    };
    ScriptedServer a{io, serve}, b{io, serve};
    Log log;
    Clock clock;
    Wake wake{io, clock, [this] { engine.run_due(); }};
    HttpTransport transport{io, log, {}};
    Engine engine{clock, {[this](Millis at) { wake.at(at); }, [](const std::string&) {}}};
    placement::AdmissionSettings admission;
    ServicePools pools{engine, transport, {"here", 7, admission}};
    FakeTurns turns;
    std::vector<std::string> replaced;
    ExchangeHost host{clock, pools, turns, [] { return 0.5; },
                      [this](const std::string& server) {
                          replaced.push_back(server);
                          boost::asio::post(io, [this, server] { pools.replaced(server); });
                      }};
    std::shared_ptr<const serving::Configuration> in_force;
    bool drained = false;
    Tcp::endpoint listen_at = whinledge::test::any_port;  // of the ingress
    const TimeSource* door_clock = &Door::steady();       // of its connections' limits
    std::optional<Ingress> ingress;
    std::list<RawClient> clients;

    void SetUp() override {
        Ingress::Options options;
        options.listen = listen_at;
        options.clock = door_clock;
        ingress.emplace(
            io, options, host, [this] { return in_force; }, [this] { drained = true; });
    }
    void TearDown() override {
        clients.clear();
        io.stop();
    }

    void configure(const std::string& configuration = kConfiguration) {
        auto parsed = serving::parse_configuration(configuration);
        ASSERT_TRUE(parsed) << parsed.error().message;
        in_force = parsed.value();
        pools.configure(*in_force);
        ingress->configured();
    }
    void list(const std::vector<std::pair<std::string, std::string>>& servers) {
        wire::ServersList list;
        list.sequence = 1;
        for (const auto& [id, address] : servers) {
            wire::ListedServer server;
            server.id = id;
            server.service_name = "web";
            server.address = address;
            server.zone = "here";
            list.servers.push_back(server);
        }
        pools.set_servers(list);
    }
    void start() {
        configure();
        list({{"i-a", a.address()}, {"i-b", b.address()}});
    }
    void start_with_a() {
        configure();
        list({{"i-a", a.address()}});
    }

    static std::string get(const std::string& path, const std::string& more = "") {
        return "GET " + path + " HTTP/1.1\r\nHost: app.example\r\nTry-Id: id-1\r\n" + more + "\r\n";
    }
    static std::string post(const std::string& path, const std::string& body, const std::string& more = "") {
        return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nTry-Id: id-1\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    RawClient& client() { return clients.emplace_back(io, ingress->door().address()); }
    void until(const std::function<bool()>& reached) { run_until(io, reached); }
    // Sends one request on a connection of its own and waits for an answer's head and all of its stated body.
    std::string ask(const std::string& bytes) {
        RawClient& c = client();
        c.send(bytes);
        until([&] { return c.ended() || is_whole(c.heard()); });
        return c.heard();
    }
    static bool is_whole(const std::string& heard) {
        const auto end = heard.find("\r\n\r\n");
        if (end == std::string::npos) return false;
        const auto length = heard.find("Content-Length: ");
        if (length == std::string::npos || length > end) return heard.ends_with(kLastChunk);
        return heard.size() >= end + 4 + std::stoul(heard.substr(length + 16));
    }
    std::size_t arrived() const { return a.requests.size() + b.requests.size(); }
};

// One that a test makes itself, where each of many cases needs a proxy that has seen nothing before.
// Thousands of these must not leave their ports waiting.
struct OwnEdgeRig : EdgeRig {
    OwnEdgeRig() { SetUp(); }
    ~OwnEdgeRig() override {
        for (RawClient& c : clients) c.reset();
        for (const ScriptedServer* const server : {&a, &b})
            for (const auto& connection : server->connections) reset(connection->socket);
        TearDown();
    }
    OwnEdgeRig(const OwnEdgeRig&) = delete;
    OwnEdgeRig& operator=(const OwnEdgeRig&) = delete;
    void TestBody() override {}
};

}  // namespace whinledge::data_plane::test
