#include "tier/soak.hpp"

#include <random>
#include <string>

namespace whinledge::tier_rig {
namespace {

constexpr Millis kFirst = 500, kCalmAtTheEnd = 1500;
constexpr int kLinesOfPlannedWork = 3;

class Draw {
public:
    explicit Draw(std::uint64_t seed) : random_(seed) {}
    double between(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }
    bool chance(double share) { return between(0, 1) < share; }
    template <class Value, std::size_t Size>
    Value any_of(const Value (&values)[Size]) {
        return values[std::uniform_int_distribution<std::size_t>(0, Size - 1)(random_)];
    }

private:
    std::mt19937_64 random_;
};

// Of sidecars and servers.
void add_planned_work(DayOptions& day, Draw& draw) {
    static constexpr Deed kDeeds[] = {Deed::hang_up,   Deed::hang_up,   Deed::hang_up,     Deed::terminate,
                                      Deed::terminate, Deed::terminate, Deed::drain_server};
    for (int line = 0; line < kLinesOfPlannedWork; ++line) {
        Millis at = kFirst + draw.between(0, 1500);
        while (at < day.traffic - kCalmAtTheEnd) {
            day.faults.push_back({at, draw.any_of(kDeeds), "edge", draw.between(0, 1200)});
            at += draw.between(100, 1500);
        }
    }
}

// Of control and storage processes, one machine at a time: a restart in order, or a reading of the settings.
void add_planned_work_of_core(DayOptions& day, Draw& draw) {
    static constexpr const char* kTargets[] = {"core", "storage"};
    Millis at = kFirst + draw.between(1000, 3000);
    while (at < day.traffic - kCalmAtTheEnd) {
        const Deed deed = draw.chance(0.5) ? Deed::hang_up : Deed::terminate;
        day.faults.push_back({at, deed, draw.any_of(kTargets), draw.between(0, 800)});
        at += draw.between(3000, 7000);
    }
    day.faults.push_back({day.traffic * 0.2, Deed::add, "storage", 0});
    day.faults.push_back({day.traffic * 0.4, Deed::retire, "storage", 0});
}

void add_troubles(DayOptions& day, Draw& draw) {
    static constexpr Deed kOfEdges[] = {Deed::kill, Deed::freeze, Deed::throttle};
    static constexpr Deed kOfCore[] = {Deed::kill, Deed::freeze, Deed::wipe, Deed::replace, Deed::throttle};
    static constexpr const char* kTargets[] = {"core", "storage"};
    for (Millis at = draw.between(1000, 4000); at < day.traffic - kCalmAtTheEnd;
         at += draw.between(2000, 6000))
        day.faults.push_back({at, draw.any_of(kOfEdges), "edge", draw.between(200, 2500)});
    for (Millis at = draw.between(1000, 5000); at < day.traffic - kCalmAtTheEnd;
         at += draw.between(4000, 9000))
        day.faults.push_back({at, draw.any_of(kOfCore), draw.any_of(kTargets), draw.between(100, 2500)});
}

// Disks that stall, one machine at a time, briefly or for longer than a silence is borne.
void add_stalls(DayOptions& day, Draw& draw) {
    static constexpr const char* kTargets[] = {"core", "storage", "storage"};
    static constexpr Millis kLengths[] = {60, 300, 1200, 4000};
    for (Millis at = kFirst + draw.between(0, 4000); at < day.traffic - kCalmAtTheEnd;
         at += draw.between(2000, 7000))
        day.faults.push_back({at, Deed::stall, draw.any_of(kTargets), draw.any_of(kLengths)});
}

}  // namespace

void make_soak(DayOptions& day, std::uint64_t seed) {
    Draw draw(seed);
    day.seed = seed;
    day.steady_clients = 24;
    day.keeps_connection = 0.8;
    day.busy_clients = 6;
    day.changes_every = draw.between(400, 2000);
    static constexpr double kSlowness[] = {1, 5, 20};
    day.slowness = draw.any_of(kSlowness);
    day.spares_half_of_edges = true;
    add_planned_work(day, draw);
    add_planned_work_of_core(day, draw);
    if (seed % 2 == 0) add_troubles(day, draw);
    if (seed % 2 == 0 && !day.tier.stalling.storage.empty()) add_stalls(day, draw);
    if (seed % 8 == 0) day.final_fault = FinalFault::all_killed;
    if (seed % 8 == 5) day.final_fault = FinalFault::all_killed_and_one_wiped;
}

}  // namespace whinledge::tier_rig
