// How a protocol reaches servers: one exchange for each attempt. Decides nothing but which of its connections
// an attempt goes on.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "engine/call.hpp"
#include "engine/types.hpp"

namespace whinledge {

using ExchangeId = std::uint64_t;
using MachineId = std::uint32_t;  // a server process's address, the same for all pools
using PoolId = std::uint32_t;

class Transport {
public:
    // Who started an exchange, and what it is to him.
    struct Key {
        RequestId request = 0;
        std::uint32_t attempt = 0;
    };
    // Told on the loop's thread, never from within start() or stop().
    class Listener {
    public:
        // Asked when a connection that had to be made has come up, just ahead of the request's first byte.
        // How long its server is given by now. 0: it may not begin any more (Pool::may_begin): nothing is
        // written, and the exchange ends as superseded.
        virtual Millis attempt_time_left(Key key) const = 0;
        // The final answer has begun and would be passed on as it comes. False: it is not wanted any more.
        virtual bool attempt_begun(Key key) = 0;
        // Once for each exchange that began and was not stopped. The answer is there where the outcome is
        // `completed` and it was not passed on as it came, and may be there where it is `errored`.
        virtual void attempt_ended(Key key, Outcome outcome, std::unique_ptr<Answer> answer) = 0;
        virtual void probe_ended(MachineId machine, Outcome outcome) = 0;

    protected:
        ~Listener() = default;
    };

    struct Attempt {
        PoolId pool = 0;
        MachineId machine = 0;
        std::shared_ptr<Call> call;
        Millis time_left = 0;
        bool careful = false;  // must not be given another's answer: only on connections shown to be clean
        std::string_view member{};  // the id of the pool's member there; valid while start() runs
    };
    // What can't even begin has its outcome at once: not_sent where connections, descriptors or memory of our
    // own are wanting, superseded for a machine not known.
    struct Begun {
        ExchangeId exchange = 0;
        std::optional<Outcome> ended{};
    };

    virtual ~Transport() = default;

    // `address`: IP:PORT. Connections to another address, or to a process that started earlier, are not used
    // again. Throws std::invalid_argument for what is no address.
    virtual void set_machine(MachineId machine, const std::string& address, Millis started) = 0;
    virtual void forget_machine(MachineId machine) = 0;
    virtual void close_idle(MachineId machine) = 0;

    // Does not throw.
    virtual Begun start(const Attempt& attempt, Key key, Listener& listener) noexcept = 0;
    // Stops waiting; the listener hears no more of it. False: the request was provably never written whole.
    virtual bool stop(ExchangeId exchange) noexcept = 0;
    // Whether the request's last byte has provably been written. False for an exchange that is not known.
    virtual bool written(ExchangeId exchange) const noexcept = 0;
    // Ends as probe_ended() within `timeout` milliseconds.
    virtual void probe(PoolId pool, MachineId machine, Millis timeout, Listener& listener) = 0;
};

}  // namespace whinledge
