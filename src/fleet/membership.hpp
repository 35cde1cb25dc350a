// Who of the configured fleet is there: SWIM's probing and rumours with Lifeguard's doubt in oneself, without
// I/O and without a clock. Ways weighed and bounds: docs/design/fleet.md; what operators see:
// docs/operate/fleet.md.
//
// Give every event with its time, ms on a clock that never goes back, and carry out the actions in their
// order. Not thread-safe; one thread owns it.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

#include "fleet/datagram.hpp"
#include "fleet/outbox.hpp"

namespace whinledge::fleet {

// The protocol's own constants. Nobody configures them: they are here so that a test can break a bound on
// purpose and see that it notices. Times and rates in P.
struct MembershipTuning {
    // A probe pings its target up to `pings` times, `again` apart, asks others at `direct`, and has failed at
    // `indirect`.
    unsigned pings = 4;
    double again = 0.2, direct = 0.4, indirect = 0.75;
    double errand = 0.25;  // a helper says that it has heard nothing
    unsigned helpers = 3;
    double verifiers = 4;   // who look for themselves when they hear of a suspicion, on the mean
    unsigned rechecks = 1;  // members that are held suspect and pinged in a round
    unsigned most_doubt = 8;
    // A suspicion lasts so long at least, log10(N + 1) times `suspicion_per_decade` where that is more, and
    // `alone` times as long while one member alone holds it. Whoever hears of it late still leaves the
    // suspect `grace` to contradict.
    double suspicion_least = 3, suspicion_per_decade = 1.2, alone = 2, grace = 2;
    double times_per_decade = 4;  // how often a rumour is sent on, by log10(N + 1)
    unsigned calm_times = 3;      // and a first hearing of somebody that is alive, at most
    // Sent on at once, beside the probes: so many a P, so many at a stretch, to so many members.
    double urgent_rate = 0.8, urgent_burst = 2;
    std::size_t urgent_to = 2;
    double compare_rate = 1.5, compare_burst = 2, repair_rate = 2, repair_burst = 4;
    // Absent members that are pinged in a round, for so long after one of them has spoken.
    unsigned healing = 3;
    double healing_for = 2;
    std::size_t farewells = 5;
    // What a member may send us in a P, and at a stretch: more is a flood. A member sends fewer than that to
    // all.
    double allowance = 16, allowance_burst = 48;
    Millis ahead = 24 * 3600 * 1000.0;  // rumours of a life later than this beyond our time are absurd
    std::size_t most_errands = 32, most_probes = 16;
    double refute_every = 0.25;  // at most
    double dispute_every = 10;   // told of another process under our name, at most
    // Standing: how long it has to point elsewhere before it changes; and silence from all that means alone.
    double fall_after = 2, rise_after = 1, silence = 4;
    // A tick that comes so much too late: we have stood still, and what we believe is old.
    double still = 0.5;
    // Rules that no figure expresses.
    bool hearsay_ends = false;       // "failed" or "left" at second hand is believed as it is
    bool old_lives_count = false;    // what an earlier life says is taken
    bool forgives_itself = true;     // a process that stood still moves its suspicions on
    bool deaf_fails_others = false;  // who hears nobody lets suspicions end
    bool suspects_count = false;     // as heard, for the standing
};

struct MembershipSettings {
    std::uint32_t fleet = 0;  // key_of its name
    Key self = 0;
    Incarnation born = 1;  // Unix time of the start, ms
    Millis period = 1000;  // P, between probes
    std::uint64_t seed = 1;
    std::vector<Key> members;  // configured; self may be among them
    MembershipTuning tuning = {};
};

// To be sent to that member's configured address.
struct Tell {
    Key to = 0;
    Datagram datagram;
};
struct Changed {
    Key about = 0;
    State from = State::failed, to = State::failed;
    Incarnation incarnation = 0;
    bool draining = false;
};
struct StandingChanged {
    Standing from = Standing::alone, to = Standing::alone;
};
// Another process speaks under our name, or a rumour says so. Told once in a while.
struct Disputed {
    Incarnation theirs = 0;
};
using FleetAction = std::variant<Tell, Changed, StandingChanged, Disputed>;
using FleetActions = std::vector<FleetAction>;

// What was received and not used, by reason, since the start.
struct Dropped {
    std::uint64_t flood = 0;         // more from one member than it may send
    std::uint64_t earlier_life = 0;  // from a life that has ended
    std::uint64_t stranger = 0;      // from, or about, somebody who is not configured
    std::uint64_t absurd = 0;        // rumours of a time to come
};

class Membership {
public:
    // Throws std::invalid_argument where settings make no sense.
    explicit Membership(const MembershipSettings& settings);

