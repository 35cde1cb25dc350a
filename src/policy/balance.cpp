// Every decision of kestrelhall. The interface is include/kestrelhall/balancer.hpp.
//
// The path of a request: on(RequestArrived) takes it and sets its timer; place() sheds it if it can't be
// answered any more, looks for room (admission) and for a server: one whose backoff is over gets it as
// half-open trial, else pick() draws two live servers of our part of the pool and takes the one with fewer of
// our outstanding requests; dispatch() sends it, to run to the client's deadline. If nobody may have it now
// it is held briefly. on(AttemptEnded) books the outcome in the server's window (judge(): removal, return, a
// class's shun) and places the request again or answers it. finish() is the only final answer, may_send() and
// may_refuse() the only gates: no send and no refusal leaves without passing them.
#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "kestrelhall/balancer.hpp"
#include "policy/state.hpp"
#include "policy/support.hpp"
#include "policy/totals.hpp"

namespace kestrelhall {

namespace {

// The mechanism's own figures: io.l5d.successRate as its authors demonstrated it.
constexpr std::size_t kWindow = 20;
constexpr double kThreshold = 0.9;
constexpr Millis kBackoff = 10000;

constexpr Millis kRateMemory = 5000;        // of means and rates: long against gaps, short against a warm-up
constexpr Millis kLeastSeen = 1000;         // of it, before a rate is told from what was counted
constexpr double kSamples = kWindow / 2.0;  // or this many, where they come sooner
// Servers that a class worth more is confined to are taken by others where they answer in so much less time.
constexpr double kLeave = 0.5;
constexpr Millis kMixMemory = 4 * kRateMemory;  // of who asks for how much
constexpr double kMixPrior = 20;    // requests that as good as stand in the mix at the shares agreed
constexpr double kHopeless = 1.25;  // of what an answer takes: with less time left a try is as good as lost
// What refuses stops the answers that would correct it: where none has come for so long (where there are many
// sidecars, up to the second figure), one request goes out against it, and what that shows counts at once:
// each quick answer makes room for two more, until one is not quick. So a stall's estimates end soon after
// the stall, without a rush.
constexpr Millis kProof = 250, kLongestProof = 1500;
constexpr double kLeastPace = 0.05;  // below this share of the aim, quicker is no better
// A class that has few of a full window's outcomes shuns a server for no less than this many failures: one
// that may come from any server would drive the class from server to server, until a few carry all of it.
constexpr int kFaults = 3;
constexpr double kKindWorth = 3;  // answers of its own that weigh as much as what is known of a server's kind
// Retry budget: a fifth more attempts than requests in the long run, and this many at a stretch.
constexpr double kRetryShare = 0.2, kRetryBurst = 10;
// Admission: attempts out are kept to what brings the mean answer in at this share of its aim: more makes the
// slower answers late and overdrives servers, less refuses where service alone takes that long. The bound
// starts far off, moves by a share for the time passed, and leaves kLeast of the demand.
constexpr double kAimShare = 0.46, kRoomAtStart = 1000, kRoomGain = 0.004, kLeast = 0.25;
// Crowding is judged over this time where it brings more than kSamples answers: at a busy sidecar those few
// come within milliseconds of each other, and chance alone would pull the bound.
constexpr Millis kCrowdMemory = 300;
// A cold server is spared what is heavier than both of these, while a warm one can have it: so many means,
// and this share of the root of its N, two of which are what is put down to chance.
constexpr double kHeavy = 1.5, kHeavyShare = 0.5;
constexpr double kHeaviest = 10;  // in means, that one costs of a cold server's tokens: hints may be wild
constexpr double kFeed = 0.7;     // of the multiple that fells a cold server; the rest is for unlike machines
// Where no warm server is left to hold them against, cold ones are sent kFloor requests in that time by all
// sidecars, and so much more than they carry, while their answers come in time.
constexpr double kColdGrowth = 1.5;
constexpr double kFloor = 4;  // attempts at a server by all sidecars together that admission always leaves
constexpr double kHold = 1.0 / 16;  // of the aim: what cannot go out by then had better be tried anew
// The part of the room that is there for every class, however little its worth, and all that repeats get: a
// repeat's aim has been running since its first try.
constexpr double kCommonRoom = 0.6;
constexpr Millis kSurvey = 100;  // between surveys; a server warms and fills slower than that
constexpr int kDraws = 16;       // of a server for our part, before what we have must do
// Where more servers come into question than this, a decision looks at a random choice of so many: among
// thousands it costs what it costs among so many, and two of them at random are two of all.
constexpr std::size_t kMost = 32;
// Our part of the pool shrinks as load falls, but not with each lull: it is held against the most that was
// needed in the last one to two kRest. Once it is kSlack of that, servers leave until it is just that, as a
// share of what is too much for the time passed, looked at so often at most.
constexpr Millis kRest = 60000, kNarrow = 200;
constexpr long kSlack = 2;
constexpr Millis kEver = std::numeric_limits<Millis>::infinity();
// After a failed call for the list: the first wait at the longest, which doubles. What was missed counts as
// told 6 s later whatever we do, so a few of them together have to stay well below that.
constexpr Millis kResubscribe = 25, kLongestResubscribe = 800;

}  // namespace

struct Balancer::Impl {
    Impl(Settings s, std::uint64_t seed) : settings(std::move(s)), random(seed) {
        validate(settings);
        for (const RequestClass& c : settings.classes) top_worth = std::max(top_worth, c.worth);
        totals.open.resize(settings.classes.size() + 1);
        asked_at.resize(totals.open.size(), -4 * kRest);
        number = settings.number ? *settings.number : static_cast<double>(random.below(1U << 20));
    }

