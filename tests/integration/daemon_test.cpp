// A daemon of several services: limits that keep them apart, sources of members that are down, and the end.
#include "rig/daemon_rig.hpp"

namespace whinledge::test {
namespace {

// ---- Limits

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

// ---- The end

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
