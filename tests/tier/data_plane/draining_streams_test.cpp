// SIGTERM in each state of a stream. The process goes on accepting for a moment, then takes nothing new and
// waits for what is open; at the end of its grace whatever is left fails at once.
#include <string>

#include "rig/own_address.hpp"
#include "stream_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

constexpr Millis kHaste = 500;  // of a drain in haste, for answers to be taken
const std::string kBothEvents = kFirstEvent + kSecondEvent;

struct DrainingStreams : StreamRig {
    // Nobody else listens there once it does no more.
    DrainingStreams() { listen_at = {whinledge::test::own_address(0), 0}; }

    // As Proxy::terminate() does; the test says when the time for accepting is over, and the grace.
    void terminate() { ingress->door().drain(60000); }
    void accepting_ends() { ingress->door().stop_accepting(); }
    void grace_ends() {
        ingress->door().hurry();
        engine.hurry();
    }
    bool takes_connections() {
        boost::system::error_code failed;
        Tcp::socket socket(io);
        socket.connect(ingress->door().address(), failed);
        return !failed;
    }

    // ---- States of a stream
    // ---------------------------------------------------------------------------------

    void serve_silently() {
        a.script = [](const auto&) { return Reply{}; };
    }
    // Its turn is being begun.
    RawClient& before_its_begin() {
        RawClient& c = client();
        c.send(request_to("/turn/x", "id-1", turn_fields()));
        until([&] { return turns.begun.size() == 1; });
        return c;
    }
    // Its server works on it and has said nothing.
    RawClient& before_its_first_event(const std::string& path = "/turn/x", bool is_turn = true) {
        serve_silently();
        RawClient& c = send_begun(request_to(path, "id-1", is_turn ? turn_fields() : ""), is_turn);
        until([&] { return a.requests.size() == 1; });
        return c;
    }
    RawClient& in_the_middle(const std::string& path = "/turn/x", bool is_turn = true) {
        RawClient& c = before_its_first_event(path, is_turn);
        a.send(0, stream_head(a.requests.at(0)) + chunk(kFirstEvent));
        until([&] { return chunked_body(c.heard()).bytes == kFirstEvent; });
        return c;
    }
    // All its events have been handed on; its copies are not there yet.
    RawClient& with_its_end_held_back() {
        RawClient& c = in_the_middle();
        a.send(0, chunk(kSecondEvent) + kLastChunk);
        until([&] { return turns.ended.size() == 1 && chunked_body(c.heard()).bytes == kBothEvents; });
        return c;
    }
    // It has ended, and its connection stays open.
    RawClient& at_rest() {
        RawClient& c = in_the_middle("/stream/x", false);
        a.send(0, chunk(kSecondEvent) + kLastChunk);
        until([&] { return chunked_body(c.heard()).ended; });
        EXPECT_FALSE(c.ended());
        return c;
    }

    // ---- Ends
    // ------------------------------------------------------------------------------------------------

    void server_ends_it() { a.send(0, chunk(kSecondEvent) + kLastChunk); }
    void server_answers_it() { a.send(0, stream_head(a.requests.at(0)) + chunk(kFirstEvent)); }
    void copies_are_there() {
        until([&] { return turns.ended.size() == 1; });
        turns.ended.at(0).done(true);
    }
    void expect_whole(const RawClient& c) {
        until([&] { return c.ended() || chunked_body(c.heard()).ended; });
        EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 200 ")) << c.heard();
        const ChunkedBody body = chunked_body(c.heard());
        EXPECT_EQ(body.bytes, kBothEvents);
        EXPECT_TRUE(body.ended && !body.misframed) << c.heard();
    }
    void expect_whole_turn(const RawClient& c) {
        expect_whole(c);
        ASSERT_EQ(turns.ended.size(), 1U);
        EXPECT_TRUE(turns.ended[0].turn.whole);
        EXPECT_EQ(arrived(), 1U);
    }
    void expect_broken_turn(std::int64_t tokens) {
        ASSERT_EQ(turns.ended.size(), 1U);
        EXPECT_FALSE(turns.ended[0].turn.whole);
        EXPECT_FALSE(turns.ended[0].turn.never_ran);
        EXPECT_EQ(turns.ended[0].turn.tokens, tokens);
        EXPECT_EQ(arrived(), 1U);
    }
    void expect_cut(const RawClient& c, const std::string& body) {
        EXPECT_TRUE(c.ended());
        EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 200 ")) << c.heard();
        EXPECT_EQ(chunked_body(c.heard()).bytes, body);
        EXPECT_FALSE(chunked_body(c.heard()).ended) << c.heard();
    }
};

