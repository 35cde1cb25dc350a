#include "ldap/transport.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <deque>
#include <utility>

#include "io/clock.hpp"
#include "ldap/server_connection.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;
using Steady = std::chrono::steady_clock;

namespace {

constexpr Millis kSweep = 100;

}  // namespace

LdapTransport::LdapTransport(asio::io_context& io, Log& log, ConnectionBudget* budget,
                             std::function<void(MachineId)> noticed, LetGo let_go)
    : io_(io),
      log_(log),
      budget_(budget),
      noticed_(std::move(noticed)),
      let_go_(std::move(let_go)),
      sweep_timer_(io) {
    sweep();
}
LdapTransport::~LdapTransport() {
    for (const ConnectionPtr& connection : all()) connection->close();
}

void LdapTransport::set_pool(PoolId pool, PoolSettings settings) {
    pools_[pool] = std::make_shared<const PoolSettings>(std::move(settings));
}
void LdapTransport::forget_pool(PoolId pool) {
    pools_.erase(pool);
    for (const ConnectionPtr& connection : all())
        if (connection->pool == pool && connection->way != LdapCall::Way::session) connection->retire();
}
const PoolSettings* LdapTransport::pool(PoolId pool) const {
    const auto at = pools_.find(pool);
    return at == pools_.end() ? nullptr : at->second.get();
}

std::vector<LdapTransport::ConnectionPtr> LdapTransport::all() const {
    std::vector<ConnectionPtr> all;
    for (const auto& [id, machine] : machines_)
        all.insert(all.end(), machine.connections.begin(), machine.connections.end());
    return all;
}

void LdapTransport::set_machine(MachineId id, const std::string& address, Millis started) {
    const auto endpoint = endpoint_of<Tcp>(address);
    Machine& machine = machines_[id];
    if (machine.life != 0 && machine.address == endpoint && machine.started == started) return;
    machine.address = endpoint;
    machine.started = started;
    machine.life = next_life_++;
    for (const ConnectionPtr& connection : std::vector(machine.connections)) connection->retire();
}
// What is open there runs to its end.
void LdapTransport::forget_machine(MachineId id) {
    const auto at = machines_.find(id);
    if (at == machines_.end()) return;
    const Machine machine = std::move(at->second);
    machines_.erase(at);
    for (const ConnectionPtr& connection : machine.connections) connection->retire();
}
void LdapTransport::close_idle(MachineId id) {
    const auto at = machines_.find(id);
    if (at == machines_.end()) return;
    for (const ConnectionPtr& connection : std::vector(at->second.connections))
        if (connection->resting()) connection->close_politely();
}
std::size_t LdapTransport::close_idle_of(PoolId pool, std::size_t count) {
    std::vector<ConnectionPtr> idle;
    for (const ConnectionPtr& connection : all())
        if (connection->pool == pool && connection->resting()) idle.push_back(connection);
    std::sort(idle.begin(), idle.end(),
              [](const auto& a, const auto& b) { return a->idle_since() < b->idle_since(); });
    if (idle.size() > count) idle.resize(count);
    for (const ConnectionPtr& connection : idle) connection->close_politely();
    return idle.size();
}

void LdapTransport::sweep() {
    sweep_timer_.after(span(kSweep), [this] { sweep(); });
    const auto now = Steady::now();
    for (const ConnectionPtr& connection : all()) connection->sweep(now);
}

void LdapTransport::removed(const Connection& connection) {
    const auto at = machines_.find(connection.machine);
    if (at == machines_.end()) return;
    std::erase_if(at->second.connections, [&](const ConnectionPtr& c) { return c.get() == &connection; });
}

LdapTransport::ConnectionPtr LdapTransport::made(Machine& machine, MachineId id, PoolId pool,
                                                 LdapCall::Way way, Session* session) {
    if (budget_ && !budget_->open(pool)) return nullptr;
    ConnectionPtr connection;
    try {
        connection =
            std::make_shared<Connection>(*this, pools_.at(pool), id, machine.life, pool, way, session);
    } catch (...) {  // what was granted is given back
        if (budget_) budget_->connected(pool), budget_->closed(pool, false);
        throw;
    }
    machine.connections.push_back(connection);
    const Tcp::endpoint address = machine.address;
    try {
        connection->connect(address);
    } catch (...) {
        connection->close();
        throw;
    }
    return connection;
}

