// Rule 4 is about the sum of what all sidecars send to a server that starts. Each scene plays many starts and
// holds the largest window of each against what the server's budget N leaves to chance: 2 x root of N + 2.
// COLD_STARTS sets how many starts a scene has, for longer measurements.
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <list>

#include "rig/crowd.hpp"

namespace kestrelhall::test {
namespace {

struct Scene {
    const char* name;
    Crowd::Options options;
    std::function<void(Crowd&, int)> round;  // with servers just restarted: plays what comes then
    ServerId starting = 4;                   // how many servers start in a round
};

void PrintTo(const Scene& scene, std::ostream* out) { *out << scene.name; }

int starts_wanted() {
    const char* const text = std::getenv("COLD_STARTS");
    return text ? std::atoi(text) : 40;
}

struct Played {
    Crowd::Starts starts;
    int asked = 0, served = 0, to_cold = 0;
};

Played play(const Scene& scene) {
    Played played;
    Crowd crowd(scene.options);
    crowd.play(8000, std::max(0.8, scene.options.load));
    for (int round = 0; round * static_cast<int>(scene.starting) < starts_wanted(); ++round) {
        for (ServerId id = 1; id <= scene.starting; ++id) crowd.restart_server(id);
        crowd.tell();
        scene.round(crowd, round);
    }
    const Crowd::Tale tale = crowd.all();
    played.asked = tale.asked, played.served = tale.served;
    played.to_cold = crowd.reached_cold;
    played.starts = crowd.starts();
    std::printf(
        "%-28s %3u sidecars: %5d starts, largest (sum - N) / root N %5.2f, over %3d, felled %3d; "
        "served %.4f of %d, %d to cold ones\n",
        scene.name, scene.options.sidecars, played.starts.all, played.starts.excess, played.starts.over,
        played.starts.felled, static_cast<double>(played.served) / played.asked, played.asked,
        played.to_cold);
    std::fflush(stdout);
    return played;
}

Crowd::Options options(std::uint32_t sidecars, double load, double slots, bool uneven = false) {
    Crowd::Options o;
    o.sidecars = sidecars, o.load = load, o.slots = slots, o.uneven = uneven;
    return o;
}

void steady(Crowd& crowd, int) { crowd.play(6000); }
// All servers were busy; hardly anything is asked while these start, and then several times what all can do.
void lull_and_burst(Crowd& crowd, int) {
    crowd.play(4000, 0.01);
    crowd.play(500, 4);
    crowd.play(3500, 1);
}
// Quiet enough for warm servers alone; then several times what all can do.
void quiet_and_burst(Crowd& crowd, int) {
    crowd.play(4000, 0.3);
    crowd.play(1000, 3);
    crowd.play(3000, 0.9);
}
// All know nothing when the servers start, and again a second later.
void all_restarted(Crowd& crowd, int) {
    for (int i = 0; i < 3; ++i) {
        for (std::uint32_t n = 0; n < crowd.size(); ++n) crowd.restart(n);
        crowd.play(1000);
    }
    crowd.play(3000);
}
// One after another is restarted, and nothing it knew is kept.
void restarted_in_turn(Crowd& crowd, int round) {
    for (std::uint32_t i = 0; i < 12; ++i) {
        for (std::uint32_t n = 0; n < crowd.size() / 10; ++n)
            crowd.restart((static_cast<std::uint32_t>(round) * 7 + i * (crowd.size() / 10) + n) %
                          crowd.size());
        crowd.play(500);
    }
}

// What is asked for is heavy for half a second, again and again, while servers start.
void heavy_bursts(Crowd& crowd, int) {
    for (int i = 0; i < 5; ++i) {
        crowd.heaviest = 0.8;
        crowd.play(500);
        crowd.heaviest = 0;
        crowd.play(700);
    }
}

struct ColdSum : testing::TestWithParam<Scene> {};

TEST_P(ColdSum, NoWindowOfAnyStartGoesBeyondChance) {
    const Played played = play(GetParam());
    EXPECT_GE(played.starts.all, starts_wanted());
    EXPECT_EQ(played.starts.over, 0);
}

// Work unlike the mean, machines of one kind unlike each other, and few calls in N with nothing that slows
// them down. Names begin with N at the start.
void add_unlike_work(std::vector<Scene>& all, std::uint32_t n) {
    static std::list<std::string> names;
    for (const double calls : {3.0, 5.0, 20.0}) {
        const auto add = [&](const char* name, double load, auto round) -> Crowd::Options& {
            names.push_back("N " + std::to_string(static_cast<int>(calls)) + " " + name);
            Crowd::Options o = options(n, load, calls / 12.5, true);
            o.takes = 40;
            o.quick_cold = true;
            all.push_back({names.back().c_str(), o, round, 4});
            return all.back().options;
        };
        add("all work", 1, steady);
        add("all work even", 1, steady).uneven = false;
        add("two classes", 0.9, steady).classes = {{0.8, 0.5}, {0.2, 3}};
        {
            const Crowd::Options same = all.back().options;
            add("two classes hints", 0.9, steady) = same;
        }
        all.back().options.hints = true;
        add("heavy class", 0.9, steady).classes = {{0.9, 0.5}, {0.1, 5.5}};
        {
            const Crowd::Options same = all.back().options;
            add("heavy class hints", 0.9, steady) = same;
        }
        all.back().options.hints = true;
        add("heavy bursts", 0.5, heavy_bursts).classes = {{0.8, 0.5}, {0.2, 3}};
        {
            const Crowd::Options same = all.back().options;
            add("heavy bursts hints", 0.5, heavy_bursts) = same;
        }
        all.back().options.hints = true;
        add("one in three weak", 0.9, steady).weak = 0.7;
        all.back().options.quick_cold = false;
    }
}

std::vector<Scene> scenes() {
    std::vector<Scene> all;
    for (const std::uint32_t n : {20U, 30U, 300U})
        for (const double slots : {1.0, 4.0}) {
            const char* const size = slots < 2 ? " (small)" : "";
            static std::list<std::string> names;
            const auto add = [&](const std::string& name, double load, bool uneven, auto round,
                                 ServerId many) {
                names.push_back(name + size);
                all.push_back({names.back().c_str(), options(n, load, slots, uneven), round, many});
            };
            add("steady", 0.6, false, steady, 4);
            add("uneven", 0.6, true, steady, 4);
            add("crowded", 1.2, true, steady, 4);
            add("lull and burst", 0.6, true, lull_and_burst, 4);
            add("quiet and burst", 0.6, true, quiet_and_burst, 4);
            add("all restarted", 0.8, true, all_restarted, 4);
            add("restarted in turn", 0.8, true, restarted_in_turn, 8);
            add("all servers cold", 0.8, true, steady, 20);
            add("unlike machines", 0.6, true, steady, 4);
            all.back().options.slow = 0.3;
            if (slots < 2) continue;
            // Seen: a machine of another kind, fed by the mean of all, got several times its budget.
            add("much unlike machines", 0.6, true, steady, 4);
            all.back().options.slow = 0.15, all.back().options.slots = 20;
        }
    for (const std::uint32_t n : {20U, 30U, 300U}) add_unlike_work(all, n);
    return all;
}

INSTANTIATE_TEST_SUITE_P(Scenes, ColdSum, testing::ValuesIn(scenes()),
                         [](const testing::TestParamInfo<Scene>& info) {
                             std::string name = std::to_string(info.param.options.sidecars);
                             for (const char* c = info.param.name; *c; ++c)
                                 name += std::isalnum(static_cast<unsigned char>(*c)) ? *c : '_';
                             return name;
                         });

}  // namespace
}  // namespace kestrelhall::test
