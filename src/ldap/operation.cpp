#include "ldap/operation.hpp"

#include <cmath>
#include <exception>
#include <utility>

#include "ldap/client.hpp"

namespace whinledge::ldap {

std::string refusal_text(Millis retry_in) {
    std::string text = "refused: trying again is harmless";
    if (retry_in > 0) text += ", after " + std::to_string(std::lround(std::ceil(retry_in))) + " ms";
    return text;
}

LdapCall::Outgoing LdapListener::Operation::outgoing() const {
    sent_ = true;
    return {request.op, proxied.empty() ? message.tail : std::string_view(proxied), way, session, &request};
}

Meaning LdapListener::Operation::meaning(std::int32_t code, bool first) const {
    return meaning_of(code, first, route->handling);
}

void LdapListener::Operation::errored(std::unique_ptr<Answer> answer) noexcept {
    last_.reset(static_cast<LdapAnswer*>(answer.release()));
}

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
                              : refusal_text(retry_in));
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

}  // namespace whinledge::ldap
