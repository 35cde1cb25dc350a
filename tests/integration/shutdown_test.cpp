// The end of a process at each state of its clients' connections: what was taken is answered in time, what is
// read after our half-close is sent on to nobody, and no close takes an answer with it.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "rig/net_rig.hpp"
#include "rig/own_address.hpp"

namespace whinledge::test {
namespace {

// A connection of the application of which every byte and the way in which it ends count.
struct Peer {
    Peer(asio::io_context& io, const Tcp::endpoint& to, int receive_buffer = 0) : socket(io) {
        socket.open(Tcp::v4());
        if (receive_buffer) socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer));
        socket.connect(to);
    }
    // Whether the other side still takes what is sent; over loopback a reset is there at once.
    bool send(const std::string& bytes) {
        error_code failed;
        asio::write(socket, asio::buffer(bytes), failed);
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return !failed && error == 0;
    }
    void read() {
        socket.async_read_some(asio::buffer(chunk), [this](error_code failed, std::size_t size) {
            got.append(chunk.data(), size);
            if (!failed) return read();
            ended = true;
            clean = failed == asio::error::eof;
        });
    }
    bool answered(const std::string& status) const { return got.starts_with("HTTP/1.1 " + status); }

    Tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::string got;
    bool ended = false, clean = false;
};

struct Shutdown : NetRig {
    std::list<Peer> peers;
    bool done = false;

    ~Shutdown() override { peers.clear(); }
    Peer& peer(int receive_buffer = 0) {
        Peer& p = peers.emplace_back(io, sidecar->address(), receive_buffer);
        if (!receive_buffer) p.read();
        return p;
    }
    // One that has had an answer and rests.
    Peer& resting() {
        Peer& p = peer();
        p.send(kHealth);
        until([&] { return p.answered("200"); });
        p.got.clear();
        return p;
    }
    void drain() {
        sidecar->drain([this] { done = true; });
    }
    // Accepting ends ahead of the loop's next turn: what has come since its last lies unread.
    void end_accepting() {
        sidecar->drain([this] { done = true; }, 0);
    }
    void until_refused() {
        until([&] {
            error_code failed;
            Tcp::socket(io).connect(sidecar->address(), failed);
            return failed == asio::error::connection_refused;
        });
    }
    void until_over(Peer& p) {
        until([&] { return p.ended; });
        EXPECT_TRUE(p.clean) << "reset";
    }
};

// Nobody has read its end yet when accepting ends.
TEST_F(Shutdown, ARestingClientMayLeaveAsAcceptingEnds) {
    start_with_a();
    Peer& p = resting();
    drain();
    p.socket.close();
    sidecar->hurry();  // ends accepting now
    until([&] { return done; });
    EXPECT_EQ(sidecar->clients(), 0u);
}

TEST_F(Shutdown, ARestingClientHasAHalfCloseAndWhatCrossesItIsSentOnToNobody) {
    start_with_a();
    Peer& p = resting();
    drain();
    sidecar->hurry();
    EXPECT_TRUE(p.send(request("listen", "crosses"))) << "closed over it";
    EXPECT_TRUE(p.send("GET /lis")) << "closed over it";
    until_over(p);
    EXPECT_EQ(p.got, "");
    p.socket.close();
    until([&] { return done; });
    EXPECT_EQ(a.requests.size(), 0u);
}

// One that has said nothing yet is in the same place.
TEST_F(Shutdown, AClientThatHasOnlyConnectedHasAHalfClose) {
    start_with_a();
    Peer& p = peer();
    until([&] { return sidecar->clients() == 1; });
    drain();
    sidecar->hurry();
    EXPECT_TRUE(p.send(kHealth));
    EXPECT_TRUE(p.send(kHealth));
    until_over(p);
    EXPECT_EQ(p.got, "");
}

