// A daemon of several services: limits that keep them apart, sources of members that are down, reloads under
// load and the end.
#include <malloc.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "rig/service_rig.hpp"

namespace whinledge::test {
namespace {

namespace fs = std::filesystem;

struct DaemonTest : ServiceRig {
    // A directory of this test's own.
    fs::path directory = fs::temp_directory_path() / ("whinledge-daemon-" + std::to_string(::getpid()));
    DaemonTest() { fs::create_directories(directory); }
    ~DaemonTest() override { fs::remove_all(directory); }

    // At once whole, as a deployment does it.
    void write(const fs::path& path, const std::string& text) const {
        const fs::path next = path.string() + ".next";
        std::ofstream(next) << text;
        fs::rename(next, path);
    }
    std::size_t connections(const std::string& name) {
        return daemon->descriptors().held(daemon->pool(name)->id());
    }
    // Sends it and returns once it has reached its server.
    TestClient& under_way(const std::string& bytes, const ScriptedServer& server) {
        const std::size_t before = server.requests.size();
        TestClient& c = client();
        c.send(bytes);
        until([&] { return server.requests.size() > before; });
        return c;
    }
    void answered(TestClient& c, unsigned status, const std::string& body = "") {
        until([&] { return !c.answers.empty() || c.ended; });
        ASSERT_EQ(c.answers.size(), 1u);
        EXPECT_EQ(c.answers[0].result_int(), status);
        if (!body.empty()) {
            EXPECT_EQ(c.answers[0].body(), body);
        }
    }
    std::string two(const std::string& archive_to, const std::vector<std::string>& archive,
                    const std::vector<std::string>& search) const {
        return listener_ + pool("archive", archive) + pool("search", search) +
               route("archive", "/archive", "pool = \"" + archive_to + "\"") +
               route("search", "/search", "pool = \"search\"");
    }
    std::string listener_ = listener();
    // Why a reload was refused; empty: it was not.
    std::string refused(const std::string& text) {
        config::Services services = services_of(text);
        try {
            daemon->reload(std::move(services));
        } catch (const std::runtime_error& why) {
            return why.what();
        }
        return "";
    }
};

// ---- Limits
// -----------------------------------------------------------------------------------------------------

TEST_F(DaemonTest, AFloodOnOnePoolLeavesTheOthersTheirShare) {
    start(three("timeout = \"9s\"", "limits.requests = { most = 4 }\n"));
    b.script = silence;
    std::vector<TestClient*> held;
    for (int i = 0; i < 4; ++i) held.push_back(&under_way(post("/search", "x"), b));
    for (int i = 0; i < 30; ++i) {
        const auto refused = ask(get("/search"));
        EXPECT_EQ(refused.result_int(), 503u);
        const std::string retry(refused["Retry-After"]);
        ASSERT_FALSE(retry.empty());
        EXPECT_EQ(retry.find_first_not_of("0123456789"), std::string::npos) << retry;
        EXPECT_GE(std::stoi(retry), 1);
        EXPECT_EQ(ask(get("/archive")).result_int(), 200u);
        EXPECT_EQ(ask(post("/accounts", "x")).result_int(), 200u);
    }
    EXPECT_EQ(b.requests.size(), 4u);
    EXPECT_EQ(daemon->gate().open(), 4u);
    for (std::size_t i = 0; i < 4; ++i) b.send(i, response("200 OK", "late"));
    for (TestClient* c : held) answered(*c, 200, "late");
    until([&] { return open() == 0 && daemon->gate().open() == 0; });
    b.script = echo;
    EXPECT_EQ(ask(get("/search")).result_int(), 200u);
}

TEST_F(DaemonTest, OnePoolCannotTakeEveryDescriptor) {
    // 64 in all: 30 for clients and 10 for the archive leave 24 to whoever is first.
    start("[process]\ndescriptors = 64\n" +
          listener("limits.descriptors = { guaranteed = 30, most = 30 }\n") +
          pool("archive", {a.address()}, "limits.descriptors = { guaranteed = 10 }\n") +
          pool("search", {b.address()}) +
          route("archive", "/archive", "pool = \"archive\"", "timeout = \"9s\"") +
          route("search", "/search", "pool = \"search\"", "timeout = \"9s\""));
    const limits::Shares& all = daemon->descriptors().shares();
    std::size_t most = 0;
    const auto until_here = [&](const std::function<bool()>& reached) {
        until([&] {
            most = std::max({most, all.used(), all.committed()});
            return reached();
        });
    };
    a.script = b.script = silence;
    std::vector<TestClient*> flood, few;
    for (int i = 0; i < 25; ++i) (flood.emplace_back(&client()))->send(post("/search", "x"));
    until_here([&] { return b.requests.size() == 24; });
    EXPECT_EQ(connections("search"), 24u);
    for (int i = 0; i < 3; ++i) (few.emplace_back(&client()))->send(post("/archive", "x"));
    until_here([&] { return a.requests.size() == 3; });
    EXPECT_EQ(connections("archive"), 3u);
    EXPECT_EQ(connections("search"), 24u);
    // The one that waits has a connection that another has done with; then all are idle.
    b.script = echo;
    for (std::size_t i = 0; i < 24; ++i) b.send(i, response("200 OK", "x"));
    for (std::size_t i = 0; i < 3; ++i) a.send(i, response("200 OK", "x"));
    until_here([&] {
        const auto has = [](const TestClient* c) { return !c->answers.empty(); };
        return std::all_of(flood.begin(), flood.end(), has) && std::all_of(few.begin(), few.end(), has);
    });
    EXPECT_GT(connections("search"), 20u) << "kept for its next requests";
    const std::size_t closed = b.ended();
    clients.clear();  // a crowded listener has ended theirs
    for (int i = 0; i < 25; ++i) client().send(post("/archive", "x"));
    until_here([&] { return a.requests.size() == 3 + 25; });
    EXPECT_EQ(connections("archive"), 25u);
    until_here([&] { return b.ended() > closed; });
    EXPECT_LE(most, 64u);
    for (const auto& c : a.connections)
        if (!c->ended) asio::write(c->socket, asio::buffer(response("200 OK", "x")));
    until_here([&] { return open() == 0; });
}

TEST_F(DaemonTest, APoolWhoseServersAllFreezeLeavesTheOthersAlone) {
    // One takes requests and says nothing, one takes connections and reads nothing.
    Tcp::acceptor frozen(io, any_port);
    start(listener() + pool("archive", {a.address()}) +
          pool("search", {b.address(), "127.0.0.1:" + std::to_string(frozen.local_endpoint().port())}) +
          route("archive", "/archive", "pool = \"archive\"", "timeout = \"9s\"") +
          route("search", "/search", "pool = \"search\"", "timeout = \"100ms\""));
    b.script = silence;
    std::vector<TestClient*> stuck;
    for (int i = 0; i < 20; ++i) {
        (stuck.emplace_back(&client()))->send(i % 2 ? get("/search") : post("/search", "x"));
        EXPECT_EQ(ask(get("/archive")).result_int(), 200u);
    }
    for (TestClient* c : stuck) {
        until([&] { return !c->answers.empty() || c->ended; });
        ASSERT_EQ(c->answers.size(), 1u);
        EXPECT_GE(c->answers[0].result_int(), 502u);
        EXPECT_LE(c->answers[0].result_int(), 504u);
        EXPECT_EQ(ask(get("/archive")).result_int(), 200u);
    }
    EXPECT_EQ(a.requests.size(), 40u) << "each made once";
    until([&] { return open() == 0 && daemon->gate().open() == 0; });
    EXPECT_EQ(connections("archive"), a.connections.size() - a.ended());
}

// ---- Members
// -----------------------------------------------------------------------------------------------------

// The platform's discovery: gives its list to whoever asks for the first time, then holds the watch.
class Agent {
public:
    Agent(asio::io_context& io, const Tcp::endpoint& address, std::string list)
        : acceptor_(io, address), list_(std::move(list)) {
        accept();
    }
    std::size_t asked() const { return *asked_; }

private:
    struct Connection {
        explicit Connection(Tcp::socket s) : socket(std::move(s)) {}
        Tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
    };
    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            const auto c = connections_.emplace_back(std::make_shared<Connection>(std::move(socket)));
            read(c, *asked_ == 0);
            accept();
        });
    }
    void read(const std::shared_ptr<Connection>& c, bool answers) {
        http::async_read(c->socket, c->buffer, c->request,
                         [c, answers, asked = asked_, list = list_, this](error_code failed, std::size_t) {
                             if (failed) return;
                             ++*asked;
                             c->request = {};
                             if (answers) {
                                 asio::write(c->socket, asio::buffer(response("200 OK", list)));
                                 read(c, false);
                             }
                         });
    }
    Tcp::acceptor acceptor_;
    std::string list_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::shared_ptr<std::size_t> asked_ = std::make_shared<std::size_t>(0);

