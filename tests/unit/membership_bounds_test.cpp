// The bounds of docs/design/fleet.md, each as one check that runs twice: with the protocol as it is it has to
// hold, and with a protocol that breaks the bound on purpose it has to say so.
#include <gtest/gtest.h>

#include <functional>
#include <map>

#include "fleet_world.hpp"

namespace whinledge::fleetsim {
namespace {

using Tuning = fleet::MembershipTuning;

// Empty where the bound holds, else what was seen.
using Seen = std::string;

Fleet::Options options(std::size_t members, double loss, std::uint64_t seed, const Tuning& tuning) {
    Fleet::Options o;
    o.members = members, o.loss = loss, o.seed = seed, o.tuning = tuning;
    return o;
}

// A broken protocol need not settle: so no assertion stands here.
struct Started : World {
    explicit Started(const Options& o) : World(o) {
        run(15 * P);
        failures.clear();
    }
};

Seen wrongly_failed(const World& w, const std::set<std::size_t>& gone = {}) {
    const auto all = w.wronged(gone);
    return all.empty() ? "" : "held failed wrongly: " + std::to_string(all.size());
}

// 2P to its neighbour's probe, 0.75P to the suspicion, twice the least of a suspicion, 2P for what it takes
// to tell.
Seen detection(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(30, 0.05, seed, tuning));
    for (const std::size_t gone : {4, 11, 23}) {
        w.kill(gone);
        const Millis bound = 2 * P + 0.75 * P + 2 * 3 * P + 2 * P;
        if (!w.run_until([&] { return w.all_hold(gone, State::failed); }, w.now() + bound))
            return "somebody does not hold it failed after " + std::to_string(bound / P) + " P";
    }
    return "";
}

// From a member's ping of one that has gone until that member suspects it, by its doubt in itself then. Who
// has had an ack of it within tuning.grace of the end of that probe lets it pass.
Seen probe_to_suspicion(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(12, 0.05, seed, tuning));
    std::map<std::size_t, Millis> acked, due;  // by whom
    std::set<std::pair<std::size_t, std::uint32_t>> passed;
    std::set<std::size_t> asked;  // to ping it for another
    w.takes = [&](std::size_t from, std::size_t to, const auto& bytes) {
        const auto read = fleet::decode(bytes, fleet::key_of("simulated"));
        if (from == 4 && read.datagram->kind == fleet::Kind::ack) acked[to] = w.now() + 5;
        if (read.datagram->kind == fleet::Kind::ask && read.datagram->target == w.key(4)) asked.insert(to);
        if (to != 4 || w.up(4) || asked.contains(from) || read.datagram->kind != fleet::Kind::ping)
            return false;
        const Millis end = w.now() + 0.75 * P * (1 + w.at(from).doubt());
        if (acked.contains(from) && end <= acked[from] + 2 * P) passed.emplace(from, read.datagram->number);
        if (!passed.contains({from, read.datagram->number})) due.emplace(from, end);
        return false;
    };
    w.run(w.now() + 10 * P);
    w.kill(4);
    const Millis killed = w.now();
    Seen late;
    w.run_until(
        [&] {
            for (const auto& [by, until] : due)
                if (w.now() > until + 20 && w.at(by).peer(w.key(4))->state == State::alive)
                    late = std::to_string(by) + " holds it alive too long";
            return !late.empty();
        },
        killed + 12 * P, 10);
    return due.empty() ? "nobody pinged it" : late;
}

// Two processes of one name, which hear what is said of it in turn.
Seen disputes(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(8, 0, seed, tuning));
    w.run(w.now() + 20 * P);
    const auto before = w.counts().disputed;
    const fleet::Incarnation later = w.at(3).incarnation() + 50000;
    for (int i = 0; i < 40; ++i) {
        fleet::Rumour twin = Liar{w, 1}.of(3, State::alive);
        twin.incarnation = later + static_cast<fleet::Incarnation>(i) * 1000;
        Liar{w, 1}.say(3, {twin});
        w.run(w.now() + P);
    }
    const auto told = w.counts().disputed - before;
    return told >= 1 && told <= 5 ? "" : "told " + std::to_string(told) + " times in 40 P";
}

