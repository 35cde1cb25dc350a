// LDAPv3 for clients (RFC 4511): a listener whose operations go to pools.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "engine/pool.hpp"
#include "ldap/tls.hpp"
#include "ldap/transport.hpp"
#include "ldap_codec/routes.hpp"
#include "listen/admission.hpp"
#include "listen/listener.hpp"

namespace whinledge::ldap {

class LdapListener final : public Listener {
public:
    using Tcp = Door::Tcp;
    enum class Secured { no, ldaps, starttls };
    struct Options {
        std::string name;
        std::size_t index = 0;  // of the listener, in the routes
        Door::Listen listen;
        std::size_t places = 1000;  // connections at once
        // From the first byte of a message to its last; without operations.
        Millis head_timeout = 2500, idle_timeout = 300000;
        std::size_t operations = 1000;  // open on one connection, before no more is read
        Bounds bounds;
        Secured secured = Secured::no;
        bool tls_required = false;  // of starttls: nothing is done ahead of it
        std::shared_ptr<const TlsContext> tls;
    };
    // A pool as the listener needs it; its settings are those of its transport.
    struct PoolView {
        Pool* pool = nullptr;  // null: not in service
        const std::vector<std::string>* classes = nullptr;
        const PoolSettings* settings = nullptr;
        const std::vector<std::string>* identities_from = nullptr;  // pools whose binds it believes
    };
    struct Callbacks {
        std::function<std::shared_ptr<const Routes>()> routes;
        std::function<PoolView(std::string_view name)> pool;
        Admit admit;
        std::function<void()> drained;
        std::function<void(const std::string&)> log;
    };

    // Listens at once; throws boost::system::system_error where it can't.
    LdapListener(boost::asio::io_context& io, Options options, Callbacks callbacks, Door::Budget budget = {});

    Door& door() override { return door_; }
    using Listener::door;
    // Of a reload: what can change while it listens.
    void change(const Options& options);

private:
    class Client;
    class Operation;
    struct Identity;

    Options options_;
    Callbacks callbacks_;
    Door door_;
};

}  // namespace whinledge::ldap
