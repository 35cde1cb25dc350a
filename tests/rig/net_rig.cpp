#include "rig/net_rig.hpp"

namespace whinledge::test {

int other_side(const Tcp::socket& socket) {
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

ScriptedServer::ScriptedServer(asio::io_context& io, Script scripted)
    : script(std::move(scripted)), acceptor_(io, any_port) {
    accept();
}

void ScriptedServer::close() {
    error_code ignored;
    acceptor_.close(ignored);
    for (auto& c : connections) c->socket.close(ignored);
}

std::size_t ScriptedServer::ended() const {
    std::size_t count = 0;
    for (const auto& c : connections) count += c->ended;
    return count;
}

void ScriptedServer::send(std::size_t connection, const std::string& bytes) {
    asio::write(connections.at(connection)->socket, asio::buffer(bytes));
}

void ScriptedServer::accept() {
    acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
        if (failed) return;
        connections.push_back(std::make_shared<Connection>(std::move(socket)));
        read(connections.back());
        accept();
    });
}

void ScriptedServer::read(const std::shared_ptr<Connection>& c) {
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

void ScriptedServer::answer(const std::shared_ptr<Connection>& c, const Reply& reply) {
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

void ScriptedServer::later(int ms, std::function<void()> what) {
    if (ms == 0) return what();
    const auto timer =
        std::make_shared<asio::steady_timer>(acceptor_.get_executor(), std::chrono::milliseconds(ms));
    timer->async_wait([timer, what](error_code cancelled) {
        if (!cancelled) what();
    });
}

AskedOn asked_on(const std::vector<ScriptedServer*>& servers) {
    AskedOn asked;
    for (const ScriptedServer* s : servers)
        for (const auto& c : s->connections) asked[c.get()] = c->requests;
    return asked;
}

void answer_new(const std::vector<ScriptedServer*>& servers, AskedOn before, const std::string& bytes) {
    for (ScriptedServer* s : servers)
        for (const auto& c : s->connections)
            if (c->requests > before[c.get()]) asio::write(c->socket, asio::buffer(bytes));
}

TestClient::TestClient(asio::io_context& io, const Tcp::endpoint& address) : socket_(io) {
    socket_.connect(address);
    read();
}

void TestClient::send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }

void TestClient::close() { socket_.close(); }

void TestClient::read() {
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

std::string request(const std::string& name, const std::string& id, int timeout, const std::string& body) {
    return (name == "listen" ? "GET /" : "POST /") + name +
           "/item?part=2 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + name +
           "\r\nRequest-Timeout-Ms: " + std::to_string(timeout) +
           (name == "annotate" ? "\r\nIdempotency-Key: key-" + id : "") +
           (name == "listen" ? "" : "\r\nContent-Length: " + std::to_string(body.size())) + "\r\n\r\n" + body;
}

std::string list_json(int version, bool full, const std::vector<Listed>& servers) {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") +
                       ",\"servers\":[";
    for (std::size_t i = 0; i < servers.size(); ++i)
        text += std::string(i ? "," : "") + "{\"id\":\"" + servers[i].id + "\",\"addr\":\"" +
                servers[i].address +
                "\",\"zone\":\"hall-a\",\"kind\":\"standard-4\",\"cell\":0,\"state\":\"" + servers[i].state +
                "\",\"weight\":1.0,\"started_ms\":0}";
    return text + "]}";
}

std::string config_json(const std::string& discovery, const std::string& known, const std::string& sockets,
                        const std::string& listen) {
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

void NetRig::start(std::vector<Listed> known, const std::string& sockets) {
    if (known.empty()) known = {{"s-a", a.address()}, {"s-b", b.address()}};
    sidecar.emplace(io, read_config(config_json(agent.address(), list_json(41, true, known), sockets)),
                    *clock);
}

TestClient& NetRig::client() { return clients.emplace_back(io, sidecar->address()); }

TestClient::Answer NetRig::ask(const std::string& bytes) {
    TestClient& c = client();
    c.send(bytes);
    until([&] { return !c.answers.empty() || c.ended; });
    return c.answers.empty() ? TestClient::Answer{} : c.answers.front();
}

void NetRig::caught_up() {
    TestClient& last = client();
    last.send(kHealth);
    until([&] { return last.answers.size() == 1; });
    const std::size_t all = sidecar->clients();
    clients.pop_back();
    until([&] { return sidecar->clients() < all; });
}

void NetRig::rest() {
    asio::steady_timer timer(io, std::chrono::milliseconds(static_cast<int>(Sidecar::kSettle) + 10));
    bool rested = false;
    timer.async_wait([&](error_code) { rested = true; });
    until([&] { return rested; });
}

}  // namespace whinledge::test
