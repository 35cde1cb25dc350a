// One fleet-wide limit of so many units, divided over the configured members: a member owns its part and may
// lend from it by leases. The sum of what all may use never passes the limit, whatever becomes of links,
// processes and restarts; no agreement is needed (escrow). Without I/O and without a clock. Ways weighed and
// bounds: docs/design/fleet.md, "Limits".
//
// A lease is counted by its borrower from before it asked and by its lender from after it gave; clocks may
// run fast or slow by `drift`, so that the borrower always stops first:
//   borrower: tau from the moment of its ask;  lender: lender_lease() = tau * (1 + drift) / (1 - drift) +
//   tail
// A member that starts may have lent in an earlier life, and uses nothing of its own for lender_lease().
//
// Times are ms on a clock that never goes back. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "fleet/types.hpp"

namespace whinledge::fleet {

using Units = std::uint32_t;

// From a borrower: it holds no more than `keep` of what it was lent, ignores grants of earlier numbers, and
// wants `want` in all. want = 0 gives back what is above keep = 0.
struct Ask {
    std::uint32_t number = 0;
    Units keep = 0, want = 0;
    std::uint32_t lease = 0;  // ms, by which it counts; no lender lends for longer than it counts itself
    bool operator==(const Ask&) const = default;
};
// The answer to the ask of that number: so much in all, in place of what was lent before. A later one of the
// same number only adds to it.
struct Grant {
    std::uint32_t number = 0;
    Units amount = 0;
    bool operator==(const Grant&) const = default;
};

struct AllotmentSettings {
    Key self = 0;
    Units units = 0;           // of the fleet
    std::vector<Key> members;  // configured, self among them
    Millis lease = 4000;       // tau
    double drift = 0.01;       // rho: of each clock, to either side; below 0.5
    Millis tail = 0;           // what is begun within a lease may go on for so long after it
    std::uint64_t seed = 1;
    // What this life may have lent before it began, it has not: the first start of all, or a journal says so.
    bool remembers = false;
};

// The part of a member: units / N, one more for the first of them in the order of hashes of key and limit, so
// that the odd units of many limits fall to different members. The parts add up to `units`.
Units part_of(Key member, const std::vector<Key>& members, Units units, std::uint64_t limit);

class Allotment {
public:
    // Throws std::invalid_argument where settings make no sense. `limit` tells limits apart (their keys).
    Allotment(const AllotmentSettings& settings, std::uint64_t limit, Millis now);

    // ---- What this member may use
    // Units, now: its own part less what is lent, and what it has been lent. Falls by itself as leases end:
    // ask at each use.
    Units usable(Millis now) const;
    Units own(Millis now) const { return now < settled_at_ ? own_ : settled_own_; }
    Units lent(Millis now) const;
    Units borrowed(Millis now) const;
    // Own units may be used and lent from then on.
    Millis quiet_until() const { return quiet_until_; }
    // So many are wanted here, by what was asked for of late; more than the limit counts as the limit. `busy`
    // can't be given up at this moment (requests that are open): never lent, nor given back.
    void demand(Units wanted, Units busy = 0);
    Units wanted() const { return wanted_; }

    // ---- Between members
    // `from` is the sender, in the life that its datagram says. An answer, if there is one.
    std::optional<Grant> receive(Millis now, Key from, Incarnation life, const Ask& ask);
    // Whether it was taken: late ones, doubled ones and those of a question never asked are not.
    bool receive(Millis now, Key from, const Grant& grant);

    // A lender wants to be asked anew, since others want some of what it lent: liveness alone.
    void receive_recall(Millis now, Key from);

    // What to send now, each to be sent at once: renewals, new asks, what is given back, recalls, more for
    // those that could not have all at first. At most kMostAsks new ones a call; call it each tau / 64 or so.
    // `absent`: members that are believed to be away, asked last; a wrong belief costs use and never the
    // bound.
    struct Recall {};
    struct Tell {
        Key to = 0;
        std::variant<Ask, Grant, Recall> what;
    };
    static constexpr std::size_t kMostAsks = 8;
    std::vector<Tell> tick(Millis now, const std::vector<Key>& absent);

