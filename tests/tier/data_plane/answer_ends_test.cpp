// Answers of servers in all ways in which they may end, on each kind of route: what ended whole reaches its
// client as it was, and what was cut off never looks whole. Each has a proxy of its own.
#include "rig/answer_ends.hpp"

#include <memory>
#include <string>

#include "edge_rig.hpp"
#include "fuzz/http_reader.hpp"

namespace whinledge::data_plane::test {
namespace {

using whinledge::test::answer_endings;
using whinledge::test::AnswerEnding;
using whinledge::test::expect_passed_on_whole;
using whinledge::test::expect_visibly_cut_off;

const std::string kFields = "Try-Id: id-1\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n";
const std::string kEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

// The proxy of one answer, whose servers all answer alike.
struct OneAnswer : OwnEdgeRig {
    explicit OneAnswer(const AnswerEnding& ending) : to_head_(ending.method == "HEAD") {
        const Reply reply{ending.bytes(kFields, kEvents), ending.closes(), ending.resets()};
        a.script = b.script = [reply](const auto&) { return reply; };
        start();
    }

    // Until the client has a whole answer, or its connection has ended.
    void ask(const std::string& method, const std::string& path, const std::string& fields = "") {
        RawClient& asking = client();
        asking.send(method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nTry-Id: id-1\r\n" + fields +
                    "Content-Length: 4\r\n\r\nbody");
        until([&] {
            serve_turns();
            return asking.ended() || read(asking).got == fuzz::Got::whole;
        });
        heard = read(asking);
    }

    fuzz::Message heard;
    std::optional<storage_plane::TurnEnd> turn;  // as it was recorded or settled

private:
    fuzz::Message read(const RawClient& asking) const {
        fuzz::Cursor cursor(asking.heard());
        fuzz::Message message = fuzz::read_answer(cursor, to_head_, asking.ended());
        if (message.got == fuzz::Got::whole) {
            EXPECT_TRUE(cursor.at_end()) << asking.heard();
        }
        return message;
    }
    void serve_turns() {
        for (FakeTurns::Begun& begun : std::exchange(turns.begun, {})) {
            storage_plane::BegunTurn told;
            told.status = storage_plane::BeginStatus::ok;
            begun.done(told);
        }
        for (FakeTurns::Ended& ended : std::exchange(turns.ended, {})) {
            EXPECT_FALSE(turn.has_value()) << "a turn ends twice";
            turn = ended.turn;
            if (ended.done) ended.done(true);
        }
    }

    bool to_head_;
};

std::string value_of(const fuzz::Message& message, const std::string& name) {
    const auto found = fuzz::values(message.fields, name);
    return found.empty() ? "" : found.front();
}

// One of our own bears no server's seal.
bool is_servers(const fuzz::Message& message) { return value_of(message, "server-seal") == "s.1"; }

// Statuses that promise that the request never ran, which a server's status alone does not prove.
bool is_promise(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// `own_status`: of the proxy's own answer in place of a server's.
void expect_as_it_ended(const AnswerEnding& ending, const fuzz::Message& heard, unsigned own_status = 502) {
    ASSERT_TRUE(heard.head);
    if (ending.is_whole() && !is_promise(ending.code())) {
        return expect_passed_on_whole(ending, heard, is_servers(heard), kEvents);
    }
    if (is_servers(heard)) {  // it had been passed on by then
        EXPECT_FALSE(heard.until_close) << "its end can't be told from a break";
        return expect_visibly_cut_off(ending, heard, kEvents);
    }
    EXPECT_EQ(heard.got, fuzz::Got::whole);
    EXPECT_EQ(heard.status, own_status);
    EXPECT_EQ(heard.body, "");
}

// Guards against review/3: a success without a length whose body was lost on its way to its client.
struct AnswerEnds : testing::TestWithParam<const char*> {};

TEST_P(AnswerEnds, AreWholeOrLookCutOff) {
    for (const AnswerEnding& ending : answer_endings()) {
        SCOPED_TRACE(ending.name());
        OneAnswer one(ending);
        one.ask(ending.method, GetParam());
        // A repeatable request that has run may be asked again; whole promises end as failures all the same.
        const bool is_repeatable = std::string(GetParam()) == "/read/x";
        expect_as_it_ended(ending, one.heard, is_repeatable && !ending.is_whole() ? 503 : 502);
        if (HasFailure()) return;
    }
}

INSTANTIATE_TEST_SUITE_P(OnEachRoute, AnswerEnds,
                         testing::Values("/read/x", "/once/x", "/stream/x", "/unkept/x"),
                         [](const auto& info) {
                             const std::string path(info.param);
                             return path.substr(1, path.find('/', 1) - 1);
                         });

// A turn is kept if its answer ended whole, and with all of its events: a success that was cut off, and a
// failure, are no turns that others may go on from.
TEST(AnswerEndsOfTurns, AreKeptIfWhole) {
    for (const AnswerEnding& ending : answer_endings()) {
        SCOPED_TRACE(ending.name());
        OneAnswer one(ending);
        one.ask(ending.method, "/turn/x", "Program: p\r\nBudget: 500\r\nToken-Count: 10,30\r\n");
        expect_as_it_ended(ending, one.heard);
        ASSERT_TRUE(one.turn.has_value());
        const bool is_kept = ending.is_whole() && ending.is_success();
        EXPECT_EQ(one.turn->whole, is_kept);
        EXPECT_FALSE(one.turn->never_ran);
        if (is_kept) {
            EXPECT_EQ(one.turn->record.output, ending.has_body() ? "one\ntwo\n" : "");
        }
        if (HasFailure()) return;
    }
}

// An answer without a length on a connection that its server keeps open never ends: it is a failure once its
// route's time is over, whatever has come of it.
TEST(AnswerEndsThatNeverCome, AreFailuresOnceTheRoutesTimeIsOver) {
    for (const char* const status : {"200 OK", "201 Created", "404 Not Found", "500 Oops"}) {
        SCOPED_TRACE(status);
        OneAnswer one({"POST", status, AnswerEnding::Framing::none, AnswerEnding::End::kept});
        one.ask("POST", "/quick/x");
        EXPECT_EQ(one.heard.got, fuzz::Got::whole);
        EXPECT_TRUE(one.heard.status == 502U || one.heard.status == 504U) << one.heard.status;
        EXPECT_FALSE(is_servers(one.heard));
        EXPECT_EQ(one.heard.body, "");
    }
}

}  // namespace
}  // namespace whinledge::data_plane::test
