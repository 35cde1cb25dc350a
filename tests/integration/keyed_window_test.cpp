// A repeat of a keyed request only while its servers surely still know the key: over real connections, with a
// clock that the test sets.
#include "http/transport.hpp"
#include "rig/http_call.hpp"

namespace whinledge::test {
namespace {

constexpr Millis kAim = 100, kWindow = 400, kBeginBy = kWindow - kAim;

struct KeyedCall final : PostCall {
    explicit KeyedCall(std::size_t size) : PostCall("/annotate", size) {}
    Upstream::Request outgoing(Millis time_left) const override {
        told.push_back(time_left);
        if (on_outgoing) on_outgoing(told.size());
        return PostCall::outgoing(time_left);
    }
    void retell(std::string& head, Millis time_left) const override {
        told.back() = time_left;
        PostCall::retell(head, time_left);
    }
    std::function<void(std::size_t attempt)> on_outgoing;
    mutable std::vector<Millis> told;  // how long each attempt's server is given
};

struct KeyedWindow : testing::Test {
    asio::io_context io;
    Log log;
    TestTime time;
    HttpTransport transport{io, log, {5000, 10000, 64, 0, 0, 0}};
    Engine engine{time, {}};
    ScriptedServer a{io, [this](const auto&) { return last = &a, script(); }};
    ScriptedServer b{io, [this](const auto&) { return last = &b, script(); }};
    std::function<Reply()> script;
    ScriptedServer* last = nullptr;  // asked
    Pool* pool = nullptr;
    Millis began = 0;

