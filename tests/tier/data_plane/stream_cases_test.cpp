// Hard cases of streams and turns at the proxy (docs/design/data-cases.md): clients that leave late, streams
// whose bytes are spoiled, prompts that fit nowhere, and a program that runs away.
#include <algorithm>

#include "edge_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

using storage_plane::BeginStatus;

struct StreamCases : EdgeRig {
    static std::string turn_of(const std::string& id, const std::string& tokens = "10,30") {
        return "POST /turn/x HTTP/1.1\r\nHost: app.example\r\nTry-Id: " + id +
               "\r\nProgram: p\r\nSession: s\r\nBudget: 500\r\nToken-Count: " + tokens +
               "\r\nContent-Length: 5\r\n\r\ninput";
    }
    RawClient& send_turn() {
        RawClient& c = client();
        c.send(turn_of("id-1"));
        until([&] { return !turns.begun.empty(); });
        return c;
    }
    void begin(std::size_t turn, BeginStatus status = BeginStatus::ok) {
        storage_plane::BegunTurn outcome;
        outcome.status = status;
        turns.begun[turn].done(outcome);
    }
    bool server_sees_it_closed() const {
        return std::any_of(a.connections.begin(), a.connections.end(), [](const auto& connection) {
            return connection->requests > 0 && connection->ended;
        });
    }
};

const std::string kOneEvent = "id: 1\ndata: one\n\n";

// ---- Clients that leave -----------------------------------------------------------------------------------

// It has the last event; the end waits for its copies. The turn stays what it is.
TEST_F(StreamCases, AClientThatLeavesBehindTheLastEventLeavesAWholeTurn) {
    start_with_a();
    a.script = [](const auto& request) {
        return Reply{stream_head(request) + chunk(kOneEvent) + kLastChunk};
    };
    RawClient& c = send_turn();
    begin(0);
    until([&] { return !turns.ended.empty() && c.has("data: one\n\n"); });
    c.close();
    until([&] { return ingress->door().guests() == 0; });
    turns.ended[0].done(true);
    io.poll();
    ASSERT_EQ(turns.ended.size(), 1U);
    EXPECT_TRUE(turns.ended[0].turn.whole);
    EXPECT_EQ(turns.ended[0].turn.record.output, "one\n");
    EXPECT_EQ(arrived(), 1U);
}

// Its server works on it and has said nothing: it hears of the leaving, and what may have run is settled
// once.
TEST_F(StreamCases, AClientThatLeavesATurnAheadOfItsFirstEvent) {
    start_with_a();
    a.script = [](const auto&) { return Reply{""}; };
    RawClient& c = send_turn();
    begin(0);
    until([&] { return arrived() == 1; });
    c.close();
    until([&] { return server_sees_it_closed(); });
    until([&] { return !turns.ended.empty(); });
    io.poll();
    ASSERT_EQ(turns.ended.size(), 1U);
    EXPECT_FALSE(turns.ended[0].turn.whole);
    EXPECT_EQ(arrived(), 1U) << "nothing new is sent after it";
}

// ---- Streams whose bytes are spoiled ----------------------------------------------------------------------

// Behind an event that its client has no chunk follows, but bytes that begin none. What was handed counts; no
// end is faked, and the bytes are nobody's.
TEST_F(StreamCases, BytesThatAreNoChunkBreakAStreamOff) {
    start_with_a();
    for (const std::string bad : {"zz\r\nnonsense\r\n", "-1\r\n\r\n", "ffffffffffffffffff\r\n"}) {
        turns.begun.clear();
        turns.ended.clear();
        a.script = [](const auto& request) { return Reply{stream_head(request) + chunk(kOneEvent)}; };
        RawClient& c = send_turn();
        begin(0);
        until([&] { return c.has("data: one\n\n"); });
        boost::asio::write(a.connections.back()->socket, boost::asio::buffer(bad));
        until([&] { return c.ended() && !turns.ended.empty(); });
        EXPECT_FALSE(c.has(kLastChunk)) << bad;
        EXPECT_FALSE(c.has("nonsense")) << bad;
        ASSERT_EQ(turns.ended.size(), 1U) << bad;
        EXPECT_FALSE(turns.ended[0].turn.whole) << bad;
        EXPECT_EQ(turns.ended[0].turn.tokens, 2) << bad;
        clients.clear();
    }
}

