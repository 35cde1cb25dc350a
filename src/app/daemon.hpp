// Several services in one process, as a services file describes them: listeners, routes, pools and limits
// over one engine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "app/budgets.hpp"
#include "app/directory.hpp"
#include "app/fleet.hpp"
#include "config/services.hpp"
#include "engine/engine.hpp"
#include "http/front.hpp"
#include "http/transport.hpp"
#include "http/web.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"
#include "io/loop_timer.hpp"
#include "io/wake.hpp"
#include "limits/gate.hpp"
#include "route/table.hpp"

namespace whinledge {

class Daemon {
public:
    struct Options {
        route::RegexMaker regexes = nullptr;  // null: routes with expressions are refused
        Observer* observer = nullptr;
        Log* log = nullptr;  // null: its own, on standard error
        // A server that gave notice of its end gets nothing new for so long, and counts as started anew then.
        Millis notice_hold = 5000;
        const TimeSource* clients = &Door::steady();  // the clock of the limits of HTTP clients' connections
    };
    // Listens when it returns. Throws std::runtime_error with a line for each thing that is wrong: a route,
    // an address that can't be listened on, guarantees that don't fit.
    Daemon(boost::asio::io_context& io, config::Services services, Options options);
    ~Daemon();

    // Takes the services whole, or throws as above, also during a drain, and nothing has changed. Pools that
    // did not change keep their connections and their history; one that is gone finishes what it has; a
    // request keeps the routes that it began with.
    void reload(config::Services services);

    // Finishes what it holds and what still comes, for as long as the file says; then calls `done`.
    void drain(std::function<void()> done);
    // During a drain: takes nothing more, and what is without an answer fails now.
    void hurry();

    Engine& engine() { return engine_; }
    Pool* pool(std::string_view name) const { return engine_.pool(name); }
    Door::Tcp::endpoint address(const std::string& listener) const;
    std::size_t clients() const;
    const Descriptors& descriptors() const { return descriptors_; }
    const limits::Gate& gate() const { return gate_; }
    const Fleet* fleet() const { return fleet_.get(); }  // null: the file has none

private:
    class Grant;
    // A pool in service, with what belongs to it.
    struct Service {
        config::Pool config;
        Pool* pool = nullptr;
        std::unique_ptr<MemberSource> source;
        std::unique_ptr<Site> site;  // what the platform's profile reads its classes by
        limits::Member member;
    };
    struct Entrance {
        config::Listener config;
        std::size_t index = 0;
        std::unique_ptr<Listener> listener;
        limits::Member member;
        bool drained = false;
    };
    using Bounds = limits::Gate::Members;
    using Services = std::map<std::string, Service, std::less<>>;
    using Entrances = std::map<std::string, std::unique_ptr<Entrance>, std::less<>>;

    void apply(config::Services services);
    std::unique_ptr<Entrance> open(const config::Listener& listener, std::size_t index,
                                   std::size_t descriptors, const Directory::Plan* plan);
    std::unique_ptr<Listener> open_ldap(Entrance& entrance, const Door::Listen& listen, std::size_t places,
                                        const Door::Budget& budget, const Directory::Plan& plan);
    Door::Listen listen_at(const Door::Tcp::endpoint& address) const;
    Service start(const config::Pool& pool, const Directory::Plan* plan);
    void set_pool(const Service& service, const Directory::Plan* plan);
    void remove(Service& service);
    std::unique_ptr<MemberSource> source_of(const config::Pool& pool, Pool& of);
    Bounds bound(const config::Services& services, const Services& fresh);
    // What a change of the fleet opens: another one, or changes to the one there is.
    struct FleetChange {
        std::unique_ptr<Fleet> fresh;
        std::optional<Fleet::Change> change;
    };
    FleetChange prepare_fleet(const config::Services& services);
    void adopt_fleet(FleetChange change, bool wanted);
    void finish();
    void retire(std::unique_ptr<Entrance> entrance);
    void drained(Entrance& entrance);
    Admission admit(const Entrance& entrance, const std::string& pool, const std::string& request_class);
    std::optional<Front::Place> place(const Entrance& entrance,
                                      const boost::beast::http::request_header<>& head);
    std::uint64_t random();
    std::size_t for_connections(std::size_t told) const;
    bool let_go();

    const std::size_t allowed_;  // descriptors, by the process's own limit as it starts
    boost::asio::io_context& io_;
    Options options_;
    Log own_log_;
    Log& log_;
    Clock clock_;
    config::Services config_;
    Descriptors descriptors_;
    limits::Gate gate_;
    Wake wake_;
    HttpTransport transport_;
    std::unique_ptr<Directory> directory_;  // null: LDAP is not built in
    Engine engine_;
    std::uint64_t random_state_;
    std::shared_ptr<const Routing> routing_;
    std::shared_ptr<const Directory::Plan> plan_;  // null without directory_
    Services services_;
    Entrances entrances_;
    std::list<std::unique_ptr<Entrance>> leaving_;
    std::unique_ptr<Fleet> fleet_;
    LoopTimer drain_timer_;
    std::function<void()> drained_;
    bool draining_ = false;
};

}  // namespace whinledge
