// What one control process knows of the rollouts that are open: proxies' samples, the time since the order,
// and what follows from them. Every control process follows them all, so that whoever takes over the duty
// goes on from the same samples. Pure; times are milliseconds on any clock that never goes back.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "rollout/reconcile.hpp"
#include "rollout/samples.hpp"
#include "rollout/version_judge.hpp"

namespace whinledge::rollout {

class Follower {
public:
    // `bad_share`: of a service's requests, what a bad version may get.
    explicit Follower(double bad_share) : bad_share_(bad_share) {}

    // The register's state, whenever it is another.
    void follow(const wire::RegisterState& state, double now);
    bool is_following() const { return !followed_.empty(); }

    // From a proxy itself, or as another control process passes it on.
    void take(const wire::RolloutReport& report, double now);
    wire::RolloutReportReply reply_to(const wire::RolloutReport& report, double now) const;
    // The duty's holder, as it says of itself, has been heard.
    void hear_holder(double now) { holder_heard_at_ = now; }
    void hear_elapsed(std::int64_t number, std::int64_t elapsed_ms, double now);

    // Reports that have not been passed on yet.
    std::vector<wire::RolloutReport> news();
    // Steps that are due. `proxies`: how many there are, as far as is known; 0: not known.
    std::vector<Step> due(std::size_t proxies, double now);

    struct View {
        std::int64_t number = 0, elapsed_ms = 0;
        std::size_t proxies = 0;  // that report
        std::string summary;
    };
    std::vector<View> views(double now) const;

private:
    struct Followed {
        wire::Rollout record;
        double since = 0;           // when the order came, as far as this process knows
        double shifting_since = 0;  // when this process saw that phase
        SampleBook book;
        VersionJudge judge;
        std::map<std::int64_t, std::int64_t> passed_on;  // sequence, by proxy
    };
    std::int64_t elapsed_ms(const Followed& followed, double now) const;
    bool within_budget_of(const Followed& followed, std::int64_t open_new) const;
    // Else that nobody tells of traffic does not mean that there is none.
    bool hears_most(const Followed& followed, std::size_t proxies, double now) const;
    bool old_servers_idle(const Followed& followed, std::size_t proxies, double now) const;

    double bad_share_;
    std::map<std::int64_t, Followed> followed_;  // by number
    double holder_heard_at_ = -1e18;
};

}  // namespace whinledge::rollout
