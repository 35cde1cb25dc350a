#include "http/upstream.hpp"

#include <algorithm>
#include <exception>
#include <limits>
#include <optional>
#include <utility>

#include "http/server_connection.hpp"
#include "io/clock.hpp"

namespace whinledge {

namespace asio = boost::asio;

namespace {

constexpr Millis kSweep = 250;  // between looks for what has been idle for too long
constexpr Millis kLeastSweep = 10;

}  // namespace

Upstream::Upstream(asio::io_context& io, Log& log, Limits limits, ConnectionBudget* budget, LetGo let_go)
    : io_(io), log_(log), limits_(limits), budget_(budget), let_go_(std::move(let_go)), sweep_timer_(io) {
    sweep();
}

Upstream::~Upstream() {
    for (auto& [id, server] : servers_) drop_idle(server);
    while (!exchanges_.empty()) stop(exchanges_.begin()->first);
}

void Upstream::set_server(ServerId id, const Tcp::endpoint& address, Millis started) {
    Server& server = servers_[id];
    if (server.life != 0 && server.address == address && server.started == started) return;
    drop_idle(server);
    server.address = address;
    server.started = started;
    server.life = next_life_++;
    server.open = 0;
    server.strays = false;
    server.breaks_until = {};
}

void Upstream::forget_server(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return;
    drop_idle(at->second);
    servers_.erase(at);
}

void Upstream::close_idle(ServerId id) {
    if (const auto at = servers_.find(id); at != servers_.end()) drop_idle(at->second);
}

void Upstream::drop_idle(Server& server) {
    for (const ConnectionPtr& connection : std::exchange(server.idle, {})) connection->close();
}

// The one used last of those that have been quiet for long enough: what belongs to nobody may still be coming
// right behind the answer.
Upstream::ConnectionPtr Upstream::take_idle(Server& server, const Request& request) {
    const auto now = std::chrono::steady_clock::now();
    if (request.careful && (server.strays || now < server.breaks_until)) return nullptr;
    const Millis settle = server.strays || request.careful ? limits_.settle_careful : limits_.settle;
    const auto settled = now - span(settle);
    for (std::size_t i = server.idle.size(); i-- > 0; i = std::min(i, server.idle.size())) {
        const ConnectionPtr connection = server.idle[i];
        if (connection->idle_since() > settled) continue;
        // Off the list first: the budget may close what stands there to make room.
        server.idle.erase(server.idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (budget_ && !budget_->reuse(connection->pool, request.pool)) {
            i = std::min(i, server.idle.size());
            server.idle.insert(server.idle.begin() + static_cast<std::ptrdiff_t>(i), connection);
            continue;
        }
        connection->wake(request.pool);
        if (connection->reusable(now)) return connection;
        connection->discard();
    }
    return nullptr;
}

void Upstream::stray(const Connection& connection) {
    const auto server = servers_.find(connection.server);
    if (server != servers_.end() && server->second.life == connection.life) server->second.strays = true;
}

// The one used last is taken first: what has idled for longer is no better than the one that broke.
void Upstream::link_lost(const Connection& connection) {
    const auto at = servers_.find(connection.server);
    if (at == servers_.end() || at->second.life != connection.life) return;
    at->second.breaks_until = std::chrono::steady_clock::now() + span(limits_.doubt);
    std::vector<ConnectionPtr> older;
    for (const ConnectionPtr& idle : at->second.idle)
        if (idle->idle_since() <= connection.idle_since()) older.push_back(idle);
    for (const ConnectionPtr& idle : older) idle->close();
}

// Closes what has been idle for too long.
void Upstream::sweep() {
    const auto now = std::chrono::steady_clock::now();
    std::vector<ConnectionPtr> over;
    for (const auto& [id, server] : servers_)
        for (const ConnectionPtr& connection : server.idle)
            if (connection->idled_out(now)) over.push_back(connection);
    for (const ConnectionPtr& connection : over) connection->close();
    std::vector<ConnectionPtr> stalled;
    for (const auto& [id, connection] : exchanges_)
        if (connection->stalled(now)) stalled.push_back(connection);
    for (const ConnectionPtr& connection : stalled) connection->stall();
    sweep_timer_.after(span(until_next_sweep()), [this] { sweep(); });
}

// An answer whose time is over is not waited for until the next regular one.
Millis Upstream::until_next_sweep() const {
    const auto now = std::chrono::steady_clock::now();
    Millis wait = kSweep;
    for (const auto& [id, connection] : exchanges_)
        if (const auto overdue = connection->until_overdue(now))
            wait = std::min(wait, std::max(*overdue, kLeastSweep));
    return wait;
}

// At the bound, the connection that has been idle longest makes room.
bool Upstream::make_room() {
    if (stats_.open < limits_.connections) return true;
    ConnectionPtr oldest;
    for (const auto& [id, server] : servers_)
        if (!server.idle.empty() && (!oldest || server.idle.front()->idle_since() < oldest->idle_since()))
            oldest = server.idle.front();
    if (oldest) oldest->close();
    return oldest != nullptr;
}

void Upstream::limit_connections(PoolId pool, std::size_t each_server) {
    const std::size_t before = limit_of(pool);
    if (each_server == 0)
        limit_at_server_.erase(pool);
    else
        limit_at_server_[pool] = each_server;
    if (limit_of(pool) >= before) return;
    for (auto& [id, server] : servers_)
        while (server.open > each_server && !server.idle.empty() && server.idle.front()->pool == pool)
            shed_idle(server);
}

std::size_t Upstream::limit_of(PoolId pool) const {
    const auto at = limit_at_server_.find(pool);
    return at == limit_at_server_.end() ? std::numeric_limits<std::size_t>::max() : at->second;
}

// Of the connections to a server that is at its limit, the one that has been idle longest makes room: it may
// be too fresh for a careful request, or doubted.
bool Upstream::make_room_at(Server& server, PoolId pool) {
    const std::size_t limit = limit_of(pool);
    while (server.open >= limit && shed_idle(server)) continue;
    if (server.open < limit) return true;
    ++stats_.over_limit;
    return false;
}

bool Upstream::shed_idle(Server& server) {
    if (server.idle.empty()) return false;
    const ConnectionPtr oldest = server.idle.front();
    oldest->close();
    ++stats_.shed;
    return true;
}

Upstream::Begun Upstream::start(ServerId id, Request request, Done done) {
    const auto server = servers_.find(id);
    if (server == servers_.end()) return {0, Outcome::superseded};
    const ExchangeId exchange = next_exchange_++;
    ConnectionPtr connection;
    try {
        connection = take_idle(server->second, request);
        const bool fresh = !connection;
        if (fresh && !make_room_at(server->second, request.pool)) return {0, Outcome::superseded};
        if (fresh && !make_room()) return {0, Outcome::not_sent};
        if (fresh && budget_ && !budget_->open(request.pool)) return {0, Outcome::not_sent};
        if (fresh) {
            connection = made(id, server->second.life, request.pool);
            stats_.most_at_server = std::max(stats_.most_at_server, ++server->second.open);
        }
        exchanges_[exchange] = connection;
        connection->carry(exchange, std::move(request), std::move(done));
        if (fresh) connection->connect(server->second.address);
    } catch (const std::exception& error) {  // out of descriptors or memory
        exchanges_.erase(exchange);
        return {0, connection && connection->stop() ? Outcome::severed : Outcome::not_sent};
    }
    return {exchange, std::nullopt};
}

bool Upstream::stop(ExchangeId id) {
    const auto at = exchanges_.find(id);
    if (at == exchanges_.end()) return true;  // it has ended, and nobody knows how
    const ConnectionPtr connection = at->second;
    exchanges_.erase(at);
    return connection->stop();
}

bool Upstream::written(ExchangeId id) const {
    const auto at = exchanges_.find(id);
    return at != exchanges_.end() && at->second->written();
}

void Upstream::ended(ExchangeId exchange, const Done& done, End end) {
    exchanges_.erase(exchange);
    done(std::move(end));
}

// What the budget has granted is given back if there is no memory for it.
Upstream::ConnectionPtr Upstream::made(ServerId server, std::uint64_t life, PoolId pool) {
    try {
        return std::make_shared<Connection>(*this, server, life, pool);
    } catch (...) {
        if (budget_) budget_->connected(pool), budget_->closed(pool, false);
        throw;
    }
}

std::size_t Upstream::close_idle_of(PoolId pool, std::size_t count) {
    std::vector<ConnectionPtr> idle;
    for (const auto& [id, server] : servers_)
        for (const ConnectionPtr& connection : server.idle)
            if (connection->pool == pool) idle.push_back(connection);
    std::sort(idle.begin(), idle.end(), [](const ConnectionPtr& a, const ConnectionPtr& b) {
        return a->idle_since() < b->idle_since();
    });
    if (idle.size() > count) idle.resize(count);
    for (const ConnectionPtr& connection : idle) connection->close();
    return idle.size();
}

void Upstream::reuse(const ConnectionPtr& connection) {
    const auto server = servers_.find(connection->server);
    if (server == servers_.end() || server->second.life != connection->life) return connection->close();
    if (server->second.open > limit_of(connection->pool)) {
        ++stats_.shed;
        return connection->close();
    }
    if (budget_ && !budget_->rest(connection->pool)) return connection->close();
    server->second.idle.push_back(connection);
    connection->rest();
}

void Upstream::remove(const Connection& connection) {
    const auto server = servers_.find(connection.server);
    if (server == servers_.end()) return;
    if (server->second.life == connection.life) --server->second.open;
    std::erase_if(server->second.idle, [&](const ConnectionPtr& c) { return c.get() == &connection; });
}

}  // namespace whinledge
