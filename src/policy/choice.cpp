// Choice of a server: of two drawn from our part of the pool the one with fewer of our requests out.
#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

namespace {

// Servers that a class worth more is confined to are taken by others where they answer in so much less time.
constexpr double kLeave = 0.5;
constexpr double kLeastPace = 0.05;  // below this share of the aim, quicker is no better

}  // namespace

Server* Balancer::Impl::pick(const Request& r, bool admitted) {
    std::vector<Server*> live, leave, again;
    const auto offer = [&](Server& s) {
        if (s.standing == Standing::live && (admitted || is_cold(s)) && may_send(r, s))
            (r.tried(s.info.id) || shuns(r, s) ? again : better_left(r, s) ? leave : live).push_back(&s);
    };
    if (!may_go(r)) return nullptr;
    if (Server* const worth_it = pick_candidate(r, admitted)) return worth_it;
    const std::vector<Server*>& from = pool(r);
    const double part = wanted_part();
    // The share of it all that is looked at: of what is in use, and of what is to come.
    const double all =
        std::max(std::min(part, static_cast<double>(fleet.size())), static_cast<double>(used.size()));
    const double share = std::min(1.0, kMost / std::max(1.0, all));
    some_of(random, used, static_cast<std::size_t>(std::ceil(share * static_cast<double>(used.size()))),
            offer);
    some_of(random, cold, kMost, [&](Server& s) {
        if (!s.in_use) offer(s);
    });
    double least = kind_pace.empty() ? kLeastPace : 1;  // cost, of any kind
    for (const auto& [kind, pace] : kind_pace) least = std::min(least, std::max(kLeastPace, pace.value));
    const auto spare = [&](const Server* s) {
        ++looked;
        return (!s->in_use || share < 1) && s->warm && std::find(live.begin(), live.end(), s) == live.end();
    };
    const int draws = kDraws + static_cast<int>(std::min(share * part, 2.0 * kMost));
    for (int i = admitted && !from.empty() ? draws : 0;
         i > 0 && static_cast<double>(live.size()) < share * part; --i) {
        Server* s = from[random.below(from.size())];
        if (!s->in_use && spare(s) && random.unit() * cost(*s) < least) offer(*s);
    }
    if (admitted && live.empty() && totals.open[r.class_index].warm > 0) {
        // One after another, then; but not all of thousands, where there is one that would do.
        const std::size_t n = from.size(), first = n > kMost ? random.below(n) : 0;
        for (std::size_t i = 0; i < n && live.empty(); ++i) {
            if (i >= 4 * kMost && leave.size() + again.size() > 0) break;
            if (Server* s = from[(first + i) % n]; spare(s)) offer(*s);
        }
    }
    if (live.empty()) live.swap(leave);
    if (live.empty()) live.swap(again);
    if (live.empty()) return nullptr;
    Server* const best = better_of_two(live);
    if (leave.empty()) return best;
    Server* const other = better_of_two(leave);
    return std::max(kLeastPace, pace(*other)) < kLeave * pace(*best) ? other : best;
}

// Where everyone that is listed and may serve it has been removed, the backoff that ends first ends now.
// That takes a list that leaves none of the half that stays: the one case in which all removed are asked.
Server* Balancer::Impl::last_resort(const Request& r) {
    if (totals.open[r.class_index].live > 0 || !may_go(r)) return nullptr;
    if (due.size() > kMost)
        for (const ServerId id : due)
            if (Server& s = servers.at(id); may_send(r, s)) return &s;
    for (const auto& [until, id] : ejected)
        if (Server& s = servers.at(id); may_send(r, s)) return &s;
    return nullptr;
}

// Two of those worth it to this request, as its caller has told, if any of them may have it.
Server* Balancer::Impl::pick_candidate(const Request& r, bool admitted) {
    std::vector<Server*> live;
    for (const ServerId id : r.candidates) {
        const auto at = servers.find(id);
        if (at == servers.end() || r.tried(id) || shuns(r, at->second)) continue;
        Server& s = at->second;
        if (s.standing == Standing::live && (admitted || is_cold(s)) && may_send(r, s)) live.push_back(&s);
    }
    return live.empty() ? nullptr : better_of_two(live);
}

// Of what is bound to one server there is nothing to choose.
Server* Balancer::Impl::its_own(const Request& r, bool admitted) {
    const auto at = servers.find(r.bound_to);
    if (at == servers.end() || at->second.standing != Standing::live) return nullptr;
    Server& s = at->second;
    return (admitted || is_cold(s)) && may_send(r, s) ? &s : nullptr;
}

// Its server takes nothing new, nor will it before the request has waited for as long as it may.
bool Balancer::Impl::forsaken(const Request& r) const {
    if (!r.bound_to) return false;
    const auto at = servers.find(r.bound_to);
    return at == servers.end() || !at->second.on() ||
           (at->second.standing == Standing::removed && at->second.backoff_until > r.hold_until);
}

// A server that a class worth more is confined to is left to it by those that may go elsewhere.
bool Balancer::Impl::better_left(const Request& r, const Server& s) const {
    for (std::uint32_t c = 0; c < settings.classes.size(); ++c)
        if (const RequestClass& k = settings.classes[c];
            c != r.class_index && (k.zones || k.kinds) && k.worth > r.kind.worth && open_to(c, s.info))
            return true;
    return false;
}

// The mechanism's pick: of two at random the one with fewer of our requests outstanding.
Server* Balancer::Impl::better_of_two(std::vector<Server*>& live) {
    std::swap(live[draw(live)], live.back());
    Server* const first = live.back();
    live.pop_back();
    if (live.empty()) return first;
    Server* const second = live[draw(live)];
    const bool other = second->outstanding < first->outstanding ||
                       (second->outstanding == first->outstanding && cost(*second) < cost(*first));
    return other ? second : first;
}

// One of them at random, by quickness: with each kind's share of the work as the inverse of the
// time its answers take, fast and slow machines end up equally busy.
std::size_t Balancer::Impl::draw(const std::vector<Server*>& from) {
    const std::size_t n = from.size();
    double sum = 0;
    for (std::size_t i = 0; i < n; ++i) sum += quickness(*from[i]);
    double at = random.unit() * sum;
    for (std::size_t i = 0; i + 1 < n; ++i)
        if ((at -= quickness(*from[i])) < 0) return i;
    return n - 1;
}

double Balancer::Impl::quickness(const Server& s) { return 1 / cost(s); }

// What a send there costs: the time of answers against the aim, and what is paid for crossing zones.
double Balancer::Impl::cost(const Server& s) {
    ++looked;
    const bool far = settings.my_zone && s.info.zone != *settings.my_zone;
    return std::max(kLeastPace, pace(s)) + (far ? settings.fees.cross_zone : 0);
}

// What answers of a server take against their aim: its own of late, as far as there are any, else those
// of its kind in its zone, else of its kind. A light sidecar meets a server too seldom to know it, but
// knows its kind, and a crowded zone from a free one.
double Balancer::Impl::pace(const Server& s) {
    const double n = s.carried.at_time(now, kRateMemory);
    const auto place = place_pace.find({s.info.zone, s.info.kind});
    const double kind = place != place_pace.end() ? place->second.value : kind_pace[s.info.kind].value;
    return kind + (s.pace.value - kind) * n / (n + kKindWorth);
}

}  // namespace kestrelhall
