// Answers ahead of a request's end: a server's, while the proxy still writes a body that no buffer between
// them holds; and the proxy's own, to a client that goes on sending.
#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "edge_rig.hpp"

namespace whinledge::data_plane::test {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kLongBody = 24 << 20;  // more than both ends' buffers hold
const std::string kLongLength = "Content-Length: " + std::to_string(kLongBody) + "\r\n";

// Answers a long request on its first bytes, and a short one as any other server.
class HastyServer {
public:
    enum class Then { resets, reads_on };
    HastyServer(asio::io_context& io, std::string early, Then then)
        : acceptor_(io, whinledge::test::any_port), early_(std::move(early)), then_(then) {
        accept();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

    struct Connection {
        explicit Connection(Tcp::socket s) : socket(std::move(s)) {}
        Tcp::socket socket;
        std::array<char, 64 << 10> buffer{};
        std::size_t bytes = 0;
        std::string head;    // of a request, with what came with it
        bool ended = false;  // by the other side
        bool is_long = false;
    };
    std::vector<std::shared_ptr<Connection>> connections;
    std::size_t long_requests = 0, short_requests = 0;
    std::function<void()> on_long;  // called ahead of the early answer

private:
    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            connections.push_back(std::make_shared<Connection>(std::move(socket)));
            read(connections.back());
            accept();
        });
    }
    void read(const std::shared_ptr<Connection>& c) {
        c->socket.async_read_some(asio::buffer(c->buffer), [this, c](error_code failed, std::size_t size) {
            if (failed == asio::error::operation_aborted) return;
            c->ended = static_cast<bool>(failed);
            if (failed) return;
            heard(c, size);
        });
    }
    // What kind of request it is stands in its head, which may come in any pieces.
    void heard(const std::shared_ptr<Connection>& c, std::size_t size) {
        const bool is_first = !c->is_long;
        c->bytes += size;
        if (is_first) {
            c->head.append(c->buffer.data(), size);
            if (c->head.find("\r\n\r\n") == std::string::npos) return read(c);
            if (c->head.find(kLongLength) == std::string::npos) return answer_short(c);
        }
        c->is_long = true;
        if (is_first) ++long_requests;
        if (is_first) on_long();
        error_code ignored;
        if (is_first) asio::write(c->socket, asio::buffer(early_), ignored);
        if (then_ == Then::reads_on) return read(c);
        reset(c->socket);
    }
    void answer_short(const std::shared_ptr<Connection>& c) {
        ++short_requests;
        error_code ignored;
        asio::write(c->socket,
                    asio::buffer(response("200 OK", "its own", "Try-Id: id-1\r\nServer-Seal: s.1\r\n")),
                    ignored);
        c->bytes = 0;
        c->head.clear();
        read(c);
    }

    Tcp::acceptor acceptor_;
    std::string early_;
    Then then_;
};

std::string early(const std::string& status, const std::string& more = "") {
    return response(status, "early", "Try-Id: id-1\r\nServer-Seal: s.1\r\n" + more);
}

// One long request to a hasty server, with another one beside it.
struct HastyExchange : OwnEdgeRig {
    HastyExchange(const std::string& answer, HastyServer::Then then) : hasty(io, answer, then) {
        configure_for_long_bodies();
        // It goes to the hasty server, as nobody else is there yet; before that has answered there is
        // another.
        list({{"i-hasty", hasty.address()}});
        hasty.on_long = [this] { list({{"i-hasty", hasty.address()}, {"i-b", b.address()}}); };
    }
    void configure_for_long_bodies() {
        std::string configuration = kConfiguration;
        const std::string limit = "\"bodyBytes\":10000";
        configuration.replace(configuration.find(limit), limit.size(), "\"bodyBytes\":50000000");
        configure(configuration);
    }
    std::string ask_long(const std::string& path) {
        RawClient& c = client();
        c.send_as_taken(post(path, std::string(kLongBody, 'x')));
        until([&] { return c.ended() || is_whole(c.heard()); });
        return c.heard();
    }
    void ask_hasty(const std::string& path) {
        heard = ask_long(path);
        ASSERT_EQ(hasty.long_requests, 1U);
    }
    // Nothing more goes out where the early answer came from, and what comes next has its own.
    void expect_connection_is_over(HastyServer::Then then) {
        const auto is_long = [](const auto& connection) { return connection->is_long; };
        const auto used = std::find_if(hasty.connections.begin(), hasty.connections.end(), is_long);
        ASSERT_NE(used, hasty.connections.end());
        const auto connection = *used;
        if (then == HastyServer::Then::reads_on) until([&] { return connection->ended; });
        EXPECT_LT(connection->bytes, kLongBody);
        const std::size_t connections = hasty.connections.size();
        list({{"i-hasty", hasty.address()}});
        for (const char* const path : {"/once/next", "/read/next", "/stream/next"})
            EXPECT_TRUE(ask(get(path)).ends_with("\r\n\r\nits own"));
        EXPECT_EQ(hasty.short_requests, 3U);
        EXPECT_GT(hasty.connections.size(), connections);
    }
    std::size_t elsewhere() const { return b.requests.size(); }

