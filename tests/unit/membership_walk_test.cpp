// Three members, walked whole: from a fleet that agrees, every choice of what becomes of each of the first
// datagrams (delivered, lost, late by more than a round, held until long after), as far as so many of them
// fare ill, and with each of them one fault at each step. What has to hold is looked at after every event:
//   (a) nobody ends for another without 2 P of suspicion, and nobody ends that is there and connected;
//   (b) an incarnation never goes back;
//   (c) a life that has ended never comes again, and nobody is held to have a life that it never had;
//   (d) once nothing is late or at fault any more, all hold what is so within kAgreed;
//   (e) a member is joined while it sees a majority, and else is not, but for the stated waits.
// The walk is walked again with variants that break one of these on purpose, and has to find that.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>

#include "fleet/membership.hpp"

namespace whinledge::fleet {
namespace {

constexpr Millis P = 1000, kDelay = 1, kLate = 1.3 * P, kHeld = 12 * P;
constexpr Millis kStopped = 4 * P, kCut = 14 * P;
// Of whoever was killed: 2 P + 0.75 P + 2 S with S = 3 P; its news, and what doubt adds to a probe.
constexpr Millis kAgreed = 12 * P;

constexpr Millis kLeastSuspicion = 2 * P;
// From what its view says to its standing: 2 P to fall and 1 P to rise, looked at once a round.
constexpr Millis kFalls = 3.1 * P, kRises = 2.1 * P;
// Silence of 4 P means alone.
constexpr Millis kSilence = 5.1 * P;
constexpr Incarnation kEpoch = 1700000000000;
constexpr std::size_t kMembers = 3;

enum class Fate { delivered, lost, late, held };
// Cut off, or only unheard, or only deaf: for kCut.
enum class Fault { none, kill, restart, stop, leave, cut, mute, deaf };
constexpr const char* kFaults[] = {"none", "kill", "restart", "stop", "leave", "cut", "mute", "deaf"};
enum class Variant {
    none,
    believes_a_later_life,  // an incarnation is raised on the way
    forgets_the_ended,      // who held it failed knows nothing of it any more when it speaks
    forgets_the_newer,      // who knows a later life of it forgets that when the earlier one speaks

    drops_refutations,  // an incarnation never arrives higher than it was at first
    hurries,            // one member's clock runs eight times as fast
    never_falls,        // its standing is asked for once
};

struct Schedule {
    std::map<std::size_t, Fate> fates;  // by the order in which datagrams are sent
    Fault fault = Fault::none;
    std::size_t at = 0, victim = 0;  // just before that datagram is sent
    std::string text() const {
        std::ostringstream all;
        all << kFaults[static_cast<int>(fault)] << " of " << victim << " at " << at << "; datagrams:";
        for (const auto& [i, fate] : fates)
            all << ' ' << i << (fate == Fate::lost ? " lost" : fate == Fate::late ? " late" : " held");
        return all.str();
    }
};

Key key(std::size_t i) { return key_of(std::string("s").append(std::to_string(i))); }

class Walker {
public:
    Walker(Variant variant, std::uint64_t seed) : variant_(variant), seed_(seed) {
        for (std::size_t i = 0; i < kMembers; ++i) start(i);
        while (now_ < 20 * P) step();
        while (!right()) step();
        settled_ = true;
        sent_ = 0;
        // What was told of the start is over, so that the first datagrams are a quiet fleet's.
        for (Node& node : nodes_) node.membership->outbox().clear();
        for (std::size_t i = 0; i < kMembers; ++i) first_[i] = nodes_[i].membership->incarnation();
    }

    // What does not hold, by its letter; nothing else is run then.
    std::set<char> run(const Schedule& schedule) {
        schedule_ = &schedule;
        broken_.clear();
        while (sent_ <= last_index() || now_ < quiet_from()) {
            step();
            if (!broken_.empty()) return broken_;
        }
        const Millis quiet = now_;
        while (!right()) {
            if (now_ > quiet + kAgreed) return {'d'};
            step();
            if (!broken_.empty()) return broken_;
        }
        took_ = now_ - quiet;
        return broken_;
    }
    Millis took() const { return took_; }
    // What came about, so that a walk on which nothing happens is told from one on which all holds.
    bool suspected() const { return suspected_; }
    bool refuted() const { return refuted_; }
    bool ended() const { return ended_; }
    bool alone() const { return alone_; }
    bool minority() const { return minority_; }

private:
    struct Message {
        Millis at;
        std::uint64_t order;
        std::size_t from, to;
        Datagram datagram;
    };
    struct Seen {
        State state = State::failed;
        Incarnation incarnation = 0;
        Millis suspect_since = 0;
    };
    struct Node {
        std::optional<Membership> membership;
        bool stopped = false, left = false;
        std::array<Seen, kMembers> seen{};
        Millis heard_at = 0, leaning_since = 0, excused_until = 0;
        bool majority = false;
    };

