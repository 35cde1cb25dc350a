#include "ldap/transport.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <deque>
#include <utility>

#include "io/address.hpp"
#include "io/clock.hpp"
#include "io/insist.hpp"

namespace whinledge::ldap {

namespace asio = boost::asio;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

namespace {

constexpr Millis kSweep = 100;
constexpr Millis kDoubt = 500;                // of silence: then a server may be gone without a word
constexpr std::size_t kMostOut = 64 << 10;    // encoded and not written, before further operations wait
constexpr std::size_t kMostUnsent = 1 << 20;  // of abandons, say, that a server does not read
constexpr MessageId kLastId = 0x7fffffff;
constexpr Millis kLeastSetup = 1000;  // of a handshake, or the service's bind

// Whether a connection can't be had for want of our own means, which says nothing of the server.
bool ours(error_code error) {
    return error == asio::error::no_descriptors || error == asio::error::no_buffer_space ||
           error == asio::error::no_memory || error == asio::error::address_in_use ||
           error == boost::system::errc::too_many_files_open_in_system ||
           error == boost::system::errc::address_not_available;
}

bool answers(Op request, Op response) {
    if (response == Op::intermediate) return true;
    if (request == Op::search && (response == Op::entry || response == Op::reference)) return true;
    return response_of(request) == response;
}

}  // namespace

// One connection: connecting, securing, binding as the service, then carrying operations.
class LdapTransport::Connection : public std::enable_shared_from_this<Connection> {
public:
    using Way = LdapCall::Way;

    Connection(LdapTransport& owner, std::shared_ptr<const PoolSettings> settings_, MachineId machine_,
               std::uint64_t life_, PoolId pool_, Way way_, Session* session)
        : machine(machine_),
          life(life_),
          pool(pool_),
          way(way_),
          settings(std::move(settings_)),
          owner_(&owner),
          session_(session),
          socket_(owner.io_),
          timer_(owner.io_) {
        ++owner_->stats_.open;
    }
    ~Connection() { close(); }

    void connect(const Tcp::endpoint& address) {
        if (settings->secured != PoolSettings::Secured::no)
            name_ = settings->tls_name.empty() ? address.address().to_string() : settings->tls_name;
        limit(settings->connect_timeout);
        if (const error_code failed = open_socket(socket_, address.protocol(), owner_->let_go_))
            throw boost::system::system_error(failed);
        ++owner_->stats_.opened;
        socket_.async_connect(address, [self = shared_from_this()](error_code failed) {
            if (!self->owner_) return;
            if (failed) return self->broke(ours(failed) ? Outcome::not_sent : Outcome::refused_connection);
            self->guarded([&] { self->connected(); });
        });
    }

    // ---- Operations

    // Takes no further ones, and ends with its last.
    void retire() {
        retired_ = true;
        session_ = nullptr;
        if (open_.empty()) close_politely();
    }
    bool usable() const {
        return owner_ && !retired_ && !doubtful_ && !noticed_ && !paused_ && next_id_ < kLastId - 16;
    }
    std::size_t open() const { return open_.size(); }
    bool resting() const { return resting_; }
    Steady::time_point idle_since() const { return since_; }

    MessageId take(ExchangeId exchange, Key key, Listener& listener, std::shared_ptr<LdapCall> call) {
        const MessageId id = next_id_++;
        Open o;
        o.exchange = exchange;
        o.key = key;
        o.listener = &listener;
        o.out = call->outgoing();
        o.call = std::move(call);
        o.progress = o.sent_at = Steady::now();
        const auto at = open_.emplace(id, std::move(o)).first;
        try {
            waiting_.push_back(id);
        } catch (...) {
            open_.erase(at);
            throw;
        }
        resting_ = false;
        if (phase_ == Phase::ready) pump_soon();
        return id;
    }
    // Whether it may have been written whole.
    bool written(MessageId id) const {
        const auto at = open_.find(id);
        return at != open_.end() && written_whole(at->second);
    }
    bool stop(MessageId id) {
        const auto at = open_.find(id);
        if (at == open_.end()) return true;
        const Open o = std::move(at->second);
        open_.erase(at);
        if (holder_ == id) resume();
        if (o.end == 0) return over(), false;
        if (received_at_ < o.sent_at && Steady::now() - o.sent_at > span(kDoubt))
            doubtful_ = way == Way::shared;
        if (o.out.op ==
            Op::bind)  // it can't be abandoned (RFC 4511, 4.11), and who is bound now nobody knows
            close();
        else
            say(abandon_tail(id));
        over();
        return true;
    }

