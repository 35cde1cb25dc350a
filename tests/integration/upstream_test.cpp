// How each exchange with a server ends, by the protocol's table, and which connection it is given.
#include "rig/http_call.hpp"
#include "rig/no_sockets.hpp"

namespace whinledge::test {
namespace {

constexpr ServerId kServer = 7;

struct UpstreamTest : testing::Test {
    asio::io_context io;
    Log log;
    std::optional<Upstream> upstream;
    struct End {
        Outcome outcome;
        Upstream::Response response;
    };
    std::vector<End> ends;
    bool careful = false;  // of what is started next

    UpstreamTest() { make({}); }
    void make(Upstream::Limits limits) { upstream.emplace(io, log, limits); }
    void until(const std::function<bool()>& reached) { run_until(io, reached); }

    ExchangeId start(const std::shared_ptr<const std::string>& body = std::make_shared<std::string>()) {
        Upstream::Request request = post_of("/deposit", body);
        request.careful = careful;
        const auto begun = upstream->start(kServer, std::move(request), [this](const Upstream::End& end) {
            ends.push_back({end.outcome, end.answer.value_or(Upstream::Response{})});
        });
        if (begun.ended) ends.push_back({*begun.ended, {}});
        return begun.exchange;
    }
    End one(const Tcp::endpoint& address) {
        upstream->set_server(kServer, address, 0);
        const std::size_t before = ends.size();
        start();
        until([&] { return ends.size() > before; });
        return ends.size() > before ? ends.back() : End{Outcome::superseded, {}};
    }
    Outcome outcome_of(const Reply& reply) {
        ScriptedServer server(io, [&](const auto&) { return reply; });
        return one(server.endpoint()).outcome;
    }
};

TEST_F(UpstreamTest, AWholeAnswerIsServedWithItsBody) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK", "a song")}; });
    const End end = one(server.endpoint());
    EXPECT_EQ(end.outcome, Outcome::completed);
    EXPECT_EQ(end.response.body(), "a song");
}

TEST_F(UpstreamTest, OnlyTheProofTellsThatItNeverRan) {
    EXPECT_EQ(outcome_of({response("500 Oops")}), Outcome::errored);
    EXPECT_EQ(outcome_of({response("503 Full", "", "Not-Started: 1\r\n")}), Outcome::saturated);
    EXPECT_EQ(outcome_of({response("504 Over", "", "Not-Started: 1\r\n")}), Outcome::saturated);
    EXPECT_EQ(outcome_of({response("503 Full")}), Outcome::errored);
    EXPECT_EQ(outcome_of({response("503 Full", "", "Not-Started: 0\r\n")}), Outcome::errored);
    EXPECT_EQ(outcome_of({response("500 Oops", "", "Not-Started: 1\r\n")}), Outcome::errored);
    EXPECT_EQ(outcome_of({response("404 Who")}), Outcome::errored);
}

// The proof stands in the header: a body that is cut off takes nothing from it.
TEST_F(UpstreamTest, ACutOffRefusalIsStillAProof) {
    EXPECT_EQ(outcome_of({"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nfu", true}),
              Outcome::saturated);
}

TEST_F(UpstreamTest, AConnectionThatEndsAfterTheRequestMayHaveRun) {
    EXPECT_EQ(outcome_of({"", true}), Outcome::severed);
    EXPECT_EQ(outcome_of({"", false, true}), Outcome::severed);
}

// Seen on the real sockets: a server gives up idle connections unseen, each of them breaks the request that
// it is used for, and the runs of resets were held against the server. What broke on reuse with nothing heard
// is the link's doing; what has idled for longer goes with it, and what must not run twice gets fresh
// connections.
TEST_F(UpstreamTest, AReusedConnectionThatBreaksUnheardIsNobodysFailure) {
    for (const bool reset : {true, false}) {
        SCOPED_TRACE(reset);
        make({250, 10000, 8, 0, 0, 60000});
        careful = false;
        bool breaks = false;
        ScriptedServer server(io, [&](const auto&) {
            return breaks ? Reply{"", !reset, reset} : Reply{response("200 OK"), false, false, 20};
        });
        upstream->set_server(kServer, server.endpoint(), 0);
        const std::size_t before = ends.size();
        for (int i = 0; i < 3; ++i) start();
        until([&] { return ends.size() == before + 3; });
        ASSERT_EQ(server.connections.size(), 3u);
        breaks = true;
        EXPECT_EQ(one(server.endpoint()).outcome, Outcome::link_lost) << "it may have run";
        until([&] { return server.ended() == 2; });  // those that idled beside it
        EXPECT_EQ(one(server.endpoint()).outcome, Outcome::severed)
            << "a fresh one that breaks is the server's";
        breaks = false;
        EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
        const std::size_t connections = server.connections.size();
        careful = true;
        EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
        EXPECT_EQ(server.connections.size(), connections + 1) << "not on one that has served";
        careful = false;
        EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
        EXPECT_EQ(server.connections.size(), connections + 1) << "others may reuse";
    }
}
// Once something of the answer has come, it is the answer that broke.
TEST_F(UpstreamTest, AReusedConnectionThatBreaksWithinAnAnswerIsSevered) {
    bool breaks = false;
    ScriptedServer server(io, [&](const auto&) {
        return breaks ? Reply{"HTTP/1.1 200 OK\r\nContent-Le", true} : Reply{response("200 OK")};
    });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    breaks = true;
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::severed);
    EXPECT_EQ(server.connections.size(), 1u);
}

