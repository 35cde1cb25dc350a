#include "ldap/listener.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

#include "io/clock.hpp"
#include "ldap_codec/dn.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kMostOut = 64 << 10;  // bytes for a client, before whoever sends them waits
constexpr std::size_t kMostAtOnce = 64;     // messages of one client in a turn
constexpr Millis kLongestWrite = 30000;     // without the client's taking a byte
constexpr std::int32_t kInvalidDnSyntax = 34;

// Notice of Disconnection, unavailable, for when there is no memory to make one.
constexpr std::string_view kLastNotice(
    "\x30\x24\x02\x01\x00\x78\x1f\x0a\x01\x34\x04\x00\x04\x00\x8a\x16"
    "1.3.6.1.4.1.1466.20036",
    38);

std::string harmless(Millis retry_in) {
    std::string text = "refused: trying again is harmless";
    if (retry_in > 0) text += ", after " + std::to_string(std::lround(std::ceil(retry_in))) + " ms";
    return text;
}

}  // namespace

// Whom a client is bound as; its operations keep the one that they began with.
struct LdapListener::Identity {
    std::string name;  // as it was bound; empty: anonymous
    std::string normal;
    std::string pool;  // that has said so
};

// ---- An operation
// ----------------------------------------------------------------------------------------------

class LdapListener::Operation final : public LdapCall, public std::enable_shared_from_this<Operation> {
public:
    Operation(std::shared_ptr<Client> client, std::string_view whole, const Bounds& bounds)
        : whole_(bytes(whole)),
          message(std::get<Message>(read_message(whole_, bounds))),
          request(std::get<Request>(read_request(message, bounds))),
          id(message.id),
          client_(std::move(client)) {}

private:
    Bytes whole_;  // what the views below point into

public:
    const Message message;
    const Request request;
    const MessageId id;
    std::shared_ptr<const Routes> routes;  // keeps `route`
    const Route* route = nullptr;
    std::string pool_name;
    Way way = Way::shared;
    std::shared_ptr<Session> session;
    Tie tie = Tie::none;
    Bytes proxied;         // the request as it goes out, where that is not as it came
    bool bound = false;    // to its session's home
    bool unsafe = false;   // its effect may not happen twice
    bool arriving = true;  // has just been read
    Millis deadline = 0;   // on the steady clock
    std::unique_ptr<Grant> grant;

    Outgoing outgoing() const override {
        sent_ = true;
        return {request.op, proxied.empty() ? message.tail : std::string_view(proxied), way, session,
                &request};
    }
    Meaning meaning(std::int32_t code, bool first) const override {
        return meaning_of(code, first, route->handling);
    }
    std::size_t buffer() const override { return route->handling.buffer; }
    bool at_once() const override { return tie == Tie::alone; }
    Millis idle() const override { return tie == Tie::alone ? 0 : route->handling.stream_idle; }
    // One that does not begin right on arrival looks first for its client's end.
    bool may_start(std::uint32_t attempt) const noexcept override;
    // It may be at a server.
    bool sent() const { return sent_; }

    bool part(const Message& part) noexcept override;
    bool full() const noexcept override;
    void on_room(std::function<void()> room) override;
    void stalled() noexcept override;
    void served(std::unique_ptr<Answer> answer) noexcept override;
    void refused(Millis retry_in) noexcept override;
    void failed(Failure why) noexcept override;
    void errored(std::unique_ptr<Answer> answer) noexcept override {
        last_.reset(static_cast<LdapAnswer*>(answer.release()));
    }

    // Its client has gone, or wants it no more: what comes now is for nobody.
    void leave() noexcept { client_.reset(); }

private:
    template <class Say>
    void end(Say say) noexcept;

    std::shared_ptr<Client> client_;
    std::unique_ptr<LdapAnswer> last_;  // a server's answer that counted as a failed attempt
    mutable bool sent_ = false;
};

// ---- A connection
// ----------------------------------------------------------------------------------------------

class LdapListener::Client final : public Door::Guest {
public:
    Client(LdapListener& owner, Places::Id place, Tcp::socket socket)
        : Guest(owner.door_, place, std::move(socket)), owner_(owner) {}

