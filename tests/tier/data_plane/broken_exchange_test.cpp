// Exchanges that break at each of their bytes: within the server's answer, within the request as its server
// reads it, and within the request as its client sends it. Each break has a proxy of its own, so that none
// finds servers or connections as another has left them.
#include <functional>
#include <memory>
#include <string>

#include "edge_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

enum class Break { close, reset, reset_once_heard };

std::string name_of(Break how) {
    if (how == Break::close) return "closed";
    return how == Break::reset ? "reset" : "reset once heard";
}

// The proxy of one break, with its servers.
struct OneExchange : OwnEdgeRig {
    // Both servers have a connection that rests.
    void warm_up() {
        constexpr int kMost = 50;
        const auto has_served = [](const ScriptedServer& server) { return !server.requests.empty(); };
        for (int i = 0; i < kMost && !(has_served(a) && has_served(b)); ++i) ask(get("/read/warm"));
        ASSERT_TRUE(has_served(a) && has_served(b));
    }
    // The first request has the answer's first `size` bytes and, but for Break::reset_once_heard, the end of
    // its connection; each further one has an answer of its own.
    void break_at(const std::string& answer, std::size_t size, Break how) {
        before = arrived();
        const std::string bytes = answer.substr(0, size);
        for (ScriptedServer* const server : {&a, &b})
            server->script = [this, server, bytes, how](const auto& request) {
                if (runs() > 1) return Reply{sealed(request, "200 OK", "again")};
                asked = server;
                return Reply{bytes, how == Break::close, how == Break::reset};
            };
    }
    // Once the proxy has read what came of the answer.
    void reset_once_heard() {
        until([&] { return runs() > 0; });
        io.poll();
        for (const auto& connection : asked->connections) reset(connection->socket);
    }
    RawClient& send_broken(const std::string& request, const std::string& answer, std::size_t size,
                           Break how) {
        break_at(answer, size, how);
        RawClient& c = client();
        c.send(request);
        return c;
    }
    std::string ask_broken(const std::string& request, const std::string& answer, std::size_t size,
                           Break how) {
        RawClient& c = send_broken(request, answer, size, how);
        if (how == Break::reset_once_heard) reset_once_heard();
        until([&] { return c.ended() || is_whole(c.heard()); });
        return c.heard();
    }
    std::size_t runs() const { return arrived() - before; }

    std::size_t before = 0;           // requests of the warming up
    ScriptedServer* asked = nullptr;  // the first
};

// One way to break an answer, and what came of it.
struct Broken {
    std::size_t size = 0;  // of the answer's bytes that came
    std::string heard;     // by the client
    std::size_t runs = 0;
};

// Breaks the answer at each of its bytes and behind the last, in each way, on connections that are fresh and
// on such as have served.
void at_each_byte(const std::string& request, const std::string& answer,
                  const std::function<void(const Broken&)>& check) {
    for (const Break how : {Break::close, Break::reset, Break::reset_once_heard})
        for (const bool warm : {false, true})
            for (std::size_t size = 0; size <= answer.size(); ++size) {
                SCOPED_TRACE(name_of(how) + (warm ? ", on a connection that has served" : "") + ", behind " +
                             std::to_string(size) + " of " + std::to_string(answer.size()) + " bytes");
                OneExchange exchange;
                exchange.start();
                if (warm) exchange.warm_up();
                Broken broken{size, exchange.ask_broken(request, answer, size, how), 0};
                broken.runs = exchange.runs();
                check(broken);
                if (testing::Test::HasFailure()) return;
            }
}

const std::string kAnswerFields = "Try-Id: id-1\r\nServer-Seal: s.1\r\n";
const std::string kOneEvent = "id: 1\ndata: one\n\n", kOtherEvent = "id: 2\ndata: two\n\n";

