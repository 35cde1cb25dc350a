// One LDAP operation between its client and the servers that it is sent to.
#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "engine/call.hpp"
#include "ldap_codec/routes.hpp"

namespace whinledge::ldap {

class Session;  // transport.hpp

// The response whole in memory: entries, references and intermediate responses, then the result.
class LdapAnswer final : public Answer {
public:
    struct Part {
        Op op;
        Bytes tail;
    };
    std::vector<Part> parts;
    bool unties = false;  // Tie
    std::int32_t code = 0;
};

// Called on the loop's thread. What returns views keeps what they point to for as long as the call is there.
class LdapCall : public Call {
public:
    // Which of a server's connections it goes on.
    enum class Way {
        shared,   // with operations of other clients
        session,  // one of its client's own
        bind,     // one on which nothing but binds goes, one at a time
    };
    struct Outgoing {
        Op op = Op::search;
        std::string_view tail;  // the operation and its controls
        Way way = Way::shared;
        std::shared_ptr<Session> session;  // of Way::session
        const Request* request = nullptr;
    };
    virtual Outgoing outgoing() const = 0;
    virtual Meaning meaning(std::int32_t code, bool first) const = 0;
    virtual std::size_t buffer() const = 0;  // bytes of entries that are held back
    virtual bool at_once() const = 0;        // passed on from the start: it may never have a result
    virtual Millis idle() const = 0;         // without a byte, once passed on; 0: any time

    // A response is passed on as it comes. False: nobody wants it any more.
    virtual bool part(const Message& part) noexcept = 0;
    // Its client has enough for now; on_room() is called once, from the loop, when it can take more.
    virtual bool full() const noexcept = 0;
    virtual void on_room(std::function<void()> room) = 0;
    // Its client takes nothing, and others wait behind it.
    virtual void stalled() noexcept = 0;
};

}  // namespace whinledge::ldap