// ---- Within the grace: those taken end whole --------------------------------------------------------------

enum class Accepting { goes_on, has_ended };

struct WithinTheGrace : DrainingStreams, testing::WithParamInterface<Accepting> {
    // SIGTERM, and in half of the tests the end of the time for accepting as well.
    void told_to_end() {
        terminate();
        if (GetParam() == Accepting::has_ended) accepting_ends();
        EXPECT_EQ(takes_connections(), GetParam() == Accepting::goes_on);
    }
    // The connection's end tells its client nothing new, and the process waits for nobody else.
    void expect_drained_after(const RawClient& c) {
        accepting_ends();
        until([&] { return c.ended() && drained; });
        EXPECT_FALSE(takes_connections());
    }
};
INSTANTIATE_TEST_SUITE_P(Accepting, WithinTheGrace, testing::Values(Accepting::goes_on, Accepting::has_ended),
                         [](const auto& accepting) {
                             return accepting.param == Accepting::goes_on ? "GoesOn" : "HasEnded";
                         });

TEST_P(WithinTheGrace, ATurnThatIsBeingBegunEndsWhole) {
    start_with_a();
    serve_silently();
    RawClient& c = before_its_begin();
    told_to_end();
    begin_turn(0);
    until([&] { return a.requests.size() == 1; });
    server_answers_it();
    server_ends_it();
    copies_are_there();
    expect_whole_turn(c);
    EXPECT_TRUE(c.has("Connection: close\r\n")) << c.heard();
    expect_drained_after(c);
}

TEST_P(WithinTheGrace, AStreamWithoutAnEventEndsWhole) {
    start_with_a();
    RawClient& c = before_its_first_event();
    told_to_end();
    server_answers_it();
    server_ends_it();
    copies_are_there();
    expect_whole_turn(c);
    EXPECT_TRUE(c.has("Connection: close\r\n")) << c.heard();
    expect_drained_after(c);
}

TEST_P(WithinTheGrace, AStreamInTheMiddleEndsWhole) {
    start_with_a();
    RawClient& c = in_the_middle();
    told_to_end();
    EXPECT_FALSE(drained);
    server_ends_it();
    copies_are_there();
    expect_whole_turn(c);
    expect_drained_after(c);
}

TEST_P(WithinTheGrace, AStreamWhoseEndIsHeldBackHasItWhenItsCopiesAreThere) {
    start_with_a();
    RawClient& c = with_its_end_held_back();
    told_to_end();
    io.poll();
    EXPECT_FALSE(drained);
    EXPECT_FALSE(chunked_body(c.heard()).ended);
    copies_are_there();
    expect_whole_turn(c);
    expect_drained_after(c);
}

TEST_P(WithinTheGrace, AConnectionAtRestEndsInGoodOrderOnceNothingIsTaken) {
    start_with_a();
    RawClient& c = at_rest();
    const std::string heard = c.heard();
    told_to_end();
    io.poll();
    expect_drained_after(c);
    EXPECT_EQ(c.heard(), heard);
}

// What comes on it while the process still accepts is taken, and is its last.
TEST_F(DrainingStreams, AConnectionAtRestHasOneMoreWhileTheProcessAccepts) {
    start_with_a();
    RawClient& c = at_rest();
    const std::size_t first = c.heard().size();
    terminate();
    c.send(request_to("/stream/x", "id-1"));
    until([&] { return a.requests.size() == 2; });
    a.send(0, stream_head(a.requests.at(1)) + chunk(kFirstEvent));
    until([&] { return chunked_body(c.heard().substr(first)).bytes == kFirstEvent; });
    server_ends_it();
    until([&] { return c.ended(); });
    const std::string second = c.heard().substr(first);
    EXPECT_NE(second.find("Connection: close\r\n"), std::string::npos) << second;
    EXPECT_EQ(chunked_body(second).bytes, kBothEvents);
    EXPECT_TRUE(chunked_body(second).ended);
    accepting_ends();
    until([&] { return drained; });
}

// ---- At the end of the grace: what is left fails at once --------------------------------------------------

struct AtTheEndOfTheGrace : DrainingStreams {
    void SetUp() override {
        DrainingStreams::SetUp();
        start_with_a();
    }
    // Before the process ends, which leaves answers so much time to be taken.
    void expect_told_at_once(const RawClient& c) {
        const Millis ended = clock.now();
        terminate();
        accepting_ends();
        grace_ends();
        until([&] { return c.ended() || is_whole(c.heard()); });
        EXPECT_LT(clock.now() - ended, kHaste);
    }
    void process_ends() {
        until([&] { return drained; });
        ingress.reset();
    }
};