    // At due() or later; harmless at any time.
    void tick(Millis now, FleetActions& actions);
    // A datagram that came from the configured address of `d.from`; others are dropped by the caller.
    void receive(Millis now, const Datagram& d, FleetActions& actions);
    // The configured fleet is another one now. Those that stay keep what is known of them.
    void configure(Millis now, const std::vector<Key>& members, FleetActions& actions);
    // This member empties: told with the next datagrams, under a new incarnation.
    void set_draining(Millis now, bool draining, FleetActions& actions);
    // It ends in good order: tells some at once. Nothing else is sent afterwards.
    void leave(Millis now, FleetActions& actions);
    // For other subsystems: said with what is sent anyhow.
    Outbox& outbox() { return outbox_; }

    Millis due() const;
    Key self() const { return settings_.self; }
    Incarnation incarnation() const { return incarnation_; }
    bool draining() const { return draining_; }
    Standing standing() const { return standing_; }
    std::uint32_t view() const { return view_; }
    unsigned doubt() const { return doubt_; }  // in oneself, 0 to 8: Lifeguard's local health
    const Dropped& dropped() const { return dropped_; }

    struct Peer {
        Key key = 0;
        State state = State::failed;
        bool draining = false;
        Incarnation incarnation = 0;  // 0: never heard of
        Millis heard_at = -1;         // when a datagram last came from it; -1: never
    };
    std::size_t size() const { return peers_.size() + 1; }  // of the configured fleet, self included
    std::size_t alive() const { return alive_ + 1; }        // alive or suspect, self included
    std::size_t heard() const { return alive() - suspects_.size(); }
    std::vector<Peer> peers() const;
    std::optional<Peer> peer(Key key) const;

    // The shortest and the longest time from a suspicion to `failed`, ms: N = size().
    Millis suspicion_least() const;
    Millis suspicion_most() const;

private:
    struct Entry {
        Peer seen;
        // Of a suspicion.
        Millis suspected_at = 0;
        State becomes = State::failed;
        std::uint8_t tellers = 0;
        std::array<Key, 3> teller{};
        // What it may still send, and when it was last told of what is believed of it.
        double allowance = 0;
        Millis allowance_at = 0, reminded_at = 0;
        Millis trusted_until = 0;  // it has shown itself since it was suspected
    };
    // A ping that waits for its ack.
    struct Probe {
        Key target = 0;
        std::uint32_t number = 0;
        Millis again_at = 0, asks_at = 0, ends_at = 0;  // pinged once more; others asked; it has failed
        Millis apart = 0;
        unsigned pings = 0;  // that may still be sent
        bool asked = false;
        unsigned nacks_wanted = 0, nacks = 0;
        // In its turn; of a suspicion that somebody else tells of, which costs no doubt in oneself; or of one
        // that is held already, of which only an ack matters.
        enum class Why : std::uint8_t { turn, verify, recheck } why = Why::turn;
    };
    // A ping that somebody asked for.
    struct Errand {
        Key asker = 0, target = 0;
        std::uint32_t number = 0, own_number = 0;
        Millis ends_at = 0;
    };

    Entry* find(Key key);
    const Entry* find(Key key) const;
    void woke(Millis now);
    void flush(Millis now, FleetActions& actions);

