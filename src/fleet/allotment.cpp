#include "fleet/allotment.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "hash/mix64.hpp"

namespace whinledge::fleet {

namespace {

// Shares of tau.
constexpr double kRenew = 0.5, kAgain = 0.125;  // after the question; after its last copy
constexpr double kRefused = 0.5;                // a lender that had nothing is not asked again for so long
constexpr double kMore = 0.0625;                // a lender that lent is asked for more after so long
constexpr double kVain = 0.0625;                // one is asked so often while nobody lends
constexpr double kShedAfter = 0.0625;           // more than is wanted is held for so long before it goes back
constexpr double kRecall = 0.0625;              // recalls of one lease, and answers to them, are so far apart
constexpr double kSlack = 0.25;                 // of what is wanted: held beyond that is too much
constexpr Units kUneven = 4;                    // a part of a share by which it may be passed
constexpr Units kWorthwhile = 16;  // of what is wanted: less more than that part is no datagram worth
constexpr Millis kDay = 24 * 3600 * 1000.0;

std::vector<Key> sorted(std::vector<Key> keys) {
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    return keys;
}

Units less(Units a, Units b) { return a > b ? a - b : 0; }

}  // namespace

Units part_of(Key member, const std::vector<Key>& members, Units units, std::uint64_t limit) {
    if (members.empty()) return 0;
    const auto rank = [&](Key key) { return std::pair(mix64(limit ^ mix64(key)), key); };
    const auto before = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](Key k) { return rank(k) < rank(member); }));
    const auto n = static_cast<Units>(members.size());
    return units / n + (before < units % n ? 1 : 0);
}

Allotment::Allotment(const AllotmentSettings& settings, std::uint64_t limit, Millis now)
    : settings_(settings), limit_(limit), random_(settings.seed ^ mix64(limit)) {
    if (!(settings.lease >= 1 && settings.lease <= kDay) || !(settings.tail >= 0 && settings.tail <= kDay))
        throw std::invalid_argument("allotment: a lease of less than 1 ms, or more than a day");
    if (!(settings.drift >= 0 && settings.drift < 0.5))
        throw std::invalid_argument("allotment: clocks that drift by half or more");
    settings_.members = sorted(settings.members);
    if (!is_member(settings.self)) throw std::invalid_argument("allotment: self is none of the members");
    quiet_until_ = settings.remembers ? now : now + lender_lease();
    own_ = settled_own_ = part_of(settings.self, settings_.members, settings_.units, limit_);
    set_owners();
}

std::uint64_t Allotment::random() { return mix64(random_ += kSplitMixStep); }

bool Allotment::is_member(Key key) const {
    return std::binary_search(settings_.members.begin(), settings_.members.end(), key);
}

Millis Allotment::lender_lease() const {
    return settings_.lease * (1 + settings_.drift) / (1 - settings_.drift) + settings_.tail;
}

// Everybody begins elsewhere, or all would ask the same few first.
void Allotment::set_owners() {
    owners_.clear();
    for (const Key key : settings_.members)
        if (key != settings_.self && part_of(key, settings_.members, settings_.units, limit_) > 0)
            owners_.push_back(key);
    for (std::size_t i = owners_.size(); i > 1; --i) std::swap(owners_[i - 1], owners_[random() % i]);
    next_owner_ = 0;
}

// ---- What may be used -------------------------------------------------------------------------------------

Units Allotment::Loan::reserved(Millis now) const {
    return std::max(now < ends ? amount : 0, now < kept_ends ? kept : 0);
}

Units Allotment::holdable(Millis now) const { return now < quiet_until_ ? 0 : own(now); }

Units Allotment::lent(Millis now) const {
    Units sum = 0;
    for (const Loan& loan : loans_) sum += loan.reserved(now);
    return sum;
}

Units Allotment::borrowed(Millis now) const {
    Units sum = 0;
    for (const Debt& debt : debts_) sum += now < debt.until ? debt.held : 0;
    return sum;
}

Millis Allotment::stale(Millis now) const {
    Millis oldest = 0;
    for (const Debt& debt : debts_)
        if (debt.held > 0 && now < debt.until)
            oldest = std::max(oldest, now - (debt.until - settings_.lease));
    return oldest;
}

