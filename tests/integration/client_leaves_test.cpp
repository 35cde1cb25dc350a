// Who closes its connection has gone, wherever its request is and whatever its end stands behind: no attempt
// begins for it any more, and the one that is out still has its true end.
#include <algorithm>

#include "rig/net_rig.hpp"
#include "rig/starved.hpp"

namespace whinledge::test {
namespace {

struct ClientLeaves : NetRig {
    // Sends bytes as they are taken; reads nothing until it is asked to.
    struct Peer {
        Peer(asio::io_context& io, const Tcp::endpoint& to) : socket(io) { socket.connect(to); }
        void send(std::string bytes) {
            out = std::move(bytes);
            asio::async_write(socket, asio::buffer(out), [this](error_code failed, std::size_t) {
                sent = true;
                broken = failed;
            });
        }
        void read() {
            asio::async_read(socket, asio::dynamic_buffer(got), [this](error_code failed, std::size_t) {
                ended = true;
                end = failed;
            });
        }
        Tcp::socket socket;
        std::string out, got;
        bool sent = false, ended = false;
        error_code broken, end;
    };

    ClientLeaves() { a.script = b.script = silence; }
    // With a, and with other limits than usual.
    void start_with(const std::string& from, const std::string& to) {
        std::string config = config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}}));
        config.replace(config.find(from), from.size(), to);
        sidecar.emplace(io, read_config(config));
    }
    // A client whose request is out and unanswered.
    TestClient& waiting(const std::string& bytes) {
        TestClient& c = client();
        const std::size_t before = arrived();
        c.send(bytes);
        until([&] { return arrived() > before; });
        return c;
    }
    // Nothing of it is left, long before its request's time is over.
    void until_forgotten() {
        const RunTime since;
        until([&] { return sidecar->clients() == 0 && sidecar->records() == 0; });
        // No event tells a client that is seen to go from a request whose time is over: the requests have 5
        // s, and who has gone is to be seen within 100 ms, those apart in which nobody ran here.
        EXPECT_LT(since.ms(), 100);
        EXPECT_EQ(sidecar->held().requests, 0u);
        caught_up();
    }
    static std::string get(int number) { return request("listen", "id-" + std::to_string(number), 5000); }
};

TEST_F(ClientLeaves, ItsEndIsSeenBehindAPartOfItsNextRequest) {
    start_with_a();
    TestClient& c = waiting(get(1));
    c.send(get(2).substr(0, 20));
    caught_up();  // its early bytes are read ahead of its end
    c.close();
    until_forgotten();
    until([&] { return a.ended() == 1; });  // its attempt is given up
    EXPECT_EQ(a.requests.size(), 1u);
}

TEST_F(ClientLeaves, ItsEndIsSeenBehindWholeRequestsAndNoneOfThemIsBegun) {
    start_with_a();
    TestClient& c = client();
    c.send(get(1) + get(2) + get(3));
    until([&] { return a.requests.size() == 1; });
    c.close();
    until_forgotten();
    EXPECT_EQ(a.requests.size(), 1u);
}

// The answer to its first request is what the loop hears of before its end. There is a second connection that
// could take the next at once.
TEST_F(ClientLeaves, AnEarlyRequestIsNotBegunBehindAnAnswerThatNobodyTakes) {
    start_with_a();
    TestClient* const all[] = {&waiting(get(1)), &waiting(get(2))};
    for (std::size_t i = 0; i < 2; ++i) {
        a.send(i, response("200 OK", "warm"));
        until([&] { return all[i]->answers.size() == 1; });
    }
    clients.clear();
    until([&] { return sidecar->clients() == 0; });
    rest();
    TestClient& c = waiting(get(3) + get(4));
    const std::size_t at = a.connections[0]->requests > 1 ? 0 : 1;
    a.send(at, response("200 OK", "third"));
    c.close();
    until_forgotten();
    EXPECT_EQ(a.requests.size(), 3u);
}

TEST_F(ClientLeaves, ItsEndIsSeenBehindMuchThatNobodyWants) {
    start_with_a();
    Peer peer(io, sidecar->address());
    std::string all = get(1);
    for (int i = 2; i < 6000; ++i) all += get(i);
    peer.send(all);
    until([&] { return peer.sent && a.requests.size() == 1; });
    EXPECT_FALSE(peer.broken);
    EXPECT_EQ(a.requests.size(), 1u);
    peer.socket.close();
    until_forgotten();
    EXPECT_EQ(a.requests.size(), 1u);
}

