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
    set_clock();
    start({{"s-a", a.address()}}, "28");  // of which four are for clients
    const auto whole = [](int i) {
        return request("deposit", "id-" + std::to_string(i), 5000, std::string(40000, 'x'));
    };
    for (int i = 0; i < 3; ++i) client().send(whole(i).substr(0, 300));
    caught_up();
    time.at += 25;  // the time that the silent have
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

// All places are held by clients that were rejected, and that go on holding their connections: whoever comes
// next has one of them after the time that the silent have, long before these are out of theirs.
TEST_F(NetRig, WhoLingersOnceItIsRejectedMakesRoom) {
    for (const std::string status : {"400", "409"}) {  // nothing of it counts; it has asked
        SCOPED_TRACE(status);
        clients.clear();
        set_clock();
        start({{"s-a", a.address()}}, "28");  // of which four are for clients
        const std::string taken = request("listen", "taken");
        EXPECT_EQ(ask(taken).result_int(), 200u);
        clients.clear();
        until([&] { return sidecar->clients() == 0; });
        for (int i = 0; i < 4; ++i) client().send(status == "400" ? "nonsense\r\n\r\n" : taken);
        until([&] {
            return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c.ended; });
        });
        for (const TestClient& c : clients) {
            ASSERT_EQ(c.answers.size(), 1u);
            EXPECT_EQ(std::to_string(c.answers[0].result_int()), status);
        }
        EXPECT_EQ(sidecar->clients(), 4u);
        TestClient& next = client();
        next.send(request("listen", "id"));
        time.at += 25;
        until([&] { return next.answers.size() == 1 || next.ended; });
        ASSERT_EQ(next.answers.size(), 1u);
        EXPECT_EQ(next.answers[0].result_int(), 200u);
    }
}

// A place is wanted between an answer and its client's next request, which is in hand and has not been begun.
TEST(FloodsOfADoor, WhoHasAnEarlyRequestInHandDoesNotMakeRoom) {
    asio::io_context io;
    TestTime time;
    const Config config = read_config(config_json("127.0.0.1:9", list_json(1, true, {})));
    std::optional<Front> front;
    std::optional<Tcp::socket> silent;
    unsigned placed = 0;
    const auto place = [&](const auto& head) -> std::optional<Front::Place> {
        if (++placed % 2) return Front::Place{&config.site, nullptr};  // as its head is read
        // It is about to be refused. The only one that is silent has just sent something, so that it is the
        // other's place that is asked for next.
        if (head["Request-Id"] == "id-3") {
            time.at += 25;
            asio::write(*silent, asio::buffer("G", 1));
            front->door().rested();
        }
        return std::nullopt;
    };
    front.emplace(io, any_port, 2, Front::Callbacks{place, {}, [] {}, [](const std::string&) {}},
                  Door::Budget{}, time);
    TestClient client(io, front->address());
    for (std::size_t i = 1; i <= 2; ++i) {
        client.send(request("listen", "id-" + std::to_string(i)));
        run_until(io, [&] { return client.answers.size() == i; });
    }
    silent.emplace(io).connect(front->address());
    run_until(io, [&] { return front->clients() == 2; });
    client.send(request("listen", "id-3") + request("listen", "id-4"));
    run_until(io, [&] { return client.answers.size() == 4 || client.ended; });
    EXPECT_EQ(client.answers.size(), 4u) << "let go with a request in hand";
}

}  // namespace
}  // namespace whinledge::test
