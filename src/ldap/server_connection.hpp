// One connection to a directory: connecting, securing, binding as the service, then carrying operations.
// Private to `LdapTransport`.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "io/address.hpp"
#include "ldap/transport.hpp"

namespace whinledge::ldap {

// Requests and the ends of operations are in server_connection.cpp, responses in server_responses.cpp.
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

    void connect(const Tcp::endpoint& address);

    // Takes no further ones, and ends with its last.
    void retire();
    bool usable() const;
    std::size_t open() const { return open_.size(); }
    bool resting() const { return resting_; }
    std::chrono::steady_clock::time_point idle_since() const { return since_; }

    MessageId take(ExchangeId exchange, Key key, Listener& listener, std::shared_ptr<LdapCall> call);
    // Whether it may have been written whole.
    bool written(MessageId id) const;
    bool stop(MessageId id);

    void sweep(std::chrono::steady_clock::time_point now);

    void close_politely();
    void close();

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
        std::chrono::steady_clock::time_point progress, sent_at;
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
    void limit(Millis length);

    void connected();
    void shake();
    void secured();
    void ready();
    // The response to what we asked for ourselves.
    void settled(const Message& message, const Response& response);

    // In clear or encrypted, behind what is still to be written.
    void append(const Bytes& message);
    bool written_whole(const Open& o) const { return o.end > 0 && o.end <= sent_; }
    std::size_t encoded() const { return sent_ + (out_.size() - out_at_); }

    void pump_soon();
    // What waits, as far as the server takes it: the rest can still be taken back.
    void pump();
    void say(const Bytes& tail);
    void write();

    void wait_readable();
    void receive();
    // One read's worth at a time; what stays is less than a message, or waits for its taker.
    void parse();
    // False: the connection is over.
    bool heard(std::string_view bytes);
    // It drains: what it has goes on.
    void disconnects();

    void deliver(MessageId id, const Message& message, const Response& response);
    // From here on the attempt is its client's.
    void begin(MessageId id);
    void pass(MessageId id, const Message& message, bool final);
    void resume();
    // Nobody wants it any more.
    void drop(MessageId id);

    void end(MessageId id, Outcome outcome, std::unique_ptr<LdapAnswer> answer);
    // After an operation: whether the connection goes on.
    void over();
    void spoilt(const char* why);
    void broke_soon();
    // What the server has whole may have run; a part of a message is none (RFC 4511, 4.1.1).
    void broke(Outcome unsent = Outcome::refused_connection);

    LdapTransport* owner_;  // none: closed
    Session* session_;
    Tcp::socket socket_;
    boost::asio::steady_timer timer_;
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
    std::chrono::steady_clock::time_point since_, paused_at_, received_at_;
    bool writing_ = false, waiting_to_read_ = false, pump_due_ = false;
    bool paused_ = false, retired_ = false, noticed_ = false, resting_ = false;
    bool doubtful_ = false;  // what was asked on it ran out of time, and nothing has come since
};

}  // namespace whinledge::ldap
