// The nodes' processes: their files, their starts, signals and ends.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fleet/experiment.hpp"
#include "fleet/places.hpp"

namespace whinledge::fleetrig {

// What a node is told: a services file with one listener, one pool and the fleet.
struct NodeFile {
    static constexpr const char* kFleet = "rig";
    std::string self, control, listener;
    Millis period = 1000, drain = 1000;
    std::vector<std::string> servers;                          // addresses
    std::vector<std::pair<std::string, std::string>> members;  // names, and addresses as this node sees them
    std::string limits;                                        // as the file has them
    std::string text() const;
};

class Processes {
public:
    // Files and logs of node n: folder/NAME.toml, folder/NAME.log; sockets: sockets/n.
    Processes(asio::io_context& io, std::string binary, std::filesystem::path folder,
              const Experiment& experiment, const Places& places);
    // Whatever still runs is killed.
    ~Processes();
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;

    // Its file names these members alone from now on (self always); takes effect by start() or SIGHUP.
    void list(Node node, const std::vector<Member>& fleet);
    // Likewise these limits, in place of the experiment's.
    void limit(Node node, const std::string& limits);
    void start(Node node);
    // To a process that runs; false: none does.
    bool signal(Node node, int signal);
    // With SIGKILL, and waits until it is gone, so that its places are free.
    void kill(Node node);
    bool runs(Node node) const { return pids_[node] > 0; }
    pid_t pid(Node node) const { return pids_[node]; }
    std::uint64_t resident_kib(Node node) const;
    Millis busy(Node node) const;  // processor time since its start
    std::string control(Node node) const { return (sockets_ / std::to_string(node)).string(); }
    std::filesystem::path log(Node node) const;
    // Of one that ended without kill(): status as a shell has it.
    std::function<void(Node, int status)> on_end;

private:
    void write(Node node, const std::vector<Member>& fleet) const;
    void wait();
    void reap();

    std::string binary_;
    std::filesystem::path folder_, sockets_;
    const Experiment& experiment_;
    const Places& places_;
    asio::signal_set children_;
    std::vector<std::vector<Member>> fleets_;  // of each node's file
    std::vector<std::string> limits_;
    std::vector<pid_t> pids_;  // 0: none
};

}  // namespace whinledge::fleetrig