std::string answer_with_length(const std::string& status = "200 OK", const std::string& more = "") {
    return response(status, "the whole body", kAnswerFields + more);
}
std::string stream_begin() {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + kAnswerFields +
           "Transfer-Encoding: chunked\r\n\r\n";
}
std::string stream() { return stream_begin() + chunk(kOneEvent) + chunk(kOtherEvent) + kLastChunk; }
std::size_t head_size(const std::string& answer) { return answer.find("\r\n\r\n") + 4; }
bool is_status(const std::string& heard, const std::string& status) {
    return heard.starts_with("HTTP/1.1 " + status + " ") && EdgeRig::is_whole(heard);
}

// ---- Within the answer ------------------------------------------------------------------------------------

TEST(BrokenAnswers, OfWhatRunsOnceAreFailures) {
    for (const std::string& answer : {answer_with_length(), stream()})
        at_each_byte(EdgeRig::post("/once/x", "body"), answer, [&](const Broken& broken) {
            const bool whole = broken.size == answer.size();
            EXPECT_TRUE(is_status(broken.heard, whole ? "200" : "502")) << broken.heard;
            EXPECT_EQ(broken.runs, 1U);
        });
}

TEST(BrokenAnswers, OfWhatMayBeRepeatedAreAskedForAgain) {
    for (const std::string& answer : {answer_with_length(), stream()})
        at_each_byte(EdgeRig::get("/read/x"), answer, [&](const Broken& broken) {
            const bool whole = broken.size == answer.size();
            EXPECT_TRUE(is_status(broken.heard, "200")) << broken.heard;
            EXPECT_EQ(broken.heard.ends_with("\r\n\r\nagain"), !whole) << broken.heard;
            EXPECT_EQ(broken.runs, whole ? 1U : 2U);
        });
}

// Its client has the head as soon as its server has sent it: from there on a break is a cut.
TEST(BrokenAnswers, OfStreamsNeverLookComplete) {
    const std::string answer = stream();
    at_each_byte(EdgeRig::post("/stream/x", "body"), answer, [&](const Broken& broken) {
        EXPECT_EQ(broken.runs, 1U);
        if (broken.size < head_size(answer)) {
            EXPECT_TRUE(is_status(broken.heard, "502")) << broken.heard;
            return;
        }
        EXPECT_TRUE(broken.heard.starts_with("HTTP/1.1 200 ")) << broken.heard;
        EXPECT_EQ(EdgeRig::is_whole(broken.heard), broken.size == answer.size()) << broken.heard;
        EXPECT_EQ(broken.heard.find("again"), std::string::npos);
    });
}

TEST(BrokenAnswers, OfStreamsThatTellTheirLengthAreFailures) {
    const std::string answer = answer_with_length();
    at_each_byte(EdgeRig::post("/stream/x", "body"), answer, [&](const Broken& broken) {
        const bool whole = broken.size == answer.size();
        EXPECT_TRUE(is_status(broken.heard, whole ? "200" : "502")) << broken.heard;
        EXPECT_EQ(broken.runs, 1U);
    });
}

// The proof that it never ran stands in the head. Half a head proves nothing.
TEST(BrokenAnswers, OfARefusalProveItOnceTheirHeadIsWhole) {
    const std::string answer = answer_with_length("503 Service Unavailable", "Not-Run: 1\r\n");
    for (const char* const path : {"/once/x", "/stream/x"})
        at_each_byte(EdgeRig::post(path, "body"), answer, [&](const Broken& broken) {
            const bool proven = broken.size >= head_size(answer);
            EXPECT_TRUE(is_status(broken.heard, proven ? "200" : "502")) << broken.heard;
            EXPECT_EQ(broken.runs, proven ? 2U : 1U);
        });
}

