#include "http/web_exchange.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "http/tell_end.hpp"
#include "http/web_client.hpp"
#include "http/web_reply.hpp"

namespace whinledge {

namespace http = boost::beast::http;
using web::plain;
using web::Reply;
using web::set_retry_after;
using web::view;

Upstream::Request Web::Exchange::outgoing(Millis) const {
    Upstream::Request to;
    HeadText text = HeadText::request(view(head.method_string()), view(head.target()));
    for (const auto& field : head) text.add(view(field.name_string()), view(field.value()));
    to.body = body;
    to.keep = shared_from_this();
    to.rest = rest;
    if (rest && length) {
        text.add("Content-Length", *length);
    } else if (rest || !trailers.empty()) {
        to.chunked = true;
        text.add("Transfer-Encoding", "chunked");
        to.trailers = trailers;
    } else if (has_body || !body.empty()) {
        text.add("Content-Length", body.size());
    }
    to.head = text.whole();
    return to;
}

Outcome Web::Exchange::outcome_of(const http::response_header<>& answer) const {
    const unsigned status = answer.result_int();
    const route::Handling& how = route->handling;
    const auto among = [&](const std::vector<unsigned>& list) {
        return std::find(list.begin(), list.end(), status) != list.end();
    };
    return among(how.never_ran) ? Outcome::saturated
           : among(how.errors)  ? Outcome::errored
                                : Outcome::completed;
}

void Web::Exchange::errored(std::unique_ptr<Answer> answer) noexcept {
    last_.reset(static_cast<HttpAnswer*>(answer.release()));
}

void Web::Exchange::leave() noexcept {
    client_.reset();
    if (rest && !rest->ended()) rest->fail();
}

bool Web::Exchange::may_start(std::uint32_t attempt) const noexcept {
    return attempt < route->handling.attempts && (!rest || !rest->touched()) &&
           (arriving || (client_ && !client_->has_gone()));
}

template <class Say>
void Web::Exchange::end(Say say) noexcept {
    tell_end(client_, std::move(say));
}

std::shared_ptr<Stream> Web::Exchange::pass_on(Upstream::Response answer,
                                               std::optional<std::uint64_t> answer_length) {
    if (!client_) return nullptr;
    begun_ = true;
    const auto self = shared_from_this();
    return client_->begin_answer(answer, answer_length);
}

void Web::Exchange::served(std::unique_ptr<Answer> answer) noexcept {
    if (begun_) return leave();  // the stream's end tells its client
    end([&](Client& client) { client.answer(static_cast<HttpAnswer&>(*answer)); });
}

void Web::Exchange::refused(Millis retry_in) noexcept {
    end([&](Client& client) {
        if (last_) return client.answer(*last_);  // what its server says, rather than our word for it
        Reply reply = plain(503, "refused: trying again is harmless");
        set_retry_after(reply, retry_in);
        client.say(std::move(reply));
    });
}

void Web::Exchange::failed(Failure why) noexcept {
    if (begun_) {
        if (const auto client = std::exchange(client_, nullptr)) client->cut_off();
        return;
    }
    end([&](Client& client) {
        if (last_ && why != Failure::too_late) return client.answer(*last_);
        client.say(plain(why == Failure::too_late ? 504 : 502, "failed: it may have run"));
    });
}

}  // namespace whinledge