    ~KeyedWindow() override { io.stop(); }
    void start(Millis window = kWindow) {
        Pool::Options options;
        options.name = "p";
        options.decisions = pool_settings();
        RequestClass& keyed = options.decisions.classes[2];
        keyed.aim = kAim;
        keyed.dedup_window = window;
        pool = &engine.add_pool(std::move(options), transport, nullptr, {});
        pool->start();
        pool->members({1, true, {member("a", a.address()), member("b", b.address())}});
        began = time.at;
    }
    std::shared_ptr<KeyedCall> take(std::size_t size = 0) {
        const auto call = std::make_shared<KeyedCall>(size);
        pool->take(call, {2, ~0U, 5000, 0, false});
        return call;
    }
    void until(const std::function<bool()>& reached) { run_until(io, reached); }
    std::size_t arrived() const { return a.requests.size() + b.requests.size(); }
    void at(Millis since) {
        time.at = began + since;
        engine.run_due();
    }
    // The first attempt may have run, and its connection is reset when so much time has passed.
    Reply reset_at(Millis since) {
        time.at = began + since;
        return {"", false, true};
    }
    // Its second attempt is out, and its server silent.
    std::shared_ptr<KeyedCall> repeated() {
        script = [&] { return arrived() == 1 ? reset_at(10) : Reply{}; };
        const auto call = take();
        until([&] { return arrived() == 2; });
        return call;
    }
};

TEST_F(KeyedWindow, ARepeatGoesWhileItIsSureToBeginInTime) {
    start();
    script = [&] { return arrived() == 1 ? reset_at(kBeginBy - 1) : Reply{response("200 OK")}; };
    const auto call = take();
    until([&] { return call->end != End::none; });
    EXPECT_EQ(call->end, End::served);
    EXPECT_EQ(arrived(), 2u);
    // What its server may queue for is told to it: no longer than the window.
    EXPECT_EQ(call->told, (std::vector<Millis>{5000, kWindow - (kBeginBy - 1)}));
}

TEST_F(KeyedWindow, NoRepeatGoesThatMayHaveToQueuePastTheWindow) {
    start();
    script = [&] { return arrived() == 1 ? reset_at(kBeginBy) : Reply{response("200 OK")}; };
    const auto call = take();
    until([&] { return call->end != End::none; });
    EXPECT_EQ(call->end, End::failed) << "nor a refusal: its client would come too late as well";
    EXPECT_EQ(arrived(), 1u);
}

TEST_F(KeyedWindow, AWindowShorterThanAnAnswerTakesPermitsNoRepeat) {
    start(kAim);
    script = [&] { return arrived() == 1 ? reset_at(0) : Reply{response("200 OK")}; };
    const auto call = take();
    until([&] { return call->end != End::none; });
    EXPECT_EQ(call->end, End::failed);
    EXPECT_EQ(arrived(), 1u);
}

// What answers have taken of late counts where that is more than the aim.
TEST_F(KeyedWindow, SlowAnswersOfLateLeaveLessOfTheWindow) {
    start();
    script = [&] {
        time.at += 250;
        return Reply{response("200 OK")};
    };
    for (int i = 0; i < 30; ++i) {
        const auto call = take();
        until([&] { return call->end != End::none; });
    }
    began = time.at;
    const std::size_t before = arrived();
    script = [&] { return arrived() == before + 1 ? reset_at(200) : Reply{response("200 OK")}; };
    const auto call = take();
    until([&] { return call->end != End::none; });
    EXPECT_EQ(call->end, End::failed);
    EXPECT_EQ(arrived(), before + 1);
}

// What never ran starts no window.
TEST_F(KeyedWindow, WhatNeverRanStartsNoWindow) {
    start();
    a.close();
    b.close();
    const auto call = take();
    call->on_outgoing = [&](std::size_t) { time.at += kWindow; };
    until([&] { return call->end != End::none; });
    EXPECT_EQ(call->end, End::refused);
    EXPECT_GT(call->told.size(), 1u);
}

// The connect takes its time, and the window ends meanwhile.
TEST_F(KeyedWindow, AConnectThatComesUpTooLateCarriesNothing) {
    start();
    script = [&] { return arrived() == 1 ? reset_at(kBeginBy - 1) : Reply{response("200 OK")}; };
    const auto call = take();
    call->on_outgoing = [&](std::size_t attempt) {
        if (attempt == 2) time.at = began + kBeginBy;  // within its start: the connection is yet to come up
    };
    until([&] { return call->end != End::none; });
    EXPECT_EQ(call->end, End::failed);
    EXPECT_EQ(call->told.size(), 2u);
    EXPECT_EQ(arrived(), 1u);
}

// The connect takes its time, and comes up while the window is open: its server is told what is left then.
TEST_F(KeyedWindow, AConnectThatComesUpLateLeavesItsServerLess) {
    start();
    script = [&] { return arrived() == 1 ? reset_at(10) : Reply{response("200 OK")}; };
    const auto call = take();
    call->on_outgoing = [&](std::size_t attempt) {
        if (attempt == 2) time.at = began + kBeginBy - 1;
    };
    until([&] { return call->end != End::none; });
    EXPECT_EQ(call->end, End::served);
    EXPECT_EQ(call->told, (std::vector<Millis>{5000, kWindow - (kBeginBy - 1)}));
}

// Its last byte would come when its server may have forgotten: the body is more than all buffers between
// hold.
TEST_F(KeyedWindow, WhatIsNotWrittenWholeInTimeIsStopped) {
    start();
    Tcp::acceptor deaf(io, any_port);
    std::optional<Tcp::socket> accepted;
    bool begun = false;
    deaf.async_accept([&](error_code, Tcp::socket socket) {
        accepted.emplace(std::move(socket));
        accepted->async_wait(Tcp::socket::wait_read, [&](error_code) { begun = true; });
    });
    pool->members({2, true, {member("a", a.address())}});
    script = [&] {
        pool->members({3, true, {member("c", "127.0.0.1:" + std::to_string(deaf.local_endpoint().port()))}});
        return reset_at(10);
    };
    const auto call = take(64 << 20);
    until([&] { return begun; });
    at(kBeginBy - 1);
    EXPECT_EQ(call->end, End::none);
    at(kBeginBy);
    EXPECT_EQ(call->end, End::failed);
    EXPECT_EQ(transport.upstream().stats().open, 0u);
}

// It was written in time: it has the rest of the window for its answer.
TEST_F(KeyedWindow, WhatWasWrittenInTimeIsAnsweredUpToTheWindowsEnd) {
    start();
    const auto call = repeated();
    at(kBeginBy + 1);
    at(kWindow - 1);
    EXPECT_EQ(call->end, End::none);
    last->send(0, response("200 OK"));
    until([&] { return call->end != End::none; });
    EXPECT_EQ(call->end, End::served);
}

// Its server may have it in a queue still: it is withdrawn.
TEST_F(KeyedWindow, WhatIsUnansweredAtTheWindowsEndIsWithdrawn) {
    start();
    const auto call = repeated();
    at(kBeginBy + 1);
    EXPECT_EQ(call->end, End::none);
    at(kWindow);
    EXPECT_EQ(call->end, End::failed);
    until([&] { return last->ended() == 1; });
}

// A refusal makes its client come back when it is told to: that has to be in the window, too.
TEST_F(KeyedWindow, ARefusalIsNoneThatBringsItsClientBackTooLate) {
    for (const bool late : {false, true}) {
        SCOPED_TRACE(late);
        start();
        script = [&] {
            time.at = began + (late ? kBeginBy - 1 : 10);
            return Reply{response("500 Oops")};
        };
        const auto call = take();
        until([&] { return call->end != End::none; });
        EXPECT_EQ(call->end, late ? End::failed : End::refused);
        engine.remove_pool(*pool);
        engine.run_due();
    }
}

}  // namespace
}  // namespace whinledge::test
