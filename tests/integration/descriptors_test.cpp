// Descriptors that run out, in the program itself under a limit of its own (RLIMIT_NOFILE): whoever idles is
// let go before a request is lost, and discovery keeps what it needs.
#include <sys/resource.h>

#include <csignal>

#include "rig/child_rig.hpp"

namespace whinledge::test {
namespace {

struct Bounds {
    std::string sockets;  // as the configuration tells
    rlim_t limit;         // as the process has it
};
void PrintTo(const Bounds& b, std::ostream* out) { *out << b.sockets << " told, " << b.limit << " allowed"; }

struct Descriptors : ChildRig, testing::WithParamInterface<Bounds> {};

// Clients that have come back are kept, and as many as there are places idle while discovery is down. It is
// heard again as soon as without them, and whoever comes meanwhile is served.
TEST_P(Descriptors, IdleClientsLeaveDiscoveryItsOwn) {
    discovery.listen();
    start(GetParam().sockets, GetParam().limit);
    until([&] { return discovery.calls == 1; });
    discovery.close();
    std::size_t unanswered = 0;
    const std::size_t many = GetParam().limit + 16;
    for (std::size_t i = 0; i < many; ++i) {
        TestClient& c = client();
        for (std::size_t n = 1; n <= 2 && !c.ended; ++n) {
            c.send(request("listen", "id-" + std::to_string(i) + "-" + std::to_string(n)));
            if (!within(1000, [&] { return c.answers.size() == n || c.ended; })) ++unanswered;
        }
        if (unanswered > 0) break;
    }
    EXPECT_EQ(unanswered, 0u);
    const std::size_t before = discovery.calls;
    discovery.listen();
    EXPECT_TRUE(within(2000, [&] { return discovery.calls > before; })) << "its return is not heard";
    EXPECT_LE(descriptors(), GetParam().limit);
    EXPECT_TRUE(alive());
}

INSTANTIATE_TEST_SUITE_P(All, Descriptors,
                         testing::Values(Bounds{"1024", 64}, Bounds{"1024", 32}, Bounds{"64", 64},
                                         Bounds{"32", 32}, Bounds{"32", 256}, Bounds{"1024", 256}));

// Where the limit is found to be lower than it was at the start, each connection that can't be accepted costs
// an idle one its place: its request may lie behind it already.
TEST_F(ChildRig, AFailedAcceptLetsGoWhoIdles) {
    discovery.listen();
    start("1024", 1024);
    const auto ask = [&](TestClient& c) {
        const std::size_t before = c.answers.size();
        c.send(request("listen", "id-" + std::to_string(server.requests.size())));
        return within(1000, [&] { return c.answers.size() > before; });
    };
    for (int i = 0; i < 60; ++i) {
        TestClient& c = client();
        ASSERT_TRUE(ask(c) && ask(c));
    }
    const std::size_t more = close_the_lid() + 24;
    std::size_t unanswered = 0;
    for (std::size_t i = 0; i < more && unanswered == 0; ++i) unanswered += !ask(client());
    EXPECT_EQ(unanswered, 0u);
    EXPECT_TRUE(alive());
}

// All descriptors that there are have been opened: by clients that have come back, and by idle ones that fill
// whatever is left. (An accept that finds none lets go an idle client though nobody waits: it keeps one
// free.)
struct Filled : ChildRig {
    static constexpr std::size_t kBusy = 5;

