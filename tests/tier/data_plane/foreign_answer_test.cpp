// What belongs to nobody or to another, by the proxy's own exchange: surplus behind an answer, an answer's
// second copy, and a server that is another than the list says.
#include <algorithm>
#include <set>
#include <string>

#include "edge_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

using storage_plane::BeginStatus;

const std::string kOneEvent = "id: 1\ndata: one\n\n";

bool is_turn(const std::string& path) { return path.starts_with("/turn/"); }

std::string request_to(const std::string& path, const std::string& id) {
    const std::string of_turn =
        is_turn(path) ? "Program: of-" + id + "\r\nBudget: 500\r\nToken-Count: 10,30\r\n" : "";
    return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nTry-Id: " + id + "\r\n" + of_turn +
           "Content-Length: 5\r\n\r\ninput";
}

struct ForeignAnswers : EdgeRig {
    // The answer to a request is its own id.
    static Reply own(const ScriptedServer::Request& request) {
        return Reply{sealed(request, "200 OK", "for " + text_of(request, "Try-Id"))};
    }
    static Reply own_stream(const ScriptedServer::Request& request) {
        return Reply{stream_head(request) + chunk(kOneEvent) + kLastChunk};
    }
    // What comes next meets a fresh one.
    void end_connections() {
        for (const auto& connection : a.connections) connection->socket.close();
        io.poll();
    }
    void begin(std::size_t turn) {
        until([&] { return turns.begun.size() > turn; });
        storage_plane::BegunTurn begun;
        begun.status = BeginStatus::ok;
        turns.begun[turn].done(begun);
    }
};

// ---- Surplus ----------------------------------------------------------------------------------------------

struct Surplus : ForeignAnswers {
    enum class Comes { with_the_head, with_the_last_chunk, later };
    static std::string name_of(Comes when) {
        if (when == Comes::later) return "later";
        return when == Comes::with_the_head ? "all in one write" : "with the last chunk";
    }
    static std::vector<std::string> all() {
        return {response("200 OK", "foreign", "Try-Id: id-2\r\nServer-Seal: s.1\r\n"),
                chunk("data: foreign\n\n") + kLastChunk, "foreign", "\r\n"};
    }
    // One stream with surplus behind its last chunk, then one more request of the same client.
    void play(const std::string& path, const std::string& surplus, Comes when) {
        SCOPED_TRACE(path + ", " + name_of(when) + ": " + surplus);
        a.script = [&](const auto& request) {
            if (when != Comes::with_the_head) return Reply{stream_head(request)};
            return Reply{own_stream(request).bytes + surplus};
        };
        const std::size_t asked = a.requests.size(), turn = turns.begun.size();
        RawClient& c = client();
        c.send(request_to(path, "id-1"));
        if (is_turn(path)) begin(turn);
        until([&] { return a.requests.size() == asked + 1; });
        const auto used = a.connections.back();
        if (when != Comes::with_the_head)
            pass_on(c, *used, when == Comes::with_the_last_chunk ? surplus : "");
        if (is_turn(path)) end(turn);
        until([&] { return is_whole(c.heard()); });
        const std::string first = c.heard();
        if (when == Comes::later) boost::asio::write(used->socket, boost::asio::buffer(surplus));
        a.script = own;
        c.send(request_to("/once/x", "id-2"));
        until([&] { return c.heard().ends_with("for id-2"); });
        EXPECT_FALSE(c.has("foreign")) << c.heard();
        EXPECT_EQ(c.heard().find("data: one"), c.heard().rfind("data: one"));
        EXPECT_EQ(c.heard().compare(first.size(), 13, "HTTP/1.1 200 "), 0) << c.heard();
        EXPECT_EQ(a.requests.size(), asked + 2);
        until([&] { return used->ended; });
        EXPECT_EQ(used->requests, 1U) << "its connection is not used again";
        clients.clear();
        end_connections();
    }
    // The client has the head, then the event and the end, with `surplus` in the same write.
    void pass_on(RawClient& c, ScriptedServer::Connection& from, const std::string& surplus) {
        until([&] { return c.has("\r\n\r\n"); });
        boost::asio::write(from.socket, boost::asio::buffer(chunk(kOneEvent) + kLastChunk + surplus));
    }
    void end(std::size_t turn) {
        until([&] { return turns.ended.size() > turn; });
        EXPECT_TRUE(turns.ended[turn].turn.whole);
        EXPECT_EQ(turns.ended[turn].turn.record.output, "one\n");
        turns.ended[turn].done(true);
    }
    void play_all(const std::string& path) {
        start_with_a();
        for (const std::string& surplus : all())
            for (const Comes when : {Comes::with_the_head, Comes::with_the_last_chunk, Comes::later}) {
                play(path, surplus, when);
                if (HasFailure()) return;
            }
        EXPECT_EQ(host.counters.foreign_answers, 0U);
    }
};

TEST_F(Surplus, BehindTheLastChunkOfAStreamIsNobodys) { play_all("/stream/x"); }

TEST_F(Surplus, BehindTheLastChunkOfATurnIsNobodys) { play_all("/turn/x"); }

// ---- Late copies ------------------------------------------------------------------------------------------

using LateCopies = ForeignAnswers;

