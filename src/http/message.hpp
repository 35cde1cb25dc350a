// What both sides of the sidecar hold HTTP messages to.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace whinledge {

constexpr std::size_t kBodyLimit = 64 * 1024;
constexpr std::uint32_t kHeaderLimit = 16 * 1024;
// No limit: Beast 1.74 takes none at all for zero where a length is stated.
constexpr std::uint64_t kAnyLength = std::uint64_t{1} << 62;
// Of what may come behind a head and yield no body: sizes and extensions of chunks, trailers (RFC 9112, 7.1).
constexpr std::size_t kFramingLimit = 16 * 1024;

// Finds the end of a head as its bytes come. Line ends that another reader may take otherwise (a lone CR or
// LF), folded lines and control characters are faults: they are how one message hides in another.
class HeadScan {
public:
    enum class Found { more, end, fault };
    // The bytes of before, and what has come since.
    Found scan(std::string_view bytes) {
        for (; at_ < bytes.size(); ++at_) {
            const auto c = static_cast<unsigned char>(bytes[at_]);
            if (std::exchange(cr_, c == '\r')) {
                if (c != '\n') return Found::fault;
                if (at_ == line_ + 1) return line_ == 0 ? Found::fault : (++at_, Found::end);
                line_ = at_ + 1;
            } else if ((c < ' ' && c != '\r' && c != '\t') || c == 127 ||
                       (at_ == line_ && (c == ' ' || c == '\t'))) {
                return Found::fault;
            }
        }
        return Found::more;
    }
    std::size_t size() const { return at_; }

private:
    std::size_t at_ = 0, line_ = 0;  // read so far; where the line began
    bool cr_ = false;
};

// What a request's target may be made of (RFC 3986, 3.3 and 3.4): what else is there, one reader takes for
// one thing and another for another.
inline bool is_sound_target(std::string_view target) {
    static constexpr std::string_view marks = "-._~!$&'()*+,;=:@/?";
    const auto is_hex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    };
    for (std::size_t i = 0; i < target.size(); ++i) {
        const char c = target[i];
        if (c == '%') {
            if (i + 2 >= target.size() || !is_hex(target[i + 1]) || !is_hex(target[i + 2])) return false;
            i += 2;
        } else if (!(c >= '0' && c <= '9') && !(c >= 'a' && c <= 'z') && !(c >= 'A' && c <= 'Z') &&
                   marks.find(c) == std::string_view::npos) {
            return false;
        }
    }
    return true;
}

// Whether a path has a segment "." or "..", written as such or in triplets: it leads elsewhere than it says.
inline bool has_dot_segment(std::string_view path) {
    path = path.substr(0, path.find('?'));
    while (!path.empty()) {
        path.remove_prefix(1);  // the slash
        std::string_view segment = path.substr(0, path.find('/'));
        path.remove_prefix(segment.size());
        std::size_t dots = 0;
        for (; !segment.empty(); ++dots) {
            const bool triplet = segment.size() >= 3 && segment[0] == '%' && segment[1] == '2' &&
                                 (segment[2] == 'e' || segment[2] == 'E');
            if (segment[0] != '.' && !triplet) break;
            segment.remove_prefix(triplet ? 3 : 1);
        }
        if (segment.empty() && (dots == 1 || dots == 2)) return true;
    }
    return false;
}

// A host with or without a port, as far as its bytes go: no list, no blank, no user.
inline bool is_sound_host(std::string_view host) {
    return host.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-._~%:[]") ==
           std::string_view::npos;
}

