// The http profile: ordinary clients, over loopback sockets.
#include "rig/service_rig.hpp"

namespace whinledge::test {
namespace {

using Web = ServiceRig;

std::string field(const http::fields& fields, const char* name) {
    const auto value = fields[name];
    return {value.data(), value.size()};
}

TEST_F(Web, ARequestGoesToItsRoutesPoolAndItsAnswerComesBackUnchanged) {
    start(three());
    a.script = [](const auto&) {
        return Reply{response("404 Not here", "who?", "Content-Type: text/x\r\nETag: 7\r\n")};
    };
    const auto answer = ask(get("/archive/x?part=2", "Accept: a\r\n"));
    EXPECT_EQ(answer.result_int(), 404u) << "an answer, not a failed attempt";
    EXPECT_EQ(answer.reason(), "Not here");
    EXPECT_EQ(answer.body(), "who?");
    EXPECT_EQ(field(answer, "ETag"), "7");
    EXPECT_EQ(field(answer, "Via"), "1.1 whinledge");
    EXPECT_TRUE(answer.keep_alive());
    ASSERT_EQ(a.requests.size(), 1u);
    EXPECT_EQ(a.requests[0].target(), "/archive/x?part=2");
    EXPECT_EQ(field(a.requests[0], "Host"), "www.example.org");
    EXPECT_EQ(field(a.requests[0], "Accept"), "a");
    EXPECT_EQ(field(a.requests[0], "Via"), "1.1 whinledge");
    EXPECT_EQ(b.requests.size() + c.requests.size(), 0u);
    EXPECT_EQ(open(), 0u);
}

TEST_F(Web, AnIdIsMadeWhereThereIsNoneAndTraceparentIsKept) {
    start(three());
    const std::string trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    ask(get("/archive"));
    ask(get("/archive", "X-Request-Id: mine-1\r\ntraceparent: " + trace + "\r\n"));
    ask(get("/archive", "X-Request-Id: two words\r\n"));
    ask(get("/archive", "X-Request-Id: " + std::string(200, 'x') + "\r\n"));
    ASSERT_EQ(a.requests.size(), 4u);
    const std::string made = field(a.requests[0], "X-Request-Id");
    EXPECT_GT(made.size(), 10u);
    EXPECT_EQ(field(a.requests[1], "X-Request-Id"), "mine-1");
    EXPECT_EQ(field(a.requests[1], "traceparent"), trace);
    EXPECT_NE(field(a.requests[2], "X-Request-Id"), made);
    EXPECT_EQ(field(a.requests[2], "X-Request-Id").find(' '), std::string::npos);
    EXPECT_LE(field(a.requests[3], "X-Request-Id").size(), 128u);
}

TEST_F(Web, FieldsOfOneConnectionAloneStayOnIt) {
    start(three());
    a.script = [](const auto&) {
        return Reply{response("200 OK", "x",
                              "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\nKeep-Alive: t\r\nX-End: 2\r\n")};
    };
    const auto answer = ask(get("/archive",
                                "Connection: keep-alive, X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\n"
                                "Proxy-Authorization: p\r\nUpgrade: h2c\r\nX-Other: 3\r\n"));
    EXPECT_EQ(answer.count("X-Hop"), 0u);
    EXPECT_EQ(answer.count("Keep-Alive"), 0u);
    EXPECT_EQ(field(answer, "X-End"), "2");
    ASSERT_EQ(a.requests.size(), 1u);
    for (const char* const gone : {"X-Mine", "TE", "Proxy-Authorization", "Upgrade", "Connection"})
        EXPECT_EQ(a.requests[0].count(gone), 0u) << gone;
    EXPECT_EQ(field(a.requests[0], "X-Other"), "3");
}

TEST_F(Web, AllMethodsPassAndTheirClassesFollow) {
    start(three());
    for (const std::string method : {"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "PROPFIND"}) {
        const auto answer = ask(method + " /archive/m HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
        EXPECT_EQ(answer.body(), method + " /archive/m 2");
    }
    EXPECT_EQ(ask("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n").result_int(), 501u);
    EXPECT_EQ(ask("TRACE /archive HTTP/1.1\r\nHost: h\r\n\r\n").result_int(), 501u);
    // Unsafe: one that may have run is made once; safe: as often as its route permits.
    a.script = [](const auto&) { return Reply{response("500 Oops", "why")}; };
    a.requests.clear();
    EXPECT_EQ(ask(post("/archive", "x")).result_int(), 500u) << "passed on as it came";
    EXPECT_EQ(a.requests.size(), 1u);
    a.requests.clear();
    const auto safe = ask(get("/archive"));
    EXPECT_GT(a.requests.size(), 1u);
    EXPECT_LE(a.requests.size(), 4u);
    EXPECT_GE(safe.result_int(), 500u);
}

TEST_F(Web, HeadAndAnswersWithoutABodyAreFramedRight) {
    start(three());
    a.script = [](const auto& r) {
        if (r.method() == http::verb::head) return Reply{"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n"};
        if (r.target() == "/archive/204") return Reply{"HTTP/1.1 204 No Content\r\n\r\n"};
        return Reply{"HTTP/1.1 304 Not Modified\r\nETag: e\r\nContent-Length: 99\r\n\r\n"};
    };
    RawClient& c = raw_client();
    c.send("HEAD /archive/h HTTP/1.1\r\nHost: h\r\n\r\n");
    until([&] { return c.text.find("\r\n\r\n") != std::string::npos; });
    EXPECT_NE(c.text.find("Content-Length: 1234"), std::string::npos);
    c.text.clear();
    c.send(get("/archive/204"));
    until([&] { return c.text.find("\r\n\r\n") != std::string::npos; });
    EXPECT_EQ(c.text.find("Content-Length"), std::string::npos);
    c.text.clear();
    c.send(get("/archive/304"));
    until([&] { return c.text.find("\r\n\r\n") != std::string::npos; });
    EXPECT_NE(c.text.find("ETag: e"), std::string::npos);
    EXPECT_EQ(c.text.substr(c.text.size() - 4), "\r\n\r\n") << "no byte behind it";
    EXPECT_FALSE(c.ended);
}

TEST_F(Web, NoRouteIsA404AtOnce) {
    start(three());
    EXPECT_EQ(ask(get("/nowhere")).result_int(), 404u);
    EXPECT_EQ(ask(get("/archive/../nowhere")).result_int(), 404u);
    EXPECT_EQ(ask(get("/archive/%2e%2e/%2e%2e/x")).result_int() / 100, 4u);
    EXPECT_EQ(a.requests.size(), 0u);
}

TEST_F(Web, RedirectsFixedAnswersRewritesAndEdits) {
    start(listener() + pool("archive", {a.address()}) +
          "[[route]]\nname = \"moved\"\nredirect = { host = \"new.example.org\", status = 301 "
          "}\n[[route.match]]\n"
          "path = { prefix = \"/old\" }\n" +
          "[[route]]\nname = \"ready\"\nanswer = { status = 200, content_type = \"text/plain\", body = "
          "\"ready\" }\n"
          "[[route.match]]\npath = { exact = \"/ready\" }\n" +
          "[[route]]\nname = \"v1\"\npool = \"archive\"\nrewrite = { prefix = \"/v2\", host = \"inner\" }\n"
          "request_headers = { set = { X-Edge = \"1\" }, remove = [\"X-Debug\"] }\n"
          "answer_headers = { add = { X-By = \"edge\" } }\n[[route.match]]\npath = { prefix = \"/v1\" }\n");
    const auto moved = ask(get("/old/a?b=c"));
    EXPECT_EQ(moved.result_int(), 301u);
    EXPECT_NE(field(moved, "Location").find("//new.example.org"), std::string::npos);
    EXPECT_NE(field(moved, "Location").find("/old/a?b=c"), std::string::npos);
    EXPECT_EQ(ask(get("/ready")).body(), "ready");
    const auto edited = ask(get("/v1/x?y=1", "X-Debug: 1\r\n"));
    EXPECT_EQ(field(edited, "X-By"), "edge");
    ASSERT_EQ(a.requests.size(), 1u);
    EXPECT_EQ(a.requests[0].target(), "/v2/x?y=1");
    EXPECT_EQ(field(a.requests[0], "Host"), "inner");
    EXPECT_EQ(field(a.requests[0], "X-Edge"), "1");
    EXPECT_EQ(a.requests[0].count("X-Debug"), 0u);
}

TEST_F(Web, WhatCannotBeReadIsTurnedAwayAndSeenByNoServer) {
    start(three());
    const std::vector<std::pair<unsigned, std::string>> table{
        {400, "nonsense\r\n\r\n"},
        {400, "GET /archive HTTP/1.1\r\n\r\n"},  // no host
        {400, "GET /archive HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
        {400, "GET archive HTTP/1.1\r\nHost: a\r\n\r\n"},
        {400, "GET * HTTP/1.1\r\nHost: a\r\n\r\n"},
        {400, "GET /archive#part HTTP/1.1\r\nHost: a\r\n\r\n"},
        {400,
         "POST /archive HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n"},
        {400, "POST /archive HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nabcde"},
        {400, "POST /archive HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
        {400, "GET /archive HTTP/1.1\r\nHost: a\r\nX: a\nY: b\r\n\r\n"},
        {431, "GET /archive HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') + "\r\n\r\n"},
        {413, "POST /archive HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"},
        {417, "POST /archive HTTP/1.1\r\nHost: a\r\nExpect: a miracle\r\nContent-Length: 1\r\n\r\nx"}};
    for (const auto& [status, bad] : table) {
        SCOPED_TRACE(bad.substr(0, 100));
        TestClient& c = client();
        c.send(bad);
        until([&] { return c.ended; });
        ASSERT_EQ(c.answers.size(), 1u);
        EXPECT_EQ(c.answers[0].result_int(), status);
        clients.clear();
    }
    EXPECT_EQ(a.requests.size(), 0u);
    EXPECT_EQ(ask(get("/archive")).result_int(), 200u);
    EXPECT_EQ(daemon->gate().open(), 0u);
}

TEST_F(Web, AbsoluteTargetsAndEarlierVersionsAreUnderstood) {
    start(three());
    EXPECT_EQ(ask("GET http://www.example.org/archive/x HTTP/1.1\r\nHost: other\r\n\r\n").body(),
              "GET /archive/x 0");
    EXPECT_EQ(field(a.requests.at(0), "Host"), "www.example.org") << "RFC 9112, 3.2.2";
    TestClient& c = client();
    c.send("GET /archive HTTP/1.0\r\n\r\n");
    until([&] { return c.ended; });
    ASSERT_EQ(c.answers.size(), 1u);
    EXPECT_EQ(c.answers[0].result_int(), 200u);
}

TEST_F(Web, AnExpectedContinueIsSentOnceItsRouteStands) {
    start(three());
    TestClient& c = client();
    c.send("POST /archive HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 6\r\n\r\n");
    until([&] { return c.answers.size() == 1; });
    EXPECT_EQ(c.answers[0].result_int(), 100u);
    c.send("a song");
    until([&] { return c.answers.size() == 2; });
    EXPECT_EQ(c.answers[1].body(), "POST /archive 6");
    EXPECT_EQ(ask("POST /nowhere HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 6\r\n\r\n")
                  .result_int(),
              404u);
}

TEST_F(Web, ChunksAndTrailersPassBothWays) {
    start(three());
    std::string seen;
    a.script = [&](const auto& r) {
        seen = field(r, "X-Check");
        return Reply{
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nwarm\r\n0\r\nX-Sum: "
            "9\r\n"
            "Set-Cookie: a=b\r\n\r\n"};
    };
    RawClient& c = raw_client();
    c.send(
        "POST /archive HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Check: "
        "42\r\n"
        "Host: evil\r\n\r\n");
    until([&] { return c.text.find("X-Sum: 9\r\n\r\n") != std::string::npos; });
    EXPECT_EQ(seen, "42");
    ASSERT_EQ(a.requests.size(), 1u);
    EXPECT_EQ(a.requests[0].body(), "hello");
    EXPECT_EQ(a.requests[0].count("Host"), 1u) << "no trailer passes for a field that routes";
    EXPECT_NE(c.text.find("warm"), std::string::npos);
    EXPECT_EQ(c.text.find("Set-Cookie"), std::string::npos);
}

// Neither path nor query is a proxy's to change, not even an empty one (RFC 9110, 7.7).
TEST_F(Web, AnEmptyQueryStaysOne) {
    start(three());
    EXPECT_EQ(ask(get("/archive?")).body(), "GET /archive? 0");
}

// HTTP/1.0 knows no chunks: who reads by that rule sees a request where a body stands (RFC 9112, 6.1).
TEST_F(Web, ChunksOfHttp10AreFaultyOnBothSides) {
    start(three());
    TestClient& client_of_old = client();
    client_of_old.send(
        "POST /archive HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n");
    until([&] { return client_of_old.ended; });
    ASSERT_EQ(client_of_old.answers.size(), 1u);
    EXPECT_EQ(client_of_old.answers[0].result_int(), 400u);
    EXPECT_EQ(a.requests.size(), 0u);
    a.script = [](const auto&) {
        return Reply{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true};
    };
    EXPECT_EQ(ask(post("/archive", "x")).result_int(), 502u);
}

TEST_F(Web, WhatCannotBeReadBehindAHeadRequestIsAnsweredWithItsBody) {
    start(three());
    RawClient& c = raw_client();
    c.send("HEAD /archive HTTP/1.1\r\nHost: a\r\n\r\nnonsense\r\n\r\n");
    until([&] { return c.ended; });
    const auto refusal = c.text.find("HTTP/1.1 400");
    ASSERT_NE(refusal, std::string::npos);
    EXPECT_TRUE(c.text.ends_with("\r\n\r\nBad Request\n")) << c.text.substr(refusal);
}

TEST_F(Web, AnExpectationOfHttp10IsIgnored) {
    start(three());
    RawClient& c = raw_client();
    c.send("POST /archive HTTP/1.0\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    until([&] { return daemon->gate().open() == 1; });
    c.send("ab");
    until([&] { return c.ended; });
    EXPECT_EQ(c.text.rfind("HTTP/1.1 200", 0), 0u) << c.text;
}

// What only the connection's end delimits is whole if that end was in good order (RFC 9112, 8).
TEST_F(Web, AnAnswerWithoutALengthIsCutOffByAReset) {
    start(three("buffer = \"1KiB\""));
    a.script = [](const auto&) {
        return Reply{"HTTP/1.1 200 OK\r\n\r\n" + std::string(3000, 'x'), false, false, 0, "more"};
    };
    RawClient& c = raw_client();
    c.send(get("/archive"));
    until([&] { return c.text.size() > 3000; });
    a.connections.at(0)->socket.set_option(asio::socket_base::linger(true, 0));
    a.connections.at(0)->socket.close();
    until([&] { return c.ended; });
    EXPECT_EQ(c.text.find("\r\n0\r\n\r\n"), std::string::npos) << "it looks whole";
}

// A failure's answer that broke off is not passed on as a whole one.
TEST_F(Web, AnErrorThatBreaksOffIsAnsweredByOurOwn) {
    start(three("attempts = 1"));
    a.script = [](const auto&) {
        return Reply{"HTTP/1.1 500 Oops\r\nContent-Length: 100\r\n\r\nhalf", true};
    };
    const auto answer = ask(post("/archive", "x"));
    EXPECT_EQ(answer.result_int(), 502u);
    EXPECT_EQ(answer.body(), "failed: it may have run\n");
}

TEST_F(Web, AStatusBelow100IsNoAnswer) {
    start(three());
    a.script = [](const auto&) { return Reply{"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"}; };
    EXPECT_EQ(ask(post("/archive", "x")).result_int(), 502u);
}

TEST_F(Web, NoContentHasNoLength) {
    start(three());
    a.script = [](const auto&) { return Reply{"HTTP/1.1 204 No Content\r\nContent-Length: 6\r\n\r\n"}; };
    const auto answer = ask(get("/archive"));
    EXPECT_EQ(answer.result_int(), 204u);
    EXPECT_EQ(answer.count("Content-Length"), 0u) << "RFC 9110, 8.6";
}

// ---- Streams
// ----------------------------------------------------------------------------------------------------

// A server of raw bytes: says what it is told to, and how much it could write.
struct RawServer {
    RawServer(asio::io_context& io, std::string head, std::size_t size)
        : acceptor(io, any_port), socket(io), head_(std::move(head)), left(size) {
        acceptor.async_accept(socket, [this](error_code failed) {
            if (!failed) read();
        });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    void read() {
        socket.async_read_some(asio::buffer(in), [this](error_code failed, std::size_t size) {
            if (failed) return;
            received += size;
            if (!answered && hold == 0) answer();
            if (received < stop_reading_at) read();
        });
    }
    void answer() {
        answered = true;
        out = head_;
        write();
    }
    void write() {
        asio::async_write(socket, asio::buffer(out), [this](error_code failed, std::size_t size) {
            if (failed) return;
            written += size;
            const std::size_t next = std::min<std::size_t>(left, 64 * 1024);
            if (next == 0) return;
            left -= next;
            out.assign(next, 'x');
            write();
        });
    }
    Tcp::acceptor acceptor;
    Tcp::socket socket;
    std::array<char, 64 * 1024> in{};
    std::string head_, out;
    std::size_t left, written = 0, received = 0, stop_reading_at = ~std::size_t{0};
    int hold = 0;
    bool answered = false;
};

constexpr std::size_t kLarge = 100 << 20;

// A client that takes nothing of a 100 MB answer holds what its route buffers and the sockets' own buffers,
// no more; others are served meanwhile; and what it takes later is whole.
TEST_F(Web, ASlowReaderOfALargeAnswerHoldsLittle) {
    RawServer large(io, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLarge) + "\r\n\r\n", kLarge);
    start(listener() + pool("big", {large.address()}) + pool("archive", {a.address()}) +
          route("big", "/big", "pool = \"big\"", "buffer = \"64KiB\"") +
          route("archive", "/", "pool = \"archive\""));
    Tcp::socket slow(io);
    slow.connect(edge());
    asio::write(slow, asio::buffer(get("/big")));
    std::size_t before = 0;
    int still = 0;
    until([&] {  // until its server can write no more
        still = large.written > 0 && large.written == before ? still + 1 : 0;
        before = large.written;
        return still > 40;
    });
    EXPECT_GT(large.left, kLarge / 2) << "it is held back";
    EXPECT_LE(daemon->gate().held(limits::Resource::bytes, limits::Side::pool, {}), 1u << 20);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(get("/archive")).result_int(), 200u);
    std::size_t came = 0;
    std::vector<char> buffer(256 * 1024);
    std::function<void()> read = [&] {
        slow.async_read_some(asio::buffer(buffer), [&](error_code failed, std::size_t size) {
            came += size;
            if (!failed && came < kLarge) read();
        });
    };
    read();
    until([&] { return came >= kLarge; });
    until([&] { return open() == 0; });
}

// A 100 MB body that comes slowly, and a server that takes it slowly.
TEST_F(Web, ALargeBodyIsPassedOnAsItComes) {
    RawServer large(io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 0);
    large.hold = 1;
    large.stop_reading_at = 1 << 20;
    start(listener() + pool("big", {large.address()}) + pool("archive", {a.address()}) +
          route("big", "/big", "pool = \"big\"",
                "buffer = \"64KiB\"\nrequest_limit = \"200MiB\"\ntimeout = \"20s\"") +
          route("archive", "/", "pool = \"archive\""));
    Tcp::socket sender(io);
    sender.connect(edge());
    asio::write(sender, asio::buffer("POST /big HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                     std::to_string(kLarge) + "\r\n\r\n"));
    std::size_t sent = 0;
    const std::string block(256 * 1024, 'x');
    std::function<void()> write = [&] {
        const std::size_t next = std::min(block.size(), kLarge - sent);
        if (next == 0) return;
        asio::async_write(sender, asio::buffer(block.data(), next), [&](error_code failed, std::size_t size) {
            sent += size;
            if (!failed) write();
        });
    };
    write();
    std::size_t before = 0;
    int still = 0;
    until([&] {  // until nothing more is taken from it
        still = sent > 0 && sent == before && large.received >= large.stop_reading_at ? still + 1 : 0;
        before = sent;
        return still > 40;
    });
    EXPECT_LT(sent, kLarge / 2) << "it is held back";
    for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(get("/archive")).result_int(), 200u);
    large.stop_reading_at = ~std::size_t{0};
    large.read();
    until([&] { return sent == kLarge && large.received > kLarge; });
    large.answer();
    TestClient::Answer answer;
    boost::beast::flat_buffer buffer;
    bool answered = false;
    http::async_read(sender, buffer, answer, [&](error_code failed, std::size_t) { answered = !failed; });
    until([&] { return answered; });
    EXPECT_EQ(answer.body(), "ok");
    EXPECT_EQ(open(), 0u);
}

// Of an answer that counts as a failed attempt no more is kept than of any other, and what is not kept whole
// does not pass for it.
TEST_F(Web, AnErrorWithoutEndIsNotKept) {
    RawServer large(io, "HTTP/1.1 500 Oops\r\nContent-Length: " + std::to_string(kLarge) + "\r\n\r\n",
                    kLarge);
    start(listener() + pool("big", {large.address()}) + route("big", "/", "pool = \"big\""));
    const auto answer = ask(post("/x", "y"));
    EXPECT_EQ(answer.result_int(), 502u);
    EXPECT_EQ(answer.body(), "failed: it may have run\n");
    EXPECT_GT(large.left, kLarge / 2);
}

TEST_F(Web, ASafeRequestThatFailsForGoodShowsItsServersAnswer) {
    start(three());
    a.script = [](const auto&) { return Reply{response("500 Oops", "why")}; };
    const auto answer = ask(get("/archive"));
    EXPECT_EQ(answer.result_int(), 500u);
    EXPECT_EQ(answer.body(), "why");
}

// Heads that never end hold no place that others want.
TEST_F(Web, HalfHeadsMakeRoom) {
    start(listener("limits.descriptors = { most = 6 }\n") + pool("archive", {a.address()}) +
          route("archive", "/", "pool = \"archive\""));
    for (int i = 0; i < 12; ++i) raw_client().send("GET / HTTP/1.1\r\nHo");
    EXPECT_EQ(ask(get("/")).result_int(), 200u);
    EXPECT_LE(daemon->clients(), 6u);
}

// In haste, who takes its answer too slowly is cut off.
TEST_F(Web, HasteEndsASlowReader) {
    RawServer large(io, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLarge) + "\r\n\r\n", kLarge);
    start(listener() + pool("big", {large.address()}) + route("big", "/", "pool = \"big\""));
    Tcp::socket slow(io);
    slow.connect(edge());
    asio::write(slow, asio::buffer(get("/big")));
    until([&] { return large.written > 1000000; });
    bool done = false;
    daemon->drain([&] { done = true; });
    rest(600);
    EXPECT_FALSE(done) << "it is on its way";
    daemon->hurry();
    until([&] { return done; });
}

// What breaks off on its way is seen to be broken off, and not made again.
TEST_F(Web, AnAnswerThatBreaksOffIsCutOff) {
    start(three("buffer = \"4KiB\""));
    a.script = [](const auto&) {
        return Reply{"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(50000, 'x'), true};
    };
    RawClient& c = raw_client();
    c.send(get("/archive"));
    until([&] { return c.ended; });
    EXPECT_EQ(c.text.rfind("HTTP/1.1 200", 0), 0u);
    EXPECT_LT(c.text.size(), 60000u);
    EXPECT_EQ(a.requests.size(), 1u);
    until([&] { return open() == 0; });
}

// An answer whose end only the connection's end marks has none that can be told from a break: passed on as it
// is.
TEST_F(Web, AnAnswerThatEndsWithItsConnectionIsPassedOn) {
    start(three());
    a.script = [](const auto&) { return Reply{"HTTP/1.1 200 OK\r\n\r\nuntil the end", true}; };
    EXPECT_EQ(ask(get("/archive")).body(), "until the end");
}

// A client that goes away in the middle of its body: its server never has the whole of it, and nobody is
// blamed.
TEST_F(Web, AClientThatLeavesWithinItsBodyCostsNobody) {
    start(three("buffer = \"4KiB\"\nrequest_limit = \"1MiB\""));
    for (int i = 0; i < 30; ++i) {
        RawClient& c = raw_client();
        c.send("POST /archive HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
               std::string(20000, 'x'));
        until([&] { return open() == 1; });
        rest(2);
        c.close();
        until([&] { return open() == 0; });
        raw.clear();
    }
    EXPECT_EQ(a.requests.size(), 0u);
    EXPECT_EQ(ask(get("/archive")).result_int(), 200u) << "the server has not failed";
    EXPECT_EQ(logged().find("removed"), std::string::npos);
    EXPECT_EQ(daemon->gate().open(), 0u);
}

// An unsafe body that is on its way is not sent twice, whatever its server says in between.
TEST_F(Web, AStreamedUnsafeBodyIsSentOnce) {
    start(listener() + pool("archive", {a.address(), b.address()}) +
          route("archive", "/", "pool = \"archive\"", "buffer = \"4KiB\"\nrequest_limit = \"1MiB\""));
    a.script = b.script = [](const auto&) { return Reply{"", false, true}; };
    const auto answer = ask(post("/archive", std::string(200000, 'x')));
    EXPECT_EQ(answer.result_int(), 502u);
    EXPECT_EQ(a.requests.size() + b.requests.size(), 1u);
}

TEST_F(Web, WhatNeverRanGoesElsewhereWithItsBody) {
    start(listener() + pool("archive", {a.address(), b.address()}) +
          route("archive", "/", "pool = \"archive\"", "errors = [500, 503]\nnever_ran = [503]"));
    a.script = b.script = [this](const auto& r) {
        return a.requests.size() + b.requests.size() == 1 ? Reply{response("503 Full")}
                                                          : Reply{response("200 OK", r.body())};
    };
    EXPECT_EQ(ask(post("/archive", "a song")).body(), "a song");
    EXPECT_EQ(a.requests.size() + b.requests.size(), 2u);
}

TEST_F(Web, ARouteBoundsItsAttempts) {
    start(listener() + pool("archive", {a.address(), b.address()}) +
          route("archive", "/", "pool = \"archive\"", "attempts = 2"));
    a.script = b.script = [](const auto&) { return Reply{response("500 Oops")}; };
    ask(get("/archive"));
    EXPECT_EQ(a.requests.size() + b.requests.size(), 2u);
}

TEST_F(Web, AServerThatSaysNothingIsWaitedForAsLongAsTheRouteSays) {
    start(three("timeout = \"150ms\""));
    a.script = silence;
    const auto answer = ask(post("/archive", "x"));
    EXPECT_EQ(answer.result_int(), 504u);
    EXPECT_EQ(open(), 0u);
}

TEST_F(Web, ManyRequestsOnOneConnectionPipelinedToo) {
    start(three());
    TestClient& c = client();
    std::string all;
    for (int i = 0; i < 10; ++i) all += get("/archive/" + std::to_string(i));
    c.send(all);
    until([&] { return c.answers.size() == 10; });
    for (int i = 0; i < 10; ++i) EXPECT_EQ(c.answers[i].body(), "GET /archive/" + std::to_string(i) + " 0");
    EXPECT_FALSE(c.ended);
}

TEST_F(Web, SilentHalfAndIdleConnectionsAreEndedInTime) {
    start(listener("head_timeout = \"100ms\"\nidle_timeout = \"100ms\"\n") + pool("archive", {a.address()}) +
          route("archive", "/", "pool = \"archive\"", "stream_idle = \"100ms\""));
    TestClient &silent = client(), &half = client(), &body = client(), &idle = client();
    half.send("GET /archive HTTP/1.1\r\nHo");
    body.send("POST /archive HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf");
    idle.send(get("/archive"));
    until([&] { return silent.ended && half.ended && body.ended && idle.ended; });
    EXPECT_TRUE(silent.answers.empty());
    for (const TestClient* c : {&half, &body}) {
        ASSERT_EQ(c->answers.size(), 1u);
        EXPECT_EQ(c->answers[0].result_int(), 408u);
    }
    EXPECT_EQ(idle.answers.size(), 1u);
    EXPECT_EQ(daemon->gate().open(), 0u);
}

}  // namespace
}  // namespace whinledge::test
