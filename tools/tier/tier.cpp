#include "tier/tier.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <stdexcept>

#include "words.hpp"

namespace whinledge::tier_rig {
namespace {

constexpr Millis kLook = 20, kStartAgain = 300;
constexpr Millis kSync = 4100;  // guarantees.syncS
constexpr int kMostOwnEnds = 20;
constexpr Millis kLeastWait = 20;  // for a processor, to be recorded
constexpr Millis kForever = std::numeric_limits<Millis>::infinity();

const char* class_name(MachineClass kind) {
    switch (kind) {
        case MachineClass::edge:
            return "edge";
        case MachineClass::core:
            return "core";
        case MachineClass::storage:
            return "storage";
    }
    return "";
}

// How long a process of one thread has waited for a processor while it was ready to run.
Millis waited_for_processor(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");  // ns: run, waited; slices
    double ran = 0, waited = 0;
    file >> ran >> waited;
    return waited / 1e6;
}

Tcp::endpoint endpoint(const std::string& ip, int port) {
    return {asio::ip::make_address(ip), static_cast<std::uint16_t>(port)};
}

// Whether a process blocks a signal, or has a handler for it. One that is still being loaded does neither,
// and has run no step of its program yet.
bool holds_or_handles(pid_t pid, int signal) {
    const std::uint64_t bit = std::uint64_t{1} << (signal - 1);
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (!line.starts_with("SigBlk:") && !line.starts_with("SigCgt:")) continue;
        if (std::strtoull(line.c_str() + line.find(':') + 1, nullptr, 16) & bit) return true;
    }
    return false;
}

}  // namespace

Programs programs_in(const std::string& folder, const std::string& option) {
    Programs programs{folder + "/whinledge-proxy", folder + "/whinledge-control",
                      folder + "/whinledge-storage"};
    for (const std::string& program : {programs.proxy, programs.control, programs.storage})
        if (::access(program.c_str(), X_OK) != 0)
            throw tools::UsageError("'" + program + "' is not there: build it, or name its folder with " +
                                    option);
    return programs;
}

Programs stalling_programs_in(const std::string& folder) {
    const Programs programs{"", folder + "/whinledge-control-stalling",
                            folder + "/whinledge-storage-stalling"};
    for (const std::string& program : {programs.control, programs.storage})
        if (::access(program.c_str(), X_OK) != 0) return {};
    return programs;
}

std::string own_folder() { return std::filesystem::read_symlink("/proc/self/exe").parent_path().string(); }

std::string make_run_folder(const std::filesystem::path& within) {
    std::string pattern = within / "whinledge-tier-XXXXXX";
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("no folder can be made at " + pattern +
                                 ": make room there, or name another");
    return pattern;
}

Tier::Tier(World& world, Platform& platform, Options options)
    : world_(world), platform_(platform), options_(std::move(options)) {
    for (std::size_t zone = 0; zone < options_.zones.size(); ++zone) {
        for (int i = 0; i < options_.edges; ++i) new_machine(MachineClass::edge, zone);
        for (int i = 0; i < options_.cores; ++i) new_machine(MachineClass::core, zone);
        for (int i = 0; i < options_.stores; ++i) new_machine(MachineClass::storage, zone);
    }
}

Tier::~Tier() {
    for (auto& [name, machine] : machines_)
        if (machine.pid > 0) end(machine, SIGKILL);
}

Machine& Tier::new_machine(MachineClass kind, std::size_t zone_index) {
    const int number = ++counts_[{static_cast<int>(kind), zone_index}];
    const std::string& zone = options_.zones[zone_index];
    const std::string name = std::string(class_name(kind)) + "-" + zone + "-" + std::to_string(number);
    Machine& machine = machines_[name];
    machine.name = name;
    machine.zone = zone;
    machine.kind = kind;
    const int last = 10 + 60 * static_cast<int>(kind) + number;
    machine.ip = std::string("127.").append(std::to_string(options_.subnet)) + "." +
                 std::to_string(zone_index + 1) + "." + std::to_string(last);
    machine.settings_path = options_.folder + "/" + name + ".conf";
    machine.log_path = options_.folder + "/" + name + ".log";
    machine.stall_path = options_.folder + "/" + name + ".stall";
    if (kind != MachineClass::edge) {
        machine.data_folder = options_.folder + "/" + name + ".data";
        std::filesystem::create_directories(machine.data_folder);
    }
    return machine;
}

// The operator's list: three that serve control.
std::string Tier::seeds() const {
    std::string list;
    int count = 0;
    for (const auto& [name, machine] : machines_) {
        if (machine.kind != MachineClass::core || machine.removed || ++count > 3) continue;
        list += (list.empty() ? "" : ",") + machine.ip + ":" + std::to_string(ports_.control);
    }
    return list;
}

