// The simulated fleet, measured: fleet_sim MEMBERS LOSS SEEDS [KILLS [brief]]. Times in P; the same arguments
// give the same figures. brief: without what comes after the kills. fleet_sim MEMBERS LOSS SEEDS standing:
// what members say of their own standing while nothing happens (falls in so many member-seconds), when the
// fleet is cut into halves and into two thirds and one (until the last without a majority says minority;
// falls of the two thirds), when the cuts are healed (until all are joined), and when one hears nobody (until
// it says alone).
//   a fleet that starts at once: until all views agree. Where more than a tenth is lost somebody is always
//   just contradicting, and views agree that hold all alive. quiet: datagrams and bytes a second of each
//   member; failures held of members that are there one member killed: until all others hold it failed
//   (median, 99 %, worst over KILLS a seed) a cut into halves for 60 P, healed: until all views agree, and
//   the most datagrams in a P meanwhile one in twenty stopped for 1 P every 5 P, for 100 P: failures held of
//   members that are there, for 100,000 member-seconds
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <functional>
#include <string_view>
#include <utility>

#include "fleetsim/fleet.hpp"

using whinledge::fleet::State;
using whinledge::fleetsim::Fleet;
using whinledge::fleetsim::Millis;

namespace {

constexpr Millis P = 1000;

double at(std::vector<double> all, double share) {
    std::sort(all.begin(), all.end());
    return all.empty() ? 0
                       : all[std::min(all.size() - 1,
                                      static_cast<std::size_t>(share * static_cast<double>(all.size())))];
}
double since(const Fleet& fleet, std::optional<Millis> reached, Millis from) {
    return ((reached ? *reached : fleet.now() + 1e6) - from) / P;
}

struct Figures {
    std::vector<double> started, kill, heal, storm;
    double datagrams = 0, bytes = 0, watched = 0, stopped = 0;  // the last two: member-seconds
    std::uint64_t wrong = 0, wrong_stopped = 0;
};

class Run {
public:
    Run(std::size_t members, double loss, std::uint64_t seed, Figures& figures)
        : figures_(figures), fleet_({.members = members, .loss = loss, .seed = seed}) {
        fleet_.on_change = [this](std::size_t, const whinledge::fleet::Changed& c) {
            held_ += c.to == State::failed && c.from != State::failed && fleet_.index(c.about) != gone_;
        };
    }

    void start() {
        figures_.started.push_back(since(fleet_, agreed(120 * P), 0));
        // The last of what the start gave to tell is through.
        fleet_.run(fleet_.now() + 60 * P);
        held_ = 0;
    }
    void quiet() {
        const auto before = fleet_.counts();
        pass(20 * P);
        figures_.datagrams += static_cast<double>(fleet_.counts().datagrams - before.datagrams) / each() / 20;
        figures_.bytes += static_cast<double>(fleet_.counts().bytes - before.bytes) / each() / 20;
    }
    void kill() {
        gone_ = fleet_.random()() % fleet_.size();
        fleet_.kill(*gone_);
        const Millis killed = fleet_.now();
        const auto held =
            fleet_.run_until([&] { return fleet_.all_hold(*gone_, State::failed); }, killed + 60 * P, 20);
        figures_.kill.push_back(since(fleet_, held, killed));
        fleet_.restart(*gone_);
        // What is still told of its former life is no wrong.
        pass(20 * P);
        gone_.reset();
    }
    void stops() {
        for (int i = 0; i < 20; ++i) {
            std::vector<std::size_t> some;
            for (std::size_t m = 0; m < (fleet_.size() + 19) / 20; ++m)
                some.push_back(fleet_.random()() % fleet_.size());
            for (const std::size_t m : some) fleet_.stop(m);
            fleet_.run(fleet_.now() + P);
            for (const std::size_t m : some) fleet_.go_on(m);
            fleet_.run(fleet_.now() + 4 * P);
        }
        figures_.wrong_stopped += std::exchange(held_, 0);
        figures_.stopped += 100 * each();
    }
    void cut() {
        fleet_.passes = [this](std::size_t from, std::size_t to) {
            return (2 * from < fleet_.size()) == (2 * to < fleet_.size());
        };
        fleet_.run(fleet_.now() + 60 * P);
        fleet_.passes = {};
        const Millis healed = fleet_.now();
        std::deque<std::uint64_t> counted;  // at each quarter of the last P
        std::uint64_t most = 0;
        const auto equal = agreed(healed + 120 * P, [&] {
            counted.push_back(fleet_.counts().datagrams);
            if (counted.size() > 5) counted.pop_front();
            most = std::max(most, counted.back() - counted.front());
        });
        figures_.heal.push_back(since(fleet_, equal, healed));
        figures_.storm.push_back(static_cast<double>(most) / each());
    }

