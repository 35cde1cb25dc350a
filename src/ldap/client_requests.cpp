// Reading an LDAP client: its messages, the operations made of them, and those it takes back.
#include <algorithm>
#include <utility>

#include "io/clock.hpp"
#include "ldap/client.hpp"
#include "ldap_codec/dn.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kMostAtOnce = 64;  // messages of one client in a turn
constexpr std::int32_t kInvalidDnSyntax = 34;

}  // namespace

void LdapListener::Client::welcome() {
    if (owner_.options_.secured == Secured::ldaps) tls_.emplace(owner_.options_.tls);
    watch();
    wait_readable();
    door_->rested();
}

bool LdapListener::Client::spare() const {
    return ops_.empty() && pending_.empty() && out_.empty() && unread() != error_code();
}

void LdapListener::Client::out_of_time() {
    if (waits_ == Waits::writing) return close();
    part_with(unavailable, waits_ == Waits::idle ? "idle for too long" : "a message that does not end");
}

void LdapListener::Client::last_chance() {
    const auto self = shared_from_this();
    for (int reads = 0; door_ && !finishing() && !blocked() && reads < kMostReads && !unread(); ++reads) {
        error_code error;
        read(error);
        if (error) break;
    }
    leave_when_done("the service ends");
}

bool LdapListener::Client::blocked() const {
    return binding_ || finish_due_ || ops_.size() >= owner_.options_.operations || full();
}

void LdapListener::Client::hold_up() {
    held_ = true;
    watch_end();
}

void LdapListener::Client::readable(error_code) {
    if (blocked()) return hold_up();
    error_code error;
    read(error);
    if (door_ && !error && !finishing()) go_on();
}

void LdapListener::Client::unblock() {
    if (!door_ || finishing() || blocked() || again_) return;
    if (pending_.empty() && !held_) return;
    again_ = true;
    asio::post(door_->io(), [self = shared_from_this(), this] {
        again_ = false;
        if (!door_ || finishing()) return;
        try {
            parse();
            if (door_ && !finishing() && std::exchange(held_, false)) go_on();
        } catch (const std::exception&) {
            broken();
        }
    });
}

void LdapListener::Client::read(error_code& error) {
    const std::string_view bytes = receive(error);
    if (error == asio::error::would_block) {
        error = {};
        return;
    }
    if (error) return close();
    bool sound = true;
    if (!tls_) {
        pending_.append(bytes);
    } else {
        sound = tls_->take(bytes, pending_);
        tls_->drain(out_);
        write_soon();
    }
    // It may have been a password, and the buffer is everybody's.
    ::explicit_bzero(const_cast<char*>(bytes.data()), bytes.size());
    if (!sound) {
        owner_.callbacks_.log("TLS of a client: " + tls_->why());
        return write(), close();
    }
    parse();
    if (door_ && tls_ && tls_->ended()) close();
}

void LdapListener::Client::parse() {
    const auto self = shared_from_this();
    std::size_t count = 0;
    while (door_ && !finishing() && !blocked() && !pending_.empty()) {
        if (count++ >= kMostAtOnce) return unblock();
        const Framed framed = frame(pending_, owner_.options_.bounds.message);
        if (framed.found == Framed::Found::fault) return violate(framed.fault);
        if (framed.found == Framed::Found::more) break;
        if (!handle(std::string_view(pending_).substr(0, framed.size))) break;
        if (!door_) return;
        if (pending_.size() < framed.size) return;  // it was dropped meanwhile
        ::explicit_bzero(pending_.data(), framed.size);
        pending_.erase(0, framed.size);
    }
    if (count > 0) waits_ = Waits::nothing;  // its next message has its own time
    if (door_ && !finishing()) watch();
}

bool LdapListener::Client::handle(std::string_view bytes) {
    const Bounds& bounds = owner_.options_.bounds;
    const Read read = read_message(bytes, bounds);
    if (const auto* const fault = std::get_if<const char*>(&read)) return violate(*fault), true;
    const Message& message = std::get<Message>(read);
    const ReadRequest asked = read_request(message, bounds);
    if (const auto* const fault = std::get_if<const char*>(&asked)) return violate(*fault), true;
    const Request& request = std::get<Request>(asked);
    if (ops_.contains(message.id)) return violate("a message id that is in use"), true;
    if (request.op == Op::unbind) return close(), true;
    if (request.op == Op::abandon) return abandon(request.target), true;
    const bool starts_tls = request.op == Op::extended && request.oid == oid::start_tls;
    if (starts_tls) return start_tls(message, bytes.size() < pending_.size()), true;
    if (owner_.options_.tls_required && !tls_)
        return answer(message, request, confidentiality_required, "StartTLS comes first"), true;
    if (request.op == Op::extended && request.oid == oid::cancel) return cancel(message, request), true;
    if (request.op == Op::bind) {
        // What is open is still from whom it came from (RFC 4511, 4.2.1). What would never end, ends.
        end_endless();
        if (!ops_.empty()) return binding_ = true, false;
        bind(bytes, message, request);
        return true;
    }
    operate(bytes, message, request);
    return true;
}

void LdapListener::Client::answer(const Message& message, const Request& request, std::int32_t code,
                                  std::string_view text) {
    say(message.id, result_tail(*response_of(request.op), code, text));
}

