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
#include "rig/loop.hpp"
#include "rig/test_time.hpp"

namespace whinledge::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

inline constexpr const char* kHealth = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

inline const Tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);

// The descriptor at the other end of a connection within this process; -1: there is none.
int other_side(const Tcp::socket& socket);

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

    ScriptedServer(asio::io_context& io, Script script);
    ~ScriptedServer() { close(); }

    Tcp::endpoint endpoint() const { return address_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(address_.port()); }
    // Stops listening and ends all connections.
    void close();
    std::size_t ended() const;
    void send(std::size_t connection, const std::string& bytes);

    Script script;
    std::vector<Request> requests;
    std::vector<std::shared_ptr<Connection>> connections;
    std::size_t afters = 0;  // second writes made

private:
    void accept();
    void read(const std::shared_ptr<Connection>& c);
    void answer(const std::shared_ptr<Connection>& c, const Reply& reply);
    void later(int ms, std::function<void()> what);

    Tcp::acceptor acceptor_;
    Tcp::endpoint address_ = acceptor_.local_endpoint();
};

// How many requests each connection of servers has had.
using AskedOn = std::map<const ScriptedServer::Connection*, std::size_t>;
AskedOn asked_on(const std::vector<ScriptedServer*>& servers);
// To the requests that have come since.
void answer_new(const std::vector<ScriptedServer*>& servers, AskedOn before, const std::string& bytes);

// The application: one connection, what came back on it, and whether it was ended.
class TestClient {
public:
    using Answer = http::response<http::string_body>;
    TestClient(asio::io_context& io, const Tcp::endpoint& address);
    ~TestClient() { state_->gone = true; }
    void send(const std::string& bytes);
    void close();

    std::vector<Answer> answers;
    bool ended = false;

private:
    void read();
    struct State {
        boost::beast::flat_buffer buffer;
        std::optional<http::response_parser<http::string_body>> parser;
        bool gone = false;  // what has been read may still wait to be told
    };
    Tcp::socket socket_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

std::string request(const std::string& name, const std::string& id, int timeout = 5000,
                    const std::string& body = "");

struct Listed {
    std::string id, address;
    std::string state = "Ready";
};
std::string list_json(int version, bool full, const std::vector<Listed>& servers);

std::string config_json(const std::string& discovery, const std::string& known,
                        const std::string& sockets = "1024", const std::string& listen = "127.0.0.1:0");

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
    void start(std::vector<Listed> known = {}, const std::string& sockets = "1024");
    // Ahead of start().
    void set_clock() { clock = &time; }
    void start_with_a() { start({{"s-a", a.address()}}); }
    TestClient& client();
    void until(const std::function<bool()>& reached) { run_until(io, reached); }
    // Sends one request and waits for its answer.
    TestClient::Answer ask(const std::string& bytes);
    // What has been sent up to now has been read, and what went out for it has come: one thread answers in
    // the order in which bytes come.
    void caught_up();
    // Long enough for connections to servers to be used again: the least time, longer changes nothing.
    void rest();
    std::size_t arrived() const { return a.requests.size() + b.requests.size(); }
    void tell(const std::string& list) { agent.send(agent.connections.size() - 1, response("200 OK", list)); }
    bool watched_from(const std::string& version) const {
        return !agent.requests.empty() && agent.requests.back().target().find("from=" + version + "&") !=
                                              boost::beast::string_view::npos;
    }
};

}  // namespace whinledge::test
