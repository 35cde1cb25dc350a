// Retries: what an ended attempt tells, and until when its request may be sent once more.
#include <algorithm>
#include <cmath>
#include <limits>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

namespace {

constexpr Millis kEver = std::numeric_limits<Millis>::infinity();

}  // namespace

void Balancer::Impl::on(const FirstByte& e) {
    const auto it = requests.find(e.id);
    if (it != requests.end() && e.attempt < it->second.attempts.size()) it->second.streaming = true;
}

void Balancer::Impl::on(const AttemptEnded& e) {
    const auto it = requests.find(e.id);
    if (it == requests.end() || e.attempt >= it->second.attempts.size()) return;
    Request& r = it->second;
    Attempt& a = r.attempts[e.attempt];
    if (!a.out) return;
    a.out = false;
    count_out();
    outstanding -= !a.cold;
    a.may_have_run = !proves_never_ran(e.outcome);
    if (const auto at = servers.find(a.to.id); at != servers.end()) {
        book(at->second, r, a, e);
        if (!at->second.listed && at->second.outstanding == 0) {
            leave(at->second);
            totals.count(at->second, -1, opens());
            servers.erase(at);
        }
    }
    if (e.request_ended) r.ended = true;
    if (r.ended) done.push_back(r.id);
    // We are full ourselves: until something else ends, another try would fare alike.
    if (e.outcome == Outcome::not_sent && !r.ended && now < r.deadline) return hold(r);
    // Without a retry budget each request asks a crowded pool as often as the limits allow.
    if (now >= r.deadline || (!r.any_out() && retry_budget < 1))
        finish(r);
    else if (!r.ended && !r.any_out())
        place(r);
    release_held();
}

void Balancer::Impl::book(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e) {
    --s.outstanding;
    // Silence: it ran out of time and nothing has come from the server since it was sent. That is a dead
    // server or a lost path, not crowding, unless most attempts end so: then it is shared slowness.
    const bool overdue = e.outcome == Outcome::overdue;
    if (!our_doing(e.outcome)) answered.add(overdue ? 0.0 : 1.0, now, kSamples, kRateMemory);
    const bool silent = overdue && s.answered_at < a.sent_at && answered.value > 0.5;
    if (e.outcome == Outcome::completed || e.outcome == Outcome::errored || e.outcome == Outcome::saturated)
        s.answered_at = now;
    adapt_room(s, r, a, e, silent);
    if (e.outcome == Outcome::completed) {
        completed_at = now;
        s.carried.add(1, now, kRateMemory);
        if (s.on() && s.warm) carried[s.info.kind].add(1, now, kRateMemory);
        if (!a.cold) {
            lasted.add(e.duration, now, kMixMemory);
            lasted_by_class[r.class_index].add(e.duration, now, kMixMemory);
        }
        Mean& mean = took[r.class_index].mean;
        mean.add(e.duration, now, a.proof && e.duration < mean.value ? 1 : kSamples, kMixMemory);
    }
    judge(s, r, a, e.outcome, e.duration > r.kind.aim && !is_cold(s), silent);
}

// Until when a copy may run beside what may have run already. A key's memory counts from the earliest
// moment at which that can have been: when it was sent.
Millis Balancer::Impl::copies_until(const Request& r) const {
    const Attempt* first = r.first_possible_run();
    if (!first || r.kind.effect == Effect::repeatable) return kEver;
    return r.kind.effect == Effect::by_key ? first->sent_at + r.kind.dedup_window : -kEver;
}

// Until when a further attempt has to be written whole, so that it also begins in time: at its server it
// may queue. Nobody tells for how long; what is answered within what an answer takes, be it as agreed or
// of late, has begun by then. What is slower is withdrawn at copies_until (dispatch()).
Millis Balancer::Impl::begin_by(const Request& r) const {
    const Millis until = copies_until(r);
    return std::isinf(until) ? until : until - std::max(r.kind.aim, answer_time(r));
}

}  // namespace kestrelhall