    struct Standings {
        std::vector<double> halves, third, healed, alone;
        double watched = 0;
        int falls = 0, falls_of_most = 0;
    };
    void standings(Standings& s) {
        using whinledge::fleet::Standing;
        const std::size_t n = fleet_.size();
        std::size_t fallen = 0;
        fleet_.on_standing = [&](std::size_t, const whinledge::fleet::StandingChanged& c) {
            fallen += c.from == Standing::joined;
        };
        const auto all = [&](std::size_t from, std::size_t to, Standing which) {
            return [this, from, to, which] {
                for (std::size_t i = from; i < to; ++i)
                    if (fleet_.at(i).standing() != which) return false;
                return true;
            };
        };
        const auto until = [&](const std::function<bool()>& holds) {
            const Millis from = fleet_.now();
            return since(fleet_, fleet_.run_until(holds, from + 120 * P, P / 10), from);
        };
        pass(100 * P);
        s.watched += 100 * each();
        s.falls += static_cast<int>(std::exchange(fallen, 0));
        for (const std::size_t first : {n / 2, n - n / 3}) {
            fleet_.passes = [first](std::size_t from, std::size_t to) {
                return (from < first) == (to < first);
            };
            const bool half = 2 * first <= n;
            const std::size_t without = half && 2 * (n - first) <= n ? 0 : half ? n : first;
            (half ? s.halves : s.third)
                .push_back(until(all(half && 2 * (n - first) > n ? 0 : without,
                                     half && 2 * (n - first) > n ? first : n, Standing::minority)));
            fleet_.run(fleet_.now() + 60 * P);
            if (!half)
                for (std::size_t i = 0; i < first; ++i)
                    s.falls_of_most += fleet_.at(i).standing() != Standing::joined;
            fleet_.passes = {};
            s.healed.push_back(until(all(0, n, Standing::joined)));
            fleet_.run(fleet_.now() + 60 * P);
        }
        fleet_.passes = [](std::size_t, std::size_t to) { return to != 0; };
        s.alone.push_back(until(all(0, 1, Standing::alone)));
    }

private:
    double each() const { return static_cast<double>(fleet_.size()); }
    void pass(Millis span) {
        fleet_.run(fleet_.now() + span);
        figures_.watched += span / P * each();
        figures_.wrong += std::exchange(held_, 0);
    }
    bool all_alive() const {
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            if (fleet_.at(i).alive() != fleet_.size()) return false;
        return true;
    }
    std::optional<Millis> agreed(Millis until, const std::function<void()>& look = {}) {
        return fleet_.run_until(
            [&] {
                if (look) look();
                return fleet_.loss > 0.1 ? all_alive() : fleet_.views_equal();
            },
            until, P / 4);
    }