// All servers refuse it: its client may come again only where each of them has proved it.
TEST(BrokenAnswers, OfRefusalsAreARefusalOnceTheirHeadsAreWhole) {
    const std::string answer = answer_with_length("503 Service Unavailable", "Not-Run: 1\r\n");
    for (std::size_t size = 0; size <= answer.size(); ++size) {
        SCOPED_TRACE(size);
        OneExchange exchange;
        exchange.start();
        const std::string bytes = answer.substr(0, size);
        exchange.a.script = exchange.b.script = [bytes](const auto&) { return Reply{bytes, true}; };
        const std::string heard = exchange.ask(EdgeRig::post("/once/x", "body"));
        const bool proven = size >= head_size(answer);
        EXPECT_TRUE(is_status(heard, proven ? "503" : "502")) << heard;
        EXPECT_EQ(heard.find("Retry-After: ") != std::string::npos, proven) << heard;
        EXPECT_EQ(exchange.arrived(), proven ? 2U : 1U);
        if (testing::Test::HasFailure()) return;
    }
}

TEST(BrokenAnswers, ThatTellAFailureArePassedOnOnlyWhole) {
    const std::string answer = answer_with_length("500 Internal Server Error");
    at_each_byte(EdgeRig::post("/once/x", "body"), answer, [&](const Broken& broken) {
        const bool whole = broken.size == answer.size();
        EXPECT_TRUE(is_status(broken.heard, whole ? "500" : "502")) << broken.heard;
        EXPECT_EQ(broken.runs, 1U);
    });
}

storage_plane::BegunTurn begun_turn() {
    storage_plane::BegunTurn turn;
    turn.status = storage_plane::BeginStatus::ok;
    return turn;
}

// Settled once, and whole only with its server's last byte.
TEST(BrokenAnswers, OfATurnAreSettledOnce) {
    const std::string answer = stream();
    const std::string request = EdgeRig::post(
        "/turn/x", "input", "Program: p\r\nSession: s\r\nBudget: 500\r\nToken-Count: 10,30\r\n");
    for (const Break how : {Break::close, Break::reset, Break::reset_once_heard})
        for (std::size_t size = 0; size <= answer.size(); ++size) {
            SCOPED_TRACE(name_of(how) + " behind " + std::to_string(size));
            const bool whole = size == answer.size();
            OneExchange exchange;
            exchange.start();
            RawClient& c = exchange.send_broken(request, answer, size, how);
            exchange.until([&] { return !exchange.turns.begun.empty(); });
            exchange.turns.begun[0].done(begun_turn());
            if (how == Break::reset_once_heard) exchange.reset_once_heard();
            exchange.until([&] { return !exchange.turns.ended.empty(); });
            EXPECT_EQ(exchange.turns.ended[0].turn.whole, whole);
            EXPECT_FALSE(is_status(c.heard(), "200")) << "its copies are not there yet";
            if (whole) exchange.turns.ended[0].done(true);
            exchange.until([&] { return c.ended() || EdgeRig::is_whole(c.heard()); });
            const bool begun = size >= head_size(answer);
            EXPECT_TRUE(c.heard().starts_with(begun ? "HTTP/1.1 200 " : "HTTP/1.1 502 ")) << c.heard();
            EXPECT_EQ(is_status(c.heard(), "200"), whole) << c.heard();
            EXPECT_EQ(exchange.turns.ended.size(), 1U);
            EXPECT_EQ(exchange.runs(), 1U);
            if (testing::Test::HasFailure()) return;
        }
}

// ---- Within the request, as its server reads it -----------------------------------------------------------

// Reads so many bytes of each request and ends its connection. Nothing of the request is read ahead.
class BreakingReader {
public:
    BreakingReader(asio::io_context& io, std::size_t bytes, bool reset)
        : acceptor_(io, whinledge::test::any_port), bytes_(bytes, '\0'), reset_(reset) {
        accept();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::size_t requests = 0;
    std::size_t waiting = 0;  // bytes of the latest one that were there

private:
    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            socket_ = std::make_shared<Tcp::socket>(std::move(socket));
            socket_->async_wait(Tcp::socket::wait_read, [this](error_code broken) {
                if (!broken) read();
            });
            accept();
        });
    }
    void read() {
        error_code ignored;
        waiting = socket_->available(ignored);
        asio::async_read(*socket_, asio::buffer(bytes_), [this](error_code, std::size_t) {
            ++requests;
            reset_ ? reset(*socket_) : socket_->close();
        });
    }
    Tcp::acceptor acceptor_;
    std::shared_ptr<Tcp::socket> socket_;
    std::string bytes_;
    bool reset_;
};