// It comes while the connection rests: the connection ends, and nobody has it.
TEST_F(LateCopies, OnAnIdleConnectionAreNobodys) {
    start_with_a();
    for (const char* const path : {"/once/x", "/read/x", "/stream/x"}) {
        a.script = own;
        EXPECT_TRUE(ask(request_to(path, "id-1")).ends_with("for id-1"));
        const auto used = a.connections.back();
        const std::size_t requests = used->requests;
        boost::asio::write(used->socket, boost::asio::buffer(own(a.requests.back()).bytes));
        RawClient& c = client();
        c.send(request_to(path, "id-2"));  // before the proxy has heard of it
        until([&] { return c.ended() || is_whole(c.heard()); });
        EXPECT_TRUE(c.heard().ends_with("for id-2")) << c.heard();
        until([&] { return used->ended; });
        EXPECT_EQ(used->requests, requests) << path;
    }
    EXPECT_EQ(host.counters.foreign_answers, 0U);
}

// It crosses the next request on its connection, and the right one follows it: which of the two is whose
// nobody knows on that connection any more.
TEST_F(LateCopies, ThatCrossTheNextRequestAreNobodys) {
    start_with_a();
    for (const std::string path : {"/once/x", "/read/x", "/stream/x"}) {
        SCOPED_TRACE(path);
        a.script = own;
        EXPECT_TRUE(ask(request_to(path, "id-1")).ends_with("for id-1"));
        const auto used = a.connections.back();
        const std::string copy = own(a.requests.back()).bytes;
        const std::size_t asked = a.requests.size();
        a.script = [&, copy](const auto& request) {
            const bool is_crossed = a.requests.size() == asked + 1;
            return Reply{(is_crossed ? copy : "") + own(request).bytes};
        };
        const std::string heard = ask(request_to(path, "id-2"));
        EXPECT_EQ(used->requests, 2U);
        EXPECT_EQ(heard.find("for id-1"), std::string::npos) << heard;
        const bool may_be_repeated = path == "/read/x";
        EXPECT_TRUE(heard.starts_with(may_be_repeated ? "HTTP/1.1 200 " : "HTTP/1.1 502 ")) << heard;
        EXPECT_EQ(a.requests.size(), asked + (may_be_repeated ? 2 : 1));
        until([&] { return used->ended; });
        EXPECT_TRUE(ask(request_to(path, "id-3")).ends_with("for id-3"));
        EXPECT_EQ(used->requests, 2U) << "its connection is not used again";
        end_connections();
    }
    EXPECT_EQ(host.counters.foreign_answers, 3U);
}

// ---- A server that is another -----------------------------------------------------------------------------

struct Misdirected : ForeignAnswers {
    static constexpr int kRequests = 40;
    int latest = 0;

    static Reply misdirected(const ScriptedServer::Request& request) {
        return Reply{sealed(request, "421 Misdirected Request")};
    }
    // A whole stream, as a route that keeps turns has it too.
    bool is_served(const std::string& path) {
        const std::size_t turn = turns.begun.size();
        RawClient& c = client();
        c.send(request_to(path, "id-" + std::to_string(++latest)));
        if (is_turn(path)) {
            begin(turn);
            until([&] { return turns.ended.size() > turn; });
            EXPECT_TRUE(turns.ended.back().turn.whole);
            turns.ended.back().done(true);
        }
        until([&] { return c.ended() || is_whole(c.heard()); });
        return c.heard().starts_with("HTTP/1.1 200 ") && is_whole(c.heard()) && c.has(kOneEvent);
    }
    // The process at a's address is another than listed: it is asked once, and never again by that name.
    // Then the list tells who it is.
    void play(const std::string& path) {
        start();
        a.script = misdirected;
        b.script = own_stream;
        for (int i = 0; i < kRequests; ++i) EXPECT_TRUE(is_served(path));
        EXPECT_EQ(a.requests.size(), 1U);
        EXPECT_EQ(b.requests.size(), static_cast<std::size_t>(kRequests));
        EXPECT_EQ(std::set<std::string>(replaced.begin(), replaced.end()), std::set<std::string>{"i-a"});
        EXPECT_EQ(turns.ended.size(), turns.begun.size());
        expect_newcomer_is_asked(path);
    }
    void expect_newcomer_is_asked(const std::string& path) {
        a.script = own_stream;
        a.requests.clear();
        b.requests.clear();
        const std::size_t connections = a.connections.size();
        list({{"i-new", a.address()}, {"i-b", b.address()}});
        for (int i = 0; i < kRequests; ++i) EXPECT_TRUE(is_served(path));
        EXPECT_EQ(arrived(), static_cast<std::size_t>(kRequests));
        EXPECT_GE(a.requests.size(), static_cast<std::size_t>(kRequests) / 4) << "as any other server";
        for (const auto& request : a.requests) EXPECT_EQ(text_of(request, "Wanted-Server"), "i-new");
        EXPECT_GT(a.connections.size(), connections) << "connections of before are not its own";
        EXPECT_EQ(std::count(replaced.begin(), replaced.end(), "i-new"), 0);
    }
};

TEST_F(Misdirected, StreamsGoToTheNextAndToTheNewcomerOnceItIsListed) { play("/stream/x"); }

TEST_F(Misdirected, TurnsGoToTheNextAndToTheNewcomerOnceItIsListed) { play("/turn/x"); }

}  // namespace
}  // namespace whinledge::data_plane::test
