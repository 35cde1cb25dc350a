// A day: the stand-ins, a tier of real processes, traffic, an operator and faults by schedule; and what was
// promised and kept.
#pragma once

#include <deque>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tier/checker.hpp"
#include "tier/client.hpp"
#include "tier/operator.hpp"
#include "tier/platform.hpp"
#include "tier/server.hpp"
#include "tier/tier.hpp"

namespace whinledge::tier_rig {

enum class Deed {
    kill,
    freeze,
    throttle,  // by a quota: it is stopped for the rest of each tenth of a second
    stall,     // its disk takes no sync
    terminate,
    hang_up,
    wipe,
    replace,
    retire,
    remove,
    add,
    drain_server,
    upgrade,   // SIGTERM, then a start with the newer programs
    downgrade  // the same, with the older ones
};

// What is done to a machine. `target` is a machine's name, or a class (edge, core, storage): then any of it;
// edges, cores, storages, machines: all of them at once; all: every machine, one after the other.
struct Fault {
    Millis at = 0;  // since traffic began
    Deed deed = Deed::kill;
    std::string target;
    Millis lasts = 1000;  // until it is started again or thawed
    // It waits for no other loss; one of a disk waits for other disks alone.
    bool overlaps = false;
    std::string beside{};  // of one of a disk: machines that are killed at the same moment; empty: none
};
// AT:DEED:TARGET[:LASTS], times in seconds, such as 3:kill:core-aber-1 or 5:wipe:storage:2. Throws
// std::invalid_argument with a text for the user.
Fault parse_fault(const std::string& words);

enum class FinalFault {
    none,
    all_killed,
    all_killed_and_one_wiped,      // a storage machine, ahead of which nothing else is lost
    all_killed_and_any_disk_lost,  // a core or storage machine's, whatever was lost before
};

struct DayOptions {
    Tier::Options tier;  // its folder, subnet and list's address are filled in
    Millis traffic = 8000;
    double requests_per_s = 20;   // of each zone, beside the programs
    int programs = 3;             // at a time, in each zone
    double runaways = 0.1;        // share of programs
    Millis changes_every = 2500;  // of the configuration; 0: none
    bool races = true, invalid_ones = true;
    double leaving_clients = 0.03;     // share of requests whose client leaves early
    double continuing_programs = 0.1;  // share of programs that go on from another's turn
    double keep_for_s = 60;            // of turns
    int steady_clients = 8;            // in each zone, that keep their connections
    double keeps_connection = 0.5;     // share of requests that are theirs
    int busy_clients = 0;              // in each zone: one request after the other on a kept connection
    double slowness = 1;               // of servers: a multiple of their times
    double server_faults = 0;          // share of runs that a server answers 500, and of those it breaks off
    std::vector<Fault> faults;
    // What would leave fewer than half of the sidecars up is left out.
    bool spares_half_of_edges = false;
    FinalFault final_fault = FinalFault::none;
    std::uint64_t seed = 1;
    bool tells = false;         // each second, to standard output
    bool keeps_folder = false;  // also when all went well
    // Where the day's own folder, with the disks of its machines, is made.
    std::filesystem::path folder_in = std::filesystem::temp_directory_path();
    int subnet = 0;  // 0: one that no other rig uses at present
};

struct DayResult {
    bool started = false;  // a configuration was acknowledged and the sidecars were ready
    std::vector<Finding> findings;
    Tally tally;
    int programs = 0, programs_finished = 0, programs_spent = 0;
    std::vector<std::string> program_faults;
    int own_ends = 0;
    int faults_done = 0;
    int stalls = 0;      // of the rig itself: this machine gave it no time; nothing is in touch around them
    std::string folder;  // with settings and logs of the processes
    double served() const;  // share of what was owed
    std::string words() const;
};

class Rig {
public:
    explicit Rig(DayOptions options);
    ~Rig();
    // Plays the day to its end. Throws std::runtime_error where the rig itself can't run.
    DayResult play();

    // By hand, while it plays.
    void do_now(Deed deed, const std::string& target, Millis lasts = 1000);
    void end_early() { ending_early_ = true; }
    World& world() { return world_; }

private:
    void open_platform();
    Task<void> day();
    Task<bool> await(std::function<bool()> condition, Millis limit);
    void start_servers();
    void start_server(const std::string& service, std::size_t zone);
    Task<void> drain_some_server();
    Task<void> requests(std::size_t zone);
    Task<void> one_request(std::shared_ptr<Client> client, Ask ask);
    Task<void> busy_client(std::size_t zone);
    Task<void> programs(std::size_t zone);
    Task<void> one_program(std::size_t zone);
    Task<void> probes();
    Task<void> changes();
    Task<void> send_change(std::int64_t version, std::int64_t based_on, std::vector<RouteSpec> routes,
                           bool valid);
    Task<void> schedule();
    Task<void> do_fault(Fault fault);
    Task<void> roll(Fault fault);
    Task<void> throttle(std::string machine, Millis lasts);
    Task<void> retire(std::string machine);
    // What was done to machines of core and storage since shortly before `since`, in words.
    std::string deeds_since(Millis since) const;
    Task<void> do_final_fault();
    Task<void> watch_loop();
    void tell_controls() const;
    Task<void> tell();
    std::string pick(const std::string& target);
    std::string pick_for(const Fault& fault);
    std::vector<std::string> group(const std::string& target) const;
    Task<bool> may_strike(const Fault& fault);
    Task<std::string> await_lost_disk(std::vector<MachineClass> kinds);
    bool is_spared(const Fault& fault, const Machine& machine) const;
    std::vector<RouteSpec> routes_of(int change) const;
    bool servers_idle(const std::string& path) const;
    Ask ask_for(const std::string& path) const;
    void judge();
    bool in_traffic() const { return world_.now() < traffic_until_ && !ending_early_; }

    DayOptions options_;
    asio::io_context io_;
    World world_;
    std::string folder_;
    std::unique_ptr<Platform> platform_;
    std::unique_ptr<Tier> tier_;
    std::unique_ptr<Operator> operator_;
    std::vector<std::shared_ptr<Server>> servers_;
    std::vector<std::shared_ptr<ProgramResult>> programs_;
    struct OldTurn {
        std::string id;
        Millis ended = 0;
    };
    std::deque<OldTurn> old_turns_;  // that programs may go on from, oldest first
    struct DoneDeed {
        std::string machine;
        Deed deed;
        Millis at;
    };
    std::vector<DoneDeed> deeds_;
    std::vector<Finding> own_findings_;  // of the rig: a retirement that never ended, ...
    Millis traffic_from_ = 0, traffic_until_ = 0;
    int open_ = 0, next_server_ = 0;  // what clients do now
    std::int64_t version_ = 0;        // of the newest configuration that was acknowledged
    int change_ = 0;                  // how many were sent to be acknowledged
    bool changing_ = false, ending_early_ = false, recovering_ = false;
    DayResult result_;
};

}  // namespace whinledge::tier_rig
