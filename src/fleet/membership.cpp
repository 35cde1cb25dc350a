#include "fleet/membership.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "hash/mix64.hpp"

namespace whinledge::fleet {

Membership::Membership(const MembershipSettings& settings)
    : settings_(settings), tuning_(settings.tuning), incarnation_(settings.born), random_(settings.seed) {
    if (settings.self == 0) throw std::invalid_argument("fleet: a member without a name");
    if (!(settings.period >= 10) || !std::isfinite(settings.period))
        throw std::invalid_argument("fleet: the probe period is at least 10 ms");
    if (settings.born == 0) throw std::invalid_argument("fleet: an incarnation of 0");
    next_number_ = static_cast<std::uint32_t>(unit() * 0x1p31);
    urgent_ = tuning_.urgent_burst;
    answers_.holds = tuning_.repair_burst;
    compares_.holds = tuning_.compare_burst;
    FleetActions ignored;
    configure(0, settings.members, ignored);
}

double Membership::unit() { return static_cast<double>(mix64(random_ += kSplitMixStep) >> 11) * 0x1.0p-53; }

std::uint32_t Membership::digest(Key key, Incarnation incarnation, State state) {
    if (incarnation == 0) return 0;
    // A suspicion is an opinion; views agree that do but for it.
    const auto rank = static_cast<std::uint64_t>(state == State::suspect ? State::alive : state);
    return static_cast<std::uint32_t>(mix64(mix64(key) ^ (incarnation * 4 + rank)));
}

// Digests are sums modulo 2: what was told in is told out by telling it again.
void Membership::count_in(Key key, Incarnation incarnation, State state) {
    const std::uint32_t one = digest(key, incarnation, state);
    view_ ^= one;
    parts_[part_of(key)] ^= one;
}
void Membership::raise_incarnation(Incarnation to) {
    count_in(settings_.self, incarnation_, State::alive);
    incarnation_ = to;
    count_in(settings_.self, incarnation_, State::alive);
}

Membership::Entry* Membership::find(Key key) {
    const auto at = std::lower_bound(peers_.begin(), peers_.end(), key,
                                     [](const Entry& e, Key k) { return e.seen.key < k; });
    return at != peers_.end() && at->seen.key == key ? &*at : nullptr;
}
const Membership::Entry* Membership::find(Key key) const { return const_cast<Membership*>(this)->find(key); }

std::vector<Membership::Peer> Membership::peers() const {
    std::vector<Peer> all;
    all.reserve(peers_.size());
    for (const Entry& e : peers_) all.push_back(e.seen);
    return all;
}
std::optional<Membership::Peer> Membership::peer(Key key) const {
    const Entry* const found = find(key);
    return found ? std::optional(found->seen) : std::nullopt;
}

Millis Membership::suspicion_least() const {
    return settings_.period *
           std::max(tuning_.suspicion_least,
                    tuning_.suspicion_per_decade * std::log10(static_cast<double>(size()) + 1));
}
Millis Membership::suspicion_most() const { return suspicion_least() * tuning_.alone; }
unsigned Membership::times() const {
    return static_cast<unsigned>(
        std::ceil(tuning_.times_per_decade * std::log10(static_cast<double>(size()) + 1)));
}
Millis Membership::expires_at(const Entry& suspicion) const {
    const double share = std::min(1.0, (suspicion.tellers - 1) / 2.0);  // of the way from one teller to three
    return suspicion.suspected_at + suspicion_most() - share * (suspicion_most() - suspicion_least());
}

// ---- Configured members -----------------------------------------------------------------------------------

void Membership::configure(Millis now, const std::vector<Key>& members, FleetActions& actions) {
    now_ = std::max(now_, now);
    std::vector<Key> keys = members;
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    std::erase(keys, settings_.self);
    std::vector<Entry> kept;
    kept.reserve(keys.size());
    for (const Key key : keys) {
        if (Entry* const known = find(key)) {
            kept.push_back(*known);
            continue;
        }
        Entry fresh;
        fresh.seen.key = key;
        fresh.allowance = tuning_.allowance_burst;
        fresh.allowance_at = now_;
        kept.push_back(fresh);
    }
    for (const Entry& e : peers_)
        if (!std::binary_search(keys.begin(), keys.end(), e.seen.key)) outbox_.forget_rumour(e.seen.key);
    peers_ = std::move(kept);
    const auto gone = [&](Key key) { return !find(key); };
    std::erase_if(suspects_, gone);
    std::erase_if(probes_, [&](const Probe& p) { return gone(p.target); });
    std::erase_if(errands_, [&](const Errand& e) { return gone(e.target) || gone(e.asker); });
    turn_ = keys;
    at_turn_ = turn_.size();
    alive_ = 0;
    view_ = 0;
    parts_.fill(0);
    count_in(settings_.self, incarnation_, State::alive);
    for (const Entry& e : peers_) {
        alive_ += e.seen.state == State::alive || e.seen.state == State::suspect;
        count_in(e.seen.key, e.seen.incarnation, e.seen.state);
    }
    if (began_at_ >= 0) judge_standing(now_, actions);
}

// ---- Time -------------------------------------------------------------------------------------------------

// Whoever was stopped, or starved, has heard nothing of the others meanwhile, and must not hold it against
// them.
void Membership::woke(Millis now) {
    now = std::max(now, now_);
    if (began_at_ < 0) {
        began_at_ = round_at_ = heard_at_ = urgent_at_ = compares_.at = answers_.at = leaning_since_ = now;
        round_at_ = now + unit() * settings_.period;  // not in step with those that start with us
    }
    const Millis next = due(), late = now - next;
    now_ = now;
    if (late <= tuning_.still * settings_.period) return;
    if (!tuning_.forgives_itself) return;
    for (const Key key : suspects_) find(key)->suspected_at += late;
    suspicion_ends_ += late;
    probes_.clear();
    errands_.clear();
    heard_at_ += late;
    leaning_since_ += late;
    round_at_ = now;
    doubt_ = std::min(tuning_.most_doubt, doubt_ + 2);
}

Millis Membership::due() const {
    if (left_) return kNever;
    if (began_at_ < 0) return now_;
    Millis next = round_at_;
    for (const Probe& p : probes_) {
        next = std::min(next, p.ends_at);
        if (p.pings > 0) next = std::min(next, p.again_at);
        if (p.why == Probe::Why::turn && !p.asked) next = std::min(next, p.asks_at);
    }
    for (const Errand& e : errands_) next = std::min(next, e.ends_at);
    if (must_refute_) next = std::min(next, refuted_at_ + tuning_.refute_every * settings_.period);
    return suspects_.empty() ? next : std::min(next, suspicion_ends_);
}

void Membership::tick(Millis now, FleetActions& actions) {
    if (left_) return;
    woke(now);
    run_probes(now_, actions);
    for (auto e = errands_.begin(); e != errands_.end();) {
        if (now_ < e->ends_at) {
            ++e;
            continue;
        }
        send(e->asker, head(Kind::nack, e->number, e->target), now_, actions);
        e = errands_.erase(e);
    }
    if (must_refute_ && now_ >= refuted_at_ + tuning_.refute_every * settings_.period) refute(now_, actions);
    if (now_ >= round_at_)
        round(now_, actions);
    else if (!suspects_.empty() && now_ >= suspicion_ends_)
        run_suspicions(now_, actions);
    flush(now_, actions);
}

void Membership::round(Millis now, FleetActions& actions) {
    ++rounds_;
    // Who doubts himself asks as often, and waits longer for what he asked: so he learns as soon that he is
    // heard.
    round_at_ = now + settings_.period;
    run_suspicions(now, actions);
    judge_standing(now, actions);
    if (peers_.empty()) return;
    recheck(now, actions);
    // Each member is asked by the one ahead of it at least every other round, whatever chance does, and by
    // anybody in between: where its neighbour has failed with it, or lies.
    const Key ring = rounds_ % 2 == 1 ? next_on_ring() : 0;
    const Key target = ring ? ring : next_in_turn();
    if (target) probe(target, now, Probe::Why::turn, actions);
    // Of those that are held failed, one is asked now and then: a cut that has healed is found so, from both
    // sides. Once one of them has spoken, others may be back too, and each has to hear what is believed of
    // it.
    const bool heals = now < heals_until_;
    if (!heals && rounds_ % 2 == 0) return;
    for (unsigned i = 0; i < (heals ? tuning_.healing : 1); ++i) ping_absent(now, actions);
}

// Whoever is about to fail is pinged by each that holds it suspect, and hears of it: what one datagram was
// lost of, and what others who have just heard the suspect did not take up, would end it otherwise.
void Membership::recheck(Millis now, FleetActions& actions) {
    if (suspects_.empty()) return;
    std::vector<Key> soonest = suspects_;
    const std::size_t some = std::min<std::size_t>(tuning_.rechecks, soonest.size());
    std::partial_sort(soonest.begin(), soonest.begin() + static_cast<std::ptrdiff_t>(some), soonest.end(),
                      [&](Key a, Key b) { return expires_at(*find(a)) < expires_at(*find(b)); });
    soonest.resize(some);
    for (const Key key : soonest) probe(key, now, Probe::Why::recheck, actions);
}

void Membership::ping_absent(Millis now, FleetActions& actions) {
    std::size_t absent = peers_.size() - alive_;
    if (absent == 0) return;
    absent = below(absent);
    for (const Entry& e : peers_)
        if (e.seen.state >= State::failed && absent-- == 0)
            return ping(e.seen.key, next_number_++, now, actions);
}

// ---- Probes -----------------------------------------------------------------------------------------------

// Who is not held alive hears so with it.
void Membership::ping(Key target, std::uint32_t number, Millis now, FleetActions& actions) {
    Datagram d = head(Kind::ping, number, target);
    const Entry& e = *find(target);
    if (e.seen.state != State::alive && e.seen.incarnation != 0) d.rumours.push_back(rumour_of(e, now));
    send(target, std::move(d), now, actions);
}

// Who is suspected is asked for by recheck() already: in its turn it would take the place of one that is not,
// and after a cut there are many.
Key Membership::next_in_turn() {
    for (std::size_t looked = 0; looked <= turn_.size(); ++looked) {
        if (at_turn_ >= turn_.size()) {
            for (std::size_t i = turn_.size(); i > 1; --i) std::swap(turn_[i - 1], turn_[below(i)]);
            at_turn_ = 0;
        }
        if (turn_.empty()) return 0;
        const Key key = turn_[at_turn_++];
        const Entry* const e = find(key);
        if (e->seen.state == State::alive || e->seen.incarnation == 0) return key;
    }
    return 0;
}

Key Membership::next_on_ring() const {
    const auto from = std::upper_bound(peers_.begin(), peers_.end(), settings_.self,
                                       [](Key k, const Entry& e) { return k < e.seen.key; });
    const auto here = [](const Entry& e) { return e.seen.state == State::alive; };
    auto at = std::find_if(from, peers_.end(), here);
    if (at == peers_.end()) at = std::find_if(peers_.begin(), from, here);
    return at == peers_.end() || !here(*at) ? 0 : at->seen.key;
}

void Membership::probe(Key target, Millis now, Probe::Why why, FleetActions& actions) {
    if (probes_.size() >= tuning_.most_probes) return;
    Probe p;
    p.target = target;
    p.number = next_number_++;
    p.why = why;
    const Millis scale = settings_.period * (1 + doubt_);
    p.apart = tuning_.again * scale;
    p.again_at = now + p.apart;
    p.pings = why == Probe::Why::recheck ? 0 : tuning_.pings - 1;
    p.asks_at = now + tuning_.direct * scale;
    p.ends_at = now + tuning_.indirect * scale;
    probes_.push_back(p);
    ping(target, p.number, now, actions);
}

void Membership::run_probes(Millis now, FleetActions& actions) {
    std::vector<Probe> over;
    for (Probe& p : probes_) {
        if (now >= p.ends_at) over.push_back(p);
        if (now >= p.ends_at) continue;
        // Most often the datagram alone was lost: that costs one more, and others are not troubled.
        if (p.pings > 0 && now >= p.again_at) {
            --p.pings;
            p.again_at += p.apart;
            ping(p.target, p.number, now, actions);
        }
        if (p.why != Probe::Why::turn) continue;
        if (!p.asked && now >= p.asks_at) ask_others(p, now, actions);
    }
    std::erase_if(probes_, [&](const Probe& p) { return now >= p.ends_at; });
    for (const Probe& p : over) missed(p, now, actions);
}

void Membership::ask_others(Probe& p, Millis now, FleetActions& actions) {
    p.asked = true;
    const std::vector<Key> helpers = some_alive(tuning_.helpers, p.target);
    p.nacks_wanted = static_cast<unsigned>(helpers.size());
    for (const Key helper : helpers) send(helper, head(Kind::ask, p.number, p.target), now, actions);
}

void Membership::missed(const Probe& p, Millis now, FleetActions& actions) {
    if (p.why == Probe::Why::recheck) return;
    // No helper says anything either: perhaps it is we who are not heard (Lifeguard). One that answers shows
    // that we are; behind a cut some never do, which is no slowness of ours.
    if (p.why == Probe::Why::turn && p.nacks == 0) doubt_ = std::min(tuning_.most_doubt, doubt_ + 1);
    Entry& e = *find(p.target);
    if (e.seen.incarnation == 0 || e.seen.state >= State::failed) return;
    if (now < e.trusted_until) return;
    suspect(e, e.seen.incarnation, settings_.self, 0, State::failed, now, actions);
    // It hears of it at once, and may contradict.
    ping(p.target, next_number_++, now, actions);
}

void Membership::acked(const Datagram& d, Millis now, FleetActions& actions) {
    // Straight from its target, or from whom we asked.
    const auto probe = std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) {
        return p.number == d.number && (d.from == p.target || d.target == p.target);
    });
    if (probe != probes_.end()) {
        if (Entry* const e = find(probe->target)) {
            e->trusted_until = now + tuning_.grace * settings_.period;
            if (e->seen.state == State::suspect) clear_suspicion(*e, actions);
        }
        if (probe->why == Probe::Why::turn && doubt_ > 0) --doubt_;
        probes_.erase(probe);
    }
    const auto errand = std::find_if(errands_.begin(), errands_.end(), [&](const Errand& e) {
        return e.own_number == d.number && e.target == d.from;
    });
    if (errand == errands_.end()) return;
    const Errand done = *errand;
    errands_.erase(errand);
    send(done.asker, head(Kind::ack, done.number, done.target), now, actions);
}