// Never serve what no server made: a body that is cut off, without a stated end, too long, or no HTTP at all.
TEST_F(UpstreamTest, ATruncatedOrGarbledAnswerIsNoAnswer) {
    EXPECT_EQ(outcome_of({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true}), Outcome::severed);
    EXPECT_EQ(outcome_of({"HTTP/1.1 200 OK\r\n\r\nuntil the end", false, true}), Outcome::severed);
    EXPECT_EQ(outcome_of({"\x16\x03\x01 nonsense\r\n\r\n"}), Outcome::severed);
    EXPECT_EQ(outcome_of({response("200 OK", std::string(65 * 1024, 'x'))}), Outcome::severed);
    EXPECT_EQ(outcome_of({"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551614\r\n\r\n"}),
              Outcome::severed);
}

// What only the end of its connection delimits ends with it, and not before: guards against answers that were
// given out ahead of their body, or never (review/3).
TEST_F(UpstreamTest, AnAnswerWithoutALengthEndsWithItsConnection) {
    ScriptedServer server(io, [](const auto&) { return Reply{"HTTP/1.1 200 OK\r\n\r\nuntil the "}; });
    upstream->set_server(kServer, server.endpoint(), 0);
    start();
    until([&] { return server.requests.size() == 1; });
    io.poll();
    EXPECT_TRUE(ends.empty());
    asio::write(server.connections.at(0)->socket, asio::buffer(std::string("end")));
    server.connections.at(0)->socket.close();
    until([&] { return !ends.empty(); });
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].outcome, Outcome::completed);
    EXPECT_EQ(ends[0].response.body(), "until the end");
    EXPECT_EQ(upstream->stats().open, 0u);
}

