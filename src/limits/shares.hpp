// Who may take one more of a bounded thing: guaranteed parts, and borrowing of what others leave idle.
// Without I/O and without a clock. The design and what a refusal means for operators: docs/limits.md.
//
// With g, b and d a member's guarantee, busy and idle holdings, and T the total:
//   committed = sum of max(b, g) <= T    so what is guaranteed and not busy is never lent to busy holdings
//   used      = sum of b + d     <= T    idle holdings may fill all that is left
// It follows that what a member lacks of its guarantee can be had by revoking idle holdings over guarantees
// alone. Both sums may stand above T after a change at run time only; then nothing is granted that adds to
// the excess (see `over_committed`).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace whinledge::limits {

using Amount = std::size_t;  // units (requests, connections) or bytes

// The largest total, so that no sum of holdings overflows.
inline constexpr Amount kMostTotal = static_cast<Amount>(-1) / 8;

struct Bound {
    Amount guaranteed = 0;
    Amount most = 0;  // busy and idle together; 0: no bound of its own; else at least `guaranteed`
};

// Names a member until it is removed and holds nothing; never means another one afterwards.
struct Member {
    static constexpr std::uint32_t kNone = static_cast<std::uint32_t>(-1);
    std::uint32_t slot = kNone;
    std::uint32_t generation = 0;
    friend bool operator==(const Member&, const Member&) = default;
};

enum class Holding {
    busy,  // can't be revoked: an open request, a connection with a request on it
    idle   // can be revoked at once: an idle kept-alive connection, a buffer that can be dropped
};

enum class Why {
    own_most,  // the member's own bound
    others,    // it is past its guarantee, and the common part is used or kept for others' guarantees
    draining,  // more is held than a bound lowered at run time allows; nothing new until below
    never,     // more than it could have if nothing was held
    gone       // removed, or never a member
};

struct Revocation {
    Member member;
    Amount amount = 0;  // of its idle holdings, at least
};

struct Verdict {
    enum class Kind {
        granted,             // booked
        granted_if_revoked,  // nothing is booked: give back what `revoke` lists, then ask again
        refused              // nothing is booked
    } kind = Kind::granted;
    Why why = Why::gone;             // refused: why
    Amount short_by = 0;             // refused: how much has to be given back first; 0: not known, or no use
    std::vector<Revocation> revoke;  // each member once; the taker's own for its `most`, then as by `surplus`

    bool granted() const { return kind == Kind::granted; }
};

// Why a configuration is not taken.
enum class Fault { none, guarantees_over_total, most_under_guarantee, total_too_large, unknown_member };

// One bounded resource. A call costs O(1), or O(log members) if idle holdings over a guarantee change; one
// that lists revocations O(log members) for each of them. Only adding members and listing revocations
// allocate. Wrong use (giving back what is not held, an unknown member) throws std::logic_error and changes
// nothing.
class Shares {
public:
    // Throws std::invalid_argument if `total` is above kMostTotal.
    explicit Shares(Amount total);

    // Takes `n` more, all or nothing.
    // Busy: always within the guarantee (busy holdings count), past it only of the common part. Either way
    // idle holdings over guarantees may have to be revoked for it. Idle: within the guarantee (all holdings
    // count) like busy; past it only of what nobody holds.
    [[nodiscard]] Verdict take(Member member, Amount n, Holding kind = Holding::busy);
    // The same; `revoke(Member, Amount)` has to give back at least so much idle, at once. Not `granted` only
    // if it did not.
    template <class Revoke>
    [[nodiscard]] Verdict take_by(Member member, Amount n, Holding kind, Revoke&& revoke) {
        Verdict verdict = take(member, n, kind);
        if (verdict.kind != Verdict::Kind::granted_if_revoked) return verdict;
        for (const Revocation& r : verdict.revoke) revoke(r.member, r.amount);
        return take(member, n, kind);
    }
    // A request comes on what was idle. Checked like a busy take, save that nothing has to be revoked for it.
    // Refused: it stays idle and booked as it was. Who can leave it idle (a pool's connection) does; who
    // can't (a client's connection on which a request has come) answers 503, closes it and gives back idle.
    [[nodiscard]] Verdict idle_to_busy(Member member, Amount n);
    // Whether it may be kept idle. If not (the member is removed, or more is held than a bound allows),
    // nothing changes: close it and give back busy.
    [[nodiscard]] bool busy_to_idle(Member member, Amount n);
    void give_back(Member member, Amount n, Holding kind = Holding::busy);

