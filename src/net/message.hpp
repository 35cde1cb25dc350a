// What both sides of the sidecar hold HTTP messages to.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <utility>

namespace kestrelhall::net {

constexpr std::size_t kBodyLimit = 64 * 1024;
constexpr std::uint32_t kHeaderLimit = 16 * 1024;

// Whether reading ended on bytes that are not a message within the bounds, and not on the connection's end.
inline bool malformed(boost::system::error_code error) {
    using Http = boost::beast::http::error;
    return error.category() == make_error_code(Http::end_of_stream).category() &&
           error != Http::end_of_stream && error != Http::partial_message;
}

// Reads one message within the bounds. The length that a header states is held against them before the body
// is read: Beast 1.74 lets a body pass that comes along with its header, and reserves what is stated.
template <class Socket, class Buffer, class Parser, class Handler>
void async_read_bounded(Socket& socket, Buffer& buffer, Parser& parser, std::size_t body_limit,
                        Handler handler) {
    namespace http = boost::beast::http;
    parser.header_limit(kHeaderLimit);
    parser.body_limit(body_limit);
    http::async_read_header(
        socket, buffer, parser,
        [&, body_limit, handler = std::move(handler)](boost::system::error_code failed, std::size_t) mutable {
            if (!failed && parser.content_length() && *parser.content_length() > body_limit)
                failed = http::error::body_limit;
            if (failed) return handler(failed);
            http::async_read(socket, buffer, parser,
                             [handler = std::move(handler)](boost::system::error_code ended,
                                                            std::size_t) mutable { handler(ended); });
        });
}

// Copies what belongs to the message itself and not to the connection that it came on.
template <class To, class From>
void copy_end_to_end(To& to, const From& from) {
    using boost::beast::http::field;
    for (const auto& header : from) switch (header.name()) {
            case field::connection:
            case field::content_length:
            case field::expect:
            case field::host:
            case field::keep_alive:
            case field::proxy_authenticate:
            case field::proxy_authorization:
            case field::proxy_connection:
            case field::te:
            case field::trailer:
            case field::transfer_encoding:
            case field::upgrade:
                break;
            default:
                to.insert(header.name(), header.name_string(), header.value());
        }
}

}  // namespace kestrelhall::net
