// What the parsing of answers holds today, byte for byte: tables of what servers may send, each entry with
// its one verdict, however its bytes are split on their way.
#include <algorithm>

#include "integration/answer_tables.hpp"
#include "rig/http_byte_peers.hpp"

namespace whinledge::test::http_bytes {
namespace {

struct AnswerBytes : testing::Test {
    asio::io_context io;
    struct End {
        Outcome outcome;
        Upstream::Response response;
    };

    static std::string text_of_end(const End& end) {
        switch (end.outcome) {
            case Outcome::completed:
                break;
            case Outcome::errored:
                return "errored";
            case Outcome::saturated:
                return "saturated";
            case Outcome::severed:
                return "severed";
            default:
                return "another outcome";
        }
        std::string text = "completed [" + shown(end.response.body()) + "]";
        for (const auto& field : end.response) {
            const std::string name(field.name_string()), value(field.value());
            if (name != "Content-Length" && name != "Transfer-Encoding" && !same_name(name, "Connection"))
                text += " {" + name + ": " + shown(value) + "}";
        }
        return text;
    }

    ScriptedServer server{io, [this](const auto&) {
                              return Reply{server.requests.size() == 1 ? "" : response("200 OK", "second")};
                          }};
    Log log;
    Upstream upstream{io, log, {}};
    std::vector<End> ends;
    std::size_t opened = 0;  // connections, before the exchange

    AnswerBytes() { upstream.set_server(1, server.endpoint(), 0); }

    ExchangeId start() {
        Upstream::Request request;
        request.head = HeadText::request("POST", "/deposit").add("Content-Length", "0").whole();
        return upstream
            .start(1, std::move(request),
                   [this](const Upstream::End& end) {
                       ends.push_back({end.outcome, end.answer.value_or(Upstream::Response{})});
                   })
            .exchange;
    }
    // An exchange on a new connection, up to where the server answers. Those of before end by resets:
    // thousands must not leave their ports waiting.
    ExchangeId first_request() {
        for (const auto& connection : server.connections) {
            error_code ignored;
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        }
        run_until(io, [&] { return upstream.stats().open == 0; });
        server.requests.clear();
        server.connections.clear();
        ends.clear();
        opened = upstream.stats().opened;
        const ExchangeId exchange = start();
        run_until(io, [&] { return server.requests.size() == 1; });
        return exchange;
    }
    // Each piece may be read before the next is written.
    void answer(const std::vector<std::string>& parts) {
        Tcp::socket& socket = server.connections.at(0)->socket;
        error_code ignored;  // the sidecar may have had enough
        socket.set_option(Tcp::no_delay(true), ignored);
        for (const std::string& part : parts) {
            asio::write(socket, asio::buffer(part), ignored);
            io.poll();
        }
    }

    // Nothing in what it allows says that the connection is used again.
    static bool ends_connection(const AnswerEntry& entry) {
        return std::none_of(entry.allowed.begin(), entry.allowed.end(),
                            [](const std::string& v) { return v == waits || v.ends_with(" again"); });
    }
    std::string verdict(const AnswerEntry& entry, const Cuts& cuts) {
        const ExchangeId first = first_request();
        answer(pieces(entry.bytes, cuts));
        if (entry.allowed[0] == waits && ends.empty()) {
            EXPECT_TRUE(upstream.stop(first));
            return waits;
        }
        const bool closes = ends_connection(entry);
        run_until(io, [&] { return !ends.empty() && (!closes || upstream.stats().open == 0); });
        if (ends.empty()) return waits;
        start();
        run_until(io, [&] { return ends.size() == 2; });
        if (ends.size() != 2 || text_of_end(ends[1]) != "completed [second]") return "no second";
        const bool again = server.connections.size() == 1;
        EXPECT_EQ(upstream.stats().opened - opened, again ? 1u : 2u);
        EXPECT_EQ(upstream.stats().open, 1u);
        return text_of_end(ends[0]) + (again ? " again" : " new");
    }
    std::string verdict_when_closed(const AnswerEntry& entry, const Cuts& cuts) {
        first_request();
        answer(pieces(entry.bytes, cuts));
        error_code ignored;  // the sidecar may have been first
        server.connections.at(0)->socket.shutdown(Tcp::socket::shutdown_send, ignored);
        run_until(io, [&] { return !ends.empty() && upstream.stats().open == 0; });
        return ends.empty() ? waits : text_of_end(ends[0]);
    }
    void check(const AnswerEntry& entry) {
        const std::string open =
            expect_one_verdict(entry, [&](const Cuts& cuts) { return verdict(entry, cuts); });
        const std::string closed =
            entry.when_closed.empty() ? open.substr(0, open.rfind(' ')) : entry.when_closed;
        for (const Cuts& cuts : {Cuts{}, every_byte(entry.bytes)}) {
            if (HasFatalFailure()) return;
            EXPECT_EQ(verdict_when_closed(entry, cuts), closed)
                << "in " << cuts.size() + 1 << " pieces, with a close behind them";
        }
    }
};

struct AnswerTable : AnswerBytes, testing::WithParamInterface<std::string> {
    void check_table() {
        check_entries(answer_tables.at(GetParam())(), [this](const AnswerEntry& entry) { check(entry); });
    }
};
TEST_P(AnswerTable, HasOneVerdictHoweverSplit) { check_table(); }
INSTANTIATE_TEST_SUITE_P(All, AnswerTable,
                         testing::Values("StatusLines", "Proofs", "Bodies", "ChunkedBodies"),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace whinledge::test::http_bytes
