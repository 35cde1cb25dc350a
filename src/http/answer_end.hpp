// Where the body of a server's answer ends, and whether an answer has come whole (RFC 9112, 6.3 and 8). Pure.
#pragma once

#include <boost/beast/http/field.hpp>

namespace whinledge {

// What marks the end of an answer's body.
enum class BodyDelimiter {
    none,              // there is no body, whatever the head states
    content_length,    // as many bytes as the head states
    last_chunk,        // the chunk of size 0, with its trailers
    connection_close,  // the head states nothing
};

// How the connection that an answer comes on has ended so far.
enum class ConnectionEnd {
    none,     // more may come
    orderly,  // closed by the server: all that it has sent has come
    broken,   // reset or timed out: bytes may be missing
};

// Whether no answer of this status has a body (RFC 9110, 6.4.1).
constexpr bool is_bodiless(unsigned status) { return status / 100 == 1 || status == 204 || status == 304; }

// `head`: that of an answer whose framing is sound (framing_is_sound()). `to_head`: its request was a HEAD.
template <class Head>
BodyDelimiter body_delimiter(const Head& head, bool to_head) {
    using boost::beast::http::field;
    if (to_head || is_bodiless(head.result_int())) return BodyDelimiter::none;
    if (head.count(field::transfer_encoding) > 0) return BodyDelimiter::last_chunk;
    if (head.count(field::content_length) > 0) return BodyDelimiter::content_length;
    return BodyDelimiter::connection_close;
}

// Whether an answer whose head has been read is whole. `delimited`: the stated length, or the last chunk, has
// been read.
constexpr bool is_whole(BodyDelimiter delimiter, bool delimited, ConnectionEnd end) {
    switch (delimiter) {
        case BodyDelimiter::none:
            return true;
        case BodyDelimiter::content_length:
        case BodyDelimiter::last_chunk:
            return delimited;
        case BodyDelimiter::connection_close:
            return end == ConnectionEnd::orderly;
    }
    return false;
}

}  // namespace whinledge