    HastyServer hasty;
    std::string heard;  // by its client
};

// Whether the server resets behind its answer or reads on.
void play(const std::string& answer, const std::string& path,
          const std::function<void(const HastyExchange&)>& check) {
    using Then = HastyServer::Then;
    for (const Then then : {Then::resets, Then::reads_on}) {
        SCOPED_TRACE(path + (then == Then::resets ? ", reset" : ", read on"));
        HastyExchange exchange(answer, then);
        exchange.ask_hasty(path);
        if (testing::Test::HasFatalFailure()) return;
        check(exchange);
        exchange.expect_connection_is_over(then);
    }
}

// ---- A server's answer ahead of its request's end ---------------------------------------------------------

TEST(EarlyAnswers, ThatTellASuccessAreNone) {
    const auto expect_failure = [](const HastyExchange& exchange) {
        EXPECT_TRUE(exchange.heard.starts_with("HTTP/1.1 502 ")) << exchange.heard;
        EXPECT_EQ(exchange.heard.find("early"), std::string::npos) << exchange.heard;
        EXPECT_EQ(exchange.elsewhere(), 0U) << "it may have run";
    };
    play(early("200 OK"), "/once/x", expect_failure);
    play(early("200 OK"), "/stream/x", expect_failure);
}

TEST(EarlyAnswers, ThatTellASuccessOfWhatMayBeRepeatedLeadElsewhere) {
    play(early("200 OK"), "/read/x", [](const HastyExchange& exchange) {
        EXPECT_TRUE(exchange.heard.ends_with("\r\n\r\nserved")) << exchange.heard;
        EXPECT_EQ(exchange.elsewhere(), 1U);
        EXPECT_EQ(exchange.b.requests.back().body().size(), kLongBody);
    });
}

TEST(EarlyAnswers, ThatBeginAStreamBeginNone) {
    const std::string begun =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTry-Id: id-1\r\nServer-Seal: s.1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        chunk("data: early\n\n");
    play(begun, "/stream/x", [](const HastyExchange& exchange) {
        EXPECT_TRUE(exchange.heard.starts_with("HTTP/1.1 502 ")) << exchange.heard;
        EXPECT_EQ(exchange.heard.find("early"), std::string::npos) << exchange.heard;
        EXPECT_EQ(exchange.elsewhere(), 0U) << "it may have run";
    });
}

// The proof stands, and so does a server's verdict on a request that it did not want to read.
TEST(EarlyAnswers, ThatProveThatItNeverRanLeadElsewhere) {
    for (const char* const path : {"/once/x", "/stream/x"})
        play(early("503 Service Unavailable", "Not-Run: 1\r\n"), path, [](const HastyExchange& exchange) {
            EXPECT_TRUE(exchange.heard.ends_with("\r\n\r\nserved")) << exchange.heard;
            EXPECT_EQ(exchange.elsewhere(), 1U);
        });
}