    Figures& figures_;
    Fleet fleet_;
    std::optional<std::size_t> gone_;
    std::uint64_t held_ = 0;
};

double cpu_us() {
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

void idle(std::size_t members) {
    namespace fleet = whinledge::fleet;
    fleet::MembershipSettings settings;
    settings.fleet = fleet::key_of("simulated");
    settings.self = fleet::key_of(Fleet::name(0));
    settings.born = 1000000;
    for (std::size_t i = 1; i < members; ++i) settings.members.push_back(fleet::key_of(Fleet::name(i)));
    fleet::Membership member(settings);
    fleet::FleetActions actions;
    Millis now = 0;
    const auto hear = [&](fleet::Key from, fleet::Kind kind, std::uint32_t number, fleet::Key target) {
        fleet::Datagram d;
        d.fleet = settings.fleet, d.from = from, d.incarnation = settings.born + from % 1000;
        d.kind = kind, d.number = number, d.target = target, d.view = member.view();
        member.receive(now, *fleet::decode(fleet::encode(d), settings.fleet).datagram, actions);
    };
    // Its peers ack what it has sent.
    const auto send = [&] {
        for (const fleet::FleetAction& a : fleet::FleetActions(std::exchange(actions, {})))
            if (const auto* const tell = std::get_if<fleet::Tell>(&a)) {
                const auto read = fleet::decode(fleet::encode(tell->datagram), settings.fleet);
                if (read.datagram->kind == fleet::Kind::ping)
                    hear(tell->to, fleet::Kind::ack, read.datagram->number, tell->to);
            }
    };
    for (const fleet::Key key : settings.members) hear(key, fleet::Kind::news, 0, 0), actions.clear();
    member.outbox().clear();
    constexpr int kRounds = 20000;
    const double before = cpu_us();
    for (int round = 1; round <= kRounds; ++round) {
        for (; member.due() < round * P; send()) member.tick(now = std::max(now, member.due()), actions);
        now = round * P - 1;
        hear(settings.members[static_cast<std::size_t>(round) % settings.members.size()], fleet::Kind::ping,
             1, settings.self);
        send();
    }
    std::printf("N %zu idle: %.1f us of CPU time a P, %zu alive\n", members, (cpu_us() - before) / kRounds,
                member.alive());
}

}  // namespace

int main(int count, char** words) {
    if (count == 3 && std::string_view(words[2]) == "idle")
        return idle(static_cast<std::size_t>(std::atoi(words[1]))), 0;
    if (count == 5 && std::string_view(words[4]) == "standing") {
        Figures ignored;
        Run::Standings s;
        for (int seed = 1; seed <= std::atoi(words[3]); ++seed) {
            Run run(static_cast<std::size_t>(std::atoi(words[1])), std::atof(words[2]),
                    static_cast<std::uint64_t>(seed), ignored);
            run.start();
            run.standings(s);
        }
        std::printf(
            "N %s, loss %s: %d falls in %.0f member-seconds; halves: minority %.1f, %.1f P; a third: %.1f, "
            "%.1f P, %d of the others not joined; healed: joined %.1f, %.1f P; alone %.1f, %.1f P\n",
            words[1], words[2], s.falls, s.watched, at(s.halves, 0.5), at(s.halves, 1), at(s.third, 0.5),
            at(s.third, 1), s.falls_of_most, at(s.healed, 0.5), at(s.healed, 1), at(s.alone, 0.5),
            at(s.alone, 1));
        return 0;
    }
    if (count < 4 || count > 6)
        return std::fprintf(stderr, "fleet_sim MEMBERS LOSS SEEDS [KILLS [brief]], or MEMBERS idle\n"), 2;
    const auto members = static_cast<std::size_t>(std::atoi(words[1]));
    const double loss = std::atof(words[2]);
    const int seeds = std::atoi(words[3]), kills = count > 4 ? std::atoi(words[4]) : 1;
    const bool brief = count > 5;
    Figures f;
    for (int seed = 1; seed <= seeds; ++seed) {
        Run run(members, loss, static_cast<std::uint64_t>(seed), f);
        run.start();
        run.quiet();
        for (int i = 0; i < kills; ++i) run.kill();
        if (brief) continue;
        run.stops();
        run.cut();
    }
    std::printf("N %zu, loss %.2f, %d seeds: start %.1f P; quiet %.2f datagrams, %.0f bytes a s; ", members,
                loss, seeds, at(f.started, 1), f.datagrams / seeds, f.bytes / seeds);
    std::printf("%zu kills to failed %.2f, %.2f, %.2f P; wrongly failed %llu in %.0f member-seconds",
                f.kill.size(), at(f.kill, 0.5), at(f.kill, 0.99), at(f.kill, 1),
                static_cast<unsigned long long>(f.wrong), f.watched);
    if (!brief)
        std::printf(", with stops %llu in %.0f; healed %.1f, %.1f P, at most %.1f datagrams a P",
                    static_cast<unsigned long long>(f.wrong_stopped), f.stopped, at(f.heal, 0.5),
                    at(f.heal, 1), at(f.storm, 1));
    std::printf("\n");
}
