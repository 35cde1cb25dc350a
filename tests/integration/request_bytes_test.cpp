// What the parsing of requests holds today, byte for byte: tables of what clients may send, each entry with
// its one verdict, however its bytes are split on their way.
#include <algorithm>
#include <cstdlib>
#include <list>
#include <string_view>

#include "integration/request_tables.hpp"
#include "rig/http_byte_peers.hpp"

namespace whinledge::test::http_bytes {
namespace {

// Nothing to tell of: as it stands in each request that is passed on.
bool is_usual(const std::string& name, const std::string& value, const Message& message) {
    if (same_name(name, "Host")) return value == "app.svc";
    if (same_name(name, "Request-Timeout-Ms")) return value.size() <= 5 && std::atoi(value.c_str()) > 0;
    if (same_name(name, "Content-Length")) return value == std::to_string(message.body.size());
    if (same_name(name, "Request-Class")) return message.first.find(" /" + value) != std::string::npos;
    return same_name(name, "Request-Id");
}

// A request as a server saw it: first line, body, id, and each field that is not usual, comes again or lacks.
std::string text_of(const Message& message) {
    std::string text = shown(replaced(message.first, " HTTP/1.1", "")) + " [" + shown(message.body) + "] " +
                       message.field("Request-Id");
    for (auto at = message.fields.begin(); at != message.fields.end(); ++at) {
        const auto& [name, value] = *at;
        const bool again = std::any_of(message.fields.begin(), at,
                                       [&, &name = name](const auto& f) { return same_name(f.first, name); });
        if (again || !is_usual(name, value, message)) text += " {" + name + ": " + shown(value) + "}";
    }
    for (const char* name : {"Host", "Request-Class", "Request-Timeout-Ms"})
        if (message.field(name).empty()) text += " {no "s + name + "}";
    return text;
}

std::size_t answers_in(const std::string& verdict) {
    const std::string answers = verdict.substr(0, verdict.find(" <"));
    return static_cast<std::size_t>(std::count(answers.begin(), answers.end(), ' '));
}

// The application's end of a connection.
class Caller {
public:
    Caller(asio::io_context& io, const Tcp::endpoint& address, bool asks_head = false)
        : asks_head_(asks_head), connection_(std::make_shared<ByteConnection>(Tcp::socket(io))) {
        connection_->socket.connect(address);
        connection_->socket.set_option(Tcp::no_delay(true));
        connection_->came = [this] { take(); };
        connection_->read();
    }
    ~Caller() {
        connection_->came = nullptr;
        connection_->close();
    }
    Caller(const Caller&) = delete;

    ByteConnection& connection() { return *connection_; }
    bool ended() const { return connection_->ended; }
    bool told_to_go_on() const { return interim_ > 0; }
    std::vector<std::string> answers;  // those that are whole: status, and the body of a 200
    bool closes = false;               // as the last one says

private:
    void take() {
        while (const auto answer = take_message(connection_->got, std::exchange(asks_head_, false))) {
            const std::string status =
                answer->first.substr(0, 9) == "HTTP/1.1 " ? answer->first.substr(9, 3) : answer->first;
            if (status == "100") {
                ++interim_;
                continue;
            }
            answers.push_back(status == "200" ? status + ":" + answer->body : status);
            closes = same_name(answer->field("Connection"), "close");
        }
    }
    bool asks_head_;
    ByteConnectionPtr connection_;
    std::size_t interim_ = 0;
};

struct RequestBytes : NetRig {
    PlainServer server{io};
    std::size_t ids = 0;

    void SetUp() override { start({{"s-a", server.address()}}); }

    // As long as what it stands for.
    std::string fresh_id() {
        constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";
        const std::size_t n = ids++;
        return "~"s + digits[n / 1296 % 36] + digits[n / 36 % 36] + digits[n % 36];
    }
    // Each piece may be read before the next is written.
    void send(Caller& caller, const std::vector<std::string>& parts) {
        for (const std::string& part : parts) {
            caller.connection().send(part);
            io.poll();
        }
    }
    // A usual request: what the connection or the sidecar has had before must not change how it is read.
    bool serves(Caller& caller) {
        const std::string id = fresh_id(), passed = replaced("GET /listen/a [] <id>", "<id>", id);
        const std::size_t before = caller.answers.size();
        caller.connection().send(replaced(get(), "<id>", id));
        until([&] { return caller.ended() || caller.answers.size() > before; });
        const auto at = std::find_if(server.seen.begin(), server.seen.end(),
                                     [&](const Message& m) { return text_of(m) == passed; });
        if (caller.answers.size() != before + 1 || caller.answers.back() != "200:" + id ||
            at == server.seen.end())
            return false;
        server.seen.erase(at);
        return true;
    }
    // What servers have seen, once nothing is under way.
    std::string passed_on() {
        until([&] { return sidecar->clients() == 0 && sidecar->records() == 0; });
        EXPECT_EQ(sidecar->held().requests, 0u);
        std::string text;
        for (const Message& message : std::exchange(server.seen, {})) text += " < " + text_of(message);
        return text + (server.loose().empty() ? "" : " < loose: " + shown(server.loose()));
    }

