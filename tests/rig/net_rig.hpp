// What the tests of the sidecar's sockets share: scripted peers on loopback, in one io_context with what is
// tested. They wait for events; the time limit only ends a test that hangs.
#pragma once

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/sidecar.hpp"
#include "rig/test_time.hpp"

namespace whinledge::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

inline void run_until(asio::io_context& io, const std::function<bool()>& reached) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    io.restart();
    while (!reached()) {
        if (std::chrono::steady_clock::now() > limit) FAIL() << "waited in vain";
        io.run_one_for(std::chrono::milliseconds(50));
        io.restart();
    }
}

inline constexpr const char* kHealth = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

inline const Tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);

// The descriptor at the other end of a connection within this process; -1: there is none.
inline int other_side(const Tcp::socket& socket) {
    const auto port = [](auto ask, int fd) {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        const bool known = ask(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0 && at.sin_family == AF_INET;
        return known ? ntohs(at.sin_port) : 0;
    };
    for (int fd = 0; fd < 1024; ++fd)
        if (port(::getpeername, fd) == socket.local_endpoint().port() &&
            port(::getsockname, fd) == socket.remote_endpoint().port())
            return fd;
    return -1;
}

// What a scripted server does about a request: bytes to send, then perhaps the end of the connection.
struct Reply {
    std::string bytes{};
    bool close = false;
    bool reset = false;
    int delay_ms = 0;
    // A second write of its own, so much later.
    std::string after{};
    int after_ms = 0;
};
inline std::string response(const std::string& status, const std::string& body = "",
                            const std::string& headers = "") {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

class ScriptedServer {
public:
    using Request = http::request<http::string_body>;
    using Script = std::function<Reply(const Request&)>;
    struct Connection {
        explicit Connection(Tcp::socket s) : socket(std::move(s)) {}
        Tcp::socket socket;
        boost::beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        std::size_t requests = 0;
        bool ended = false;  // by the other side
    };

    ScriptedServer(asio::io_context& io, Script script) : script(std::move(script)), acceptor_(io, any_port) {
        accept();
    }
    ~ScriptedServer() { close(); }

    Tcp::endpoint endpoint() const { return address_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(address_.port()); }
    // Stops listening and ends all connections.
    void close() {
        error_code ignored;
        acceptor_.close(ignored);
        for (auto& c : connections) c->socket.close(ignored);
    }
    std::size_t ended() const {
        std::size_t count = 0;
        for (const auto& c : connections) count += c->ended;
        return count;
    }
    void send(std::size_t connection, const std::string& bytes) {
        asio::write(connections.at(connection)->socket, asio::buffer(bytes));
    }

    Script script;
    std::vector<Request> requests;
    std::vector<std::shared_ptr<Connection>> connections;
    std::size_t afters = 0;  // second writes made

private:
    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            connections.push_back(std::make_shared<Connection>(std::move(socket)));
            read(connections.back());
            accept();
        });
    }
    void read(const std::shared_ptr<Connection>& c) {
        c->parser.emplace();
        c->parser->body_limit(1 << 30);
        http::async_read(c->socket, c->buffer, *c->parser, [this, c](error_code failed, std::size_t) {
            if (failed == asio::error::operation_aborted) return;
            if (failed) {
                c->ended = true;
                return;
            }
            ++c->requests;
            requests.push_back(c->parser->release());
            const Reply reply = script(requests.back());
            later(reply.delay_ms, [this, c, reply] { answer(c, reply); });
        });
    }
    void answer(const std::shared_ptr<Connection>& c, const Reply& reply) {
        error_code ignored;
        asio::write(c->socket, asio::buffer(reply.bytes), ignored);
        if (reply.reset) c->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        if (reply.close || reply.reset) {
            c->socket.close(ignored);
            return;
        }
        if (!reply.after.empty())
            later(reply.after_ms, [this, c, bytes = reply.after] {
                error_code gone;
                asio::write(c->socket, asio::buffer(bytes), gone);
                ++afters;
            });
        read(c);
    }
    template <class What>
    void later(int ms, What what) {
        if (ms == 0) return what();
        const auto timer =
            std::make_shared<asio::steady_timer>(acceptor_.get_executor(), std::chrono::milliseconds(ms));
        timer->async_wait([timer, what](error_code cancelled) {
            if (!cancelled) what();
        });
    }

    Tcp::acceptor acceptor_;
    Tcp::endpoint address_ = acceptor_.local_endpoint();
};

// How many requests each connection of servers has had.
using AskedOn = std::map<const ScriptedServer::Connection*, std::size_t>;
inline AskedOn asked_on(const std::vector<ScriptedServer*>& servers) {
    AskedOn asked;
    for (const ScriptedServer* s : servers)
        for (const auto& c : s->connections) asked[c.get()] = c->requests;
    return asked;
}
// To the requests that have come since.
inline void answer_new(const std::vector<ScriptedServer*>& servers, AskedOn before,
                       const std::string& bytes) {
    for (ScriptedServer* s : servers)
        for (const auto& c : s->connections)
            if (c->requests > before[c.get()]) asio::write(c->socket, asio::buffer(bytes));
}

// The application: one connection, what came back on it, and whether it was ended.
class TestClient {
public:
    using Answer = http::response<http::string_body>;
    TestClient(asio::io_context& io, const Tcp::endpoint& address) : socket_(io) {
        socket_.connect(address);
        read();
    }
    ~TestClient() { state_->gone = true; }
    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    void close() { socket_.close(); }