    void sweep(Steady::time_point now) {
        if (resting_ && now - since_ >= span(settings->idle)) return close_politely();
        if (paused_ && way == Way::shared && now - paused_at_ >= span(settings->stall)) {
            const auto at = open_.find(holder_);
            if (at != open_.end()) {
                const auto call = at->second.call;
                paused_at_ = now;
                call->stalled();
            }
        }
        if (!owner_ || paused_) return;
        std::vector<MessageId> silent;
        for (const auto& [id, o] : open_)
            if (const Millis idle = o.call->idle(); o.begun && idle > 0 && now - o.progress >= span(idle))
                silent.push_back(id);
        for (const MessageId id : silent) {
            if (!owner_) return;
            end(id, Outcome::severed, nullptr);
            if (owner_) say(abandon_tail(id));
        }
    }

    void close_politely() {
        if (owner_ && phase_ == Phase::ready && out_.size() == out_at_) {
            try {
                append(with_id(next_id_++, std::string_view("\x42\0", 2)));  // unbind
                error_code ignored;
                socket_.write_some(asio::buffer(out_.data() + out_at_, out_.size() - out_at_), ignored);
            } catch (const std::exception&) {  // it ends without
            }
        }
        close();
    }
    void close() {
        if (!owner_) return;
        LdapTransport* const owner = std::exchange(owner_, nullptr);
        --owner->stats_.open;
        if (session_) {
            if (session_->connections_.contains(machine)) session_->connections_.erase(machine);
            if (session_->home_ == machine && session_->lost_) asio::post(owner->io_, session_->lost_);
            session_ = nullptr;
        }
        if (owner->budget_) {
            if (phase_ == Phase::connecting) owner->budget_->connected(pool);
            owner->budget_->closed(pool, resting_);
        }
        phase_ = Phase::closed;
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        owner->removed(*this);
    }

    const MachineId machine;
    const std::uint64_t life;
    const PoolId pool;
    const Way way;
    const std::shared_ptr<const PoolSettings> settings;

private:
    enum class Phase { connecting, asking_tls, shaking, binding, ready, closed };
    struct Open {
        ExchangeId exchange = 0;
        Key key;
        Listener* listener = nullptr;
        std::shared_ptr<LdapCall> call;
        LdapCall::Outgoing out;
        std::size_t end = 0;  // of its last byte among all that was encoded; 0: it was not yet
        bool begun = false;   // passed on as it comes
        std::size_t held = 0;
        std::unique_ptr<LdapAnswer> answer;  // what is held back
        Steady::time_point progress, sent_at;
    };

    template <class Work>
    void guarded(Work work) {
        const auto self = shared_from_this();
        try {
            work();
        } catch (const std::exception& error) {  // out of memory, say
            if (owner_) owner_->log_.line(std::string("a connection to a directory ends: ") + error.what());
            broke();
        }
    }
    void limit(Millis length) {
        timer_.expires_after(span(length));
        timer_.async_wait([weak = weak_from_this(), phase = phase_](error_code cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self && self->owner_ && self->phase_ == phase) self->broke();
        });
    }

    // ---- Setting up

