// Connections between processes that break at each of their bytes, in each way: every call ends once, with
// its own reply or none, and the calls after it go on.
#include <gtest/gtest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control_types.h"
#include "rig/own_address.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::rpc {
namespace {

using Tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;
using boost::system::error_code;
using test::text_of;

constexpr Call<wire::Ballot, wire::Ballot> kEcho{"echo"};
using Done = std::function<void(Result<wire::Ballot>)>;
const Tcp::endpoint kAnyPort(boost::asio::ip::make_address("127.0.0.1"), 0);

wire::Ballot ballot(std::int64_t round) {
    wire::Ballot value;
    value.round = round;
    return value;
}

std::string reply_to(const Frame& call) {
    return encode_frame({FrameKind::reply, call.sequence, {}, call.body});
}

// More than the length that it gives to a frame which it falls into; read as a length itself it is too long.
constexpr std::size_t kJunkBytes = 128U << 10;
constexpr char kJunk = 1;

// How the connection breaks behind the bytes that were sent.
enum class Break { close, reset, half_close, silence, junk, another_copy, replies_swapped };
constexpr Break kBreaks[] = {Break::close,   Break::reset, Break::half_close,
                             Break::silence, Break::junk,  Break::another_copy};
const char* const kBreakNames[] = {"close", "reset", "half-close", "silence", "junk", "another copy"};

// A peer that reads whole calls. On its first connection it answers the first two with so many bytes of their
// replies and breaks off; what was held back by silence goes out ahead of the answer to the next call. On all
// other connections it echoes.
class BreakingPeer {
public:
    BreakingPeer(boost::asio::io_context& io, std::size_t cut, Break how, bool reversed)
        : io_(io), acceptor_(io, kAnyPort), cut_(cut), how_(how), reversed_(reversed) {
        accept();
    }
    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    int connections() const { return static_cast<int>(links_.size()); }
    // Whole replies within the bytes that went out.
    std::size_t whole = 0;

private:
    struct Connection {
        explicit Connection(Tcp::socket its_socket) : socket(std::move(its_socket)) {}
        Tcp::socket socket;
        FrameReader reader;
        std::array<char, 4096> buffer{};
        std::vector<Frame> held;
        bool broken = false, breaks = false;
        std::string late;
    };
    using Pointer = std::shared_ptr<Connection>;

    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            socket.set_option(Tcp::no_delay(true));
            links_.push_back(std::make_shared<Connection>(std::move(socket)));
            links_.back()->breaks = links_.size() == 1;
            read(links_.back());
            accept();
        });
    }
    void read(const Pointer& link) {
        link->socket.async_read_some(boost::asio::buffer(link->buffer),
                                     [this, link](error_code failed, std::size_t size) {
                                         if (failed) return;
                                         link->reader.append(link->buffer.data(), size);
                                         Frame frame;
                                         while (link->reader.next(frame) == FrameReader::Status::frame)
                                             heard(link, frame);
                                         read(link);
                                     });
    }
    void heard(const Pointer& link, const Frame& frame) {
        if (!link->breaks || link->broken) return send(link, std::exchange(link->late, {}) + reply_to(frame));
        link->held.push_back(frame);
        if (link->held.size() == 2) answer_and_break(link);
    }
    void answer_and_break(const Pointer& link) {
        link->broken = true;
        if (how_ == Break::replies_swapped) std::swap(link->held[0].sequence, link->held[1].sequence);
        std::string first = reply_to(link->held[0]), second = reply_to(link->held[1]);
        if (reversed_) std::swap(first, second);
        const std::string replies = first + second;
        const std::size_t cut = std::min(cut_, replies.size());
        whole = (cut >= first.size() ? 1U : 0U) + (cut >= replies.size() ? 1U : 0U);
        send(link, replies.substr(0, cut));
        error_code ignored;
        switch (how_) {
            case Break::close:
                link->socket.close(ignored);
                return;
            case Break::reset:
                link->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                link->socket.close(ignored);
                return;
            case Break::half_close:
                link->socket.shutdown(Tcp::socket::shutdown_send, ignored);
                return;
            case Break::silence:
                link->late = replies.substr(cut);
                return;
            case Break::junk:
                send(link, std::string(kJunkBytes, kJunk));
                return;
            case Break::another_copy:
                send(link, replies.substr(cut) + replies);
                whole = 2;
                return;
            case Break::replies_swapped:
                return;
        }
    }
    static void send(const Pointer& link, const std::string& bytes) {
        error_code ignored;
        boost::asio::write(link->socket, boost::asio::buffer(bytes), ignored);
    }

    boost::asio::io_context& io_;
    Tcp::acceptor acceptor_;
    std::size_t cut_;
    Break how_;
    bool reversed_;
    std::vector<Pointer> links_;
};

