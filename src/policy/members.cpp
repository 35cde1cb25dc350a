// Membership: the list of servers, and what is kept of all of them for the decisions.
#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "policy/balancer_impl.hpp"

namespace kestrelhall {

void Balancer::Impl::on(const Started&) {
    started_at = now;
    if (settings.list_on_request) act(Subscribe{true});
}

void Balancer::Impl::on(const ServerList& list) {
    if (list.kind == ListKind::failed) {
        // The list is one service for all: come back later and not in step with the others, but in time:
        // who has not asked for ask_within counts as told of every drain (rule 3).
        if (renewing) return;  // several failures are one reason to ask again
        const Millis wait = resubscribe * (0.5 + 0.5 * random.unit());
        set_timer(now + (settings.ask_within > 0 ? std::min(wait, settings.ask_within) : wait), std::nullopt);
        renewing = true;
        resubscribe = std::min(resubscribe * 2, kLongestResubscribe);
        return;
    }
    if (list.kind != ListKind::saved) resubscribe = kResubscribe;
    stale = true;
    if (list.kind != ListKind::incremental)
        for (auto& [id, s] : servers) s.listed = false;
    for (const ServerInfo& info : list.servers) learn(info);
    for (auto it = servers.begin(); it != servers.end();)
        it = !it->second.listed && it->second.outstanding == 0 ? servers.erase(it) : std::next(it);
    index();
    surveyed_at = -kSurvey;
    forget_gone();
    release_held();
}

// All that is kept of all servers, anew.
void Balancer::Impl::index() {
    fleet.clear(), used.clear(), cold.clear(), warming.clear(), ejected.clear(), due.clear();
    carried.clear();
    for (auto& [id, s] : servers) {
        s.in_use = s.in_use && s.on();
        if (s.in_use) s.seat = used.size(), used.push_back(&s);
        if (!s.on()) continue;
        if (s.standing == Standing::removed) ejected.emplace(s.backoff_until, id);
        fleet.push_back(&s);
        s.warm = !is_cold(s);
        if (s.warm)
            carried[s.info.kind].add(s.carried.at_time(now, kRateMemory), now, kRateMemory);
        else
            cold.push_back(&s);
    }
    warming = cold;
    std::stable_sort(warming.begin(), warming.end(), [](const Server* a, const Server* b) {
        return a->info.online_since > b->info.online_since;
    });
    group();
    totals = pass();
    stale = false;
}

void Balancer::Impl::group() {
    confined.assign(settings.classes.size() + 1, {}), zones.clear(), cells.clear();
    const auto keyed = [&](DedupScope scope) {
        return std::any_of(settings.classes.begin(), settings.classes.end(), [&](const RequestClass& c) {
            return c.effect == Effect::by_key && c.dedup_scope == scope;
        });
    };
    const bool by_zone = keyed(DedupScope::zone), by_cell = keyed(DedupScope::cell);
    for (Server* s : fleet) {
        if (by_zone) zones[s->info.zone].push_back(s);
        if (by_cell) cells[s->info.cell].push_back(s);
        for (std::uint32_t c = 0; c < confined.size(); ++c)
            if (is_confined(c) && open_to(c, s->info)) confined[c].push_back(s);
    }
}

bool Balancer::Impl::is_confined(std::uint32_t class_index) const {
    const auto& all = settings.classes;
    const auto bound = [](const RequestClass& c) { return c.zones || c.kinds; };
    return class_index < all.size() ? bound(all[class_index]) : std::any_of(all.begin(), all.end(), bound);
}

// Whoever of the fleet may come into question for it.
const std::vector<Server*>& Balancer::Impl::pool(const Request& r) const {
    static const std::vector<Server*> nobody;
    const auto group = [](const auto& groups, std::uint32_t name) -> const std::vector<Server*>& {
        const auto at = groups.find(name);
        return at == groups.end() ? nobody : at->second;
    };
    const Attempt* first = r.kind.effect == Effect::by_key ? r.first_possible_run() : nullptr;
    if (first && r.kind.dedup_scope == DedupScope::zone) return group(zones, first->to.zone);
    if (first && r.kind.dedup_scope == DedupScope::cell) return group(cells, first->to.cell);
    return is_confined(r.class_index) ? confined[r.class_index] : fleet;
}

// The sums, from nothing: what count() keeps up to date.
Totals Balancer::Impl::pass() const {
    Totals sums;
    sums.open.resize(totals.open.size());
    for (const auto& [id, s] : servers) sums.count(s, 1, opens());
    return sums;
}

void Balancer::Impl::learn(const ServerInfo& info) {
    const auto [it, fresh] = servers.try_emplace(info.id);
    Server& s = it->second;
    const bool another = fresh || info.online_since > s.info.online_since;
    s.info = info;
    if (another) {
        // Between none and one, spread evenly over us and our siblings by our number: so each moment
        // brings of all first tokens its due share, neither all at once nor, where each has a token in
        // half a minute, none for as long.
        const auto life = static_cast<std::uint64_t>(std::max(0.0, info.online_since));
        s.tokens = lattice(Random(info.name_hash ^ life).unit(), number);
        s.tokens_at = now;
        s.standing = Standing::live;  // another process under the same name: its record starts anew
        s.window.clear();
        s.shunned_until.clear();
        s.carried = {}, s.pace = {};  // what it did then is no measure of what it can do now
    }
    s.listed = info.phase != Phase::off;
}

// Estimates of kinds and places that are gone, once they are too old to tell anything of a return; what
// was shunned for its time.
void Balancer::Impl::forget_gone() {
    std::set<std::pair<ZoneId, KindId>> places;
    std::set<KindId> kinds;
    for (auto& [id, s] : servers) {
        places.emplace(s.info.zone, s.info.kind), kinds.insert(s.info.kind);
        std::erase_if(s.shunned_until, [&](const auto& shun) { return now >= shun.second; });
    }
    const auto gone = [&](const auto& known) {
        return [&](const auto& e) { return e.second.at + 3 * kMixMemory < now && !known.contains(e.first); };
    };
    std::erase_if(place_pace, gone(places));
    std::erase_if(kind_pace, gone(kinds));
}

}  // namespace kestrelhall