TEST_F(AtTheEndOfTheGrace, ATurnThatIsBeingBegunIsRefusedAndReachesNoServer) {
    RawClient& c = before_its_begin();
    expect_told_at_once(c);
    EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 503 ")) << c.heard();
    EXPECT_TRUE(c.has("Retry-After: ")) << c.heard();
    EXPECT_TRUE(c.has("Connection: close\r\n")) << c.heard();
    begin_turn(0);
    settled();
    EXPECT_EQ(arrived(), 0U);
    ASSERT_EQ(turns.ended.size(), 1U);
    EXPECT_TRUE(turns.ended[0].turn.never_ran);
    process_ends();
}

// Its copies of the reservation come while answers are still taken.
TEST_F(AtTheEndOfTheGrace, ATurnThatBeginsInTheHasteReachesNoServer) {
    a.script = serve;
    RawClient& c = before_its_begin();
    terminate();
    grace_ends();
    begin_turn(0);
    until([&] { return drained; });
    EXPECT_EQ(arrived(), 0U);
    EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 503 ")) << c.heard();
    process_ends();
}

TEST_F(DrainingStreams, ARequestThatWaitsForAConfigurationIsRefusedAtTheEndOfTheGrace) {
    RawClient& c = client();
    c.send(request_to("/stream/x", "id-1"));
    until([&] { return ingress->counters().no_configuration == 1; });
    terminate();
    grace_ends();
    until([&] { return is_whole(c.heard()) || drained; });
    EXPECT_FALSE(drained);
    EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 503 ")) << c.heard();
    EXPECT_TRUE(c.has("Retry-After: ")) << c.heard();
}

// It may have run: nothing promises that it did not.
TEST_F(AtTheEndOfTheGrace, AStreamWithoutAnEventHasFailed) {
    RawClient& c = before_its_first_event("/stream/x", false);
    expect_told_at_once(c);
    EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 502 ")) << c.heard();
    EXPECT_FALSE(c.has("Retry-After: ")) << c.heard();
    until([&] { return a.ended() == 1; });
    settled();
    EXPECT_EQ(arrived(), 1U);
    process_ends();
}

TEST_F(AtTheEndOfTheGrace, ATurnWithoutAnEventHasFailedAndIsSettled) {
    RawClient& c = before_its_first_event();
    expect_told_at_once(c);
    EXPECT_TRUE(c.heard().starts_with("HTTP/1.1 502 ")) << c.heard();
    EXPECT_FALSE(c.has("Retry-After: ")) << c.heard();
    until([&] { return a.ended() == 1; });
    settled();
    expect_broken_turn(0);
    process_ends();
}

TEST_F(AtTheEndOfTheGrace, AStreamInTheMiddleIsCut) {
    RawClient& c = in_the_middle();
    expect_told_at_once(c);
    expect_cut(c, kFirstEvent);
    until([&] { return a.ended() == 1; });
    settled();
    expect_broken_turn(2);
    process_ends();
}

TEST_F(AtTheEndOfTheGrace, AStreamWhoseEndIsHeldBackMayHaveItInTheHaste) {
    RawClient& c = with_its_end_held_back();
    terminate();
    grace_ends();
    io.poll();
    EXPECT_FALSE(c.ended());
    copies_are_there();
    expect_whole_turn(c);
    process_ends();
}

// The process ends over it: the client sees a cut, and what storage says later is nobody's.
TEST_F(AtTheEndOfTheGrace, AStreamWhoseEndStaysHeldBackIsCutWithTheProcess) {
    RawClient& c = with_its_end_held_back();
    terminate();
    grace_ends();
    process_ends();
    until([&] { return c.ended(); });
    expect_cut(c, kBothEvents);
    turns.ended.at(0).done(true);
    io.poll();
    EXPECT_EQ(turns.ended.size(), 1U);
    EXPECT_FALSE(chunked_body(c.heard()).ended);
}

TEST_F(AtTheEndOfTheGrace, AConnectionAtRestEndsInGoodOrder) {
    RawClient& c = at_rest();
    const std::string heard = c.heard();
    terminate();
    grace_ends();
    until([&] { return c.ended(); });
    EXPECT_EQ(c.heard(), heard);
    process_ends();
}

}  // namespace
}  // namespace whinledge::data_plane::test
