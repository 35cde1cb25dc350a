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

// Of storage and control processes, whatever else is down: only disks are lost one at a time.
void add_overlapping_losses(DayOptions& day, Draw& draw) {
    static constexpr const char* kTargets[] = {"storage", "storage", "core"};
    static constexpr const char* kGroups[] = {"storages", "storages", "cores", "machines"};
    static constexpr const char* kBeside[] = {"", "storages", "cores", "machines"};
    static constexpr Millis kFrozen[] = {2000, 9000, 15'000};
    static constexpr Millis kDown[] = {300, 1000, 5000, 12'000};
    static constexpr Millis kBetween[] = {300, 1000, 3000};
    for (Millis at = 3000; at < day.traffic - kCalmAtTheEnd; at += draw.any_of(kBetween)) {
        Fault fault{at, Deed::kill, draw.any_of(kTargets), draw.any_of(kDown), true, {}};
        const double kind = draw.between(0, 1);
        const bool of_one = kind < 0.3 || kind >= 0.75;
        if (kind < 0.3) {
            fault.deed = Deed::freeze;
            fault.lasts = draw.any_of(kFrozen);
        } else if (kind < 0.55) {
            fault.deed = Deed::wipe;
            fault.lasts = 1000;
            fault.beside = draw.any_of(kBeside);
        } else if (kind < 0.75) {
            fault.target = draw.any_of(kGroups);
            fault.lasts = draw.chance(0.7) ? 500 : 3000;
        }
        day.faults.push_back(fault);
        if (of_one && draw.chance(0.6)) day.faults.push_back(fault);  // of another one as well
    }
}

}  // namespace

void make_loss_soak(DayOptions& day, std::uint64_t seed) {
    static constexpr double kKeepForS[] = {10, 20, 40};
    static constexpr int kStores[] = {1, 1, 2};
    Draw draw(seed);
    day.seed = seed;
    day.spares_half_of_edges = true;
    day.keep_for_s = draw.any_of(kKeepForS);
    day.continuing_programs = 0.4;
    day.changes_every = draw.between(500, 2500);
    day.tier.zones = {"aber", "bole", "cray", "dale"};
    if (draw.chance(0.5)) day.tier.zones.push_back("elm");
    day.tier.edges = 1;
    day.tier.stores = draw.any_of(kStores);
    add_overlapping_losses(day, draw);
    day.final_fault = FinalFault::all_killed_and_any_disk_lost;
}

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