public:
    ~Agent() {
        error_code ignored;
        for (const auto& c : connections_) {
            c->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            c->socket.close(ignored);
        }
    }
};

TEST_F(DaemonTest, APoolWhoseMembersSourceIsDownStartsEmptyAndComesUp) {
    const fs::path file = directory / "members.json";
    fs::remove(file);
    const std::string discovery = free_address();
    const Tcp::endpoint at(asio::ip::address_v4::loopback(),
                           static_cast<std::uint16_t>(std::stoi(discovery.substr(discovery.find(':') + 1))));
    const auto text = listener() + "[pool.files]\n[pool.files.members]\nsource = \"file\"\npath = \"" +
                      file.string() +
                      "\"\n[pool.told]\n[pool.told.members]\nsource = \"platform\"\naddress = \"" +
                      discovery + "\"\n" + pool("accounts", {c.address()}) +
                      route("files", "/files", "pool = \"files\"", "timeout = \"200ms\"") +
                      route("told", "/told", "pool = \"told\"", "timeout = \"200ms\"") +
                      route("accounts", "/accounts", "pool = \"accounts\"");
    start(text);
    const auto ready = [this](const char* name) { return daemon->pool(name)->ready(); };
    for (const char* const path : {"/files", "/told"}) {
        EXPECT_GE(ask(get(path)).result_int(), 503u) << path;
        EXPECT_LE(ask(post(path, "x")).result_int(), 504u) << path;
    }
    EXPECT_EQ(ask(get("/accounts")).result_int(), 200u);
    EXPECT_EQ(ready("files") + ready("told"), 0u);

    write(file, list_json(1, true, {{"s-a", a.address()}}));
    until([&] { return ready("files") == 1; });
    EXPECT_EQ(ask(get("/files")).result_int(), 200u);
    {
        Agent agent(io, at, list_json(41, true, {{"s-b", b.address()}}));
        until([&] { return ready("told") == 1; });
        EXPECT_EQ(ask(post("/told", "x")).result_int(), 200u);
        until([&] { return agent.asked() > 1; });  // the watch
    }
    // Both are down, or wrong, for a while: the lists held stay in force.
    write(file, "no list");
    until([&] { return logged().find("files: its members stay as they are") != std::string::npos; });
    fs::remove(file);
    rest(60);  // some tries
    EXPECT_EQ(ask(get("/files")).result_int(), 200u);
    EXPECT_EQ(ask(get("/told")).result_int(), 200u);
    EXPECT_EQ(ready("files") + ready("told"), 2u);

    write(file, list_json(2, true, {{"s-a", a.address()}, {"s-c", c.address()}}));
    Agent agent(io, at, list_json(42, true, {{"s-b", b.address()}, {"s-c", c.address()}}));
    until([&] { return ready("files") == 2 && ready("told") == 2; });
}