    // ---- Time
    double pace(std::size_t i) const { return variant_ == Variant::hurries && i == 2 ? 8 : 1; }
    Millis local(std::size_t i) const { return now_ * pace(i); }

    void step() {
        std::size_t ticks = kMembers;
        Millis next = resumes_at_.value_or(1e18);
        for (std::size_t i = 0; i < kMembers; ++i) {
            const Node& node = nodes_[i];
            if (!node.membership || node.stopped) continue;
            const Millis due = std::max(now_, node.membership->due() / pace(i));
            if (due < next) next = due, ticks = i;
        }
        const auto first = std::min_element(
            messages_.begin(), messages_.end(),
            [](const auto& a, const auto& b) { return a.at != b.at ? a.at < b.at : a.order < b.order; });
        const bool arrives = first != messages_.end() && first->at <= next;
        now_ = std::max(now_, arrives ? first->at : next);
        if (arrives) {
            const Message message = std::move(*first);
            messages_.erase(first);
            arrive(message);
        } else if (ticks < kMembers) {
            act(ticks, [&](Membership& m, FleetActions& actions) { m.tick(local(ticks), actions); });
        } else {
            resume();
        }
        look();
    }
    template <typename What>
    void act(std::size_t i, What what) {
        FleetActions actions;
        what(*nodes_[i].membership, actions);
        const unsigned life = lives_[i];
        for (const FleetAction& action : actions)
            if (const auto* const tell = std::get_if<Tell>(&action); tell && life == lives_[i])
                send(i, *tell);
    }

    // ---- Datagrams
    void send(std::size_t from, const Tell& tell) {
        const std::size_t index = sent_++;
        const unsigned life = lives_[from];
        if (settled_ && schedule_->fault != Fault::none && index == schedule_->at) fault();
        if (life != lives_[from]) return;  // it ended before it could

        std::size_t to = 0;
        while (key(to) != tell.to) ++to;
        Fate fate = Fate::delivered;
        if (settled_)
            if (const auto at = schedule_->fates.find(index); at != schedule_->fates.end()) fate = at->second;
        if (fate == Fate::lost || cut(from, to)) return;
        const Millis delay = fate == Fate::late ? kLate : fate == Fate::held ? kHeld : kDelay;
        messages_.push_back({now_ + delay, order_++, from, to, tell.datagram});
        if (fate != Fate::delivered) late_until_ = std::max(late_until_, now_ + delay);
    }
    bool cut(std::size_t from, std::size_t to) const {
        if (!cut_) return false;
        const bool sends = from == *cut_, hears = to == *cut_;
        return (sends && schedule_->fault != Fault::deaf) || (hears && schedule_->fault != Fault::mute);
    }
    void arrive(Message message) {
        Node& node = nodes_[message.to];
        if (!node.membership) return;
        if (node.stopped) return waiting_.push_back(std::move(message));
        spoil(message);
        node.heard_at = now_;
        act(message.to, [&](Membership& m, FleetActions& actions) {
            m.receive(local(message.to), message.datagram, actions);
        });
    }
    void spoil(Message& message) {
        Datagram& d = message.datagram;
        Membership& to = *nodes_[message.to].membership;
        if (!settled_) return;
        if (variant_ == Variant::believes_a_later_life) ++d.incarnation;
        const Membership::Peer known = *to.peer(d.from);
        const bool ended = known.state >= State::failed, newer = known.incarnation > d.incarnation;
        if ((variant_ == Variant::forgets_the_ended && ended) ||
            (variant_ == Variant::forgets_the_newer && newer))
            forget(to, d.from);
        if (variant_ != Variant::drops_refutations) return;
        d.incarnation = std::min(d.incarnation, first_[message.from]);
        std::erase_if(d.rumours, [](const Rumour& r) { return r.state == State::alive; });
    }