// What can't be read, or in two ways, or does not end, is a failure that may have run, at once and not when
// the connection ends; nothing of it is kept.
TEST_F(UpstreamTest, ASpoiltAnswerOnAConnectionThatStaysOpenIsNoAnswer) {
    const std::string ok = "HTTP/1.1 200 OK\r\n", end = "\r\n\r\n";
    std::string interim;
    for (int i = 0; i < 1000; ++i) interim += "HTTP/1.1 102 Processing\r\n\r\n";
    std::string trailers;  // without end
    for (int i = 0; i < 2000; ++i) trailers += "Trailer-" + std::to_string(i) + ": and on\r\n";
    for (const std::string& spoilt :
         {ok + "Content-Length: 4\r\nTransfer-Encoding: chunked" + end + "0\r\n\r\n",
          ok + "Content-Length: 4\r\nContent-Length: 4" + end + "abcd",
          ok + "Content-Length: +4" + end + "abcd",
          ok + "Content-Length: -4" + end,
          ok + "Content-Length: 3221225472" + end + std::string(9000, 'x'),
          ok + "Transfer-Encoding: gzip" + end + "abcd",
          ok + "Transfer-Encoding: chunked" + end + "zz\r\nabcd",
          ok + "Transfer-Encoding: chunked" + end + "1\r\nx\r\n0\r\n" + trailers,
          ok + "Transfer-Encoding: chunked" + end + "1;" + std::string(40000, 'x'),
          ok + "Transfer-Encoding: chunked" + end + std::string(40000, '0'),
          ok + "Transfer-Encoding: chunked" + end + "20000\r\n" + std::string(0x20000, 'x'),
          ok + "A: b\nContent-Length: 0" + end,
          ok + "Folded: a\r\n b\r\nContent-Length: 0" + end,
          ok + "no colon" + end,
          ok + end + std::string(65 * 1024, 'x'),
          ok + "X: " + std::string(20000, 'x'),
          interim,
          std::string("HTTP/1.1 101 Switching\r\n\r\n"),
          std::string("HTTP/1.1 2x0 OK\r\n\r\n"),
          std::string("\x16\x03\x01\x02")}) {
        SCOPED_TRACE(spoilt.substr(0, 120));
        EXPECT_EQ(outcome_of({spoilt}), Outcome::severed);
        EXPECT_EQ(upstream->stats().open, 0u);
    }
}

// A second copy or noise behind a good answer is nobody's: the answer is served, the connection is not used
// again.
TEST_F(UpstreamTest, WhatComesBehindAGoodAnswerEndsTheConnection) {
    ScriptedServer server(io, [&](const auto& r) {
        const std::string answer = response("200 OK", std::to_string(server.requests.size()) + r.body());
        return Reply{server.requests.size() == 1 ? answer + answer : answer + "noise"};
    });
    EXPECT_EQ(one(server.endpoint()).response.body(), "1");
    EXPECT_EQ(one(server.endpoint()).response.body(), "2");
    EXPECT_EQ(server.connections.size(), 2u);
    EXPECT_EQ(upstream->stats().open, 0u);
}

// The copy may come a moment later, when the connection is back in the pool: it rests before it is used
// again.
TEST_F(UpstreamTest, AConnectionRestsBeforeItIsUsedAgain) {
    make({250, 10000, 8, 10000});
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    EXPECT_EQ(server.connections.size(), 2u);
    EXPECT_EQ(server.ended(), 0u);
}

// A server begins when the last byte has come: a 200 ahead of that is another request's.
TEST_F(UpstreamTest, AnAnswerAheadOfItsRequestsEndIsNotItsAnswer) {
    Tcp::acceptor acceptor(io, any_port);
    std::optional<Tcp::socket> accepted;
    acceptor.async_accept([&](error_code, Tcp::socket socket) {
        accepted.emplace(std::move(socket));
        asio::write(*accepted, asio::buffer(response("200 OK", "another's")));
    });
    upstream->set_server(kServer, acceptor.local_endpoint(), 0);
    start(std::make_shared<std::string>(64 << 20, 'x'));  // more than all buffers between hold
    until([&] { return !ends.empty(); });
    EXPECT_EQ(ends.at(0).outcome, Outcome::refused_connection);
}

TEST_F(UpstreamTest, AnInterimAnswerIsNotTheAnswer) {
    EXPECT_EQ(outcome_of({"HTTP/1.1 100 Continue\r\n\r\n" + response("200 OK")}), Outcome::completed);
}

TEST_F(UpstreamTest, ARefusedConnectionProvesThatItNeverRan) {
    ScriptedServer server(io, {});
    server.close();
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::refused_connection);
}

// A machine that vanished says nothing: the connection never comes up. A full backlog behaves alike.
TEST_F(UpstreamTest, AConnectionThatNeverComesUpIsGivenUp) {
    const DeafServer deaf(io);
    make({20, 1000, 8});
    EXPECT_EQ(one(deaf.endpoint()).outcome, Outcome::refused_connection);
    EXPECT_EQ(upstream->stats().open, 0u);
}

