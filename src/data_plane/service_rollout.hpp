// One service's versions at one proxy: which servers take requests, which part of the requests the new
// version of an open rollout gets, and what was seen of both. Pure; times are milliseconds on any clock that
// never goes back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "engine/types.hpp"
#include "rollout/samples.hpp"
#include "rollout/trial_schedule.hpp"
#include "rollout/version_judge.hpp"
#include "rollout/version_plan.hpp"

namespace whinledge::data_plane {

struct RolloutRules {
    bool by_order = false;                         // versions that no order names take nothing
    double bad_share = rollout::kDefaultBadShare;  // of a service's requests, what a bad version may get
    Millis permit_holds = 2000;                    // without a word of the duty's holder
};

class ServiceRollout {
public:
    explicit ServiceRollout(const RolloutRules& rules)
        : rules_(rules), plan_(rules.by_order), judge_(rollout::kTrialPart * rules.bad_share) {}

    // The register's newest record; null: the service has had no rollout. True: it is another than before.
    bool set_record(const wire::Rollout* record, Millis now);
    // The new version of an open rollout; null: none is open.
    const std::string* candidate_version() const;
    // The service runs this version from here on; null: no rollout has finished last.
    const std::string* finished_version() const;
    std::int64_t number() const { return plan_.rollout() ? plan_.rollout()->number : 0; }

    // `listed`: all servers of the service; what comes points into it.
    rollout::VersionArms arms(const std::vector<wire::ListedServer>& listed, Millis now);
    // Others of the candidate's servers are to be tried now than arms() told last.
    bool trial_is_due(Millis now) const;

    // Of the service's requests, what the new version gets now, 0 to 1.
    double candidate_share(Millis now) const;

    // Of an attempt at a server of the service, while a rollout is open.
    struct Attempt {
        rollout::RouteId route = 0;
        bool at_candidate = false;
        std::string_view server;
        bool warm = true;
        bool failed = false;
        Millis sent_at = 0, ended_at = 0;
        std::optional<Millis> first_event_at{};  // of streams
    };
    void ended(const Attempt& attempt);

    struct OpenRequests {
        std::size_t old_versions = 0, new_version = 0;
    };
    wire::RolloutReport report(std::int64_t proxy, const OpenRequests& open, Millis now);
    void hear(const wire::RolloutReportReply& reply, Millis now);

private:
    rollout::TrialSize trial(Millis now) const;
    std::int64_t elapsed_ms(Millis now) const { return static_cast<std::int64_t>(now - since_); }

    RolloutRules rules_;
    rollout::VersionPlan plan_;
    Millis since_ = 0;           // when the order came, as far as is known
    Millis shifting_since_ = 0;  // when this process heard of it
    Millis permitted_until_ = 0;
    std::size_t under_way_ = 0;                       // at the new version, of all proxies
    std::size_t candidates_ = 0;                      // servers of the new version that take requests
    int slots_ = 0;                                   // of each of them
    std::map<std::string, int, std::less<>> groups_;  // of them, by id
    rollout::TrialSize told_trial_;
    rollout::Cells totals_, fresh_;  // since the rollout began; since the last report
    rollout::VersionJudge judge_;    // of what was seen here alone
    std::int64_t sequence_ = 0;
};

}  // namespace whinledge::data_plane
