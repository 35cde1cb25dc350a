// What limits of the whole fleet reach, over a simulated network: share of the limit that is used with demand
// at one member, at a tenth, at all, and moving; time from demand to allotment; datagrams; the most in any
// second.
//   fleet_limits MEMBERS LOSS [RATE [SEEDS]]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "fleetsim/limit_fleet.hpp"

using namespace whinledge;
using fleetsim::LimitFleet;

namespace {

struct Demand {
    const char* name;
    std::size_t busy;  // members, of which each wants an even share of 1.5 times the limit
    double moves;      // every so many seconds to others; 0: it stays
};

void play(const Demand& d, std::size_t members, double loss, double rate, std::uint64_t seed, bool lends) {
    LimitFleet::Options o;
    o.members = members, o.loss = loss, o.seed = seed, o.shared_out = lends;
    o.spec.name = "deposits", o.spec.rate = rate, o.spec.burst = std::max(1.0, rate / 5);
    LimitFleet f(o);
    f.run(6000);  // a start waits out a lease
    const auto begin = f.now();
    double reached = -1;
    std::size_t first = 0;
    for (int tick = 0; tick < 600; ++tick) {  // a minute in tenths
        if (tick == 0 || (d.moves > 0 && tick % static_cast<int>(d.moves * 10) == 0)) {
            for (std::size_t i = 0; i < members; ++i)
                f.demand[i] =
                    (i + members - first) % members < d.busy ? 1.5 * rate / static_cast<double>(d.busy) : 0;
            first = (first + d.busy) % members;
        }
        f.run(f.now() + 100);
        if (reached < 0 && f.use(std::max(begin, f.now() - 500), f.now()) >= 0.9) reached = f.now() - begin;
    }
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < members; ++i) most = std::max(most, f.sent_by(i));
    std::printf("| %zu | %s | %s | %.2f | %.1f | %zu of %.0f | %.2f | %.1f |\n", members, d.name,
                lends ? "lent" : "own parts", f.use(begin + 10000, f.now()), reached / 1000, f.most_in(1000),
                rate + o.spec.burst + static_cast<double>(members),
                static_cast<double>(f.datagrams()) / 60 / static_cast<double>(members),
                static_cast<double>(most) / 60);
    std::fflush(stdout);
}

}  // namespace

int main(int count, char** words) {
    if (count < 3) return 2;
    const auto members = static_cast<std::size_t>(std::atoi(words[1]));
    const double loss = std::atof(words[2]), rate = count > 3 ? std::atof(words[3]) : 1000;
    const std::uint64_t seeds = count > 4 ? std::strtoull(words[4], nullptr, 10) : 1;
    std::puts(
        "| members | demand | | used of the limit | until 0.9, s | most in a second, bound | datagrams a "
        "second, mean | worst member |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const Demand& d : {Demand{"one", 1, 0}, Demand{"a tenth", std::max<std::size_t>(1, members / 10), 0},
                            Demand{"all", members, 0},
                            Demand{"a tenth, moves every 5 s", std::max<std::size_t>(1, members / 10), 5},
                            Demand{"one, moves every second", 1, 1}})
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            for (const bool lends : {false, true}) play(d, members, loss, rate, seed, lends);
}
