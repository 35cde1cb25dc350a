// A stream that has begun and falls silent: it ends once its route's time is over, and not before; one that
// goes on is not cut.
#include <chrono>
#include <string>

#include "stream_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

constexpr Millis kTimeout = 300;   // of the routes below
constexpr Millis kMostHeld = 250;  // beyond it
constexpr int kEventMs = 20;       // between events of a stream that goes on

struct SilentStream : StreamRig {
    ScriptedServer::Script begins = [](const auto& request) { return Reply{stream_head(request)}; };

    void SetUp() override {
        StreamRig::SetUp();
        a.script = begins;
        std::string configuration = kConfiguration;
        const std::string stated = "\"kind\":\"streaming\",\"timeoutMs\":4000";
        const std::string wanted =
            "\"kind\":\"streaming\",\"timeoutMs\":" + std::to_string(static_cast<int>(kTimeout));
        for (auto at = configuration.find(stated); at != std::string::npos; at = configuration.find(stated))
            configuration.replace(at, stated.size(), wanted);
        configure(configuration);
        list({{"i-a", a.address()}});
    }
    static std::string event(int number) { return chunk("id: " + std::to_string(number) + "\ndata: x\n\n"); }
    // The server's next event has come to the client.
    void pass_event(RawClient& c, int number) {
        a.send(0, event(number));
        until([&] { return c.has("id: " + std::to_string(number) + "\n"); });
    }
    // Milliseconds until its client is told that it ends.
    Millis time_to_end(const RawClient& c, Millis from) {
        until([&] { return c.ended(); });
        return clock.now() - from;
    }
};

struct AfterEvents : SilentStream, testing::WithParamInterface<int> {};

TEST_P(AfterEvents, IsEndedOnceItsRoutesTimeIsOver) {
    const Millis from = clock.now();
    RawClient& c = send_begun(request_to("/stream/x", "id-1"), false);
    until([&] { return c.has("200 OK"); });
    for (int number = 1; number <= GetParam(); ++number) pass_event(c, number);
    const Millis took = time_to_end(c, from);
    EXPECT_GE(took, kTimeout);
    // A bound that a busy machine may miss is not the test's: without the mend it is 30 s.
    EXPECT_LE(took, 10 * (kTimeout + kMostHeld));
    EXPECT_FALSE(chunked_body(c.heard()).ended) << "it must not look whole";
    settled();
}

TEST_P(AfterEvents, ItsTurnIsSettledWithWhatItsClientHasBeenGiven) {
    RawClient& c = send_begun(request_to("/turn/x", "id-1", turn_fields()), true);
    until([&] { return c.has("200 OK"); });
    for (int number = 1; number <= GetParam(); ++number) pass_event(c, number);
    until([&] { return c.ended() && !turns.ended.empty(); });
    ASSERT_EQ(turns.ended.size(), 1u);
    constexpr std::int64_t kTokensOfAnEvent = 2;  // chunkTokens of the rig's configuration
    EXPECT_EQ(turns.ended[0].turn.tokens, GetParam() * kTokensOfAnEvent);
    settled();
}

TEST_P(AfterEvents, AClientThatLeavesAtThatInstantIsNobodysFailure) {
    const Millis from = clock.now();
    RawClient& c = send_begun(request_to("/stream/x", "id-1"), false);
    until([&] { return c.has("200 OK"); });
    for (int number = 1; number <= GetParam(); ++number) pass_event(c, number);
    until([&] { return clock.now() >= from + kTimeout; });
    c.close();
    settled();
    EXPECT_EQ(host.counters.taken, 1u);
    EXPECT_GE(host.counters.left + host.counters.failed, 1u);
    EXPECT_EQ(host.counters.served, 0u);
}

INSTANTIATE_TEST_SUITE_P(Events, AfterEvents, testing::Values(0, 1, 2, 5));

TEST_F(SilentStream, OneThatGoesOnIsNotCut) {
    RawClient& c = send_begun(request_to("/stream/x", "id-1"), false);
    until([&] { return c.has("200 OK"); });
    const Millis from = clock.now();
    boost::asio::steady_timer timer(io);
    int number = 0;
    const std::function<void()> go_on = [&] {
        if (clock.now() > from + 3 * kTimeout) return a.send(0, kLastChunk);
        a.send(0, event(++number));
        timer.expires_after(std::chrono::milliseconds(kEventMs));
        timer.async_wait([&](boost::system::error_code cancelled) {
            if (!cancelled) go_on();
        });
    };
    go_on();
    until([&] { return c.ended() || chunked_body(c.heard()).ended; });
    EXPECT_TRUE(chunked_body(c.heard()).ended) << "after " << number << " events";
    settled();
}

TEST_F(SilentStream, OneThatGoesOnBeyondItsTimeEndsWithItsFirstPause) {
    RawClient& c = send_begun(request_to("/stream/x", "id-1"), false);
    until([&] { return c.has("200 OK"); });
    const Millis from = clock.now();
    int number = 0;
    while (clock.now() < from + 2 * kTimeout) {
        pass_event(c, ++number);
        ASSERT_FALSE(c.ended());
    }
    const Millis took = time_to_end(c, clock.now());
    EXPECT_LE(took, 10 * kMostHeld);
    settled();
}

}  // namespace
}  // namespace whinledge::data_plane::test