// Calls with numbers of their own: whoever is answered is answered with its own.
class Callers {
public:
    explicit Callers(Client& client) : client_(client) {}
    void call(const std::string& address, std::chrono::milliseconds timeout) {
        const std::int64_t number = ++made_;
        ends_.push_back(0);
        client_.call(address, kEcho, ballot(number), timeout,
                     Done([this, number](const Result<wire::Ballot>& reply) {
                         ++ends_[static_cast<std::size_t>(number) - 1];
                         ++ended;
                         if (!reply) return;
                         ++answered;
                         foreign += reply.value().round == number ? 0 : 1;
                     }));
    }
    void expect_one_end_each() const {
        for (const int ends : ends_) EXPECT_EQ(ends, 1);
        EXPECT_EQ(foreign, 0) << "answers to other calls";
    }
    int ended = 0, answered = 0, foreign = 0;

private:
    Client& client_;
    std::int64_t made_ = 0;
    std::deque<int> ends_;
};

void run_until(boost::asio::io_context& io, const std::function<bool()>& done) {
    io.restart();
    for (int turns = 0; turns < 20000 && !done(); ++turns) io.run_one_for(50ms);
    ASSERT_TRUE(done());
}

TEST(BrokenLinks, EachCallHasItsOwnReplyOrNoneWhereverTheyBreak) {
    constexpr std::size_t kBytes = 48;  // of two replies, and more
    int breaks = 0, whole_ones = 0;
    for (const Break how : kBreaks)
        for (std::size_t cut = 0; cut <= kBytes; ++cut) {
            const std::string where =
                std::string(kBreakNames[static_cast<int>(how)]) + " behind byte " + std::to_string(cut);
            boost::asio::io_context io;
            BreakingPeer peer(io, cut, how, cut % 2 == 0);
            Client client(io);
            Callers callers(client);
            const auto patience = how == Break::silence ? 20ms : 2000ms;
            callers.call(peer.address(), patience);
            callers.call(peer.address(), patience);
            run_until(io, [&] { return callers.ended == 2; });
            if (how == Break::reset)  // what the peer's kernel had not passed on is gone
                EXPECT_LE(callers.answered, static_cast<int>(peer.whole)) << where;
            else
                EXPECT_EQ(callers.answered, static_cast<int>(peer.whole)) << where;
            whole_ones += callers.answered;
            // An end that crosses the next call takes that call with it.
            const bool ends = how != Break::silence && how != Break::another_copy;
            if (ends) run_until(io, [&] { return client.stats().open == 0; });
            const int before = callers.answered;
            callers.call(peer.address(), 2000ms);
            callers.call(peer.address(), 2000ms);
            run_until(io, [&] { return callers.ended == 4; });
            EXPECT_EQ(callers.answered, before + 2) << where;
            callers.expect_one_end_each();
            ++breaks;
            if (::testing::Test::HasFailure()) return;
        }
    std::printf("[ figures  ] %d breaks, %d of %d replies came whole before them\n", breaks, whole_ones,
                2 * breaks);
}

TEST(BrokenLinks, ASwappedReplyIsNoticed) {
    boost::asio::io_context io;
    BreakingPeer peer(io, 4096, Break::replies_swapped, false);
    Client client(io);
    Callers callers(client);
    callers.call(peer.address(), 2000ms);
    callers.call(peer.address(), 2000ms);
    run_until(io, [&] { return callers.ended == 2; });
    EXPECT_EQ(callers.foreign, 2);
}