// ---- Reloads under an unsafe request: it ends once, is never sent twice, and nothing new goes to who left
// -----------------------------------------------------------------------------------------------------

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
// -----------------------------------------------------------------------------------------------------

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

// ---- The end
// -----------------------------------------------------------------------------------------------------

TEST_F(DaemonTest, ADrainWaitsForStreamsAndHurryEndsThem) {
    constexpr std::size_t kHalf = 50000;
    for (const bool hurries : {false, true}) {
        SCOPED_TRACE(hurries);
        start(listener() + pool("archive", {a.address()}) +
              route("archive", "/", "pool = \"archive\"", "buffer = \"4KiB\""));
        a.connections.clear();
        a.script = [&](const auto&) {
            return Reply{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * kHalf) + "\r\n\r\n" +
                         std::string(kHalf, 'x')};
        };
        RawClient& c = raw_client();
        c.send(get("/archive"));
        until([&] { return c.text.size() > kHalf; });
        bool drained = false;
        daemon->drain([&] { drained = true; });
        // Past its time for new connections; what streams goes on.
        const auto port = static_cast<std::uint16_t>(std::stoi(listen.substr(listen.find(':') + 1)));
        for (error_code failed; !failed; rest(20)) {
            Tcp::socket late(io);
            late.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port), failed);
        }
        rest(20);
        EXPECT_FALSE(drained);
        EXPECT_FALSE(c.ended);
        if (hurries)
            daemon->hurry();
        else
            a.send(0, std::string(kHalf, 'x'));
        until([&] { return drained; });
        until([&] { return c.ended || c.text.size() > 2 * kHalf; });
        if (hurries) {
            EXPECT_TRUE(c.ended) << "cut off";
            EXPECT_LT(c.text.size(), 2 * kHalf);
        } else {
            EXPECT_TRUE(c.text.ends_with(std::string(kHalf, 'x')));
        }
        EXPECT_EQ(open(), 0u);
        EXPECT_EQ(daemon->gate().open(), 0u);
        raw.clear();
        daemon.reset();
    }
}

}  // namespace
}  // namespace whinledge::test