// Who sends much more than one request at a time and stays: its answer is whole, and says that it is the
// last.
TEST_F(ClientLeaves, WhoSendsTooMuchEarlyStillHasItsAnswer) {
    start_with_a();
    Peer peer(io, sidecar->address());
    peer.send(get(1) + std::string(1 << 20, 'x'));
    until([&] { return peer.sent && a.requests.size() == 1; });
    a.send(0, response("200 OK", "first"));
    peer.read();
    until([&] { return peer.ended; });
    EXPECT_EQ(peer.end, asio::error::eof) << peer.end.message();
    EXPECT_NE(peer.got.find("Connection: close"), std::string::npos) << peer.got;
    EXPECT_TRUE(peer.got.ends_with("\r\n\r\nfirst")) << peer.got;
    EXPECT_EQ(a.requests.size(), 1u);
}

TEST_F(ClientLeaves, WithinALongBodyNothingIsBegun) {
    start_with_a();
    TestClient& c = client();
    const std::string all = request("deposit", "id-1", 5000, std::string(60000, 'x'));
    c.send(all.substr(0, all.size() - 1));
    until([&] { return sidecar->clients() == 1; });
    c.close();
    until_forgotten();
    EXPECT_EQ(a.requests.size(), 0u);
}

// What makes room for a further attempt is heard of ahead of the client's end. Both servers have connections
// that are ready to be used, so that an attempt would be written at once.
TEST_F(ClientLeaves, NoFurtherAttemptBeginsAheadOfItsEnd) {
    start();
    std::size_t warmed = 0;
    while (a.connections.empty() || b.connections.empty()) {
        TestClient* const all[] = {&waiting(get(1000 + static_cast<int>(++warmed))),
                                   &waiting(get(2000 + static_cast<int>(warmed)))};
        for (ScriptedServer* s : {&a, &b})
            for (std::size_t i = 0; i < s->connections.size(); ++i)
                if (s->connections[i]->requests > 0) s->send(i, response("200 OK", "warm"));
        for (TestClient* c : all) until([&] { return c->answers.size() == 1; });
    }
    clients.clear();
    until([&] { return sidecar->clients() == 0; });
    rest();
    for (int round = 1; round <= 10; ++round) {
        rest();
        const auto before = asked_on({&a, &b});
        TestClient& c = waiting(get(round));
        const std::size_t seen = arrived();
        answer_new({&a, &b}, before, response("503 Full", "", "Not-Started: 1\r\n"));
        c.close();
        until_forgotten();
        EXPECT_EQ(arrived(), seen) << "sent on for nobody";
    }
}

// Those that wait for room, or between attempts, go with those that are out.
TEST_F(ClientLeaves, ABurstOfClientsLeavesNothingToDo) {
    start();
    std::vector<TestClient*> all;
    for (int i = 0; i < 60; ++i) {
        all.push_back(&client());
        all.back()->send(request(i % 3 ? "listen" : "deposit", "id-" + std::to_string(i), 5000));
    }
    until([&] {
        return sidecar->records() +
                   static_cast<std::size_t>(std::count_if(
                       all.begin(), all.end(), [](TestClient* c) { return !c->answers.empty(); })) ==
               all.size();
    });
    caught_up();
    const std::size_t seen = arrived();
    EXPECT_GT(seen, 0u);
    for (TestClient* c : all) c->close();
    until_forgotten();
    EXPECT_EQ(arrived(), seen);
}

// Where the settings permit it, what is out is given up.
TEST_F(ClientLeaves, WhatIsOutIsGivenUpWhereThatIsPermitted) {
    start_with("\"may-cancel\":true", "\"may-cancel\":true");
    waiting(get(1)).close();
    until_forgotten();
    until([&] { return a.ended() == 1; });
}

// Else it runs to its own end, which is booked, and its connection is good for the next.
TEST_F(ClientLeaves, WhatIsOutHasItsTrueEndWhereItMayNotBeGivenUp) {
    start_with("\"may-cancel\":true", "\"may-cancel\":false");
    waiting(get(1)).close();
    until([&] { return sidecar->clients() == 0; });
    caught_up();
    EXPECT_EQ(sidecar->records(), 1u) << "still out";
    EXPECT_EQ(a.ended(), 0u);
    a.send(0, response("200 OK", "for nobody"));
    until([&] { return sidecar->records() == 0; });
    EXPECT_EQ(sidecar->held().requests, 0u);
    rest();
    a.script = serve;
    EXPECT_EQ(ask(get(2)).body(), "served");
    EXPECT_EQ(a.connections.size(), 1u) << "the same connection";
}

}  // namespace
}  // namespace whinledge::test
