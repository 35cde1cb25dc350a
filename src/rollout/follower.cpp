#include "rollout/follower.hpp"

#include <algorithm>

#include "rollout/calls.hpp"
#include "rollout/trial_schedule.hpp"

namespace whinledge::rollout {

namespace {

constexpr double kHolderHeard = 1200;  // a holder that was heard so long ago may have gone
constexpr double kProxyHeard = 2000;   // the same of a proxy
// After the shift was recorded: proxies that have not been heard may send to old servers for so long.
constexpr double kToldWithin = kShiftMs + 500;
constexpr double kSlack = 15;                    // requests that a trial may get beyond its part
constexpr std::int64_t kMostUnderWay = 1 << 20;  // that is told to proxies

}  // namespace

void Follower::follow(const wire::RegisterState& state, double now) {
    std::erase_if(followed_, [&](const auto& one) {
        const auto still = std::find_if(
            state.rollouts.begin(), state.rollouts.end(),
            [&](const wire::Rollout& record) { return record.number == one.first && is_open(record); });
        return still == state.rollouts.end();
    });
    for (const wire::Rollout& record : state.rollouts) {
        if (!is_open(record)) continue;
        auto at = followed_.find(record.number);
        if (at == followed_.end()) {
            Followed followed{record, now, 0, {}, VersionJudge(kTrialPart * bad_share_), {}};
            at = followed_.emplace(record.number, std::move(followed)).first;
        }
        Followed& followed = at->second;
        if (record.phase == Phase::shifting && followed.shifting_since == 0) followed.shifting_since = now;
        followed.record = record;
        hear_elapsed(record.number, record.elapsed_ms, now);
    }
}

void Follower::hear_elapsed(std::int64_t number, std::int64_t elapsed_ms, double now) {
    const auto at = followed_.find(number);
    if (at == followed_.end()) return;
    at->second.since = std::min(at->second.since, now - static_cast<double>(bounded_elapsed(elapsed_ms)));
}

std::int64_t Follower::elapsed_ms(const Followed& followed, double now) const {
    return static_cast<std::int64_t>(now - followed.since);
}

void Follower::take(const wire::RolloutReport& report, double now) {
    const auto at = followed_.find(report.number);
    if (at == followed_.end()) return;
    at->second.judge.add(at->second.book.take(report, now));
    hear_elapsed(report.number, report.elapsed_ms, now);
}

wire::RolloutReportReply Follower::reply_to(const wire::RolloutReport& report, double now) const {
    wire::RolloutReportReply reply;
    reply.protocol = kRolloutProtocol;
    const auto at = followed_.find(report.number);
    if (at == followed_.end()) return reply;
    reply.elapsed_ms = elapsed_ms(at->second, now);
    std::int64_t open_new = 0;
    for (const auto& [proxy, row] : at->second.book.rows())
        if (now - row.heard_at < kProxyHeard) open_new += std::max(0, row.report.open_new);
    reply.open_new = static_cast<std::int32_t>(std::min(open_new, kMostUnderWay));
    const bool within_budget =
        at->second.record.phase != Phase::trial || within_budget_of(at->second, open_new);
    reply.permitted = now - holder_heard_at_ < kHolderHeard && within_budget;
    return reply;
}

// Programs keep to a version, and some have a great many turns: chance may bring the new version more than
// its share.
bool Follower::within_budget_of(const Followed& followed, std::int64_t open_new) const {
    std::int64_t all = 0, sent_new = open_new;
    for (const auto& [proxy, row] : followed.book.rows())
        for (const auto& [key, cell] : row.cells) {
            all += cell.ended;
            if (key.second != kOldGroup) sent_new += cell.ended;
        }
    return static_cast<double>(sent_new) <= kMostPart * bad_share_ * static_cast<double>(all) + kSlack;
}

std::vector<wire::RolloutReport> Follower::news() {
    std::vector<wire::RolloutReport> news;
    for (auto& [number, followed] : followed_)
        for (const auto& [proxy, row] : followed.book.rows()) {
            std::int64_t& passed_on = followed.passed_on[proxy];
            if (passed_on >= row.report.sequence) continue;
            passed_on = row.report.sequence;
            news.push_back(row.report);
            news.back().cells = to_wire(row.cells);
        }
    return news;
}

bool Follower::old_servers_idle(const Followed& followed, std::size_t proxies, double now) const {
    if (followed.record.phase != Phase::shifting || now - followed.shifting_since < kToldWithin) return false;
    std::size_t clear = 0;
    for (const auto& [proxy, row] : followed.book.rows()) {
        if (now - row.heard_at > kProxyHeard) continue;
        if (row.report.phase < Phase::shifting || row.report.open_old > 0) return false;
        ++clear;
    }
    return clear > 0 && clear >= proxies;
}

bool Follower::hears_most(const Followed& followed, std::size_t proxies, double now) const {
    const auto& rows = followed.book.rows();
    const auto heard = std::count_if(rows.begin(), rows.end(), [now](const auto& one) {
        return now - one.second.heard_at <= kProxyHeard;
    });
    return heard > 0 && 2 * static_cast<std::size_t>(heard) >= proxies;
}

std::vector<Step> Follower::due(std::size_t proxies, double now) {
    std::vector<Step> steps;
    for (auto& [number, followed] : followed_) {
        Findings findings;
        findings.elapsed_ms = elapsed_ms(followed, now);
        const bool heavier = is_concentrated(followed.record.within_ms, findings.elapsed_ms);
        followed.judge.weigh(now, heavier ? VersionJudge::Load::heavier : VersionJudge::Load::alike);
        findings.bad = followed.judge.is_bad();
        findings.enough = followed.judge.has_enough() && hears_most(followed, proxies, now);
        findings.evidence = findings.bad ? followed.judge.evidence() : followed.judge.summary();
        findings.old_servers_idle = old_servers_idle(followed, proxies, now);
        if (auto step = next_step(followed.record, findings)) steps.push_back(std::move(*step));
    }
    return steps;
}

std::vector<Follower::View> Follower::views(double now) const {
    std::vector<View> views;
    for (const auto& [number, followed] : followed_)
        views.push_back(
            {number, elapsed_ms(followed, now), followed.book.rows().size(), followed.judge.summary()});
    return views;
}

}  // namespace whinledge::rollout