// ---- Standing ---------------------------------------------------------------------------------------------

void Membership::judge_standing(Millis now, FleetActions& actions) {
    const Millis silence = now - heard_at_;
    const bool ever =
        std::any_of(peers_.begin(), peers_.end(), [](const Entry& e) { return e.seen.heard_at >= 0; });
    // Whoever is suspected is not heard: after a cut it takes long until the whole other side has failed.
    Standing to =
        2 * (tuning_.suspects_count ? alive() : heard()) > size() ? Standing::joined : Standing::minority;
    if (size() > 1 && (!ever || silence > tuning_.silence * settings_.period)) to = Standing::alone;
    if (to != leaning_) leaning_ = to, leaning_since_ = now;
    if (to == standing_) return;
    // Silence has lasted by itself, and any word ends it; a majority that comes and goes has to stay.
    const bool falls = to == Standing::minority && standing_ == Standing::joined;
    const Millis wait = to == Standing::alone || size() == 1
                            ? 0
                            : (falls ? tuning_.fall_after : tuning_.rise_after) * settings_.period;
    if (now < leaning_since_ + wait) return;
    actions.emplace_back(StandingChanged{standing_, to});
    standing_ = to;
}

// ---- What goes out ----------------------------------------------------------------------------------------

Datagram Membership::head(Kind kind, std::uint32_t number, Key target) const {
    Datagram d;
    d.fleet = settings_.fleet;
    d.from = settings_.self;
    d.incarnation = incarnation_;
    d.draining = draining_;
    d.kind = kind;
    d.number = number;
    d.target = target;
    d.view = view_;
    return d;
}

