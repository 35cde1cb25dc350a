// A client's connection on the http profile: its requests, one at a time, and their answers. Private to
// `Web`.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/chunks.hpp"
#include "http/client_connection.hpp"
#include "http/target.hpp"
#include "http/web_exchange.hpp"
#include "http/web_reply.hpp"

namespace whinledge {

namespace web {
constexpr Millis kLongestWrite = 30000;  // ms, of an answer that is not streamed
}  // namespace web

// Requests are read by web_request.cpp, answers written by web_answer.cpp.
class Web::Client final : public StreamingConnection<PlainBody> {
public:
    Client(Web& web, Places::Id place, Tcp::socket socket)
        : StreamingConnection(web.door_, place, std::move(socket)), web_(web) {}

    void welcome() override;
    // What lies unread may be the end of a head, which counts as taken; what idles may hold a whole one.
    bool spare() const override;
    void out_of_time() override;
    // The whole answer of a server.
    void answer(HttpAnswer& answer);
    // The beginning of a server's answer; the rest comes through the stream.
    std::shared_ptr<Stream> begin_answer(const Upstream::Response& from, std::optional<std::uint64_t> length);
    // Of our own making.
    void say(web::Reply reply);
    // Its answer has begun and can't be finished: it can tell, by an end ahead of its time.
    void cut_off();
    void broken() noexcept override;
    void fail() noexcept;
    bool http11() const { return version_ == 11; }
    using Guest::has_gone;

private:
    bool held_up() const override { return paused_ && reading_body_; }
    bool reads_body_late() const override { return reading_body_; }
    bool reads_at_the_end() const override { return phase_ == Phase::head; }
    bool ends_with_client() const override { return phase_ != Phase::answering; }

    void begin() override;

    bool judge_head(const Head& head) override;

    // Finds the route and makes the call of it. False: it has been answered.
    bool routed(const boost::beast::http::request_header<>& head, const Target& target);

    bool made(const boost::beast::http::request_header<>& head, const Target& target,
              const std::shared_ptr<const Routing>& routing, const route::Found& found,
              const std::string& pool_name);

    static std::string class_of(const boost::beast::http::request_header<>& head, const route::Handling& how);
    // Of a pool that does not know it: handled with most care.
    static std::uint32_t index_of(const std::string& name, const PoolView& pool);

    void outgoing_head(const boost::beast::http::request_header<>& from, const Target& target,
                       const route::Found& found, boost::beast::http::request_header<>& to);

    web::Reply redirect(const route::Route& route, const route::Found& found, const Target& target) const;

    // The body, first into memory, then, where it is larger than its route buffers, through a stream.
    void parse_body() override;
    // What a stream may hold, of what its limits leave; each of the two has a little in any case.
    static std::size_t stream_bound(Exchange& call);
    // Its limits are asked in steps.
    bool grows(std::size_t bytes);
    void room();
    void body_done();

    void take();

    // Bytes of a body that can't be read, are too many or don't come. What a server has of it by now is
    // without its end.
    void spoilt(unsigned status);
    template <class From>
    void head_of(web::Reply& reply, const From& from) {
        reply.version(11);
        reply.result(from.result_int());
        reply.reason(from.reason());
        copy_end_to_end(reply, from);
        const route::Route& route = *call_->route;
        if (route.handling.add_via) reply.insert(boost::beast::http::field::via, "1.1 " + web_.options_.via);
        web::FieldSink sink(reply);
        route::edit(route.answer_headers, sink);
    }
    template <class From>
    static void keep_length(web::Reply& reply, const From& from) {
        if (reply.result() == boost::beast::http::status::no_content) return;  // RFC 9110, 8.6
        if (const auto length = from[boost::beast::http::field::content_length]; !length.empty())
            reply.set(boost::beast::http::field::content_length, length);
    }

    // Whatever it is answered with, from here on.
    void begin_reply(web::Reply& reply);
    void say_early(web::Reply reply);
    void say_chunked(web::Reply reply, const Trailers& trailers);
    void reject(unsigned status) override;

    void add_chunk(std::string_view bytes) { append_chunk(out_, bytes); }
    void end_chunks(const Trailers& trailers) { append_last_chunk(out_, trailers); }

    // More of a streamed answer.
    void pump() override;
    Millis write_limit() const override { return write_limit_; }
    void answered() override { next(web_.options_.idle_timeout); }

    void left() override;
    // It waits for its pool no more.
    void waited() noexcept;

    Web& web_;
    std::shared_ptr<Exchange> call_;  // until its answer begins
    Millis write_limit_ = web::kLongestWrite;
    bool has_body_ = false;
    bool woken_ = true;          // its time for a head runs since its connecting
    bool reading_body_ = false;  // more of a request's body is to come
    bool paused_ = false;        // and is not read at present
    bool chunked_ = false;
};

}  // namespace whinledge
