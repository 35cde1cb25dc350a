// Admission: how many attempts may be out (room), which requests find room, and what is hopeless.
#include <algorithm>
#include <cmath>
#include <vector>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

namespace {

constexpr double kMixPrior = 20;    // requests that as good as stand in the mix at the shares agreed
constexpr double kHopeless = 1.25;  // of what an answer takes: with less time left a try is as good as lost
// What refuses stops the answers that would correct it: where none has come for so long (where there are many
// sidecars, up to the second figure), one request goes out against it, and what that shows counts at once:
// each quick answer makes room for two more, until one is not quick. So a stall's estimates end soon after
// the stall, without a rush.
constexpr Millis kProof = 250, kLongestProof = 1500;
// Crowding is judged over this time where it brings more than kSamples answers: at a busy sidecar those few
// come within milliseconds of each other, and chance alone would pull the bound.
constexpr Millis kCrowdMemory = 300;
constexpr double kFloor = 4;  // attempts at a server by all sidecars together that admission always leaves
// The part of the room that is there for every class, however little its worth, and all that repeats get: a
// repeat's aim has been running since its first try.
constexpr double kCommonRoom = 0.6;

}  // namespace

// Little's law: a bound on what is out bounds the time it takes. It follows how long answers take against
// their aim; errors say nothing of crowding, and it only grows while it is used.
void Balancer::Impl::adapt_room(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e,
                                bool silent) {
    double ratio = 1.5;
    if (e.outcome == Outcome::completed)
        ratio = std::min(1.5, e.duration / r.kind.aim);
    else if ((e.outcome != Outcome::overdue || silent) && e.outcome != Outcome::saturated)
        return;
    if (a.sent_at < proving_since) return;  // of the time before: it says nothing of now
    s.pace.add(ratio, now, kSamples, kRateMemory);
    for (Mean* pooled : {&kind_pace[s.info.kind], &place_pace[{s.info.zone, s.info.kind}]})
        pooled->add(ratio, now, 5 * kSamples, 4 * kRateMemory);
    if (is_cold(s)) {  // slow by nature: it says nothing of the pool
        cold_pace.add(ratio, now, kSamples, kRateMemory);
        return;
    }
    last_ratio = ratio;
    if (proving && ratio < kAimShare) {
        crowding.value = std::min(crowding.value, ratio);
        room = std::max(room, outstanding + 2.0);
    }
    proving = proving && ratio < kAimShare;
    const Millis since = std::min(now - crowding.at, 1000.0);
    answers.add(1, now, kCrowdMemory);
    crowding.add(ratio, now, std::max(kSamples, answers.value), kRateMemory);
    const double pull = std::exp(kRoomGain * (kAimShare - crowding.value) * since);
    if (pull < 1)
        room = std::max(room_floor(), std::min(room, std::max<double>(mean_out, outstanding) + 1) * pull);
    else if (outstanding + 1 > room / 2)
        room = std::min(kRoomAtStart, room * pull);
}

// Where slow service alone takes that long, refusing more only idles the servers: one attempt for each
// warm live server is always allowed, and with many sidecars our part of kFloor.
double Balancer::Impl::room_floor() {
    survey();
    // Nor do equal floors starve the busy among them: each keeps a part of its own demand.
    const double asked = kLeast * kAimShare * wanted.at_time(now, kRateMemory) / kRateMemory;
    return std::max(asked, our_part() * std::max(1.0, warm_live));
}

double Balancer::Impl::our_part() const { return std::min(1.0, kFloor / std::max(1u, settings.siblings)); }

// Worth: the class worth most may fill the room, the others leave it part of theirs. A part of less than
// one attempt, in a fleet of light sidecars, bounds the mean over time.
bool Balancer::Impl::has_room(const Request& r) const {
    // With nothing out after a quick answer, what is in the way is a memory.
    if (outstanding == 0 && !r.excess && last_ratio < kAimShare) return true;
    const double worth = r.repeat ? 0 : r.kind.worth / top_worth;
    const double part =
        room * (kCommonRoom + (1 - kCommonRoom) * worth) * (r.excess ? settings.over_share_worth : 1);
    return outstanding < part && (part >= 1 || mean_out < 2 * part);
}

// Fairness. A tenant that asks for more than its share of what reaches us (a burst, or clients that
// repeat at once whatever they are told, often unmarked) has that much of its requests counted as excess:
// in a crowd they find room for what they are worth, so they starve nobody else. Without a crowd nothing
// changes.
bool Balancer::Impl::over_share(std::uint32_t tenant) {
    if (tenant >= settings.tenant_shares.size()) return false;
    asked.resize(settings.tenant_shares.size());
    asked[tenant].add(1, now, kMixMemory);
    asked_by_all.add(1, now, kMixMemory);
    const double share = settings.tenant_shares[tenant];
    const double seen = (asked[tenant].value + kMixPrior * share) / (asked_by_all.value + kMixPrior);
    return random.unit() * seen > share;
}

// Called before outstanding changes; place() calls it for dispatch() and for whoever uses the mean.
void Balancer::Impl::count_out() {
    mean_out = outstanding + (mean_out - outstanding) * fade(mean_at, now, kRateMemory);
    mean_at = now;
}

// Of the queue for room: it needs none any more.
bool Balancer::Impl::over(RequestId id) const {
    const auto it = requests.find(id);
    return it == requests.end() || it->second.ended || it->second.any_out();
}

// What is worth most goes first, then what came last: under a crowd the oldest has least use left.
void Balancer::Impl::release_held() {
    if (held.empty() || outstanding >= room) return;
    std::vector<RequestId> waiting;
    waiting.swap(held);
    std::erase_if(waiting, [&](RequestId id) { return over(id); });
    std::sort(waiting.begin(), waiting.end(), [&](RequestId a, RequestId b) {
        const Request &l = requests.at(a), &r = requests.at(b);
        return l.kind.worth != r.kind.worth ? l.kind.worth > r.kind.worth : l.order > r.order;
    });
    for (const RequestId id : waiting) place(requests.at(id));
}

// Shed what can't be answered any more: clients that wait for less than an answer takes only fill servers
// with work that serves nobody.
bool Balancer::Impl::hopeless(const Request& r) const {
    const auto at = took.find(r.class_index);
    return at != took.end() && now + kHopeless * at->second.mean.value > r.deadline;
}

// Of an answer of its class, of late.
Millis Balancer::Impl::answer_time(const Request& r) const {
    const auto at = took.find(r.class_index);
    return at == took.end() ? kAimShare * r.kind.aim : at->second.mean.value;
}

bool Balancer::Impl::proof_due(const Request& r) const {
    const Took& known = took.at(r.class_index);
    return now >= std::max(known.mean.at, known.proof_at) + kProof;
}

bool Balancer::Impl::room_proof_due(const Request& r) const {
    const Millis least = std::min(kLongestProof, kProof / our_part());
    return !r.excess && now >= std::max(completed_at, room_proof_at) + least;
}

}  // namespace kestrelhall
