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

}  // namespace
}  // namespace whinledge::test
