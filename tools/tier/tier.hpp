// A tier of real processes on loopback: every machine has an address of its own, a settings file and, where
// it has a disk, a data folder. Faults are done to the processes that were started here, by their ids.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "tier/checker.hpp"
#include "tier/platform.hpp"

namespace whinledge::tier_rig {

enum class MachineClass { edge, core, storage };

struct Programs {  // paths
    std::string proxy, control, storage;
};
// Those of the build in that folder; `option` names it. Throws tools::UsageError where one is missing.
Programs programs_in(const std::string& folder, const std::string& option);
// Those whose disks can be stalled; empty where the folder lacks them.
Programs stalling_programs_in(const std::string& folder);
// The folder that has this program.
std::string own_folder();

// A new folder, for the settings, logs and disks of one run. Throws std::runtime_error where none can be
// made.
std::string make_run_folder(const std::filesystem::path& within);

struct Ports {  // alike on all machines
    int open = 18080, ready = 18081, control = 18082, first_spare = 18100, last_spare = 18115;
};

struct Machine {
    std::string name, zone, ip;
    MachineClass kind = MachineClass::edge;
    pid_t pid = -1;
    Millis waited = 0;  // of its process, for a processor, since its start, as last looked at
    int incarnation = 0;
    bool up = false, frozen = false, removed = false;  // up: it is meant to run
    bool ever_started = false;
    bool newer = false;  // runs, from its next start on, the newer build
    int own_ends = 0;
    Trouble* trouble = nullptr;  // the open one
    Millis again = 0;            // when an own end is answered by a start; 0: not
    Millis runs_since = 0;       // without a break, while it runs
    bool disk_is_new = false;    // it was lost, and its machine has not run for `syncS` since
    std::string settings_path, data_folder, log_path;
    std::string stall_path;  // while this file is there its disk is stalled
};

class Tier {
public:
    struct Options {
        Programs programs;
        Programs newer;  // of another build, for upgrades; empty: none
        // The control and storage programs of days that may stall disks, run in place of those; empty: no
        // disk can be stalled.
        Programs stalling;
        std::string folder;  // of this run; made by the caller
        int subnet = 1;      // 127.SUBNET.ZONE.N
        std::vector<std::string> zones{"aber", "bole", "cray"};
        int edges = 2, cores = 1, stores = 1;  // in each zone
        int machine_losses = 1;
        Bounds bounds;
        Tcp::endpoint list_address;
        Millis list_delay = 800;
        double list_calls_per_s = 40;
    };
    Tier(World& world, Platform& platform, Options options);
    ~Tier();
    Tier(const Tier&) = delete;
    Tier& operator=(const Tier&) = delete;

    void start_all();  // the first boot
    std::vector<Tcp::endpoint> controls() const;
    std::vector<std::string> names(MachineClass kind) const;  // of those that are meant to run
    const Machine* find(const std::string& name) const;

    // Each returns false where there is no such machine, or it is not in that state.
    bool kill(const std::string& name);
    bool start(const std::string& name);
    bool freeze(const std::string& name);
    bool thaw(const std::string& name);
    // Stops its process, or lets it go on: what a quota of the processor does. Its machine is in no trouble.
    bool hold(const std::string& name);
    bool release(const std::string& name);
    // Its disk takes no sync until it is released.
    bool stall_disk(const std::string& name);
    bool release_disk(const std::string& name);
    bool terminate(const std::string& name);  // SIGKILL after grace
    bool hang_up(const std::string& name);    // SIGHUP
    // Which build it runs from its next start on. Throws std::invalid_argument where no newer one was given.
    bool use_newer(const std::string& name, bool newer);
    bool wipe(const std::string& name);  // kills it and empties its folder; it is started by start()
    // Gone for good; true for a retired one, whose loss does not count.
    bool remove(const std::string& name, bool retired);
    // A new machine of that kind and zone at a new address, with an empty disk. Returns its name.
    std::string add(MachineClass kind, const std::string& zone);

    // Whether one more machine that counts may be lost now: of those, no more are down, frozen, or back for
    // less than `syncS` than `survive` allows.
    bool may_lose_one() const;
    // Whether one more disk may be lost now, whatever else is down or frozen: machines whose disks were lost
    // have run for `syncS` without a break, all but as many as `survive` allows.
    bool may_lose_disk();
    // Of a class, those whose disk may go: they have run for `syncS` themselves, and may have given away what
    // they alone have.
    std::vector<std::string> have_synced(MachineClass kind) const;
    // Records how long each sidecar has waited for a processor since the last look, which was at `since`.
    void look_at_processors(Millis since);

    int own_ends() const { return own_ends_; }
    std::vector<std::string> own_end_words() const { return own_end_words_; }
    std::string settings_text(const Machine& machine) const;

private:
    Machine& new_machine(MachineClass kind, std::size_t zone_index);
    Machine* known(const std::string& name);
    const std::string& program_of(const Machine& machine) const;
    void spawn(Machine& machine);
    void open_trouble(Machine& machine, bool planned);
    void close_trouble(Machine& machine);
    Task<void> supervise();
    Task<void> end_after_grace(std::string name, int incarnation);
    bool has_synced(const Machine& machine) const;
    void reap(Machine& machine);
    void end(Machine& machine, int signal);
    std::string seeds() const;

    World& world_;
    Platform& platform_;
    Options options_;
    Ports ports_;
    std::map<std::string, Machine> machines_;
    std::map<std::pair<int, std::size_t>, int> counts_;  // by class and zone
    bool first_boot_ = true;
    Millis first_start_ = 0;
    int own_ends_ = 0;
    std::vector<std::string> own_end_words_;
};

}  // namespace whinledge::tier_rig
