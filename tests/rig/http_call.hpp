// Requests as the transport of HTTP carries them, and servers at which no connect comes up.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "http/call.hpp"
#include "rig/engine_rig.hpp"
#include "rig/net_rig.hpp"

namespace whinledge::test {

inline Upstream::Request post_of(const std::string& target, const std::shared_ptr<const std::string>& body) {
    Upstream::Request request;
    request.head = HeadText::request("POST", target).add("Content-Length", body->size()).whole();
    request.body = *body;
    request.keep = body;
    return request;
}

// A call of no listener; what an answer means is the protocol's table.
struct PostCall : HttpCall {
    explicit PostCall(std::string to = "/deposit", std::size_t size = 0)
        : target(std::move(to)), body(std::make_shared<std::string>(size, 'x')) {}
    Upstream::Request outgoing(Millis) const override { return post_of(target, body); }
    Outcome outcome_of(const http::response_header<>& head) const override {
        if (head.result_int() == 200) return Outcome::completed;
        return head.result_int() == 503 && head["Not-Started"] == "1" ? Outcome::saturated : Outcome::errored;
    }
    void served(std::unique_ptr<Answer> answer) noexcept override {
        end = End::served;
        by = static_cast<HttpAnswer&>(*answer).message.body();
    }
    void refused(Millis) noexcept override { end = End::refused; }
    void failed(Failure) noexcept override { end = End::failed; }

    const std::string target;
    const std::shared_ptr<const std::string> body;
    End end = End::none;
    std::string by;
};

// Its queue is full: no connect comes up.
struct DeafServer {
    explicit DeafServer(asio::io_context& io) : acceptor(io, Tcp::v4()) {
        acceptor.bind(any_port);
        acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            filling.emplace_back(io, Tcp::v4());
            filling.back().async_connect(endpoint(), [](error_code) {});
        }
    }
    Tcp::endpoint endpoint() const { return acceptor.local_endpoint(); }
    Tcp::acceptor acceptor;
    std::list<Tcp::socket> filling;
};

}  // namespace whinledge::test