// Asked once, when a connection has come up; on one that is there already nothing is asked.
TEST_F(UpstreamTest, AConnectionThatComesUpUnwantedCarriesNothing) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    upstream->set_server(kServer, server.endpoint(), 0);
    int asked = 0;
    bool wanted = false;
    std::vector<Outcome> outcomes;
    const auto send = [&] {
        Upstream::Request request;
        request.head = HeadText::request("POST", "/deposit").add("Content-Length", "0").whole();
        request.wanted = [&](std::string&) { return ++asked, wanted; };
        upstream->start(kServer, std::move(request),
                        [&](const Upstream::End& end) { outcomes.push_back(end.outcome); });
    };
    send();
    until([&] { return outcomes.size() == 1; });
    EXPECT_EQ(outcomes[0], Outcome::superseded);
    EXPECT_EQ(server.requests.size(), 0u);
    wanted = true;
    send();
    until([&] { return outcomes.size() == 2; });
    send();
    until([&] { return outcomes.size() == 3; });
    EXPECT_EQ(outcomes[2], Outcome::completed);
    EXPECT_EQ(asked, 2);
    EXPECT_EQ(server.requests.size(), 2u);
}

// Broken before the last byte was written: it can't have run, and an unsafe request may go elsewhere.
TEST_F(UpstreamTest, AConnectionThatBreaksWithinTheRequestProvesThatItNeverRan) {
    Tcp::acceptor acceptor(io, any_port);
    std::optional<Tcp::socket> accepted;
    acceptor.async_accept([&](error_code, Tcp::socket socket) { accepted.emplace(std::move(socket)); });
    upstream->set_server(kServer, acceptor.local_endpoint(), 0);
    start(std::make_shared<std::string>(64 << 20, 'x'));  // more than all buffers between hold
    until([&] { return accepted.has_value(); });
    bool begun = false;
    accepted->async_wait(Tcp::socket::wait_read, [&](error_code) { begun = true; });
    until([&] { return begun; });
    accepted->set_option(asio::socket_base::linger(true, 0));
    accepted->close();
    until([&] { return !ends.empty(); });
    EXPECT_EQ(ends.at(0).outcome, Outcome::refused_connection);
}

TEST_F(UpstreamTest, WhatIsStoppedMayHaveRunOnceItWasWritten) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    upstream->set_server(kServer, server.endpoint(), 0);
    EXPECT_FALSE(upstream->stop(start())) << "not even connected";
    const ExchangeId second = start();
    until([&] { return server.requests.size() == 1; });
    EXPECT_TRUE(upstream->stop(second));
    until([&] { return server.ended() == server.connections.size(); });
    EXPECT_EQ(upstream->stats().open, 0u);
    EXPECT_TRUE(ends.empty());
}

TEST_F(UpstreamTest, TheMostRecentlyUsedIdleConnectionIsUsedAgain) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    upstream->set_server(kServer, server.endpoint(), 0);
    start(), start();
    until([&] { return server.requests.size() == 2; });
    server.send(1, response("200 OK"));
    until([&] { return ends.size() == 1; });
    server.send(0, response("200 OK"));
    until([&] { return ends.size() == 2; });
    start();
    until([&] { return server.requests.size() == 3; });
    EXPECT_EQ(server.connections.at(0)->requests, 2u);
    EXPECT_EQ(upstream->stats().opened, 2u);
}

// A server closes what has idled: its end is noticed, and the next request does not run into it.
TEST_F(UpstreamTest, AnIdleConnectionThatHasEndedIsNotUsed) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    server.connections.at(0)->socket.close();  // and no turn of the loop for the sidecar to hear of it
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    EXPECT_EQ(server.connections.size(), 2u);
}

// The end crosses the request: it may have run, and is not sent again behind the module's back.
TEST_F(UpstreamTest, AStaleConnectionGetsNoHiddenResend) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    server.script = [](const auto&) { return Reply{"", true}; };
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::link_lost);
    EXPECT_EQ(server.requests.size(), 2u);
    EXPECT_EQ(server.connections.size(), 1u);
}

// Bytes that nobody asked for must not become the next request's answer.
TEST_F(UpstreamTest, UnaskedBytesEndAnIdleConnection) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK", "asked")}; });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    server.send(0, response("200 OK", "unasked"));
    EXPECT_EQ(one(server.endpoint()).response.body(), "asked");
    EXPECT_EQ(server.connections.size(), 2u);
}

