// Floods: memory and descriptors stay bounded, and usual clients are served meanwhile.
#include "rig/child_rig.hpp"

namespace whinledge::test {
namespace {

using Floods = ChildRig;

// Connects that say nothing, more than there are places by far: who has come back is served as ever, and
// whoever comes behind them is not lost.
TEST_F(Floods, ThousandsOfConnectsThatSayNothing) {
    discovery.listen();
    start("256", 256);
    std::size_t asked = 0;
    const auto served_in = [&](TestClient& c) {
        const auto begun = std::chrono::steady_clock::now();
        const std::size_t before = c.answers.size();
        c.send(request("listen", "id-" + std::to_string(++asked)));
        EXPECT_TRUE(within(5000, [&] { return c.answers.size() > before; }));
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begun;
        return took.count();
    };
    TestClient& kept = client();
    for (int i = 0; i < 3; ++i) served_in(kept);
    std::list<Tcp::socket> silent;
    for (int i = 0; i < 2000; ++i) silent.emplace_back(io).connect(listens);
    TestClient& fresh = client();
    const double fresh_took = served_in(fresh), kept_took = served_in(kept);
    std::cout << "kept " << kept_took << " ms, new " << fresh_took << " ms, peak " << peak_memory()
              << " KiB, descriptors " << descriptors() << "\n";
    EXPECT_LE(kept_took, 400);  // the class's aim
    EXPECT_LE(descriptors(), 256u);
#ifndef __SANITIZE_ADDRESS__  // which holds on to what is freed, and counts with the program
    EXPECT_LE(peak_memory(), 32u * 1024);
#endif
}

// Places are wanted while the end of a request lies unread: it counts as taken, and is read.
TEST_F(NetRig, WhoHasSentAllIsNotLetGoUnread) {
    start({{"s-a", a.address()}}, "28");  // of which four are for clients
    const auto whole = [](int i) {
        return request("deposit", "id-" + std::to_string(i), 5000, std::string(40000, 'x'));
    };
    for (int i = 0; i < 3; ++i) client().send(whole(i).substr(0, 300));
    for (int i = 0; i < 5; ++i) rest();  // beyond the time that the silent have
    int i = 0;
    for (TestClient& c : clients) c.send(whole(i++).substr(300));
    client().send(request("listen", "id-3"));
    until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const TestClient& c) { return c.ended || !c.answers.empty(); });
    });
    for (const TestClient& c : clients) {
        ASSERT_EQ(c.answers.size(), 1u);
        EXPECT_EQ(c.answers[0].result_int(), 200u);
    }
}

}  // namespace
}  // namespace whinledge::test