    void forget(Membership& by, Key gone) {
        FleetActions ignored;
        std::vector<Key> all;
        for (std::size_t i = 0; i < kMembers; ++i) all.push_back(key(i));
        std::vector<Key> others = all;
        std::erase(others, gone);
        by.configure(now_, others, ignored);
        by.configure(now_, all, ignored);
    }

    // ---- Faults
    void start(std::size_t i) {
        MembershipSettings s;
        s.fleet = 1;
        s.self = key(i);
        s.born = kEpoch + static_cast<Incarnation>(now_);
        s.period = P;
        s.seed = seed_ * 100 + i + 10 * ++starts_;
        for (std::size_t m = 0; m < kMembers; ++m) s.members.push_back(key(m));
        nodes_[i] = {};
        nodes_[i].membership.emplace(s);
        nodes_[i].heard_at = nodes_[i].leaning_since = now_;
        nodes_[i].excused_until = now_ + 8 * P;
    }
    // In the midst of somebody's actions, perhaps the victim's own.

    void fault() {
        const std::size_t v = schedule_->victim;
        Node& node = nodes_[v];
        faulted_ = true;
        switch (schedule_->fault) {
            case Fault::none:
                return;
            case Fault::kill:
                ++lives_[v];
                return node.membership.reset();
            case Fault::restart:
                ++lives_[v];
                return start(v);
            case Fault::stop:
                node.stopped = true;
                resumes_at_ = now_ + kStopped;
                return;
            case Fault::leave:
                act(v, [&](Membership& m, FleetActions& actions) { m.leave(local(v), actions); });
                ++lives_[v];
                node.membership.reset();
                node.left = true;
                return;
            case Fault::cut:
            case Fault::mute:
            case Fault::deaf:
                cut_ = v;
                resumes_at_ = now_ + kCut;
                return;
        }
    }
    void resume() {
        resumes_at_.reset();
        cut_.reset();
        Node& node = nodes_[schedule_->victim];
        node.excused_until = now_ + 8 * P;
        if (!node.stopped) return;
        node.stopped = false;
        // Timer and socket are both ready: each goes first in half of the walk.
        const auto waiting = std::exchange(waiting_, {});
        if (schedule_->at % 2)
            act(schedule_->victim,
                [&](Membership& m, FleetActions& actions) { m.tick(local(schedule_->victim), actions); });
        for (const Message& message : waiting) arrive(message);
    }
    std::size_t last_index() const {
        const std::size_t last = schedule_->fates.empty() ? 0 : schedule_->fates.rbegin()->first;
        return schedule_->fault == Fault::none ? last : std::max(last, schedule_->at);
    }
    Millis quiet_from() const { return std::max(late_until_, resumes_at_.value_or(0)); }