    std::string answers_to(const RequestEntry& entry, const std::vector<std::string>& parts) {
        const std::size_t most = answers_in(entry.allowed[0]);
        Caller caller(io, sidecar->address(), entry.bytes.starts_with("HEAD "));
        send(caller, parts);
        until([&] { return caller.ended() || caller.answers.size() >= most; });
        if (caller.closes) until([&] { return caller.ended(); });
        const std::size_t count = caller.answers.size();
        std::string end = caller.closes ? "closed" : "cut";
        if (!caller.ended()) end = entry.leaves || serves(caller) ? "open" : "out of step";
        if (!caller.connection().got.empty()) end += ", loose: " + shown(caller.connection().got);
        std::string text;
        for (std::size_t i = 0; i < count; ++i) text += caller.answers[i] + " ";
        return text + end;
    }
    std::string verdict(const RequestEntry& entry, const Cuts& cuts) {
        const std::string id = fresh_id();
        const std::string answers = answers_to(entry, pieces(replaced(entry.bytes, "<id>", id), cuts));
        {
            Caller after(io, sidecar->address());
            EXPECT_TRUE(serves(after)) << "a usual request is served after it";
        }
        return replaced(answers + passed_on(), id, "<id>");
    }
};

struct RequestTable : RequestBytes, testing::WithParamInterface<std::string> {
    void check_table() {
        check_entries(request_tables.at(GetParam())(), [this](const RequestEntry& entry) {
            expect_one_verdict(entry, [&](const Cuts& cuts) { return verdict(entry, cuts); });
        });
    }
};
TEST_P(RequestTable, HasOneVerdictHoweverSplit) { check_table(); }
INSTANTIATE_TEST_SUITE_P(All, RequestTable,
                         testing::Values("RequestLines", "HeaderLines", "ProtocolRules", "Framing", "Chunks",
                                         "Sequences"),
                         [](const auto& info) { return info.param; });

// Requests of which nothing may be passed on before their last byte: who never sends it is told so, who ends
// or breaks the connection is forgotten.
TEST_F(RequestBytes, WhatIsNotWholeIsNotPassedOn) {
    const std::string body = "4\r\nabcd\r\n0\r\n\r\n", whole = chunked(body);
    std::vector<std::string> unfinished{"G",
                                        "GET /listen/a HTTP/1.1",
                                        "GET /listen/a HTTP/1.1\r",
                                        "GET /listen/a HTTP/1.1\r\n",
                                        get().substr(0, get().size() - 1),
                                        get().substr(0, get().size() - 2),
                                        get().substr(0, get().size() - 3),
                                        get("X").substr(0, get("X").size() - 2),
                                        sized("4", ""),
                                        sized("4", "a"),
                                        sized("4", "abc"),
                                        sized("65536", std::string(65535, 'b')),
                                        post("Expect: 100-continue\r\nContent-Length: 4\r\n"),
                                        chunked("4;a=\"b")};
    for (std::size_t size = 0; size < body.size(); ++size)
        unfinished.push_back(chunked(body.substr(0, size)));
    std::list<Caller> staying, ending;
    for (const std::string& bytes : unfinished)
        for (const Cuts& cuts : {Cuts{}, every_byte(bytes)})
            for (const int way : {0, 1, 2}) {
                Caller& caller = (way == 0 ? staying : ending).emplace_back(io, sidecar->address());
                send(caller, pieces(replaced(bytes, "<id>", fresh_id()), cuts));
                if (way == 1) caller.connection().socket.shutdown(Tcp::socket::shutdown_send);
                if (way == 2) caller.connection().close();
            }
    const auto ended = [](const Caller& caller) { return caller.ended(); };
    until([&] { return std::all_of(ending.begin(), ending.end(), ended); });
    for (const Caller& caller : ending) EXPECT_TRUE(caller.answers.empty());
    until([&] { return std::all_of(staying.begin(), staying.end(), ended); });
    for (const Caller& caller : staying) EXPECT_EQ(caller.answers, std::vector<std::string>{"408"});
    staying.clear();
    ending.clear();
    EXPECT_EQ(passed_on(), "");
}

TEST_F(RequestBytes, AContinueIsSentToThoseThatWaitForIt) {
    for (const auto& [name, head, body, told] : expecting()) {
        SCOPED_TRACE(name);
        Caller caller(io, sidecar->address());
        caller.connection().send(replaced(head, "<id>", fresh_id()));
        io.poll();
        if (told) until([&] { return caller.told_to_go_on() || caller.ended(); });
        caller.connection().send(body);
        until([&] { return !caller.answers.empty() || caller.ended(); });
        ASSERT_EQ(caller.answers.size(), 1u);
        EXPECT_EQ(caller.answers[0].substr(0, 4), "200:");
        EXPECT_EQ(caller.told_to_go_on(), told);
    }
}

}  // namespace
}  // namespace whinledge::test::http_bytes
