// What a hostile client, server or moment makes of several services: each test is an order of events that
// once broke a rule, the books or the process.
#include <chrono>

#include "app/budgets.hpp"
#include "rig/service_rig.hpp"

namespace whinledge::test {
namespace {

using Hostile = ServiceRig;

// Speaks before it has heard all, or breaks off.
struct HastyServer {
    HastyServer(asio::io_context& io, std::string answer) : acceptor(io, any_port), said(std::move(answer)) {
        accept();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    void accept() {
        acceptor.async_accept([this](error_code failed, Tcp::socket accepted) {
            if (failed) return;
            sockets.push_back(std::make_shared<Tcp::socket>(std::move(accepted)));
            read(sockets.back());
            accept();
        });
    }
    void read(const std::shared_ptr<Tcp::socket>& socket) {
        socket->async_read_some(asio::buffer(in), [this, socket](error_code failed, std::size_t) {
            if (failed) return;
            ++begun;
            error_code ignored;
            if (said.empty()) return static_cast<void>(socket->close(ignored));
            asio::write(*socket, asio::buffer(said), ignored);
        });
    }
    Tcp::acceptor acceptor;
    std::string said;
    std::array<char, 65536> in{};
    std::vector<std::shared_ptr<Tcp::socket>> sockets;
    int begun = 0;  // requests of which it has seen something
};

struct HastyServers : ServiceRig {
    void one_effect(const std::string& said) {
        HastyServer x(io, said), y(io, said);
        start(listener() + pool("archive", {x.address(), y.address()}) +
              route("archive", "/", "pool = \"archive\"",
                    "buffer = \"4KiB\"\nrequest_limit = \"1MiB\"\ntimeout = \"1s\""));
        RawClient& client = raw_client();
        client.send("POST /archive HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
                    std::string(4096, 'x'));
        until([&] { return client.ended || client.text.find("\r\n\r\n") != std::string::npos; });
        EXPECT_EQ(x.begun + y.begun, 1) << "its effect may have begun at the first";
        EXPECT_EQ(client.text.find("503"), std::string::npos) << client.text;
        EXPECT_EQ(client.text.find("429"), std::string::npos) << client.text;
        raw.clear();
        until([&] { return open() == 0; });
        daemon.reset();
    }
};

TEST_F(HastyServers, AnAnswerAheadOfAnUnsafeBodysEndIsNoProofThatItNeverRan) {
    one_effect(response("200 OK", "done"));
}
TEST_F(HastyServers, ABreakWithinAnUnsafeBodyIsNoProofThatItNeverRan) { one_effect(""); }

TEST_F(Hostile, AClassKeepsItsMeaningAcrossAReload) {
    const auto services = [&](const std::string& first, const std::string& second) {
        const auto one = [](const std::string& name) {
            return "[[pool.archive.class]]\nname = \"" + name + "\"\neffect = \"" + name + "\"\n";
        };
        return listener() + pool("archive", {a.address(), b.address()}) + one(first) + one(second) +
               route("archive", "/", "pool = \"archive\"");
    };
    a.script = b.script = [](const auto&) { return Reply{"", false, true}; };
    start(services("safe", "unsafe"));
    RawClient& client = raw_client();
    client.send("POST /archive HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    until([&] { return daemon->gate().open() == 1; });
    reload(services("unsafe", "safe"));
    client.send("cd");
    until([&] { return client.ended || client.text.find("\r\n\r\n") != std::string::npos; });
    EXPECT_LE(a.requests.size() + b.requests.size(), 1u) << "an unsafe request has run twice";
}

// Places are wanted while the rest of a head lies unread: it is read first.
TEST_F(Hostile, WhoseHeadIsWholeIsNotLetGoUnread) {
    start("[process]\ndescriptors = 64\n" + listener("limits.descriptors = { most = 4 }\n") +
          pool("archive", {a.address()}) + route("archive", "/", "pool = \"archive\"", "timeout = \"2s\""));
    const std::string head = get("/item", "X: " + std::string(100, 'x') + "\r\n");
    for (int i = 0; i < 3; ++i) client().send(head.substr(0, 50));
    rest(60);  // beyond the time that the silent have
    client();  // is accepted first
    for (TestClient& c : clients) c.send(&c == &clients.back() ? head : head.substr(50));
    until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const TestClient& c) { return c.ended || !c.answers.empty(); });
    });
    for (const TestClient& c : clients) {
        ASSERT_EQ(c.answers.size(), 1u);
        EXPECT_EQ(c.answers[0].result_int(), 200u);
    }
}

