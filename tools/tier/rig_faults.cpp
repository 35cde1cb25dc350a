// What is done to the machines of a day: faults by schedule or by hand, rolls from build to build, and the
// final fault.
#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "tier/rig.hpp"

namespace whinledge::tier_rig {
namespace {

constexpr Millis kLossLimit = 15000, kRetireLimit = 12000;
constexpr Millis kQuotaPeriod = 100, kQuota = 25;  // it runs for the latter of the former
constexpr Millis kDownBetween = 500, kAfterRecovery = 4000;

struct DeedName {
    const char* name;
    Deed deed;
};
constexpr std::array<DeedName, 14> kDeeds{{{"kill", Deed::kill},
                                           {"freeze", Deed::freeze},
                                           {"throttle", Deed::throttle},
                                           {"stall", Deed::stall},
                                           {"term", Deed::terminate},
                                           {"hup", Deed::hang_up},
                                           {"wipe", Deed::wipe},
                                           {"replace", Deed::replace},
                                           {"retire", Deed::retire},
                                           {"remove", Deed::remove},
                                           {"add", Deed::add},
                                           {"drain", Deed::drain_server},
                                           {"upgrade", Deed::upgrade},
                                           {"downgrade", Deed::downgrade}}};

const char* name_of(Deed deed) {
    for (const DeedName& known : kDeeds)
        if (known.deed == deed) return known.name;
    return "";
}

Millis seconds(const std::string& words) {
    char* end = nullptr;
    const double value = std::strtod(words.c_str(), &end);
    if (words.empty() || *end != '\0' || value < 0 || value > 3600)
        throw std::invalid_argument("'" + words + "' is no time in seconds");
    return value * 1000;
}

MachineClass class_of(const std::string& name) {
    return name.starts_with("core")      ? MachineClass::core
           : name.starts_with("storage") ? MachineClass::storage
                                         : MachineClass::edge;
}

bool is_group(const std::string& target) {
    return target == "edges" || target == "cores" || target == "storages" || target == "machines";
}

}  // namespace

Fault parse_fault(const std::string& words) {
    std::vector<std::string> parts;
    std::stringstream items(words);
    for (std::string item; std::getline(items, item, ':');) parts.push_back(item);
    if (parts.size() < 3 || parts.size() > 4)
        throw std::invalid_argument("'" + words + "' is not AT:DEED:TARGET[:LASTS]");
    const auto deed = std::find_if(kDeeds.begin(), kDeeds.end(),
                                   [&](const DeedName& known) { return known.name == parts[1]; });
    if (deed == kDeeds.end())
        throw std::invalid_argument(
            "'" + parts[1] +
            "' is no deed: kill, freeze, throttle, stall, term, hup, wipe, replace, retire, "
            "remove, add, drain, upgrade or downgrade");
    Fault fault{seconds(parts[0]), deed->deed, parts[2]};
    if (parts.size() == 4) fault.lasts = seconds(parts[3]);
    return fault;
}

std::string Rig::pick(const std::string& target) {
    for (const auto& [name, kind] :
         {std::pair("edge", MachineClass::edge), std::pair("core", MachineClass::core),
          std::pair("storage", MachineClass::storage)}) {
        if (target != name) continue;
        const auto all = tier_->names(kind);
        return all.empty() ? "" : all[static_cast<std::size_t>(world_.below(static_cast<int>(all.size())))];
    }
    return target;
}

// All that run of a class, or of both with disks.
std::vector<std::string> Rig::group(const std::string& target) const {
    std::vector<MachineClass> kinds;
    if (target == "edges") kinds = {MachineClass::edge};
    if (target == "cores") kinds = {MachineClass::core};
    if (target == "storages") kinds = {MachineClass::storage};
    if (target == "machines") kinds = {MachineClass::core, MachineClass::storage};
    std::vector<std::string> all;
    for (const MachineClass kind : kinds)
        for (const std::string& name : tier_->names(kind)) all.push_back(name);
    return all;
}

std::string Rig::pick_for(const Fault& fault) {
    if (!fault.overlaps || fault.deed != Deed::wipe) return pick(fault.target);
    const auto all = tier_->have_synced(class_of(fault.target));
    return all.empty() ? "" : all[static_cast<std::size_t>(world_.below(static_cast<int>(all.size())))];
}

// Once it may; false: not in time.
Task<bool> Rig::may_strike(const Fault& fault) {
    if (class_of(fault.target) == MachineClass::edge || fault.deed == Deed::hang_up) co_return true;
    const bool takes_disk =
        fault.deed == Deed::wipe || fault.deed == Deed::replace || fault.deed == Deed::remove;
    if (fault.overlaps && !takes_disk) co_return true;
    const bool for_disk = fault.overlaps;
    const MachineClass kind = class_of(fault.target);
    const bool may = co_await await(
        [this, for_disk, kind] {
            if (!for_disk) return tier_->may_lose_one() || world_.ending;
            return (tier_->may_lose_disk() && !tier_->have_synced(kind).empty()) || world_.ending;
        },
        kLossLimit);
    co_return may && !world_.ending;
}

bool Rig::is_spared(const Fault& fault, const Machine& machine) const {
    if (!options_.spares_half_of_edges || machine.kind != MachineClass::edge) return false;
    if (fault.deed == Deed::hang_up || fault.deed == Deed::throttle) return false;
    const std::size_t all = options_.tier.zones.size() * static_cast<std::size_t>(options_.tier.edges);
    return tier_->names(MachineClass::edge).size() <= (all + 1) / 2;
}

void Rig::do_now(Deed deed, const std::string& target, Millis lasts) {
    begin(world_, do_fault({world_.now() - traffic_from_, deed, target, lasts}));
}

Task<void> Rig::schedule() {
    for (const Fault& fault : options_.faults) begin(world_, do_fault(fault));
    co_return;
}

Task<void> Rig::do_fault(Fault fault) {
    co_await sleep_for(world_, traffic_from_ + fault.at - world_.now());
    if (world_.ending) co_return;
    if (fault.deed == Deed::drain_server) {
        ++result_.faults_done;
        co_await drain_some_server();
        co_return;
    }
    if (fault.deed == Deed::add) {
        tier_->add(class_of(fault.target), options_.tier.zones.front());
        co_return;
    }
    if (is_group(fault.target)) {
        for (const std::string& name : group(fault.target))
            begin(world_, do_fault({0, fault.deed, name, fault.lasts, fault.overlaps, {}}));
        co_return;
    }
    if (fault.target == "all") {
        co_await roll(fault);
        co_return;
    }
    const bool may = co_await may_strike(fault);
    if (!may) co_return;
    // Drawn behind the wait: what was drawn ahead of it may have gone meanwhile.
    const std::string name = pick_for(fault);
    if (name.empty()) co_return;
    for (const std::string& other : group(fault.beside))
        if (other != name) begin(world_, do_fault({0, Deed::kill, other, fault.lasts, true, {}}));
    const Machine* const machine = tier_->find(name);
    if (machine && is_spared(fault, *machine)) co_return;
    if (!machine) {
        own_findings_.push_back({"RIG", "there is no machine '" + fault.target + "'"});
        co_return;
    }
    const std::string zone = machine->zone;
    const MachineClass kind = machine->kind;
    if (options_.tells) std::cout << "       " << name_of(fault.deed) << " " << name << std::endl;
    ++result_.faults_done;
    deeds_.push_back({name, fault.deed, world_.now()});
    switch (fault.deed) {
        case Deed::kill:
            tier_->kill(name);
            break;
        case Deed::freeze:
            tier_->freeze(name);
            break;
        case Deed::throttle:
            co_await throttle(name, fault.lasts);
            co_return;
        case Deed::stall:
            tier_->stall_disk(name);
            break;
        case Deed::upgrade:
        case Deed::downgrade:
            tier_->use_newer(name, fault.deed == Deed::upgrade);
            tier_->terminate(name);
            break;
        case Deed::terminate:
            tier_->terminate(name);
            break;
        case Deed::hang_up:
            tier_->hang_up(name);
            break;
        case Deed::wipe:
            tier_->wipe(name);
            break;
        case Deed::remove:
        case Deed::replace:
            tier_->remove(name, false);
            break;
        case Deed::retire:
            co_await retire(name);
            break;
        default:
            break;
    }
    co_await sleep_for(world_, fault.lasts);
    if (fault.deed == Deed::replace) tier_->add(kind, zone);
    if (fault.deed == Deed::freeze) tier_->thaw(name);
    if (fault.deed == Deed::stall) tier_->release_disk(name);
    const bool ends_in_order =
        fault.deed == Deed::terminate || fault.deed == Deed::upgrade || fault.deed == Deed::downgrade;
    if (ends_in_order)
        co_await await([machine] { return machine->pid <= 0; }, options_.tier.bounds.grace + 2000);
    if (fault.deed == Deed::kill || fault.deed == Deed::wipe || ends_in_order) tier_->start(name);
}

// One machine after the other; those that count wait until none of them is lost.
Task<void> Rig::roll(Fault fault) {
    std::vector<std::string> names;
    for (const MachineClass kind : {MachineClass::core, MachineClass::storage, MachineClass::edge})
        for (const std::string& name : tier_->names(kind)) names.push_back(name);
    for (const std::string& name : names) {
        if (world_.ending) co_return;
        Fault one = fault;
        one.at = world_.now() - traffic_from_;
        one.target = name;
        co_await do_fault(one);
    }
}

Task<void> Rig::throttle(std::string machine, Millis lasts) {
    const Millis until = world_.now() + lasts;
    while (world_.now() < until && !world_.ending) {
        tier_->hold(machine);
        co_await sleep_for(world_, kQuotaPeriod - kQuota);
        tier_->release(machine);
        co_await sleep_for(world_, kQuota);
    }
}

Task<void> Rig::retire(std::string machine) {
    const Millis ordered = world_.now();
    const int status = co_await operator_->begin_retirement(machine, kRetireLimit);
    // One that is gone for good meanwhile is lost, and not retired.
    const auto is_lost = [this, &machine] { return tier_->find(machine)->removed; };
    if (!is_success(status) && is_lost()) co_return;
    if (!is_success(status)) {
        own_findings_.push_back({"RETIRE", machine + ": the order was answered " + std::to_string(status) +
                                               deeds_since(ordered)});
        co_return;
    }
    const bool finished = co_await operator_->await_retirement(machine, kRetireLimit);
    if (finished)
        tier_->remove(machine, true);
    else if (!is_lost())
        own_findings_.push_back({"RETIRE", machine + " is not finished after " +
                                               std::to_string(static_cast<int>(kRetireLimit)) + " ms" +
                                               deeds_since(ordered)});
}

std::string Rig::deeds_since(Millis since) const {
    constexpr Millis kBefore = 6000;  // a deed may last
    std::string words;
    for (const DoneDeed& done : deeds_) {
        if (done.at < since - kBefore || done.machine.starts_with("edge")) continue;
        words += std::string("; ") + name_of(done.deed) + " " + done.machine + " at " +
                 std::to_string(static_cast<int>(done.at - since)) + " ms";
    }
    return words;
}

// The machine whose disk is lost with the end of all others.
Task<std::string> Rig::await_lost_disk(std::vector<MachineClass> kinds) {
    const auto candidates = [this, &kinds] {
        std::vector<std::string> all;
        for (const MachineClass kind : kinds)
            for (const std::string& name : tier_->have_synced(kind)) all.push_back(name);
        return all;
    };
    co_await await([&] { return tier_->may_lose_disk() && !candidates().empty(); }, kLossLimit);
    const std::vector<std::string> all = candidates();
    if (all.empty() || !tier_->may_lose_disk()) co_return std::string();
    co_return all[static_cast<std::size_t>(world_.below(static_cast<int>(all.size())))];
}

Task<void> Rig::do_final_fault() {
    std::string lost;
    std::vector<MachineClass> kinds;
    kinds.push_back(MachineClass::core);
    kinds.push_back(MachineClass::storage);
    if (options_.final_fault == FinalFault::all_killed_and_any_disk_lost)
        lost = co_await await_lost_disk(kinds);
    else
        co_await await([this] { return tier_->may_lose_one(); }, kLossLimit);
    std::vector<std::string> all;
    for (const MachineClass kind : {MachineClass::edge, MachineClass::core, MachineClass::storage})
        for (const std::string& name : tier_->names(kind)) all.push_back(name);
    recovering_ = true;
    world_.record.final_fault = world_.now();
    for (const std::string& name : all) tier_->kill(name);
    if (options_.final_fault == FinalFault::all_killed_and_one_wiped) {
        for (const std::string& name : all)
            if (name.starts_with("storage")) {
                tier_->wipe(name);
                break;
            }
    }
    if (!lost.empty()) tier_->wipe(lost);
    co_await sleep_for(world_, kDownBetween);
    for (const std::string& name : all) tier_->start(name);
    world_.record.back_up = world_.now();
    traffic_until_ = world_.now() + options_.tier.bounds.recovery + kAfterRecovery;
    co_await await([this] { return !in_traffic(); }, options_.tier.bounds.recovery + kAfterRecovery + 1000);
}

}  // namespace whinledge::tier_rig
