#include "limits/gate.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace whinledge::limits {

namespace {

constexpr Millis kForget = 10000;
constexpr Millis kSecond = 1000, kLongest = 60000;
constexpr double kNextToNothing = 1.0 / 600000;  // per ms
constexpr std::uint32_t kNowhere = 0;            // the party of the requests without a pool

const Bound& bound_of(const Gate::Wanted& wanted, Resource resource) {
    return resource == Resource::requests ? wanted.requests : wanted.bytes;
}

}  // namespace

void Rate::add(Amount n, Millis now) {
    rate_ = per_ms(now) + static_cast<double>(n) / kForget;
    at_ = std::max(at_, now);
}

double Rate::per_ms(Millis now) const { return now > at_ ? rate_ * std::exp((at_ - now) / kForget) : rate_; }

std::optional<Millis> retry_after(Amount short_by, double per_ms) {
    if (!(per_ms >= kNextToNothing)) return std::nullopt;
    const double wait = static_cast<double>(short_by) / per_ms;
    return std::clamp(std::ceil(wait / kSecond) * kSecond, kSecond, kLongest);
}

Gate::Gate(Amount requests, Amount bytes)
    : views_{{{{{Shares(requests), {}}, {Shares(requests), {}}}},
              {{{Shares(bytes), {}}, {Shares(bytes), {}}}}}} {
    parties_[ix(Side::pool)].emplace_back();
    Party& nowhere = party(Side::pool, kNowhere);
    nowhere.state = Party::State::member;
    for (Resource resource : kResources)
        nowhere.at[ix(resource)] = *view(resource, Side::pool).shares.add({});
}

// ---- who is who

// A default Member: the party without a pool.
std::optional<std::uint32_t> Gate::find(Side side, Member member) const {
    if (member == Member{}) return side == Side::pool ? std::optional(kNowhere) : std::nullopt;
    const auto& parties = parties_[ix(side)];
    if (member.slot >= parties.size() || (side == Side::pool && member.slot == kNowhere)) return std::nullopt;
    const Party& party = parties[member.slot];
    const bool same = party.state != Party::State::free && party.generation == member.generation;
    return same ? std::optional(member.slot) : std::nullopt;
}

Member Gate::name(Side side, std::uint32_t at) const {
    if (side == Side::pool && at == kNowhere) return {};
    return {at, parties_[ix(side)][at].generation};
}

std::uint32_t Gate::index(const Ticket& ticket) const {
    const auto at = static_cast<std::uint32_t>(ticket.id());
    if (!ticket || at >= entries_.size() || !entries_[at].live ||
        entries_[at].generation != ticket.id() >> 32)
        throw std::logic_error("gate: no such ticket");
    return at;
}

Amount Gate::held(Resource resource, Side side, Member who) const {
    const auto at = find(side, who);
    return at ? shares(resource, side).busy(parties_[ix(side)][*at].at[ix(resource)]) : 0;
}

// ---- listeners and pools

std::optional<Fault> Gate::unknown(const std::vector<Party>& parties, std::span<const Wanted> wanted) {
    std::vector<bool> named(parties.size());
    for (const Wanted& w : wanted) {
        const std::uint32_t at = w.member.slot;
        if (at == kNone) continue;
        if (at >= parties.size() || parties[at].generation != w.member.generation ||
            parties[at].state != Party::State::member || named[at])
            return Fault::unknown_member;
        named[at] = true;
    }
    return std::nullopt;
}

Fault Gate::check(Resource resource, Amount total, std::span<const Wanted> wanted) {
    std::vector<Bound> bounds;
    for (const Wanted& w : wanted) bounds.push_back(bound_of(w, resource));
    return Shares::check(total, bounds);
}