TEST_F(Hostile, AnIdleConnectionThatMakesRoomIsNotUsedMeanwhile) {
    std::optional<Upstream> upstream;
    Descriptors books(1, [&](PoolId pool, std::size_t count) { upstream->close_idle_of(pool, count); });
    ASSERT_TRUE(books.reload(1, {}, {{1, {}, 0}, {2, {}, 0}}));
    upstream.emplace(io, log, Upstream::Limits{250, 14000, 10, 0, 0}, &books);
    upstream->set_server(7, a.endpoint(), 0);
    std::vector<Outcome> ends;
    const auto send = [&](PoolId pool) {
        Upstream::Request request;
        request.head = HeadText::request("GET", "/").whole();
        request.pool = pool;
        const auto begun = upstream->start(7, std::move(request),
                                           [&](const Upstream::End& end) { ends.push_back(end.outcome); });
        if (begun.ended) ends.push_back(*begun.ended);
    };
    for (std::size_t i = 0; i < 6; ++i) {
        send(1 + i % 2);
        until([&] { return ends.size() > i; });
        EXPECT_EQ(ends.back(), Outcome::completed) << i;
        EXPECT_LE(books.held(1) + books.held(2), 1u);
    }
    upstream.reset();
    EXPECT_EQ(books.shares().used(), 0u);
}

TEST_F(Hostile, AListenersNameThatComesBackKeepsItsBooks) {
    Descriptors books(10, [](PoolId, std::size_t) {});
    ASSERT_TRUE(books.reload(10, {{"edge", {}}}, {}));
    ASSERT_TRUE(books.enter("edge"));
    ASSERT_TRUE(books.enter("edge"));
    ASSERT_TRUE(books.reload(10, {}, {}));  // gone, with two clients
    ASSERT_TRUE(books.reload(10, {{"edge", {}}}, {}));
    ASSERT_TRUE(books.enter("edge"));
    for (int i = 0; i < 3; ++i) EXPECT_NO_THROW(books.leave("edge"));
    EXPECT_EQ(books.held("edge"), 0u);
    EXPECT_EQ(books.shares().used(), 0u);
}

TEST_F(Hostile, AReloadThatFailsLeavesTheBooksAsTheyWere) {
    start(three());
    const Tcp::acceptor taken(io, any_port);
    const std::string other = "[[listener]]\nname = \"other\"\naddress = \"127.0.0.1:" +
                              std::to_string(taken.local_endpoint().port()) + "\"\n";
    const std::string before = listen;
    const std::size_t held = daemon->descriptors().held("edge");
    for (int i = 0; i < 5; ++i) {
        listen = free_address();
        EXPECT_THROW(reload(three() + other), std::runtime_error);
    }
    listen = before;
    EXPECT_EQ(daemon->descriptors().held("edge"), held);
}

TEST_F(Hostile, APoolThatCannotBeMadeLeavesNoOther) {
    start(three());
    config::Services services = services_of(three());
    config::Pool fresh = services.pools[0], wrong = services.pools[0];
    fresh.name = "fresh";
    wrong.name = "wrong";
    wrong.decisions.max_attempts = 0;
    services.pools.push_back(fresh);
    services.pools.push_back(wrong);
    EXPECT_ANY_THROW(daemon->reload(services));
    EXPECT_EQ(daemon->pool("fresh"), nullptr);
}

TEST_F(Hostile, AReloadDuringADrainDoesNotHoldItUp) {
    start(three());
    bool done = false;
    daemon->drain([&] { done = true; });
    listen = free_address();
    try {
        reload(three());
    } catch (const std::runtime_error&) {
    }
    until([&] { return done; });
    EXPECT_TRUE(done);
}