// The framing of a chunked body (RFC 9112, 7.1) as its bytes come: line ends, control bytes and folds that
// another reader may take otherwise are faults, and what is not a whole line yet is held back from the
// parser.
class ChunkScan {
public:
    // What has come since. False: a fault.
    bool scan(std::string_view bytes) {
        for (; !bytes.empty() && state_ != State::done; bytes.remove_prefix(1), ++seen_) {
            if (state_ == State::data) {
                const auto skip = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
                left_ -= skip;
                seen_ += skip;
                bytes.remove_prefix(skip);
                ready_ = seen_;
                if (left_ == 0) state_ = State::data_cr;
                if (bytes.empty()) return true;
            }
            if (!step(static_cast<unsigned char>(bytes.front()))) return false;
        }
        return true;
    }
    std::uint64_t seen() const { return seen_; }    // bytes scanned
    std::uint64_t ready() const { return ready_; }  // of them, those that may be parsed
    bool done() const { return state_ == State::done; }

private:
    enum class State {
        size,
        extension,
        size_lf,
        data,
        data_cr,
        data_lf,
        line,
        trailer,
        trailer_lf,
        end_lf,
        done
    };
    bool step(unsigned char c) {
        const bool plain = c == '\t' || (c >= ' ' && c != 127);
        switch (state_) {
            case State::size: {
                const int digit = c >= '0' && c <= '9'   ? c - '0'
                                  : c >= 'a' && c <= 'f' ? c - 'a' + 10
                                  : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                                         : -1;
                if (digit >= 0) {
                    if (left_ >> 60) return false;
                    left_ = left_ * 16 + static_cast<unsigned>(digit);
                    sized_ = true;
                    return true;
                }
                if (!std::exchange(sized_, false)) return false;
                if (c == '\r') return to(State::size_lf);
                return (c == ';' || c == ' ' || c == '\t') && to(State::extension);
            }
            case State::extension:
                if (c == '\r') return !quoted_ && to(State::size_lf);
                if (!std::exchange(escaped_, quoted_ && !escaped_ && c == '\\') && c == '"')
                    quoted_ = !quoted_;
                return plain;
            case State::size_lf:
                if (c != '\n') return false;
                if (left_ == 0) return to(State::line);
                ready_ = seen_ + 1;
                return to(State::data);
            case State::data:
                return false;  // skipped by scan()
            case State::data_cr:
                return c == '\r' && to(State::data_lf);
            case State::data_lf:
                return c == '\n' && to(State::size);
            case State::line:
                if (c == '\r') return to(State::end_lf);
                return plain && c != ' ' && c != '\t' && to(State::trailer);
            case State::trailer:
                return c == '\r' ? to(State::trailer_lf) : plain;
            case State::trailer_lf:
                return c == '\n' && to(State::line);
            case State::end_lf:
                ready_ = seen_ + 1;
                return c == '\n' && to(State::done);
            case State::done:
                return true;
        }
        return false;
    }
    bool to(State state) {
        state_ = state;
        return true;
    }

    State state_ = State::size;
    bool sized_ = false, quoted_ = false, escaped_ = false;
    std::uint64_t left_ = 0;  // of a chunk's data; while its size is read: the size
    std::uint64_t seen_ = 0, ready_ = 0;
};

