// All proxies of a tier at one server, each with as many connections as it may have: whether the server is
// ever run over, while proxies restart, go and come back. Simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "control_plane/proxy_census.hpp"
#include "data_plane/connection_share.hpp"

namespace whinledge::data_plane {
namespace {

using control_plane::Instant;
using control_plane::ProxyCensus;
using control_plane::Span;

constexpr int kStep = 50;          // ms
constexpr int kWatchEvery = 1000;  // of the main channel: feed.cpp
constexpr int kHelloEvery = 1000;
constexpr std::size_t kControls = 5;
constexpr std::size_t kMostDirect = 128;  // proxies; beyond that each watches two control processes

struct ControlProcess {
    explicit ControlProcess(Instant started) : census(started) {}
    std::vector<int> heard;  // time of the last watch, by proxy; negative: never
    ProxyCensus census;
};

struct SimulatedProxy {
    bool up = false;
    bool ready = false;  // a control process has answered it
    int started = 0;
    ProxyCount count{0};
    std::deque<std::pair<int, std::size_t>> shares;  // of late, with their times
};

class Herd {
public:
    // `work`: ms for which a connection that is at work goes on beyond a smaller share.
    Herd(std::size_t proxies, std::size_t connections, int work = 0)
        : proxies_(proxies), connections_(connections), work_(work) {
        restart_controls();
    }

    void restart_controls() {
        controls_.assign(kControls, ControlProcess(instant()));
        for (ControlProcess& control : controls_) control.heard.assign(proxies_.size(), -1);
    }
    void start(std::size_t from, std::size_t to) {
        for (std::size_t i = from; i < to; ++i) {
            proxies_[i] = SimulatedProxy();
            proxies_[i].up = true;
            proxies_[i].started = now_;
            proxies_[i].count = ProxyCount(now_);
        }
    }
    void stop(std::size_t from, std::size_t to) {
        for (std::size_t i = from; i < to; ++i) proxies_[i].up = false;
    }
    void run(int ms) {
        for (const int end = now_ + ms; now_ < end; now_ += kStep) step();
    }
    // From now on.
    void forget_peak() { peak_ = 0; }
    std::size_t peak() const { return peak_; }  // connections of the server at once
    std::size_t held() const { return held_; }

private:
    Instant instant() const { return Instant(std::chrono::hours(1)) + Span(now_); }
    bool relayed() const { return proxies_.size() > kMostDirect; }
    std::size_t watched_at_once() const { return relayed() ? 2 : kControls; }

    std::size_t watching(const ControlProcess& control) const {
        return static_cast<std::size_t>(
            std::count_if(control.heard.begin(), control.heard.end(),
                          [&](int at) { return at >= 0 && now_ - at <= ProxyCensus::kRemembered.count(); }));
    }
    void hello() {
        for (std::size_t from = 0; from < kControls; ++from)
            for (std::size_t to = 0; to < kControls; ++to)
                if (from != to)
                    controls_[to].census.told(std::to_string(from), watching(controls_[from]), instant());
    }
    void watch(std::size_t number) {
        SimulatedProxy& proxy = proxies_[number];
        for (std::size_t i = 0; i < watched_at_once(); ++i)
            controls_[(number + i) % kControls].heard[number] = now_;
        ControlProcess& main = controls_[number % kControls];
        if (const auto live = main.census.live(watching(main), watched_at_once(), instant()))
            proxy.count.told(*live, now_);
        proxy.ready = true;
    }
    bool watches_now(std::size_t number) const {
        const int after_start = now_ - proxies_[number].started;
        const int phase = static_cast<int>(number * 7) % kWatchEvery / kStep * kStep;
        return after_start % kWatchEvery == phase;
    }
    // Idle ones go at once, those at work later.
    std::size_t holds(SimulatedProxy& proxy) const {
        if (!proxy.up || !proxy.ready) return 0;
        proxy.shares.emplace_back(now_, connection_share(connections_, proxy.count.sharers(now_)));
        while (now_ - proxy.shares.front().first > work_) proxy.shares.pop_front();
        std::size_t most = 0;
        for (const auto& [at, share] : proxy.shares) most = std::max(most, share);
        return most;
    }
    void step() {
        if (now_ % kHelloEvery == 0) hello();
        for (std::size_t i = 0; i < proxies_.size(); ++i)
            if (proxies_[i].up && watches_now(i)) watch(i);
        held_ = 0;
        for (SimulatedProxy& proxy : proxies_) held_ += holds(proxy);
        peak_ = std::max(peak_, held_);
    }

