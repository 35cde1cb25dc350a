// The engine: pools, what is due for them, the ids of requests, and the machines behind their members. One
// thread, one clock; without sockets. Whoever embeds it calls run_due() when due() has come.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "engine/due.hpp"
#include "engine/pool.hpp"
#include "engine/time_source.hpp"

namespace whinledge {

class Engine {
public:
    struct Host {
        // When run_due() is next wanted; infinity: not at all. Told whenever that moves to an earlier time.
        std::function<void(Millis)> wake_at;
        std::function<void(const std::string& line)> log;
    };
    // `time`: milliseconds since 1970, against which `started` of members is held.
    Engine(const TimeSource& time, Host host);
    ~Engine();
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    // Throws std::invalid_argument where the settings make no sense.
    Pool& add_pool(Pool::Options options, Transport& transport, Observer* observer, Pool::Outside outside);
    // Nothing new may come to it; it finishes what it has, and is gone when that has ended. Its members'
    // machines are forgotten as their attempts end.
    void remove_pool(Pool& pool);
    // Null: none of that name is in service.
    Pool* pool(std::string_view name) const;

    Millis now() const { return time_.now(); }
    // When the next thing is due; infinity: nothing is.
    Millis due() const { return due_.next(); }
    // Carries out all that is due by now.
    void run_due();

    // A machine says itself that it is about to end: as if it had been told to drain, by nobody's list. After
    // `hold` milliseconds it counts as started anew, unless its source says more by then.
    void notice(MachineId machine, Millis hold);

    std::size_t open() const;  // requests of all pools, those being removed too
    std::size_t timers() const { return due_.size(); }
    std::size_t machines() const { return machines_.size(); }
    std::size_t retired() const { return retired_.size(); }
    void hurry();

private:
    friend class Pool;

    // What is due. At one time attempts end before the module's timers fire, as on the simulator's wire.
    struct AttemptLimit {
        Pool* pool;
        RequestId request;
        std::uint32_t attempt;
    };
    struct ModuleTimer {
        Pool* pool;
        TimerToken token;
    };
    struct Overtime {
        PoolId pool;
        RequestId request;
    };
    struct Return {  // of one that gave notice
        MachineId machine;
    };
    struct Farewell {};  // of pools that are gone and have finished what they had
    using What = std::variant<AttemptLimit, ModuleTimer, Overtime, Return, Farewell>;

    // A server process's address, whoever lists it. Its connections, its drain and its slow start are counted
    // for it once.
    struct Machine {
        std::string address;
        Transport* transport = nullptr;  // the one that knows it
        // One of a pool's servers that lists it.
        struct Listing {
            Pool* pool;
            ServerId server;
            Phase phase;
            Millis started;
            bool drains = false;  // so its source says; false where it just does not list it any more
        };
        std::vector<Listing> listings;
        Millis started = 0;        // the latest that a source told of
        Millis drained_life = -1;  // who started by then is told to drain or to be gone; -1: nobody
    };

    void run_due_now();
    DueHandle add_due(Millis at, What what);
    void remove_due(DueHandle handle) { due_.remove(handle); }
    void told_due();

    MachineId machine(const std::string& address);
    void listed(MachineId id, Transport& transport, Pool& pool, ServerId server, Phase phase, Millis started);
    void unlisted(MachineId id, Transport& transport, Pool& pool, ServerId server);
    const Machine& known(MachineId id) const { return machines_.at(id); }
    std::size_t sharers(const Machine& machine) const;
    void left(MachineId id, Pool& pool, ServerId server);
    void came_back(MachineId machine);
    void tell(const Machine& machine, MachineId id);
    void tell_others(const Machine& machine, MachineId id, const Pool& teller);
    void forget(MachineId id);

    const TimeSource& time_;
    Host host_;
    Observer nobody_;
    std::vector<std::unique_ptr<Pool>> pools_, retired_;
    std::map<MachineId, Machine> machines_;
    std::unordered_map<std::string, MachineId> by_address_;
    MachineId next_machine_ = 1;
    PoolId next_pool_ = 1;
    RequestId next_request_ = 1;
    DueQueue<What> due_;
    Millis told_ = 0;  // the host, of the next thing due
};

}  // namespace whinledge
