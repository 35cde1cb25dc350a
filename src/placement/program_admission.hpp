// Which programs of agents may begin while model servers are overloaded. A program earns as a whole: where
// all that come are taken, all of them are late, and what each has had of the servers is wasted. So a share
// of those that would begin is put off, and of turns whose program ought to be over already; all others that
// are under way go on.
//
// What counts as overload is told by the operator: the share of first events of late that came after their
// route's `targetMs`, or are not there yet and late already. No pace of a server is known or learned, so
// engines of any speed are judged by what is asked of them. Overload begins where that share is high for a
// while; sooner, and at a lower share, where programs come several times faster than usual (a surge).
//
// While it lasts the share put off is moved by a proportional-integral controller, as PIE (RFC 8033) does
// for a queue's delay: it follows the share of late first events at once, and rises until these are as few as
// is aimed at.
//
// One ProgramAdmission serves one service. Pure: no I/O and no clock; times are milliseconds on any clock
// that never goes back. It knows only what passes through its own process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <unordered_map>

#include "placement/fading_sum.hpp"

namespace whinledge::placement {

struct AdmissionSettings {
    bool on = false;  // off: all programs begin

    double overload_from = 0.45;  // overload begins: a larger share of first events is later than its target
    double overload_after_ms = 750;  // of such a share, but for dips above the next: a peak passes by itself
    double overload_dips_to = 0.3;

    // It begins sooner where programs come so many times faster than usual; what is usual is learned while
    // few first events are late.
    double surge = 2.5;
    double surge_late_from = 0.3;
    double surge_after_ms = 250;
    double surge_memory_ms = 1000;   // of what comes now
    double usual_memory_ms = 20000;  // of what is usual
    double surge_let_in = 1.5;       // of the usual pace, while overload lasts
    double alert_ms = 30000;         // after an overload a surge alone tells the next
    double least_surge = 6;          // programs, of late, for their pace to say anything

    double first_put_off = 0.7;  // of those that would begin, as overload begins
    double late_aim = 0.1;       // the share that is aimed at while it lasts
    double integral = 0.6;       // of the distance to the aim, added to the share put off at each look
    double proportional = 1.5;   // of the change since the look before, added to it
    double calm_kept = 0.8;      // of the share put off, at each look with fewer late than aimed at
    double over_below = 0.05;    // of the share put off: overload is over
    double let_in_ms = 500;      // one begins so long after the last, whatever servers do
    double highest_rank = 0.95;  // of that share, for programs of routes of the highest rank

    double look_ms = 250;      // between two changes of the share put off
    double memory_ms = 1000;   // first events fade by e in this time
    double least_samples = 8;  // first events of late, for their share to say anything
    // A first event that is not there yet counts as late from its target until so many times its target:
    // later its server hangs, and what waits there would come to outweigh all that the others do.
    double most_overdue = 3;
    // After its own start a process does not judge: all that was cut off comes at once, and it doesn't know
    // which programs are under way.
    double unjudged_ms = 5000;
    double known_for_ms = 10000;  // a program is under way so long after its latest turn came
};

struct ProgramTurn {
    std::uint64_t program = 0;  // name_hash() of `Program`; 0: of none
    int rank = 0;               // of its route, 0 is highest
    bool continues = false;     // its program may be under way, wherever it began
    bool lost = false;          // its program ought to be over already (`Finish-Ms`)
};

// A first event that is waited for.
struct AwaitedEvent {
    double since = 0;   // when its service's pool was asked, milliseconds
    double target = 0;  // its route's `targetMs`; 0: none
    double due() const { return since + target; }
    bool operator<(const AwaitedEvent& other) const {
        return due() != other.due() ? due() < other.due() : since < other.since;
    }
};

class ProgramAdmission {
public:
    using Millis = double;
    static constexpr Millis kLongAgo = -std::numeric_limits<Millis>::infinity();
    // `since`: when this process began to serve the service.
    explicit ProgramAdmission(AdmissionSettings settings = {}, Millis since = kLongAgo)
        : settings_(settings), since_(since) {}

    // A turn has come. False: its program would begin with it, and had better not now.
    bool admit(const ProgramTurn& turn, Millis now);

    // An answer's first event is waited for, has come, or won't come. Each that is waited for is to be told
    // by one of the others as well.
    void awaits(const AwaitedEvent& event);
    void began(const AwaitedEvent& event, Millis now);
    void withdrawn(const AwaitedEvent& event);

    // The share of first events of late that are later than their targets; 0 where too few were asked for.
    double late_share(Millis now) const;
    // The share put off of programs that would begin.
    double put_off_share() const { return put_off_share_; }
    std::uint64_t put_off() const { return put_off_; }
    std::size_t under_way() const { return programs_.size(); }

private:
    bool may_go(int rank, Millis now);
    void look(Millis now);
    void forget_those_over(Millis now);
    void judge(double late, Millis now);
    void learn_pace(double late, Millis now);
    bool surges(Millis now) const;
    double surge_share(Millis now) const;
    void change_share(double late, Millis now);
    double overdue(Millis now) const;

    AdmissionSettings settings_;
    Millis since_;
    struct Program {
        Millis heard = 0;  // of its latest turn
        bool begun = false;
    };
    std::unordered_map<std::uint64_t, Program> programs_;  // under way, or put off
    std::multiset<AwaitedEvent> awaited_;
    FadingSum first_events_, late_;
    Millis looked_at_ = 0;
    double late_before_ = 0;   // as of the look before
    FadingSum begins_;         // programs that would begin
    double usual_ = -1;        // programs in the memory of begins_; -1: not known
    Millis surge_since_ = -1;  // and too many are late; -1: not so
    bool overloaded_ = false;
    Millis overloaded_at_ = kLongAgo;
    Millis late_since_ = -1;  // too many are; -1: they are not
    double put_off_share_ = 0;
    Millis let_in_at_ = kLongAgo;  // the latest of those that may be put off
    double owed_ = 0;  // programs to put off, by the shares of those that came, less those put off
    std::uint64_t put_off_ = 0;
};

}  // namespace whinledge::placement
