#include "app/directory.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <stdexcept>
#include <utility>

#include "ldap/listener.hpp"
#include "ldap/transport.hpp"

namespace whinledge {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kLongestPassword = 4096;

// The file's first line.
ldap::Bytes password_of(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw std::runtime_error(path + ": can't be read");
    ldap::Bytes text;
    text.reserve(kLongestPassword + 1);
    for (char c = 0; text.size() <= kLongestPassword && file.get(c) && c != '\n';) text.push_back(c);
    if (!text.empty() && text.back() == '\r') text.pop_back();
    // An empty one would bind as nobody, whatever the name (RFC 4513, 5.1.2).
    if (text.empty() || text.size() > kLongestPassword)
        throw std::runtime_error(path + ": holds no password of 1 to 4096 bytes in its first line");
    return text;
}

ldap::Bounds bounds_of(std::size_t message_limit) {
    ldap::Bounds bounds;
    bounds.message = message_limit;
    return bounds;
}

struct DirectoryPlan final : Directory::Plan {
    struct PoolPart {
        ldap::Bytes password;
        std::shared_ptr<const ldap::TlsContext> tls;
    };
    std::map<std::string, PoolPart> pools;
    std::map<std::string, std::shared_ptr<const ldap::TlsContext>> listeners;
    std::shared_ptr<const ldap::Routes> routes;
};

class LdapDirectory final : public Directory {
public:
    LdapDirectory(asio::io_context& io, Log& log, ConnectionBudget& budget,
                  std::function<void(MachineId)> noticed, LetGo let_go)
        : io_(io), transport_(io, log, &budget, std::move(noticed), std::move(let_go)) {}

    std::shared_ptr<const Plan> plan(const config::Services& services) const override {
        auto made = std::make_shared<DirectoryPlan>();
        std::string faults;
        const auto attempt = [&](const std::string& what, auto make) {
            try {
                make();
            } catch (const std::runtime_error& error) {
                faults.append(faults.empty() ? "" : "\n").append(what + ": " + error.what());
            }
        };
        using Side = ldap::TlsContext::Side;
        for (const config::Listener& l : services.listeners) {
            const config::LdapTls& tls = l.ldap.tls;
            if (l.profile != config::Listener::Profile::ldap || tls.mode == config::LdapTls::Mode::none)
                continue;
            attempt("listener " + l.name, [&] {
                made->listeners[l.name] = std::make_shared<const ldap::TlsContext>(
                    Side::server, ldap::TlsOptions{tls.certificate, tls.key, {}, tls.minimum});
            });
        }
        for (const config::Pool& p : services.pools) {
            if (!p.is_ldap) continue;
            DirectoryPlan::PoolPart& part = made->pools[p.name];
            attempt("pool " + p.name, [&] {
                if (p.ldap.proxied) part.password = password_of(p.ldap.password_file);
                if (p.ldap.tls.mode != config::LdapTls::Mode::none)
                    part.tls = std::make_shared<const ldap::TlsContext>(
                        Side::client, ldap::TlsOptions{{}, {}, p.ldap.tls.authority, p.ldap.tls.minimum});
            });
        }
        std::vector<std::string> names;
        for (const config::Listener& l : services.listeners) names.push_back(l.name);
        auto compiled = ldap::Routes::compile(services.ldap_routes, names);
        for (const ldap::Fault& fault : compiled.faults)
            faults.append(faults.empty() ? "" : "\n").append("ldap_route " + fault.route + ": " + fault.what);
        made->routes = std::make_shared<const ldap::Routes>(std::move(compiled.routes));
        if (!faults.empty()) throw std::runtime_error(faults);
        return made;
    }
    void adopt(const std::shared_ptr<const Plan>& plan) override {
        routes_ = static_cast<const DirectoryPlan&>(*plan).routes;
    }