    void connected() {
        if (owner_->budget_) owner_->budget_->connected(pool);
        error_code ignored;
        socket_.set_option(Tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        phase_ = Phase::asking_tls;
        wait_readable();
        using Secured = PoolSettings::Secured;
        if (settings->secured == Secured::no) return secured();
        limit(std::max(kLeastSetup, 4 * settings->connect_timeout));
        if (settings->secured == Secured::ldaps) return shake();
        own_id_ = next_id_++;
        append(with_id(own_id_, extended_tail(oid::start_tls)));
        write();
    }
    void shake() {
        phase_ = Phase::shaking;
        tls_.emplace(settings->tls, name_);
        tls_->drain(out_);
        write();
    }
    void secured() {
        if (settings->identity == PoolSettings::Identity::connection || way == Way::bind) return ready();
        phase_ = Phase::binding;
        limit(std::max(kLeastSetup, 4 * settings->connect_timeout));
        own_id_ = next_id_++;
        append(with_id(own_id_, bind_tail(settings->service_name, settings->service_password)));
        write();
    }
    void ready() {
        phase_ = Phase::ready;
        own_id_ = 0;
        timer_.cancel();
        pump();
    }
    // The response to what we asked for ourselves.
    void settled(const Message& message, const Response& response) {
        const bool starting = phase_ == Phase::asking_tls;
        if (message.op != (starting ? Op::extended_response : Op::bind_response))
            return spoilt("a wrong response");
        if (response.code != success) {
            owner_->log_.line(std::string(starting ? "a directory refuses StartTLS: "
                                                   : "a directory refuses the service's bind: ") +
                              name_of_code(response.code));
            return broke();
        }
        starting ? shake() : ready();
    }

    // ---- Writing

    // In clear or encrypted, behind what is still to be written.
    void append(const Bytes& message) {
        if (!tls_) {
            out_.append(message);
        } else {
            if (!tls_->put(message)) throw std::runtime_error(tls_->why());
            tls_->drain(out_);
        }
    }
    bool written_whole(const Open& o) const { return o.end > 0 && o.end <= sent_; }
    std::size_t encoded() const { return sent_ + (out_.size() - out_at_); }

    void pump_soon() {
        if (std::exchange(pump_due_, true)) return;
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->pump_due_ = false;
            if (self->owner_) self->guarded([&] { self->pump(); });
        });
    }
    // What waits, as far as the server takes it: the rest can still be taken back.
    void pump() {
        if (phase_ != Phase::ready) return;
        while (!waiting_.empty() && out_.size() - out_at_ < kMostOut) {
            const MessageId id = waiting_.front();
            waiting_.pop_front();
            const auto at = open_.find(id);
            if (at == open_.end()) continue;
            if (at->second.listener->attempt_time_left(at->second.key) <= 0) {
                end(id, Outcome::superseded, nullptr);
                if (!owner_) return;
                continue;
            }
            Open& o = at->second;
            append(with_id(id, o.out.tail));
            o.end = encoded();
            o.sent_at = o.progress = Steady::now();
            if (o.call->at_once()) begin(id);
            if (!owner_) return;
        }
        write();
    }
    void say(const Bytes& tail) {
        if (!owner_ || phase_ != Phase::ready) return;
        guarded([&] {
            if (next_id_ >= kLastId) return;
            append(with_id(next_id_++, tail));
            if (out_.size() - out_at_ > kMostUnsent) return broke();
            pump_soon();
        });
    }
    void write() {
        if (writing_ || !owner_) return;
        error_code error;
        const std::size_t left = out_.size() - out_at_;
        const std::size_t size =
            left ? socket_.write_some(asio::buffer(out_.data() + out_at_, left), error) : 0;
        sent_ += size;
        out_at_ += size;
        if (error && error != asio::error::would_block) return broke_soon();
        if (out_at_ == out_.size()) {
            Bytes().swap(out_);
            out_at_ = 0;
            if (!waiting_.empty()) pump_soon();
            return;
        }
        if (out_at_ > kMostOut) out_.erase(0, std::exchange(out_at_, 0));
        writing_ = true;
        socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
            self->writing_ = false;
            if (!self->owner_) return;
            if (failed) return self->broke();
            self->guarded([&] { self->phase_ == Phase::ready ? self->pump() : self->write(); });
        });
    }

    // ---- Reading

    void wait_readable() {
        if (std::exchange(waiting_to_read_, true)) return;
        socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
            self->waiting_to_read_ = false;
            if (!self->owner_) return;
            if (failed) return self->broke();
            if (self->paused_) return;  // resume() waits again
            self->guarded([&] { self->receive(); });
        });
    }
    void receive() {
        error_code error;
        const std::size_t size = socket_.read_some(asio::buffer(owner_->scratch_), error);
        if (error == asio::error::would_block) return wait_readable();
        if (error) return broke();
        received_at_ = Steady::now();
        const std::string_view bytes(owner_->scratch_.data(), size);
        if (!tls_) {
            pending_.append(bytes);
        } else {
            const bool was_up = tls_->up(), sound = tls_->take(bytes, pending_);
            tls_->drain(out_);
            if (!sound) {
                owner_->log_.line("TLS towards a directory: " + tls_->why());
                return broke();
            }
            if (!was_up && tls_->up()) secured();
            if (!owner_) return;
            write();
            if (tls_->ended()) return broke();
        }
        parse();
    }
    // One read's worth at a time; what stays is less than a message, or waits for its taker.
    void parse() {
        Bytes bytes = std::move(pending_);
        pending_.clear();
        std::size_t at = 0;
        while (owner_ && !paused_) {
            const std::string_view rest = std::string_view(bytes).substr(at);
            const Framed framed = frame(rest, settings->bounds.message);
            if (framed.found == Framed::Found::fault) return spoilt(framed.fault);
            if (framed.found == Framed::Found::more) break;
            at += framed.size;
            if (!heard(rest.substr(0, framed.size))) return;
            // StartTLS: what comes behind its response is not in clear any more, or somebody else's.
            if (phase_ == Phase::shaking && at < bytes.size()) return spoilt("bytes ahead of TLS");
        }
        if (!owner_) return;
        if (at < bytes.size()) pending_ = bytes.substr(at);
        if (!paused_) wait_readable();
    }
    // False: the connection is over.
    bool heard(std::string_view bytes) {
        const Read read = read_message(bytes, settings->bounds);
        if (const auto* const fault = std::get_if<const char*>(&read)) return spoilt(*fault), false;
        const Message& message = std::get<Message>(read);
        const ReadResponse judged = read_response(message, settings->bounds);
        if (const auto* const fault = std::get_if<const char*>(&judged)) return spoilt(*fault), false;
        const Response& response = std::get<Response>(judged);
        if (message.id == 0) {
            if (response.oid == oid::notice_of_disconnection) disconnects();
            return owner_ != nullptr;
        }
        if (message.id == own_id_) return settled(message, response), owner_ != nullptr;
        const auto at = open_.find(message.id);
        if (at == open_.end()) {
            if (message.id >= next_id_) return spoilt("a response to nothing"), false;
            return true;  // of what was abandoned
        }
        if (at->second.end == 0 || !answers(at->second.out.op, message.op))
            return spoilt("a response of another kind"), false;
        deliver(message.id, message, response);
        return owner_ != nullptr;
    }
    // It drains: what it has goes on.
    void disconnects() {
        noticed_ = true;
        const auto noticed = owner_->noticed_;
        if (open_.empty()) close();
        if (noticed) noticed(machine);
    }

    void deliver(MessageId id, const Message& message, const Response& response) {
        Open& o = open_.at(id);
        o.progress = Steady::now();
        if (session_) session_->answered_by_ = machine;
        const bool first = !o.begun && !o.answer;
        if (response.final && !o.begun) {
            const Meaning meaning = o.call->meaning(response.code, first);
            if (meaning == Meaning::never_ran) return end(id, Outcome::saturated, nullptr);
            if (!o.answer) o.answer = std::make_unique<LdapAnswer>();
            auto answer = std::move(o.answer);
            answer->parts.push_back({message.op, bytes(message.tail)});
            answer->code = response.code;
            answer->unties = unties(message, *o.out.request);
            return end(id, meaning == Meaning::error ? Outcome::errored : Outcome::completed,
                       std::move(answer));
        }
        if (o.begun) return pass(id, message, response.final);
        if (!o.answer) o.answer = std::make_unique<LdapAnswer>();
        o.answer->parts.push_back({message.op, bytes(message.tail)});
        o.held += message.tail.size();
        if (o.held > o.call->buffer()) begin(id);
    }
    // From here on the attempt is its client's.
    void begin(MessageId id) {
        const auto self = shared_from_this();
        auto at = open_.find(id);
        if (!at->second.listener->attempt_begun(at->second.key)) return drop(id);
        at = open_.find(id);
        if (at == open_.end()) return;
        at->second.begun = true;
        const auto held = std::move(at->second.answer);
        if (!held) return;
        for (const LdapAnswer::Part& part : held->parts) {
            Message message;
            message.op = part.op;
            message.tail = part.tail;
            pass(id, message, false);
            if (!owner_ || !open_.contains(id)) return;
        }
    }
    void pass(MessageId id, const Message& message, bool final) {
        const auto call = open_.at(id).call;
        if (!call->part(message)) {
            if (owner_ && open_.contains(id)) drop(id);
            return;
        }
        if (!owner_ || !open_.contains(id)) return;
        if (final) return end(id, Outcome::completed, nullptr);
        if (paused_ || !call->full()) return;
        paused_ = true;
        holder_ = id;
        paused_at_ = Steady::now();
        call->on_room([weak = weak_from_this(), id] {
            const auto self = weak.lock();
            if (self && self->owner_ && self->holder_ == id) self->resume();
        });
    }
    void resume() {
        if (!std::exchange(paused_, false)) return;
        holder_ = 0;
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            if (self->owner_ && !self->paused_) self->guarded([&] { self->parse(); });
        });
    }
    // Nobody wants it any more.
    void drop(MessageId id) {
        end(id, Outcome::recalled, nullptr);
        if (owner_) say(abandon_tail(id));
    }

    // ---- Ends

    void end(MessageId id, Outcome outcome, std::unique_ptr<LdapAnswer> answer) {
        const auto self = shared_from_this();
        const auto at = open_.find(id);
        const Open o = std::move(at->second);
        open_.erase(at);
        owner_->exchanges_.erase(o.exchange);
        if (holder_ == id) resume();
        over();
        o.listener->attempt_ended(o.key, outcome, std::move(answer));
    }
    // After an operation: whether the connection goes on.
    void over() {
        if (!owner_ || !open_.empty()) return;
        waiting_.clear();
        if (retired_ || doubtful_ || noticed_) return close_politely();
        if (way == Way::session || phase_ != Phase::ready) return;
        since_ = Steady::now();
        if (owner_->budget_ && !owner_->budget_->rest(pool)) return close_politely();
        resting_ = true;
    }
    void spoilt(const char* why) {
        owner_->log_.line(std::string("a response that can't be read: ") + why);
        broke();
    }
    void broke_soon() {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->broke(); });
    }
    // What the server has whole may have run; a part of a message is none (RFC 4511, 4.1.1).
    void broke(Outcome unsent = Outcome::refused_connection) {
        if (!owner_) return;
        const auto self = shared_from_this();
        LdapTransport* const owner = owner_;
        const auto alive = std::weak_ptr<LdapTransport*>(owner->self_);
        auto open = std::exchange(open_, {});
        waiting_.clear();
        for (const auto& [id, o] : open) owner->exchanges_.erase(o.exchange);
        close();
        for (auto& [id, o] : open) {
            if (alive.expired()) return;
            const bool written = written_whole(o);
            o.listener->attempt_ended(o.key, written ? Outcome::severed : unsent, nullptr);
        }
    }

    LdapTransport* owner_;  // none: closed
    Session* session_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::string name_;  // that the certificate has to have
    std::optional<TlsSession> tls_;
    Phase phase_ = Phase::connecting;
    std::map<MessageId, Open> open_;
    std::deque<MessageId> waiting_;  // not encoded yet
    MessageId next_id_ = 1, own_id_ = 0;
    Bytes out_, pending_;
    std::size_t out_at_ = 0;  // bytes of out_ that are written
    std::size_t sent_ = 0;    // bytes written in all
    MessageId holder_ = 0;    // whose client has enough for now
    Steady::time_point since_, paused_at_, received_at_;
    bool writing_ = false, waiting_to_read_ = false, pump_due_ = false;
    bool paused_ = false, retired_ = false, noticed_ = false, resting_ = false;
    bool doubtful_ = false;  // what was asked on it ran out of time, and nothing has come since
};

// ---- The transport
// -----------------------------------------------------------------------------------------------

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
    sweep_timer_.expires_after(span(kSweep));
    insist([this] {
        sweep_timer_.async_wait([this](error_code cancelled) {
            if (!cancelled) sweep();
        });
    });
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