// While a change lowers our part, more may be lent than it is now.
Units Allotment::usable(Millis now) const { return less(holdable(now), lent(now)) + borrowed(now); }

void Allotment::demand(Units wanted, Units busy) {
    busy_ = busy;
    wanted_ = std::min(std::max(wanted, busy), settings_.units);
}

// ---- Lending ----------------------------------------------------------------------------------------------

Units Allotment::spare(Millis now) const { return less(holdable(now), std::max(wanted_, busy_)); }

// Max-min among those that borrow here: who wants less than an even share leaves the rest to the others.
Units Allotment::fair_share(const Loan& loan, Millis now) const {
    std::vector<Units> wants;
    for (const Loan& other : loans_)
        if (now < other.ends || &other == &loan) wants.push_back(other.wants);
    std::sort(wants.begin(), wants.end());
    Units left = spare(now);
    for (std::size_t i = 0; i < wants.size(); ++i) {
        const auto even = static_cast<Units>(left / (wants.size() - i));
        // The odd ones go to whoever asks: fractions are nobody's.
        if (wants[i] > even) return std::min(loan.wants, even + (left % (wants.size() - i) > 0 ? 1 : 0));
        left -= wants[i];
    }
    return loan.wants;
}

Allotment::Loan& Allotment::loan_to(Key to, Incarnation life) {
    const auto at = std::find_if(loans_.begin(), loans_.end(),
                                 [&](const Loan& l) { return l.to == to && l.life == life; });
    if (at != loans_.end()) return *at;
    Loan fresh;
    fresh.to = to;
    fresh.life = life;
    return loans_.emplace_back(fresh);
}

std::optional<Grant> Allotment::receive(Millis now, Key from, Incarnation life, const Ask& ask) {
    drop_ended(now);
    const bool later_life = std::any_of(loans_.begin(), loans_.end(),
                                        [&](const Loan& l) { return l.to == from && l.life > life; });
    if (!is_member(from) || from == settings_.self || later_life || ask.lease > settings_.lease) {
        ++counts_.asks_dropped;
        return std::nullopt;
    }
    Loan& loan = loan_to(from, life);
    if (ask.number < loan.number) {
        ++counts_.asks_dropped;
        return std::nullopt;
    }
    // A copy: the answer may have been lost. It is the same lease; its borrower counts from the question.
    if (ask.number == loan.number) return Grant{loan.number, loan.amount};
    // It holds no more than it says, and no more than it was lent, until what it was lent ends.
    loan.kept = std::min(loan.reserved(now), ask.keep);
    loan.kept_ends = std::max(loan.ends, loan.kept_ends);
    loan.amount = 0;
    loan.number = ask.number;
    loan.wants = std::min(ask.want, settings_.units);
    loan.amount = std::min(room_for(loan, now), fair_share(loan, now));
    loan.ends = now + lender_lease();
    return Grant{loan.number, loan.amount};
}

// What nobody else may still hold.
Units Allotment::room_for(const Loan& loan, Millis now) const {
    return less(less(holdable(now), busy_), lent(now) - loan.reserved(now));
}

// Whoever could not have all, because others held it, has the rest as soon as they have given it back. The
// lease stays the one that it asked for: of one number a grant only grows, so that copies and disorder don't
// matter.
void Allotment::lend_more(Millis now, std::vector<Tell>& out) {
    for (Loan& loan : loans_) {
        if (now >= loan.ends || loan.amount >= loan.wants) continue;
        const Units could = std::min(room_for(loan, now), fair_share(loan, now));
        if (could <= loan.amount || could - loan.amount < loan.wants / kWorthwhile) continue;
        loan.amount = could;
        out.push_back({loan.to, Grant{loan.number, could}});
    }
}

// A life that said something is remembered until its leases have ended: what it said comes again otherwise.
void Allotment::drop_ended(Millis now) {
    std::erase_if(loans_, [&](const Loan& l) { return now >= l.ends && now >= l.kept_ends; });
    std::erase_if(debts_, [&](const Debt& d) {
        return now >= d.until && now >= d.asked_at + settings_.lease && now >= d.refused_at + settings_.lease;
    });
}

// ---- Borrowing --------------------------------------------------------------------------------------------

