// What 300 processes cost their discovery: calls a second, counted by a stand-in over loopback, while all is
// well, while it is down, and at its return. docs/design/discovery.md has the figures.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "discovery/platform.hpp"
#include "rig/net_rig.hpp"

namespace whinledge::test {
namespace {

using Steady = std::chrono::steady_clock;

// All of them, and what counts their calls, are in one loop. The sanitizers' has not the time for so many:
// calls are given up because they wait here, and made again. The bounds are each process's.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kProcesses = 100;
#else
constexpr std::size_t kProcesses = 300;
#endif

enum class State { well, silent, busy, resets };

// Discovery, or all agents together. It counts calls, or connections where it resets them.
class CountingDiscovery {
public:
    explicit CountingDiscovery(asio::io_context& io) : acceptor_(io, any_port) { accept(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::vector<Steady::time_point> calls;

    // Where it does not fall silent, watches end.
    void be(State now) {
        state_ = now;
        error_code ignored;
        if (now == State::busy || now == State::resets)
            for (const auto& c : open_)
                if (const auto connection = c.lock()) connection->socket.close(ignored);
        open_.clear();
    }

    std::size_t between(Steady::time_point from, Steady::time_point to) const {
        return static_cast<std::size_t>(std::lower_bound(calls.begin(), calls.end(), to) -
                                        std::lower_bound(calls.begin(), calls.end(), from));
    }
    // In any 100 ms that begin from then on.
    std::size_t peak(Steady::time_point from) const {
        std::size_t most = 0;
        for (auto at = std::lower_bound(calls.begin(), calls.end(), from); at != calls.end(); ++at)
            most = std::max(most, between(*at, *at + std::chrono::milliseconds(100)));
        return most;
    }

private:
    struct Connection {
        explicit Connection(Tcp::socket s) : socket(std::move(s)), hold(socket.get_executor()) {}
        Tcp::socket socket;
        asio::steady_timer hold;
        std::string unread;
    };
    void accept() {
        acceptor_.async_accept([this](error_code failed, Tcp::socket socket) {
            if (failed) return;
            if (state_ == State::resets) {
                calls.push_back(Steady::now());
                error_code ignored;
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
                socket.close(ignored);
            } else {
                const auto connection = std::make_shared<Connection>(std::move(socket));
                open_.push_back(connection);
                read(connection);
            }
            accept();
        });
    }
    void read(const std::shared_ptr<Connection>& c) {
        asio::async_read_until(c->socket, asio::dynamic_buffer(c->unread), "\r\n\r\n",
                               [this, c](error_code failed, std::size_t size) {
                                   if (failed) return;
                                   calls.push_back(Steady::now());
                                   const auto hold = c->unread.find("hold_ms=");
                                   const int millis =
                                       hold < size ? std::atoi(c->unread.c_str() + hold + 8) : 0;
                                   c->unread.erase(0, size);
                                   answer(c, millis);
                                   read(c);
                               });
    }
    void answer(const std::shared_ptr<Connection>& c, int hold) {
        if (state_ == State::busy) return send(c, response("503 Busy"));
        if (state_ != State::well) return;
        c->hold.expires_after(std::chrono::milliseconds(hold));
        c->hold.async_wait([this, c](error_code cancelled) {
            if (!cancelled && state_ == State::well) send(c, response("200 OK", list_json(41, false, {})));
        });
    }
    static void send(const std::shared_ptr<Connection>& c, const std::string& bytes) {
        error_code ignored;
        asio::write(c->socket, asio::buffer(bytes), ignored);
    }

    Tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Connection>> open_;
    State state_ = State::well;
};

struct Load : testing::TestWithParam<bool> {
    rlimit before{};
    asio::io_context io;
    CountingDiscovery discovery{io};
    std::list<Sidecar> sidecars;

    Load() {
        ::getrlimit(RLIMIT_NOFILE, &before);
        const rlimit enough{std::min<rlim_t>(before.rlim_max, 8192), before.rlim_max};
        if (before.rlim_cur < enough.rlim_cur) ::setrlimit(RLIMIT_NOFILE, &enough);
    }
    ~Load() override {
        sidecars.clear();
        io.stop();
        ::setrlimit(RLIMIT_NOFILE, &before);
    }
    bool asked() const { return GetParam(); }
    const Discovery::Limits& limits() const { return asked() ? Discovery::kAsked : Discovery::kPushed; }
    void until(const std::function<bool()>& reached) { run_until(io, reached); }
    void run_for(Millis millis) {
        const auto then = Steady::now() + std::chrono::microseconds(static_cast<int>(millis * 1000));
        until([&] { return Steady::now() >= then; });
    }
    // Not in step: over as long as a watch holds.
    void start_all() {
        std::string text = config_json(discovery.address(), list_json(41, true, {}));
        const std::string pushed = "\"pushed\"", seed = "8c1f30d27a5b";
        if (asked()) text.replace(text.find(pushed), pushed.size(), "\"on_request\"");
        const auto begun = Steady::now();
        for (std::size_t i = 0; i < kProcesses; ++i) {
            const auto due = begun + std::chrono::microseconds(static_cast<int>(
                                         limits().hold * 1000 * static_cast<double>(i) / kProcesses));
            until([&] { return Steady::now() >= due; });
            // Each waits by a seed of its own.
            const std::string own = std::to_string(100000000000 + i * 7919);
            text.replace(text.find("\"seed\":\"") + 8, seed.size(), own);
            sidecars.emplace_back(io, read_config(text));
        }
    }
    // Calls a second, of all, from now on.
    double rate(Millis over) {
        const auto from = Steady::now();
        run_for(over);
        const auto to = Steady::now();
        return static_cast<double>(discovery.between(from, to)) /
               std::chrono::duration<double>(to - from).count();
    }
    void tell(const char* what, double figure) {
        std::printf("%s, %s: %.0f\n", asked() ? "asked" : "pushed", what, figure);
        RecordProperty(what, static_cast<int>(figure));
    }
    // All watches hold; then it is down for all at one moment, until the waits have grown; then it returns.
    struct Bounds {
        double down;                 // calls a second of 300
        std::size_t peak_at_return;  // calls in any 100 ms
    };
    void expect(State state, const Bounds& bounds) {
        start_all();
        until([&] { return discovery.calls.size() >= 2 * kProcesses; });
        const auto gone = Steady::now();
        const std::size_t before = discovery.calls.size();
        discovery.be(state);
        until([&] { return discovery.calls.size() >= before + 4 * kProcesses; });
        const double down = rate(2000);
        const std::size_t peak_down = discovery.peak(gone);
        discovery.be(State::well);
        const auto returned = Steady::now();
        run_for(2500);
        tell("down, calls a second", down);
        tell("down, most calls in 100 ms", static_cast<double>(peak_down));
        tell("at the return, most calls in 100 ms", static_cast<double>(discovery.peak(returned)));
        const double most = bounds.down * kProcesses / 300;
        EXPECT_LE(down, most);
        EXPECT_GE(down, most / 3);  // they do come back
        EXPECT_LE(discovery.peak(returned), bounds.peak_at_return);
    }
};
INSTANTIATE_TEST_SUITE_P(Lists, Load, testing::Bool(),
                         [](const auto& p) { return p.param ? "asked" : "pushed"; });

TEST_P(Load, AtRest) {
    start_all();
    until([&] { return discovery.calls.size() >= 2 * kProcesses; });
    const auto from = Steady::now();
    const double calls = rate(2 * limits().hold);
    tell("at rest, calls a second", calls);
    tell("at rest, most calls in 100 ms", static_cast<double>(discovery.peak(from)));
    EXPECT_LE(calls, kProcesses * 1000 / limits().hold * 1.1);
    EXPECT_GE(calls, kProcesses * 1000 / limits().hold * 0.5);
}
// An agent is each process's own: what counts there is its part of these. One service bears them all, so
// there the processes must not come back in step.
constexpr std::size_t kInStep = kProcesses;

TEST_P(Load, DownAndSilent) {
    expect(State::silent, {asked() ? 280. : 1350., asked() ? kInStep / 2 : 2 * kInStep});
}
TEST_P(Load, DownWithA503) { expect(State::busy, {asked() ? 650. : 2200., asked() ? kInStep : 2 * kInStep}); }
TEST_P(Load, DownAndResetting) {
    expect(State::resets, {asked() ? 650. : 2200., asked() ? kInStep : 2 * kInStep});
}

}  // namespace
}  // namespace whinledge::test