// All that the machine has of a request when accepting ends counts, read or not; also where its time runs out
// in the very turn of the loop that hears of the bytes.
TEST_F(Shutdown, WhatLiesUnreadAsAcceptingEndsIsTaken) {
    for (const Millis accepting : {0.0, 0.001}) {
        SCOPED_TRACE(accepting);
        peers.clear();
        a.requests.clear();
        start_with_a();
        Peer &rests = resting(), &half = peer(), &fresh = peer();
        const std::string body = request("deposit", "id-2", 3000, std::string(50000, 'x'));
        half.send(body.substr(0, body.size() - 1));
        until([&] { return sidecar->clients() == 3; });
        caught_up();
        if (accepting > 0) sidecar->drain([] {}, accepting);
        rests.send(request("listen", "id-1"));
        half.send(body.substr(body.size() - 1));
        fresh.send(request("listen", "id-3"));
        Peer& late = peer();  // connected, and not accepted
        late.send(request("listen", "id-4"));
        if (accepting <= 0) end_accepting();
        for (Peer& p : peers) {
            until_over(p);
            EXPECT_TRUE(p.answered("200")) << p.got;
            EXPECT_TRUE(p.got.ends_with("served"));
        }
        EXPECT_EQ(a.requests.size(), 4u);
    }
}

// A head or a body of which the rest is still coming: refused, and what comes is dropped under no reset.
TEST_F(Shutdown, HalfARequestIsRefusedAndItsRestIsDropped) {
    const std::string whole = request("deposit", "id-1", 3000, std::string(60000, 'x'));
    for (const std::size_t sent : {std::size_t{20}, whole.size() - 1}) {
        done = false;
        start_with_a();
        Peer& p = peer();
        p.send(whole.substr(0, sent));
        caught_up();
        drain();
        sidecar->hurry();
        until([&] { return p.answered("503"); });
        EXPECT_TRUE(p.send(whole.substr(sent)));
        EXPECT_TRUE(p.send(request("listen", "behind-it")));
        until_over(p);
        EXPECT_NE(p.got.find("Connection: close"), std::string::npos);
        p.socket.close();
        until([&] { return done; });
    }
    EXPECT_EQ(a.requests.size(), 0u);
}

// An attempt is out, and an early next request lies behind it: the one has its answer, the other goes to
// nobody.
TEST_F(Shutdown, WhatIsOutIsAnsweredAndWhatComesBehindItIsNotSentOn) {
    start_with_a();
    a.script = silence;
    Peer& p = peer();
    p.send(request("deposit", "id-1", 3000));
    until([&] { return a.requests.size() == 1; });
    end_accepting();
    p.send(request("deposit", "id-2", 3000));
    until_refused();
    EXPECT_FALSE(done);
    a.send(0, response("200 OK", "first"));
    until_over(p);
    EXPECT_TRUE(p.got.ends_with("first")) << p.got;
    EXPECT_TRUE(p.send("GET /lis"));
    p.socket.close();
    until([&] { return done; });
    EXPECT_EQ(a.requests.size(), 1u);
}

// A client that takes nothing for longer than a usual linger, and sends: its answer waits for it. Another one
// that has its answer and goes on holding its connection is ended then, by the same look at whose time is up.
TEST_F(Shutdown, AnAnswerThatIsNotTakenYetIsNotLostToWhatItsClientSends) {
    set_clock();
    start_with_a();
    const std::string large(60000, 'y');
    a.script = [&](const auto&) { return Reply{response("200 OK", large)}; };
    Peer &p = peer(2048), &taker = resting();
    p.send(request("listen", "id-1"));
    end_accepting();
    until([&] { return p.socket.available() > 0 && taker.ended; });
    EXPECT_EQ(sidecar->clients(), 2u);
    time.at += 900;
    until([&] { return sidecar->clients() == 1; });
    EXPECT_FALSE(done) << "it is on its way";
    p.send(request("listen", "id-2"));
    p.read();
    until_over(p);
    EXPECT_TRUE(p.got.ends_with(large)) << p.got.size();
    p.socket.close();
    until([&] { return done; });
    EXPECT_EQ(a.requests.size(), 1u);
}