Seen nobodys_word_alone(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(15, 0, seed, tuning));
    Liar liar{w, 6};
    for (int round = 0; round < 15; ++round) {
        for (std::size_t to = 0; to < 15; ++to)
            for (const State state : {State::suspect, State::failed, State::left}) {
                std::vector<fleet::Rumour> all;
                for (std::size_t about = 0; about < 15; ++about)
                    if (about != 6 && about != to) all.push_back(liar.of(about, state));
                if (to != 6) liar.say(to, all);
            }
        w.run(w.now() + P);
        if (!w.all_alive()) return "a liar's word ended somebody";
    }
    return wrongly_failed(w);
}

Seen time_to_refute(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(20, 0.3, seed, tuning));
    w.run(w.now() + 400 * P);
    return wrongly_failed(w);
}

Seen flood(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(10, 0, seed, tuning));
    const double before = w.sent_in(5 * P);
    Liar liar{w, 1};
    const auto sent = w.counts().datagrams;
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 500; ++i) liar.say(2, {}, fleet::Kind::ping);
        w.run(w.now() + P);
    }
    // 16 a P and 48 at a stretch are taken, each with one answer and one reminder at most.
    const double extra = static_cast<double>(w.counts().datagrams - sent) - before * 10 * 10;
    return extra <= 2 * (48 + 16 * 10) ? "" : std::to_string(extra) + " datagrams in answer to a flood";
}

// A goodbye, and what else was said in a life that has ended, comes late to those that know the next one.
Seen earlier_lives(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(10, 0, seed, tuning));
    std::vector<std::tuple<std::size_t, std::vector<std::uint8_t>>> held;
    w.takes = [&](std::size_t from, std::size_t to, const auto& bytes) {
        if (from == 3) held.emplace_back(to, bytes);
        return false;
    };
    w.leave(3);
    w.takes = {};
    w.run(w.now() + 5 * P);
    w.restart(3);
    w.run(w.now() + 10 * P);
    for (const auto& [to, bytes] : held) w.deliver(3, to, bytes, 1);
    for (int i = 0; i < 20; ++i) {
        w.run(w.now() + P / 10);
        if (!w.all_hold(3, State::alive)) return "an earlier life's goodbye ended the next one";
    }
    return held.empty() ? "no goodbye was said" : "";
}

// A goodbye that a few have heard, and that is lost wherever they tell it, until they tell it no more.
Seen repair(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(40, 0, seed, tuning));
    w.leave(7);
    w.takes = [&](std::size_t, std::size_t, const auto& bytes) {
        const auto read = fleet::decode(bytes, fleet::key_of("simulated"));
        const auto& told = read.datagram->rumours;
        return std::any_of(told.begin(), told.end(), [&](const auto& r) { return r.about == w.key(7); });
    };
    w.run(w.now() + 10 * P);
    w.takes = {};
    return w.run_until([&] { return w.all_hold(7, State::left); }, w.now() + 10 * P)
               ? ""
               : "a lost rumour stays lost";
}

// Who stood still holds old suspicions, and has heard of no contradiction.
Seen stood_still(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(10, 0, seed, tuning));
    for (std::size_t i = 0; i < 6; ++i) {
        const std::size_t suspect = 9;
        w.stop(suspect);
        w.run_until([&] { return w.at(i).peer(w.key(suspect))->state == State::suspect; }, w.now() + 4 * P,
                    10);
        w.stop(i);
        w.go_on(suspect);
        w.run(w.now() + 20 * P);
        w.go_on(i);
        w.run(w.now() + 10 * P);
    }
    for (const auto& f : w.failures)
        if (std::get<1>(f) == 9) return "held failed by who stood still";
    return "";
}