std::string Tier::settings_text(const Machine& machine) const {
    static constexpr std::array<const char*, 3> kRoles{"proxy", "control", "storage"};
    static constexpr std::array<const char*, 3> kServes{"edge", "control", "storage"};
    const auto kind = static_cast<std::size_t>(machine.kind);
    const auto at = [&](int port) { return machine.ip + ":" + std::to_string(port); };
    const Bounds& bounds = options_.bounds;
    std::ostringstream out;
    out << std::boolalpha << "node=" << machine.name << "\nrole=" << kRoles[kind]
        << "\nmachineClass=" << class_name(machine.kind) << "\nserves=" << kServes[kind]
        << "\nip=" << machine.ip << "\nzone=" << machine.zone << "\nregion=north\n";
    for (const std::string& zone : options_.zones) out << "zones." << zone << "=north\n";
    if (machine.kind == MachineClass::edge)
        out << "listenOn.public=" << at(ports_.open) << "\nlistenOn.readiness=" << at(ports_.ready) << "\n";
    if (machine.kind == MachineClass::core) out << "listenOn.controlPort=" << at(ports_.control) << "\n";
    out << "sparePorts=" << ports_.first_spare << "," << ports_.last_spare << "\nseedNodes=" << seeds()
        << "\nfirstBoot=" << first_boot_ << "\nlossCounts=" << (machine.kind != MachineClass::edge)
        << "\nlimits.cpuPart=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.openFiles=4096"
        << "\nlimits.linkMbps=1000.0\nlimits.diskMb=" << (machine.data_folder.empty() ? 0 : 300) << "\n";
    if (!machine.data_folder.empty()) out << "dataFolder=" << machine.data_folder << "\n";
    out << "findBy=cloud\nentryPoint=shared_ip\nheartbeatMs=1200\n"
        << "ruleParts=base,drain,config,cost,recover,agent,stream,engine\n"
        << "survive.machineLosses=" << options_.machine_losses
        << "\nsurvive.zones=0\nsurvive.regionLosses=0\n"
        << "guarantees.seedDelayS=3\nguarantees.reuseS=2\nguarantees.inTouchMs=" << bounds.in_touch
        << "\nguarantees.confirmMs=4000\nguarantees.syncS=" << kSync / 1000
        << "\nguarantees.drainMs=" << bounds.drain << "\nguarantees.graceS=" << bounds.grace / 1000
        << "\nguarantees.lossSlackMs=" << bounds.loss_slack << "\nguarantees.applyMs=" << bounds.apply
        << "\nguarantees.revertMs=" << bounds.revert
        << "\nguarantees.stretchMs=5000\nguarantees.recoveryS=" << bounds.recovery / 1000
        << "\nguarantees.pass_ms=120\nguarantees.again_s=0\nguarantees.finishS=10\nguarantees.settleMs="
        << bounds.settle << "\ncloudApi.address=" << options_.list_address
        << "\ncloudApi.perS=" << options_.list_calls_per_s
        << "\ncloudApi.jobs=\ncloudApi.delayMs=" << options_.list_delay << "\n";
    return out.str();
}

void Tier::start_all() {
    for (auto& [name, machine] : machines_) {
        open_trouble(machine, false);
        start(name);
    }
    first_boot_ = false;
    first_start_ = world_.now();
    begin(world_, supervise());
}

std::vector<Tcp::endpoint> Tier::controls() const {
    std::vector<Tcp::endpoint> all;
    for (const auto& [name, machine] : machines_)
        if (machine.kind == MachineClass::core && !machine.removed)
            all.push_back(endpoint(machine.ip, ports_.control));
    return all;
}

std::vector<std::string> Tier::names(MachineClass kind) const {
    std::vector<std::string> all;
    for (const auto& [name, machine] : machines_)
        if (machine.kind == kind && machine.up) all.push_back(name);
    return all;
}

const Machine* Tier::find(const std::string& name) const {
    const auto found = machines_.find(name);
    return found == machines_.end() ? nullptr : &found->second;
}
Machine* Tier::known(const std::string& name) {
    const auto found = machines_.find(name);
    return found == machines_.end() || found->second.removed ? nullptr : &found->second;
}

void Tier::open_trouble(Machine& machine, bool planned) {
    if (machine.trouble) {
        machine.trouble->planned = machine.trouble->planned && planned;
        return;
    }
    world_.record.troubles.push_back(
        {machine.name, world_.now(), kForever, planned, machine.kind != MachineClass::edge});
    machine.trouble = &world_.record.troubles.back();
}
void Tier::close_trouble(Machine& machine) {
    if (machine.trouble) machine.trouble->to = world_.now();
    machine.trouble = nullptr;
}