// The same for as long as it may last.
TEST_F(Shutdown, AnAnswerThatIsNeverTakenHoldsTheEndUpForSoLongAtMost) {
    set_clock();
    start_with_a();
    const std::string large(60000, 'y');
    a.script = [&](const auto&) { return Reply{response("200 OK", large)}; };
    Peer& p = peer(2048);
    p.send(request("listen", "id-1"));
    end_accepting();
    until([&] { return p.socket.available() > 0; });
    until_refused();
    time.at += 2500;
    until([&] { return done; });
}

// Its answer was promised to be followed by others, and goes out in two parts, between which accepting ends.
TEST_F(Shutdown, AnAnswerThatPromisedMoreGoesOutAsAcceptingEnds) {
    const std::string next = request("listen", "id-2");
    for (const std::string& early : {std::string(), next, next.substr(0, 30)}) {
        SCOPED_TRACE(early.size());
        done = false;
        a.requests.clear();
        set_clock();
        start_with_a();
        const std::string large(60000, 'y');
        a.script = [&](const auto& r) {
            return Reply{response("200 OK", r["Request-Id"] == "id-1" ? large : "second")};
        };
        Peer& p = peer(2048);
        until([&] { return sidecar->clients() == 1; });
        const int little = 2048;
        ::setsockopt(other_side(p.socket), SOL_SOCKET, SO_SNDBUF, &little, sizeof little);
        p.send(request("listen", "id-1"));
        until([&] { return p.socket.available() > 0; });
        if (!early.empty()) p.send(early);
        caught_up();
        end_accepting();
        until_refused();
        p.read();
        until_over(p);
        const auto second = p.got.find(large) + large.size();
        ASSERT_LE(second, p.got.size());
        EXPECT_EQ(p.got.substr(0, p.got.find("\r\n\r\n")).find("Connection: close"), std::string::npos);
        const std::string rest = p.got.substr(second);
        if (early.empty()) {
            EXPECT_EQ(rest, "");
            EXPECT_TRUE(p.send(next)) << "closed over it";
        } else {
            EXPECT_TRUE(rest.starts_with(early == next ? "HTTP/1.1 200" : "HTTP/1.1 503")) << rest;
            EXPECT_NE(rest.find("Connection: close"), std::string::npos);
        }
        p.socket.close();
        until([&] { return done; });
        EXPECT_EQ(a.requests.size(), early == next ? 2u : 1u);
    }
}

// Who never ends its connection holds the end up for its linger, not for ever.
TEST_F(Shutdown, ClientsThatNeverCloseDoNotHoldTheEndUp) {
    set_clock();
    start_with_a();
    for (int i = 0; i < 5; ++i) resting();
    Peer& half = peer();
    half.send("GET /lis");
    drain();  // for its own time, by the loop's clock
    until([&] { return std::all_of(peers.begin(), peers.end(), [](const Peer& p) { return p.ended; }); });
    EXPECT_TRUE(half.answered("503"));
    EXPECT_EQ(sidecar->clients(), 6u);
    time.at += 300;
    until([&] { return sidecar->clients() == 1; });
    EXPECT_FALSE(done) << "it may be sending";
    time.at += 2200;
    until([&] { return done; });
}

// A connection that was accepted in the loop's last turn but one, and waits in its queue behind the end of
// accepting.
TEST(ShutdownOfADoor, AConnectionThatIsComingInAsAcceptingEndsIsAnswered) {
    asio::io_context io;
    std::optional<Front> front;
    int entered = 0;
    bool drained = false;
    Door::Budget budget{[&] {
                            // The first connection has come; the second is taken off the queue at once.
                            if (++entered == 2) asio::post(io, [&] { front->stop_accepting(); });
                            return true;
                        },
                        [&] { --entered; }};
    front.emplace(
        io, any_port, 8,
        Front::Callbacks{
            [](const auto&) { return std::nullopt; }, {}, [&] { drained = true; }, [](const std::string&) {}},
        budget);
    Peer first(io, front->address()), second(io, front->address());
    for (Peer* p : {&first, &second}) {
        p->send(kHealth);
        p->read();
    }
    run_until(io, [&] { return first.ended && second.ended; });
    for (const Peer* p : {&first, &second}) {
        EXPECT_TRUE(p->clean);
        EXPECT_TRUE(p->answered("200")) << p->got;
    }
    first.socket.close();
    second.socket.close();
    run_until(io, [&] { return drained; });
    EXPECT_EQ(entered, 0) << "descriptors that nobody gave back";
}