    void welcome() override {
        if (owner_.options_.secured == Secured::ldaps) tls_.emplace(owner_.options_.tls);
        watch();
        wait_readable();
        door_->rested();
    }
    bool spare() const override {
        return ops_.empty() && pending_.empty() && out_.empty() && unread() != error_code();
    }
    void out_of_time() override {
        if (waits_ == Waits::writing) return close();
        part_with(unavailable, waits_ == Waits::idle ? "idle for too long" : "a message that does not end");
    }
    void last_chance() override {
        const auto self = shared_from_this();
        for (int reads = 0; door_ && !finishing() && !blocked() && reads < kMostReads && !unread(); ++reads) {
            error_code error;
            read(error);
            if (error) break;
        }
        leave_when_done("the service ends");
    }

    // ---- Answers

    void say(MessageId id, std::string_view tail) {
        if (!door_ || finishing()) return;
        append(with_id(id, tail));
        write_soon();
    }
    void result(const Operation& op, std::int32_t code, std::string_view text) {
        say(op.id, result_tail(*response_of(op.request.op), code, text));
    }
    bool full() const { return out_.size() - out_at_ > kMostOut; }
    void on_room(std::function<void()> room) { rooms_.push_back(std::move(room)); }

    // An operation has its end; what it was for a bind or what is tied to a server is drawn from it here.
    // `passed`: its response went out as it came.
    void done(Operation& op, const LdapAnswer* answer, bool passed = false) {
        const auto at = ops_.find(op.id);
        if (at == ops_.end()) return;
        const auto keep = at->second;
        ops_.erase(at);
        if (op.request.op == Op::bind) bound(op, answer);
        if (op.session && op.request.op != Op::bind) tied(op, answer, passed);
        counted();
    }
    void cut_off() { close(); }
    void broken() noexcept override { say_last(tls_ ? std::string_view() : kLastNotice); }
    using Guest::has_gone;

private:
    static constexpr int kMostReads = 16;
    enum class Waits { nothing, idle, message, writing };

    // ---- Reading

    // No more is read: a bind changes who what follows is from; so much is open; or the client takes nothing.
    bool blocked() const {
        return binding_ || finish_due_ || ops_.size() >= owner_.options_.operations || full();
    }

