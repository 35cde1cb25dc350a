// Clients that leave in the middle of a stream, and just as its last chunk goes out.
#include <string>
#include <vector>

#include "stream_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

constexpr Millis kSoonest = 500;  // within which a server's connection ends once its client has left

struct LeavingClients : StreamRig {
    // A stream of which the first event is there and nothing more comes.
    RawClient& open_stream(const std::string& path, const std::string& fields, bool is_turn) {
        a.script = [](const auto& request) { return Reply{stream_head(request) + chunk(kFirstEvent)}; };
        RawClient& c = send_begun(request_to(path, "id-1", fields), is_turn);
        until([&] { return chunked_body(c.heard()).bytes == kFirstEvent; });
        return c;
    }
    RawClient& open_turn() { return open_stream("/turn/x", turn_fields(), true); }
    // What one does that leaves takes until the server sees one more of its connections end.
    template <class Leave>
    Millis time_to_its_end(Leave leave) {
        const std::size_t ended_before = a.ended();
        const Millis left = clock.now();
        leave();
        until([&] { return a.ended() == ended_before + 1; });
        return clock.now() - left;
    }
};

// ---- In the middle ----------------------------------------------------------------------------------------

TEST_F(LeavingClients, InTheMiddleEndTheServersConnectionWithinHalfASecond) {
    for (const bool by_reset : {false, true}) {
        SCOPED_TRACE(by_reset ? "by a reset" : "by its end");
        start_with_a();
        turns.ended.clear();
        RawClient& c = open_turn();
        EXPECT_LT(time_to_its_end([&] { by_reset ? c.reset() : c.close(); }), kSoonest);
        settled();
        ASSERT_EQ(turns.ended.size(), 1U);
        EXPECT_FALSE(turns.ended[0].turn.whole);
        EXPECT_EQ(ingress->door().guests(), 0U);
    }
}

// What it has sent ahead lies in front of its connection's end.
TEST_F(LeavingClients, BehindARequestSentAheadEndTheServersConnectionAsSoon) {
    start_with_a();
    RawClient& c = open_turn();
    c.send(get("/read/next"));
    io.poll();
    EXPECT_LT(time_to_its_end([&] { c.close(); }), kSoonest);
    settled();
    EXPECT_EQ(arrived(), 1U) << "the request ahead is nobody's any more";
}

// The server writes as fast as it is read from, and its client reads nothing: both wait for room.
TEST_F(LeavingClients, ThatTakeNothingEndTheServersConnectionAsSoon) {
    start_with_a();
    a.script = [](const auto& request) { return Reply{stream_head(request)}; };
    Tcp::socket taker(io);
    taker.connect(ingress->door().address());
    boost::asio::write(taker, boost::asio::buffer(request_to("/stream/x", "id-1")));
    until([&] { return a.requests.size() == 1; });
    const std::string flood = chunk(std::string(64 << 20, 'x'));
    bool written = false;
    boost::asio::async_write(a.connections[0]->socket, boost::asio::buffer(flood),
                             [&](boost::system::error_code failed, std::size_t) { written = !failed; });
    // Nothing goes on any more once a wait brings nothing.
    until([&] { return taker.available() > 0 && io.run_one_for(std::chrono::milliseconds(50)) == 0; });
    EXPECT_FALSE(written);
    EXPECT_EQ(a.ended(), 0U);
    EXPECT_LT(time_to_its_end([&] { taker.close(); }), kSoonest);
    settled();
    EXPECT_FALSE(written);
}

// ---- As the last chunk goes out ---------------------------------------------------------------------------

// Its copies are there, and the last chunk is written to a connection whose client has just gone.
TEST_F(LeavingClients, AsTheLastChunkGoesOutLeaveAWholeTurnAndAServerThatGoesOn) {
    for (const bool by_reset : {false, true}) {
        SCOPED_TRACE(by_reset ? "by a reset" : "by its end");
        start_with_a();
        turns.ended.clear();
        RawClient& c = open_turn();
        a.send(0, kLastChunk);
        until([&] { return !turns.ended.empty(); });
        by_reset ? c.reset() : c.close();
        turns.ended.at(0).done(true);  // the loop has not seen it leave
        until([&] { return ingress->door().guests() == 0; });
        settled();
        ASSERT_EQ(turns.ended.size(), 1U);
        EXPECT_TRUE(turns.ended[0].turn.whole);
        EXPECT_EQ(a.ended(), 0U);
        a.script = serve;
        EXPECT_TRUE(ask(get("/read/x")).ends_with("served"));
        EXPECT_EQ(a.connections.size(), 1U) << "the same one";
        clients.clear();
    }
}

// The server's last chunk and the client's end come together, in either order: it has one end, and only one.
TEST_F(LeavingClients, AsTheLastChunkComesHaveOneEnd) {
    struct Kind {
        std::string path, fields;
        bool is_turn;
    };
    constexpr int kRounds = 20;
    start_with_a();
    for (const Kind& kind : {Kind{"/turn/x", turn_fields(), true}, Kind{"/unkept/x", turn_fields(), true},
                             Kind{"/stream/x", "", false}})
        for (int round = 0; round < kRounds; ++round) {
            SCOPED_TRACE(kind.path + ", round " + std::to_string(round));
            turns.ended.clear();
            const auto before = host.counters;
            const std::size_t arrived_before = arrived();
            RawClient& c = open_stream(kind.path, kind.fields, kind.is_turn);
            const auto send_last = [&] { a.send(a.connections.size() - 1, kLastChunk); };
            if (round % 2 == 0) send_last();
            round % 4 < 2 ? c.close() : c.reset();
            if (round % 2 != 0) send_last();
            until([&] { return ingress->door().guests() == 0; });
            settled();
            const auto& after = host.counters;
            EXPECT_EQ(after.served + after.left - before.served - before.left, 1U);
            EXPECT_EQ(after.failed, before.failed);
            EXPECT_EQ(arrived(), arrived_before + 1);
            ASSERT_EQ(turns.ended.size(), kind.is_turn ? 1U : 0U);
            clients.clear();
        }
}

}  // namespace
}  // namespace whinledge::data_plane::test
