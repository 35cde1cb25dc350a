// Fleet-wide limits on requests, in this member: what an allotment allows is spent as tokens a second, or as
// requests open at once. Without I/O and without a clock; no call waits for anybody. Bounds:
// docs/design/fleet.md, "Limits".
//
// Times are ms on a clock that never goes back. Not thread-safe.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "fleet/allotment.hpp"
#include "fleet/datagram.hpp"

namespace whinledge::fleet {

struct LimitSpec {
    enum class Kind : std::uint8_t { rate, open } kind = Kind::rate;
    std::string name;
    double rate = 0;      // of rate: a second, by the whole fleet, more than 0
    double burst = 1;     // of rate: at once, at least 1
    Units open = 0;       // of open: at once, by the whole fleet
    Millis lease = 4000;  // tau
    Millis tail = 0;      // of open: the longest time of a request
    bool operator==(const LimitSpec&) const = default;
};

// One of them. In any window of T seconds all members together admit at most
//   rate: rate * T + burst + N     (N members, each of which may have saved a whole token)
//   open: `open` at any moment.
class Limit {
public:
    // A rate is divided in so many units, whatever N is, so that a unit means the same while files differ.
    static constexpr Units kRateUnits = 1 << 16;

    Limit(const LimitSpec& spec, const AllotmentSettings& fleet, Millis now);

    // Admits one more, or says how long it had better wait, ms. What was admitted of kind open is given back.
    std::optional<Millis> take(Millis now);
    void give_back(Millis now);

    // The limit, or the members, are other ones from now on. The kind can't change.
    void change(Millis now, const LimitSpec& spec, const std::vector<Key>& members);

    std::optional<Grant> receive(Millis now, Key from, Incarnation life, const Ask& ask);
    bool receive(Millis now, Key from, const Grant& grant);
    void receive_recall(Millis now, Key from);
    std::vector<Allotment::Tell> tick(Millis now, const std::vector<Key>& absent);
    // When tick() has something to do; kNever: not before something else happens.
    Millis due() const { return due_; }

    const LimitSpec& spec() const { return spec_; }
    const Allotment& allotment() const { return allotment_; }
    // In the limit's own measure, a second or at once.
    double share(Units units) const;
    double used(Millis now) const;  // admitted a second of late, or open
    std::uint64_t admitted() const { return admitted_; }
    std::uint64_t refused() const { return refused_; }

private:
    // What came of late: counts of a tenth of a second each, for ten seconds.
    class Coming {
    public:
        void add(Millis now);
        double last_second(Millis now) const { return count(now, kSecondSlots); }
        // A second, as far as it is no chance.
        double rate(Millis now) const;

    private:
        static constexpr Millis kSlot = 100;
        static constexpr std::int64_t kSlots = 100, kSecondSlots = 10, kRushSlots = 2, kLullSlots = 4;
        struct Slot {
            std::int64_t at = 0;
            unsigned count = 0;
        };
        double count(Millis now, std::int64_t slots) const;
        std::deque<Slot> slots_;
        std::int64_t first_ = -1;
    };
    // Tokens up to now, by what could be used since the last time; then the caller changes what can.
    void accrue(Millis now);
    double rate_now(Millis now) const;  // the lesser of the old and the new one while a change lasts
    double cap(Units units) const;
    void judge_demand(Millis now);
    void hurry(Millis now);

    LimitSpec spec_;
    Allotment allotment_;
    double tokens_ = 0, before_ = 0;  // rate before a change
    Millis accrued_at_, changed_until_ = -1e18;
    Units units_ = 0;  // usable, when it was last looked at
    std::size_t open_ = 0;
    Coming asked_, taken_;
    std::uint64_t admitted_ = 0, refused_ = 0;
    Millis due_ = kNever, ticked_at_ = -1e18;
};

// All limits of this member, and their part of datagrams.
class Limits {
public:
    static constexpr std::uint8_t kSubsystem = 1;
    struct Send {
        Key to = 0;
        Item item;
    };

    // `life`: of this process, higher with each start; unlike an incarnation it is never raised.
    Limits(Key self, std::uint64_t life, std::uint64_t seed) : self_(self), life_(life), seed_(seed) {}

    // Those that stay, by name and kind, keep what they have; others begin as after a start. `first`: this
    // process has lent nothing in an earlier life that others may still use.
    void configure(Millis now, const std::vector<LimitSpec>& specs, const std::vector<Key>& members);

    // Null: there is none of that name.
    Limit* find(std::string_view name);
    const std::vector<Limit>& all() const { return limits_; }

    // An item of kSubsystem; what can't be read is dropped and counted.
    void receive(Millis now, Key from, const Item& item, std::vector<Send>& out);
    void tick(Millis now, const std::vector<Key>& absent, std::vector<Send>& out);
    Millis due() const;
    std::uint64_t unreadable() const { return unreadable_; }

private:
    Limit* find(Key key);

    Key self_;
    std::uint64_t life_, seed_;
    std::vector<Limit> limits_;
    std::uint64_t unreadable_ = 0;
};

}  // namespace whinledge::fleet
