// Streams whose answer is lost before its first event, does not come at all, or comes with events that are
// none: how often it runs, what its client is told, and how a turn is settled.
#include <functional>
#include <string>
#include <vector>

#include "stream_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

// A request for a stream, by the route that it takes.
struct Kind {
    std::string name;
    std::string path;
    std::string fields;
    bool is_turn;  // begun at the ledger and settled there
};

std::vector<Kind> kinds() {
    return {{"a kept turn", "/turn/x", StreamRig::turn_fields(), true},
            {"a turn that is not kept", "/unkept/x", StreamRig::turn_fields(), true},
            {"without a budget", "/unkept/x", "Program: p\r\nToken-Count: 10,30\r\n", false},
            {"a stream", "/stream/x", "", false}};
}

// ---- Lost before the first event --------------------------------------------------------------------------

// How a server that has taken all of a request breaks off.
struct Loss {
    std::string name;
    std::function<Reply(const ScriptedServer::Request&)> reply;
    bool head_came;       // whole, so that its client has it
    std::string body;     // of what came behind it
    std::int64_t tokens;  // that the turn is settled with
};

constexpr std::int64_t kTokensOfAnEvent = 2;  // chunkTokens of the rig's configuration

std::vector<Loss> losses() {
    const auto head = [](const auto& request) { return stream_head(request); };
    return {
        {"its end",
         [](const auto&) {
             return Reply{"", true};
         },
         false, "", 0},
        {"a reset",
         [](const auto&) {
             return Reply{"", false, true};
         },
         false, "", 0},
        {"half a head",
         [=](const auto& request) {
             return Reply{head(request).substr(0, head(request).size() / 2), true};
         },
         false, "", 0},
        {"a head but for its last byte",
         [=](const auto& request) {
             return Reply{head(request).substr(0, head(request).size() - 1), true};
         },
         false, "", 0},
        {"bytes that are no head",
         [](const auto&) {
             return Reply{"garbage\r\n\r\n", true};
         },
         false, "", 0},
        {"a head alone",
         [=](const auto& request) {
             return Reply{head(request), true};
         },
         true, "", 0},
        {"a chunk's size",
         [=](const auto& request) {
             return Reply{head(request) + "11\r\n", true};
         },
         true, "", 0},
        {"a part of an event",
         [=](const auto& request) {
             return Reply{head(request) + chunk("data: o"), true};
         },
         true, "data: o", kTokensOfAnEvent},
    };
}

struct LostStreams : StreamRig {
    // The other server would serve it: nothing but what is known of the first run keeps it from being asked.
    void lose(const Loss& loss) {
        const std::size_t arrived_before = arrived();
        a.script = b.script = [=, this, &loss](const auto& request) {
            return arrived() == arrived_before + 1
                       ? loss.reply(request)
                       : Reply{stream_head(request) + chunk(kFirstEvent) + kLastChunk};
        };
    }
    void expect_told(const RawClient& c, const Loss& loss) {
        if (!loss.head_came) {
            EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 502 ")) << c.heard();
            EXPECT_FALSE(c.has("Retry-After: ")) << c.heard();
            EXPECT_FALSE(c.has("Not-Run")) << c.heard();
            return;
        }
        EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 200 ")) << c.heard();
        EXPECT_TRUE(c.ended());
        EXPECT_EQ(chunked_body(c.heard()).bytes, loss.body);
        EXPECT_FALSE(chunked_body(c.heard()).ended);
    }
    void expect_settled_once(bool is_turn, std::int64_t tokens) {
        ASSERT_EQ(turns.ended.size(), is_turn ? 1U : 0U);
        if (!is_turn) return;
        EXPECT_FALSE(turns.ended[0].turn.whole);
        EXPECT_FALSE(turns.ended[0].turn.never_ran);
        EXPECT_EQ(turns.ended[0].turn.tokens, tokens);
    }
};

TEST_F(LostStreams, BeforeTheFirstEventAreNotRunAgain) {
    start();
    for (const Kind& kind : kinds())
        for (const Loss& loss : losses()) {
            SCOPED_TRACE(kind.name + ", lost by " + loss.name);
            turns.ended.clear();
            const std::size_t arrived_before = arrived();
            lose(loss);
            RawClient& c = send_begun(request_to(kind.path, "id-1", kind.fields), kind.is_turn);
            until([&] { return c.ended() || (!loss.head_came && is_whole(c.heard())); });
            settled();
            if (HasFatalFailure()) return;
            EXPECT_EQ(arrived(), arrived_before + 1);
            expect_told(c, loss);
            expect_settled_once(kind.is_turn, loss.tokens);
            clients.clear();
        }
}