// A door whose guests say nothing.
struct PlainDoor : testing::Test {
    struct Guest final : Door::Guest {
        Guest(PlainDoor& rig_, Places::Id place, Tcp::socket socket)
            : Door::Guest(*rig_.door, place, std::move(socket)), rig(rig_) {}
        void welcome() override {
            Tcp::no_delay option;
            socket_.get_option(option);
            rig.no_delay = option.value();
        }
        bool spare() const override { return true; }
        void out_of_time() override {}
        void last_chance() override {
            if (++rig.chances == rig.throws_at) throw std::bad_alloc();
            close();
        }
        void readable(error_code) override {}
        void broken() noexcept override { close(); }
        void left() override {}
        PlainDoor& rig;
    };
    asio::io_context io;
    bool no_delay = false, drained = false;
    int chances = 0, throws_at = 0;
    std::optional<Door> door;
    PlainDoor() {
        door.emplace(
            io, any_port, 4,
            [this](Places::Id place, Tcp::socket socket) {
                return std::make_shared<Guest>(*this, place, std::move(socket));
            },
            [this] { drained = true; }, [](const std::string&) {});
    }
};

// Small writes are not held back, whatever the listener's profile.
TEST_F(PlainDoor, AcceptedConnectionsHaveNoDelay) {
    Peer peer(io, door->address());
    run_until(io, [&] { return door->guests() == 1; });
    EXPECT_TRUE(no_delay);
}

// Memory is wanting for one of three as accepting ends.
TEST_F(PlainDoor, WhatIsThrownForOneGuestDoesNotHoldTheEndUp) {
    Peer first(io, door->address()), second(io, door->address()), third(io, door->address());
    run_until(io, [&] { return door->guests() == 3; });
    throws_at = 2;
    door->stop_accepting();
    run_until(io, [&] { return drained; });
    EXPECT_EQ(chances, 3);
}

// ---- The program
// ------------------------------------------------------------------------------------------------

struct ShutdownOfTheProgram : testing::Test {
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("whinledge-shutdown-" + std::to_string(::getpid()));
    asio::io_context io;
    ScriptedServer agent{io, [](const auto&) { return Reply{}; }};
    ScriptedServer server{io, [](const auto&) { return Reply{response("200 OK", "served")}; }};
    Tcp::endpoint listen = own_endpoint(io, 0);
    pid_t child = 0;
    std::list<Peer> peers;

