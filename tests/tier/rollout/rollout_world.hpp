// Rollouts on simulated time: proxies and control processes as they run them, servers that are good and bad,
// and the operator's rules held from outside.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "data_plane/service_rollout.hpp"
#include "rollout/follower.hpp"
#include "rollout/record.hpp"

namespace whinledge::rollout::test {

// What a server makes of one request.
struct Fate {
    double fails = 0;  // how probable that is
    double slower = 1;
};
struct Asked {
    bool of_new_version = false;
    int route = 0;
    std::string zone;
    int server = 0;
    int under_way = 0;  // at the server, this one included
    double now = 0;     // milliseconds since the order
};

struct Plan {
    unsigned seed = 1;
    int proxies = 20;
    int servers = 20;  // of each version
    int slots = 8;
    int routes = 2;
    double requests_per_second = 300;
    std::int64_t within_ms = 14000;
    double listed_at = 500;  // when the new servers are on the list
    double cold_ms = 0;      // of each new server, from then on
    std::function<Fate(const Asked&)> fate = [](const Asked&) { return Fate{0.005, 1}; };
    std::function<double(double now)> traffic = [](double) { return 1.0; };  // multiple of the rate
    // Who holds the duty's lease, by control process; -1: nobody.
    std::function<int(double now)> holder = [](double) { return 0; };
    std::function<bool(int proxy, double now)> cut_off = [](int, double) { return false; };
    // A proxy that has been restarted has forgotten all but what the register tells it.
    std::function<bool(int proxy, double now)> restarts = [](int, double) { return false; };
    std::function<void(wire::RolloutReport&)> tampers{};
};

class World {
public:
    explicit World(Plan plan);
    // Plays until so long after the order, in milliseconds.
    World& play(double until_ms);

    Phase phase() const { return static_cast<Phase>(state_.rollouts.front().phase); }
    const std::string& evidence() const { return state_.rollouts.front().evidence; }
    double ended_at() const { return ended_at_; }  // -1: it has not ended

    // As operators count, until the deadline.
    int requests() const { return requests_; }
    int at_new_version() const { return at_new_; }
    bool within_exposure() const { return at_new_ <= 0.1 * requests_ + 50; }
    // The latest that a proxy which is not cut off sent the new version something after its 50th bad answer;
    // 0: never.
    double sent_after_fiftieth() const { return sent_after_fiftieth_; }
    // Sent to old servers since `finished` was recorded, by proxies that are not cut off.
    int sent_to_stopped() const { return sent_to_stopped_; }
    int open_when_finished() const { return open_when_finished_; }

private:
    static constexpr int kControls = 3;
    struct Proxy {
        std::unique_ptr<data_plane::ServiceRollout> rollout;
        VersionArms arms;
        std::int64_t identity = 0;
        double report_at = 0;
        int open_old = 0, open_new = 0;
    };
    struct Open {
        int proxy = 0;
        std::int64_t proxy_identity = 0;
        int server = 0;  // in servers_
        bool bad = false;
        data_plane::ServiceRollout::Attempt attempt;
    };

    void start(int proxy);
    void step(double step_ms);
    void send(int proxy);
    void end(const Open& open);
    void report(int proxy);
    void tick_controls();
    void tell(int proxy);
    double draw() { return std::uniform_real_distribution<double>()(random_); }
    bool is_cut_off(int proxy) const { return plan_.cut_off(proxy, now_); }

    Plan plan_;
    std::mt19937 random_;
    double now_ = 0, controls_at_ = 0;
    wire::RegisterState state_;
    std::vector<wire::ListedServer> listed_;
    std::vector<int> under_way_;  // by server
    std::vector<Proxy> proxies_;
    std::vector<std::unique_ptr<Follower>> controls_;
    std::multimap<double, Open> open_;  // by when they end
    double ended_at_ = -1, fiftieth_at_ = -1, sent_after_fiftieth_ = 0;
    int requests_ = 0, at_new_ = 0, bad_answers_ = 0, sent_to_stopped_ = 0, open_when_finished_ = 0;
    std::int64_t identities_ = 0;
};

}  // namespace whinledge::rollout::test