// A call that comes in part runs nothing, and its connection's end is nobody else's.
TEST(BrokenLinks, ACallThatComesInPartIsNotRun) {
    boost::asio::io_context io;
    Server server(io, kAnyPort);
    int ran = 0;
    server.on(kEcho, std::function([&](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) {
                  ran += request.round < 0 ? 1 : 0;
                  respond(request);
              }));
    Client client(io);
    Callers callers(client);
    const std::string call = encode_frame({FrameKind::call, 1, "echo", encode_body(ballot(-7))});
    int whole = 0;
    for (std::size_t cut = 0; cut <= call.size(); ++cut)
        for (const bool reset : {false, true}) {
            Tcp::socket stranger(io);
            stranger.connect(server.address());
            boost::asio::write(stranger, boost::asio::buffer(call.data(), cut));
            callers.call(text_of(server.address()), 2000ms);
            const int made = callers.ended + 1;
            run_until(io, [&] { return callers.ended == made; });
            if (reset) stranger.set_option(boost::asio::socket_base::linger(true, 0));
            stranger.close();
            whole += cut == call.size() ? 1 : 0;
        }
    callers.call(text_of(server.address()), 2000ms);
    const int made = callers.ended + 1;
    run_until(io, [&] { return callers.ended == made; });
    EXPECT_EQ(callers.answered, callers.ended);
    EXPECT_LE(ran, whole);
    callers.expect_one_end_each();
}

// An answer that comes once its caller's connection is gone reaches no other caller, though that one's
// connection may have the same descriptor and its call the same number.
TEST(BrokenLinks, ALateAnswerReachesNobodyElse) {
    boost::asio::io_context io;
    Server server(io, kAnyPort);
    std::vector<std::pair<wire::Ballot, Server::Responder<wire::Ballot>>> held;
    server.on(kEcho, std::function([&](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) {
                  held.emplace_back(request, respond);
              }));
    for (int round = 0; round < 20; ++round) {
        held.clear();
        {
            Client gone(io);
            gone.call(text_of(server.address()), kEcho, ballot(1000 + round), 2000ms,
                      Done([](const Result<wire::Ballot>&) { ADD_FAILURE() << "the client is gone"; }));
            run_until(io, [&] { return held.size() == 1; });
        }
        Client next(io);
        std::optional<std::int64_t> heard;
        next.call(text_of(server.address()), kEcho, ballot(round), 2000ms,
                  Done([&](const Result<wire::Ballot>& reply) { heard = reply ? reply.value().round : -1; }));
        run_until(io, [&] { return held.size() == 2; });
        held[0].second(held[0].first);
        held[1].second(held[1].first);
        run_until(io, [&] { return heard.has_value(); });
        EXPECT_EQ(*heard, round);
    }
}

// Another process has taken over the address: it has no such call, or answers for itself; nothing that was
// meant for the one before is run by it twice, and the connection that was handed on carries no reply of the
// one before.
TEST(BrokenLinks, AnAddressThatAnotherProcessHasTakenOver) {
    boost::asio::io_context io;
    std::optional<Server> server;
    server.emplace(io, kAnyPort);
    const Tcp::endpoint address = server->address();
    int ran = 0;
    std::vector<Server::Responder<wire::Ballot>> held;
    const auto hold = std::function([&](const wire::Ballot&, Server::Responder<wire::Ballot> respond) {
        ++ran;
        held.push_back(respond);
    });
    server->on(kEcho, hold);
    Client client(io);
    Callers callers(client);
    for (int call = 0; call < 3; ++call) callers.call(text_of(address), 2000ms);
    run_until(io, [&] { return held.size() == 3; });
    server.emplace(io, kAnyPort);  // ends the one before
    server.emplace(io, address);
    run_until(io, [&] { return callers.ended == 3; });
    EXPECT_EQ(callers.answered, 0);
    for (const auto& respond : held) respond(ballot(99));
    callers.call(text_of(address), 2000ms);
    run_until(io, [&] { return callers.ended == 4; });
    EXPECT_EQ(callers.answered, 0) << "the newcomer does not know the call";
    EXPECT_EQ(ran, 3);
    server->on(kEcho, std::function([](const wire::Ballot& request, Server::Responder<wire::Ballot> respond) {
                   respond(request);
               }));
    callers.call(text_of(address), 2000ms);
    run_until(io, [&] { return callers.ended == 5; });
    EXPECT_EQ(callers.answered, 1);
    callers.expect_one_end_each();
}

}  // namespace
}  // namespace whinledge::rpc
