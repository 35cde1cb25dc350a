// Who an LDAP client is: binds, TLS, and the sessions by which operations are tied to a server.
#include <algorithm>
#include <utility>

#include "io/clock.hpp"
#include "ldap/client.hpp"
#include "ldap_codec/dn.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::int32_t kInvalidDnSyntax = 34;

}  // namespace

void LdapListener::Client::bind(std::string_view bytes, const Message& message, const Request& request) {
    if (door_->shut() || leaving_) return answer(message, request, unavailable, "refused: the service ends");
    if (request.version != 3) {
        answer(message, request, protocol_error, "LDAPv3 alone");
        return violate("a bind of another version");
    }
    const auto dn = normal_dn(request.dn);
    if (!dn) return answer(message, request, kInvalidDnSyntax, "no name");
    const auto routes = owner_.callbacks_.routes();
    const Route* const route = routes->find({owner_.options_.index, Op::bind, *dn, {}});
    if (!route) return answer(message, request, unwilling_to_perform, "no route serves it");
    const PoolView view = owner_.callbacks_.pool(route->pool);
    if (!view.pool) return answer(message, request, unavailable, "refused: its directory is not in service");
    const bool as_itself = view.settings->identity == PoolSettings::Identity::connection;
    const bool goes_on = sasl_ == route->pool && !request.simple;
    if (goes_on && session_of(route->pool).home() == 0)
        return sasl_.clear(),
               answer(message, request, unavailable, "its directory server is gone: begin again");
    sasl_.clear();
    // Whoever it was, it is nobody until this has succeeded (RFC 4513, 4).
    identity_ = std::make_shared<Identity>();
    for (auto at = sessions_.begin(); at != sessions_.end();)
        at = at->first == route->pool && as_itself ? std::next(at) : sessions_.erase(at);
    if (!as_itself) {
        if (!request.simple)
            return answer(message, request, auth_method_not_supported, "simple binds alone, here");
        if (!request.dn.empty() && request.credentials.empty())  // RFC 4513, 5.1.2
            return answer(message, request, unwilling_to_perform, "a name without a password");
        if (request.credentials.empty()) return answer(message, request, success, "");
    }
    const auto op = std::make_shared<Operation>(std::static_pointer_cast<Client>(shared_from_this()), bytes,
                                                owner_.options_.bounds);
    op->way = as_itself ? LdapCall::Way::session : LdapCall::Way::bind;
    if (as_itself) {
        Session& session = session_of(route->pool);
        if (!goes_on) session.unsettle();
        op->session = sessions_[route->pool];
        op->bound = goes_on && session.home() != 0;
    }
    binding_ = true;
    take(op, routes, *route, view);
}

void LdapListener::Client::bound(Operation& op, const LdapAnswer* answer) {
    binding_ = false;
    const bool known = answer != nullptr;
    const std::int32_t code = known ? answer->code : static_cast<std::int32_t>(other);
    if (op.session && !known) {
        // How it ended nobody knows: nothing goes on where it may have been.
        sessions_.erase(op.pool_name);
        return;
    }
    if (op.session) op.session->settle(op.session->answered_by());
    if (code == sasl_bind_in_progress) {
        sasl_ = op.pool_name;
        return;
    }
    if (code != success) {
        if (op.session) op.session->unsettle();
        return;
    }
    auto identity = std::make_shared<Identity>();
    identity->pool = op.pool_name;
    // A name that nothing was shown for is nobody's (RFC 4513, 5.1.2).
    if (op.request.simple && !op.request.credentials.empty()) {
        identity->name = std::string(op.request.dn);
        identity->normal = normal_dn(op.request.dn).value_or("");
    }
    // Bound as nobody, it is as it was when it came.
    if (op.request.simple && op.request.credentials.empty()) {
        if (op.session) op.session->unsettle();
        identity->pool.clear();
    }
    identity_ = std::move(identity);
}

void LdapListener::Client::start_tls(const Message& message, bool more) {
    const auto respond = [&](std::int32_t code, std::string_view text) {
        say(message.id, result_tail(Op::extended_response, code, text, oid::start_tls));
    };
    if (owner_.options_.secured != Secured::starttls) return respond(protocol_error, "there is no TLS here");
    if (tls_ || !ops_.empty()) return respond(operations_error, "not now");  // RFC 4511, 4.14.1
    // What came ahead of TLS may be somebody else's.
    if (more) return violate("bytes behind StartTLS");
    respond(success, "");
    tls_.emplace(owner_.options_.tls);
}

Session& LdapListener::Client::session_of(const std::string& pool) {
    auto& session = sessions_[pool];
    if (!session)
        session = std::make_shared<Session>([weak = weak_from_this(), pool] {
            const auto self = std::static_pointer_cast<Client>(weak.lock());
            if (self && self->door_) self->lost(pool);
        });
    return *session;
}

void LdapListener::Client::lost(const std::string& pool) {
    const auto at = sessions_.find(pool);
    if (at == sessions_.end() || at->second->home() == 0 || at->second->has_connection(at->second->home()))
        return;
    at->second->unsettle();
    const PoolView view = owner_.callbacks_.pool(pool);
    const bool as_itself = !view.settings || view.settings->identity == PoolSettings::Identity::connection;
    // What it was bound as went with it, and can't be had back without its password.
    if (as_itself && identity_->pool == pool) leave_when_done("the connection to the directory is lost");
}

void LdapListener::Client::tied(Operation& op, const LdapAnswer* answer, bool passed) {
    if (op.tie == Tie::none || op.tie == Tie::alone) return;
    const PoolView view = owner_.callbacks_.pool(op.pool_name);
    const bool as_itself = view.settings && view.settings->identity == PoolSettings::Identity::connection;
    if (as_itself && !identity_->pool.empty()) return;  // it stays where it is bound
    // A paged search that went out as it came tells it by its last part.
    const bool over = answer ? answer->unties : !passed || unties_;
    if (!over && op.session->answered_by() != 0)
        op.session->settle(op.session->answered_by());
    else
        op.session->unsettle();
}

}  // namespace whinledge::ldap
