// A connection of an LDAP client: its operations, sessions and identity. Private to `LdapListener`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ldap/operation.hpp"

namespace whinledge::ldap {

// Whom a client is bound as; its operations keep the one that they began with.
struct LdapListener::Identity {
    std::string name;  // as it was bound; empty: anonymous
    std::string normal;
    std::string pool;  // that has said so
};

// Requests are read in client_requests.cpp, binds in client_binds.cpp, answers written in client_answers.cpp.
class LdapListener::Client final : public Door::Guest {
public:
    Client(LdapListener& owner, Places::Id place, Tcp::socket socket)
        : Guest(owner.door_, place, std::move(socket)), owner_(owner) {}

    void welcome() override;
    bool spare() const override;
    void out_of_time() override;
    void last_chance() override;

    void say(MessageId id, std::string_view tail);
    void result(const Operation& op, std::int32_t code, std::string_view text);
    bool full() const { return out_.size() - out_at_ > kMostWaiting; }
    void on_room(std::function<void()> room) { rooms_.push_back(std::move(room)); }

    // An operation has its end; what it was for a bind or what is tied to a server is drawn from it here.
    // `passed`: its response went out as it came.
    void done(Operation& op, const LdapAnswer* answer, bool passed = false);
    void cut_off() { close(); }
    void broken() noexcept override { say_last(tls_ ? std::string_view() : kLastNotice); }
    using Guest::has_gone;

private:
    static constexpr int kMostReads = 16;
    static constexpr std::size_t kMostWaiting = 64
                                                << 10;  // bytes for a client, before whoever sends them waits
    static const std::string_view kLastNotice;          // for when there is no memory to make one
    enum class Waits { nothing, idle, message, writing };

    // No more is read: a bind changes who what follows is from; so much is open; or the client takes nothing.
    bool blocked() const;

    bool held_up() const override { return held_; }
    void hold_up();
    void readable(boost::system::error_code) override;
    void go_on() { blocked() ? hold_up() : wait_readable(); }
    // What held the reading up is over.
    void unblock();
    void read(boost::system::error_code& error);
    void parse();
    // False: it is not taken yet.
    bool handle(std::string_view bytes);
    void answer(const Message& message, const Request& request, std::int32_t code, std::string_view text);
    void violate(const char* why) { part_with(protocol_error, why); }

    Session& session_of(const std::string& pool);
    // The connection with the state has ended.
    void lost(const std::string& pool);
    void tied(Operation& op, const LdapAnswer* answer, bool passed);

    void operate(std::string_view bytes, const Message& message, const Request& request);
    // Why who the client is does not count there; null: it does.
    const char* strange(const PoolView& view, const std::string& pool, bool as_itself) const;

    void take(const std::shared_ptr<Operation>& op, const std::shared_ptr<const Routes>& routes,
              const Route& route, const PoolView& view);

    void end_endless();
    // Its client wants it no more. What may change something runs to its end, unheard.
    void forget(const std::shared_ptr<Operation>& op);
    void abandon(MessageId target);
    // RFC 3909.
    void cancel(const Message& message, const Request& request);

    void bind(std::string_view bytes, const Message& message, const Request& request);
    void bound(Operation& op, const LdapAnswer* answer);

    void start_tls(const Message& message, bool more);

    void append(const Bytes& message);
    void write_soon();
    void write();

    // Whose time runs, and since when: a message that has begun, or a taker of bytes that does not take.
    void watch();
    // One operation fewer.
    void counted();
    // Once nothing is open any more.
    void leave_when_done(const char* why);
    // RFC 4511, 4.4.1. What is open has its end here.
    void part_with(std::int32_t code, std::string_view why);
    void drop_all();
    void left() override;

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

}  // namespace whinledge::ldap
