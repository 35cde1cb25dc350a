// Clients of the http profile that leave, and the end of the process at each state of theirs: as for the
// platform's profile (client_leaves_test.cpp, shutdown_test.cpp).
#include "http/web.hpp"
#include "rig/http_call.hpp"
#include "rig/service_rig.hpp"
#include "rig/starved.hpp"

namespace whinledge::test {
namespace {

struct WebLeaves : ServiceRig {
    WebLeaves() { a.script = silence; }
    void start() {
        ServiceRig::start(three("timeout = \"5s\"\nbuffer = \"4KiB\"\nrequest_limit = \"1MiB\""));
    }
    // A client whose request is out and unanswered.
    RawClient& waiting(const std::string& bytes) {
        RawClient& c = raw_client();
        const std::size_t before = a.requests.size();
        c.send(bytes);
        until([&] { return a.requests.size() > before; });
        return c;
    }
    // Sends without holding the loop up.
    void send_slowly(RawClient& c, const std::string& bytes) {
        bool sent = false;
        asio::async_write(c.socket(), asio::buffer(bytes), [&](error_code failed, std::size_t) {
            sent = true;
            EXPECT_FALSE(failed);
        });
        until([&] { return sent; });
    }
    // What has been sent up to now has been read: one thread answers in the order in which bytes come.
    void caught_up() {
        RawClient& last = raw_client();
        last.send(get("/search"));
        until([&] { return !last.text.empty(); });
        const std::size_t all = daemon->clients();
        raw.pop_back();
        until([&] { return daemon->clients() < all; });
    }
    // Nothing of it is left, long before its request's time is over.
    void until_forgotten() {
        const RunTime since;
        until([&] { return daemon->clients() == 0 && open() == 0; });
        // No event tells a client that is seen to go from a request whose time is over: the requests have 5
        // s, and who has gone is to be seen within 100 ms, those apart in which nobody ran here.
        EXPECT_LT(since.ms(), 100);
        caught_up();
    }
    static std::string number(int i) { return get("/archive/" + std::to_string(i)); }
};

TEST_F(WebLeaves, ItsEndIsSeenBehindAPartOfItsNextRequest) {
    start();
    RawClient& c = waiting(number(1));
    c.send(number(2).substr(0, 20));
    caught_up();  // its early bytes are read ahead of its end
    c.close();
    until_forgotten();
    until([&] { return a.ended() == 1; });  // its attempt is given up
    EXPECT_EQ(a.requests.size(), 1u);
}

TEST_F(WebLeaves, ItsEndIsSeenBehindWholeRequestsAndNoneOfThemIsBegun) {
    start();
    RawClient& c = waiting(number(1) + number(2) + number(3));
    c.close();
    until_forgotten();
    EXPECT_EQ(a.requests.size(), 1u);
}

TEST_F(WebLeaves, ItsEndIsSeenBehindMuchThatNobodyWants) {
    start();
    RawClient& c = waiting(number(1));
    std::string all;
    for (int i = 2; i < 20000; ++i) all += number(i);
    send_slowly(c, all);
    EXPECT_EQ(a.requests.size(), 1u);
    c.close();
    until_forgotten();
    EXPECT_EQ(a.requests.size(), 1u);
}

TEST_F(WebLeaves, WhoSendsTooMuchEarlyStillHasItsAnswer) {
    start();
    RawClient& c = raw_client();
    send_slowly(c, number(1) + std::string(1 << 20, 'x'));
    until([&] { return a.requests.size() == 1; });
    a.send(0, response("200 OK", "first"));
    until([&] { return c.ended; });
    EXPECT_NE(c.text.find("Connection: close"), std::string::npos) << c.text;
    EXPECT_TRUE(c.text.ends_with("\r\n\r\nfirst")) << c.text;
    EXPECT_EQ(a.requests.size(), 1u);
}

// Early requests of an ordinary size are served in their turn.
TEST_F(WebLeaves, WhatComesEarlyIsServedInItsTurn) {
    start();
    a.script = echo;
    RawClient& c = raw_client();
    c.send(number(1) + number(2) + post("/archive/3", std::string(9000, 'x')) + number(4));
    until([&] { return a.requests.size() == 4 && c.text.ends_with("/archive/4 0"); });
    for (const char* const answer : {"GET /archive/1 0", "GET /archive/2 0", "POST /archive/3 9000"})
        EXPECT_NE(c.text.find(answer), std::string::npos) << c.text;
}

// The answer to its first request is what the loop hears of before its end. There is a second connection that
// could take the next at once.
TEST_F(WebLeaves, AnEarlyRequestIsNotBegunBehindAnAnswerThatNobodyTakes) {
    start();
    RawClient* const all[] = {&waiting(number(1)), &waiting(number(2))};
    for (std::size_t i = 0; i < 2; ++i) {
        a.send(i, response("200 OK", "warm"));
        until([&] { return all[i]->text.ends_with("warm"); });
    }
    raw.clear();
    until([&] { return daemon->clients() == 0; });
    rest();
    const auto had = asked_on({&a});
    RawClient& c = waiting(number(3) + number(4));
    answer_new({&a}, had, response("200 OK", "third"));
    c.close();
    until_forgotten();
    EXPECT_EQ(a.requests.size(), 3u);
}

// What makes a further attempt due is heard of ahead of the client's end.
TEST_F(WebLeaves, NoFurtherAttemptBeginsAheadOfItsEnd) {
    ServiceRig::start(
        listener() + pool("archive", {a.address(), b.address()}) + pool("search", {c.address()}) +
        route("archive", "/archive", "pool = \"archive\"", "timeout = \"5s\"\nnever_ran = [503]") +
        route("search", "/search", "pool = \"search\""));
    b.script = silence;
    const auto arrived = [&] { return a.requests.size() + b.requests.size(); };
    while (a.connections.empty() || b.connections.empty()) {  // so that an attempt would be written at once
        const auto had = asked_on({&a, &b});
        const std::size_t before = arrived();
        for (int i = 0; i < 2; ++i) raw_client().send(number(i));
        until([&] { return arrived() == before + 2; });
        answer_new({&a, &b}, had, response("200 OK", "warm"));
        until([&] { return raw.front().text.ends_with("warm") && raw.back().text.ends_with("warm"); });
        raw.clear();
        until([&] { return daemon->clients() == 0; });
    }
    for (int round = 1; round <= 5; ++round) {
        const std::size_t before = arrived();
        rest();  // so that connections to servers are ready to be used again
        const auto had = asked_on({&a, &b});
        RawClient& client = raw_client();
        client.send(number(round));
        until([&] { return arrived() > before; });
        answer_new({&a, &b}, had, response("503 Full"));
        client.close();
        until_forgotten();
        EXPECT_EQ(arrived(), before + 1) << "sent on for nobody";
    }
}

// A body of which its route buffers 4 KiB, ahead of a server that takes nothing of it.
struct WebHeldUp : WebLeaves, testing::WithParamInterface<const char*> {
    DeafServer deaf{io};

