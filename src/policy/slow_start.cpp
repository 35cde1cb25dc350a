// Slow start: what a server that has just started may be sent, so that all sidecars together don't push it
// over.
#include <algorithm>
#include <cmath>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

namespace {

constexpr Millis kLeastSeen = 1000;  // of it, before a rate is told from what was counted
constexpr double kFeed = 0.7;  // of the multiple that fells a cold server; the rest is for unlike machines
// Where no warm server is left to hold them against, cold ones are sent kFloor requests in that time by all
// sidecars, and so much more than they carry, while their answers come in time.
constexpr double kColdGrowth = 1.5;

}  // namespace

// Slow start. A server of age a does at least cold_from of its work, rising evenly to all of it at
// warm_within. We send it that share of what a warm server carries for us (not of the mean of all, which
// starting servers pull down), so the sum over all sidecars stays within what it can do without agreement
// among them. Carried, not asked for: in a storm of retries that is many times what a warm server can do.
bool Balancer::Impl::is_cold(const Server& s) const {
    return settings.warm_within > 0 && s.info.online_since > 0 &&
           now < s.info.online_since + settings.warm_within;
}

// What has been counted since then stands for all of the memory's length: what a count is divided by.
Millis Balancer::Impl::seen_since(Millis since) const {
    const Millis from = std::min(std::max(since, started_at), now - kLeastSeen);
    return kRateMemory * (1 - fade(from, now, kRateMemory));
}

// Taken anew at most this often: a server warms and fills slower than that.
void Balancer::Impl::survey() {
    if (now < surveyed_at + kSurvey) return;
    surveyed_at = now;
    warm_live = static_cast<double>(totals.warm_live);
    warm_rate.clear();
    for (const auto& [kind, count] : totals.warm_by_kind)
        warm_rate[kind] =
            carried[kind].at_time(now, kRateMemory) / static_cast<double>(count) / seen_since(started_at);
    least_rate = warm_rate.empty() ? 0 : warm_rate.begin()->second;
    for (const auto& [kind, rate] : warm_rate) least_rate = std::min(least_rate, rate);
}

// Token bucket of one. What we carry of the sum over all sidecars is mostly less than a call in the time
// in which a cold server falls, so that each of them adds one or none by itself: the sum has the mean
// that cold_rate() means for it, well below what it may be, and at most the spread of independent draws.
// Time in which nothing was asked of us saves up no more than that of one fall: no lull ends in a rush.
double Balancer::Impl::cold_tokens(Server& s) {
    const Millis since = std::min(now - s.tokens_at, settings.fall_within);
    s.tokens = std::min(s.tokens + since * cold_rate(s) * s.info.part, 1.0);
    s.tokens_at = now;
    return s.tokens;
}

// A server falls by work. No setting tells what a class costs: a client's hint does, else how long
// answers of warm servers last, by class. Against the mean of all that were asked of late.
double Balancer::Impl::work(const Request& r, Millis hint) {
    if (hint > 0) {
        hinted.add(hint, now, kMixMemory);
        return hint / hinted.value();
    }
    const auto own = lasted_by_class.find(r.class_index);
    if (own == lasted_by_class.end() || own->second.count.value < 1 || lasted.sum.value <= 0) return 1;
    return own->second.value() / lasted.value();
}

// Where N is small, one heavy request is much of what chance may add.
bool Balancer::Impl::bears(const Request& r, const Server& s) {
    if (r.work <= kHeavy || r.bound_to || totals.open[r.class_index].warm == 0) return true;
    const double n = cold_share(s) * warm_of(s) * settings.fall_multiple * settings.fall_within *
                     std::max(1u, settings.siblings);
    return r.work <= kHeavyShare * std::sqrt(n);
}

double Balancer::Impl::cold_share(const Server& s) const {
    const double age = std::max(0.0, now - s.info.online_since) / settings.warm_within;
    return settings.cold_from + (1 - settings.cold_from) * std::min(1.0, age);
}

double Balancer::Impl::warm_of(const Server& s) {
    survey();
    const auto rate = warm_rate.find(s.info.kind);
    return rate == warm_rate.end() ? least_rate : rate->second;
}

double Balancer::Impl::cold_rate(const Server& s) {
    // While its answers come in time, and those of all that are cold, most of what would push it over;
    // else just its share. Within that its outstanding requests decide, as everywhere.
    const bool slow = std::max(s.pace.value, cold_pace.value) > kAimShare;
    const double feed = slow ? 1 : std::max(1.0, kFeed * settings.fall_multiple);
    // Never less than the trials of a few sidecars: that much from each of a thousand pushes it over.
    const double fed = std::max(feed * cold_share(s) * warm_of(s), our_part() / kBackoff);
    if (warm_live > 0) return fed;
    const double growth = s.pace.value > kAimShare ? 1 : kColdGrowth;
    const double own = s.carried.at_time(now, kRateMemory) / seen_since(s.info.online_since);
    return std::max({fed, our_part() / settings.fall_within, growth * own});
}

// Those whose warm-up is over count as warm from now on.
void Balancer::Impl::warm_up() {
    if (warming.empty() || is_cold(*warming.back())) return;
    for (; !warming.empty() && !is_cold(*warming.back()); warming.pop_back()) {
        Server& s = *warming.back();
        ++looked;
        changing(s, [&] { s.warm = true; });
        carried[s.info.kind].add(s.carried.at_time(now, kRateMemory), now, kRateMemory);
    }
    std::erase_if(cold, [](const Server* s) { return s->warm; });
}

}  // namespace kestrelhall