    void begin() {
        discovery.listen();
        start("1024", 1024);
        for (std::size_t i = 0; i < kBusy; ++i)
            for (int n = 0; n < 2; ++n) ASSERT_TRUE(serves(i == busy.size() ? add() : *busy[i]));
        until([&] { return discovery.calls >= 1; });
    }
    TestClient& add() {
        busy.push_back(&client());
        return *busy.back();
    }
    void fill() {
        close_the_lid();
        rlimit now{};
        ASSERT_EQ(::prlimit(child, RLIMIT_NOFILE, nullptr, &now), 0);
        limit = now.rlim_cur;
        const std::size_t others = descriptors() - 1 - (server.connections.size() - server.ended());
        discovery.close();
        for (const auto& c : server.connections) c->socket.close();
        until([&] { return descriptors() <= others; });
        for (int i = 0; i < 200 && (i < 20 || descriptors() + 1 < limit); ++i) {
            TestClient& c = client();
            for (std::size_t n = 1; n <= 2; ++n) {
                c.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                within(1000, [&] { return c.answers.size() == n || c.ended; });
            }
        }
        ASSERT_GE(descriptors() + 1, limit);
    }
    // Each on a connection of its own, and more than there are: no server answers meanwhile.
    void ask_at_once() {
        server.script = [](const auto&) { return Reply{}; };
        const std::size_t before = server.requests.size();
        for (TestClient* const c : busy) c->send(request("deposit", "id-" + std::to_string(++asked)));
        EXPECT_TRUE(within(1500, [&] { return server.requests.size() == before + kBusy; }))
            << server.requests.size() - before << " have a connection";
    }
    bool serves(TestClient& c) {
        const std::size_t before = c.answers.size();
        c.send(request("listen", "id-" + std::to_string(++asked)));
        within(1500, [&] { return c.answers.size() > before || c.ended; });
        return c.answers.size() > before && c.answers.back().result_int() == 200;
    }
    std::vector<TestClient*> busy;
    std::size_t limit = 0, asked = 0;
};

// Requests that need connections of their own have them, each for an idle client, and lose nothing by it.
TEST_F(Filled, AServersConnectLetsGoWhoIdles) {
    begin();
    fill();
    ask_at_once();
    for (std::size_t i = 0; i < server.connections.size(); ++i)
        if (server.connections[i]->socket.is_open()) server.send(i, response("200 OK", "served"));
    EXPECT_TRUE(within(1500, [&] {
        return std::all_of(busy.begin(), busy.end(), [](const TestClient* c) {
            return c->answers.size() == 3 && c->answers.back().result_int() == 200;
        });
    }));
    EXPECT_LE(descriptors(), limit);
    EXPECT_TRUE(alive());
}

// Discovery is heard at its return, though those have taken the last descriptor.
TEST_F(Filled, DiscoverysConnectLetsGoWhoIdles) {
    begin();
    fill();
    ask_at_once();
    const std::size_t before = discovery.calls;
    discovery.listen();
    EXPECT_TRUE(within(2000, [&] { return discovery.calls > before; })) << "its return is not heard";
    EXPECT_LE(descriptors(), limit);
    EXPECT_TRUE(alive());
}

// A configuration that can't be opened for want of a descriptor is told in the log and changes nothing; the
// next signal brings it.
TEST_F(Filled, AHangupWithoutADescriptorIsToldAndTheNextOneWorks) {
    FallibleDiscovery other(io);
    other.listen();
    begin();
    TestClient& kept = *busy[0];
    rlimit limits{};
    ASSERT_EQ(::prlimit(child, RLIMIT_NOFILE, nullptr, &limits), 0);
    const rlimit none{3, limits.rlim_max};
    ASSERT_EQ(::prlimit(child, RLIMIT_NOFILE, &none, nullptr), 0);
    std::swap(discovery.address, other.address);
    configure("1024");
    std::swap(discovery.address, other.address);
    ::kill(child, SIGHUP);
    until([&] { return log().find("the old configuration stays") != std::string::npos; });
    EXPECT_NE(log().find("Too many open files"), std::string::npos) << log();
    EXPECT_TRUE(serves(kept));
    EXPECT_EQ(other.calls, 0u);
    ASSERT_EQ(::prlimit(child, RLIMIT_NOFILE, &limits, nullptr), 0);
    ::kill(child, SIGHUP);
    until([&] { return other.calls > 0; });
    EXPECT_TRUE(serves(kept));
}

// A services file tells more than the process may open: clients have what is left beside what the process
// needs, so that a new file is read though they hold all that they may.
TEST_F(Filled, AServicesFileIsHeldToTheProcesssOwnLimit) {
    const std::string file = folder / "services.toml";
    std::ofstream(file)
        << "[process]\ndescriptors = 4096\n[[listener]]\nname = \"edge\"\naddress = \"127.0.0.1:"
        << listens.port()
        << "\"\n[pool.archive]\nlimits.descriptors = { guaranteed = 16 }\n[pool.archive.members]\nsource = "
           "\"list\"\n"
        << "list = [\"" << server.address() << "\"]\n[[route]]\nname = \"all\"\n"
        << "pool = \"archive\"\n[[route.match]]\npath = { prefix = \"/\" }\n"
        << "[route.handling]\ntimeout = \"2s\"\n";
    constexpr std::size_t kAllowed = 96;
    launch({"--config", file}, kAllowed);
    std::size_t unanswered = 0;
    for (std::size_t i = 0; i < kAllowed + 16 && unanswered == 0; ++i) {
        TestClient& c = client();
        unanswered += !serves(c);
        try {
            serves(c);
        } catch (const boost::system::system_error&) {  // closed between requests
        }
    }
    EXPECT_EQ(unanswered, 0u);
    EXPECT_LE(descriptors(), kAllowed - 16);
    EXPECT_NE(log().find("the process's own limit leaves"), std::string::npos) << log();
    ::kill(child, SIGHUP);
    const auto says = [&](const char* what) { return log().find(what) != std::string::npos; };
    until([&] { return says("as it is now") || says("the old configuration stays"); });
    EXPECT_NE(log().find("as it is now"), std::string::npos) << log();
    EXPECT_TRUE(alive());
}

}  // namespace
}  // namespace whinledge::test
