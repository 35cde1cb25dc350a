#include "limits/shares.hpp"

#include <algorithm>
#include <stdexcept>

namespace whinledge::limits {

namespace {

Verdict refused(Why why, Amount short_by = 0) { return {Verdict::Kind::refused, why, short_by, {}}; }

}  // namespace

Shares::Shares(Amount total) : total_(total) {
    if (total > kMostTotal) throw std::invalid_argument("total of shares is too large");
}

// ---- who is who

const Shares::Slot* Shares::find(Member member) const {
    if (member.slot >= slots_.size()) return nullptr;
    const Slot& slot = slots_[member.slot];
    return slot.generation == member.generation && slot.state != Slot::State::free ? &slot : nullptr;
}

Shares::Slot& Shares::holder(Member member, Amount n, Holding kind) {
    if (!find(member)) throw std::logic_error("shares: no such member");
    Slot& slot = slots_[member.slot];
    if (n > (kind == Holding::busy ? slot.busy : slot.idle)) throw std::logic_error("shares: not held");
    return slot;
}

Amount Shares::busy(Member member) const {
    const Slot* slot = find(member);
    return slot ? slot->busy : 0;
}

Amount Shares::idle(Member member) const {
    const Slot* slot = find(member);
    return slot ? slot->idle : 0;
}

bool Shares::within_guarantee(Member member, Amount more) const {
    const Slot* slot = find(member);
    return slot && slot->busy <= slot->bound.guaranteed && more <= slot->bound.guaranteed - slot->busy;
}

Amount Shares::largest(const Slot& slot) const {
    const Amount free_for_it = total_ - (guaranteed_ - slot.bound.guaranteed);
    return slot.bound.most ? std::min(slot.bound.most, free_for_it) : free_for_it;
}

Amount Shares::largest(Member member) const {
    const Slot* slot = find(member);
    return slot && slot->state == Slot::State::member ? largest(*slot) : 0;
}

// ---- taking and giving back

std::optional<Verdict> Shares::refusal(const Slot& slot, Amount n) const {
    if (slot.state != Slot::State::member) return refused(Why::gone);
    if (n > largest(slot)) return refused(Why::never);
    const Amount busy = slot.busy + n, most = slot.bound.most;
    if (most && busy > most) return refused(Why::own_most, busy - most);
    if (busy <= slot.bound.guaranteed) return std::nullopt;
    const Amount committed = committed_ - slot.firm() + busy;
    if (committed <= total_) return std::nullopt;
    return refused(committed_ > total_ ? Why::draining : Why::others, committed - total_);
}

std::optional<Verdict> Shares::idle_refusal(const Slot& slot, Amount n) const {
    if (slot.state != Slot::State::member) return refused(Why::gone);
    const Amount most = slot.bound.most;
    if (n > total_ || (most && n > most)) return refused(Why::never);
    const Amount held = slot.held() + n;
    if (most && held > most) return refused(Why::own_most, held - most);
    if (held <= slot.bound.guaranteed || used_ + n <= total_) return std::nullopt;
    return refused(over_committed() ? Why::draining : Why::others, used_ + n - total_);
}

Verdict Shares::take(Member member, Amount n, Holding kind) {
    if (!find(member)) return refused(Why::gone);
    Slot& slot = slots_[member.slot];
    const bool is_busy = kind == Holding::busy;
    if (auto no = is_busy ? refusal(slot, n) : idle_refusal(slot, n)) return std::move(*no);
    if (n == 0) return {};
    const Amount most = slot.bound.most, held = slot.held() + n;
    const Amount own = most && held > most ? held - most : 0;
    if (own || used_ + n > total_) return revoking(slot, n, kind, own);
    book(slot, slot.busy + (is_busy ? n : 0), slot.idle + (is_busy ? 0 : n));
    return {};
}

// `own`: how much idle of the taker has to go for its own bound.
Verdict Shares::revoking(Slot& slot, Amount n, Holding kind, Amount own) {
    const Amount busy = kind == Holding::busy ? n : 0, idle = n - busy;
    book(slot, slot.busy + busy, slot.idle + idle);
    if (own) revoke(slot, own);
    revoke_spare();
    // Idle holdings within guarantees yield to busy ones within a guarantee, when nothing else does.
    if (kind == Holding::busy) revoke_all_kinds();
    const Amount missing = used_ > total_ ? used_ - total_ : 0;
    std::vector<Revocation> list;
    try {
        list = put_back();
    } catch (...) {
        book(slot, slot.busy - busy, slot.idle - idle);
        throw;
    }
    book(slot, slot.busy - busy, slot.idle - idle);
    if (missing) return refused(Why::draining, missing);
    return {Verdict::Kind::granted_if_revoked, Why::gone, 0, std::move(list)};
}

Verdict Shares::idle_to_busy(Member member, Amount n) {
    if (!find(member)) return refused(Why::gone);
    Slot& slot = holder(member, n, Holding::idle);
    if (auto no = refusal(slot, n)) return std::move(*no);
    book(slot, slot.busy + n, slot.idle - n);
    return {};
}

bool Shares::busy_to_idle(Member member, Amount n) {
    Slot& slot = holder(member, n, Holding::busy);
    if (slot.state != Slot::State::member || used_ > total_) return false;
    if (slot.bound.most && slot.held() > slot.bound.most) return false;
    book(slot, slot.busy - n, slot.idle + n);
    return true;
}

void Shares::give_back(Member member, Amount n, Holding kind) {
    Slot& slot = holder(member, n, kind);
    const Amount busy = kind == Holding::busy ? n : 0;
    book(slot, slot.busy - busy, slot.idle - (n - busy));
    free_if_done(slot);
}

// ---- revocations

void Shares::revoke(Slot& slot, Amount n) {
    if (slot.listed == Member::kNone) {
        slot.listed = revocations_++;
        revoked_[slot.listed] = {name(index(slot)), 0};
    }
    revoked_[slot.listed].amount += n;
    book(slot, slot.busy, slot.idle - n);
}

void Shares::revoke_spare() {
    while (used_ > total_ && heaped_ > 0) {
        Slot& top = slots_[heap_[0]];
        revoke(top, std::min(top.spare(), used_ - total_));
    }
}

void Shares::revoke_all_kinds() {
    for (Slot& slot : slots_) {
        if (used_ <= total_) return;
        if (slot.idle > 0) revoke(slot, std::min(slot.idle, used_ - total_));
    }
}

std::vector<Revocation> Shares::put_back() {
    const auto begin = revoked_.begin(), end = begin + revocations_;
    for (auto r = begin; r != end; ++r) {
        Slot& slot = slots_[r->member.slot];
        slot.listed = Member::kNone;
        book(slot, slot.busy, slot.idle + r->amount);
    }
    revocations_ = 0;
    return {begin, end};
}

std::vector<Revocation> Shares::surplus() {
    revoke_spare();
    revoke_all_kinds();
    return put_back();
}

// ---- the books

void Shares::book(Slot& slot, Amount busy, Amount idle) {
    used_ = used_ - slot.held() + busy + idle;
    committed_ -= slot.firm();
    slot.busy = busy, slot.idle = idle;
    committed_ += slot.firm();
    order(slot);
}

void Shares::bind(Slot& slot, Bound bound) {
    guaranteed_ = guaranteed_ - slot.bound.guaranteed + bound.guaranteed;
    committed_ -= slot.firm();
    slot.bound = bound;
    committed_ += slot.firm();
    order(slot);
}

void Shares::free_if_done(Slot& slot) {
    if (slot.state != Slot::State::removed || slot.held() > 0) return;
    slot.state = Slot::State::free;
    ++slot.generation;
    free_[freed_++] = index(slot);
}

std::uint32_t Shares::fresh() {
    if (freed_ > 0) return free_[--freed_];
    const std::size_t size = slots_.size() + 1;
    // Lists longer than the slots do no harm if one of these throws.
    heap_.resize(size), free_.resize(size), revoked_.resize(size);
    slots_.emplace_back();
    return static_cast<std::uint32_t>(size - 1);
}

// ---- changes at run time

Fault Shares::check(Amount total, std::span<const Bound> bounds) {
    if (total > kMostTotal) return Fault::total_too_large;
    Amount left = total;
    for (const Bound& bound : bounds) {
        if (bound.most && bound.most < bound.guaranteed) return Fault::most_under_guarantee;
        if (bound.guaranteed > left) return Fault::guarantees_over_total;
        left -= bound.guaranteed;
    }
    return Fault::none;
}

std::optional<Member> Shares::add(Bound bound) {
    if (check(total_ - guaranteed_, {&bound, 1}) != Fault::none) return std::nullopt;
    const std::uint32_t at = fresh();
    slots_[at].state = Slot::State::member;
    bind(slots_[at], bound);
    return name(at);
}

Fault Shares::set(Member member, Bound bound) {
    const Slot* found = find(member);
    if (!found || found->state != Slot::State::member) return Fault::unknown_member;
    Slot& slot = slots_[member.slot];
    const Fault fault = check(total_ - (guaranteed_ - slot.bound.guaranteed), {&bound, 1});
    if (fault == Fault::none) bind(slot, bound);
    return fault;
}

Fault Shares::set_total(Amount total) {
    if (total > kMostTotal) return Fault::total_too_large;
    if (guaranteed_ > total) return Fault::guarantees_over_total;
    total_ = total;
    return Fault::none;
}

void Shares::remove(Member member) {
    Slot& slot = holder(member, 0, Holding::busy);
    bind(slot, {});
    slot.state = Slot::State::removed;
    free_if_done(slot);
}

Fault Shares::reload(Amount total, std::span<const Wanted> wanted, std::vector<Member>& members) {
    std::vector<Bound> bounds;
    std::vector<bool> named(slots_.size());
    for (const Wanted& w : wanted) {
        bounds.push_back(w.bound);
        if (w.member.slot == Member::kNone) continue;
        const Slot* slot = find(w.member);
        if (!slot || slot->state != Slot::State::member || named[w.member.slot]) return Fault::unknown_member;
        named[w.member.slot] = true;
    }
    if (const Fault fault = check(total, bounds); fault != Fault::none) return fault;

    Shares next = *this;  // so that nothing changes if memory runs out halfway
    for (std::uint32_t i = 0; i < named.size(); ++i) {
        if (next.slots_[i].state != Slot::State::member) continue;
        named[i] ? next.bind(next.slots_[i], {}) : next.remove(name(i));
    }
    next.total_ = total;
    std::vector<Member> result;
    for (const Wanted& w : wanted) {
        const bool is_new = w.member.slot == Member::kNone;
        if (!is_new) next.bind(next.slots_[w.member.slot], w.bound);
        result.push_back(is_new ? *next.add(w.bound) : w.member);
    }
    *this = std::move(next);
    members = std::move(result);
    return Fault::none;
}

// ---- the heap

bool Shares::before(std::uint32_t a, std::uint32_t b) const {
    const Amount x = slots_[a].over(), y = slots_[b].over();
    return x != y ? x > y : a < b;
}

void Shares::place(std::uint32_t at, std::uint32_t slot) {
    heap_[at] = slot;
    slots_[slot].place = at;
}

void Shares::up(std::uint32_t at) {
    const std::uint32_t slot = heap_[at];
    for (; at > 0 && before(slot, heap_[(at - 1) / 2]); at = (at - 1) / 2) place(at, heap_[(at - 1) / 2]);
    place(at, slot);
}

void Shares::down(std::uint32_t at) {
    const std::uint32_t slot = heap_[at];
    for (;;) {
        std::uint32_t child = 2 * at + 1;
        if (child + 1 < heaped_ && before(heap_[child + 1], heap_[child])) ++child;
        if (child >= heaped_ || !before(heap_[child], slot)) break;
        place(at, heap_[child]);
        at = child;
    }
    place(at, slot);
}

void Shares::order(Slot& slot) {
    const std::uint32_t at = slot.place;
    const bool in = at != Member::kNone, belongs = slot.spare() > 0;
    if (!in && !belongs) return;
    if (in && belongs) {
        up(at);
        down(slot.place);
    } else if (belongs) {
        place(heaped_++, index(slot));
        up(slot.place);
    } else {
        slot.place = Member::kNone;
        if (at == --heaped_) return;
        place(at, heap_[heaped_]);
        up(at);
        down(slots_[heap_[at]].place);
    }
}

}  // namespace whinledge::limits
