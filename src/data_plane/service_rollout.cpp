#include "data_plane/service_rollout.hpp"

#include <algorithm>

#include "rollout/calls.hpp"

namespace whinledge::data_plane {

bool ServiceRollout::set_record(const wire::Rollout* record, Millis now) {
    const wire::Rollout* const before = plan_.rollout();
    if (!record && !before) return false;
    if (record && before && *record == *before) return false;
    const bool another = !record || !before || record->number != before->number;
    if (another) {
        since_ = now;
        permitted_until_ = 0;
        under_way_ = 0;
        totals_.clear();
        fresh_.clear();
        judge_ = rollout::VersionJudge(rollout::kTrialPart * rules_.bad_share);
    }
    const bool shifts = record && record->phase == rollout::Phase::shifting;
    if (shifts && (another || before->phase != rollout::Phase::shifting)) shifting_since_ = now;
    plan_.set_rollout(record);
    if (record)
        since_ = std::min(since_, now - static_cast<Millis>(rollout::bounded_elapsed(record->elapsed_ms)));
    return true;
}

const std::string* ServiceRollout::candidate_version() const {
    const wire::Rollout* const record = plan_.rollout();
    return record && rollout::is_open(*record) ? &record->new_version : nullptr;
}

const std::string* ServiceRollout::finished_version() const {
    const wire::Rollout* const record = plan_.rollout();
    return record && record->phase == rollout::Phase::finished ? &record->new_version : nullptr;
}

rollout::TrialSize ServiceRollout::trial(Millis now) const {
    const wire::Rollout* const record = plan_.rollout();
    rollout::TrialFacts facts;
    facts.within_ms = record->within_ms;
    facts.elapsed_ms = elapsed_ms(now);
    facts.servers = candidates_;
    facts.slots = slots_;
    facts.bad_share = rules_.bad_share;
    facts.under_way = under_way_;
    return rollout::trial_size(facts);
}

rollout::VersionArms ServiceRollout::arms(const std::vector<wire::ListedServer>& listed, Millis now) {
    rollout::VersionArms arms = plan_.arms(listed);
    if (!candidate_version()) return arms;
    const auto ranked = rollout::on_trial(arms.candidate, 0, arms.candidate.size());
    candidates_ = ranked.size();
    slots_ = 0;
    groups_.clear();
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        slots_ = std::max(slots_, ranked[rank]->slots);
        groups_[ranked[rank]->id] = rollout::group_of_new(rank);
    }
    if (plan_.rollout()->phase == rollout::Phase::shifting) return arms;
    told_trial_ = trial(now);
    arms.candidate = rollout::on_trial(arms.candidate, told_trial_.first, told_trial_.width);
    return arms;
}

bool ServiceRollout::trial_is_due(Millis now) const {
    const wire::Rollout* const record = plan_.rollout();
    return record && record->phase == rollout::Phase::trial && trial(now) != told_trial_;
}

double ServiceRollout::candidate_share(Millis now) const {
    const wire::Rollout* const record = plan_.rollout();
    if (!candidate_version() || now >= permitted_until_ || judge_.is_bad()) return 0;
    if (record->phase == rollout::Phase::trial)
        return rollout::trial_share(rules_.bad_share, record->within_ms, elapsed_ms(now));
    return rollout::shifted_share(rules_.bad_share, now - shifting_since_);
}

void ServiceRollout::ended(const Attempt& attempt) {
    rollout::Sample sample;
    sample.route = attempt.route;
    if (attempt.at_candidate) {
        const auto group = groups_.find(attempt.server);
        sample.group = group == groups_.end() ? rollout::group_of_new(0) : group->second;
    }
    sample.failed = attempt.failed;
    sample.warm = attempt.warm;
    sample.pace_ms = attempt.ended_at - attempt.first_event_at.value_or(attempt.sent_at);
    if (attempt.first_event_at) sample.first_event_ms = *attempt.first_event_at - attempt.sent_at;
    rollout::count(totals_, sample);
    rollout::count(fresh_, sample);
}

wire::RolloutReport ServiceRollout::report(std::int64_t proxy, const OpenRequests& open, Millis now) {
    judge_.add(fresh_);
    const bool heavier = rollout::is_concentrated(plan_.rollout()->within_ms, elapsed_ms(now));
    judge_.weigh(now, heavier ? rollout::VersionJudge::Load::heavier : rollout::VersionJudge::Load::alike);
    fresh_.clear();
    wire::RolloutReport report;
    report.protocol = rollout::kRolloutProtocol;
    report.proxy = proxy;
    report.sequence = ++sequence_;
    report.number = number();
    report.phase = plan_.rollout()->phase;
    report.elapsed_ms = elapsed_ms(now);
    report.open_old = static_cast<std::int32_t>(open.old_versions);
    report.open_new = static_cast<std::int32_t>(open.new_version);
    report.cells = rollout::to_wire(totals_);
    return report;
}

void ServiceRollout::hear(const wire::RolloutReportReply& reply, Millis now) {
    if (reply.permitted) permitted_until_ = now + rules_.permit_holds;
    under_way_ = static_cast<std::size_t>(std::max(0, reply.open_new));
    since_ = std::min(since_, now - static_cast<Millis>(rollout::bounded_elapsed(reply.elapsed_ms)));
}

}  // namespace whinledge::data_plane