// They come together with the first event, before any of it was handed on: there is no answer.
TEST_F(StreamCases, BytesThatAreNoChunkBesideTheFirstEventAreNoAnswer) {
    start_with_a();
    a.script = [](const auto& request) {
        return Reply{stream_head(request) + chunk(kOneEvent) + "zz\r\nnonsense\r\n"};
    };
    RawClient& c = send_turn();
    begin(0);
    until([&] { return is_whole(c.heard()) || c.ended(); });
    until([&] { return !turns.ended.empty(); });
    EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 502 ")) << c.heard();
    EXPECT_FALSE(c.has("data: one"));
    EXPECT_FALSE(turns.ended[0].turn.whole);
    EXPECT_EQ(arrived(), 1U) << "it may have run";
}

// ---- Prompts larger than any server -----------------------------------------------------------------------

// Each server refuses it as though it were full. It goes to as many as the route allows, its client is told
// when to come back, and what fits is served as before.
TEST_F(StreamCases, APromptLargerThanAnyServerIsRefusedAndHarmsNobody) {
    start();
    const auto refuse_large = [](const auto& request) {
        const bool is_large = text_of(request, "Token-Count") == "5000,30";
        return is_large ? Reply{sealed(request, "503 Service Unavailable", "", "Not-Run: 1\r\n")}
                        : Reply{stream_head(request) + chunk(kOneEvent) + kLastChunk};
    };
    a.script = b.script = refuse_large;
    for (int round = 0; round < 25; ++round) {
        const std::size_t before = arrived(), begun_before = turns.begun.size();
        RawClient& c = client();
        c.send(turn_of("large-" + std::to_string(round), "5000,30"));
        until([&] { return turns.begun.size() > begun_before; });
        begin(begun_before);
        until([&] { return is_whole(c.heard()) || c.ended(); });
        EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 503 ")) << c.heard();
        EXPECT_TRUE(c.has("Retry-After: ")) << c.heard();
        EXPECT_LE(arrived() - before, 2U);
    }
    turns.ended.clear();
    RawClient& small = client();
    const std::size_t begun_before = turns.begun.size();
    small.send(turn_of("small"));
    until([&] { return turns.begun.size() > begun_before; });
    begin(begun_before);
    until([&] { return !turns.ended.empty(); });
    turns.ended.back().done(true);
    until([&] { return small.heard().ends_with(kLastChunk); });
    EXPECT_TRUE(small.heard().starts_with("HTTP/1.1 200 ")) << small.heard();
}

// ---- A program that runs away -----------------------------------------------------------------------------

// Hundreds of its sub-agents come at once. Those that its budget does not bear are told 402 and reach no
// server; who else calls is served meanwhile.
TEST_F(StreamCases, HundredsOfSubAgentsOfARunawayAtOnce) {
    constexpr std::size_t kSubAgents = 300, kBorne = 16;
    start();
    a.script = b.script = [](const auto& request) {
        return text_of(request, "Program").empty()
                   ? Reply{sealed(request, "200 OK", "served")}
                   : Reply{stream_head(request) + chunk(kOneEvent) + kLastChunk};
    };
    for (std::size_t i = 0; i < kSubAgents; ++i) client().send(turn_of("agent-" + std::to_string(i)));
    until([&] { return turns.begun.size() == kSubAgents; });
    EXPECT_EQ(arrived(), 0U);
    EXPECT_TRUE(ask(get("/read/x")).ends_with("served"));
    for (std::size_t i = 0; i < kSubAgents; ++i)
        begin(i, i < kBorne ? BeginStatus::ok : BeginStatus::budget_spent);
    until([&] { return turns.ended.size() == kBorne; });
    for (auto& ended : turns.ended) ended.done(true);
    const auto answered = [&](const std::string& status) {
        return static_cast<std::size_t>(
            std::count_if(clients.begin(), clients.end(), [&](const RawClient& c) {
                return c.heard().starts_with("HTTP/1.1 " + status) && is_whole(c.heard());
            }));
    };
    until([&] { return answered("402") == kSubAgents - kBorne && answered("200") == kBorne + 1; });
    EXPECT_EQ(arrived(), kBorne + 1);
    EXPECT_TRUE(ask(get("/read/x")).ends_with("served"));
}

}  // namespace
}  // namespace whinledge::data_plane::test