Seen hears_nobody(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(12, 0, seed, tuning));
    w.passes = [](std::size_t, std::size_t to) { return to != 4; };
    w.run(w.now() + 30 * P);
    for (const auto& f : w.failures)
        if (std::get<0>(f) == 4) return "who hears nobody holds others failed";
    return "";
}

Seen quiet(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(40, 0.05, seed, tuning));
    w.run(w.now() + 30 * P);
    const double sent = w.sent_in(40 * P);
    return sent <= 3 ? "" : std::to_string(sent) + " datagrams a round";
}

Seen heals(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(60, 0.05, seed, tuning));
    const World::Healed healed = w.cut_and_heal(10 * P);
    if (!healed.after) return "views differ 10 P after a cut";
    return healed.storm <= 16 ? "" : std::to_string(healed.storm) + " datagrams a P after a cut";
}

Seen standing(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(9, 0, seed, tuning));
    w.passes = [](std::size_t from, std::size_t to) {
        return (from < 3) == (to < 3) && from != 8 && to != 8;
    };
    const auto wrong = [&]() -> Seen {
        for (std::size_t i = 0; i < 9; ++i) {
            const Standing due = i < 3 ? Standing::minority : i < 8 ? Standing::joined : Standing::alone;
            if (w.at(i).standing() != due)
                return std::to_string(i) + " is " + std::string(name_of(w.at(i).standing()));
        }
        return "";
    };
    // Silence is 4P, and looked at once a round.
    if (!w.run_until([&] { return w.at(8).standing() == Standing::alone; }, w.now() + 5.1 * P))
        return "who hears nobody says " + std::string(name_of(w.at(8).standing()));
    if (!w.run_until([&] { return wrong().empty(); }, w.now() + 10 * P)) return wrong();
    w.run(w.now() + 20 * P);
    return wrong();
}

// A majority that loses a third keeps its standing throughout, also where much is lost.
Seen majority(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(30, 0.3, seed, tuning));
    w.run(w.now() + 10 * P);
    std::size_t falls = 0;
    w.on_standing = [&](std::size_t at, const fleet::StandingChanged& c) {
        falls += at < 20 && c.from == Standing::joined;
    };
    w.passes = [](std::size_t from, std::size_t to) { return (from < 20) == (to < 20); };
    w.run(w.now() + 60 * P);
    return falls == 0 ? "" : std::to_string(falls) + " of a majority fell";
}

Seen times_to_come(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(8, 0, seed, tuning));
    Liar liar{w, 1};
    const fleet::Incarnation day = 24 * 3600 * 1000;
    for (const std::size_t about : {2, 3}) {
        fleet::Rumour r = liar.of(about, State::alive);
        r.incarnation += 2 * day;
        for (std::size_t to = 2; to < 8; ++to) liar.say(to, {r});
    }
    w.run(w.now() + 5 * P);
    for (std::size_t i = 0; i < 8; ++i)
        if (w.at(i).incarnation() > w.at(1).incarnation() + day) return "it follows into a time to come";
    return w.views_equal() ? "" : "views differ over a time to come";
}

Seen contradictions(const Tuning& tuning, std::uint64_t seed) {
    Started w(options(10, 0, seed, tuning));
    const auto before = w.at(0).incarnation();
    for (int i = 0; i < 100; ++i) {
        for (const std::size_t by : {1, 2, 3, 4, 5}) Liar{w, by}.say(0, {Liar{w, by}.of(0, State::suspect)});
        w.run(w.now() + P / 10);
    }
    const auto raised = w.at(0).incarnation() - before;
    return raised <= 4 * 10 + 1 ? "" : "raised its incarnation " + std::to_string(raised) + " times in 10 P";
}

struct Bound {
    const char* name;
    Seen (*check)(const Tuning&, std::uint64_t seed);
    std::vector<std::pair<const char*, std::function<void(Tuning&)>>> broken;
};