    std::vector<SimulatedProxy> proxies_;
    std::size_t connections_;
    int work_;
    std::vector<ControlProcess> controls_;
    int now_ = 0;
    std::size_t peak_ = 0, held_ = 0;
};

struct Size {
    std::size_t proxies, connections;
};
class ConnectionHerd : public ::testing::TestWithParam<Size> {
protected:
    const std::size_t proxies = GetParam().proxies, connections = GetParam().connections;
    static constexpr int kWork = 1500;

    // A tier that has run for a while.
    Herd settled(int work) const {
        Herd herd(proxies, connections, work);
        herd.start(0, proxies);
        herd.run(30000);
        herd.forget_peak();
        return herd;
    }
};

TEST_P(ConnectionHerd, InCalmTheServerIsWithinItsBoundAndWellUsed) {
    Herd herd = settled(0);
    herd.run(5000);
    EXPECT_LE(herd.peak(), connections);
    if (proxies * 4 <= connections) {
        EXPECT_GE(herd.held() * 2, connections) << "more than half is of use";
    }
}

TEST_P(ConnectionHerd, AllProxiesRestartAtOnce) {
    Herd herd = settled(kWork);
    herd.stop(0, proxies);
    herd.run(500);
    herd.start(0, proxies);
    herd.run(30000);
    EXPECT_LE(herd.peak(), connections);
}

TEST_P(ConnectionHerd, ProxiesRestartOneAfterAnother) {
    Herd herd = settled(kWork);
    for (std::size_t i = 0; i < proxies; ++i) {
        herd.stop(i, i + 1);
        herd.run(200);
        herd.start(i, i + 1);
        herd.run(100);
    }
    herd.run(30000);
    EXPECT_LE(herd.peak(), connections);
}

TEST_P(ConnectionHerd, HalfOfTheProxiesGoAndComeBack) {
    for (const int gone : {500, 5000, 15000, 60000}) {
        SCOPED_TRACE(gone);
        Herd herd = settled(kWork);
        herd.stop(0, proxies / 2);
        herd.run(gone);
        herd.start(0, proxies / 2);
        herd.run(30000);
        EXPECT_LE(herd.peak(), connections);
    }
}

TEST_P(ConnectionHerd, ControlProcessesRestartAtOnce) {
    Herd herd = settled(kWork);
    herd.restart_controls();
    herd.run(30000);
    EXPECT_LE(herd.peak(), connections);
}

// Nobody knows how many there are: for so long the bound holds for few proxies only.
TEST_P(ConnectionHerd, AfterEverythingRestartedTheBoundHoldsOnceProxiesAreCounted) {
    Herd herd = settled(kWork);
    herd.stop(0, proxies);
    herd.restart_controls();
    herd.run(500);
    herd.start(0, proxies);
    herd.run(static_cast<int>(ProxyCensus::kSettling.count()) + kWatchEvery + kWork + 500);
    if (proxies * proxies <= connections) {
        EXPECT_LE(herd.peak(), connections);
    }
    herd.forget_peak();
    herd.run(30000);
    EXPECT_LE(herd.peak(), connections);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ConnectionHerd,
                         ::testing::Values(Size{6, 96}, Size{6, 480}, Size{64, 440}, Size{64, 510},
                                           Size{300, 510}),
                         [](const auto& size) {
                             return std::to_string(size.param.proxies) + "_proxies_" +
                                    std::to_string(size.param.connections) + "_connections";
                         });

}  // namespace
}  // namespace whinledge::data_plane
