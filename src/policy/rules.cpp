// The rules of the site: the only gates. No send and no refusal leaves without passing may_send() or
// may_refuse(); finish() (requests.cpp) is the only final answer.
#include <algorithm>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

bool Balancer::Impl::proves_never_ran(Outcome o) const {
    return o == Outcome::refused_connection || o == Outcome::superseded || o == Outcome::not_sent ||
           (o == Outcome::saturated && !settings.saturated_is_no_proof);
}

// Placement. A class we don't know might be bound as any of ours: it may go only where all of them may.
bool Balancer::Impl::open_to(std::uint32_t class_index, const ServerInfo& s) const {
    const auto open = [&](const RequestClass& c) { return holds(c.zones, s.zone) && holds(c.kinds, s.kind); };
    const auto& all = settings.classes;
    return class_index < all.size() ? open(all[class_index]) : std::all_of(all.begin(), all.end(), open);
}

bool Balancer::Impl::in_scope(const Request& r, const Attempt& a, const ServerInfo& s) const {
    if (r.kind.dedup_scope == DedupScope::all) return true;
    return r.kind.dedup_scope == DedupScope::zone ? a.to.zone == s.zone : a.to.cell == s.cell;
}

// To anyone.
bool Balancer::Impl::may_go(const Request& r) const {
    if (r.ended || r.streaming || now >= r.deadline) return false;  // rule 1
    if (r.attempts.size() >= settings.max_attempts) return false;
    if (r.any_out() && (!settings.parallel_tries || r.kind.effect == Effect::once)) return false;
    return now < begin_by(r);  // rule 2
}

bool Balancer::Impl::may_send(const Request& r, Server& s) {
    ++looked;
    if (!may_go(r)) return false;
    if (!open_to(r.class_index, s.info)) return false;  // placement
    if (!s.on()) return false;                          // rule 3
    if (r.bound_to && s.info.id != r.bound_to) return false;
    if (r.kind.effect == Effect::by_key)  // rule 2
        for (const Attempt& a : r.attempts)
            if (a.may_have_run && !in_scope(r, a, s.info)) return false;
    return !is_cold(s) || (cold_tokens(s) >= 1 && bears(r, s));  // rule 4
}

bool Balancer::Impl::may_refuse(const Request& r) const {
    if (r.ended || r.streaming) return false;
    const bool anywhere = r.kind.effect != Effect::by_key || r.kind.dedup_scope == DedupScope::all;
    if (!anywhere && r.first_possible_run()) return false;
    return now + answer_time(r) < begin_by(r);  // its client comes back when we tell it to
}

}  // namespace kestrelhall