const std::vector<Bound>& bounds() {
    static const std::vector<Bound> all = {
        {"detection", detection, {{"a suspicion of 12 P", [](Tuning& t) { t.suspicion_least = 12; }}}},
        {"probe_to_suspicion",
         probe_to_suspicion,
         {{"a probe of 1.5 P", [](Tuning& t) { t.indirect = 1.5; }}}},
        {"disputes",
         disputes,
         {{"each time", [](Tuning& t) { t.dispute_every = 0; }},
          {"never", [](Tuning& t) { t.dispute_every = 1e6; }}}},
        {"nobodys_word_alone",
         nobodys_word_alone,
         {{"hearsay ends", [](Tuning& t) { t.hearsay_ends = true; }}}},
        {"time_to_refute",
         time_to_refute,
         {{"half a P", [](Tuning& t) { t.suspicion_least = 0.5, t.suspicion_per_decade = 0, t.alone = 1; }},
          {"the suspect is hardly pinged", [](Tuning& t) { t.rechecks = 0, t.pings = 2, t.verifiers = 0; }}}},
        {"flood", flood, {{"no allowance", [](Tuning& t) { t.allowance = t.allowance_burst = 1e9; }}}},
        {"earlier_lives", earlier_lives, {{"old lives count", [](Tuning& t) { t.old_lives_count = true; }}}},
        {"repair", repair, {{"none", [](Tuning& t) { t.compare_burst = t.repair_burst = 0; }}}},
        {"stood_still",
         stood_still,
         {{"not forgiven", [](Tuning& t) { t.forgives_itself = false, t.deaf_fails_others = true; }}}},
        {"hears_nobody", hears_nobody, {{"fails others", [](Tuning& t) { t.deaf_fails_others = true; }}}},
        {"quiet", quiet, {{"eight helpers at once", [](Tuning& t) { t.direct = t.again, t.helpers = 8; }}}},
        {"heals",
         heals,
         {{"a storm", [](Tuning& t) { t.healing = 30; }},
          {"no repair, rumours told once",
           [](Tuning& t) { t.compare_burst = t.repair_burst = 0, t.times_per_decade = 0.5; }}}},
        {"standing",
         standing,
         {{"never a minority", [](Tuning& t) { t.fall_after = 1000; }},
          {"never alone", [](Tuning& t) { t.silence = 1000; }},
          {"the suspected count as heard", [](Tuning& t) { t.suspects_count = true; }}}},
        {"majority",
         majority,
         {{"a suspicion takes one ping",
           [](Tuning& t) { t.pings = 1, t.helpers = 0, t.indirect = 0.1, t.fall_after = 0; }}}},
        {"times_to_come", times_to_come, {{"any time", [](Tuning& t) { t.ahead = 1e15; }}}},
        {"contradictions", contradictions, {{"at once", [](Tuning& t) { t.refute_every = 0; }}}},
    };
    return all;
}

class MembershipBounds : public testing::TestWithParam<std::size_t> {
protected:
    const Bound& bound() const { return bounds()[GetParam()]; }
};
INSTANTIATE_TEST_SUITE_P(All, MembershipBounds, testing::Range(std::size_t{0}, bounds().size()),
                         [](const auto& info) { return std::string(bounds()[info.param].name); });

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSeeds = 1;
#else
constexpr std::uint64_t kSeeds = 3;
#endif
constexpr std::uint64_t kMostSeeds = 12;  // until a broken protocol shows

TEST_P(MembershipBounds, Hold) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
        EXPECT_EQ(bound().check({}, seed), "") << bound().name << ", seed " << seed;
}

TEST_P(MembershipBounds, AreSeenToBreak) {
#ifdef __SANITIZE_ADDRESS__
    GTEST_SKIP() << "what a broken protocol does needs no look at its memory";
#endif
    for (const auto& [name, breaks] : bound().broken) {
        Tuning tuning;
        breaks(tuning);
        Seen seen;
        for (std::uint64_t seed = 1; seed <= kMostSeeds && seen.empty(); ++seed)
            seen = bound().check(tuning, seed);
        EXPECT_NE(seen, "") << bound().name << " holds with: " << name;
        RecordProperty(name, seen);
    }
}

}  // namespace
}  // namespace whinledge::fleetsim