// The request goes to a server that reads `bytes` of it and ends the connection, with another one beside it.
struct BrokenRequest {
    std::string heard;
    std::size_t size = 0;       // of the request
    std::size_t elsewhere = 0;  // runs at the other server
};
BrokenRequest broken_behind(std::size_t bytes, bool reset, const std::string& request) {
    constexpr int kMost = 50;
    OneExchange exchange;
    BreakingReader reader(exchange.io, bytes, reset);
    exchange.configure();
    exchange.list({{"i-reader", reader.address()}, {"i-b", exchange.b.address()}});
    BrokenRequest broken;
    for (int i = 0; i < kMost && reader.requests == 0; ++i) {
        const std::size_t before = exchange.b.requests.size();
        broken.heard = exchange.ask(request);
        broken.elsewhere = exchange.b.requests.size() - before;
    }
    EXPECT_EQ(reader.requests, 1U);
    broken.size = reader.waiting;
    return broken;
}

void at_each_byte_read(const std::string& request, const std::function<void(const BrokenRequest&)>& check) {
    for (const bool reset : {false, true}) {
        std::size_t size = 1;
        for (std::size_t bytes = 0; bytes <= size; ++bytes) {
            SCOPED_TRACE(std::string(reset ? "reset" : "closed") + " behind " + std::to_string(bytes));
            const BrokenRequest broken = broken_behind(bytes, reset, request);
            size = broken.size;
            ASSERT_GT(size, request.size()) << "it is there whole";
            check(broken);
            if (testing::Test::HasFailure()) return;
        }
    }
}

TEST(BrokenRequests, WhoseServerMayHaveReadThemRunOnce) {
    for (const char* const path : {"/once/x", "/stream/x"})
        at_each_byte_read(EdgeRig::post(path, "body"), [](const BrokenRequest& broken) {
            EXPECT_TRUE(is_status(broken.heard, "502")) << broken.heard;
            EXPECT_EQ(broken.elsewhere, 0U);
        });
}

TEST(BrokenRequests, ThatMayBeRepeatedAreServedElsewhere) {
    at_each_byte_read(EdgeRig::get("/read/x"), [](const BrokenRequest& broken) {
        EXPECT_TRUE(is_status(broken.heard, "200")) << broken.heard;
        EXPECT_TRUE(broken.heard.ends_with("\r\n\r\nserved")) << broken.heard;
        EXPECT_EQ(broken.elsewhere, 1U);
    });
}

// ---- Within the request, as its client sends it -----------------------------------------------------------

using BrokenClients = EdgeRig;

TEST_F(BrokenClients, WhatItsClientDidNotSendWholeReachesNoServer) {
    start();
    const std::string with_length = post("/once/x", "body");
    const std::string in_chunks =
        "POST /once/x HTTP/1.1\r\nHost: app.example\r\nTry-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk("bo") + chunk("dy") + kLastChunk;
    for (const std::string& request : {with_length, in_chunks})
        for (const bool by_reset : {false, true})
            for (std::size_t size = 0; size < request.size(); ++size) {
                Tcp::socket socket(io);
                socket.connect(ingress->door().address());
                until([&] { return ingress->door().guests() == 1; });
                asio::write(socket, asio::buffer(request, size));
                io.poll();
                by_reset ? reset(socket) : socket.close();
                until([&] { return ingress->door().guests() == 0; });
                ASSERT_EQ(host.counters.taken, 0U) << "behind " << size << " of " << request;
                ASSERT_EQ(arrived(), 0U);
            }
    EXPECT_TRUE(ask(with_length).ends_with("served"));
}

}  // namespace
}  // namespace whinledge::data_plane::test
