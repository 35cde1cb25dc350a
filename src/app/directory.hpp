// LDAP's part of a daemon: its pools' transport, listeners and routes, made of the services file. It stands
// behind this interface so that a program that is built without LDAP links nothing of it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/services.hpp"
#include "engine/pool.hpp"
#include "io/connection_budget.hpp"
#include "io/log.hpp"
#include "io/open_socket.hpp"
#include "listen/admission.hpp"
#include "listen/listener.hpp"

namespace whinledge {

// All calls on the loop's thread.
class Directory {
public:
    // What a services file needs that can fail: files that are read, names that are compiled.
    class Plan {
    public:
        virtual ~Plan() = default;
    };
    struct PoolView {
        Pool* pool = nullptr;  // null: not in service
        const config::Pool* config = nullptr;
    };
    struct Callbacks {
        std::function<PoolView(std::string_view name)> pool;
        Admit admit;
        std::function<void()> drained;
        std::function<void(const std::string&)> log;
    };

    virtual ~Directory() = default;
    // Throws std::runtime_error with a line for each thing that is wrong; then nothing has changed.
    virtual std::shared_ptr<const Plan> plan(const config::Services& services) const = 0;
    // Its routes are in force from now on.
    virtual void adopt(const std::shared_ptr<const Plan>& plan) = 0;
    virtual void set_pool(const Plan& plan, PoolId pool, const config::Pool& config) = 0;
    virtual void forget_pool(PoolId pool) = 0;
    // Throws boost::system::system_error where it can't listen.
    virtual std::unique_ptr<Listener> open(const Plan& plan, const config::Listener& config,
                                           std::size_t index, const Door::Listen& listen, std::size_t places,
                                           Callbacks callbacks, Door::Budget budget) = 0;
    virtual void change(const Plan& plan, Listener& listener, const config::Listener& config,
                        std::size_t index) = 0;
    virtual Transport& transport() = 0;
    virtual std::size_t close_idle_of(PoolId pool, std::size_t count) = 0;
};

// `noticed`: a machine says itself that it is about to end. `let_go`: for a connection's descriptor, where
// none is left. Null: LDAP is not built in.
std::unique_ptr<Directory> make_directory(boost::asio::io_context& io, Log& log, ConnectionBudget& budget,
                                          std::function<void(MachineId)> noticed, LetGo let_go);

}  // namespace whinledge