    // ---- Changes: the limit or the members are other ones. Until lender_lease() has passed both are kept
    // to: own units are the lesser of both parts. Members that change at different times stay within the
    // greater of both limits meanwhile.
    void change(Millis now, Units units, const std::vector<Key>& members);

    // How long ago the oldest question was put that something is still held by; 0: nothing is borrowed.
    Millis stale(Millis now) const;

    Millis borrower_lease() const { return settings_.lease; }
    Millis lender_lease() const;
    Units units() const { return settings_.units; }
    struct Counts {
        std::uint64_t grants_dropped = 0;  // late, doubled, never asked for
        std::uint64_t asks_dropped = 0;    // of an earlier life, out of order, of strangers
    };
    const Counts& counts() const { return counts_; }

private:
    // Lent to a life of a borrower. What an earlier grant left it may hold beside the latest.
    struct Loan {
        Key to = 0;
        Incarnation life = 0;
        std::uint32_t number = 0;  // of the ask that was answered last
        Units amount = 0, kept = 0, wants = 0;
        Millis ends = 0, kept_ends = 0;
        Millis recalled_at = -1e18;
        Units reserved(Millis now) const;
    };
    // Asked of a lender, and what it lent.
    struct Debt {
        Key from = 0;
        std::uint32_t number = 0;
        bool pending = false;
        Millis asked_at = 0, sent_at = 0;  // of the latest question; of its latest copy
        bool again = false;                // the lender has to hear at once what is held now
        Units asked = 0;
        Units held = 0;
        Millis until = 0;
        Millis refused_at = -1e18;
    };

    bool is_member(Key key) const;
    Units holdable(Millis now) const;  // of our own part: 0 while it may be lent by an earlier life
    Units spare(Millis now) const;     // of that, what is not wanted here
    Units fair_share(const Loan& loan, Millis now) const;
    Units room_for(const Loan& loan, Millis now) const;
    Loan& loan_to(Key to, Incarnation life);
    void drop_ended(Millis now);
    Debt& debt_from(Key from);
    Tell ask(Debt& debt, Millis now, Units keep, Units want);
    std::uint32_t lease_told() const;
    Units kept(const Debt& debt, Millis now) const;
    Units missing(Millis now) const;
    Units surplus(Millis now) const;
    Units most_from(Key lender) const;
    bool may_lend(Key owner, Millis now) const;
    bool in_vain() const;
    void renew(Millis now, std::vector<Tell>& out);
    void recall(Millis now, std::vector<Tell>& out);
    void lend_more(Millis now, std::vector<Tell>& out);
    void shed(Millis now, std::vector<Tell>& out);
    void seek(Millis now, const std::vector<Key>& absent, std::vector<Tell>& out);
    void set_owners();
    std::uint64_t random();

    AllotmentSettings settings_;
    std::uint64_t limit_;
    Units own_ = 0;  // until a change is over: the lesser of both parts
    Millis quiet_until_;
    Millis settled_at_ = -1e18;  // when that is
    Units settled_own_ = 0;      // the part from then on
    Units wanted_ = 0, busy_ = 0;
    Millis spared_since_ = kNever;  // more than is wanted has been held since
    std::vector<Loan> loans_;
    std::vector<Debt> debts_;
    std::vector<Key> owners_;  // others with a part, in a random order; where the next question goes
    std::size_t next_owner_ = 0;
    std::size_t vain_ = 0;  // questions for more that brought nothing, since one that did
    Millis sought_at_ = -1e18;
    std::uint32_t next_number_ = 1;
    std::uint64_t random_;
    Counts counts_;
};

}  // namespace whinledge::fleet