std::optional<Gate::Rejected> Gate::reload(Amount requests, Amount bytes, std::span<const Wanted> listeners,
                                           std::span<const Wanted> pools, Members& members) {
    const std::array totals = {requests, bytes};
    const std::array wanted = {listeners, pools};
    for (Side side : kSides) {
        if (const auto fault = unknown(parties_[ix(side)], wanted[ix(side)]))
            return Rejected{*fault, Resource::requests, side};
        for (Resource resource : kResources) {
            const Fault fault = check(resource, totals[ix(resource)], wanted[ix(side)]);
            if (fault != Fault::none) return Rejected{fault, resource, side};
        }
    }
    // On copies, so that nothing changes if memory runs out halfway.
    Views views = views_;
    Parties parties = parties_;
    Members result;
    result.listeners = replace(views, parties[0], Side::listener, totals, listeners);
    result.pools = replace(views, parties[1], Side::pool, totals, pools);
    views_ = std::move(views);
    parties_ = std::move(parties);
    members = std::move(result);
    return std::nullopt;
}

// Guarantees are given up first, so that at no step their sum is above the total.
std::vector<Member> Gate::replace(Views& views, std::vector<Party>& parties, Side side,
                                  std::array<Amount, 2> totals, std::span<const Wanted> wanted) {
    const auto shares = [&](Resource r) -> Shares& { return views[ix(r)][ix(side)].shares; };
    std::vector<bool> stays(parties.size());
    if (side == Side::pool) stays[kNowhere] = true;
    for (const Wanted& w : wanted)
        if (w.member.slot != kNone) stays[w.member.slot] = true;
    for (std::size_t i = 0; i < parties.size(); ++i) {
        if (parties[i].state != Party::State::member) continue;
        for (Resource r : kResources) shares(r).set(parties[i].at[ix(r)], {0, parties[i].bounds[ix(r)].most});
        if (stays[i]) continue;
        parties[i].state = Party::State::leaving;
        leave_if_done(views, parties[i], side);
    }
    for (Resource r : kResources) shares(r).set_total(totals[ix(r)]);

    std::vector<Member> members;
    for (const Wanted& w : wanted) {
        std::uint32_t at = w.member.slot;
        if (at == kNone) {
            const auto free = std::find_if(parties.begin(), parties.end(),
                                           [](const Party& p) { return p.state == Party::State::free; });
            at = static_cast<std::uint32_t>(free - parties.begin());
            if (free == parties.end()) parties.emplace_back();
            const std::uint32_t generation = parties[at].generation;
            parties[at] = {};
            parties[at].generation = generation;
            parties[at].state = Party::State::member;
            for (Resource r : kResources) parties[at].at[ix(r)] = *shares(r).add({});
        }
        for (Resource r : kResources) {
            shares(r).set(parties[at].at[ix(r)], bound_of(w, r));
            parties[at].bounds[ix(r)] = bound_of(w, r);
        }
        members.push_back({at, parties[at].generation});
    }
    return members;
}

// Until its last ticket is given back it stays a member of the shares, so that its open requests can go on.
void Gate::leave_if_done(Views& views, Party& party, Side side) noexcept {
    if (party.state != Party::State::leaving || party.open > 0) return;
    for (Resource r : kResources) views[ix(r)][ix(side)].shares.remove(party.at[ix(r)]);
    party.state = Party::State::free;
    ++party.generation;
}

// ---- taking and giving back

Refusal Gate::refusal(Resource resource, Side side, std::uint32_t at, Why why, Amount short_by) const {
    Refusal result{resource, side, name(side, at), why, {}};
    if (why == Why::never || why == Why::gone) return result;
    const Rate& own = parties_[ix(side)][at].rates[ix(resource)];
    const Rate& rate = why == Why::own_most ? own : view(resource, side).rate;
    result.retry_after = retry_after(short_by, rate.per_ms(now_));
    return result;
}

std::optional<Refusal> Gate::take(Resource resource, Side side, std::uint32_t at, Amount n, int rank) {
    Party& p = party(side, at);
    View& v = view(resource, side);
    const Member member = p.at[ix(resource)];
    if (resource == Resource::bytes && n > 0 && !v.shares.within_guarantee(member, n)) {
        if (rank <= p.claimed) return refusal(resource, side, at, Why::own_most, n);
        if (rank <= v.claimed) return refusal(resource, side, at, Why::others, n);
    }
    const Verdict verdict = v.shares.take(member, n);
    if (verdict.granted()) return std::nullopt;
    return refusal(resource, side, at, verdict.why, verdict.short_by);
}