    // ---- What has to hold
    void look() {
        for (std::size_t i = 0; i < kMembers; ++i) {
            if (!nodes_[i].membership) continue;
            highest_[i] = std::max(highest_[i], nodes_[i].membership->incarnation());
        }
        if (!settled_) return remember();
        for (std::size_t i = 0; i < kMembers; ++i) {
            if (!nodes_[i].membership || nodes_[i].stopped) continue;
            for (std::size_t of = 0; of < kMembers; ++of)
                if (of != i) look_at(i, of);
            look_at_standing(i);
        }
        remember();
    }
    void look_at(std::size_t i, std::size_t of) {
        const Membership::Peer now = *nodes_[i].membership->peer(key(of));
        const Seen& before = nodes_[i].seen[of];
        if (now.incarnation < before.incarnation) broken_.insert('b');
        const bool same = now.incarnation == before.incarnation && before.incarnation != 0;
        if (same && before.state >= State::failed && now.state < State::failed) broken_.insert('c');
        if (now.incarnation > highest_[of]) broken_.insert('c');
        suspected_ |= now.state == State::suspect;
        refuted_ |= lives_[of] == 0 && now.incarnation > first_[of];
        if (before.state >= State::failed || now.state < State::failed || before.incarnation == 0) return;
        // It ends for i.
        ended_ = true;
        const bool farewell = nodes_[of].left && now.state == State::left;
        const bool suspected =
            before.state == State::suspect && now_ - before.suspect_since >= kLeastSuspicion;
        if (!farewell && !suspected) broken_.insert('a');
        const bool at_fault = faulted_ && of == schedule_->victim && schedule_->fault != Fault::restart;
        // Who is not heard gets no answers, and holds that against the others.
        const bool by_mute = schedule_->fault == Fault::mute && i == schedule_->victim;
        if (!at_fault && !by_mute) broken_.insert('a');
    }
    void look_at_standing(std::size_t i) {
        Node& node = nodes_[i];
        const bool majority = 2 * node.membership->heard() > kMembers;
        if (majority != node.majority) node.leaning_since = now_;
        node.majority = majority;
        if (now_ < node.excused_until) return;
        const Standing standing =
            variant_ == Variant::never_falls ? Standing::joined : node.membership->standing();
        alone_ |= standing == Standing::alone;
        minority_ |= standing == Standing::minority;
        const bool silent = now_ - node.heard_at > kSilence;
        if (standing == Standing::joined && (silent || (!majority && now_ > node.leaning_since + kFalls)))
            broken_.insert('e');
        const bool hears = now_ - node.heard_at < 4 * P && majority;
        if (standing != Standing::joined && hears && now_ > node.leaning_since + kRises && cut_ != i)
            broken_.insert('e');
    }
    void remember() {
        for (std::size_t i = 0; i < kMembers; ++i) {
            if (!nodes_[i].membership || nodes_[i].stopped) continue;
            for (std::size_t of = 0; of < kMembers; ++of) {
                if (of == i) continue;
                const Membership::Peer now = *nodes_[i].membership->peer(key(of));
                Seen& seen = nodes_[i].seen[of];
                const bool goes_on = seen.state == State::suspect && seen.incarnation == now.incarnation;
                if (now.state == State::suspect && !goes_on) seen.suspect_since = now_;
                seen.state = now.state;
                seen.incarnation = now.incarnation;
            }
        }
    }
    // All hold what is so, by one view, and are joined.
    bool right() const {
        std::optional<std::uint32_t> view;
        for (std::size_t i = 0; i < kMembers; ++i) {
            if (!nodes_[i].membership) continue;
            const Membership& m = *nodes_[i].membership;
            if (view.value_or(m.view()) != m.view() || m.standing() != Standing::joined) return false;
            view = m.view();
            for (std::size_t of = 0; of < kMembers; ++of) {
                if (of == i) continue;
                const Membership::Peer peer = *m.peer(key(of));
                const auto& there = nodes_[of].membership;
                if (!there && peer.state < State::failed) return false;
                if (there && (peer.state != State::alive || peer.incarnation != there->incarnation()))
                    return false;
            }
        }
        return true;
    }

    Variant variant_;
    std::uint64_t seed_, starts_ = 0, order_ = 0;
    std::array<Node, kMembers> nodes_;
    std::array<Incarnation, kMembers> highest_{}, first_{};
    std::array<unsigned, kMembers> lives_{};
    std::vector<Message> messages_, waiting_;
    std::size_t sent_ = 0;
    std::optional<std::size_t> cut_;
    std::optional<Millis> resumes_at_;
    Millis now_ = 0, late_until_ = 0, took_ = 0;
    bool settled_ = false, faulted_ = false;
    bool suspected_ = false, refuted_ = false, ended_ = false, alone_ = false, minority_ = false;
    const Schedule* schedule_ = nullptr;
    std::set<char> broken_;
};

// ---- The walk ---------------------------------------------------------------------------------------------

struct Walked {
    std::size_t schedules = 0;
    std::map<char, std::size_t> broken;  // schedules, by what does not hold
    std::size_t suspected = 0, refuted = 0, ended = 0, alone = 0, minority = 0;
    std::string first;   // of those that break something
    Millis longest = 0;  // until all agreed
    std::string slowest;
};

class Walk {
public:
    Walk(Variant variant, std::uint64_t seed) : settled_(variant, seed) {}

