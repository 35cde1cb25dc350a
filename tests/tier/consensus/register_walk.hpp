// The register's cores in a small world in which every choice is made from outside: which message comes next,
// which is lost, who is restarted or loses its disk and when. A walk tries all of them, up to bounds.
//
// A request and its reply are one step. That leaves nothing out: all that a proposer does on a reply is to
// send, and what it sends may be held back for as long as the reply could have been.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "consensus/proposer.hpp"
#include "consensus/reader.hpp"
#include "simulation.hpp"

namespace whinledge::consensus::test {

struct WalkOptions {
    std::size_t processes = 3;  // the first three are the acceptors of epoch 1

    // What clients do, each once, at any moment.
    struct Operation {
        enum class Kind { change, declining_change, read, seal, switch_without_seal } kind = Kind::change;
        std::size_t process = 0;
        std::vector<std::size_t> next{};  // of a seal: the acceptors of the next epoch
    };
    std::vector<Operation> operations;

    // How often each may happen on one path.
    struct Bounds {
        int lost = 0;      // requests and replies
        int restarts = 0;  // of a process: what is not synced is gone
        int wipes = 0;     // of `wiped`, and back at its address
        int wake_ups = 2;  // begin another round after one that failed
    };
    Bounds bounds;
    std::size_t wiped = 2;
    // Chosen values are told to the others, as the register does beside its rounds.
    bool announces = false;
    // A write takes its time: what comes meanwhile is played before and after its end, and a restart may find
    // it done or not.
    bool slow_disks = false;
    PlantedFaults faults;
};

// One path so far.
class WalkWorld {
public:
    explicit WalkWorld(const WalkOptions& options);
    ~WalkWorld();
    WalkWorld(const WalkWorld&) = delete;
    WalkWorld& operator=(const WalkWorld&) = delete;

    struct Choice {
        enum class Kind {
            begin,
            deliver,
            lose_request,
            lose_reply,
            end_write,
            wake,
            restart,
            restart_written,  // what was being written is found
            wipe
        } kind;
        std::size_t which = 0;  // operation, message or process
    };
    std::vector<Choice> choices() const;
    void take(const Choice& choice);
    // Worlds with the same fingerprint go on alike.
    std::uint64_t fingerprint() const;
    const std::vector<std::string>& complaints() const { return checker_.complaints(); }
    std::string name(const Choice& choice) const;

private:
    class Host;
    struct Process;
    struct Message;

    void boot(std::size_t process);
    void begin(std::size_t operation);
    void run_local();
    void deliver(const Message& message, bool reply_arrives);
    void end_write(std::size_t process);
    void put_on_disk(std::size_t process, const std::vector<wire::AcceptorRecord>& records);
    void begin_round(std::size_t process, std::size_t kind, const wire::Ballot& ballot);
    bool awaited(const Message& message) const;
    void remember(const Message& message, std::uint64_t reply);
    void look_at_acceptors();
    wire::Acceptor acceptor(std::size_t process) const;
    Acceptors acceptors(const std::vector<std::size_t>& processes) const;

    const WalkOptions& options_;
    WalkOptions::Bounds left_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::vector<Message> messages_;
    std::vector<bool> begun_;
    std::set<std::string> accepted_;  // ever, by whom
    std::vector<std::function<void()>> ended_;
    Checker checker_;
    std::int64_t identities_ = 0;
};

struct WalkResult {
    std::size_t worlds = 0;  // different ones
    std::size_t longest = 0;
    bool whole = true;      // false: it was ended by `most_worlds`
    std::string complaint;  // the first, with the path that leads to it; empty: none
};
WalkResult walk(const WalkOptions& options, std::size_t most_worlds);

}  // namespace whinledge::consensus::test