TEST(EarlyAnswers, ThatTellAFaultOfTheRequestAreItsClients) {
    play(early("413 Payload Too Large"), "/once/x", [](const HastyExchange& exchange) {
        EXPECT_TRUE(exchange.heard.starts_with("HTTP/1.1 413 ")) << exchange.heard;
        EXPECT_TRUE(exchange.heard.ends_with("\r\n\r\nearly")) << exchange.heard;
        EXPECT_EQ(exchange.elsewhere(), 0U);
    });
}

// ---- The proxy's own, to a client that goes on sending ----------------------------------------------------

// Sends a piece again and again for as long as it can. It looks for an answer only once it has sent so much
// that one which was dropped, or overrun by a reset, would be lost.
class TirelessClient {
public:
    TirelessClient(asio::io_context& io, const Tcp::endpoint& address, const std::string& begin,
                   std::string piece)
        : socket_(io), piece_(std::move(piece)) {
        socket_.connect(address);
        asio::write(socket_, asio::buffer(begin));
        send();
    }
    const std::string& heard() const { return state_->heard; }
    bool ended() const { return state_->ended; }
    bool is_cut_off() const { return cut_off_; }  // nothing more can be sent

private:
    static constexpr std::size_t kBlindly = 4 << 20;
    void send() {
        asio::async_write(socket_, asio::buffer(piece_), [this](error_code failed, std::size_t size) {
            if (failed == asio::error::operation_aborted) return;
            sent_ += size;
            cut_off_ = static_cast<bool>(failed);
            if (!is_reading_ && (failed || sent_ >= kBlindly)) read();
            if (!failed) send();
        });
    }
    void read() {
        is_reading_ = true;
        socket_.async_read_some(asio::buffer(state_->buffer),
                                [this, s = state_](error_code failed, std::size_t size) {
                                    if (failed == asio::error::operation_aborted) return;
                                    s->heard.append(s->buffer.data(), size);
                                    failed ? static_cast<void>(s->ended = true) : read();
                                });
    }
    struct State {
        std::array<char, 4096> buffer{};
        std::string heard;
        bool ended = false;
    };
    Tcp::socket socket_;
    std::string piece_;
    std::size_t sent_ = 0;
    bool cut_off_ = false, is_reading_ = false;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

struct TirelessClients : EdgeRig {
    // Rejected early, it goes on sending till its connection is ended; others are served beside it.
    void play(const std::string& status, const std::string& begin, const std::string& piece) {
        SCOPED_TRACE(status);
        start();
        TirelessClient tireless(io, ingress->door().address(), begin, piece);
        until([&] { return is_whole(tireless.heard()); });
        EXPECT_TRUE(tireless.heard().starts_with("HTTP/1.1 " + status + " ")) << tireless.heard();
        EXPECT_NE(tireless.heard().find("Connection: close\r\n"), std::string::npos) << tireless.heard();
        EXPECT_FALSE(tireless.is_cut_off()) << "it may send on while its answer is on its way";
        EXPECT_TRUE(ask(get("/read/beside")).ends_with("served"));
        clients.clear();
        until([&] { return tireless.is_cut_off() && tireless.ended(); });
        until([&] { return ingress->door().guests() == 0; });
        EXPECT_TRUE(ask(get("/read/behind")).ends_with("served"));
        EXPECT_EQ(arrived(), 2U) << "of its own request nothing reached a server";
        a.requests.clear();
        b.requests.clear();
        clients.clear();
    }
    static std::string begin(const std::string& framing) {
        return "POST /once/x HTTP/1.1\r\nHost: app.example\r\nTry-Id: id-1\r\n" + framing + "\r\n\r\n";
    }
};

TEST_F(TirelessClients, WhoseBodyIsTooLongByItsLengthHaveTheirAnswer) {
    play("413", begin("Content-Length: 1073741824"), std::string(16 << 10, 'x'));
}

TEST_F(TirelessClients, WhoseBodyGrowsTooLongHaveTheirAnswer) {
    play("413", begin("Transfer-Encoding: chunked"), chunk(std::string(16 << 10, 'x')));
}

TEST_F(TirelessClients, WhoseHeadIsTooLongHaveTheirAnswer) {
    play("431", "GET /read/x HTTP/1.1\r\nHost: app.example\r\nX: ", std::string(16 << 10, 'x'));
}

}  // namespace
}  // namespace whinledge::data_plane::test
