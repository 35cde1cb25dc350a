// Health: windows of outcomes, removal from the pool, backoff, the half-open trial, a class's shun.
#include <algorithm>
#include <cmath>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

namespace {

constexpr double kThreshold = 0.9;
// A class that has few of a full window's outcomes shuns a server for no less than this many failures: one
// that may come from any server would drive the class from server to server, until a few carry all of it.
constexpr int kFaults = 3;

}  // namespace

void Balancer::Impl::judge(Server& s, const Request& r, const Attempt& a, Outcome outcome, bool late,
                           bool silent) {
    const bool success = outcome == Outcome::completed && !late;  // past its aim: as good as timed out
    const bool verdict = outcome != Outcome::recalled && outcome != Outcome::link_lost && !our_doing(outcome);
    if (outcome == Outcome::severed || outcome == Outcome::link_lost) doubt(s);
    if (s.standing == Standing::trial && a.trial) {
        if (verdict) return success ? restore(s) : remove(s);
        s.standing = Standing::removed;  // undecided: the next request is the trial
        return eject(s);
    }
    if (!verdict || s.standing != Standing::live) return;
    if (outcome == Outcome::saturated || outcome == Outcome::refused_connection) leave(s);
    s.window.push_back({r.class_index, success});  // may throw: before the sums
    ++totals.outcomes, totals.successes += success;
    if (s.window.size() > kWindow) {
        --totals.outcomes, totals.successes -= s.window.front().success;
        s.window.pop_front();
    }
    // Where traffic is thin, or a server fails one class and serves the others, the class's part of the
    // window is read as it stands: below the threshold, the class shuns the server for a backoff, as long
    // as others will have it. Lateness and a full queue don't count: under a crowd they say nothing of
    // one server.
    std::erase_if(s.shunned_until, [&](const auto& shun) { return now >= shun.second; });
    if (success) s.shunned_until.erase(r.class_index);
    const bool outright = outcome != Outcome::completed && outcome != Outcome::saturated &&
                          (outcome != Outcome::overdue || silent);
    const bool alone = fails_one_class(s, r.class_index);
    if (outright && (s.window.size() < kWindow || (alone && s.failures_of(r.class_index) >= kFaults)) &&
        s.share_of(r.class_index, true, 1) < kThreshold)
        s.shunned_until[r.class_index] = now + kBackoff;
    if (!success && below_threshold(s) && !alone && may_remove(s)) remove(s);
}

// A hint and no verdict: what breaks connections once may well do so again.
void Balancer::Impl::doubt(Server& s) {
    const auto doubted =
        std::ranges::count_if(fleet, [&](const Server* o) { return now < o->doubted_until; });
    if (settings.doubt > 0 && 4 * (doubted + 1) <= std::ssize(fleet)) s.doubted_until = now + settings.doubt;
}

// Counts for nobody: it never left us.
bool Balancer::Impl::our_doing(Outcome o) { return o == Outcome::superseded || o == Outcome::not_sent; }

// The window's other classes are served: then the class shuns the server and the rest keep it.
bool Balancer::Impl::fails_one_class(const Server& s, std::uint32_t class_index) {
    return s.share_of(class_index, false, kKindWorth) >= kThreshold;
}

// Shared slowness makes every server fail, and removing them all makes it an outage. So a server is held
// against the others: 0.9 of their success share, less three standard errors of a window of that share.
// While the others don't fail, this is 0.9. A window not yet full is judged as if the rest were
// successes: what is certain need not wait, least of all where traffic is thin.
bool Balancer::Impl::below_threshold(const Server& s) const {
    const double unfilled = static_cast<double>(kWindow - s.window.size());
    const double share = (s.successes() + unfilled) / kWindow;
    if (share >= kThreshold) return false;  // whatever the others do
    const double level = level_without(s);
    const double noise = std::sqrt(level * (1 - level) / static_cast<double>(kWindow));
    return share < kThreshold * level - 3 * noise;
}

// One that is live itself.
double Balancer::Impl::level_without(const Server& s) const {
    const double all = static_cast<double>(totals.outcomes) - static_cast<double>(s.window.size());
    return all > 0 ? (static_cast<double>(totals.successes) - s.successes()) / all : 1;
}

// Panic threshold: half of the listed servers stay in the pool, whatever their windows say; for each
// class, half of those open to it.
bool Balancer::Impl::may_remove(const Server& one) const {
    for (std::uint32_t c = 0; c < settings.classes.size(); ++c)
        if (open_to(c, one.info) && 2 * (totals.open[c].out + 1) > totals.open[c].listed) return false;
    return true;
}

void Balancer::Impl::remove(Server& s) {
    if (s.standing == Standing::live) act(Log{"removed from the pool", s.info.id});
    leave(s);
    s.backoff_until = now + kBackoff;
    eject(s);
    changing(s, [&] { s.standing = Standing::removed; });
}

void Balancer::Impl::restore(Server& s) {
    changing(s, [&] {
        s.standing = Standing::live;
        s.window.clear();
    });
    act(Log{"restored after a trial", s.info.id});
}

void Balancer::Impl::eject(Server& s) {
    if (s.on()) ejected.emplace(s.backoff_until, s.info.id);
}

void Balancer::Impl::readmit(Server& s) { ejected.erase({s.backoff_until, s.info.id}), due.erase(s.info.id); }

Server* Balancer::Impl::due_trial(const Request& r) {
    for (; !ejected.empty() && ejected.begin()->first <= now; ejected.erase(ejected.begin()))
        due.insert(ejected.begin()->second);
    // Where many are due that it may not be sent to, the next request looks at the next of them.
    auto at = due.size() > kMost ? due.lower_bound(due_from) : due.begin();
    for (std::size_t i = std::min(due.size(), kMost); i > 0; --i, ++at) {
        if (at == due.end()) at = due.begin();
        if (Server& s = servers.at(*at); may_send(r, s)) return &s;
    }
    due_from = at == due.end() ? 0 : *at;
    return nullptr;
}

bool Balancer::Impl::shuns(const Request& r, const Server& s) const {
    const auto at = s.shunned_until.find(r.class_index);
    return now < s.doubted_until || (at != s.shunned_until.end() && now < at->second);
}

}  // namespace kestrelhall