std::optional<Refusal> Gate::take_both(Resource resource, const std::array<std::uint32_t, 2>& at, Amount n) {
    const int rank = guarantees(resource, at, n);
    if (auto no = take(resource, Side::pool, at[ix(Side::pool)], n, rank)) return no;
    auto no = take(resource, Side::listener, at[ix(Side::listener)], n, rank);
    if (no) untake(resource, Side::pool, at[ix(Side::pool)], n);
    return no;
}

void Gate::untake(Resource resource, Side side, std::uint32_t at, Amount n) {
    view(resource, side).shares.give_back(party(side, at).at[ix(resource)], n);
}

void Gate::release(Resource resource, const std::array<std::uint32_t, 2>& at, Amount n) {
    if (n == 0) return;
    for (Side side : kSides) {
        untake(resource, side, at[ix(side)], n);
        party(side, at[ix(side)]).rates[ix(resource)].add(n, now_);
        view(resource, side).rate.add(n, now_);
    }
}

std::uint32_t Gate::fresh_entry() {
    if (free_ == kNone) {
        entries_.emplace_back();
        free_ = static_cast<std::uint32_t>(entries_.size() - 1);
    }
    return free_;
}

Gate::Admission Gate::admit(Member listener, Member pool, Amount bytes) {
    const std::array who = {listener, pool};
    std::array<std::uint32_t, 2> at{};
    for (Side side : kSides) {
        const auto found = find(side, who[ix(side)]);
        if (!found || party(side, *found).state != Party::State::member)
            return {{}, Refusal{Resource::requests, side, who[ix(side)], Why::gone, {}}};
        at[ix(side)] = *found;
    }
    const std::uint32_t slot = fresh_entry();  // whatever may throw comes first
    if (auto no = take_both(Resource::requests, at, 1)) return {{}, std::move(no)};
    if (auto no = take_both(Resource::bytes, at, bytes)) {
        for (Side side : kSides) untake(Resource::requests, side, at[ix(side)], 1);
        return {{}, std::move(no)};
    }
    Entry& e = entries_[slot];
    free_ = e.next;
    e = Entry{e.generation, true, at, bytes, 0, 0, kNone, kNone};
    for (Side side : kSides) ++party(side, at[ix(side)]).open;
    ++open_;
    return {Ticket(static_cast<TicketId>(e.generation) << 32 | slot), std::nullopt};
}

void Gate::give_back(Ticket ticket) noexcept {
    if (!ticket) return;
    const std::uint32_t at = index(ticket);
    Entry& e = entries_[at];
    if (e.wanted > 0) dequeue(at);
    release(Resource::bytes, e.parties, e.bytes);
    release(Resource::requests, e.parties, 1);
    for (Side side : kSides) {
        Party& p = party(side, e.parties[ix(side)]);
        --p.open;
        leave_if_done(views_, p, side);
    }
    --open_;
    e.live = false;
    if (++e.generation == 0) e.generation = 1;  // an id is never 0
    e.next = std::exchange(free_, at);
}

// ---- bytes that grow

// More than it could have beside what it holds itself: waiting would be of no use.
std::optional<Refusal> Gate::never(const Entry& entry, Amount n) const {
    for (Side side : kSides) {
        const std::uint32_t at = entry.parties[ix(side)];
        const Member member = parties_[ix(side)][at].at[ix(Resource::bytes)];
        const Amount largest = shares(Resource::bytes, side).largest(member);
        if (n > largest || entry.bytes > largest - n)
            return refusal(Resource::bytes, side, at, Why::never, 0);
    }
    return std::nullopt;
}

std::optional<Refusal> Gate::more(Entry& entry, Amount n) {
    if (auto no = never(entry, n)) return no;
    if (auto no = take_both(Resource::bytes, entry.parties, n)) return no;
    entry.bytes += n;
    return std::nullopt;
}

std::optional<Refusal> Gate::grow(const Ticket& ticket, Amount n) {
    Entry& e = entries_[index(ticket)];
    if (e.wanted > 0) throw std::logic_error("gate: it waits already");
    if (n == 0) return std::nullopt;
    return more(e, n);
}

std::optional<Refusal> Gate::grow_or_wait(const Ticket& ticket, Amount n) {
    auto no = grow(ticket, n);
    if (!no || no->why == Why::never || no->why == Why::gone) return no;
    const std::uint32_t at = index(ticket);
    enqueue(at, n);
    claim(*no, entries_[at]);
    return no;
}