    Settings settings;
    Random random;
    double number;  // among our siblings
    Millis now = 0;
    std::vector<Action>* actions = nullptr;
    std::map<ServerId, Server> servers;
    std::unordered_map<RequestId, Request> requests;                  // never iterated
    std::unordered_map<TimerToken, std::optional<RequestId>> timers;  // none: the list's
    TimerToken next_token = 1;
    std::uint64_t next_order = 0;
    Millis resubscribe = kResubscribe;
    bool renewing = false;  // its timer is set
    double retry_budget = kRetryBurst;
    int outstanding = 0;  // at servers that were warm when asked
    double mean_out = 0;  // the same, its mean over time of late
    Millis mean_at = 0;
    Tally wanted;              // the aims of first tries
    std::vector<Tally> asked;  // by tenant
    Tally asked_by_all;
    struct Took {
        Mean mean;
        Millis proof_at = 0;  // when a proof last went out
    };
    std::map<std::uint32_t, Took> took;  // by an answer, by class
    Mean answered{1};                    // share of attempts answered in time, of late
    Average hinted, lasted;              // work of requests: as clients tell it, and as their answers lasted
    std::map<std::uint32_t, Average> lasted_by_class;
    std::map<KindId, Mean> kind_pace;
    std::map<std::pair<ZoneId, KindId>, Mean> place_pace;
    Mean cold_pace;  // of all cold ones together: a light sidecar meets each of them too seldom
    Mean crowding;   // answers' time against their aim, of late
    Millis completed_at = 0, room_proof_at = 0;  // an attempt; when one last went out against the room
    bool proving = false;                        // what has gone out since then is answered quickly
    Millis proving_since = 0;
    double last_ratio = 0;  // the latest of them
    Tally answers;          // that it is a mean of
    double top_worth = 1e-9;
    double room = kRoomAtStart;   // attempts that may be outstanding
    std::vector<RequestId> held;  // may name finished ones
    std::vector<RequestId> done;  // ended during this event
    std::vector<Server*> fleet;   // listed as on
    std::vector<Server*> used;    // our part of the pool, and what has just left it
    std::vector<Server*> cold;    // of the fleet, when last listed
    // Removed from the pool and listed as on, by the end of the backoff; those whose backoff is over.
    std::set<std::pair<Millis, ServerId>> ejected;
    std::set<ServerId> due;
    ServerId due_from = 0;  // the next of many to be looked at
    // Of the fleet: open to a class that is confined; and for repeats of keys, those that share their memory.
    std::vector<std::vector<Server*>> confined;
    std::map<std::uint32_t, std::vector<Server*>> zones, cells;
    std::vector<Server*> warming;  // the cold ones, who is warm first last
    Totals totals;
    std::map<KindId, Tally> carried;  // by the warm ones of the fleet
    Peak need;                        // of servers in use, for each class that asks
    std::vector<Millis> asked_at;     // by class, when it last did
    Millis narrowed_at = 0;
    bool narrowing = false;
    bool stale = false;                // what is kept of all servers, as a list was being learned
    mutable std::uint64_t looked = 0;  // at servers
    // Of the fleet, as last surveyed: completed by a warm server of the kind for us in a millisecond; by one
    // of the least of kinds; warm and in the pool.
    std::map<KindId, double> warm_rate;
    double least_rate = 0, warm_live = 0;
    Millis surveyed_at = -kSurvey, started_at = -1e9;

