// The whole sidecar over loopback sockets, between a scripted client, servers and discovery.
#include <sys/resource.h>

#include "rig/http_call.hpp"
#include "rig/net_rig.hpp"
#include "rig/no_datagrams.hpp"

namespace whinledge::test {
namespace {

using Net = NetRig;
const std::string not_started = response("503 Full", "", "Not-Started: 1\r\n");

TEST_F(Net, ServesWhatAServerMade) {
    start_with_a();
    a.script = [](const auto&) { return Reply{response("200 OK", "a song", "Content-Type: audio/x\r\n")}; };
    const auto answer = ask(request("annotate", "id-1", 5000, "a note"));
    EXPECT_EQ(answer.result_int(), 200u);
    EXPECT_EQ(answer.body(), "a song");
    EXPECT_EQ(answer["Content-Type"], "audio/x");
    ASSERT_EQ(a.requests.size(), 1u);
    const auto& seen = a.requests[0];
    EXPECT_EQ(seen.method(), http::verb::post);
    EXPECT_EQ(seen.target(), "/annotate/item?part=2");
    EXPECT_EQ(seen.body(), "a note");
    EXPECT_EQ(seen["Request-Id"], "id-1");
    EXPECT_EQ(seen["Idempotency-Key"], "key-id-1");
    EXPECT_GT(std::stoi(std::string(seen["Request-Timeout-Ms"])), 0);
    EXPECT_LE(std::stoi(std::string(seen["Request-Timeout-Ms"])), 5000);
    EXPECT_EQ(sidecar->records(), 0u);
    EXPECT_EQ(sidecar->held().requests, 0u);
}

// A connect that comes up late leaves its server less time, and the request says so.
TEST_F(Net, AServerIsToldWhatIsLeftAsItsRequestGoesOut) {
    DeafServer deaf(io);
    std::string config =
        config_json(agent.address(),
                    list_json(41, true, {{"s-d", "127.0.0.1:" + std::to_string(deaf.endpoint().port())}}));
    const std::string timeout = "\"connect-timeout-ms\":150.0";
    config.replace(config.find(timeout), timeout.size(), "\"connect-timeout-ms\":9000.0");
    sidecar.emplace(io, read_config(config));
    client().send(request("listen", "id-1", 9000));
    until([&] { return sidecar->records() == 1; });
    const auto begun = std::chrono::steady_clock::now();
    // Its queue has room from now on: the kernel's next try comes up.
    std::list<std::pair<Tcp::socket, std::string>> accepted;
    std::string head;
    std::function<void()> accept = [&] {
        deaf.acceptor.async_accept([&](error_code failed, Tcp::socket socket) {
            if (failed) return;
            auto& [in, text] = accepted.emplace_back(std::move(socket), std::string());
            asio::async_read_until(in, asio::dynamic_buffer(text), "\r\n\r\n",
                                   [&head, &text = text](error_code broken, std::size_t) {
                                       if (!broken) head = text;
                                   });
            accept();
        });
    };
    accept();
    until([&] { return !head.empty(); });
    const auto took =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
    EXPECT_GT(took, 150) << "the connect was not late";
    const std::string field = "Request-Timeout-Ms: ";
    ASSERT_NE(head.find(field), std::string::npos) << head;
    EXPECT_LE(std::stod(head.substr(head.find(field) + field.size())), 9000 - took + 100);
}

// An agent that never answers must not keep the sidecar from being ready.
TEST_F(Net, IsReadyWithASilentAgent) {
    start();
    EXPECT_EQ(ask("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").result_int(), 200u);
}

TEST_F(Net, OneConnectionCarriesManyRequests) {
    start_with_a();
    TestClient& c = client();
    for (std::size_t i = 1; i <= 3; ++i) {
        c.send(request("listen", "id-" + std::to_string(i)));
        until([&] { return c.answers.size() == i; });
        rest();
    }
    EXPECT_FALSE(c.ended);
    EXPECT_EQ(a.connections.size(), 1u);
}

// Sent before the first is answered, the second waits its turn and is not taken for the client's end.
TEST_F(Net, AnEarlyNextRequestWaitsItsTurn) {
    start_with_a();
    TestClient& c = client();
    c.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    c.send(request("listen", "id-2"));
    until([&] { return c.answers.size() == 2; });
    EXPECT_EQ(a.requests.size(), 2u);
}

// Rule 2: what may have run is not sent again, nor refused.
TEST_F(Net, AnUnsafeRequestThatMayHaveRunFails) {
    for (const Reply& reply : {Reply{response("500 Oops")}, Reply{response("503 Full")}, Reply{"", true}}) {
        start();
        a.script = b.script = [&](const auto&) { return reply; };
        const std::size_t before = arrived();
        const auto answer = ask(request("deposit", "id-" + std::to_string(before)));
        EXPECT_EQ(arrived(), before + 1);
        EXPECT_EQ(answer.result_int() / 100, 5u);
        EXPECT_NE(answer.result_int(), 503u);
        sidecar.reset();
    }
}

TEST_F(Net, AnUnsafeRequestThatNeverRanGoesElsewhere) {
    start();
    a.script = b.script = [this](const auto&) {
        return Reply{arrived() == 1 ? not_started : response("200 OK", "filed")};
    };
    EXPECT_EQ(ask(request("deposit", "id-1")).body(), "filed");
    EXPECT_EQ(arrived(), 2u);
    EXPECT_NE(a.requests.size(), b.requests.size() + 2);
}

// Refused, so harmless to try again: no more than four attempts, and the answer says so.
TEST_F(Net, WhatNobodyTakesIsRefused) {
    start();
    a.script = b.script = [](const auto&) { return Reply{not_started}; };
    EXPECT_EQ(ask(request("deposit", "id-1")).result_int(), 503u);
    EXPECT_LE(arrived(), 4u);
    EXPECT_GE(arrived(), 1u);
}

TEST_F(Net, AServerThatIsDownIsNoLoss) {
    b.close();
    start();
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(ask(request("deposit", "id-" + std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 8u);
}

// Rule 1 with a silent server: one failure at the deadline, and nothing after it.
TEST_F(Net, ASilentServerCostsOneFailureAtTheDeadline) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    c.send(request("deposit", "id-1", 60));
    until([&] { return !c.answers.empty(); });
    EXPECT_EQ(c.answers[0].result_int(), 504u);
    until([&] { return a.ended() == 1; });  // a try that ends by time closes its connection
    a.script = serve;
    c.send(request("deposit", "id-2"));
    until([&] { return c.answers.size() == 2; });
    EXPECT_EQ(c.answers[1].result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 2u);
    EXPECT_EQ(sidecar->records(), 0u);
}

TEST_F(Net, AClientThatLeavesIsForgottenWithItsAttempt) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    c.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    c.close();
    until([&] { return a.ended() == 1; });
    EXPECT_EQ(sidecar->records(), 0u);
    EXPECT_EQ(sidecar->held().requests, 0u);
}

// Rule 3.
TEST_F(Net, ADrainingServerGetsNothingNew) {
    start();
    until([&] { return watched_from("41"); });
    tell(list_json(42, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return watched_from("42"); });
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(ask(request("listen", "id-" + std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 0u);
}

TEST_F(Net, AServerThatIsGoneOrLeftOutOfAFullListGetsNothing) {
    start();
    until([&] { return watched_from("41"); });
    tell(list_json(42, false, {{"s-a", a.address(), "Gone"}}));
    until([&] { return watched_from("42"); });
    EXPECT_EQ(ask(request("listen", "id-1")).result_int(), 200u);
    EXPECT_EQ(b.requests.size(), 1u);
    tell(list_json(50, true, {{"s-a", a.address()}}));
    until([&] { return watched_from("50"); });
    EXPECT_EQ(ask(request("listen", "id-2")).result_int(), 200u);
    EXPECT_EQ(a.requests.size(), 1u);
    EXPECT_EQ(b.requests.size(), 1u);
}

TEST_F(Net, AServerThatMovesIsMetAtItsNewAddress) {
    start_with_a();
    EXPECT_EQ(ask(request("listen", "id-1")).result_int(), 200u);
    until([&] { return watched_from("41"); });
    tell(list_json(42, false, {{"s-a", b.address()}}));
    until([&] { return watched_from("42"); });
    EXPECT_EQ(ask(request("listen", "id-2")).result_int(), 200u);
    EXPECT_EQ(b.requests.size(), 1u);
}

// A watch that ends, garbled or not, is followed by another, from the version that is held.
TEST_F(Net, ALostWatchIsBegunAgain) {
    start();
    for (const Reply& reply :
         {Reply{"", true}, Reply{"no HTTP\r\n\r\n", true}, Reply{response("503 Busy")},
          Reply{response("200 OK", "{\"version\":99,\"full\":true")},
          Reply{response("200 OK", "{\"version\":99,\"full\":true,\"servers\":[{}]}")}}) {
        const std::size_t before = agent.requests.size();
        bool told = false;
        agent.script = [&](const auto&) { return std::exchange(told, true) ? Reply{} : reply; };
        if (before > 0) agent.connections.back()->socket.close();
        until([&] { return agent.requests.size() >= before + 2 && watched_from("41"); });
        agent.script = silence;
    }
    tell(list_json(42, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return watched_from("42"); });
}

// A new configuration names another discovery. Its versions need not compare with the old one's, so the whole
// list is asked for, until there is one; the watch goes on from there.
TEST_F(Net, AnotherDiscoveryIsAskedForItsWholeList) {
    start();
    until([&] { return watched_from("41"); });
    ScriptedServer other(io, [](const auto&) { return Reply{response("503 Busy")}; });
    Config config = read_config(config_json(other.address(), list_json(1, true, {})));
    sidecar->reload(config);
    until([&] { return other.requests.size() == 2 && agent.ended() == 1; });
    for (const auto& r : other.requests) EXPECT_EQ(r.target(), "/catalog/members");
    const std::size_t refused = other.requests.size();
    other.script = [&](const auto&) {
        if (other.requests.size() > refused + 1) return Reply{};
        return Reply{response("200 OK", list_json(3, true, {{"s-b", b.address()}}))};
    };
    until([&] { return other.requests.back().target().find("from=3&") != boost::beast::string_view::npos; });
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(ask(request("listen", "id-" + std::to_string(i))).result_int(), 200u);
    EXPECT_EQ(b.requests.size(), 4u);
    const std::size_t asked = other.requests.size();
    sidecar->reload(config);  // once more the same: nothing to do
    EXPECT_EQ(ask(request("listen", "id-5")).result_int(), 200u);
    EXPECT_EQ(other.requests.size(), asked);
}

// A whole list that tells nothing new must not cost an unchanged server its connections.
TEST_F(Net, AWholeListKeepsTheConnectionsOfUnchangedServers) {
    start();
    until([&] { return watched_from("41"); });
    for (int i = 0; i < 16; ++i) {
        ask(request("listen", "id-" + std::to_string(i)));
        rest();
    }
    const std::size_t open = a.connections.size() + b.connections.size();
    tell(list_json(50, true, {{"s-b", b.address()}, {"s-a", a.address()}}));
    until([&] { return watched_from("50"); });
    for (int i = 16; i < 24; ++i) {
        ask(request("listen", "id-" + std::to_string(i)));
        rest();
    }
    EXPECT_EQ(a.connections.size() + b.connections.size(), open);
    EXPECT_EQ(a.ended() + b.ended(), 0u);
}

// What can't be read, or can be read in two ways, or is no request of the protocol's, is turned away with an
// error and a close: a server would turn it away too, and its failures would count against the server; and
// what hides in another's body would run unseen.
TEST_F(Net, BadRequestsAreAnsweredAndClosedWithoutTheModule) {
    start();
    const std::string rest = "Host: app.svc\r\nRequest-Id: x\r\n", time = "Request-Timeout-Ms: 900\r\n";
    const std::string get = "GET /listen HTTP/1.1\r\n" + rest + "Request-Class: listen\r\n";
    const std::string post = "POST /deposit HTTP/1.1\r\n" + rest + "Request-Class: deposit\r\n" + time;
    const std::string note = "POST /annotate HTTP/1.1\r\n" + rest + "Request-Class: annotate\r\n" + time;
    const std::string hidden = "0\r\n\r\nPOST /deposit HTTP/1.1\r\n\r\n", end = "\r\n";
    const auto length = [&](const std::string& value) {
        return post + "Content-Length: " + value + "\r\n\r\nabcd";
    };
    const std::vector<std::pair<unsigned, std::string>> table{
        {400, "nonsense\r\n\r\n"},
        {400, "\x16\x03\x01 and on"},
        {400, "GET 000\r\n\r\n"},
        {400, "GET /listen HTTP/3.0\r\n" + rest + time + end},
        {400, "GET /listen HTTP/1.1\r\nHost: app.svc\r\nRequest-Class: listen\r\n" + time + end},  // no id
        {400, "GET /listen HTTP/1.1\r\nRequest-Id: x\r\nRequest-Class: listen\r\n" + time + end},  // no host
        {400, get + time + "Request-Id: y\r\n\r\n"},
        {400, get + end},
        {400, get + time + time + end},
        {400, get + "Request-Timeout-Ms: soon\r\n\r\n"},
        {400, get + "Request-Timeout-Ms: -5\r\n\r\n"},
        {400, get + "Request-Timeout-Ms: 1e3\r\n\r\n"},
        {400, get + time + "a line with no colon\r\n\r\n"},
        {400, get + time + "Folded: a\r\n b\r\n\r\n"},
        {400, get + "Bare: a\n" + time + end},
        {400, get + "Bare: a\rb\r\n" + time + end},
        {400, get + time + "Nul: " + std::string(1, '\0') + "\r\n\r\n"},
        {400, get + time + "Content-Length: 4\r\n\r\nabcd"},  // a safe one has no body
        {400, get + time + "Idempotency-Key: k\r\n\r\n"},
        {431, get + "X: " + std::string(20000, 'x') + end + time + end},
        {400, request("bequest", "x")},
        {400, "POST /listens HTTP/1.1\r\n" + rest + "Request-Class: deposit\r\n" + time + end},
        {400, "POST /listen HTTP/1.1\r\n" + rest + "Request-Class: listen\r\n" + time + end},
        {400, "GET /deposit HTTP/1.1\r\n" + rest + "Request-Class: deposit\r\n" + time + end},
        {400, "POST deposit HTTP/1.1\r\n" + rest + "Request-Class: deposit\r\n" + time + end},
        {400, post + "Idempotency-Key: k\r\n\r\n"},
        {400, note + end},
        {400, note + "Idempotency-Key: \r\n\r\n"},
        {400, note + "Idempotency-Key: k\r\nIdempotency-Key: k\r\n\r\n"},
        {400, post + "Content-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden},
        {400, post + "Transfer-Encoding: chunked\r\nContent-Length: 30\r\n\r\n" + hidden},
        {400, post + "Content-Length: 4\r\n" + "Content-Length: 4\r\n\r\nabcd"},
        {400, length("4, 4")},
        {400, length("+4")},
        {400, length("-4")},
        {400, length("ten")},
        {400, length("0x4")},
        {400, length("")},
        {400, length("99999999999999999999999")},
        {400, post + "Transfer-Encoding: gzip, chunked\r\n\r\n" + hidden},
        {400, post + "Transfer-Encoding: gzip\r\n\r\nabcd"},
        {400, post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden},
        {400, post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n"},
        {413, length("62914560")},
        {413, request("deposit", "x", 100, std::string(70000, 'x'))},
        {417, post + "Expect: a miracle\r\nContent-Length: 4\r\n\r\nabcd"}};
    for (const auto& [status, bad] : table) {
        SCOPED_TRACE(bad.substr(0, 250));
        TestClient& c = client();
        c.send(bad);
        until([&] { return c.ended; });
        ASSERT_EQ(c.answers.size(), 1u);
        EXPECT_EQ(c.answers[0].result_int(), status);
        EXPECT_FALSE(c.answers[0].keep_alive());
        clients.clear();
    }
    EXPECT_EQ(arrived(), 0u);
    EXPECT_EQ(ask(request("listen", "id-1")).result_int(), 200u);
}

// An id is new with every request: one that comes again, while the first is open or when it has just had its
// answer, is some other client's, and what it gets must not be taken for an answer to the first.
TEST_F(Net, AnIdThatHasBeenIsTurnedAway) {
    start_with_a();
    a.script = silence;
    TestClient& first = client();
    first.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    EXPECT_EQ(ask(request("listen", "id-1")).result_int(), 409u);
    a.send(0, response("200 OK", "its own"));
    until([&] { return !first.answers.empty(); });
    EXPECT_EQ(first.answers[0].body(), "its own");
    EXPECT_EQ(ask(request("deposit", "id-1")).result_int(), 409u);
    EXPECT_EQ(a.requests.size(), 1u);
}

// A length that no server would take is refused by the head; what still comes is read and dropped, so that no
// reset eats the answer.
TEST_F(Net, ALargeBodyIsRefusedAndReadToItsEnd) {
    start_with_a();
    Tcp::socket socket(io);
    socket.connect(sidecar->address());
    const std::string all = request("deposit", "id-1", 900, std::string(30 << 20, 'x'));
    bool written = false;
    asio::async_write(socket, asio::buffer(all), [&](error_code failed, std::size_t) {
        EXPECT_FALSE(failed);
        written = true;
    });
    until([&] { return written; });
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    bool answered = false;
    http::async_read(socket, buffer, answer, [&](error_code failed, std::size_t) {
        EXPECT_FALSE(failed);
        answered = true;
    });
    until([&] { return answered; });
    EXPECT_EQ(answer.result_int(), 413u);
}

// Who waits to be told to send a body is told.
TEST_F(Net, AnExpectedContinueIsSent) {
    start_with_a();
    TestClient& c = client();
    const std::string all = request("deposit", "id-1", 900, "a song"), head = all.substr(0, all.size() - 10);
    c.send(head + "\r\nExpect: 100-continue\r\n\r\n");
    until([&] { return c.answers.size() == 1; });
    EXPECT_EQ(c.answers[0].result_int(), 100u);
    c.send("a song");
    until([&] { return c.answers.size() == 2; });
    EXPECT_EQ(c.answers[1].result_int(), 200u);
    EXPECT_EQ(a.requests.at(0).body(), "a song");
    EXPECT_EQ(a.requests.at(0).count(http::field::expect), 0u);
}

// Who says nothing, or half of a request, gets a close or an error within 3 s and holds nothing after that;
// a client that idles between requests stays.
TEST_F(Net, SilentAndHalfRequestsAreEnded) {
    start_with_a();
    TestClient& usual = client();
    usual.send(request("listen", "id-1"));
    until([&] { return !usual.answers.empty(); });
    TestClient &silent = client(), &half = client(), &body = client();
    half.send("GET /listen HTTP/1.1\r\nHost: app");
    const std::string whole = request("deposit", "id-2", 900, "a song");
    body.send(whole.substr(0, whole.size() - 2));
    until([&] { return silent.ended && half.ended && body.ended; });
    EXPECT_TRUE(silent.answers.empty());
    for (const TestClient* c : {&half, &body}) {
        ASSERT_EQ(c->answers.size(), 1u);
        EXPECT_EQ(c->answers[0].result_int(), 408u);
    }
    usual.send(request("listen", "id-3"));
    until([&] { return usual.answers.size() == 2; });
    clients.remove_if([&](TestClient& c) { return &c != &usual; });
    until([&] { return sidecar->clients() == 1; });
}

// Silent connections beyond the bound make room among themselves before any client that asks does.
TEST_F(Net, SilentConnectionsDoNotCrowdOutClients) {
    start({{"s-a", a.address()}}, "28");  // of which eight are for clients
    TestClient& usual = client();
    usual.send(request("listen", "id-1"));
    until([&] { return !usual.answers.empty(); });
    std::vector<TestClient*> silent;
    for (int i = 0; i < 30; ++i) silent.push_back(&client());
    EXPECT_EQ(ask(request("listen", "id-2")).result_int(), 200u);
    EXPECT_LE(sidecar->clients(), 8u);
    EXPECT_FALSE(usual.ended);
    usual.send(request("listen", "id-3"));
    until([&] { return usual.answers.size() == 2; });
}

// SIGTERM: what is held is finished, what still comes is answered, each with the connection's end, then it is
// done.
TEST_F(Net, ADrainFinishesWhatIsHeldAndWhatStillComes) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    TestClient& idle = client();
    c.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    bool done = false;
    sidecar->drain([&] { done = true; });
    a.script = serve;
    const auto late = ask(request("listen", "id-2"));
    EXPECT_EQ(late.result_int(), 200u);
    EXPECT_FALSE(late.keep_alive());
    until([&] { return idle.ended; });
    EXPECT_FALSE(done);
    EXPECT_TRUE(c.answers.empty());
    a.send(0, response("200 OK", "held"));
    until([&] { return done; });
    until([&] { return c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].body(), "held");
    EXPECT_FALSE(c.answers[0].keep_alive());
}

// At the bound on clients the one idle longest makes room, and never one that waits for its answer.
TEST_F(Net, IdleClientsMakeRoom) {
    start({{"s-a", a.address()}}, "28");  // of which eight are for clients and servers
    a.script = silence;
    TestClient& waiting = client();
    waiting.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(ask("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").result_int(), 200u);
    EXPECT_FALSE(waiting.ended);
    a.send(0, response("200 OK"));
    until([&] { return waiting.answers.size() == 1; });
}

// Out of descriptors: accepting pauses, neither spins nor dies, and goes on when there are some again.
TEST_F(Net, RunsOutOfDescriptorsAndGoesOn) {
    start_with_a();
    TestClient& c = client();
    c.send(request("listen", "id-1"));
    until([&] { return c.answers.size() == 1; });
    TestClient& waiting = client();  // in the backlog
    rlimit old{};
    getrlimit(RLIMIT_NOFILE, &old);
    rlimit low = old;
    low.rlim_cur = 3;
    setrlimit(RLIMIT_NOFILE, &low);
    waiting.send(request("listen", "id-2"));
    for (int turns = 0; turns < 20; ++turns) io.run_one_for(std::chrono::milliseconds(10));
    c.send(request("listen", "id-3"));  // a connection that is there still serves
    until([&] { return c.answers.size() == 2; });
    EXPECT_TRUE(waiting.answers.empty());
    setrlimit(RLIMIT_NOFILE, &old);
    until([&] { return waiting.answers.size() == 1; });
}

// The client's end and its request's deadline are seen in one turn: whichever comes first, the other finds
// nobody.
TEST_F(Net, AClientMayLeaveAtItsDeadline) {
    start_with_a();
    a.script = silence;
    std::vector<TestClient*> all;
    for (int i = 0; i < 12; ++i) {
        all.push_back(&client());
        all.back()->send(request(i % 2 ? "deposit" : "listen", "id-" + std::to_string(i), 100));
    }
    until([&] { return a.requests.size() == all.size(); });
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(110);
    while (std::chrono::steady_clock::now() < deadline) {  // the loop gets no turn meanwhile
    }
    for (TestClient* c : all) c->close();
    until([&] { return sidecar->records() == 0 && sidecar->clients() == 0; });
    EXPECT_EQ(sidecar->held().requests, 0u);
    EXPECT_EQ(ask(request("deposit", "next", 50)).result_int(), 504u);
}

// Many at once, over servers of which one fails: each request has exactly one answer.
TEST_F(Net, EachRequestGetsExactlyOneAnswer) {
    start();
    int turn = 0;
    a.script = [&](const auto&) {
        const std::vector<Reply> replies{{response("200 OK", "served")},
                                         {not_started},
                                         {"", true},
                                         {response("500 Oops")},
                                         {},
                                         {"HTTP/1.1 2"}};
        return replies[static_cast<std::size_t>(turn++) % replies.size()];
    };
    std::vector<TestClient*> all;
    for (int i = 0; i < 60; ++i) {
        all.push_back(&client());
        all.back()->send(request(i % 3 == 0   ? "listen"
                                 : i % 3 == 1 ? "deposit"
                                              : "annotate",
                                 "id-" + std::to_string(i), 150));
    }
    until([&] {
        return std::all_of(all.begin(), all.end(), [](TestClient* c) { return !c->answers.empty(); });
    });
    until([&] { return sidecar->records() == 0; });
    const auto after = ask(request("listen", "last"));
    EXPECT_NE(after.result_int(), 0u);
    for (TestClient* c : all) {
        EXPECT_EQ(c->answers.size(), 1u);
        EXPECT_FALSE(c->ended);
    }
    std::map<std::string, int> unsafe;
    for (const auto* server : {&a, &b})
        for (const auto& r : server->requests)
            if (r["Request-Class"] == "deposit") ++unsafe[std::string(r["Request-Id"])];
    for (const auto& [id, count] : unsafe) EXPECT_LE(count, 4) << id;
    EXPECT_EQ(sidecar->held().requests, 0u);
}

TEST(Peers, MessagesComeFromPeersAndAreShort) {
    asio::io_context io;
    Log log;
    const Udp::endpoint any(asio::ip::address_v4::loopback(), 0);
    Udp::socket one(io, any), stranger(io, any);
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> got;
    Peers two(io, log, any, {one.local_endpoint()}, std::nullopt,
              [&](std::uint32_t from, std::vector<std::uint8_t> bytes) { got.emplace_back(from, bytes); });
    stranger.send_to(asio::buffer("hello", 5), two.address());
    one.send_to(asio::buffer(std::string(257, 'x')), two.address());
    one.send_to(asio::buffer(std::string(256, 'x')), two.address());
    run_until(io, [&] { return !got.empty(); });
    EXPECT_EQ(got[0].first, 0u);
    EXPECT_EQ(got[0].second.size(), 256u);
    two.tell(0, std::vector<std::uint8_t>(257));
    two.tell(5, {1});
    two.tell(std::nullopt, {1});
    two.tell(0, {7, 8});
    std::array<char, 300> buffer{};
    EXPECT_EQ(one.receive(asio::buffer(buffer)), 2u);  // the one before it was too long and never left
}

// A socket that fails each time it is read leaves the loop to others, and is read once it works.
TEST(Peers, ASocketThatFailsIsLeftAloneForAWhile) {
    asio::io_context io;
    Log log;
    const Udp::endpoint any(asio::ip::address_v4::loopback(), 0);
    Udp::socket one(io, any);
    std::size_t got = 0;
    Peers two(io, log, any, {one.local_endpoint()}, std::nullopt, [&](auto, auto) { ++got; });
    one.send_to(asio::buffer("hello", 5), two.address());
    {
        const NoDatagrams failing;
        const auto begun = std::chrono::steady_clock::now();
        run_until(io, [&] { return failing.failed() == 5; });
        EXPECT_GE(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(60));
        EXPECT_GE(two.counts().failed, 4u);
    }
    run_until(io, [&] { return got == 1; });
}

}  // namespace
}  // namespace whinledge::test