// A body in a string that grows as its bytes come, whatever length the head states.
struct PlainBody {
    using value_type = std::string;
    static std::uint64_t size(const value_type& body) { return body.size(); }
    class reader {
    public:
        template <bool request, class Fields>
        explicit reader(boost::beast::http::header<request, Fields>&, value_type& body) : body_(body) {}
        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
            error = {};
            std::size_t size = 0;
            for (auto at = boost::asio::buffer_sequence_begin(buffers);
                 at != boost::asio::buffer_sequence_end(buffers); ++at) {
                body_.append(static_cast<const char*>(at->data()), at->size());
                size += at->size();
            }
            return size;
        }
        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

// The body of a message as its bytes come. What yields no body is bounded, wherever it was cut in pieces; the
// trailers of chunks are kept apart (RFC 9110, 6.5.1), so that none of them passes for a field of the head.
template <class Parser>
class BodyFeed {
public:
    // Once the head is done, before any of the body is. `long_body`: one that may be larger than memory, and
    // may come in chunks of a byte.
    explicit BodyFeed(const Parser& parser, bool long_body = false) : long_body_(long_body) {
        if (!parser.chunked()) return;
        head_ = parser.get().base();
        scan_.emplace();
    }
    // Takes what it can from the front of `bytes`.
    void feed(Parser& parser, std::string& bytes, boost::system::error_code& error) {
        namespace http = boost::beast::http;
        std::size_t fit = bytes.size();
        if (scan_) {
            const auto known = static_cast<std::size_t>(scan_->seen() - taken_);
            if (!scan_->scan(std::string_view(bytes).substr(known))) error = http::error::bad_chunk;
            fit = static_cast<std::size_t>(scan_->ready() - taken_);
        }
        if (!error && !parser.is_done() && fit > 0) {
            const std::size_t taken = parser.put(boost::asio::buffer(bytes.data(), fit), error);
            bytes.erase(0, taken);
            taken_ += taken;
        }
        if (error == http::error::need_more) error = {};
        const std::size_t left = parser.is_done() ? 0 : bytes.size();
        const std::size_t body = drained_ + parser.get().body().size();
        const std::size_t bound = body + kFramingLimit + (long_body_ ? kFramingOfAByte * body : 0);
        if (!error && taken_ + left > bound) error = http::error::bad_chunk_extension;
    }
    // What has come of the body since, out of the parser.
    std::string drain(Parser& parser) {
        std::string body = std::exchange(parser.get().body(), {});
        drained_ += body.size();
        return body;
    }
    std::size_t size(const Parser& parser) const { return drained_ + parser.get().body().size(); }
    // The head as it came, without what stands behind the body.
    const auto& head(const Parser& parser) const { return head_ ? *head_ : parser.get().base(); }
    // The whole message, as far as it was not drained.
    auto release(Parser& parser) {
        auto message = parser.release();
        if (head_) message.base() = std::move(*head_);
        return message;
    }
    // Of a whole message, ahead of release(): what stands behind the body and not in the head.
    std::vector<std::pair<std::string, std::string>> trailers(const Parser& parser) const {
        std::vector<std::pair<std::string, std::string>> fields;
        if (!head_) return fields;
        const auto add = [&](const auto& header, auto&& what) {
            for (const auto& field : header)
                what(std::pair(std::string(field.name_string()), std::string(field.value())));
        };
        add(parser.get().base(), [&](auto&& field) { fields.push_back(field); });
        add(*head_, [&](auto&& field) {
            if (const auto at = std::find(fields.begin(), fields.end(), field); at != fields.end())
                fields.erase(at);
        });
        return fields;
    }

private:
    static constexpr std::size_t kFramingOfAByte = 16;
    using Header = std::decay_t<decltype(std::declval<const Parser&>().get().base())>;
    bool long_body_;
    std::optional<Header> head_;     // of a chunked message
    std::optional<ChunkScan> scan_;  // the same
    std::size_t taken_ = 0, drained_ = 0;
};

// Whether an answer says, and nothing else, that its request never ran.
template <class Fields>
bool proves_never_ran(const Fields& fields) {
    return fields.count("Not-Started") == 1 && fields["Not-Started"] == "1";
}

// How a message says where its body ends: not at all, by one length in plain digits, or by chunks alone.
// Whatever else it says might be read in two ways.
template <class Fields>
bool framing_is_sound(const Fields& fields) {
    using boost::beast::http::field;
    if (fields.version() < 11 && fields.count(field::transfer_encoding)) return false;  // RFC 9112, 6.1
    const auto lengths = fields.count(field::content_length),
               codings = fields.count(field::transfer_encoding);
    if (lengths + codings > 1) return false;
    if (codings == 1)
        return fields.version() > 10 && boost::beast::iequals(fields[field::transfer_encoding], "chunked");
    const auto digits = fields[field::content_length];
    return lengths == 0 || (!digits.empty() && digits.size() < 19 &&
                            digits.find_first_not_of("0123456789") == boost::beast::string_view::npos);
}

// What goes ahead of a message's body on the wire.
inline std::string start_line(const boost::beast::http::request_header<>& head) {
    const auto method = head.method_string(), target = head.target();
    return std::string(method.data(), method.size()) + ' ' + std::string(target.data(), target.size()) +
           " HTTP/1.1\r\n";
}
inline std::string start_line(const boost::beast::http::response_header<>& head) {
    const auto reason = head.reason();
    return "HTTP/1.1 " + std::to_string(head.result_int()) + ' ' + std::string(reason.data(), reason.size()) +
           "\r\n";
}
template <class Header>
std::string head_text(const Header& head) {
    std::string text = start_line(head);
    text.reserve(512);
    for (const auto& field : head) {
        text.append(field.name_string().data(), field.name_string().size()).append(": ");
        text.append(field.value().data(), field.value().size()).append("\r\n");
    }
    return text += "\r\n";
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

// Whether a field is named by the message's Connection as one of that connection alone (RFC 9110, 7.6.1).
template <class Fields>
bool is_nominated(const Fields& fields, boost::beast::string_view name) {
    // Those that stand for the request itself are no connection's, whatever it says.
    for (const char* const never : {"Request-Id", "X-Request-Id", "Idempotency-Key"})
        if (boost::beast::iequals(name, never)) return false;
    const auto lines = fields.equal_range(boost::beast::http::field::connection);
    for (auto line = lines.first; line != lines.second; ++line)
        if (boost::beast::http::token_list{line->value()}.exists(name)) return true;
    return false;
}

// What belongs to the message itself and not to the connection that it came on.
template <class From, class Each>
void each_end_to_end(const From& from, Each each) {
    using boost::beast::http::field;
    const bool nominates = from.find(field::connection) != from.end();
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
                if (!nominates || !is_nominated(from, header.name_string())) each(header);
        }
}
template <class To, class From>
void copy_end_to_end(To& to, const From& from) {
    each_end_to_end(
        from, [&](const auto& header) { to.insert(header.name(), header.name_string(), header.value()); });
}

// A head as it goes out, written once: neither a set of fields nor a copy of their texts is made for it.
class HeadText {
public:
    static HeadText request(std::string_view method, std::string_view target) {
        HeadText head;
        head.text_.reserve(512);
        head.text_.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
        return head;
    }
    static HeadText response(unsigned status, std::string_view reason) {
        HeadText head;
        head.text_.reserve(512);
        head.text_.append("HTTP/1.1 ")
            .append(std::to_string(status))
            .append(" ")
            .append(reason)
            .append("\r\n");
        return head;
    }
    HeadText& add(std::string_view name, std::string_view value) {
        text_.append(name).append(": ").append(value).append("\r\n");
        return *this;
    }
    HeadText& add(std::string_view name, std::uint64_t value) { return add(name, std::to_string(value)); }
    std::string whole() {  // once: it is spent with it
        text_.append("\r\n");
        return std::move(text_);
    }

private:
    std::string text_;
};

}  // namespace whinledge
