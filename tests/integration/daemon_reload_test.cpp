// A daemon of several services is reloaded: under requests, with wrong files, and under load.
#include <malloc.h>

#include <set>

#include "rig/daemon_rig.hpp"

namespace whinledge::test {
namespace {

// ---- Reloads under an unsafe request: it ends once, is never sent twice, and nothing new goes to who left

TEST_F(DaemonTest, ARouteChangesUnderAnUnsafeRequest) {
    for (const bool breaks : {false, true}) {
        SCOPED_TRACE(breaks);
        start(two("archive", {a.address()}, {b.address()}));
        a.script = silence;
        a.requests.clear();
        a.connections.clear();
        b.requests.clear();
        TestClient& c = under_way(post("/archive", "once"), a);
        reload(two("search", {a.address()}, {b.address()}));
        EXPECT_EQ(ask(post("/archive", "next")).result_int(), 200u);
        EXPECT_EQ(b.requests.size(), 1u);
        if (breaks)
            a.connections.at(0)->socket.close();
        else
            a.send(0, response("200 OK", "done"));
        answered(c, breaks ? 502 : 200, breaks ? "" : "done");
        EXPECT_EQ(ask(post("/archive", "next")).result_int(), 200u);
        EXPECT_EQ(a.requests.size(), 1u);
        EXPECT_EQ(b.requests.size(), 2u);
        until([&] { return open() == 0 && daemon->gate().open() == 0; });
        clients.clear();
        daemon.reset();
    }
}

TEST_F(DaemonTest, APoolIsRemovedUnderAnUnsafeRequest) {
    for (const bool breaks : {false, true}) {
        SCOPED_TRACE(breaks);
        start(two("archive", {a.address()}, {b.address()}));
        a.script = silence;
        a.requests.clear();
        a.connections.clear();
        b.requests.clear();
        TestClient& c = under_way(post("/archive", "once"), a);
        reload(listener_ + pool("search", {b.address()}) + route("search", "/search", "pool = \"search\""));
        EXPECT_EQ(daemon->pool("archive"), nullptr);
        EXPECT_EQ(ask(post("/archive", "next")).result_int(), 404u);
        EXPECT_EQ(daemon->engine().retired(), 1u);
        if (breaks)
            a.connections.at(0)->socket.close();
        else
            a.send(0, response("200 OK", "done"));
        answered(c, breaks ? 502 : 200, breaks ? "" : "done");
        until([&] { return daemon->engine().retired() == 0 && daemon->gate().open() == 0; });
        if (!breaks) until([&] { return a.ended() == 1; });  // its connection is nobody's any more
        EXPECT_EQ(a.requests.size(), 1u);
        EXPECT_EQ(b.requests.size(), 0u);
        EXPECT_EQ(daemon->engine().machines(), 1u);
        clients.clear();
        daemon.reset();
    }
}

TEST_F(DaemonTest, AServerMovesBetweenPoolsUnderAnUnsafeRequest) {
    for (const bool breaks : {false, true}) {
        SCOPED_TRACE(breaks);
        start(two("archive", {a.address()}, {b.address()}));
        a.script = silence;
        a.requests.clear();
        a.connections.clear();
        b.requests.clear();
        TestClient& c = under_way(post("/archive", "once"), a);
        reload(two("archive", {b.address()}, {a.address()}));
        EXPECT_EQ(ask(post("/archive", "next")).result_int(), 200u);
        EXPECT_EQ(b.requests.size(), 1u);
        EXPECT_EQ(a.requests.size(), 1u) << "nothing new of the pool that it left";
        a.script = echo;
        EXPECT_EQ(ask(post("/search", "other")).body(), "POST /search 5");
        EXPECT_EQ(a.requests.size(), 2u);
        if (breaks)
            a.connections.at(0)->socket.close();
        else
            a.send(0, response("200 OK", "done"));
        answered(c, breaks ? 502 : 200, breaks ? "" : "done");
        EXPECT_EQ(std::count_if(a.requests.begin(), a.requests.end(),
                                [](const auto& r) { return r.target() == "/archive"; }) +
                      std::count_if(b.requests.begin(), b.requests.end(),
                                    [](const auto& r) { return r.body() == "once"; }),
                  1);
        until([&] { return open() == 0 && daemon->gate().open() == 0; });
        clients.clear();
        daemon.reset();
    }
}

// ---- Reloads

// A server whose backlog drops what comes: the connect outlasts its removal by a reload, and nothing is sent.
TEST_F(DaemonTest, AConnectThatOutlastsItsServerIsNotUsed) {
    Tcp::acceptor deaf(io, Tcp::v4());
    deaf.bind(any_port);
    deaf.listen(0);
    std::list<Tcp::socket> filling, accepted;
    for (int i = 0; i < 4; ++i) {
        filling.emplace_back(io, Tcp::v4());
        filling.back().async_connect(deaf.local_endpoint(), [](error_code) {});
    }
    rest(20);
    const std::string at = "127.0.0.1:" + std::to_string(deaf.local_endpoint().port());
    const std::string how = "connect_timeout = \"5s\"\n", handling = "timeout = \"6s\"";
    const auto file = [&](const std::string& server) {
        return listener_ + pool("archive", {server}, how) +
               route("archive", "/archive", "pool = \"archive\"", handling);
    };
    start(file(at));
    TestClient& c = client();
    c.send(post("/archive", "x"));
    until([&] { return open() == 1 && connections("archive") == 1; });
    reload(file(b.address()));
    rest(600);
    // Its backlog has room again: the kernel's next try comes through.
    std::size_t bytes = 0;
    std::vector<std::shared_ptr<std::array<char, 4096>>> buffers;
    std::function<void()> accept = [&] {
        deaf.async_accept([&](error_code failed, Tcp::socket socket) {
            if (failed) return;
            accepted.push_back(std::move(socket));
            buffers.push_back(std::make_shared<std::array<char, 4096>>());
            accepted.back().async_read_some(
                asio::buffer(*buffers.back()),
                [&, keep = buffers.back()](error_code, std::size_t size) { bytes += size; });
            accept();
        });
    };
    accept();
    answered(c, 200);
    EXPECT_EQ(b.requests.size(), 1u) << "it never ran, so it went elsewhere";
    EXPECT_EQ(bytes, 0u);
    deaf.close();
    accepted.clear();
    rest();
}

TEST_F(DaemonTest, AReloadThatIsWrongChangesNothing) {
    const std::string process = "[process]\ndescriptors = 100\n";
    const std::string services = two("archive", {a.address()}, {b.address()});
    start(process + services);
    TestClient& before = client();
    before.send(get("/archive"));
    until([&] { return before.answers.size() == 1; });
    const auto held = [this] { return daemon->descriptors().shares().used(); };
    until([&] { return held() == 3; });  // a client, its server, the next client
    const std::size_t machines = daemon->engine().machines();
    const std::string fresh =
        pool("accounts", {c.address()}) + route("accounts", "/archive", "pool = \"accounts\"");
    const std::string moved = "[[listener]]\nname = \"edge\"\naddress = \"" + free_address() + "\"\n";
    const std::string rest_of = services.substr(listener_.size());

    const std::vector<std::pair<std::string, std::string>> wrong{
        {"bad", process + services + fresh + "[[route]]\nname = \"bad\"\npool = \"archive\"\n" +
                    "[[route.match]]\npath = { regex = \"(\" }\n"},
        {"side",
         process + services + fresh + "[[listener]]\nname = \"side\"\naddress = \"" + a.address() + "\"\n"},
        // All but 32 are for connections (68); the file's own check knows of the 100 alone.
        {"process.descriptors",
         process + moved + "limits.descriptors = { guaranteed = 80 }\n" + rest_of + fresh}};
    for (const auto& [named, text] : wrong) {
        SCOPED_TRACE(named);
        const std::string why = refused(text);
        EXPECT_NE(why.find(named), std::string::npos) << why;
        EXPECT_FALSE(why.empty());
        EXPECT_EQ(daemon->pool("accounts"), nullptr);
        EXPECT_EQ(daemon->engine().machines(), machines);
        rest(30);  // longer than the pause of a listener that finds no room
        EXPECT_EQ(held(), 3u);
        EXPECT_EQ(daemon->descriptors().held("edge"), 2u);
        const std::size_t answers = before.answers.size();
        before.send(get("/archive"));
        until([&] { return before.answers.size() > answers; });
        EXPECT_EQ(before.answers.back().result_int(), 200u);
        EXPECT_EQ(c.requests.size(), 0u);
    }
    EXPECT_EQ(a.connections.size(), 1u);
    EXPECT_EQ(refused(process + services + fresh), "") << "and a right one is taken";
}

TEST_F(DaemonTest, UnchangedPoolsKeepTheirConnectionsOverAReload) {
    start(two("archive", {a.address()}, {b.address()}));
    TestClient& kept = client();
    for (std::size_t i = 1; i <= 5; ++i) {
        kept.send(get("/archive"));
        until([&] { return kept.answers.size() == i; });
        rest(10);  // so that its connection may be used again
        // The other pool's members and a route change each time.
        reload(two("archive", {a.address()}, {i % 2 ? c.address() : b.address()}) +
               route("more", "/more" + std::to_string(i), "pool = \"search\""));
        EXPECT_EQ(ask(get("/search")).result_int(), 200u);
        EXPECT_EQ(i % 2 ? c.requests.size() : b.requests.size(), (i + 1) / 2);
    }
    EXPECT_FALSE(kept.ended);
    EXPECT_EQ(a.requests.size(), 5u);
    EXPECT_EQ(a.connections.size(), 1u);
    EXPECT_EQ(connections("archive"), 1u);
}

TEST_F(DaemonTest, AListenerIsAddedAndRemovedByAReload) {
    const std::string text = two("archive", {a.address()}, {b.address()});
    start(text);
    reload(text + "[[listener]]\nname = \"side\"\naddress = \"" + free_address() + "\"\n");
    const Tcp::endpoint side = daemon->address("side");
    TestClient& served = clients.emplace_back(io, side);
    TestClient& idle = clients.emplace_back(io, side);
    served.send(get("/search"));
    answered(served, 200);
    a.script = silence;
    served.send(post("/archive", "x"));
    until([&] { return a.requests.size() == 1; });
    reload(text);
    EXPECT_THROW(daemon->address("side"), std::out_of_range);
    Tcp::socket late(io);
    error_code failed;
    late.connect(side, failed);
    EXPECT_EQ(failed, asio::error::connection_refused);
    a.send(0, response("200 OK", "done"));
    until([&] { return served.answers.size() == 2 && served.ended && idle.ended; });
    EXPECT_EQ(served.answers[1].body(), "done");
    until([&] { return daemon->clients() == 0 && daemon->descriptors().held("side") == 0; });
    a.script = echo;
    EXPECT_EQ(ask(get("/archive")).result_int(), 200u) << "the other one stays";
}

// Its socket goes on from one listener to the other: nobody is turned away, and what was begun is finished.
TEST_F(DaemonTest, AListenerChangesItsProfileUnderARequest) {
    const std::string rest_of_it = pool("archive", {a.address()}) + route("all", "/", "pool = \"archive\"");
    start(listener() + rest_of_it);
    a.script = silence;
    TestClient& before = under_way(post("/x", "x"), a);
    reload(listener("profile = \"platform\"\n") + rest_of_it);
    EXPECT_EQ(ask(get("/_health")).result_int(), 200u) << "the platform's own";
    EXPECT_EQ(ask(get("/x")).result_int(), 400u) << "no request of the platform's";
    a.send(0, response("200 OK", "late"));
    answered(before, 200, "late");
    a.script = echo;
    reload(listener() + rest_of_it);
    EXPECT_EQ(ask(get("/x")).result_int(), 200u);
}

TEST_F(DaemonTest, TwoListenersSwapTheirAddresses) {
    const std::string other = free_address();
    const auto file = [&](const std::string& one, const std::string& two) {
        return "[[listener]]\nname = \"one\"\naddress = \"" + one +
               "\"\n[[listener]]\nname = \"two\"\naddress = \"" + two + "\"\n" +
               pool("archive", {a.address()}) + pool("search", {b.address()}) +
               route("one", "/", "listeners = [\"one\"]\npool = \"archive\"") +
               route("two", "/", "listeners = [\"two\"]\npool = \"search\"");
    };
    start(file(listen, other));
    const auto first = daemon->address("one"), second = daemon->address("two");
    const auto served_at = [&](const Tcp::endpoint& at) {
        const std::size_t before = a.requests.size();
        TestClient& c = clients.emplace_back(io, at);
        c.send(get("/x"));
        answered(c, 200);
        return a.requests.size() > before ? "archive" : "search";
    };
    EXPECT_STREQ(served_at(first), "archive");
    for (int i = 0; i < 5; ++i) {
        reload(file(other, listen));
        EXPECT_EQ(daemon->address("one"), second);
        EXPECT_STREQ(served_at(first), "search");
        EXPECT_STREQ(served_at(second), "archive");
        reload(file(listen, other));
        EXPECT_STREQ(served_at(first), "archive");
        EXPECT_STREQ(served_at(second), "search");
    }
    // One that fails leaves both as they are.
    EXPECT_NE(
        refused("[[listener]]\nname = \"taken\"\naddress = \"" + c.address() + "\"\n" + file(other, listen)),
        "");
    EXPECT_NE(
        refused(file(other, listen) + "[[listener]]\nname = \"taken\"\naddress = \"" + c.address() + "\"\n"),
        "");
    EXPECT_STREQ(served_at(first), "archive");
    EXPECT_STREQ(served_at(second), "search");
}

TEST_F(DaemonTest, TenThousandRoutesAreReplacedUnderLoad) {
    constexpr int kRoutes = 10000, kClients = 8, kReloads = 3;
    const config::Services base =
        services_of(listener() + pool("archive", {a.address()}) + route("all", "/", "pool = \"archive\""));
    const auto services = [&](int generation) {
        config::Services many = base;
        const route::Route all = many.routes.front();
        for (int i = 0; i < kRoutes; ++i) {
            route::Route one = all;
            one.name = "r" + std::to_string(i);
            one.matches = {route::Match{}};
            one.matches[0].path.value = "/r" + std::to_string(i);
            // Of one generation in all that it does.
            for (auto* edits : {&one.request_headers, &one.answer_headers})
                edits->push_back({route::HeaderEdit::Kind::set, "X-Generation", std::to_string(generation)});
            many.routes.push_back(std::move(one));
        }
        return many;
    };
    std::optional<std::size_t> held_on;
    a.script = [&](const auto& r) {
        if (r.target() == "/r7") {
            for (std::size_t i = 0; i < a.connections.size(); ++i)
                if (a.connections[i]->parser && a.connections[i]->parser->is_done()) held_on = i;
            return Reply{};
        }
        return Reply{response("200 OK", std::string(r["X-Generation"]))};
    };
    const auto in_use = [] {  // 0 under sanitizers
        const auto all = ::mallinfo2();
        return static_cast<std::size_t>(all.uordblks + all.hblkhd);
    };
    const std::size_t without = in_use();
    daemon.emplace(io, services(0), options());
    const std::size_t table = in_use() - without;

    std::vector<std::size_t> rounds(kClients);
    std::vector<TestClient*> load;
    for (int i = 0; i < kClients; ++i) load.push_back(&client());
    const auto go_on = [&] {
        for (std::size_t i = 0; i < load.size(); ++i) {
            if (load[i]->answers.size() < rounds[i]) continue;
            load[i]->send(get("/r" + std::to_string(10 + (i * 997 + rounds[i] * 31) % (kRoutes - 10))));
            ++rounds[i];
        }
    };
    std::size_t after_first = 0;
    for (int generation = 1; generation <= kReloads; ++generation) {
        config::Services next = services(generation);
        // Held over the reload, and answered by the route that it began with.
        TestClient& held = under_way(get("/r7"), a);
        const std::size_t at = a.requests.size() - 1, so_far = a.requests.size();
        EXPECT_EQ(a.requests[at]["X-Generation"], std::to_string(generation - 1));
        go_on();
        until([&] {
            go_on();
            return a.requests.size() >= so_far + 40;
        });
        daemon->reload(std::move(next));
        until([&] {
            go_on();
            return a.requests.size() >= so_far + 80;
        });
        // On the one connection on which nothing more has been asked since.
        a.send(*held_on, response("200 OK", "held"));
        answered(held, 200, "held");
        EXPECT_EQ(held.answers[0]["X-Generation"], std::to_string(generation - 1));
        held.close();
        if (generation == 1) after_first = in_use();
    }
    until([&] {
        bool all = true;
        for (std::size_t i = 0; i < load.size(); ++i) all &= load[i]->answers.size() == rounds[i];
        return all;
    });
    std::set<std::string> generations;
    for (const TestClient* c : load)
        for (const auto& answer : c->answers) {
            // A reload holds the loop up for a while, and who comes late for that may be refused.
            if (answer.result_int() == 503 && answer.body().starts_with("refused:")) continue;
            EXPECT_EQ(answer.result_int(), 200u);
            EXPECT_EQ(answer.body(), answer["X-Generation"]) << "of one table both ways";
            generations.insert(answer.body());
        }
    EXPECT_EQ(generations.size(), kReloads + 1u);
    if (table > 0) {
        EXPECT_LT(in_use(), after_first + table / 4) << "the tables of before are gone";
    }
}

}  // namespace
}  // namespace whinledge::test
