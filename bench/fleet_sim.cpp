// The simulated fleet, measured: fleet_sim MEMBERS LOSS SEEDS. Times in P; the same arguments give the same
// figures.
//   a fleet that starts at once: until all views are equal
//   quiet: datagrams and bytes a second of each member; failures held of members that are there
//   one member killed: until all others hold it failed (median, 99 %, worst over the seeds)
//   a cut into halves for 60 P, healed: until all views are equal, and the most datagrams a round meanwhile
//   one in twenty stopped for 1 P now and then: failures held of members that are there, for 100,000
//   member-seconds
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>

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

}  // namespace

int main(int count, char** words) {
    if (count != 4) return std::fprintf(stderr, "fleet_sim MEMBERS LOSS SEEDS\n"), 2;
    const auto members = static_cast<std::size_t>(std::atoi(words[1]));
    const double loss = std::atof(words[2]);
    const int seeds = std::atoi(words[3]);
    const auto each = static_cast<double>(members);
    std::vector<double> started, kill, heal, storm;
    double datagrams = 0, bytes = 0, stopped = 0;
    std::uint64_t wrong = 0, wrong_stopped = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        Fleet fleet({.members = members, .loss = loss, .seed = static_cast<std::uint64_t>(seed)});
        started.push_back(
            since(fleet, fleet.run_until([&] { return fleet.views_equal(); }, 120 * P, 250), 0));
        fleet.run(fleet.now() + 60 * P);
        std::optional<std::size_t> gone;
        std::uint64_t held = 0;
        fleet.on_change = [&](std::size_t, const whinledge::fleet::Changed& c) {
            held += c.to == State::failed && fleet.index(c.about) != gone;
        };
        const auto quiet = fleet.counts();
        fleet.run(fleet.now() + 20 * P);
        datagrams += static_cast<double>(fleet.counts().datagrams - quiet.datagrams) / each / 20;
        bytes += static_cast<double>(fleet.counts().bytes - quiet.bytes) / each / 20;
        gone = static_cast<std::size_t>(seed) % members;
        fleet.kill(*gone);
        const Millis killed = fleet.now();
        kill.push_back(since(
            fleet, fleet.run_until([&] { return fleet.all_hold(*gone, State::failed); }, killed + 60 * P, 20),
            killed));
        fleet.restart(*gone);
        gone.reset();
        fleet.run(fleet.now() + 20 * P);
        wrong += held;
        held = 0;
        for (const Millis until = fleet.now() + 100 * P; fleet.now() < until;) {
            std::vector<std::size_t> some;
            for (std::size_t i = 0; i < (members + 19) / 20; ++i) some.push_back(fleet.random()() % members);
            for (const std::size_t i : some) fleet.stop(i);
            fleet.run(fleet.now() + P);
            for (const std::size_t i : some) fleet.go_on(i);
            fleet.run(fleet.now() + 4 * P);
        }
        wrong_stopped += held;
        stopped += 100 * each;
        fleet.passes = [&](std::size_t from, std::size_t to) {
            return (2 * from < members) == (2 * to < members);
        };
        fleet.run(fleet.now() + 60 * P);
        fleet.passes = {};
        const Millis healed = fleet.now();
        std::deque<std::uint64_t> counted;  // at each quarter of the last P
        std::uint64_t most = 0;
        const auto equal = fleet.run_until(
            [&] {
                counted.push_back(fleet.counts().datagrams);
                if (counted.size() > 5) counted.pop_front();
                most = std::max(most, counted.back() - counted.front());
                return fleet.views_equal();
            },
            healed + 120 * P, P / 4);
        heal.push_back(since(fleet, equal, healed));
        storm.push_back(static_cast<double>(most) / each);
    }
    std::printf(
        "N %zu, loss %.2f, %d seeds: start %.1f P; quiet %.2f datagrams, %.0f bytes a s; kill to failed "
        "%.2f, "
        "%.2f, %.2f P; healed %.1f, %.1f P, at most %.1f datagrams a round; wrongly failed %llu, and %.2f "
        "for "
        "100,000 member-seconds with stops\n",
        members, loss, seeds, at(started, 1), datagrams / seeds, bytes / seeds, at(kill, 0.5), at(kill, 0.99),
        at(kill, 1), at(heal, 0.5), at(heal, 1), at(storm, 1), static_cast<unsigned long long>(wrong),
        static_cast<double>(wrong_stopped) / stopped * 1e5);
}