Allotment::Debt& Allotment::debt_from(Key from) {
    const auto at = std::find_if(debts_.begin(), debts_.end(), [&](const Debt& d) { return d.from == from; });
    if (at != debts_.end()) return *at;
    Debt fresh;
    fresh.from = from;
    fresh.asked_at = -1e18;
    return debts_.emplace_back(fresh);
}

bool Allotment::receive(Millis now, Key from, const Grant& grant) {
    const auto debt = std::find_if(debts_.begin(), debts_.end(), [&](const Debt& d) {
        return d.from == from && d.number == grant.number && (d.pending || grant.amount > d.held);
    });
    if (debt == debts_.end() || now >= debt->asked_at + settings_.lease) {
        ++counts_.grants_dropped;
        return false;
    }
    // Never more than was asked for, whatever a lender says. What it took back it may lend once it knows that
    // we hold no more.
    const Units before = now < debt->until ? debt->held : 0;
    const bool wanted_more = debt->asked > before;
    debt->held = std::min(grant.amount, debt->asked);
    debt->until = debt->asked_at + settings_.lease;
    if (debt->pending) debt->again = debt->held < before;
    debt->pending = false;
    vain_ = debt->held > before ? 0 : vain_ + wanted_more;
    if (debt->held <= before && wanted_more) debt->refused_at = now;
    return true;
}

std::uint32_t Allotment::lease_told() const { return static_cast<std::uint32_t>(std::ceil(settings_.lease)); }

// What is still at work and has no units any more began under leases that were taken back or have ended: its
// lender, any of them, is to count it until it has ended, or until its lease and the longest time of a
// request are over.
Units Allotment::kept(const Debt& debt, Millis now) const { return debt.held + less(busy_, usable(now)); }

// From here on no more than `keep` is used of what this lender lent: it may count the rest as back when it
// hears of it.
Allotment::Tell Allotment::ask(Debt& debt, Millis now, Units keep, Units want) {
    debt.held = now < debt.until ? std::min(debt.held, keep) : 0;
    debt.number = next_number_++;
    debt.pending = true;
    debt.again = false;
    debt.asked_at = debt.sent_at = now;
    debt.asked = want;
    return {debt.from, Ask{debt.number, kept(debt, now), want, lease_told()}};
}

// Wanted, not there, and not under way.
Units Allotment::missing(Millis now) const {
    Units missing = less(std::max(wanted_, busy_), usable(now));
    for (const Debt& d : debts_)
        if (d.pending && now < d.asked_at + kRenew * settings_.lease)
            missing = less(missing, less(d.asked, d.held));
    return missing;
}

// More than is wanted and some, for when demand is not quite even.
Units Allotment::surplus(Millis now) const {
    const Units wanted = std::max(wanted_, busy_);
    const auto slack = static_cast<Units>(std::ceil(kSlack * wanted));
    return less(usable(now), wanted + slack);
}

// The same question again must be the same question: its answer's lease counts from its first copy.
void Allotment::renew(Millis now, std::vector<Tell>& out) {
    Units lacking = missing(now), too_much = surplus(now);
    for (Debt& d : debts_) {
        const bool holds = d.held > 0 && now < d.until;
        if (d.pending && now < d.asked_at + kRenew * settings_.lease) {
            if (now < d.sent_at + kAgain * settings_.lease) continue;
            d.sent_at = now;
            ++vain_;  // whoever is cut off is not to ask everybody again and again
            if (d.held == 0 && in_vain()) continue;
            out.push_back({d.from, Ask{d.number, kept(d, now), d.asked, lease_told()}});
        } else if (d.again || (holds && now >= d.asked_at + kRenew * settings_.lease)) {
            const Units back = holds ? std::min(too_much, d.held) : 0;
            const Units keep = holds ? d.held - back : 0;
            const Units more = std::min(lacking, less(most_from(d.from), keep));
            too_much -= back;
            lacking -= more;
            out.push_back(ask(d, now, keep, keep + more));
        }
    }
}

// A lender has its part at the most.
Units Allotment::most_from(Key lender) const {
    return part_of(lender, settings_.members, settings_.units, limit_);
}