    std::string file(const std::vector<std::string>& servers) const {
        return listener_ +
               pool("archive", servers, std::string("connect_timeout = \"") + GetParam() + "\"\n") +
               pool("search", {b.address()}) +
               route("archive", "/archive", "pool = \"archive\"",
                     "timeout = \"5s\"\nbuffer = \"4KiB\"\nrequest_limit = \"1MiB\"") +
               route("search", "/search", "pool = \"search\"");
    }
    std::size_t connections(const std::string& name) {
        return daemon->descriptors().held(daemon->pool(name)->id());
    }
    const std::string listener_ = listener();
    const std::string at = "127.0.0.1:" + std::to_string(deaf.endpoint().port());
};

// Its end lies behind bytes that nobody reads: a connect that never comes up is no reason to read them, and
// what is due behind it begins for nobody.
TEST_P(WebHeldUp, ItsEndIsSeenBehindABodyThatNobodyReads) {
    for (const bool reset : {false, true}) {
        SCOPED_TRACE(reset);
        ServiceRig::start(file({at}));
        RawClient& c = raw_client();
        c.send(post("/archive", std::string(40000, 'x')));
        until([&] { return open() == 1; });
        if (reset) c.socket().set_option(asio::socket_base::linger(true, 0));
        c.close();
        reload(file({at, a.address()}));
        until_forgotten();
        until([&] { return connections("archive") == 0; });  // its connect is over
        EXPECT_EQ(a.connections.size(), 0u) << "a further attempt has begun";
        raw.clear();
        daemon.reset();
    }
}

// The connect is over ahead of the next look for who has gone, and far behind it.
INSTANTIATE_TEST_SUITE_P(Connects, WebHeldUp, testing::Values("5ms", "400ms"));

// Who ends its sending alone has gone, as on the platform's profile: while it waits, not while it is
// answered.
TEST_F(WebLeaves, AHalfCloseIsAnEndWhileItWaits) {
    start();
    waiting(number(1) + number(2)).half_close();
    until_forgotten();
    EXPECT_EQ(a.requests.size(), 1u);
}

TEST_F(WebLeaves, AHalfCloseWhileItIsAnsweredLosesNothing) {
    start();
    const std::string half(100000, 'x');
    RawClient& c = waiting(number(1) + number(2));
    a.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
    until([&] { return c.text.size() > half.size(); });
    c.half_close();
    caught_up();
    a.send(0, half);
    until([&] { return c.ended; });
    EXPECT_TRUE(c.text.ends_with("\r\n\r\n" + half + half)) << c.text.size();
    EXPECT_EQ(a.requests.size(), 1u);
}

// A place is wanted while the end of a head lies unread: it counts as taken, and is read.
TEST(WebDoor, WhoHasSentAllIsNotLetGoUnread) {
    asio::io_context io;
    TestTime time;
    std::optional<RawClient> half;
    bool wanting = false;
    const Door::Budget budget{[&] {
                                  if (!std::exchange(wanting, false)) return true;
                                  half->send("HTTP/1.1\r\nHost: h\r\n\r\n");
                                  time.at += 25;  // the time that the silent have
                                  return false;   // somebody has to go, now
                              },
                              [] {}};
    whinledge::Web::Options options;
    options.listen = any_port;
    whinledge::Web web(io, options,
                       {[] { return std::shared_ptr<const Routing>(); },
                        [](std::string_view) { return whinledge::Web::PoolView{}; },
                        {},
                        [] { return std::uint64_t{1}; },
                        [] {},
                        [](const std::string&) {}},
                       budget, time);
    half.emplace(io, web.address());
    half->send("TRACE / ");
    RawClient behind(io, web.address());
    behind.send("nonsense\r\n\r\n");
    run_until(io, [&] { return behind.ended; });  // the other has been read by then
    time.at += 1;
    wanting = true;
    RawClient next(io, web.address());
    run_until(io, [&] { return !half->text.empty() || half->ended; });
    EXPECT_FALSE(wanting);
    EXPECT_TRUE(half->text.starts_with("HTTP/1.1 501")) << half->text;
}

// ---- The end of the process ------------------------------------------------------------------------------

struct WebShutdown : WebLeaves {
    bool done = false;
    WebShutdown() { a.script = echo; }
    RawClient& resting() {
        RawClient& c = raw_client();
        c.send(number(1));
        until([&] { return c.text.ends_with("/archive/1 0"); });
        c.text.clear();
        return c;
    }
    // Accepting ends now, ahead of the loop's next turn.
    void end_accepting() {
        daemon->drain([this] { done = true; });
        daemon->hurry();
    }
    static bool send(RawClient& c, const std::string& bytes) {
        error_code failed;
        asio::write(c.socket(), asio::buffer(bytes), failed);
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(c.socket().native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return !failed && error == 0;
    }
};

// Nobody has read its end yet when accepting ends.
TEST_F(WebShutdown, ARestingClientMayLeaveAsAcceptingEnds) {
    start();
    resting().close();
    end_accepting();
    until([&] { return done; });
    EXPECT_EQ(daemon->clients(), 0u);
}

TEST_F(WebShutdown, ARestingClientHasAHalfCloseAndWhatCrossesItIsSentOnToNobody) {
    start();
    RawClient& c = resting();
    end_accepting();
    EXPECT_TRUE(send(c, number(2))) << "closed over it";
    EXPECT_TRUE(send(c, "GET /arch")) << "closed over it";
    until([&] { return c.ended; });
    EXPECT_TRUE(c.clean) << "reset";
    EXPECT_EQ(c.text, "");
    c.close();
    until([&] { return done; });
    EXPECT_EQ(a.requests.size(), 1u);
}

TEST_F(WebShutdown, HalfARequestIsRefusedAndItsRestIsDropped) {
    const std::string whole = post("/archive/2", std::string(3000, 'x'));
    for (const std::size_t sent : {std::size_t{20}, whole.size() - 1}) {
        done = false;
        start();
        RawClient& c = raw_client();
        c.send(whole.substr(0, sent));
        caught_up();
        end_accepting();
        until([&] { return c.text.starts_with("HTTP/1.1 503"); });
        EXPECT_TRUE(send(c, whole.substr(sent)));
        EXPECT_TRUE(send(c, number(3)));
        until([&] { return c.ended; });
        EXPECT_TRUE(c.clean) << "reset";
        EXPECT_NE(c.text.find("Connection: close"), std::string::npos);
        c.close();
        until([&] { return done; });
        daemon.reset();
    }
    EXPECT_EQ(a.requests.size(), 0u);
}

}  // namespace
}  // namespace whinledge::test