    ShutdownOfTheProgram() {
        std::filesystem::create_directories(folder);
        std::ofstream(folder / "config.json") << config_json(
            agent.address(), list_json(1, true, {{"s-a", server.address()}}), "1024", text_of(listen));
        child = ::fork();
        if (child == 0) {
            ::setenv("LB_CONFIG", (folder / "config.json").c_str(), 1);
            if (!std::freopen((folder / "log").c_str(), "w", stderr)) ::_exit(126);
            ::execl(WHINLEDGE, WHINLEDGE, static_cast<char*>(nullptr));
            ::_exit(127);
        }
        run_until(io, [&] {
            try {
                peer();
                return true;
            } catch (const boost::system::system_error&) {
                peers.clear();
                return false;
            }
        });
    }
    ~ShutdownOfTheProgram() override {
        peers.clear();
        if (child) ::kill(child, SIGKILL), ::waitpid(child, nullptr, 0);
        std::filesystem::remove_all(folder);
    }
    Peer& peer() {
        Peer& p = peers.emplace_back(io, listen);
        p.read();
        return p;
    }
    Peer& asking(const std::string& bytes) {
        Peer& p = peer();
        p.send(bytes);
        return p;
    }
    // What it meets at once when it has its next turn, in whatever time the test takes.
    void while_it_stands_still(const std::function<void()>& what) {
        ::kill(child, SIGSTOP);
        int status = 0;
        ::waitpid(child, &status, WUNTRACED);
        EXPECT_TRUE(WIFSTOPPED(status));
        what();
        ::kill(child, SIGCONT);
    }
    // Waits until the program has ended by itself.
    int status() {
        int status = -1;
        run_until(io, [&] { return ::waitpid(child, &status, WNOHANG) == child; });
        child = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
};

// All states at once, on a server that hangs from then on, with clients that go on sending wherever they can,
// a SIGHUP on top, and nobody who closes.
TEST_F(ShutdownOfTheProgram, EachStateOfAConnectionEndsInGoodOrder) {
    Peer &rests = asking(kHealth), &again = asking(kHealth);
    run_until(io, [&] { return rests.answered("200") && again.answered("200"); });
    again.got.clear();
    rests.got.clear();
    server.script = [](const auto&) { return Reply{}; };
    Peer& out = asking(request("deposit", "id-1", 1500));
    run_until(io, [&] { return server.requests.size() == 1; });
    const std::string body = request("deposit", "id-2", 1500, std::string(60000, 'x'));
    Peer &head = asking(body.substr(0, 30)), &half = asking(body.substr(0, body.size() - 1));
    // The program has read them: it answers in the order in which bytes come.
    Peer& after = asking(kHealth);
    run_until(io, [&] { return after.answered("200"); });
    const auto begun = std::chrono::steady_clock::now();
    Peer* last = nullptr;
    while_it_stands_still([&] {
        ::kill(child, SIGTERM);
        ::kill(child, SIGHUP);
        last = &asking(request("deposit", "id-3", 1500));
        again.send(request("deposit", "id-4", 1500));  // on a connection that is still open
    });
    Peer& fresh = *last;
    run_until(io, [&] { return server.requests.size() == 3; });
    const auto sent_on = server.requests.size();
    run_until(io, [&] { return rests.ended && head.ended && half.ended; });
    for (Peer* p : {&rests, &head, &half, &after}) p->send(request("deposit", "crosses", 1500));
    run_until(io, [&] { return out.ended && fresh.ended && again.ended && after.ended; });
    EXPECT_EQ(status(), 0);
    // The bound itself: 500 ms of accepting, 1.5 s for what is out, the longest linger, and the machine's
    // part.
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(3700 + 500));
    for (const Peer& p : peers) EXPECT_TRUE(p.clean || p.got.empty()) << p.got;
    EXPECT_EQ(rests.got, "");
    for (const Peer* p : {&head, &half}) EXPECT_TRUE(p->answered("503")) << p->got;
    for (const Peer* p : {&out, &fresh, &again}) EXPECT_TRUE(p->answered("504")) << p->got;
    EXPECT_EQ(server.requests.size(), sent_on);
}

// In haste: what is out fails, what has come whole by now has its end too, and nobody is reset under it.
TEST_F(ShutdownOfTheProgram, ASecondSigtermAnswersWhatIsOpen) {
    server.script = [](const auto&) { return Reply{}; };
    Peer &rests = asking(kHealth), &out = asking(request("deposit", "id-1", 3000));
    run_until(io, [&] { return rests.answered("200") && server.requests.size() == 1; });
    Peer& half = asking(request("deposit", "id-2", 3000, "a song").substr(0, 60));
    Peer* last = nullptr;
    while_it_stands_still([&] {
        ::kill(child, SIGTERM);
        last = &asking(kHealth);
    });
    run_until(io, [&] { return last->ended; });  // closed with its answer: it drains
    const auto begun = std::chrono::steady_clock::now();
    ::kill(child, SIGTERM);
    run_until(io, [&] { return out.ended && half.ended && rests.ended; });
    EXPECT_EQ(status(), 0);
    // The bound itself: half a second for who is left, and the machine's part.
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(2000));
    EXPECT_TRUE(out.answered("502")) << out.got;
    EXPECT_TRUE(half.answered("503")) << half.got;
    for (const Peer* p : {&rests, &out, &half}) EXPECT_TRUE(p->clean);
}

}  // namespace
}  // namespace whinledge::test