// The one with the fewest operations, as long as one may have more.
LdapTransport::ConnectionPtr LdapTransport::shared_of(Machine& machine, PoolId pool, LdapCall::Way way) {
    const std::size_t most = way == LdapCall::Way::bind ? 1 : pools_.at(pool)->operations;
    ConnectionPtr least;
    for (const ConnectionPtr& c : machine.connections)
        if (c->pool == pool && c->way == way && c->life == machine.life && c->usable() && c->open() < most &&
            (!least || c->open() < least->open()))
            least = c;
    if (least && least->resting() && budget_ && !budget_->reuse(pool, pool)) return nullptr;
    return least;
}

LdapTransport::ConnectionPtr LdapTransport::own_of(Machine& machine, MachineId id, PoolId pool,
                                                   Session& session) {
    const auto at = session.connections_.find(id);
    if (at != session.connections_.end()) {
        const ConnectionPtr own = at->second;
        // Flow control is its client's alone: what waits behind it is its own.
        if (own->life == machine.life) return own;
        own->retire();
        session.connections_.erase(id);
    }
    if (session.home_ != 0) return nullptr;  // its state went with the connection, or is elsewhere
    const ConnectionPtr own = made(machine, id, pool, LdapCall::Way::session, &session);
    if (own) session.connections_[id] = own;
    return own;
}

Transport::Begun LdapTransport::start(const Attempt& attempt, Key key, Listener& listener) noexcept {
    try {
        const auto machine = machines_.find(attempt.machine);
        if (machine == machines_.end() || !pools_.contains(attempt.pool)) return {0, Outcome::superseded};
        auto call = std::static_pointer_cast<LdapCall>(attempt.call);
        const LdapCall::Outgoing out = call->outgoing();
        ConnectionPtr connection;
        if (out.way == LdapCall::Way::session) {
            if (out.session->home_ != 0 && out.session->home_ != attempt.machine)
                return {0, Outcome::superseded};
            connection = own_of(machine->second, attempt.machine, attempt.pool, *out.session);
            if (!connection && out.session->home_ != 0) return {0, Outcome::superseded};
        } else {
            connection = shared_of(machine->second, attempt.pool, out.way);
            if (!connection)
                connection = made(machine->second, attempt.machine, attempt.pool, out.way, nullptr);
        }
        if (!connection) return {0, Outcome::not_sent};
        const ExchangeId exchange = next_exchange_++;
        exchanges_[exchange] = {connection, 0};
        try {
            exchanges_[exchange].id = connection->take(exchange, key, listener, std::move(call));
        } catch (...) {
            exchanges_.erase(exchange);
            throw;
        }
        return {exchange, std::nullopt};
    } catch (const std::exception&) {  // out of descriptors or memory
        return {0, Outcome::not_sent};
    }
}

bool LdapTransport::stop(ExchangeId exchange) noexcept {
    const auto at = exchanges_.find(exchange);
    if (at == exchanges_.end()) return true;  // it has ended, and nobody knows how
    const Where where = std::move(at->second);
    exchanges_.erase(at);
    try {
        return where.connection->stop(where.id);
    } catch (const std::exception&) {  // no memory to abandon it
        return true;
    }
}

bool LdapTransport::written(ExchangeId exchange) const noexcept {
    const auto at = exchanges_.find(exchange);
    return at != exchanges_.end() && at->second.connection->written(at->second.id);
}

void LdapTransport::probe(PoolId, MachineId machine, Millis, Listener& listener) {
    listener.probe_ended(machine, Outcome::superseded);
}

// ---- Sessions
// ---------------------------------------------------------------------------------------------------

Session::~Session() {
    for (const auto& [machine, connection] : std::exchange(connections_, {})) connection->retire();
}
void Session::settle(MachineId home) {
    home_ = home;
    for (const auto& [machine, connection] : std::map(connections_))
        if (machine != home) {
            connections_.erase(machine);
            connection->retire();
        }
}

}  // namespace whinledge::ldap
