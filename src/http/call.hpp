// One HTTP request between its client and the servers that it is sent to.
#pragma once

#include <boost/beast/http.hpp>
#include <string_view>
#include <utility>

#include "engine/call.hpp"
#include "http/upstream.hpp"

namespace whinledge {

// An answer whole in memory.
class HttpAnswer final : public Answer {
public:
    HttpAnswer(Upstream::Response response, Trailers trailers_)
        : message(std::move(response)), trailers(std::move(trailers_)) {}
    Upstream::Response message;
    Trailers trailers;
};

class HttpCall : public Call, public Upstream::Judge {
public:
    // The request as it goes to a server, which is given that long (milliseconds) to answer.
    virtual Upstream::Request outgoing(Millis time_left) const = 0;
    // The same to one member of its pool, for requests that name the server they are meant for.
    virtual Upstream::Request outgoing_to(std::string_view, Millis time_left) const {
        return outgoing(time_left);
    }
    // The same head once more, which the server is given less time for.
    virtual void retell(std::string&, Millis) const {}
    // The answer is passed on as it comes (Judge::whole_up_to); where to.
    virtual std::shared_ptr<Stream> pass_on(Upstream::Response, std::optional<std::uint64_t>) {
        return nullptr;
    }
};

}  // namespace whinledge