    std::vector<Answer> answers;
    bool ended = false;

private:
    void read() {
        state_->parser.emplace();
        http::async_read(socket_, state_->buffer, *state_->parser,
                         [this, s = state_](error_code failed, std::size_t) {
                             if (s->gone || failed == asio::error::operation_aborted) return;
                             if (failed) {
                                 ended = true;
                                 return;
                             }
                             answers.push_back(s->parser->release());
                             read();
                         });
    }
    struct State {
        boost::beast::flat_buffer buffer;
        std::optional<http::response_parser<http::string_body>> parser;
        bool gone = false;  // what has been read may still wait to be told
    };
    Tcp::socket socket_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

inline std::string request(const std::string& name, const std::string& id, int timeout = 5000,
                           const std::string& body = "") {
    return (name == "listen" ? "GET /" : "POST /") + name +
           "/item?part=2 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + name +
           "\r\nRequest-Timeout-Ms: " + std::to_string(timeout) +
           (name == "annotate" ? "\r\nIdempotency-Key: key-" + id : "") +
           (name == "listen" ? "" : "\r\nContent-Length: " + std::to_string(body.size())) + "\r\n\r\n" + body;
}

struct Listed {
    std::string id, address;
    std::string state = "Ready";
};
inline std::string list_json(int version, bool full, const std::vector<Listed>& servers) {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") +
                       ",\"servers\":[";
    for (std::size_t i = 0; i < servers.size(); ++i)
        text += std::string(i ? "," : "") + "{\"id\":\"" + servers[i].id + "\",\"addr\":\"" +
                servers[i].address +
                "\",\"zone\":\"hall-a\",\"kind\":\"standard-4\",\"cell\":0,\"state\":\"" + servers[i].state +
                "\",\"weight\":1.0,\"started_ms\":0}";
    return text + "]}";
}

inline std::string config_json(const std::string& discovery, const std::string& known,
                               const std::string& sockets = "1024",
                               const std::string& listen = "127.0.0.1:0") {
    return R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":)" + sockets +
           R"(},"future":[1],"known":)" + known +
           R"(,"settings":{"azs":["hall-a","hall-b"],"my-zone":"hall-a",
        "models":["standard-4"],
        "classes":[{"name":"listen","effect":"repeatable","on-time-ms":400.0,"give-up-ms":60000.0,"credit":3.0},
                   {"name":"deposit","effect":"once","on-time-ms":300.0,"give-up-ms":60000.0,"credit":5.0},
                   {"name":"annotate","effect":"by_key","dedup-scope":"all","dedup-window-ms":3000.0,
                    "on-time-ms":500.0,"give-up-ms":60000.0,"credit":1.0}],
        "fees":{"cross-zone":0.0},
        "limits":{"max-attempts":4,"may-cancel":true,"may-probe":true,"may-tell":true,"connect-timeout-ms":150.0,
                  "idle-close-ms":15000.0,"parallel-tries":false},
        "rules":{"cold-from":0.16,"warm-within-ms":20000.0,"fall-multiple":2.0,"fall-ms":1000.0,"ask-within-ms":10000.0},
        "membership-mode":"pushed","siblings":3,"tenants":[]}})";
}

// A sidecar between a client, two servers and an agent that holds its watches.
struct NetRig : testing::Test {
    asio::io_context io;
    ScriptedServer::Script serve = [](const auto&) { return Reply{response("200 OK", "served")}; };
    ScriptedServer::Script silence = [](const auto&) { return Reply{}; };
    ScriptedServer a{io, serve}, b{io, serve}, agent{io, silence};
    TestTime time;  // of clients' connections, once set_clock() has said so
    const TimeSource* clock = &Door::steady();
    std::optional<Sidecar> sidecar;
    std::list<TestClient> clients;

    ~NetRig() override {
        clients.clear();
        io.stop();
    }
    void start(std::vector<Listed> known = {}, const std::string& sockets = "1024") {
        if (known.empty()) known = {{"s-a", a.address()}, {"s-b", b.address()}};
        sidecar.emplace(io, read_config(config_json(agent.address(), list_json(41, true, known), sockets)),
                        *clock);
    }
    // Ahead of start().
    void set_clock() { clock = &time; }
    void start_with_a() { start({{"s-a", a.address()}}); }
    TestClient& client() { return clients.emplace_back(io, sidecar->address()); }
    void until(const std::function<bool()>& reached) { run_until(io, reached); }
    // Sends one request and waits for its answer.
    TestClient::Answer ask(const std::string& bytes) {
        TestClient& c = client();
        c.send(bytes);
        until([&] { return !c.answers.empty() || c.ended; });
        return c.answers.empty() ? TestClient::Answer{} : c.answers.front();
    }
    // What has been sent up to now has been read, and what went out for it has come: one thread answers in
    // the order in which bytes come.
    void caught_up() {
        TestClient& last = client();
        last.send(kHealth);
        until([&] { return last.answers.size() == 1; });
        const std::size_t all = sidecar->clients();
        clients.pop_back();
        until([&] { return sidecar->clients() < all; });
    }
    // Long enough for connections to servers to be used again: the least time, longer changes nothing.
    void rest() {
        asio::steady_timer timer(io, std::chrono::milliseconds(static_cast<int>(Sidecar::kSettle) + 10));
        bool rested = false;
        timer.async_wait([&](error_code) { rested = true; });
        until([&] { return rested; });
    }
    std::size_t arrived() const { return a.requests.size() + b.requests.size(); }
    void tell(const std::string& list) { agent.send(agent.connections.size() - 1, response("200 OK", list)); }
    bool watched_from(const std::string& version) const {
        return !agent.requests.empty() && agent.requests.back().target().find("from=" + version + "&") !=
                                              boost::beast::string_view::npos;
    }
};

}  // namespace whinledge::test