    void set_pool(const Plan& plan, PoolId pool, const config::Pool& config) override {
        const auto& part = static_cast<const DirectoryPlan&>(plan).pools.at(config.name);
        using Secured = ldap::PoolSettings::Secured;
        using Mode = config::LdapTls::Mode;
        const config::LdapPool& l = config.ldap;
        ldap::PoolSettings to;
        to.identity =
            l.proxied ? ldap::PoolSettings::Identity::proxied : ldap::PoolSettings::Identity::connection;
        to.service_name = l.service;
        to.service_password = part.password;
        to.secured = l.tls.mode == Mode::ldaps      ? Secured::ldaps
                     : l.tls.mode == Mode::starttls ? Secured::starttls
                                                    : Secured::no;
        to.tls = part.tls;
        to.tls_name = l.tls.name;
        to.connect_timeout = config.connect_timeout;
        to.idle = config.idle_close;
        to.operations = l.operations;
        to.stall = l.stall;
        to.bounds = bounds_of(l.message_limit);
        transport_.set_pool(pool, std::move(to));
    }
    void forget_pool(PoolId pool) override { transport_.forget_pool(pool); }

    std::unique_ptr<Listener> open(const Plan& plan, const config::Listener& config, std::size_t index,
                                   const Door::Listen& listen, std::size_t places, Callbacks callbacks,
                                   Door::Budget budget) override {
        ldap::LdapListener::Options options = options_of(plan, config, index);
        options.listen = listen;
        options.places = places;
        ldap::LdapListener::Callbacks to;
        to.routes = [this] { return routes_; };
        to.pool = [this, pool = std::move(callbacks.pool)](std::string_view name) {
            const PoolView view = pool(name);
            ldap::LdapListener::PoolView found;
            const ldap::PoolSettings* const settings = view.pool ? transport_.pool(view.pool->id()) : nullptr;
            if (settings)
                found = {view.pool, &view.config->class_names, settings, &view.config->ldap.identities_from};
            return found;
        };
        to.admit = std::move(callbacks.admit);
        to.drained = std::move(callbacks.drained);
        to.log = std::move(callbacks.log);
        return std::make_unique<ldap::LdapListener>(io_, std::move(options), std::move(to),
                                                    std::move(budget));
    }
    void change(const Plan& plan, Listener& listener, const config::Listener& config,
                std::size_t index) override {
        static_cast<ldap::LdapListener&>(listener).change(options_of(plan, config, index));
    }
    Transport& transport() override { return transport_; }
    std::size_t close_idle_of(PoolId pool, std::size_t count) override {
        return transport_.close_idle_of(pool, count);
    }

private:
    static ldap::LdapListener::Options options_of(const Plan& plan, const config::Listener& l,
                                                  std::size_t index) {
        using Secured = ldap::LdapListener::Secured;
        using Mode = config::LdapTls::Mode;
        const auto& contexts = static_cast<const DirectoryPlan&>(plan).listeners;
        const auto tls = contexts.find(l.name);
        ldap::LdapListener::Options options;
        options.name = l.name;
        options.index = index;
        options.head_timeout = l.head_timeout;
        options.idle_timeout = l.idle_timeout;
        options.operations = l.ldap.operations;
        options.bounds = bounds_of(l.ldap.message_limit);
        options.secured = l.ldap.tls.mode == Mode::ldaps      ? Secured::ldaps
                          : l.ldap.tls.mode == Mode::starttls ? Secured::starttls
                                                              : Secured::no;
        options.tls_required = l.ldap.tls.required;
        if (tls != contexts.end()) options.tls = tls->second;
        return options;
    }

    asio::io_context& io_;
    ldap::LdapTransport transport_;
    std::shared_ptr<const ldap::Routes> routes_ = std::make_shared<const ldap::Routes>();
};

}  // namespace

std::unique_ptr<Directory> make_directory(asio::io_context& io, Log& log, ConnectionBudget& budget,
                                          std::function<void(MachineId)> noticed, LetGo let_go) {
    return std::make_unique<LdapDirectory>(io, log, budget, std::move(noticed), std::move(let_go));
}

}  // namespace whinledge