void LdapListener::Client::operate(std::string_view bytes, const Message& message, const Request& request) {
    if (door_->shut() || leaving_) return answer(message, request, unavailable, "refused: the service ends");
    const auto dn = request.op == Op::extended ? identity_->normal : normal_dn(request.dn);
    if (!dn) return answer(message, request, kInvalidDnSyntax, "no name");
    const auto routes = owner_.callbacks_.routes();
    const Route* const route = routes->find({owner_.options_.index, request.op, *dn, identity_->normal});
    if (!route)
        return answer(message, request, request.op == Op::search ? no_such_object : unwilling_to_perform,
                      "no route serves it");
    const PoolView view = owner_.callbacks_.pool(route->pool);
    if (!view.pool) return answer(message, request, unavailable, "refused: its directory is not in service");
    const bool as_itself = view.settings->identity == PoolSettings::Identity::connection;
    if (const char* const why = strange(view, route->pool, as_itself))
        return answer(message, request, unwilling_to_perform, why);
    if (!as_itself && message.control(oid::proxied))
        return answer(message, request, authorization_denied, "whose it is, is told for it");
    const auto op = std::make_shared<Operation>(std::static_pointer_cast<Client>(shared_from_this()), bytes,
                                                owner_.options_.bounds);
    op->tie = tie_of(message, request);
    op->way = as_itself || op->tie != Tie::none ? LdapCall::Way::session : LdapCall::Way::shared;
    if (op->way == LdapCall::Way::session) {
        session_of(route->pool);
        op->session = sessions_[route->pool];
    }
    if (op->tie == Tie::continues && op->session->home() == 0)
        return answer(message, request, unavailable, "what this goes on with is gone: begin again");
    op->bound = op->session && op->session->home() != 0;
    if (!as_itself) op->proxied = proxied_tail(message, identity_->name);
    take(op, routes, *route, view);
}

const char* LdapListener::Client::strange(const PoolView& view, const std::string& pool,
                                          bool as_itself) const {
    if (identity_->pool.empty() || identity_->pool == pool) return nullptr;
    if (as_itself) return "bound at another directory, which this one does not know of";
    const auto& believed = *view.identities_from;
    const bool known = std::find(believed.begin(), believed.end(), identity_->pool) != believed.end();
    return known ? nullptr : "bound at a directory whose word does not count here";
}

void LdapListener::Client::take(const std::shared_ptr<Operation>& op,
                                const std::shared_ptr<const Routes>& routes, const Route& route,
                                const PoolView& view) {
    op->routes = routes;
    op->route = &route;
    op->pool_name = route.pool;
    if (owner_.callbacks_.admit) {
        Admission admission = owner_.callbacks_.admit(route.pool, class_of(op->request, route.handling));
        if (!admission.grant)
            return binding_ = false, result(*op, busy, refusal_text(admission.retry_in) + ": over a limit");
        op->grant = std::move(admission.grant);
    }
    const auto at =
        std::find(view.classes->begin(), view.classes->end(), class_of(op->request, route.handling));
    Arrival arrival;
    if (at != view.classes->end())
        arrival.class_index = static_cast<std::uint32_t>(at - view.classes->begin());
    const auto& classes = view.pool->settings().classes;
    op->unsafe =
        arrival.class_index >= classes.size() || classes[arrival.class_index].effect != Effect::repeatable;
    arrival.time_left = route.handling.timeout;
    if (op->request.time_limit > 0)
        arrival.time_left = std::min<Millis>(arrival.time_left, 1000.0 * op->request.time_limit);
    op->deadline = Door::steady().now() + arrival.time_left;
    if (op->bound) arrival.bound_to = op->session->home();
    if (ops_.empty()) door_->places().wakes(place, door_->now());
    door_->places().asked(place, false, door_->now());
    ops_[op->id] = op;
    watch();
    view.pool->take(op, arrival);
    op->arriving = false;
}

void LdapListener::Client::end_endless() {
    for (auto at = ops_.begin(); at != ops_.end();) {
        const auto op = at->second;
        if (op->tie != Tie::alone) {
            ++at;
            continue;
        }
        at = ops_.erase(at);
        result(*op, canceled, "a bind ends it");
        forget(op);
    }
}

void LdapListener::Client::forget(const std::shared_ptr<Operation>& op) {
    Pool* const pool = op->pool;
    const RequestId request = op->Call::id;
    op->leave();
    if (pool) pool->gone(request, op->unsafe && op->sent());
}

void LdapListener::Client::abandon(MessageId target) {
    const auto at = ops_.find(target);
    if (at == ops_.end() || at->second->request.op == Op::bind) return;
    const auto op = at->second;
    ops_.erase(at);
    forget(op);
    counted();
}

void LdapListener::Client::cancel(const Message& message, const Request& request) {
    const auto at = ops_.find(request.target);
    if (at == ops_.end()) return answer(message, request, no_such_operation, "");
    const auto op = at->second;
    if (op->unsafe && op->sent()) return answer(message, request, cannot_cancel, "it may have run");
    ops_.erase(at);
    result(*op, canceled, "");
    forget(op);
    answer(message, request, success, "");
    counted();
}

}  // namespace whinledge::ldap