TEST_F(UpstreamTest, AnIdleConnectionIsClosedBeforeTheServerWould) {
    make({250, 20, 8});
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    until([&] { return server.ended() == 1; });
    EXPECT_EQ(upstream->stats().open, 0u);
}

TEST_F(UpstreamTest, AServerThatMovesIsMetAtItsNewAddress) {
    ScriptedServer before(io, [](const auto&) { return Reply{response("200 OK", "old")}; });
    ScriptedServer after(io, [](const auto&) { return Reply{response("200 OK", "new")}; });
    EXPECT_EQ(one(before.endpoint()).response.body(), "old");
    EXPECT_EQ(one(after.endpoint()).response.body(), "new");
    until([&] { return before.ended() == 1; });
}

// The proof that it never ran stands in the head and not behind the body.
TEST_F(UpstreamTest, ATrailerIsNoFieldOfTheHead) {
    EXPECT_EQ(
        outcome_of({"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNot-Started: 1\r\n\r\n"}),
        Outcome::errored);
    ScriptedServer server(io, [](const auto&) {
        return Reply{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n"};
    });
    const End end = one(server.endpoint());
    EXPECT_EQ(end.response.body(), "hi");
    EXPECT_EQ(end.response.count("X"), 0u);
}

// What must never be given another's answer goes on no connection that has carried one and can't be shown to
// be clean: it has to have been quiet for longer than any delay of our acknowledgement.
TEST_F(UpstreamTest, WhatIsCarefulWaitsForAConnectionToBeShownClean) {
    make({250, 10000, 8, 0, 250});
    careful = true;
    // The copy comes later than any short rest.
    ScriptedServer server(io, [&](const auto&) {
        const std::string answer = response("200 OK", std::to_string(server.requests.size()));
        return Reply{answer, false, false, 0, answer, 60};
    });
    EXPECT_EQ(one(server.endpoint()).response.body(), "1");
    EXPECT_EQ(one(server.endpoint()).response.body(), "2");
    EXPECT_EQ(server.connections.size(), 2u);
    until([&] { return server.ended() == 2; });  // the copies end them
    server.script = [&](const auto&) { return Reply{response("200 OK", "clean")}; };
    EXPECT_EQ(one(server.endpoint()).response.body(), "clean");
    EXPECT_EQ(one(server.endpoint()).response.body(), "clean");
    EXPECT_EQ(server.connections.size(), 4u) << "nor does it trust a server that has sent such";
}

TEST_F(UpstreamTest, WhatIsCarefulUsesAConnectionThatHasLongBeenQuiet) {
    make({250, 10000, 8, 0, 20});
    careful = true;
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    asio::steady_timer rest(io, std::chrono::milliseconds(30));
    bool rested = false;
    rest.async_wait([&](error_code) { rested = true; });
    until([&] { return rested; });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    EXPECT_EQ(server.connections.size(), 1u);
}

// Without a descriptor of our own nothing is sent, and the server has not failed.
TEST_F(UpstreamTest, WithoutADescriptorNothingIsSent) {
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    upstream->set_server(kServer, server.endpoint(), 0);
    {
        const NoSockets wanting;
        start();
        EXPECT_EQ(wanting.refused(), 1u);
    }
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].outcome, Outcome::not_sent);
    EXPECT_EQ(upstream->stats().open, 0u);
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
}

// At the bound the connection idle longest makes room; where none is idle, nothing is sent.
TEST_F(UpstreamTest, ConnectionsAreBounded) {
    make({250, 10000, 1});
    ScriptedServer first(io, [](const auto&) { return Reply{response("200 OK")}; });
    ScriptedServer second(io, [](const auto&) { return Reply{}; });
    EXPECT_EQ(one(first.endpoint()).outcome, Outcome::completed);
    upstream->set_server(kServer + 1, second.endpoint(), 0);
    Upstream::Request ping;
    ping.head = HeadText::request("GET", "/ping").whole();
    upstream->start(kServer + 1, std::move(ping), [](const Upstream::End&) {});
    until([&] { return second.requests.size() == 1 && first.ended() == 1; });
    EXPECT_EQ(upstream->stats().open, 1u);
    EXPECT_EQ(one(first.endpoint()).outcome, Outcome::not_sent) << "our own bound is no server's failure";
    EXPECT_EQ(first.requests.size(), 1u);
}