void Allotment::receive_recall(Millis now, Key from) {
    for (Debt& d : debts_)
        if (d.from == from && d.held > 0 && now < d.until && !d.pending &&
            now >= d.asked_at + kRecall * settings_.lease)
            d.again = true;
}

// Whoever holds clearly more than its share, now that others or we want more, is to ask anew. Demand is never
// quite even, and to follow each of its steps would cost more than it brings.
void Allotment::recall(Millis now, std::vector<Tell>& out) {
    for (Loan& loan : loans_) {
        if (now >= loan.ends || now < loan.recalled_at + kRecall * settings_.lease) continue;
        const Units fair = fair_share(loan, now);
        if (loan.amount <= fair + fair / kUneven) continue;
        loan.recalled_at = now;
        out.push_back({loan.to, Recall{}});
    }
}

// What is too much for a while goes back, the smallest leases first: fewer are left to renew.
void Allotment::shed(Millis now, std::vector<Tell>& out) {
    if (borrowed(now) == 0 || surplus(now) == 0) {
        spared_since_ = kNever;
        return;
    }
    if (spared_since_ == kNever) spared_since_ = now;
    if (now < spared_since_ + kShedAfter * settings_.lease) return;
    spared_since_ = kNever;
    Units left = less(usable(now), std::max(wanted_, busy_));
    std::sort(debts_.begin(), debts_.end(), [](const Debt& a, const Debt& b) { return a.held < b.held; });
    for (Debt& d : debts_) {
        if (left == 0) return;
        if (d.held == 0 || now >= d.until) continue;
        const Units back = std::min(left, d.held);
        left -= back;
        out.push_back(ask(d, now, d.held - back, d.held - back));
    }
}

// Whether it makes sense to ask that one for (more of) its part now.
bool Allotment::may_lend(Key owner, Millis now) const {
    const auto d =
        std::find_if(debts_.begin(), debts_.end(), [&](const Debt& one) { return one.from == owner; });
    if (d == debts_.end()) return true;
    const bool waits = d->pending && now < d->asked_at + kRenew * settings_.lease;
    if (waits || now < d->refused_at + kRefused * settings_.lease) return false;
    return d->held == 0 || now >= d->until || now >= d->asked_at + kMore * settings_.lease;
}

bool Allotment::in_vain() const { return vain_ > owners_.size() / 2; }

// Where half of the owners had nothing for us, or did not answer, all are busy or away.
void Allotment::seek(Millis now, const std::vector<Key>& absent, std::vector<Tell>& out) {
    Units lacking = missing(now);
    const auto away = [&](Key k) { return std::find(absent.begin(), absent.end(), k) != absent.end(); };
    if (in_vain() && now < sought_at_ + kVain * settings_.lease) return;
    const std::size_t most = in_vain() ? 1 : kMostAsks;
    std::size_t asked = 0;
    for (std::size_t looked = 0; looked < owners_.size() && lacking > 0 && asked < most; ++looked) {
        const Key owner = owners_[next_owner_++ % owners_.size()];
        if (!may_lend(owner, now) || away(owner)) continue;
        Debt& d = debt_from(owner);
        const Units held = now < d.until ? d.held : 0;
        const Units more = std::min(lacking, less(most_from(owner), held));
        if (more == 0) continue;
        lacking -= more;
        ++asked;
        sought_at_ = now;
        out.push_back(ask(d, now, held, held + more));
    }
}

std::vector<Allotment::Tell> Allotment::tick(Millis now, const std::vector<Key>& absent) {
    drop_ended(now);
    std::vector<Tell> out;
    recall(now, out);
    lend_more(now, out);
    renew(now, out);
    shed(now, out);
    seek(now, absent, out);
    return out;
}

// ---- Changes ----------------------------------------------------------------------------------------------

void Allotment::change(Millis now, Units units, const std::vector<Key>& members) {
    const Units current = own(now);
    settings_.units = units;
    settings_.members = sorted(members);
    settled_own_ = is_member(settings_.self) ? part_of(settings_.self, settings_.members, units, limit_) : 0;
    own_ = std::min(current, settled_own_);
    settled_at_ = now + lender_lease();
    wanted_ = std::min(wanted_, units);
    set_owners();
}

}  // namespace whinledge::fleet