    // What idle holdings to revoke so that `used` falls to the total, or as near as they allow: whoever is
    // most over its guarantee first; within guarantees only if that is not enough. Empty but after a change.
    std::vector<Revocation> surplus();

    // Changes at run time. Whatever is held stays held; the guarantees' sum must not exceed the total.
    static Fault check(Amount total, std::span<const Bound> bounds);
    std::optional<Member> add(Bound bound);  // none: as `check` says
    Fault set(Member member, Bound bound);
    Fault set_total(Amount total);
    // Nothing new for it from now on; what it holds counts until it is given back, its idle holdings as over
    // the guarantee.
    void remove(Member member);
    struct Wanted {
        Member member;  // slot kNone: a new one
        Bound bound;
    };
    // All in one step or, with a fault, not at all: members not named are removed. `members`: in the order
    // wanted.
    Fault reload(Amount total, std::span<const Wanted> wanted, std::vector<Member>& members);

    Amount total() const { return total_; }
    Amount used() const { return used_; }
    Amount committed() const { return committed_; }
    Amount guaranteed() const { return guaranteed_; }
    // Only after a change at run time. While it lasts, even a take within a guarantee is refused (`draining`)
    // if busy holdings leave no room for it.
    bool over_committed() const { return committed_ > total_ || used_ > total_; }
    // Of a member or a removed one that still holds something; else 0.
    Amount busy(Member member) const;
    Amount idle(Member member) const;
    bool within_guarantee(Member member, Amount more) const;  // with so much more busy
    // How much of it could be busy if nothing was held.
    Amount largest(Member member) const;

private:
    struct Slot {
        Bound bound;
        Amount busy = 0, idle = 0;
        std::uint32_t generation = 0;
        std::uint32_t place = Member::kNone;   // in the heap
        std::uint32_t listed = Member::kNone;  // in the revocations being found
        enum class State { free, member, removed } state = State::free;
        Amount held() const { return busy + idle; }
        // Part of the committed sum.
        Amount firm() const { return busy > bound.guaranteed ? busy : bound.guaranteed; }
        // Idle and over the guarantee: what others' guarantees may revoke.
        Amount spare() const { return held() > firm() ? held() - firm() : 0; }
        Amount over() const { return held() - bound.guaranteed; }  // only if there is something to spare
    };

    const Slot* find(Member member) const;
    Slot& holder(Member member, Amount n, Holding kind);
    Member name(std::uint32_t slot) const { return {slot, slots_[slot].generation}; }
    std::uint32_t index(const Slot& slot) const { return static_cast<std::uint32_t>(&slot - slots_.data()); }
    Amount largest(const Slot& slot) const;
    std::optional<Verdict> refusal(const Slot& slot, Amount n) const;
    std::optional<Verdict> idle_refusal(const Slot& slot, Amount n) const;
    Verdict revoking(Slot& slot, Amount n, Holding kind, Amount own);

    void book(Slot& slot, Amount busy, Amount idle);
    void bind(Slot& slot, Bound bound);
    void free_if_done(Slot& slot);
    std::uint32_t fresh();

    // What would have to be revoked is found by revoking it in the books, then putting it back.
    void revoke(Slot& slot, Amount n);
    void revoke_spare();
    void revoke_all_kinds();
    std::vector<Revocation> put_back();

    // Heap of the slots with something to spare, most over the guarantee first.
    bool before(std::uint32_t a, std::uint32_t b) const;
    void place(std::uint32_t at, std::uint32_t slot);
    void up(std::uint32_t at);
    void down(std::uint32_t at);
    void order(Slot& slot);

    Amount total_;
    Amount used_ = 0, committed_ = 0, guaranteed_ = 0;
    std::vector<Slot> slots_;
    // All as long as the slots, so that no call has to allocate.
    std::vector<std::uint32_t> heap_, free_;
    std::vector<Revocation> revoked_;
    std::uint32_t heaped_ = 0, freed_ = 0, revocations_ = 0;
};

}  // namespace whinledge::limits