struct LimitedUpstreamTest : UpstreamTest {
    void limit(std::size_t each_server) { upstream->limit_connections(0, each_server); }
    // Requests under way to the server, which answers none by itself.
    void begin(ScriptedServer& server, std::size_t count) {
        upstream->set_server(kServer, server.endpoint(), 0);
        const std::size_t before = server.requests.size();
        for (std::size_t i = 0; i < count; ++i) start();
        until([&] { return server.requests.size() == before + count; });
    }
    void answer(ScriptedServer& server, std::size_t connection) {
        const std::size_t before = ends.size();
        server.send(connection, response("200 OK"));
        until([&] { return ends.size() == before + 1; });
    }
};

// What no connection is left for goes elsewhere: it was not written, and nobody has failed.
TEST_F(LimitedUpstreamTest, AServerThatIsAtItsLimitTakesNoMore) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    limit(2);
    begin(server, 2);
    start();
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].outcome, Outcome::superseded);
    EXPECT_EQ(upstream->stats().over_limit, 1u);
    EXPECT_EQ(upstream->stats().most_at_server, 2u);
    answer(server, 0);
    begin(server, 1);
    EXPECT_EQ(server.connections.size(), 2u) << "the one that is free again is used";
}

TEST_F(LimitedUpstreamTest, EachServerHasALimitOfItsOwn) {
    ScriptedServer first(io, [](const auto&) { return Reply{}; });
    ScriptedServer second(io, [](const auto&) { return Reply{}; });
    limit(1);
    begin(first, 1);
    upstream->set_server(kServer + 1, second.endpoint(), 0);
    Upstream::Request ping;
    ping.head = HeadText::request("GET", "/ping").whole();
    const auto begun = upstream->start(kServer + 1, std::move(ping), [](const Upstream::End&) {});
    EXPECT_EQ(begun.ended, std::nullopt);
    until([&] { return second.requests.size() == 1; });
}

// An address that was given to a new process, whose connections are all to come.
TEST_F(LimitedUpstreamTest, AServerThatStartedAnewBeginsWithoutConnections) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    limit(1);
    begin(server, 1);
    upstream->set_server(kServer, server.endpoint(), 1);
    start();
    until([&] { return server.requests.size() == 2; });
    EXPECT_TRUE(ends.empty());
    answer(server, 0);  // the one of before
    start();
    ASSERT_EQ(ends.size(), 2u);
    EXPECT_EQ(ends[1].outcome, Outcome::superseded) << "its end has freed no place at the new one";
}

TEST_F(LimitedUpstreamTest, ASmallerLimitClosesWhatIsIdleFirstAndWhatWorksOnceItIsDone) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    limit(4);
    begin(server, 4);
    answer(server, 0);
    limit(2);
    until([&] { return server.ended() == 1; });
    EXPECT_EQ(upstream->stats().open, 3u);
    answer(server, 1);
    until([&] { return server.ended() == 2; });
    EXPECT_EQ(upstream->stats().open, 2u);
    answer(server, 2);
    EXPECT_EQ(upstream->stats().open, 2u) << "within the limit it is kept";
    EXPECT_EQ(upstream->stats().shed, 2u);
}

// A connection that may not be used for it yet gives its place to a fresh one.
TEST_F(LimitedUpstreamTest, AnIdleConnectionThatWontDoMakesRoomAtTheLimit) {
    make({250, 10000, 8, 0, 60000});
    limit(1);
    careful = true;
    ScriptedServer server(io, [](const auto&) { return Reply{response("200 OK")}; });
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    EXPECT_EQ(one(server.endpoint()).outcome, Outcome::completed);
    EXPECT_EQ(server.connections.size(), 2u);
    EXPECT_EQ(upstream->stats().open, 1u);
}

TEST_F(LimitedUpstreamTest, WithoutALimitThereIsNone) {
    ScriptedServer server(io, [](const auto&) { return Reply{}; });
    limit(1);
    limit(0);
    begin(server, 3);
    EXPECT_EQ(upstream->stats().open, 3u);
}

}  // namespace
}  // namespace whinledge::test
