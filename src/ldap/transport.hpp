// LDAP to a pool's servers: connections with many operations open on each, or one client's own.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/transport.hpp"
#include "io/connection_budget.hpp"
#include "io/log.hpp"
#include "io/loop_timer.hpp"
#include "io/open_socket.hpp"
#include "ldap/call.hpp"
#include "ldap/tls.hpp"

namespace whinledge::ldap {

// How a pool speaks to its servers.
struct PoolSettings {
    // connection: each client has connections of its own, on which it binds as itself. proxied: connections
    // are bound as one service identity, and each operation says whose it is (RFC 4370).
    enum class Identity { connection, proxied } identity = Identity::connection;
    std::string service_name;  // of proxied
    Bytes service_password;
    enum class Secured { no, ldaps, starttls } secured = Secured::no;
    std::shared_ptr<const TlsContext> tls;
    std::string tls_name;  // whom a server's certificate has to name; empty: its address
    Millis connect_timeout = 250, idle = 60000;
    std::size_t operations = 16;  // at once on a connection of several clients
    Millis stall = 1000;          // a client that takes nothing may hold up others for so long
    Bounds bounds;
};

class LdapTransport final : public Transport {
public:
    class Connection;

    // `noticed`: a server says that it disconnects (RFC 4511, 4.4.1): it drains. `let_go`: for a connection's
    // descriptor, where none is left.
    LdapTransport(boost::asio::io_context& io, Log& log, ConnectionBudget* budget,
                  std::function<void(MachineId)> noticed, LetGo let_go);
    ~LdapTransport() override;

    void set_pool(PoolId pool, PoolSettings settings);
    void forget_pool(PoolId pool);
    const PoolSettings* pool(PoolId pool) const;

    void set_machine(MachineId machine, const std::string& address, Millis started) override;
    void forget_machine(MachineId machine) override;
    void close_idle(MachineId machine) override;
    Begun start(const Attempt& attempt, Key key, Listener& listener) noexcept override;
    bool stop(ExchangeId exchange) noexcept override;
    bool written(ExchangeId exchange) const noexcept override;
    // There are none: it ends as superseded, at once.
    void probe(PoolId pool, MachineId machine, Millis timeout, Listener& listener) override;
    // Of a pool's idle connections at least so many, those idle longest first; returns how many there were.
    std::size_t close_idle_of(PoolId pool, std::size_t count);

    struct Stats {
        std::size_t open = 0, opened = 0;
    };
    const Stats& stats() const { return stats_; }

private:
    friend class Session;
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Machine {
        boost::asio::ip::tcp::endpoint address;
        Millis started = 0;
        std::uint64_t life = 0;
        std::vector<ConnectionPtr> connections;
    };
    struct Where {
        ConnectionPtr connection;
        MessageId id = 0;
    };

    ConnectionPtr shared_of(Machine& machine, PoolId pool, LdapCall::Way way);
    ConnectionPtr own_of(Machine& machine, MachineId id, PoolId pool, Session& session);
    ConnectionPtr made(Machine& machine, MachineId id, PoolId pool, LdapCall::Way way, Session* session);
    void removed(const Connection& connection);
    void sweep();
    std::vector<ConnectionPtr> all() const;

    boost::asio::io_context& io_;
    Log& log_;
    ConnectionBudget* budget_;
    std::function<void(MachineId)> noticed_;
    const LetGo let_go_;
    std::map<MachineId, Machine> machines_;
    std::map<PoolId, std::shared_ptr<const PoolSettings>> pools_;
    std::unordered_map<ExchangeId, Where> exchanges_;
    ExchangeId next_exchange_ = 1;
    std::uint64_t next_life_ = 1;
    Stats stats_;
    LoopTimer sweep_timer_;
    std::array<char, 16 * 1024> scratch_{};
    const std::shared_ptr<LdapTransport*> self_ = std::make_shared<LdapTransport*>(this);
};

// What one client has at the servers of one pool: connections of its own, and where its state is. Its
// connections end with it, once what was left to run on them has ended.
class Session {
public:
    // `lost`: the connection that its state was on has ended; from the loop, never from within its calls.
    explicit Session(std::function<void()> lost) : lost_(std::move(lost)) {}
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    // The server that has its state: operations go there alone, on the connection that is there. 0: none has.
    MachineId home() const { return home_; }
    // What is bound or begun there from now on; other connections are closed.
    void settle(MachineId home);
    // There is no state any more.
    void unsettle() { home_ = 0; }
    // Where the operation with that exchange went, whose response came last.
    MachineId answered_by() const { return answered_by_; }
    bool has_connection(MachineId machine) const { return connections_.contains(machine); }

private:
    friend class LdapTransport;
    friend class LdapTransport::Connection;
    std::map<MachineId, std::shared_ptr<LdapTransport::Connection>> connections_;
    MachineId home_ = 0, answered_by_ = 0;
    std::function<void()> lost_;
};

}  // namespace whinledge::ldap
