// What crosses on connections to servers: bytes, ends and resets that come between two steps of ours, and
// what is known then of whether a request has run.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "http/transport.hpp"
#include "rig/http_call.hpp"

namespace whinledge::test {
namespace {

// ---- Nobody's attempts ----------------------------------------------------------------------------------

// No connection that comes up carries a request whose client has gone, whether attempts may be cancelled or
// not, and the module hears that it never ran.
TEST(ServerRaces, AConnectThatComesUpForNobodyCarriesNothing) {
    struct Watch final : Observer {
        void event(const Pool&, Millis, const Event& event) noexcept override {
            if (const auto* const ended = std::get_if<AttemptEnded>(&event))
                outcomes.push_back(ended->outcome);
        }
        std::vector<Outcome> outcomes;
    };
    for (const bool may_cancel : {true, false})
        for (const bool detach : {true, false})
            for (const std::uint32_t class_index : {0u, 1u, 2u}) {
                SCOPED_TRACE(testing::Message() << may_cancel << detach << class_index);
                asio::io_context io;
                Log log;
                TestTime time;
                Watch watch;
                HttpTransport transport{io, log, {5000, 10000, 64, 0, 0, 0}};
                Engine engine{time, {}};
                ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
                Pool::Options options;
                options.decisions = pool_settings();
                options.decisions.may_cancel = may_cancel;
                Pool& pool = engine.add_pool(std::move(options), transport, &watch, {});
                pool.start();
                pool.members({1, true, {member("s", server.address())}});
                const auto call = std::make_shared<PostCall>();
                pool.take(call, {class_index, ~0U, 5000, 0, false});
                ASSERT_EQ(transport.upstream().stats().opened, 1u) << "the connect is under way";
                pool.gone(call->id, detach);
                run_until(io, [&] { return pool.open() == 0 && transport.upstream().stats().open == 0; });
                // Whatever was written is there by now: the server reads up to the end.
                if (!may_cancel || detach) run_until(io, [&] { return server.ended() == 1; });
                EXPECT_EQ(server.requests.size(), 0u);
                EXPECT_EQ(
                    watch.outcomes,
                    (std::vector<Outcome>{may_cancel && !detach ? Outcome::recalled : Outcome::superseded}));
                EXPECT_EQ(call->end, End::none);
            }
}

// ---- What is known of whether it has run ----------------------------------------------------------------

// A connection at a server that the test plays by hand, between the loop's turns.
struct Peer {
    explicit Peer(Tcp::socket s) : socket(std::move(s)) {}
    Tcp::socket socket;
    void say(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
    void end() { socket.shutdown(Tcp::socket::shutdown_send); }
    void reset() {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }
    bool has_request() const { return socket.available() > 0; }
    // All that has come; waits for nothing.
    std::string taken() {
        std::string bytes(socket.available(), '\0');
        if (!bytes.empty()) asio::read(socket, asio::buffer(bytes));
        return bytes;
    }
};

enum Class : std::uint32_t { safe, unsafe, keyed };

// A pool with a server played by hand; another one, which serves, is listed once the request is at the first.
struct ByHand : testing::Test {
    asio::io_context io;
    Log log;
    TestTime time;
    HttpTransport transport{io, log, {5000, 60000, 64, 0, 0, 0}};
    Engine engine{time, {}};
    Tcp::acceptor acceptor{io, any_port};
    ScriptedServer other{io, [](const auto&) { return Reply{response("200 OK", "the other's")}; }};
    std::list<Peer> peers;
    Pool* pool = nullptr;

