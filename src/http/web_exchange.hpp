// A request of the http profile: what its route made of it, and what is done with its outcome. Private to
// `Web`.
#pragma once

#include <algorithm>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "http/call.hpp"
#include "http/message.hpp"
#include "http/stream.hpp"
#include "http/web.hpp"
#include "listen/admission.hpp"

namespace whinledge {

class Web::Exchange final : public HttpCall, public std::enable_shared_from_this<Exchange> {
public:
    explicit Exchange(std::shared_ptr<Client> client) : client_(std::move(client)) {}

    // Made of the route before its body comes.
    std::shared_ptr<const Routing> routing;  // keeps `route`
    const route::Route* route = nullptr;
    std::string pool_name;
    std::string class_name;                     // found anew in the pool that has it when its body is there
    boost::beast::http::request_header<> head;  // as it goes to servers, but for the framing of its body
    std::unique_ptr<Grant> grant;
    std::size_t held = 0;  // bytes asked of it
    bool is_head = false;
    bool arriving = true;                 // its body, or the buffered part, has just been read
    std::optional<std::uint64_t> length;  // of the body, where it was told
    bool has_body = false;
    // As the body comes: what is buffered of it, then the rest.
    std::string body;
    Trailers trailers;
    std::shared_ptr<Stream> rest;

    Upstream::Request outgoing(Millis) const override;
    Outcome outcome_of(const boost::beast::http::response_header<>& answer) const override;
    std::size_t whole_up_to() const override { return std::max<std::size_t>(1, route->handling.buffer); }
    std::size_t answer_limit() const override { return route->handling.answer_limit; }
    bool head_only() const override { return is_head; }
    bool keeps_failed_answers() const override { return true; }
    bool begins_when_whole() const override { return false; }
    Millis idle() const override { return route->handling.stream_idle; }
    // An attempt that does not begin right on arrival looks first: its client's end may wait in the loop's
    // queue behind what makes room for it.
    bool may_start(std::uint32_t attempt) const noexcept override;

    std::shared_ptr<Stream> pass_on(Upstream::Response answer,
                                    std::optional<std::uint64_t> answer_length) override;
    void served(std::unique_ptr<Answer> answer) noexcept override;
    void refused(Millis retry_in) noexcept override;
    void failed(Failure why) noexcept override;
    void errored(std::unique_ptr<Answer> answer) noexcept override;

    // Its client has gone, or has its answer: what comes now is for nobody.
    void leave() noexcept;

private:
    template <class Say>
    void end(Say say) noexcept;

    std::shared_ptr<Client> client_;    // until it has its answer
    std::unique_ptr<HttpAnswer> last_;  // a server's answer that counted as a failed attempt
    bool begun_ = false;
};

}  // namespace whinledge
