// Answers of servers in all ways in which they may end, through the daemon's http profile and through the
// platform's sidecar: what ended whole reaches its client as it was, and what was cut off never looks whole.
#include "rig/answer_ends.hpp"

#include "rig/service_rig.hpp"

namespace whinledge::test {
namespace {

const std::string kMark = "X-Mark: server\r\n";
constexpr std::size_t kBodyBytes = 3000;

bool is_servers(const fuzz::Message& message) { return !fuzz::values(message.fields, "x-mark").empty(); }

// One request of a client of HTTP/1.1 or HTTP/1.0, and what it makes of what comes back.
struct Daemon10Or11 : ServiceRig {
    void start_daemon(const std::string& buffer) {
        const std::string handling = "attempts = 1\nbuffer = \"" + buffer + "\"";
        start(listener() + pool("archive", {a.address(), b.address(), c.address()}) +
              route("archive", "/", "pool = \"archive\"", handling));
    }
    fuzz::Message ask(const AnswerEnding& ending, const std::string& version) {
        const Reply reply{ending.bytes(kMark, body), ending.closes(), ending.resets()};
        a.script = b.script = c.script = [reply](const auto&) { return reply; };
        RawClient& client = raw_client();
        client.send(ending.method + " /x HTTP/" + version +
                    "\r\nHost: www.example.org\r\nContent-Length: 4\r\n\r\nbody");
        const auto heard = [&] {
            fuzz::Cursor cursor(client.text);
            return fuzz::read_answer(cursor, ending.method == "HEAD", client.ended && client.clean);
        };
        until([&] { return client.ended || heard().got == fuzz::Got::whole; });
        return heard();
    }

    const std::string body = std::string(kBodyBytes, 'x');
};

// What counts as a failed attempt (route.handling.errors) is kept whole or not at all.
void expect_as_it_ended(const AnswerEnding& ending, const fuzz::Message& heard, const std::string& buffer,
                        const std::string& body) {
    ASSERT_TRUE(heard.head);
    const bool is_failure = ending.code() >= 500;
    const bool is_over_buffer = buffer == "1KiB" && ending.has_body();
    if (ending.is_whole() && (!(is_failure && is_over_buffer) || is_servers(heard))) {
        return expect_passed_on_whole(ending, heard, is_servers(heard), body);
    }
    if (is_servers(heard)) {  // it had been passed on by then
        EXPECT_FALSE(is_failure);
        return expect_visibly_cut_off(ending, heard, body);
    }
    EXPECT_EQ(heard.got, fuzz::Got::whole);
    EXPECT_EQ(heard.status, 502U);
    EXPECT_EQ(heard.body, "failed: it may have run\n");
}

// Guards against review/3 in the daemon, and against failures that lost their body and looked whole.
TEST_F(Daemon10Or11, AnswersAreWholeOrLookCutOff) {
    for (const std::string buffer : {"64KiB", "1KiB"}) {
        daemon.reset();
        start_daemon(buffer);
        for (const AnswerEnding& ending : answer_endings())
            for (const std::string version : {"1.1", "1.0"}) {
                SCOPED_TRACE(ending.name() + ", HTTP/" + version + ", buffer " + buffer);
                expect_as_it_ended(ending, ask(ending, version), buffer, body);
                if (HasFailure()) return;
                raw.clear();
            }
    }
}

// The platform's sidecar: only a status of 200 is an answer of its server, all else is the sidecar's own
// word.
TEST_F(NetRig, AnswersThatEndWholeAreServedAndOthersFail) {
    const std::string body(kBodyBytes, 'x');
    int id = 0;
    for (const AnswerEnding& ending : answer_endings()) {
        if (ending.method == "HEAD") continue;  // no request of the platform's
        SCOPED_TRACE(ending.name());
        sidecar.reset();
        start_with_a();
        const Reply reply{ending.bytes(kMark, body), ending.closes(), ending.resets()};
        a.script = [reply](const auto&) { return reply; };
        const auto answer = ask(request("deposit", "id-" + std::to_string(++id), 5000, "once"));
        const bool is_served = ending.is_whole() && ending.code() == 200;
        EXPECT_EQ(answer.result_int(), is_served ? 200U : 502U);
        EXPECT_EQ(answer.body(), is_served ? body : "");
        EXPECT_EQ(answer.count("X-Mark"), is_served ? 1U : 0U);
        if (HasFailure()) return;
        clients.clear();
    }
}

}  // namespace
}  // namespace whinledge::test