// Its answer began ahead of the drain, so it was told that its connection stays.
TEST_F(Hostile, AKeptConnectionAsksNothingNewOnceAcceptingIsOver) {
    start(three("buffer = \"4KiB\"\ntimeout = \"3s\""));
    a.script = [&](const auto& r) {
        if (r.target() != "/archive/1") return Reply{};
        return Reply{"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + std::string(40000, 'x')};
    };
    RawClient& client = raw_client();
    client.send(get("/archive/1"));
    until([&] { return client.text.size() > 40000; });
    const RawClient& silent = raw_client();
    until([&] { return daemon->clients() == 2; });
    bool done = false;
    daemon->drain([&] { done = true; });
    until([&] { return silent.ended; });  // as accepting ends
    a.send(0, std::string(9999, 'y') + "z");
    until([&] { return client.text.back() == 'z'; });
    error_code ignored;
    asio::write(client.socket(), asio::buffer(get("/archive/2")), ignored);
    until([&] { return done || a.requests.size() == 2; });
    EXPECT_EQ(a.requests.size(), 1u) << "taken after the end of accepting";
    until([&] { return done; });
}

// A timer that has run out waits in the loop's queue behind what ends the door.
TEST_F(Hostile, ADoorMayEndWhileItsTimersAreDue) {
    auto door = std::make_unique<Door>(
        io, any_port, 4, [](Places::Id, Tcp::socket) { return Door::GuestPtr(); }, [] {},
        [](const std::string&) {});
    asio::post(io, [&] {
        asio::post(io, [&] { door.reset(); });
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
        while (std::chrono::steady_clock::now() < until) continue;
    });
    until([&] { return !door; });
    rest();
}

TEST_F(Hostile, AKeyIsPassedOnWhateverConnectionSays) {
    start(listener() + pool("archive", {a.address(), b.address()}) +
          "[[pool.archive.class]]\nname = \"unsafe\"\neffect = \"unsafe\"\n"
          "[[pool.archive.class]]\nname = \"keyed\"\neffect = \"keyed\"\ndedup_scope = \"all\"\n"
          "dedup_window = \"1m\"\n" +
          "[[route]]\nname = \"archive\"\npool = \"archive\"\n[[route.match]]\npath = { prefix = \"/\" }\n"
          "method = \"POST\"\n[route.handling]\nkeyed_class = \"keyed\"\n");
    a.script = b.script = [](const auto&) { return Reply{"", false, true}; };
    const auto keyed = ask(post("/archive", "x", "Idempotency-Key: 1\r\n"));
    EXPECT_GT(a.requests.size() + b.requests.size(), 1u) << "with its key it may be sent again";
    a.requests.clear();
    b.requests.clear();
    ask(post("/archive", "x", "Connection: Idempotency-Key\r\nIdempotency-Key: 2\r\n"));
    for (const auto* server : {&a, &b})
        for (const auto& r : server->requests)
            EXPECT_EQ(std::string(r["Idempotency-Key"]), "2") << "servers drop repeats by it";
}

TEST_F(Hostile, ABodyThatStandsStillIsAnsweredTo) {
    HastyServer silent(io, " ");
    silent.said = "HTTP/1.1 100 Continue\r\n\r\n";
    start(listener() + pool("archive", {silent.address()}) +
          route("archive", "/", "pool = \"archive\"",
                "buffer = \"4KiB\"\nrequest_limit = \"1MiB\"\nstream_idle = \"200ms\""));
    RawClient& client = raw_client();
    client.send("POST /archive HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
                std::string(20000, 'x'));
    until([&] { return client.ended || client.text.find("\r\n\r\n") != std::string::npos; });
    EXPECT_EQ(client.text.rfind("HTTP/1.1 408", 0), 0u) << client.text;
    until([&] { return open() == 0; });
}

TEST_F(Hostile, AResetIsNotTheEndOfAnAnswer) {
    start(three());
    a.script = [](const auto&) { return Reply{"HTTP/1.1 200 OK\r\n\r\nhalf"}; };
    RawClient& client = raw_client();
    client.send(get("/archive"));
    until([&] { return client.text.find("half") != std::string::npos; });
    a.connections.at(0)->socket.set_option(asio::socket_base::linger(true, 0));
    a.connections.at(0)->socket.close();
    until([&] { return client.ended || client.text.find("\r\n0\r\n\r\n") != std::string::npos; });
    EXPECT_EQ(client.text.find("\r\n0\r\n\r\n"), std::string::npos) << "it passes for whole";
}

TEST_F(Hostile, ALongAnswerMayComeInSmallChunks) {
    start(three());
    std::string small;
    for (int i = 0; i < 20000; ++i) small += "2\r\nab\r\n";
    a.script = [&](const auto&) {
        return Reply{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + small + "0\r\n\r\n"};
    };
    EXPECT_EQ(ask(get("/archive")).body().size(), 40000u);
}

}  // namespace
}  // namespace whinledge::test