    bool held_up() const override { return held_; }
    void hold_up() {
        held_ = true;
        watch_end();
    }
    void readable(error_code) override {
        if (blocked()) return hold_up();
        error_code error;
        read(error);
        if (door_ && !error && !finishing()) go_on();
    }
    void go_on() { blocked() ? hold_up() : wait_readable(); }
    // What held the reading up is over.
    void unblock() {
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
    void read(error_code& error) {
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
    void parse() {
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
    // False: it is not taken yet.
    bool handle(std::string_view bytes) {
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
    void answer(const Message& message, const Request& request, std::int32_t code, std::string_view text) {
        say(message.id, result_tail(*response_of(request.op), code, text));
    }
    void violate(const char* why) { part_with(protocol_error, why); }

    // ---- Sessions of operations

    Session& session_of(const std::string& pool) {
        auto& session = sessions_[pool];
        if (!session)
            session = std::make_shared<Session>([weak = weak_from_this(), pool] {
                const auto self = std::static_pointer_cast<Client>(weak.lock());
                if (self && self->door_) self->lost(pool);
            });
        return *session;
    }
    // The connection with the state has ended.
    void lost(const std::string& pool) {
        const auto at = sessions_.find(pool);
        if (at == sessions_.end() || at->second->home() == 0 ||
            at->second->has_connection(at->second->home()))
            return;
        at->second->unsettle();
        const PoolView view = owner_.callbacks_.pool(pool);
        const bool as_itself =
            !view.settings || view.settings->identity == PoolSettings::Identity::connection;
        // What it was bound as went with it, and can't be had back without its password.
        if (as_itself && identity_->pool == pool) leave_when_done("the connection to the directory is lost");
    }
    void tied(Operation& op, const LdapAnswer* answer, bool passed) {
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

    // ---- Operations

    void operate(std::string_view bytes, const Message& message, const Request& request) {
        if (door_->shut() || leaving_)
            return answer(message, request, unavailable, "refused: the service ends");
        const auto dn = request.op == Op::extended ? identity_->normal : normal_dn(request.dn);
        if (!dn) return answer(message, request, kInvalidDnSyntax, "no name");
        const auto routes = owner_.callbacks_.routes();
        const Route* const route = routes->find({owner_.options_.index, request.op, *dn, identity_->normal});
        if (!route)
            return answer(message, request, request.op == Op::search ? no_such_object : unwilling_to_perform,
                          "no route serves it");
        const PoolView view = owner_.callbacks_.pool(route->pool);
        if (!view.pool)
            return answer(message, request, unavailable, "refused: its directory is not in service");
        const bool as_itself = view.settings->identity == PoolSettings::Identity::connection;
        if (const char* const why = strange(view, route->pool, as_itself))
            return answer(message, request, unwilling_to_perform, why);
        if (!as_itself && message.control(oid::proxied))
            return answer(message, request, authorization_denied, "whose it is, is told for it");
        const auto op = std::make_shared<Operation>(std::static_pointer_cast<Client>(shared_from_this()),
                                                    bytes, owner_.options_.bounds);
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
    // Why who the client is does not count there; null: it does.
    const char* strange(const PoolView& view, const std::string& pool, bool as_itself) const {
        if (identity_->pool.empty() || identity_->pool == pool) return nullptr;
        if (as_itself) return "bound at another directory, which this one does not know of";
        const auto& believed = *view.identities_from;
        const bool known = std::find(believed.begin(), believed.end(), identity_->pool) != believed.end();
        return known ? nullptr : "bound at a directory whose word does not count here";
    }

    void take(const std::shared_ptr<Operation>& op, const std::shared_ptr<const Routes>& routes,
              const Route& route, const PoolView& view) {
        op->routes = routes;
        op->route = &route;
        op->pool_name = route.pool;
        if (owner_.callbacks_.admit) {
            Admission admission = owner_.callbacks_.admit(route.pool, class_of(op->request, route.handling));
            if (!admission.grant)
                return binding_ = false, result(*op, busy, harmless(admission.retry_in) + ": over a limit");
            op->grant = std::move(admission.grant);
        }
        const auto at =
            std::find(view.classes->begin(), view.classes->end(), class_of(op->request, route.handling));
        Arrival arrival;
        if (at != view.classes->end())
            arrival.class_index = static_cast<std::uint32_t>(at - view.classes->begin());
        const auto& classes = view.pool->settings().classes;
        op->unsafe = arrival.class_index >= classes.size() ||
                     classes[arrival.class_index].effect != Effect::repeatable;
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

    void end_endless() {
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
    // Its client wants it no more. What may change something runs to its end, unheard.
    void forget(const std::shared_ptr<Operation>& op) {
        Pool* const pool = op->pool;
        const RequestId request = op->Call::id;
        op->leave();
        if (pool) pool->gone(request, op->unsafe && op->sent());
    }
    void abandon(MessageId target) {
        const auto at = ops_.find(target);
        if (at == ops_.end() || at->second->request.op == Op::bind) return;
        const auto op = at->second;
        ops_.erase(at);
        forget(op);
        counted();
    }
    // RFC 3909.
    void cancel(const Message& message, const Request& request) {
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

    // ---- Binds

    void bind(std::string_view bytes, const Message& message, const Request& request) {
        if (door_->shut() || leaving_)
            return answer(message, request, unavailable, "refused: the service ends");
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
        if (!view.pool)
            return answer(message, request, unavailable, "refused: its directory is not in service");
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
        const auto op = std::make_shared<Operation>(std::static_pointer_cast<Client>(shared_from_this()),
                                                    bytes, owner_.options_.bounds);
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
    void bound(Operation& op, const LdapAnswer* answer) {
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

    void start_tls(const Message& message, bool more) {
        const auto respond = [&](std::int32_t code, std::string_view text) {
            say(message.id, result_tail(Op::extended_response, code, text, oid::start_tls));
        };
        if (owner_.options_.secured != Secured::starttls)
            return respond(protocol_error, "there is no TLS here");
        if (tls_ || !ops_.empty()) return respond(operations_error, "not now");  // RFC 4511, 4.14.1
        // What came ahead of TLS may be somebody else's.
        if (more) return violate("bytes behind StartTLS");
        respond(success, "");
        tls_.emplace(owner_.options_.tls);
    }

    // ---- Writing

    void append(const Bytes& message) {
        if (!tls_) {
            out_.append(message);
            return;
        }
        if (!tls_->up()) return;  // before its end there is nobody to say it to
        if (!tls_->put(message)) throw std::runtime_error(tls_->why());
        tls_->drain(out_);
    }
    void write_soon() {
        if (std::exchange(write_due_, true)) return;
        asio::post(door_->io(), [self = shared_from_this(), this] {
            write_due_ = false;
            if (door_) write();
        });
    }
    void write() {
        if (writing_ || !door_) return;
        const std::size_t left = out_.size() - out_at_;
        error_code error;
        const std::size_t size =
            left ? socket_.write_some(asio::buffer(out_.data() + out_at_, left), error) : 0;
        out_at_ += size;
        if (error && error != asio::error::would_block) return close();
        if (out_at_ == out_.size()) {
            Bytes().swap(out_);
            out_at_ = 0;
        } else {
            if (out_at_ > kMostOut) out_.erase(0, std::exchange(out_at_, 0));
            writing_ = true;
            socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this(), this](error_code failed) {
                writing_ = false;
                if (!door_) return;
                failed ? close() : write();
            });
        }
        if (size > 0 && waits_ == Waits::writing) waits_ = Waits::nothing;
        watch();
        if (!full()) {
            for (const auto& room : std::exchange(rooms_, {})) room();
            unblock();
        }
        if (out_.empty() && finish_due_) finish(true);
    }

    // ---- Ends

    // Whose time runs, and since when: a message that has begun, or a taker of bytes that does not take.
    void watch() {
        if (!door_ || finishing()) return;
        const Waits now = !out_.empty()                                     ? Waits::writing
                          : tls_ && !tls_->up()                             ? Waits::message
                          : !pending_.empty() && !blocked() && ops_.empty() ? Waits::message
                          : ops_.empty()                                    ? Waits::idle
                                                                            : Waits::nothing;
        if (now == waits_ && limited()) return;
        waits_ = now;
        limit(now == Waits::writing   ? kLongestWrite
              : now == Waits::message ? owner_.options_.head_timeout
              : now == Waits::idle    ? owner_.options_.idle_timeout
                                      : 0);
    }
    // One operation fewer.
    void counted() {
        if (!door_) return;
        if (ops_.empty()) {
            waits_ = Waits::nothing;
            binding_ = false;
            door_->places().idles(place, door_->now());
            if (leaving_) return part_with(unavailable, leaving_);
            door_->rested();
        }
        watch();
        unblock();
    }
    // Once nothing is open any more.
    void leave_when_done(const char* why) {
        if (!door_ || finishing()) return;
        leaving_ = why;
        if (ops_.empty()) part_with(unavailable, why);
    }
    // RFC 4511, 4.4.1. What is open has its end here.
    void part_with(std::int32_t code, std::string_view why) {
        if (!door_ || finishing() || finish_due_) return;
        const auto self = shared_from_this();
        drop_all();
        append(notice(code, why));
        finish_due_ = true;
        pending_.clear();
        write();
    }
    void drop_all() {
        for (const auto& [id, op] : std::exchange(ops_, {})) forget(op);
    }
    void left() override {
        const auto self = shared_from_this();
        for (const auto& [id, op] : std::exchange(ops_, {})) {
            Pool* const pool = op->pool;
            const RequestId request = op->Call::id;
            op->leave();
            if (pool) pool->gone(request, op->unsafe && op->sent());
        }
        sessions_.clear();
        identity_ = std::make_shared<Identity>();
        Bytes().swap(pending_);
        Bytes().swap(out_);
        for (const auto& room : std::exchange(rooms_, {})) room();
    }

    friend class LdapListener::Operation;
    LdapListener& owner_;
    Bytes pending_, out_;  // read and not handled; for the client
    std::size_t out_at_ = 0;
    std::optional<TlsSession> tls_;
    std::map<MessageId, std::shared_ptr<Operation>> ops_;
    std::shared_ptr<const Identity> identity_ = std::make_shared<Identity>();
    std::map<std::string, std::shared_ptr<Session>> sessions_;  // by pool
    std::string sasl_;                                          // pool in which a SASL bind goes on
    std::vector<std::function<void()>> rooms_;
    const char* leaving_ = nullptr;  // why, once nothing is open
    Waits waits_ = Waits::nothing;
    bool binding_ = false;  // a bind runs, or waits for what is open
    bool held_ = false;     // no wait for bytes is out
    bool again_ = false, write_due_ = false, writing_ = false, finish_due_ = false;
    bool unties_ = false;  // of the last response that was passed on
};

// ---- How an operation ends
// -------------------------------------------------------------------------------------

template <class Say>
void LdapListener::Operation::end(Say say) noexcept {
    const auto client = std::exchange(client_, nullptr);
    if (!client) return;
    try {
        say(*client);
    } catch (const std::exception&) {
        client->broken();
    }
}

bool LdapListener::Operation::may_start(std::uint32_t attempt) const noexcept {
    // Elsewhere its state is not, once it has been tried where it is.
    return attempt < route->handling.attempts && !(bound && attempt > 0 && session->home() == 0) &&
           (arriving || (client_ && !client_->has_gone()));
}

bool LdapListener::Operation::part(const Message& part) noexcept {
    if (!client_) return false;
    try {
        const auto client = client_;
        client->say(id, part.tail);
        if (part.op == Op::search_done) client->unties_ = unties(part, request);
        return true;
    } catch (const std::exception&) {
        const auto client = std::exchange(client_, nullptr);
        client->broken();
        return false;
    }
}
bool LdapListener::Operation::full() const noexcept { return client_ && client_->full(); }
void LdapListener::Operation::on_room(std::function<void()> room) {
    if (client_) client_->on_room(std::move(room));
}
void LdapListener::Operation::stalled() noexcept {
    if (const auto client = client_) client->close();
}

void LdapListener::Operation::served(std::unique_ptr<Answer> answer) noexcept {
    end([&](Client& client) {
        const auto* const whole = static_cast<const LdapAnswer*>(answer.get());
        if (whole)
            for (const LdapAnswer::Part& part : whole->parts) client.say(id, part.tail);
        client.done(*this, whole, !whole);
    });
}

void LdapListener::Operation::refused(Millis retry_in) noexcept {
    end([&](Client& client) {
        if (last_) {
            for (const LdapAnswer::Part& part : last_->parts) client.say(id, part.tail);
            return client.done(*this, last_.get());
        }
        if (Door::steady().now() >= deadline) {
            client.result(*this, time_limit_exceeded, "out of time: trying again is harmless");
            return client.done(*this, nullptr);
        }
        const bool of_home = bound && request.op != Op::bind;
        client.result(*this, of_home ? unavailable : busy,
                      of_home ? "refused: its server takes nothing new; trying again elsewhere is harmless"
                              : harmless(retry_in));
        // Bound as itself there, it has to come anew.
        const bool as_itself = way == Way::session && tie == Tie::none;
        if (of_home && as_itself) client.leaving_ = "its directory server takes nothing new";
        if (of_home && !as_itself) session->unsettle();
        client.done(*this, nullptr);
    });
}

void LdapListener::Operation::failed(Failure why) noexcept {
    end([&](Client& client) {
        if (last_ && why != Failure::too_late) {
            for (const LdapAnswer::Part& part : last_->parts) client.say(id, part.tail);
            return client.done(*this, last_.get());
        }
        const char* const text = unsafe ? "failed: it may have run" : "failed: no whole answer came";
        client.result(*this, why == Failure::too_late ? time_limit_exceeded : other, text);
        client.done(*this, nullptr);
    });
}

// ---- The listener
// -----------------------------------------------------------------------------------------------

LdapListener::LdapListener(asio::io_context& io, Options options, Callbacks callbacks, Door::Budget budget)
    : options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      door_(
          io, options_.listen, options_.places,
          [this](Places::Id place, Tcp::socket socket) {
              return std::make_shared<Client>(*this, place, std::move(socket));
          },
          callbacks_.drained, callbacks_.log, std::move(budget)) {}

void LdapListener::change(const Options& options) {
    options_.index = options.index;
    options_.head_timeout = options.head_timeout;
    options_.idle_timeout = options.idle_timeout;
    options_.operations = options.operations;
    options_.bounds = options.bounds;
    options_.tls_required = options.tls_required;
    if (options.tls) options_.tls = options.tls;
}

}  // namespace whinledge::ldap