    void round(Millis now, FleetActions& actions);
    void ping_absent(Millis now, FleetActions& actions);
    Key next_in_turn();
    Key next_on_ring() const;
    void recheck(Millis now, FleetActions& actions);
    void ping(Key target, std::uint32_t number, Millis now, FleetActions& actions);
    void probe(Key target, Millis now, Probe::Why why, FleetActions& actions);
    void ask_others(Probe& probe, Millis now, FleetActions& actions);
    void missed(const Probe& probe, Millis now, FleetActions& actions);
    void run_probes(Millis now, FleetActions& actions);
    void run_suspicions(Millis now, FleetActions& actions);
    void judge_standing(Millis now, FleetActions& actions);

    void heard_from(Entry& from, const Datagram& d, Millis now, FleetActions& actions);
    void hear(const Rumour& rumour, Key teller, Millis now, FleetActions& actions);
    void hear_of_self(const Rumour& rumour, Millis now, FleetActions& actions);
    void refute(Millis now, FleetActions& actions);
    void suspect(Entry& about, Incarnation incarnation, Key teller, Millis age, State becomes, Millis now,
                 FleetActions& actions);
    void clear_suspicion(Entry& about, FleetActions& actions);
    void become(Entry& about, State state, Incarnation incarnation, bool draining, FleetActions& actions);
    void spread(const Entry& about, Millis now, bool calm = false);
    void acked(const Datagram& d, Millis now, FleetActions& actions);

    Datagram head(Kind kind, std::uint32_t number = 0, Key target = 0) const;
    void send(Key to, Datagram d, Millis now, FleetActions& actions);
    Rumour rumour_of(const Entry& about, Millis now) const;
    Rumour rumour_of_self() const;
    // What may be sent at once, and by when that was so.
    struct Bucket {
        double holds = 0;
        Millis at = 0;
    };
    bool may(Bucket& bucket, double rate, double burst, Millis now) const;
    bool may_answer(Millis now);
    void compare(Key with, Millis now, FleetActions& actions);
    void compared(const Datagram& theirs, const Item& digests, Millis now, FleetActions& actions);
    void correct(const Datagram& theirs, Millis now, FleetActions& actions);
    std::vector<Key> some_alive(std::size_t count, Key but);
    Millis expires_at(const Entry& suspicion) const;
    unsigned times() const;
    void count_in(Key key, Incarnation incarnation, State state);
    void raise_incarnation(Incarnation to);
    static std::size_t part_of(Key key) { return key >> 26; }
    static std::uint32_t digest(Key key, Incarnation incarnation, State state);
    double unit();
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

    MembershipSettings settings_;
    MembershipTuning tuning_;
    Incarnation incarnation_;
    bool draining_ = false, left_ = false;
    Standing standing_ = Standing::alone;
    std::vector<Entry> peers_;  // by key
    std::vector<Key> turn_;     // the order of probing, drawn anew when it is through
    std::size_t at_turn_ = 0;
    std::vector<Key> suspects_;
    Millis suspicion_ends_ = kNever;  // none before that
    std::vector<Probe> probes_;
    std::vector<Errand> errands_;
    Outbox outbox_;
    Dropped dropped_;
    std::uint32_t view_ = 0;
    static constexpr std::size_t kParts = 64;  // of the view, by the first bits of a key
    std::array<std::uint32_t, kParts> parts_{};
    std::size_t alive_ = 0;
    unsigned doubt_ = 0;
    std::uint64_t rounds_ = 0;
    std::uint32_t next_number_;
    std::uint64_t random_;
    Millis now_ = 0, began_at_ = -1, round_at_ = 0, heard_at_ = -1, refuted_at_ = -1e9, disputed_at_ = -1e9;
    bool must_refute_ = false;
    Incarnation refute_above_ = 0;
    Millis urgent_at_ = 0, heals_until_ = -1;
    double urgent_ = 0;
    Bucket compares_, answers_;
    Standing leaning_ = Standing::alone;  // what the standing would be, and since when
    Millis leaning_since_ = 0;
};

}  // namespace whinledge::fleet