    void act(const auto& action) { actions->emplace_back(action); }

    // ---- The rules: the only gates ----------------------------------------------------------------------

    bool proves_never_ran(Outcome o) const {
        return o == Outcome::refused_connection || o == Outcome::superseded || o == Outcome::not_sent ||
               (o == Outcome::saturated && !settings.saturated_is_no_proof);
    }

    // Placement. A class we don't know might be bound as any of ours: it may go only where all of them may.
    bool open_to(std::uint32_t class_index, const ServerInfo& s) const {
        const auto open = [&](const RequestClass& c) {
            return holds(c.zones, s.zone) && holds(c.kinds, s.kind);
        };
        const auto& all = settings.classes;
        return class_index < all.size() ? open(all[class_index]) : std::all_of(all.begin(), all.end(), open);
    }

    auto opens() const {
        return [this](std::uint32_t c, const ServerInfo& info) { return open_to(c, info); };
    }

    bool in_scope(const Request& r, const Attempt& a, const ServerInfo& s) const {
        if (r.kind.dedup_scope == DedupScope::all) return true;
        return r.kind.dedup_scope == DedupScope::zone ? a.to.zone == s.zone : a.to.cell == s.cell;
    }

    // To anyone.
    bool may_go(const Request& r) const {
        if (r.ended || r.streaming || now >= r.deadline) return false;  // rule 1
        if (r.attempts.size() >= settings.max_attempts) return false;
        if (r.any_out() && (!settings.parallel_tries || r.kind.effect == Effect::once)) return false;
        return now < begin_by(r);  // rule 2
    }

    // Until when a copy may run beside what may have run already. A key's memory counts from the earliest
    // moment at which that can have been: when it was sent.
    Millis copies_until(const Request& r) const {
        const Attempt* first = r.first_possible_run();
        if (!first || r.kind.effect == Effect::repeatable) return kEver;
        return r.kind.effect == Effect::by_key ? first->sent_at + r.kind.dedup_window : -kEver;
    }
    // Until when a further attempt has to be written whole, so that it also begins in time: at its server it
    // may queue. Nobody tells for how long; what is answered within what an answer takes, be it as agreed or
    // of late, has begun by then. What is slower is withdrawn at copies_until (dispatch()).
    Millis begin_by(const Request& r) const {
        const Millis until = copies_until(r);
        return std::isinf(until) ? until : until - std::max(r.kind.aim, answer_time(r));
    }
    // Of an answer of its class, of late.
    Millis answer_time(const Request& r) const {
        const auto at = took.find(r.class_index);
        return at == took.end() ? kAimShare * r.kind.aim : at->second.mean.value;
    }

