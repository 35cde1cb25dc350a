// The path of a request. on(RequestArrived) takes it and sets its timer; place() sheds it if it can't be
// answered any more, looks for room (admission.cpp) and for a server: one whose backoff is over gets it as
// half-open trial, else pick() chooses (choice.cpp); dispatch() sends it, to run to the client's deadline. If
// nobody may have it now it is held briefly. on(AttemptEnded) (retries.cpp) books the outcome in the server's
// window (health.cpp) and places the request again or answers it. finish() is the only final answer.
#include <algorithm>
#include <utility>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

namespace {

constexpr double kHeaviest = 10;    // in means, that one costs of a cold server's tokens: hints may be wild
constexpr double kHold = 1.0 / 16;  // of the aim: what cannot go out by then had better be tried anew

}  // namespace

void Balancer::Impl::on(const RequestArrived& e) {
    const auto [it, fresh] = requests.try_emplace(e.id);
    if (!fresh) return;
    Request& r = it->second;
    r.id = e.id;
    // What we don't know is one class: estimates by class stay as few as classes.
    r.class_index = std::min(e.class_index, static_cast<std::uint32_t>(settings.classes.size()));
    r.repeat = e.repeat;
    r.bound_to = e.bound_to;
    r.candidates = e.candidates;
    r.order = next_order++;
    if (e.class_index < settings.classes.size()) {
        r.kind = settings.classes[e.class_index];
    } else {  // unknown: what we know least about is handled with most care
        r.kind.effect = Effect::once;
        r.kind.aim = std::max(1.0, e.time_left);
    }
    asked_at[r.class_index] = now;
    r.excess = over_share(e.tenant);
    r.work = work(r, e.effort);
    r.kind.aim += r.kind.aim_stretch * std::max(0.0, e.effort);
    if (!r.repeat) wanted.add(r.kind.aim, now, kRateMemory);
    r.deadline = now + std::max(0.0, e.time_left);
    retry_budget = std::min(retry_budget + kRetryShare, kRetryBurst);
    r.hold_until = std::min(r.deadline, now + r.kind.aim * kHold);
    r.deadline_timer = set_timer(r.deadline, r.id);
    place(r);
}

void Balancer::Impl::place(Request& r) {
    count_out();
    narrow();
    if (hopeless(r) && !proof_due(r) && !r.any_out()) return finish(r);
    const bool room_for_it = has_room(r), admitted = room_for_it || room_proof_due(r);
    Server* s = admitted ? due_trial(r) : nullptr;
    if (!s) s = r.bound_to ? its_own(r, admitted) : pick(r, admitted);
    if (!s && admitted) s = last_resort(r);
    if (!s) return hold(r);
    const bool despite_room = admitted && !room_for_it && !is_cold(*s);
    if (despite_room) {
        room_proof_at = now;
        if (!std::exchange(proving, true)) proving_since = now;
    }
    dispatch(r, *s);
}

// Nobody may have it now. If one may later, hold it: at hold_until the timer answers.
void Balancer::Impl::hold(Request& r) {
    if (r.any_out()) return;
    if (now >= r.hold_until || r.attempts.size() >= settings.max_attempts || forsaken(r) ||
        now >= begin_by(r))
        return finish(r);
    held.push_back(r.id);
    if (r.waiting) return;
    r.waiting = true;
    r.hold_timer = set_timer(r.hold_until, r.id);
}

void Balancer::Impl::dispatch(Request& r, Server& s) {
    const bool trial = s.standing == Standing::removed, cold = is_cold(s);
    if (trial) {
        readmit(s);
        s.standing = Standing::trial;
    }
    if (cold) s.tokens -= r.work > kHeavy ? std::min(r.work, kHeaviest) : 1;
    if (!r.attempts.empty()) retry_budget -= 1;
    ++s.outstanding;
    use(s);
    s.sent_at = now;
    outstanding += !cold;
    const bool proof = hopeless(r);
    if (proof) took[r.class_index].proof_at = now;
    const Send send{r.id, s.info.id, std::min(r.deadline, copies_until(r)),
                    std::min(r.deadline, begin_by(r))};
    r.attempts.push_back({s.info, now, true, true, trial, cold, proof});
    act(send);
}

void Balancer::Impl::on(const ClientGone& e) {
    const auto it = requests.find(e.id);
    if (it == requests.end()) return;
    cancel_all(it->second);
    it->second.ended = true;
    done.push_back(e.id);
}

// The only final answer: a refusal where that is true, else a failure. A refused client had better come
// back when what is out now has been answered and left its room.
void Balancer::Impl::finish(Request& r) {
    if (r.ended || r.streaming) return;
    cancel_all(r);
    act(may_refuse(r) ? Action(Refuse{r.id, answer_time(r)}) : Action(GiveUp{r.id}));
    r.ended = true;
    done.push_back(r.id);
}

void Balancer::Impl::cancel_all(const Request& r) {
    for (std::uint32_t i = 0; settings.may_cancel && i < r.attempts.size(); ++i)
        if (r.attempts[i].out) act(Cancel{r.id, i});
}

// After each event: what has its answer needs no timer, and with nothing out leaves no trace.
void Balancer::Impl::forget_done() {
    for (const RequestId id : done) {
        const auto it = requests.find(id);
        if (it == requests.end() || !it->second.ended) continue;
        drop_timer(it->second.deadline_timer);
        drop_timer(it->second.hold_timer);
        if (!it->second.any_out()) requests.erase(it);
    }
    done.clear();
    // While no room comes, those that were refused meanwhile would pile up.
    if (held.size() > 2 * requests.size() + kDraws)
        std::erase_if(held, [&](RequestId id) { return over(id); });
}

}  // namespace kestrelhall