const std::string& Tier::program_of(const Machine& machine) const {
    const bool stalls = !machine.newer && !options_.stalling.storage.empty();
    const Programs& build = machine.newer ? options_.newer : options_.programs;
    if (machine.kind == MachineClass::edge) return build.proxy;
    const Programs& disks = stalls ? options_.stalling : build;
    return machine.kind == MachineClass::core ? disks.control : disks.storage;
}

void Tier::spawn(Machine& machine) {
    machine.waited = 0;
    std::ofstream(machine.settings_path) << settings_text(machine);
    const std::string& program = program_of(machine);
    std::string boot = "WHINLEDGE_BOOT=" + machine.settings_path, path = "PATH=/usr/bin:/bin",
                home = "HOME=" + options_.folder;
    std::string stall = "WHINLEDGE_STALL=" + machine.stall_path;
    std::array<char*, 5> environment{boot.data(), path.data(), home.data(), stall.data(), nullptr};
    std::string word = program;
    std::array<char*, 2> words{word.data(), nullptr};
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    ::posix_spawn_file_actions_addopen(&actions, 1, machine.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       0644);
    ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
    ::posix_spawn_file_actions_addclosefrom_np(&actions, 3);  // no sockets of the stand-ins
    posix_spawnattr_t attributes;
    ::posix_spawnattr_init(&attributes);
    sigset_t none;
    ::sigemptyset(&none);
    ::posix_spawnattr_setsigmask(&attributes, &none);
    ::posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failed =
        ::posix_spawn(&machine.pid, program.c_str(), &actions, &attributes, words.data(), environment.data());
    ::posix_spawn_file_actions_destroy(&actions);
    ::posix_spawnattr_destroy(&attributes);
    if (failed != 0) {
        machine.pid = -1;
        throw std::runtime_error("'" + program + "' can't be started: is it built?");
    }
}

bool Tier::start(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || machine->pid > 0) return false;
    spawn(*machine);
    machine->up = true;
    machine->again = 0;
    machine->runs_since = world_.now();
    ++machine->incarnation;
    close_trouble(*machine);
    if (machine->kind == MachineClass::edge)
        platform_.put_sidecar({machine->name, machine->zone, endpoint(machine->ip, ports_.open),
                               endpoint(machine->ip, ports_.ready), machine->incarnation});
    return true;
}

// Signals a process of ours and waits for its end.
void Tier::end(Machine& machine, int signal) {
    ::kill(machine.pid, signal);
    if (machine.frozen) ::kill(machine.pid, SIGCONT);
    int status = 0;
    while (::waitpid(machine.pid, &status, 0) < 0 && errno == EINTR) {
    }
    machine.pid = -1;
    machine.frozen = false;
}

bool Tier::kill(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || machine->pid <= 0) return false;
    open_trouble(*machine, false);
    machine->up = false;
    end(*machine, SIGKILL);
    return true;
}

bool Tier::freeze(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || machine->pid <= 0 || machine->frozen) return false;
    open_trouble(*machine, false);
    machine->frozen = true;
    return ::kill(machine->pid, SIGSTOP) == 0;
}

bool Tier::thaw(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || machine->pid <= 0 || !machine->frozen) return false;
    machine->frozen = false;
    machine->runs_since = world_.now();
    ::kill(machine->pid, SIGCONT);
    close_trouble(*machine);
    return true;
}

bool Tier::hold(const std::string& name) {
    const Machine* const machine = known(name);
    return machine && machine->pid > 0 && !machine->frozen && ::kill(machine->pid, SIGSTOP) == 0;
}

bool Tier::release(const std::string& name) {
    const Machine* const machine = known(name);
    return machine && machine->pid > 0 && !machine->frozen && ::kill(machine->pid, SIGCONT) == 0;
}

bool Tier::stall_disk(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || machine->pid <= 0 || options_.stalling.storage.empty()) return false;
    open_trouble(*machine, false);
    std::ofstream(machine->stall_path).flush();
    return true;
}

bool Tier::release_disk(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || !std::filesystem::remove(machine->stall_path)) return false;
    if (machine->up && !machine->frozen) close_trouble(*machine);
    return true;
}

bool Tier::terminate(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || machine->pid <= 0) return false;
    open_trouble(*machine, true);
    machine->up = false;
    ::kill(machine->pid, SIGTERM);
    begin(world_, end_after_grace(name, machine->incarnation));
    return true;
}