void Gate::stop_waiting(const Ticket& ticket) {
    const std::uint32_t at = index(ticket);
    if (entries_[at].wanted > 0) dequeue(at);
}

void Gate::shrink(const Ticket& ticket, Amount n) {
    Entry& e = entries_[index(ticket)];
    if (n > e.bytes) throw std::logic_error("gate: not held");
    e.bytes -= n;
    release(Resource::bytes, e.parties, n);
}

// ---- who waits

// Past a guarantee nobody of its rank or a lower one gets of this part until whoever waits for it has been
// served.
void Gate::claim(const Refusal& refusal, const Entry& entry) {
    int& claimed = refusal.why == Why::own_most ? party(refusal.side, entry.parties[ix(refusal.side)]).claimed
                                                : view(Resource::bytes, refusal.side).claimed;
    claimed = std::max(claimed, guarantees(Resource::bytes, entry.parties, entry.wanted));
}

void Gate::drop_claims() {
    for (Side side : kSides) {
        view(Resource::bytes, side).claimed = kNobody;
        for (Party& p : parties_[ix(side)]) p.claimed = kNobody;
    }
}

void Gate::enqueue(std::uint32_t at, Amount n) {
    Entry& e = entries_[at];
    auto queue =
        std::find_if(queues_.begin(), queues_.end(), [&](const Queue& q) { return q.parties == e.parties; });
    if (queue == queues_.end()) queue = queues_.insert(queue, Queue{e.parties, kNone, kNone});
    e.wanted = n;
    e.since = ++turns_;
    e.previous = queue->last, e.next = kNone;
    (queue->last == kNone ? queue->first : entries_[queue->last].next) = at;
    queue->last = at;
    ++waiting_;
}

void Gate::dequeue(std::uint32_t at) noexcept {
    Entry& e = entries_[at];
    const auto queue =
        std::find_if(queues_.begin(), queues_.end(), [&](const Queue& q) { return q.parties == e.parties; });
    (e.previous == kNone ? queue->first : entries_[e.previous].next) = e.next;
    (e.next == kNone ? queue->last : entries_[e.next].previous) = e.previous;
    e.previous = e.next = kNone;
    e.wanted = 0;
    if (--waiting_ == 0) drop_claims();
    settle(queue);
}

// Its first has changed: to a later one, or to nobody.
void Gate::settle(std::vector<Queue>::iterator queue) noexcept {
    if (queue->first == kNone) {
        queues_.erase(queue);
        return;
    }
    const auto later = [&](const Queue& q) { return entries_[q.first].since > entries_[queue->first].since; };
    std::rotate(queue, queue + 1, std::find_if(queue + 1, queues_.end(), later));
}

// Of how many sides `n` more is within the guarantee.
int Gate::guarantees(Resource resource, const std::array<std::uint32_t, 2>& at, Amount n) const {
    int count = 0;
    for (Side side : kSides) {
        const Party& p = parties_[ix(side)][at[ix(side)]];
        count += shares(resource, side).within_guarantee(p.at[ix(resource)], n);
    }
    return count;
}

std::optional<Gate::Woken> Gate::try_first(const Queue& queue) {
    const std::uint32_t at = queue.first;
    Entry& e = entries_[at];
    auto no = more(e, e.wanted);
    if (no && no->why != Why::never) {
        claim(*no, e);
        return std::nullopt;
    }
    dequeue(at);
    return Woken{static_cast<TicketId>(e.generation) << 32 | at, std::move(no)};
}

std::optional<Gate::Woken> Gate::woken() {
    if (waiting_ == 0) return std::nullopt;
    drop_claims();
    for (int rank = 2; rank >= 0; --rank)
        for (const Queue& queue : queues_) {
            const Entry& first = entries_[queue.first];
            if (guarantees(Resource::bytes, first.parties, first.wanted) != rank) continue;
            if (auto told = try_first(queue)) return told;
        }
    return std::nullopt;
}

const Ticket& Hold::ticket() const {
    if (!*this) throw std::logic_error("hold: holds nothing");
    return *ticket_;
}

}  // namespace whinledge::limits
