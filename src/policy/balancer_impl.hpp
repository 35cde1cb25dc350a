// The state that the decisions share, and which of them stands in which file. Nothing here decides anything:
// each group below is one file of its name (rules.cpp, slow_start.cpp, ...), with what it is about told
// there.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kestrelhall/balancer.hpp"
#include "policy/figures.hpp"
#include "policy/state.hpp"
#include "policy/support.hpp"
#include "policy/totals.hpp"

namespace kestrelhall {

struct Balancer::Impl {
    Impl(Settings s, std::uint64_t seed);

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
    auto opens() const {
        return [this](std::uint32_t c, const ServerInfo& info) { return open_to(c, info); };
    }
    // Takes a server out of the sums for the length of a change to what they count.
    template <class Change>
    void changing(Server& s, Change change) {
        totals.count(s, -1, opens());
        change();
        totals.count(s, 1, opens());
    }

    // ---- The rules: the only gates (rules.cpp)

    bool proves_never_ran(Outcome o) const;
    bool open_to(std::uint32_t class_index, const ServerInfo& s) const;
    bool in_scope(const Request& r, const Attempt& a, const ServerInfo& s) const;
    bool may_go(const Request& r) const;
    bool may_send(const Request& r, Server& s);
    bool may_refuse(const Request& r) const;

    // ---- Slow start (slow_start.cpp)

    bool is_cold(const Server& s) const;
    Millis seen_since(Millis since) const;
    void survey();
    double cold_tokens(Server& s);
    double work(const Request& r, Millis hint);
    bool bears(const Request& r, const Server& s);
    double cold_share(const Server& s) const;
    double warm_of(const Server& s);
    double cold_rate(const Server& s);
    void warm_up();

    // ---- Membership (members.cpp)

    void on(const Started&);
    void on(const ServerList& list);
    void index();
    void group();
    bool is_confined(std::uint32_t class_index) const;
    const std::vector<Server*>& pool(const Request& r) const;
    Totals pass() const;
    void learn(const ServerInfo& info);
    void forget_gone();

    // ---- Our part of the pool (aperture.cpp)

    double wanted_part() const;
    void use(Server& s);
    void leave(Server& s);
    void narrow();
    bool spared(const Server& s, long most) const;

    // ---- Health (health.cpp)

    void judge(Server& s, const Request& r, const Attempt& a, Outcome outcome, bool late, bool silent);
    void doubt(Server& s);
    static bool our_doing(Outcome o);
    static bool fails_one_class(const Server& s, std::uint32_t class_index);
    bool below_threshold(const Server& s) const;
    double level_without(const Server& s) const;
    bool may_remove(const Server& one) const;
    void remove(Server& s);
    void restore(Server& s);
    void eject(Server& s);
    void readmit(Server& s);
    Server* due_trial(const Request& r);
    bool shuns(const Request& r, const Server& s) const;

    // ---- Choice (choice.cpp)

    Server* pick(const Request& r, bool admitted);
    Server* pick_candidate(const Request& r, bool admitted);
    Server* last_resort(const Request& r);
    Server* its_own(const Request& r, bool admitted);
    bool forsaken(const Request& r) const;
    bool better_left(const Request& r, const Server& s) const;
    Server* better_of_two(std::vector<Server*>& live);
    std::size_t draw(const std::vector<Server*>& from);
    double quickness(const Server& s);
    double cost(const Server& s);
    double pace(const Server& s);

    // ---- Admission (admission.cpp)

    void adapt_room(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e, bool silent);
    double room_floor();
    double our_part() const;
    bool has_room(const Request& r) const;
    bool over_share(std::uint32_t tenant);
    void count_out();
    bool over(RequestId id) const;
    void release_held();
    bool hopeless(const Request& r) const;
    Millis answer_time(const Request& r) const;
    bool proof_due(const Request& r) const;
    bool room_proof_due(const Request& r) const;

    // ---- Retries (retries.cpp)

    void on(const FirstByte& e);
    void on(const AttemptEnded& e);
    void book(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e);
    Millis copies_until(const Request& r) const;
    Millis begin_by(const Request& r) const;

    // ---- A request (requests.cpp)

    void on(const RequestArrived& e);
    void place(Request& r);
    void hold(Request& r);
    void dispatch(Request& r, Server& s);
    void on(const ClientGone& e);
    void finish(Request& r);
    void cancel_all(const Request& r);
    void forget_done();

    // ---- Timers (timers.cpp)

    TimerToken set_timer(Millis at, std::optional<RequestId> request);
    void drop_timer(TimerToken& timer);
    void on(const TimerFired& e);

    template <class Other>
    void on(const Other&) {}  // probes and peers: not used
};

}  // namespace kestrelhall
