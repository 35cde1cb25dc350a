// A sequential test of a new version against the old ones, over the same time and the same routes.
//
// Failures: cumulative sums of log-likelihood ratios (CUSUM) of "fails as often as the old versions of late"
// against "fails in 8 of 100 more", for each route and for all together. The sums are also kept without each
// one group of servers, and the least of them counts: a single server's fault is not its version's.
// Slowness: the same, of the share of successes that take several times the old versions' median, by their
// pace and by their first events (which take longer at servers that keep nothing of a prompt yet).
// Pure.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "rollout/samples.hpp"

namespace whinledge::rollout {

class VersionJudge {
public:
    // `trial_share`: of requests that the new version is sent.
    explicit VersionJudge(double trial_share) : trial_share_(trial_share) {}

    // What is new in a report.
    void add(const Cells& news);
    // Works in what was added; to be called a few times a second. `load`: of the new version's servers, how
    // much more than the old versions' they are given to do.
    enum class Load { alike, heavier };
    void weigh(double now, Load load);

    bool is_bad() const { return !evidence_.empty(); }
    // What shows that it is bad, for people; empty: nothing does.
    const std::string& evidence() const { return evidence_; }
    // Every route with traffic has been tried often enough.
    bool has_enough() const;
    // For people: how often the versions were tried, and how often they failed.
    std::string summary() const;

private:
    using FadingDurations = std::array<double, kDurationBuckets>;
    using Groups = std::array<Cell, kNewGroups + 1>;
    struct OldVersions {
        double ended = 0, failed = 0;  // of late
        FadingDurations paces{}, first_events{};
        std::int64_t all_ended = 0, all_failed = 0;
    };
    struct NewVersion {
        std::int64_t ended = 0, failed = 0;
        double failing = 0;                            // the sum over all groups
        std::array<double, kNewGroups + 1> without{};  // the sums without one group
        std::array<bool, kNewGroups + 1> seen{};
        double slow = 0, late = 0;  // by pace, by first events
    };
    struct Route {
        OldVersions old_versions;
        NewVersion new_version;
    };

    static void fade(OldVersions& old, double kept);
    // `kept`: share of what was known that counts still.
    void weigh_route(const std::string& name, Route& route, const Groups& news, double kept, Load load);
    void weigh_failures(const std::string& name, Route& route, const Groups& news);
    // `sum`: of the share of successes over `multiple` times the old versions' median.
    void weigh_durations(const std::string& name, const FadingDurations& old, const Groups& news,
                         Durations Cell::*measure, double multiple, double& sum);

    double needed(const Route& route) const;

    double trial_share_;
    Cells pending_;
    std::map<RouteId, Route> routes_;
    Route all_;  // routes together
    double weighed_at_ = 0;
    std::string evidence_;
};

}  // namespace whinledge::rollout
