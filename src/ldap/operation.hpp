// An operation of an LDAP client, from its request to its end. Private to `LdapListener`.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "ldap/listener.hpp"

namespace whinledge::ldap {

// The diagnostic message of a refusal: that it did not run, and after how many ms to come back, if that is
// known.
std::string refusal_text(Millis retry_in);

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

    Outgoing outgoing() const override;
    Meaning meaning(std::int32_t code, bool first) const override;
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
    void errored(std::unique_ptr<Answer> answer) noexcept override;

    // Its client has gone, or wants it no more: what comes now is for nobody.
    void leave() noexcept { client_.reset(); }

private:
    template <class Say>
    void end(Say say) noexcept;

    std::shared_ptr<Client> client_;
    std::unique_ptr<LdapAnswer> last_;  // a server's answer that counted as a failed attempt
    mutable bool sent_ = false;
};

}  // namespace whinledge::ldap