    bool may_send(const Request& r, Server& s) {
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

    bool may_refuse(const Request& r) const {
        if (r.ended || r.streaming) return false;
        const bool anywhere = r.kind.effect != Effect::by_key || r.kind.dedup_scope == DedupScope::all;
        if (!anywhere && r.first_possible_run()) return false;
        return now + answer_time(r) < begin_by(r);  // its client comes back when we tell it to
    }

    // Slow start. A server of age a does at least cold_from of its work, rising evenly to all of it at
    // warm_within. We send it that share of what a warm server carries for us (not of the mean of all, which
    // starting servers pull down), so the sum over all sidecars stays within what it can do without agreement
    // among them. Carried, not asked for: in a storm of retries that is many times what a warm server can do.
    bool is_cold(const Server& s) const {
        return settings.warm_within > 0 && s.info.online_since > 0 &&
               now < s.info.online_since + settings.warm_within;
    }
    // What has been counted since then stands for all of the memory's length: what a count is divided by.
    Millis seen_since(Millis since) const {
        const Millis from = std::min(std::max(since, started_at), now - kLeastSeen);
        return kRateMemory * (1 - fade(from, now, kRateMemory));
    }
    // Taken anew at most this often: a server warms and fills slower than that.
    void survey() {
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
    double cold_tokens(Server& s) {
        const Millis since = std::min(now - s.tokens_at, settings.fall_within);
        s.tokens = std::min(s.tokens + since * cold_rate(s) * s.info.part, 1.0);
        s.tokens_at = now;
        return s.tokens;
    }
    // A server falls by work. No setting tells what a class costs: a client's hint does, else how long
    // answers of warm servers last, by class. Against the mean of all that were asked of late.
    double work(const Request& r, Millis hint) {
        if (hint > 0) {
            hinted.add(hint, now, kMixMemory);
            return hint / hinted.value();
        }
        const auto own = lasted_by_class.find(r.class_index);
        if (own == lasted_by_class.end() || own->second.count.value < 1 || lasted.sum.value <= 0) return 1;
        return own->second.value() / lasted.value();
    }
    // Where N is small, one heavy request is much of what chance may add.
    bool bears(const Request& r, const Server& s) {
        if (r.work <= kHeavy || r.bound_to || totals.open[r.class_index].warm == 0) return true;
        const double n = cold_share(s) * warm_of(s) * settings.fall_multiple * settings.fall_within *
                         std::max(1u, settings.siblings);
        return r.work <= kHeavyShare * std::sqrt(n);
    }
    double cold_share(const Server& s) const {
        const double age = std::max(0.0, now - s.info.online_since) / settings.warm_within;
        return settings.cold_from + (1 - settings.cold_from) * std::min(1.0, age);
    }
    double warm_of(const Server& s) {
        survey();
        const auto rate = warm_rate.find(s.info.kind);
        return rate == warm_rate.end() ? least_rate : rate->second;
    }
    double cold_rate(const Server& s) {
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

    // ---- Membership -------------------------------------------------------------------------------------

    void on(const Started&) {
        started_at = now;
        if (settings.list_on_request) act(Subscribe{true});
    }

    void on(const ServerList& list) {
        if (list.kind == ListKind::failed) {
            // The list is one service for all: come back later and not in step with the others, but in time:
            // who has not asked for ask_within counts as told of every drain (rule 3).
            if (renewing) return;  // several failures are one reason to ask again
            const Millis wait = resubscribe * (0.5 + 0.5 * random.unit());
            set_timer(now + (settings.ask_within > 0 ? std::min(wait, settings.ask_within) : wait),
                      std::nullopt);
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
    void index() {
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

    void group() {
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
    bool is_confined(std::uint32_t class_index) const {
        const auto& all = settings.classes;
        const auto bound = [](const RequestClass& c) { return c.zones || c.kinds; };
        return class_index < all.size() ? bound(all[class_index])
                                        : std::any_of(all.begin(), all.end(), bound);
    }
    // Whoever of the fleet may come into question for it.
    const std::vector<Server*>& pool(const Request& r) const {
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
    Totals pass() const {
        Totals sums;
        sums.open.resize(totals.open.size());
        for (const auto& [id, s] : servers) sums.count(s, 1, opens());
        return sums;
    }
    // Takes a server out of the sums for the length of a change to what they count.
    template <class Change>
    void changing(Server& s, Change change) {
        totals.count(s, -1, opens());
        change();
        totals.count(s, 1, opens());
    }

    // Those whose warm-up is over count as warm from now on.
    void warm_up() {
        if (warming.empty() || is_cold(*warming.back())) return;
        for (; !warming.empty() && !is_cold(*warming.back()); warming.pop_back()) {
            Server& s = *warming.back();
            ++looked;
            changing(s, [&] { s.warm = true; });
            carried[s.info.kind].add(s.carried.at_time(now, kRateMemory), now, kRateMemory);
        }
        std::erase_if(cold, [](const Server* s) { return s->warm; });
    }

    void use(Server& s) {
        if (s.in_use) return;
        s.seat = used.size();
        used.push_back(&s);
        changing(s, [&] { s.in_use = true; });
    }
    void leave(Server& s) {
        if (!s.in_use) return;
        changing(s, [&] { s.in_use = false; });
        used.back()->seat = s.seat;
        used[s.seat] = used.back();
        used.pop_back();
    }
    void eject(Server& s) {
        if (s.on()) ejected.emplace(s.backoff_until, s.info.id);
    }
    void readmit(Server& s) { ejected.erase({s.backoff_until, s.info.id}), due.erase(s.info.id); }

    // Estimates of kinds and places that are gone, once they are too old to tell anything of a return; what
    // was shunned for its time.
    void forget_gone() {
        std::set<std::pair<ZoneId, KindId>> places;
        std::set<KindId> kinds;
        for (auto& [id, s] : servers) {
            places.emplace(s.info.zone, s.info.kind), kinds.insert(s.info.kind);
            std::erase_if(s.shunned_until, [&](const auto& shun) { return now >= shun.second; });
        }
        const auto gone = [&](const auto& known) {
            return
                [&](const auto& e) { return e.second.at + 3 * kMixMemory < now && !known.contains(e.first); };
        };
        std::erase_if(place_pace, gone(places));
        std::erase_if(kind_pace, gone(kinds));
    }

    void learn(const ServerInfo& info) {
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

    // Counts for nobody: it never left us.
    static bool our_doing(Outcome o) { return o == Outcome::superseded || o == Outcome::not_sent; }

    // ---- Verdict: window, backoff, trial ----------------------------------------------------------------

    void judge(Server& s, const Request& r, const Attempt& a, Outcome outcome, bool late, bool silent) {
        const bool success = outcome == Outcome::completed && !late;  // past its aim: as good as timed out
        const bool verdict =
            outcome != Outcome::recalled && outcome != Outcome::link_lost && !our_doing(outcome);
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

    // The window's other classes are served: then the class shuns the server and the rest keep it.
    static bool fails_one_class(const Server& s, std::uint32_t class_index) {
        return s.share_of(class_index, false, kKindWorth) >= kThreshold;
    }

    // Shared slowness makes every server fail, and removing them all makes it an outage. So a server is held
    // against the others: 0.9 of their success share, less three standard errors of a window of that share.
    // While the others don't fail, this is 0.9. A window not yet full is judged as if the rest were
    // successes: what is certain need not wait, least of all where traffic is thin.
    bool below_threshold(const Server& s) const {
        const double unfilled = static_cast<double>(kWindow - s.window.size());
        const double share = (s.successes() + unfilled) / kWindow;
        if (share >= kThreshold) return false;  // whatever the others do
        const double level = level_without(s);
        const double noise = std::sqrt(level * (1 - level) / static_cast<double>(kWindow));
        return share < kThreshold * level - 3 * noise;
    }

    // One that is live itself.
    double level_without(const Server& s) const {
        const double all = static_cast<double>(totals.outcomes) - static_cast<double>(s.window.size());
        return all > 0 ? (static_cast<double>(totals.successes) - s.successes()) / all : 1;
    }

    // Panic threshold: half of the listed servers stay in the pool, whatever their windows say; for each
    // class, half of those open to it.
    bool may_remove(const Server& one) const {
        for (std::uint32_t c = 0; c < settings.classes.size(); ++c)
            if (open_to(c, one.info) && 2 * (totals.open[c].out + 1) > totals.open[c].listed) return false;
        return true;
    }

    void remove(Server& s) {
        if (s.standing == Standing::live) act(Log{"removed from the pool", s.info.id});
        leave(s);
        s.backoff_until = now + kBackoff;
        eject(s);
        changing(s, [&] { s.standing = Standing::removed; });
    }

    void restore(Server& s) {
        changing(s, [&] {
            s.standing = Standing::live;
            s.window.clear();
        });
        act(Log{"restored after a trial", s.info.id});
    }

    // ---- Pick -------------------------------------------------------------------------------------------

    Server* due_trial(const Request& r) {
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

    // Where everyone that is listed and may serve it has been removed, the backoff that ends first ends now.
    // That takes a list that leaves none of the half that stays: the one case in which all removed are asked.
    Server* last_resort(const Request& r) {
        if (totals.open[r.class_index].live > 0 || !may_go(r)) return nullptr;
        if (due.size() > kMost)
            for (const ServerId id : due)
                if (Server& s = servers.at(id); may_send(r, s)) return &s;
        for (const auto& [until, id] : ejected)
            if (Server& s = servers.at(id); may_send(r, s)) return &s;
        return nullptr;
    }

    // Our part of the pool: two servers more than we have attempts out. Over more of them a light sidecar
    // fills no window; one that is removed leaves its place to another.
    double wanted_part() const { return std::max<double>(mean_out, outstanding) + 2; }

    // A burst widens our part at once. After it those leave that are too many for every class that asks: idle
    // ones, of the emptiest window first, and of these who was used least lately.
    void narrow() {
        need.add(wanted_part(), now, kRest);
        if (now < narrowed_at + kNarrow) return;
        const double share = 1 - fade(std::exchange(narrowed_at, now), now, kRateMemory);
        const long keep = static_cast<long>(std::ceil(need.value())), most = narrowing ? keep : kSlack * keep;
        const double excess = static_cast<double>(used.size()) - static_cast<double>(keep);
        narrowing = false;
        if (static_cast<long>(used.size()) <= most) return;
        std::vector<Server*> idle;
        some_of(used, kMost, [&](Server& s) {
            ++looked;
            if (s.outstanding == 0 && s.standing == Standing::live && s.warm) idle.push_back(&s);
        });
        std::sort(idle.begin(), idle.end(), [](const Server* a, const Server* b) {
            return std::tuple(a->window.size(), a->sent_at, a->info.id) <
                   std::tuple(b->window.size(), b->sent_at, b->info.id);
        });
        double leaving = std::min(std::ceil(share * excess), kMost / 2.0);
        for (Server* s : idle) {
            if (leaving < 1) break;
            if (!spared(*s, most)) continue;
            leave(*s);
            leaving -= 1;
            narrowing = true;
        }
    }
    // Each class that asks has more than so many in use without it.
    bool spared(const Server& s, long most) const {
        for (std::uint32_t c = 0; c < asked_at.size(); ++c)
            if (now < asked_at[c] + 2 * kRest && open_to(c, s.info) && totals.open[c].used <= most)
                return false;
        return true;
    }

    Server* pick(const Request& r, bool admitted) {
        std::vector<Server*> live, leave, again;
        const auto offer = [&](Server& s) {
            if (s.standing == Standing::live && (admitted || is_cold(s)) && may_send(r, s))
                (r.tried(s.info.id) || shuns(r, s) ? again : better_left(r, s) ? leave : live).push_back(&s);
        };
        if (!may_go(r)) return nullptr;
        const std::vector<Server*>& from = pool(r);
        const double part = wanted_part();
        // The share of it all that is looked at: of what is in use, and of what is to come.
        const double all =
            std::max(std::min(part, static_cast<double>(fleet.size())), static_cast<double>(used.size()));
        const double share = std::min(1.0, kMost / std::max(1.0, all));
        some_of(used, static_cast<std::size_t>(std::ceil(share * static_cast<double>(used.size()))), offer);
        some_of(cold, kMost, [&](Server& s) {
            if (!s.in_use) offer(s);
        });
        double least = kind_pace.empty() ? kLeastPace : 1;  // cost, of any kind
        for (const auto& [kind, pace] : kind_pace) least = std::min(least, std::max(kLeastPace, pace.value));
        const auto spare = [&](const Server* s) {
            ++looked;
            return (!s->in_use || share < 1) && s->warm &&
                   std::find(live.begin(), live.end(), s) == live.end();
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

    // Of what is bound to one server there is nothing to choose.
    Server* its_own(const Request& r, bool admitted) {
        const auto at = servers.find(r.bound_to);
        if (at == servers.end() || at->second.standing != Standing::live) return nullptr;
        Server& s = at->second;
        return (admitted || is_cold(s)) && may_send(r, s) ? &s : nullptr;
    }
    // Its server takes nothing new, nor will it before the request has waited for as long as it may.
    bool forsaken(const Request& r) const {
        if (!r.bound_to) return false;
        const auto at = servers.find(r.bound_to);
        return at == servers.end() || !at->second.on() ||
               (at->second.standing == Standing::removed && at->second.backoff_until > r.hold_until);
    }

    // So many of them, from a random place on where that is not all.
    template <class Take>
    void some_of(const std::vector<Server*>& from, std::size_t most, Take take) {
        const std::size_t n = from.size(), first = n > most ? random.below(n) : 0;
        for (std::size_t i = 0; i < std::min(n, most); ++i) take(*from[(first + i) % n]);
    }

    // A server that a class worth more is confined to is left to it by those that may go elsewhere.
    bool better_left(const Request& r, const Server& s) const {
        for (std::uint32_t c = 0; c < settings.classes.size(); ++c)
            if (const RequestClass& k = settings.classes[c];
                c != r.class_index && (k.zones || k.kinds) && k.worth > r.kind.worth && open_to(c, s.info))
                return true;
        return false;
    }

    // The mechanism's pick: of two at random the one with fewer of our requests outstanding.
    Server* better_of_two(std::vector<Server*>& live) {
        std::swap(live[draw(live)], live.back());
        Server* const first = live.back();
        live.pop_back();
        if (live.empty()) return first;
        Server* const second = live[draw(live)];
        const bool other = second->outstanding < first->outstanding ||
                           (second->outstanding == first->outstanding && cost(*second) < cost(*first));
        return other ? second : first;
    }

    bool shuns(const Request& r, const Server& s) const {
        const auto at = s.shunned_until.find(r.class_index);
        return at != s.shunned_until.end() && now < at->second;
    }

    // What a send there costs: the time of answers against the aim, and what is paid for crossing zones.
    double cost(const Server& s) {
        ++looked;
        const bool far = settings.my_zone && s.info.zone != *settings.my_zone;
        return std::max(kLeastPace, pace(s)) + (far ? settings.fees.cross_zone : 0);
    }

    // What answers of a server take against their aim: its own of late, as far as there are any, else those
    // of its kind in its zone, else of its kind. A light sidecar meets a server too seldom to know it, but
    // knows its kind, and a crowded zone from a free one.
    double pace(const Server& s) {
        const double n = s.carried.at_time(now, kRateMemory);
        const auto place = place_pace.find({s.info.zone, s.info.kind});
        const double kind = place != place_pace.end() ? place->second.value : kind_pace[s.info.kind].value;
        return kind + (s.pace.value - kind) * n / (n + kKindWorth);
    }

    // One of them at random, by quickness: with each kind's share of the work as the inverse of the
    // time its answers take, fast and slow machines end up equally busy.
    std::size_t draw(const std::vector<Server*>& from) {
        const std::size_t n = from.size();
        double sum = 0;
        for (std::size_t i = 0; i < n; ++i) sum += quickness(*from[i]);
        double at = random.unit() * sum;
        for (std::size_t i = 0; i + 1 < n; ++i)
            if ((at -= quickness(*from[i])) < 0) return i;
        return n - 1;
    }
    double quickness(const Server& s) { return 1 / cost(s); }

    // ---- Admission --------------------------------------------------------------------------------------

    // Little's law: a bound on what is out bounds the time it takes. It follows how long answers take against
    // their aim; errors say nothing of crowding, and it only grows while it is used.
    void adapt_room(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e, bool silent) {
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
    double room_floor() {
        survey();
        // Nor do equal floors starve the busy among them: each keeps a part of its own demand.
        const double asked = kLeast * kAimShare * wanted.at_time(now, kRateMemory) / kRateMemory;
        return std::max(asked, our_part() * std::max(1.0, warm_live));
    }
    double our_part() const { return std::min(1.0, kFloor / std::max(1u, settings.siblings)); }

    // Worth: the class worth most may fill the room, the others leave it part of theirs. A part of less than
    // one attempt, in a fleet of light sidecars, bounds the mean over time.
    bool has_room(const Request& r) const {
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
    bool over_share(std::uint32_t tenant) {
        if (tenant >= settings.tenant_shares.size()) return false;
        asked.resize(settings.tenant_shares.size());
        asked[tenant].add(1, now, kMixMemory);
        asked_by_all.add(1, now, kMixMemory);
        const double share = settings.tenant_shares[tenant];
        const double seen = (asked[tenant].value + kMixPrior * share) / (asked_by_all.value + kMixPrior);
        return random.unit() * seen > share;
    }

    // Called before outstanding changes; place() calls it for dispatch() and for whoever uses the mean.
    void count_out() {
        mean_out = outstanding + (mean_out - outstanding) * fade(mean_at, now, kRateMemory);
        mean_at = now;
    }

    // Of the queue for room: it needs none any more.
    bool over(RequestId id) const {
        const auto it = requests.find(id);
        return it == requests.end() || it->second.ended || it->second.any_out();
    }

    // What is worth most goes first, then what came last: under a crowd the oldest has least use left.
    void release_held() {
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

    // ---- A request --------------------------------------------------------------------------------------

    void on(const RequestArrived& e) {
        const auto [it, fresh] = requests.try_emplace(e.id);
        if (!fresh) return;
        Request& r = it->second;
        r.id = e.id;
        // What we don't know is one class: estimates by class stay as few as classes.
        r.class_index = std::min(e.class_index, static_cast<std::uint32_t>(settings.classes.size()));
        r.repeat = e.repeat;
        r.bound_to = e.bound_to;
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

    // Shed what can't be answered any more: clients that wait for less than an answer takes only fill servers
    // with work that serves nobody.
    bool hopeless(const Request& r) const {
        const auto at = took.find(r.class_index);
        return at != took.end() && now + kHopeless * at->second.mean.value > r.deadline;
    }
    bool proof_due(const Request& r) const {
        const Took& known = took.at(r.class_index);
        return now >= std::max(known.mean.at, known.proof_at) + kProof;
    }
    bool room_proof_due(const Request& r) const {
        const Millis least = std::min(kLongestProof, kProof / our_part());
        return !r.excess && now >= std::max(completed_at, room_proof_at) + least;
    }

    void place(Request& r) {
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
    void hold(Request& r) {
        if (r.any_out()) return;
        if (now >= r.hold_until || r.attempts.size() >= settings.max_attempts || forsaken(r) ||
            now >= begin_by(r))
            return finish(r);
        held.push_back(r.id);
        if (r.waiting) return;
        r.waiting = true;
        r.hold_timer = set_timer(r.hold_until, r.id);
    }

    void dispatch(Request& r, Server& s) {
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

    void on(const FirstByte& e) {
        const auto it = requests.find(e.id);
        if (it != requests.end() && e.attempt < it->second.attempts.size()) it->second.streaming = true;
    }

    void book(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e) {
        --s.outstanding;
        // Silence: it ran out of time and nothing has come from the server since it was sent. That is a dead
        // server or a lost path, not crowding, unless most attempts end so: then it is shared slowness.
        const bool overdue = e.outcome == Outcome::overdue;
        if (!our_doing(e.outcome)) answered.add(overdue ? 0.0 : 1.0, now, kSamples, kRateMemory);
        const bool silent = overdue && s.answered_at < a.sent_at && answered.value > 0.5;
        if (e.outcome == Outcome::completed || e.outcome == Outcome::errored ||
            e.outcome == Outcome::saturated)
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

    void on(const AttemptEnded& e) {
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

    void on(const ClientGone& e) {
        const auto it = requests.find(e.id);
        if (it == requests.end()) return;
        cancel_all(it->second);
        it->second.ended = true;
        done.push_back(e.id);
    }

    // The only final answer: a refusal where that is true, else a failure. A refused client had better come
    // back when what is out now has been answered and left its room.
    void finish(Request& r) {
        if (r.ended || r.streaming) return;
        cancel_all(r);
        act(may_refuse(r) ? Action(Refuse{r.id, answer_time(r)}) : Action(GiveUp{r.id}));
        r.ended = true;
        done.push_back(r.id);
    }

    void cancel_all(const Request& r) {
        for (std::uint32_t i = 0; settings.may_cancel && i < r.attempts.size(); ++i)
            if (r.attempts[i].out) act(Cancel{r.id, i});
    }

    // After each event: what has its answer needs no timer, and with nothing out leaves no trace.
    void forget_done() {
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

    // ---- Timers and the rest ----------------------------------------------------------------------------

    TimerToken set_timer(Millis at, std::optional<RequestId> request) {
        const TimerToken token = next_token++;
        timers[token] = request;
        act(SetTimer{at, token});
        return token;
    }
    // Kept until they are due, timers of a busy sidecar would outnumber its open requests many times.
    void drop_timer(TimerToken& timer) {
        if (timer == 0) return;
        const TimerToken token = std::exchange(timer, 0);
        if (timers.erase(token) > 0) act(DropTimer{token});
    }

    void on(const TimerFired& e) {
        const auto timer = timers.find(e.token);
        if (timer == timers.end()) return;
        const std::optional<RequestId> id = timer->second;
        timers.erase(timer);
        if (!id) {
            renewing = false;
            return act(Subscribe{true});
        }
        const auto it = requests.find(*id);
        if (it == requests.end() || it->second.ended) return;
        if (now >= it->second.deadline)
            finish(it->second);
        else if (!it->second.any_out())
            place(it->second);
    }

    template <class Other>
    void on(const Other&) {}  // probes and peers: not used
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->now = std::max(impl_->now, now);
    impl_->actions = &actions;
    if (impl_->stale) impl_->index();
    impl_->warm_up();
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->forget_done();
}

Balancer::Held Balancer::held() const {
    const Impl& i = *impl_;
    std::size_t notes = i.took.size() + i.kind_pace.size() + i.place_pace.size();
    for (const auto& [id, s] : i.servers) notes += s.shunned_until.size();
    return {i.requests.size(), i.servers.size(), i.timers.size(), i.held.size(), notes, i.used.size()};
}

std::uint64_t Balancer::looked() const { return impl_->looked; }

bool Balancer::sums_agree() const {
    const Impl& i = *impl_;
    std::map<KindId, double> carried;
    for (const Server* s : i.fleet)
        if (s->warm) carried[s->info.kind] += s->carried.at_time(i.now, kRateMemory);
    const auto agrees = [&](const auto& kept) {
        const double sum = kept.second.at_time(i.now, kRateMemory), now = carried[kept.first];
        return std::abs(sum - now) <= 1e-6 * std::max(1.0, now);
    };
    return i.totals == i.pass() && std::all_of(i.carried.begin(), i.carried.end(), agrees) &&
           std::all_of(carried.begin(), carried.end(),
                       [&](const auto& c) { return c.second == 0 || i.carried.contains(c.first); });
}

}  // namespace kestrelhall