    // All choices of at most `ill` of the first `datagrams` that are lost, or late, or held where `delays`.
    void choose(Schedule schedule, std::size_t datagrams, std::size_t ill, bool delays,
                std::size_t from = 0) {
        run(schedule);
        if (ill == 0) return;
        for (std::size_t i = from; i < datagrams; ++i)
            for (const Fate fate : {Fate::lost, Fate::late, Fate::held}) {
                if (fate != Fate::lost && !delays) continue;
                Schedule next = schedule;
                next.fates[i] = fate;
                choose(std::move(next), datagrams, ill - 1, delays, i + 1);
            }
    }
    // The same with each fault of each member at each step.
    void choose_faults(std::size_t datagrams, std::size_t ill, std::size_t every = 1) {
        for (const Fault fault :
             {Fault::kill, Fault::restart, Fault::stop, Fault::leave, Fault::cut, Fault::mute, Fault::deaf})
            for (std::size_t victim = 0; victim < kMembers; ++victim)
                for (std::size_t at = 0; at < datagrams; at += every)
                    choose({{}, fault, at, victim}, datagrams, ill, true);
    }
    const Walked& walked() const { return walked_; }

private:
    void run(const Schedule& schedule) {
        ++walked_.schedules;
        Walker walker = settled_;
        const std::set<char> broken = walker.run(schedule);
        walked_.suspected += walker.suspected();
        walked_.refuted += walker.refuted();
        walked_.ended += walker.ended();
        walked_.alone += walker.alone();
        walked_.minority += walker.minority();
        for (const char letter : broken) ++walked_.broken[letter];
        if (!broken.empty() && walked_.first.empty())
            walked_.first = std::string(1, *broken.begin()) + " by " + schedule.text();
        if (walker.took() > walked_.longest)
            walked_.longest = walker.took(), walked_.slowest = schedule.text();
    }
    Walker settled_;
    Walked walked_;
};

#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kLost = 3, kAmong = 10, kFaulty = 5, kIll = 1, kLeast = 1800;
#else
constexpr std::size_t kLost = 5, kAmong = 14, kFaulty = 8, kIll = 2, kLeast = 45000;
#endif

class MembershipWalk : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, MembershipWalk, testing::Values(1));

TEST_P(MembershipWalk, EverySmallScheduleKeepsWhatHasToHold) {
    Walk walk(Variant::none, GetParam());
    walk.choose({}, kAmong, kLost, false);
    walk.choose({}, kFaulty, kIll, true);
    walk.choose_faults(kFaulty, kIll);
    const Walked& walked = walk.walked();
    std::printf(
        "%zu schedules: suspected in %zu, contradicted in %zu, ended in %zu, alone in %zu, a minority in "
        "%zu; "
        "all agreed within %.2f P (%s)\n",
        walked.schedules, walked.suspected, walked.refuted, walked.ended, walked.alone, walked.minority,
        walked.longest / P, walked.slowest.c_str());
    for (const std::size_t came_about :
         {walked.suspected, walked.refuted, walked.ended, walked.alone, walked.minority})
        EXPECT_GT(came_about, 0u);
    EXPECT_GE(walked.schedules, kLeast);
    for (const auto& [letter, count] : walked.broken)
        ADD_FAILURE() << letter << " is broken by " << count << " schedules; first " << walked.first;
}

// The walk sees what it is there for.
TEST_P(MembershipWalk, FindsWhatIsBrokenOnPurpose) {
    const struct {
        Variant variant;
        char letter;
    } cases[] = {{Variant::believes_a_later_life, 'c'},
                 {Variant::forgets_the_ended, 'c'},
                 {Variant::forgets_the_newer, 'b'},
                 {Variant::drops_refutations, 'd'},
                 {Variant::hurries, 'a'},
                 {Variant::never_falls, 'e'}};
    for (const auto& c : cases) {
        const int variant = static_cast<int>(c.variant);
        Walk walk(c.variant, GetParam());
        walk.choose_faults(3, 1, 2);
        const Walked& walked = walk.walked();
        std::printf("variant %d, %zu schedules:", variant, walked.schedules);
        for (const auto& [letter, count] : walked.broken) std::printf(" %c %zu", letter, count);
        std::printf("; first %s\n", walked.first.c_str());
        EXPECT_TRUE(walked.broken.contains(c.letter))
            << "variant " << variant << " has to break " << c.letter;
    }
}

}  // namespace
}  // namespace whinledge::fleet
