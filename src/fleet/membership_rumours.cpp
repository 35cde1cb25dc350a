// Datagrams that come in, and what is believed of the members by them.
#include <algorithm>

#include "fleet/membership.hpp"

namespace whinledge::fleet {

void Membership::receive(Millis now, const Datagram& d, FleetActions& actions) {
    if (left_) return;
    woke(now);
    now = now_;
    Entry* const from = find(d.from);
    if (!from || d.fleet != settings_.fleet) {
        ++dropped_.stranger;
        return;
    }
    from->allowance =
        std::min(tuning_.allowance_burst,
                 from->allowance + (now - from->allowance_at) * tuning_.allowance / settings_.period);
    from->allowance_at = now;
    if (from->allowance < 1) {
        ++dropped_.flood;
        return;
    }
    from->allowance -= 1;
    const bool earlier = d.incarnation < from->seen.incarnation;
    if (earlier && !tuning_.old_lives_count) {
        // From a life that has ended, or whose clock has gone back: that one learns so, and comes again.
        ++dropped_.earlier_life;
        if (now < from->reminded_at + settings_.period) return;
        from->reminded_at = now;
        Datagram told = head(Kind::news);
        told.rumours.push_back(rumour_of(*from, now));
        return send(d.from, std::move(told), now, actions);
    }
    if (static_cast<double>(d.incarnation) >
        static_cast<double>(settings_.born) + (now - began_at_) + tuning_.ahead) {
        ++dropped_.absurd;
        return;
    }
    heard_from(*from, d, now, actions);
    for (const Rumour& rumour : d.rumours) hear(rumour, d.from, now, actions);
    switch (d.kind) {
        case Kind::ping: {
            Datagram answer = head(Kind::ack, d.number, settings_.self);
            const Entry& e = *find(d.from);
            if (e.seen.state != State::alive) answer.rumours.push_back(rumour_of(e, now));
            send(d.from, std::move(answer), now, actions);
            break;
        }
        case Kind::ack:
            acked(d, now, actions);
            break;
        case Kind::ask:
            if (errands_.size() < tuning_.most_errands && find(d.target)) {
                const Errand errand{d.from, d.target, d.number, next_number_++,
                                    now + tuning_.errand * settings_.period};
                errands_.push_back(errand);
                send(d.target, head(Kind::ping, errand.own_number, d.target), now, actions);
            }
            break;
        case Kind::nack:
            for (Probe& p : probes_)
                if (p.number == d.number && p.target == d.target) ++p.nacks;
            break;
        case Kind::news:
            break;
        case Kind::farewell:
            if (Entry& e = *find(d.from); e.seen.state != State::left) {
                become(e, State::left, d.incarnation, e.seen.draining, actions);
                spread(e, now);
            }
            break;
    }
    const auto digests =
        std::find_if(d.items.begin(), d.items.end(), [](const Item& item) { return item.subsystem == 0; });
    if (digests != d.items.end())
        compared(d, *digests, now, actions);
    else if (d.kind == Kind::news)
        correct(d, now, actions);
    if ((d.kind == Kind::ack || d.kind == Kind::ping) && d.view != view_) compare(d.from, now, actions);
    flush(now, actions);
}

// It is there, in the life that it says; what was believed of an earlier one is over.
void Membership::heard_from(Entry& from, const Datagram& d, Millis now, FleetActions& actions) {
    heard_at_ = now;
    from.seen.heard_at = now;
    if (from.seen.state >= State::failed) heals_until_ = now + tuning_.healing_for * settings_.period;
    if (d.incarnation > from.seen.incarnation) {
        const bool first = from.seen.incarnation == 0;
        become(from, State::alive, d.incarnation, d.draining, actions);
        from.trusted_until = now + tuning_.grace * settings_.period;
        spread(from, now, first);
        return;
    }
    // What is believed of this very life, only a new incarnation of it can change: an old datagram must not.
    if (from.seen.state == State::alive || now < from.reminded_at + settings_.period / 2) return;
    if (d.kind == Kind::ping) return;  // the ack tells it
    from.reminded_at = now;
    Datagram told = head(Kind::news);
    told.rumours.push_back(rumour_of(from, now));
    send(d.from, std::move(told), now, actions);
}

void Membership::hear(const Rumour& r, Key teller, Millis now, FleetActions& actions) {
    if (r.about == settings_.self) return hear_of_self(r, now, actions);
    Entry* const e = find(r.about);
    if (!e) {
        ++dropped_.stranger;
        return;
    }
    if (static_cast<double>(r.incarnation) >
        static_cast<double>(settings_.born) + (now - began_at_) + tuning_.ahead) {
        ++dropped_.absurd;
        return;
    }
    if (r.incarnation < e->seen.incarnation) return;
    const bool newer = r.incarnation > e->seen.incarnation;
    switch (r.state) {
        case State::alive: {
            if (!newer) return;
            const bool first = e->seen.incarnation == 0;
            become(*e, State::alive, r.incarnation, r.draining, actions);
            return spread(*e, now, first);
        }
        case State::suspect:
            if (newer || e->seen.state < State::failed)
                suspect(*e, r.incarnation, r.teller, r.age, State::failed, now, actions);
            return;
        case State::failed:
        case State::left:
            if (!newer && e->seen.state >= r.state) return;
            // Of one that is not held alive there is nothing to lose by believing it.
            if (e->seen.state >= State::failed || tuning_.hearsay_ends) {
                become(*e, r.state, r.incarnation, r.draining, actions);
                return spread(*e, now);
            }
            // Nobody's word alone ends a member: it has tuning_.grace P to contradict.
            return suspect(*e, r.incarnation, teller, suspicion_most(), r.state, now, actions);
    }
}

void Membership::hear_of_self(const Rumour& r, Millis now, FleetActions& actions) {
    if (static_cast<double>(r.incarnation) >
        static_cast<double>(settings_.born) + (now - began_at_) + tuning_.ahead) {
        ++dropped_.absurd;
        return;
    }
    const bool ours = r.incarnation <= incarnation_;
    if (r.incarnation < incarnation_ || (r.incarnation == incarnation_ && r.state == State::alive)) return;
    // A later life than ours, long after our start, is no memory of ours.
    // Told once in a while: the two of them contradict one another several times a P.
    const Millis quiet_for = tuning_.dispute_every * settings_.period;
    if (!ours && now > began_at_ + quiet_for && now >= disputed_at_ + quiet_for) {
        disputed_at_ = now;
        actions.emplace_back(Disputed{r.incarnation});
    }
    refute_above_ = std::max(refute_above_, r.incarnation);
    must_refute_ = true;
    if (now >= refuted_at_ + tuning_.refute_every * settings_.period) refute(now, actions);
}

void Membership::refute(Millis now, FleetActions&) {
    must_refute_ = false;
    refuted_at_ = now;
    raise_incarnation(std::max(incarnation_, refute_above_) + 1);
    doubt_ = std::min(tuning_.most_doubt, doubt_ + 1);
    outbox_.put(rumour_of_self(), Outbox::Urgency::trouble, times(), now);
}

// ---- What is believed -------------------------------------------------------------------------------------

void Membership::suspect(Entry& e, Incarnation incarnation, Key teller, Millis age, State becomes, Millis now,
                         FleetActions& actions) {
    const bool fresh = e.seen.state != State::suspect || incarnation > e.seen.incarnation;
    const bool ours = teller == settings_.self;
    // "Has failed", at second hand, is looked into here and told on when it has turned out so. After a cut
    // each side says it of the whole other side: passed on as suspicions, that would keep the contradictions
    // waiting.
    const bool hearsay = becomes == State::failed && age >= suspicion_most() && !ours;
    if (fresh && !ours && incarnation == e.seen.incarnation && now < e.trusted_until) return;
    if (fresh) {
        become(e, State::suspect, incarnation, e.seen.draining, actions);
        suspects_.push_back(e.seen.key);
        e.tellers = 0;
        e.becomes = becomes;
        // However old it is said to be, its subject has tuning_.grace P from now on.
        e.suspected_at = now - std::clamp(age, 0.0, suspicion_least() - tuning_.grace * settings_.period);
    }
    e.becomes = std::max(e.becomes, becomes);
    const auto known = e.teller.begin() + e.tellers;
    const bool new_teller =
        std::find(e.teller.begin(), known, teller) == known && e.tellers < e.teller.size();
    if (new_teller) e.teller[e.tellers++] = teller;
    suspicion_ends_ = std::min(suspicion_ends_, expires_at(e));
    if (!new_teller) return;
    if (!hearsay) spread(e, now);
    if (fresh && !ours && unit() * static_cast<double>(size()) < tuning_.verifiers)
        probe(e.seen.key, now, Probe::Why::verify, actions);
}

// By what it has shown to us: an opinion that nobody else has to share.
void Membership::clear_suspicion(Entry& e, FleetActions& actions) {
    e.seen.state = State::alive;
    actions.emplace_back(
        Changed{e.seen.key, State::suspect, State::alive, e.seen.incarnation, e.seen.draining});
    e.tellers = 0;
    std::erase(suspects_, e.seen.key);
    outbox_.forget_rumour(e.seen.key);
}

void Membership::run_suspicions(Millis now, FleetActions& actions) {
    // Who hears nobody doubts himself: then nobody fails by his word.
    const bool deaf =
        now - heard_at_ > tuning_.grace * settings_.period && size() > 1 && !tuning_.deaf_fails_others;
    const Millis oldest = now - suspicion_least() + tuning_.grace * settings_.period;
    const std::vector<Key> all = suspects_;
    suspicion_ends_ = kNever;
    for (const Key key : all) {
        Entry& e = *find(key);
        if (deaf) e.suspected_at = std::max(e.suspected_at, oldest);
        if (now < expires_at(e)) {
            suspicion_ends_ = std::min(suspicion_ends_, expires_at(e));
            continue;
        }
        become(e, e.becomes, e.seen.incarnation, e.seen.draining, actions);
        spread(e, now);
    }
}

void Membership::become(Entry& e, State state, Incarnation incarnation, bool draining,
                        FleetActions& actions) {
    const State before = e.seen.state;
    count_in(e.seen.key, e.seen.incarnation, before);
    alive_ -= before < State::failed;
    if (before == State::suspect) std::erase(suspects_, e.seen.key);
    const bool told = before != state || draining != e.seen.draining || incarnation != e.seen.incarnation;
    e.seen.state = state;
    e.seen.incarnation = incarnation;
    e.seen.draining = draining;
    alive_ += state < State::failed;
    count_in(e.seen.key, incarnation, state);
    if (told) actions.emplace_back(Changed{e.seen.key, before, state, incarnation, draining});
}

void Membership::spread(const Entry& e, Millis now, bool calm) {
    // A first hearing of a member that is alive is no hurry: a whole fleet that starts tells nothing else.
    // Any later one contradicts what somebody may hold, and comes before what it contradicts has run out.
    // And what it misses, repair finds: a whole fleet's names told as often as news would ride for minutes.
    outbox_.put(rumour_of(e, now), calm ? Outbox::Urgency::news : Outbox::Urgency::trouble,
                calm ? std::min(times(), tuning_.calm_times) : times(), now);
}

Rumour Membership::rumour_of(const Entry& e, Millis now) const {
    Rumour r{e.seen.key, e.seen.incarnation, e.seen.state, e.seen.draining, 0, 0};
    if (r.state != State::suspect) return r;
    // A goodbye is passed on as what it is.
    if (e.becomes == State::left) return r.state = State::left, r;
    r.teller = e.tellers ? e.teller[e.tellers - 1] : settings_.self;
    r.age = static_cast<std::uint16_t>(std::clamp(now - e.suspected_at, 0.0, 65535.0));
    return r;
}
Rumour Membership::rumour_of_self() const {
    return {settings_.self, incarnation_, left_ ? State::left : State::alive, draining_, 0, 0};
}

}  // namespace whinledge::fleet