void Membership::send(Key to, Datagram d, Millis now, FleetActions& actions) {
    outbox_.fill(d, now, d.rumours.empty() ? 0 : d.rumours.front().about);
    actions.emplace_back(Tell{to, std::move(d)});
}

// What is urgent does not wait for the next probe.
void Membership::flush(Millis now, FleetActions& actions) {
    urgent_ =
        std::min(tuning_.urgent_burst, urgent_ + (now - urgent_at_) * tuning_.urgent_rate / settings_.period);
    urgent_at_ = now;
    if (!outbox_.has_fresh_trouble()) return;
    for (const Key to : some_alive(tuning_.urgent_to, 0)) {
        if (urgent_ < 1) return;
        urgent_ -= 1;
        send(to, head(Kind::news), now, actions);
    }
}

std::vector<Key> Membership::some_alive(std::size_t count, Key but) {
    std::vector<Key> some;
    if (alive_ == 0) return some;
    // Draws first; where few are alive among many, a pass.
    for (std::size_t draws = 0; draws < 8 * count && some.size() < count; ++draws) {
        const Entry& e = peers_[below(peers_.size())];
        const bool fits = e.seen.state == State::alive && e.seen.key != but;
        if (fits && std::find(some.begin(), some.end(), e.seen.key) == some.end()) some.push_back(e.seen.key);
    }
    if (some.size() == count) return some;
    const std::size_t first = below(peers_.size());
    for (std::size_t i = 0; i < peers_.size() && some.size() < count; ++i) {
        const Entry& e = peers_[(first + i) % peers_.size()];
        const bool fits = e.seen.state == State::alive && e.seen.key != but;
        if (fits && std::find(some.begin(), some.end(), e.seen.key) == some.end()) some.push_back(e.seen.key);
    }
    return some;
}

void Membership::set_draining(Millis now, bool draining, FleetActions& actions) {
    if (left_ || draining == draining_) return;
    woke(now);
    draining_ = draining;
    raise_incarnation(incarnation_ + 1);
    outbox_.put(rumour_of_self(), Outbox::Urgency::trouble, times(), now_);
    flush(now_, actions);
}

void Membership::leave(Millis now, FleetActions& actions) {
    if (left_) return;
    woke(now);
    for (const Key to : some_alive(tuning_.farewells, 0)) send(to, head(Kind::farewell), now_, actions);
    left_ = true;
    outbox_.clear();
}

}  // namespace whinledge::fleet
