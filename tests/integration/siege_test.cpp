// What one socket can do to everybody else: each was seen to break a rule, over loopback, and fails without
// its mend.
#include <sys/resource.h>

#include "rig/net_rig.hpp"

namespace whinledge::test {
namespace {

struct Siege : NetRig {
    // Sends without end, as fast as it is taken, until the sidecar ends it.
    struct Flood {
        Flood(asio::io_context& io, const Tcp::endpoint& to, std::string head, std::string block)
            : socket(io), out(std::move(head)), block(std::move(block)) {
            socket.connect(to);
            write();
            read();
        }
        void write() {
            asio::async_write(socket, asio::buffer(out), [this](error_code failed, std::size_t size) {
                sent += size;
                if (failed) return;
                out = block;
                write();
            });
        }
        void read() {
            http::async_read(socket, buffer, answer, [this](error_code failed, std::size_t) {
                answered = !failed;
                ended = true;
            });
        }
        Tcp::socket socket;
        std::string out, block;
        std::size_t sent = 0;
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        bool answered = false, ended = false;
    };
    // A pause by the loop's own timer.
    void pause(int ms) {
        asio::steady_timer timer(io, std::chrono::milliseconds(ms));
        bool over = false;
        timer.async_wait([&](error_code) { over = true; });
        until([&] { return over; });
    }
    static std::string chunked_post(const std::string& id) {
        std::string head = request("deposit", id, 900);
        const auto at = head.find("Content-Length: 0");
        return head.replace(at, 17, "Transfer-Encoding: chunked");
    }
};

// Trailers, a chunk's extension and a chunk's size without end: bytes that yield no body. The offender is
// told at once, and holds no memory meanwhile.
TEST_F(Siege, EndlessFramingOfABodyIsEndedAtOnce) {
    start_with_a();
    const std::string zeros(64 * 1024, '0'), letters(64 * 1024, 'x');
    std::string trailers;
    while (trailers.size() < 64 * 1024) trailers += "Trailer: and on\r\n";
    const std::vector<std::pair<std::string, std::string>> shapes{
        {"5\r\nhello\r\n0\r\n", trailers}, {"5;", letters}, {"", zeros}};
    int id = 0;
    for (const auto& [start, block] : shapes) {
        Flood flood(io, sidecar->address(), chunked_post("flood-" + std::to_string(++id)) + start, block);
        until([&] { return flood.ended; });
        EXPECT_TRUE(flood.answered);
        EXPECT_EQ(flood.answer.result_int(), 400u) << "and not once its time is over";
        EXPECT_EQ(ask(request("listen", "id-" + std::to_string(id))).result_int(), 200u);
        flood.socket.close();
    }
    EXPECT_EQ(a.requests.size(), shapes.size());
}

// One read for each turn of the loop: a large request that lies ready does not go ahead of a small one.
TEST_F(Siege, ALargeRequestStarvesNobody) {
    start_with_a();
    TestClient &large = client(), &small = client();
    rest();  // both accepted
    large.send(request("deposit", "large", 5000, std::string(60000, 'x')));
    small.send(request("listen", "small"));
    until([&] { return a.requests.size() == 1; });
    EXPECT_EQ(a.requests[0]["Request-Id"], "small");
    EXPECT_EQ(a.connections.at(0)->requests, 1u) << "its connection was opened first";
    until([&] { return a.requests.size() == 2; });
}

// What stands behind a body changes nothing of its head.
TEST_F(Siege, ATrailerIsNoFieldOfTheRequest) {
    start_with_a();
    TestClient& c = client();
    c.send(chunked_post("id-1") + "2\r\nhi\r\n0\r\nRequest-Id: other\r\nIdempotency-Key: k\r\n\r\n");
    until([&] { return !c.answers.empty(); });
    ASSERT_EQ(a.requests.size(), 1u);
    EXPECT_EQ(a.requests[0].count("Request-Id"), 1u);
    EXPECT_EQ(a.requests[0]["Request-Id"], "id-1");
    EXPECT_EQ(a.requests[0].count("Idempotency-Key"), 0u);
    EXPECT_EQ(a.requests[0].body(), "hi");
}

// All servers take nearly as long as clients wait, for a while, and are quick again. Clients that come back
// at once were refused for ever: what an answer takes is known from answers, and there were none.
TEST_F(Siege, ASlowSpellIsNotRememberedForEver) {
    start();
    bool slow = true;
    a.script = b.script = [&](const auto&) {
        return Reply{response("200 OK", "served"), false, false, slow ? 380 : 0, "", 0};
    };
    std::vector<TestClient*> all;
    for (int i = 0; i < 12; ++i) all.push_back(&client());
    int id = 0;
    bool over = false;
    asio::steady_timer spell(io, std::chrono::milliseconds(900));
    spell.async_wait([&](error_code) {
        slow = false;
        over = true;
    });
    std::vector<std::size_t> sent(all.size());
    std::size_t served_after = 0;
    const auto turn = [&] {
        for (std::size_t i = 0; i < all.size(); ++i) {
            const auto& answers = all[i]->answers;
            if (answers.size() < sent[i]) continue;
            served_after += over && sent[i] > 0 && answers.back().result_int() == 200;
            ++sent[i];
            all[i]->send(request("listen", "id-" + std::to_string(++id), 400));
        }
        return served_after >= 200;
    };
    until(turn);
    EXPECT_GE(served_after, 200u);
}

// Who asks once and stays holds no place that others wait for, and who comes back keeps its own.
TEST_F(Siege, WhoAsksOnceAndStaysTakesNobodysPlace) {
    start({{"s-a", a.address()}}, "40");  // of which eight are for clients
    TestClient& usual = client();
    for (std::size_t i = 1; i <= 3; ++i) {
        usual.send(request("listen", "usual-" + std::to_string(i)));
        until([&] { return usual.answers.size() == i; });
    }
    std::size_t let_go = 0;
    for (int i = 0; i < 24; ++i) {
        TestClient &once = client(), &health = client();
        client();  // and one that says nothing
        once.send(request("listen", "once-" + std::to_string(i)));
        health.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        until([&] { return !once.answers.empty() && !health.answers.empty(); });
        let_go += !once.answers[0].keep_alive();
    }
    EXPECT_GE(let_go, 12u);
    usual.send(request("listen", "usual-4"));
    until([&] { return usual.answers.size() == 4; });
    EXPECT_FALSE(usual.ended);
    EXPECT_TRUE(usual.answers[3].keep_alive());
}

// What is still being read when a drain ends accepting is refused then, whatever time it has; what was taken
// has the time that its client gives it, and no other bound.
TEST_F(Siege, ADrainRefusesWhatIsBeingReadAndWaitsForWhatWasTaken) {
    start_with_a();
    a.script = [](const auto&) { return Reply{response("200 OK", "filed"), false, false, 4200, "", 0}; };
    TestClient &taken = client(), &late = client(), &whole = client();
    rest();
    const std::string all = request("deposit", "id-2", 3000, "a song");
    late.send(all.substr(0, all.size() - 1));
    taken.send(request("deposit", "id-1", 6000));
    until([&] { return a.requests.size() == 1; });
    bool done = false;
    sidecar->drain([&] { done = true; });
    whole.send(request("deposit", "id-3", 6000));  // whole before accepting ends
    until([&] { return late.ended; });
    ASSERT_EQ(late.answers.size(), 1u);
    EXPECT_EQ(late.answers[0].result_int(), 503u);
    EXPECT_FALSE(done);
    until([&] { return done; });
    for (TestClient* c : {&taken, &whole}) {
        ASSERT_EQ(c->answers.size(), 1u);
        EXPECT_EQ(c->answers[0].body(), "filed");
    }
    EXPECT_EQ(a.requests.size(), 2u);
}

// In haste: what is without an answer fails now, as one that may have run.
TEST_F(Siege, AHurriedDrainAnswersWhatIsOpen) {
    start_with_a();
    a.script = silence;
    TestClient& c = client();
    c.send(request("deposit", "id-1", 60000));
    until([&] { return a.requests.size() == 1; });
    bool done = false;
    sidecar->drain([&] { done = true; });
    sidecar->hurry();
    until([&] { return done; });
    until([&] { return c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].result_int(), 502u);
    EXPECT_EQ(sidecar->held().requests, 0u);
    EXPECT_EQ(sidecar->records(), 0u);
}

// A server that now and then sends a copy of an answer a moment later. On a connection that has been in use
// the acknowledgement of the answer may wait for 40 ms, and Nagle's algorithm holds the copy over there until
// it comes, with the next request: each client gets its own answer all the same.
TEST_F(Siege, EachDepositGetsTheAnswerThatIsItsOwn) {
    start_with_a();
    std::size_t copied = 0;
    a.script = [&](const auto& r) {
        const std::string answer = response("200 OK", std::string(r["Request-Id"]));
        const bool copy = a.requests.size() % 10 == 0;
        copied += copy;
        return Reply{answer, false, false, 0, copy ? answer : "", 2};
    };
    TestClient& c = client();
    for (std::size_t i = 0; i < 100; ++i) {
        const std::string id = "id-" + std::to_string(i);
        // Mostly safe ones, which use a connection again and again; each that comes behind a copy is unsafe
        // in the second half.
        c.send(request(i >= 50 && a.requests.size() % 10 == 0 ? "deposit" : "listen", id));
        until([&] { return c.answers.size() == i + 1; });
        EXPECT_EQ(c.answers[i].body(), id);
        until([&] { return a.afters == copied; });
        rest();
    }
    EXPECT_GE(copied, 9u);
}

// A copy of an answer that is on its way as the next request goes out, 15 ms behind the answer. What is safe
// or keyed must not get it either. (The time is what is tested: a round in which the machine stood still for
// longer than the rest of a connection shows nothing, and is played again.)
TEST_F(Siege, AnAnswersCopyThatComesWithTheNextRequestIsNobodysAnswer) {
    using Steady = std::chrono::steady_clock;
    for (const char* const name : {"listen", "annotate"}) {
        SCOPED_TRACE(name);
        double gap = Sidecar::kSettle;
        for (int round = 0; round < 20 && gap >= Sidecar::kSettle; ++round) {
            start_with_a();
            a.requests.clear();
            a.connections.clear();
            Steady::time_point sent;
            a.script = [&](const auto& r) {
                if (a.requests.size() == 2) {
                    gap = std::chrono::duration<double, std::milli>(Steady::now() - sent).count();
                    a.send(0, response("200 OK", "first"));
                }
                return Reply{response("200 OK", std::string(r["Request-Id"]))};
            };
            TestClient& c = client();
            sent = Steady::now();
            c.send(request(name, "first"));
            until([&] { return c.answers.size() == 1; });
            pause(15);
            c.send(request(name, "second"));
            until([&] { return c.answers.size() == 2; });
            if (gap < Sidecar::kSettle) {
                EXPECT_EQ(c.answers[1].body(), "second");
                EXPECT_EQ(a.connections.size(), 2u);
            }
            clients.clear();
            sidecar.reset();
        }
        EXPECT_LT(gap, Sidecar::kSettle);
    }
}

}  // namespace
}  // namespace whinledge::test