// ---- A server that says nothing ---------------------------------------------------------------------------

struct SilentServers : LostStreams {
    static constexpr Millis kTimeout = 300;
    static constexpr Millis kLatest = kTimeout + 1000;  // on a machine that has other things to do

    void start_with_short_timeouts() {
        start();
        std::string text = kConfiguration;
        const std::string of_route = R"("kind":"streaming","timeoutMs":4000)";
        for (std::size_t at = text.find(of_route); at != std::string::npos; at = text.find(of_route, at))
            text.replace(at, of_route.size(), R"("kind":"streaming","timeoutMs":300)");
        auto parsed = serving::parse_configuration(text);
        ASSERT_TRUE(parsed) << parsed.error().message;
        in_force = parsed.value();
        pools.configure(*in_force);
    }
};

TEST_F(SilentServers, AreWaitedForUntilTheRoutesTimeoutAndNobodyElseIsAsked) {
    start_with_short_timeouts();
    a.script = b.script = [](const auto&) { return Reply{}; };
    for (const Kind& kind : kinds()) {
        SCOPED_TRACE(kind.name);
        turns.ended.clear();
        const std::size_t arrived_before = arrived(), ended_before = a.ended() + b.ended();
        const Millis sent = clock.now();
        RawClient& c = send_begun(request_to(kind.path, "id-1", kind.fields), kind.is_turn);
        until([&] { return c.ended() || is_whole(c.heard()); });
        const Millis took = clock.now() - sent;
        EXPECT_GE(took, kTimeout);
        EXPECT_LT(took, kLatest);
        EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 504 ")) << c.heard();
        EXPECT_FALSE(c.has("Retry-After: ")) << c.heard();
        settled();
        EXPECT_EQ(arrived(), arrived_before + 1);
        expect_settled_once(kind.is_turn, 0);
        until([&] { return a.ended() + b.ended() == ended_before + 1; });  // it hears that nobody waits
    }
}

// ---- Events that are none ---------------------------------------------------------------------------------

// The proxy counts events and keeps their text; what it makes of them changes nothing of what is passed on.
TEST_F(LostStreams, GarbledEventsInWholeChunksArePassedOnByteForByte) {
    using namespace std::string_literals;
    const std::vector<std::string> garbled = {
        "\0\0\0"s,
        "data\xff\xfe: no text\xc3\n\n",
        "dat: one\nid\n:\n\n\n\n",
        "\n\r\r\n\n\rdata: one\r\rdata",
        "0\r\n\r\n",
        "data: 5\r\n\r\n0\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "data: " + std::string(20000, 'x'),
        "\xef\xbb\xbf"
        "data: one\n\n\xef\xbb\xbf"
        "data: two\n\n",
    };
    start_with_a();
    for (const std::string& events : garbled)
        for (const std::size_t piece : {std::size_t{1}, std::size_t{3}, events.size()}) {
            if (events.size() / piece > 200) continue;  // as many chunks tell no more
            SCOPED_TRACE(events.substr(0, 40) + " by " + std::to_string(piece));
            std::string chunks;
            for (std::size_t at = 0; at < events.size(); at += piece)
                chunks += chunk(events.substr(at, piece));
            a.script = [&](const auto& request) { return Reply{stream_head(request) + chunks + kLastChunk}; };
            turns.ended.clear();
            RawClient& c = send_begun(request_to("/turn/x", "id-1", turn_fields()), true);
            until([&] {
                return !turns.ended.empty() && chunked_body(c.heard()).bytes.size() >= events.size();
            });
            if (HasFatalFailure()) return;
            EXPECT_FALSE(chunked_body(c.heard()).ended) << "its end is held back";
            EXPECT_TRUE(turns.ended[0].turn.whole);
            turns.ended.at(0).done(true);
            until([&] { return c.ended() || chunked_body(c.heard()).ended; });
            const ChunkedBody body = chunked_body(c.heard());
            EXPECT_EQ(body.bytes, events);
            EXPECT_TRUE(body.ended && !body.misframed);
            settled();
            EXPECT_EQ(turns.ended.size(), 1U);
            clients.clear();
        }
}

}  // namespace
}  // namespace whinledge::data_plane::test