    ~ByHand() override { io.stop(); }
    void until(const std::function<bool()>& reached) { run_until(io, reached); }
    Member first() const {
        return member("a", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    }
    void start() {
        if (pool) engine.remove_pool(*pool);
        engine.run_due();
        other.requests.clear();
        peers.clear();
        Pool::Options options;
        options.decisions = pool_settings();
        pool = &engine.add_pool(std::move(options), transport, nullptr, {});
        pool->start();
        pool->members({1, true, {first()}});
    }
    std::shared_ptr<PostCall> take(std::uint32_t class_index, std::size_t body = 0) {
        const auto call = std::make_shared<PostCall>("/deposit", body);
        pool->take(call, {class_index, ~0U, 5000, 0, false});
        return call;
    }
    // The connect is under way, and over as far as the kernels know.
    Peer& accept() { return peers.emplace_back(acceptor.accept()); }
    // A connection that has served and is kept.
    Peer& idle() {
        const auto call = take(safe);
        Peer& peer = accept();
        until([&] { return peer.has_request(); });
        peer.taken();
        peer.say(response("200 OK", "the first's"));
        until([&] { return call->end != End::none; });
        EXPECT_EQ(call->end, End::served);
        return peer;
    }
    void add_other() { pool->members({2, true, {first(), member("b", other.address())}}); }
};

struct Crossing {
    const char* name;
    bool reused;       // on a connection that has served before
    std::size_t body;  // of the request
    std::function<void(Peer&)> act;
    bool never;  // it provably never ran
};

constexpr std::size_t kLong = 24 << 20;  // more than all buffers between hold

TEST_F(ByHand, WhatIsKnownOfWhetherItHasRun) {
    const std::string ok = "HTTP/1.1 200 OK\r\n", proof = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\n";
    const auto says = [](const std::string& bytes, bool reset) {
        return [=](Peer& p) {
            p.say(bytes);
            reset ? p.reset() : p.end();
        };
    };
    const std::vector<Crossing> table = {
        {"an end, nothing heard", false, 0, says("", false), false},
        {"a reset, nothing heard", false, 0, says("", true), false},
        {"an end on reuse, nothing heard", true, 0, says("", false), false},
        {"a reset on reuse, nothing heard", true, 0, says("", true), false},
        {"half a head, an end", false, 0, says(ok + "Content-Le", false), false},
        {"half a head, a reset", true, 0, says(ok + "Content-Le", true), false},
        {"half a body, an end", false, 0, says(ok + "Content-Length: 9\r\n\r\nhalf", false), false},
        {"half a body, a reset", false, 0, says(ok + "Content-Length: 9\r\n\r\nhalf", true), false},
        {"half a chunk, a reset", true, 0, says(ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nha", true),
         false},
        {"no last chunk, an end", false, 0, says(ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", false),
         false},
        {"no length, a reset", false, 0, says(ok + "\r\nuntil the end", true), false},
        {"an interim answer, a reset", false, 0, says("HTTP/1.1 102 Wait\r\n\r\n", true), false},
        {"an interim answer on reuse, an end", true, 0, says("HTTP/1.1 102 Wait\r\n\r\n", false), false},
        {"half a proof, a reset", false, 0, says("HTTP/1.1 503 Full\r\nNot-Started: 1\r", true), false},
        {"half a proof on reuse, a reset", true, 0, says("HTTP/1.1 503 Full\r\nNot-Started: 1\r", true),
         false},
        {"a proof, half its body, a reset", false, 0, says(proof + "Content-Length: 9\r\n\r\nfu", true),
         true},
        {"a proof without a length, a reset", true, 0, says(proof + "\r\nfu", true), true},
        {"an error, half its body, an end", false, 0,
         says("HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\noo", false), false},
        {"an end within the request", false, kLong, says("", false), true},
        {"a reset within the request", false, kLong, says("", true), true},
        {"an end within the request on reuse", true, kLong, says("", false), true},
        {"a reset within the request on reuse", true, kLong, says("", true), true},
        {"an answer within the request", false, kLong, [](Peer& p) { p.say(response("200 OK", "x")); }, true},
        {"a proof within the request", true, kLong, says(proof + "Content-Length: 0\r\n\r\n", false), true},
    };
    for (const Crossing& row : table)
        for (const std::uint32_t class_index : {safe, unsafe, keyed}) {
            SCOPED_TRACE(testing::Message() << row.name << ", class " << class_index);
            start();
            Peer* peer = row.reused ? &idle() : nullptr;
            const auto call = take(class_index, row.body);
            if (!peer) peer = &accept();
            until([&] { return peer->has_request(); });
            add_other();
            row.act(*peer);
            until([&] { return call->end != End::none; });
            const bool again = row.never || class_index != unsafe;
            EXPECT_EQ(call->end, again ? End::served : End::failed);
            EXPECT_EQ(call->by, again ? "the other's" : "");
            EXPECT_EQ(other.requests.size(), again ? 1u : 0u);
        }
}

// An answer without a length is one for all classes once its server has closed the connection; it is not
// asked for once more.
TEST_F(ByHand, AnAnswerWithoutALengthIsServedOnceItsConnectionIsClosed) {
    for (const std::uint32_t class_index : {safe, unsafe, keyed})
        for (const bool reused : {false, true}) {
            SCOPED_TRACE(testing::Message() << "class " << class_index << (reused ? ", on reuse" : ""));
            start();
            Peer* peer = reused ? &idle() : nullptr;
            const auto call = take(class_index);
            if (!peer) peer = &accept();
            until([&] { return peer->has_request(); });
            add_other();
            peer->say("HTTP/1.1 200 OK\r\n\r\nuntil the end");
            io.poll();
            EXPECT_EQ(call->end, End::none);
            peer->end();
            until([&] { return call->end != End::none; });
            EXPECT_EQ(call->end, End::served);
            EXPECT_EQ(call->by, "until the end");
            EXPECT_EQ(other.requests.size(), 0u);
        }
}

// Nothing is written to an idle connection on which bytes, an end or a reset wait; and no loop's turn has
// told of them.
TEST_F(ByHand, WhatWaitsOnAnIdleConnectionEndsIt) {
    const std::vector<std::pair<const char*, std::function<void(Peer&)>>> waiting = {
        {"an answer", [](Peer& p) { p.say(response("200 OK", "a second")); }},
        {"half a line", [](Peer& p) { p.say("HTTP/1.1 20"); }},
        {"an end", [](Peer& p) { p.end(); }},
        {"an answer and an end", [](Peer& p) { p.say(response("200 OK", "a second")), p.end(); }},
        {"a reset", [](Peer& p) { p.reset(); }},
    };
    for (const auto& [name, act] : waiting)
        for (const std::uint32_t class_index : {safe, unsafe, keyed}) {
            SCOPED_TRACE(testing::Message() << name << ", class " << class_index);
            start();
            Peer& old = idle();
            act(old);
            const auto call = take(class_index);
            Peer& fresh = accept();
            until([&] { return fresh.has_request(); });
            if (old.socket.is_open()) {
                EXPECT_EQ(old.taken(), "");
            }
            fresh.say(response("200 OK", "its own"));
            until([&] { return call->end != End::none; });
            EXPECT_EQ(call->by, "its own");
        }
}

// Nor to one that has just come up: what its server said first is nobody's answer, and where it has ended the
// request has not run.
TEST_F(ByHand, WhatWaitsOnAFreshConnectionIsNoAnswer) {
    const std::vector<std::pair<const char*, std::function<void(Peer&)>>> waiting = {
        {"an answer", [](Peer& p) { p.say(response("200 OK", "nobody's")); }},
        {"half a line", [](Peer& p) { p.say("HTTP/1.1 20"); }},
        {"an end", [](Peer& p) { p.end(); }},
        {"an answer and an end", [](Peer& p) { p.say(response("200 OK", "nobody's")), p.end(); }},
        {"a reset", [](Peer& p) { p.reset(); }},
    };
    for (const auto& [name, act] : waiting)
        for (const std::uint32_t class_index : {safe, unsafe, keyed}) {
            SCOPED_TRACE(testing::Message() << name << ", class " << class_index);
            start();
            const auto call = take(class_index);
            Peer& peer = accept();
            add_other();
            act(peer);
            until([&] { return call->end != End::none; });
            EXPECT_EQ(call->by, "the other's");
            EXPECT_EQ(other.requests.size(), 1u);
            if (peer.socket.is_open()) {
                EXPECT_EQ(peer.taken(), "");
            }
        }
}

// ---- Answers that don't end -----------------------------------------------------------------------------

TEST_F(ByHand, AnAnswerAByteAtATimeHasItsEndByTheDeadline) {
    for (const std::uint32_t class_index : {safe, unsafe, keyed}) {
        SCOPED_TRACE(class_index);
        start();
        const Millis began = time.at;
        const auto call = take(class_index);
        Peer& peer = accept();
        until([&] { return peer.has_request(); });
        peer.taken();
        const std::string answer = response("200 OK", std::string(50, 'x'));
        for (std::size_t i = 0; time.at < began + 5000; ++i) {
            ASSERT_EQ(call->end, End::none);
            if (i + 1 < answer.size()) peer.say(answer.substr(i, 1));
            io.restart();
            io.poll();
            time.at = began + 100.0 * static_cast<double>(i + 1);
            engine.run_due();
        }
        EXPECT_NE(call->end, End::none);
        EXPECT_NE(call->end, End::served);
        EXPECT_EQ(call->end == End::refused, class_index != unsafe && class_index != keyed);
        EXPECT_EQ(transport.upstream().stats().open, 0u);
    }
}

// A connect that never comes up is over within its own time, and the request goes on at once.
TEST_F(ByHand, AConnectThatNeverComesUpCostsNoRequestItsTime) {
    const DeafServer deaf(io);
    const std::string address = "127.0.0.1:" + std::to_string(deaf.endpoint().port());
    for (const std::uint32_t class_index : {safe, unsafe, keyed}) {
        SCOPED_TRACE(class_index);
        start();
        transport.set_pool(pool->id(), {20, 0});
        pool->members({2, true, {member("d", address)}});
        const auto call = take(class_index);
        pool->members({3, true, {member("d", address), member("b", other.address())}});
        until([&] { return call->end != End::none; });
        EXPECT_EQ(call->by, "the other's");
    }
}

// ---- Steps of one exchange ------------------------------------------------------------------------------

struct Steps : testing::Test {
    asio::io_context io;
    Log log;
    std::optional<Upstream> upstream;
    Tcp::acceptor acceptor{io, any_port};
    std::vector<Outcome> ends;

    void SetUp() override { make(60000); }
    ~Steps() override { io.stop(); }
    void make(Millis idle) {
        upstream.emplace(io, log, Upstream::Limits{5000, idle, 8, 0, 0, 0});
        upstream->set_server(1, acceptor.local_endpoint(), 0);
    }
    void until(const std::function<bool()>& reached) { run_until(io, reached); }
    ExchangeId start(Upstream::Request request) {
        return upstream
            ->start(1, std::move(request), [this](const Upstream::End& end) { ends.push_back(end.outcome); })
            .exchange;
    }
    static Upstream::Request request(std::size_t size, const std::shared_ptr<Stream>& rest = nullptr) {
        if (!rest) return post_of("/deposit", std::make_shared<std::string>(size, 'x'));
        Upstream::Request request;
        request.head = HeadText::request("POST", "/deposit").add("Content-Length", size).whole();
        request.rest = rest;
        return request;
    }
};

// The answer is there before the last part of the body is given to the socket: it is none to this request.
TEST_F(Steps, AnAnswerThatIsThereBeforeTheLastByteGoesOutIsNotItsAnswer) {
    const auto rest = std::make_shared<Stream>(64);
    start(request(4, rest));
    Peer peer(acceptor.accept());
    until([&] { return peer.has_request(); });
    peer.say(response("200 OK", "another's"));
    rest->put("last");
    rest->finish();
    until([&] { return !ends.empty(); });
    EXPECT_EQ(ends.at(0), Outcome::refused_connection);
}

// The same of its end: the last part does not go out.
TEST_F(Steps, AnEndThatIsThereBeforeTheLastByteGoesOutProvesThatItNeverRan) {
    for (const bool reset : {false, true}) {
        SCOPED_TRACE(reset);
        ends.clear();
        const auto rest = std::make_shared<Stream>(64);
        start(request(4, rest));
        Peer peer(acceptor.accept());
        until([&] { return peer.has_request(); });
        peer.taken();
        reset ? peer.reset() : peer.end();
        rest->put("last");
        rest->finish();
        until([&] { return !ends.empty(); });
        EXPECT_EQ(ends.at(0), Outcome::refused_connection);
        if (!reset) {
            EXPECT_EQ(peer.taken(), "");
        }
    }
}

// Part of it lies in buffers, the rest here: its server has not begun.
TEST_F(Steps, WhatIsStoppedHalfWrittenNeverRan) {
    const ExchangeId id = start(request(kLong));
    Peer peer(acceptor.accept());
    until([&] { return peer.has_request(); });
    EXPECT_FALSE(upstream->written(id));
    EXPECT_FALSE(upstream->stop(id));
    EXPECT_EQ(upstream->stats().open, 0u);
}

TEST_F(Steps, ALongRequestIsWrittenWholeAndAnswered) {
    const ExchangeId id = start(request(kLong));
    Peer peer(acceptor.accept());
    std::size_t came = 0;
    until([&] { return (came += peer.taken().size()) > kLong; });
    until([&] { return upstream->written(id); });
    peer.say(response("200 OK"));
    until([&] { return !ends.empty(); });
    EXPECT_EQ(ends.at(0), Outcome::completed);
    EXPECT_EQ(upstream->stats().open, 1u) << "it is kept";
}

// The sweep comes each 250 ms; what has idled for too long in between is not used either.
TEST_F(Steps, AConnectionThatHasIdledForTooLongIsNotUsedAheadOfTheSweep) {
    using Steady = std::chrono::steady_clock;
    make(0.001);
    start(request(0));
    Peer peer(acceptor.accept());
    until([&] { return peer.has_request(); });
    peer.say(response("200 OK"));
    until([&] { return !ends.empty(); });
    const auto answered = Steady::now();
    while (Steady::now() <= answered + std::chrono::microseconds(1)) continue;
    start(request(0));
    EXPECT_EQ(upstream->stats().opened, 2u);
}

// No small write waits for an acknowledgement.
TEST_F(Steps, NagleIsOffOnConnectionsToServers) {
    start(request(0));
    Peer peer(acceptor.accept());
    until([&] { return peer.has_request(); });
    int on = 0;
    socklen_t length = sizeof on;
    ASSERT_EQ(::getsockopt(other_side(peer.socket), IPPROTO_TCP, TCP_NODELAY, &on, &length), 0);
    EXPECT_EQ(on, 1);
}

}  // namespace
}  // namespace whinledge::test