Task<void> Tier::end_after_grace(std::string name, int incarnation) {
    co_await sleep_for(world_, options_.bounds.grace);
    Machine* const machine = known(name);
    if (machine && machine->incarnation == incarnation && machine->pid > 0 && !machine->up)
        end(*machine, SIGKILL);
}

bool Tier::hang_up(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || machine->pid <= 0) return false;
    std::ofstream(machine->settings_path) << settings_text(*machine);
    if (!holds_or_handles(machine->pid, SIGHUP)) return false;
    world_.record.hangups.push_back({name, world_.now()});
    return ::kill(machine->pid, SIGHUP) == 0;
}

bool Tier::use_newer(const std::string& name, bool newer) {
    if (options_.newer.proxy.empty())
        throw std::invalid_argument("there is no newer build: name its folder with --newer");
    Machine* const machine = known(name);
    if (!machine) return false;
    machine->newer = newer;
    return true;
}

bool Tier::wipe(const std::string& name) {
    Machine* const machine = known(name);
    if (!machine || machine->data_folder.empty()) return false;
    kill(name);
    machine->disk_is_new = true;
    for (const auto& entry : std::filesystem::directory_iterator(machine->data_folder))
        std::filesystem::remove_all(entry.path());
    return true;
}

bool Tier::remove(const std::string& name, bool retired) {
    Machine* const machine = known(name);
    if (!machine) return false;
    if (machine->pid > 0) {
        if (!retired) open_trouble(*machine, false);
        machine->up = false;
        end(*machine, SIGKILL);
    }
    close_trouble(*machine);
    machine->removed = true;
    if (machine->kind == MachineClass::edge) platform_.remove_sidecar(name);
    if (!machine->data_folder.empty()) std::filesystem::remove_all(machine->data_folder);
    return true;
}

std::string Tier::add(MachineClass kind, const std::string& zone) {
    for (std::size_t i = 0; i < options_.zones.size(); ++i) {
        if (options_.zones[i] != zone) continue;
        Machine& machine = new_machine(kind, i);
        open_trouble(machine, false);
        start(machine.name);
        return machine.name;
    }
    return {};
}

void Tier::look_at_processors(Millis since) {
    const Millis now = world_.now();
    for (auto& [name, machine] : machines_) {
        if (machine.kind != MachineClass::edge || machine.pid <= 0) continue;
        const Millis waited = waited_for_processor(machine.pid), before = machine.waited;
        machine.waited = waited;
        const Millis more = waited - before;
        if (more < kLeastWait) continue;
        world_.record.starvations.push_back({name, std::min(since, now - more), now, more});
    }
}

bool Tier::may_lose_one() const {
    std::set<std::string> lost;
    for (const Trouble& trouble : world_.record.troubles)
        if (trouble.core && !trouble.machine.empty() && trouble.from > first_start_ &&
            trouble.to + kSync > world_.now())
            lost.insert(trouble.machine);
    return static_cast<int>(lost.size()) < options_.machine_losses;
}

bool Tier::has_synced(const Machine& machine) const {
    return machine.up && machine.pid > 0 && !machine.frozen && world_.now() - machine.runs_since > kSync;
}

bool Tier::may_lose_disk() {
    int lost = 0;
    for (auto& [name, machine] : machines_) {
        if (machine.removed || !machine.disk_is_new) continue;
        if (has_synced(machine))
            machine.disk_is_new = false;
        else
            ++lost;
    }
    return lost < options_.machine_losses;
}

std::vector<std::string> Tier::have_synced(MachineClass kind) const {
    std::vector<std::string> all;
    for (const auto& [name, machine] : machines_)
        if (machine.kind == kind && !machine.removed && has_synced(machine)) all.push_back(name);
    return all;
}

void Tier::reap(Machine& machine) {
    int status = 0;
    if (::waitpid(machine.pid, &status, WNOHANG) != machine.pid) return;
    machine.pid = -1;
    machine.frozen = false;
    if (!machine.up) return;
    ++machine.own_ends;
    ++own_ends_;
    std::ostringstream words;
    words << machine.name << " ended by itself after " << static_cast<long>(world_.now()) << " ms ("
          << (WIFSIGNALED(status) ? "signal " : "status ")
          << (WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status)) << "), see " << machine.log_path;
    own_end_words_.push_back(words.str());
    if (machine.own_ends <= kMostOwnEnds) machine.again = world_.now() + kStartAgain;
}

Task<void> Tier::supervise() {
    for (;;) {
        for (auto& [name, machine] : machines_) {
            if (machine.pid > 0) reap(machine);
            if (machine.again > 0 && world_.now() >= machine.again) start(name);
        }
        co_await sleep_for(world_, kLook);
    }
}

}  // namespace whinledge::tier_rig
