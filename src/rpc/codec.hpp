// Messages on the wire: a length of four bytes, a message header and a structure, in Thrift's compact
// protocol.
#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>

#include "rpc/call.hpp"
#include "rpc/known_values.hpp"

namespace whinledge::rpc {

// A structure's bytes, without any frame.
template <class Struct>
std::string encode_body(const Struct& value) {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

// Thrift makes room for all elements that a list claims to have before it reads the first. None takes less
// than a byte, so a list has no more of them than its message has bytes. (0 would be no limit.)
inline std::int32_t most_elements(const std::string& bytes) {
    return static_cast<std::int32_t>(
        std::clamp<std::size_t>(bytes.size(), 1, static_cast<std::size_t>(kMaxFrameBytes)));
}

// Strict in size and in the numbers of enumerations (see known_values.hpp), tolerant of fields it does not
// know (those of newer versions).
template <class Struct>
Result<Struct> decode_body(const std::string& bytes) {
    try {
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
            static_cast<std::uint32_t>(bytes.size()));
        apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(
            buffer, static_cast<std::int32_t>(kMaxFrameBytes), most_elements(bytes));
        Struct value;
        value.read(&protocol);
        if (!has_known_values(value))
            return Error{
                Failure::unreadable,
                "a message holds a number of an enumeration that this version does not know: run the "
                "sender's version on both sides"};
        return value;
    } catch (const std::exception& error) {
        return Error{Failure::unreadable, std::string("a message can't be decoded (") + error.what() +
                                              "): check that both sides run "
                                              "compatible versions"};
    }
}

struct EncodedCall {
    std::string name;
    std::string body;
};

template <class Request>
EncodedCall encode_call(const char* name, const Request& request) {
    return {name, encode_body(request)};
}

enum class FrameKind : std::uint8_t { call = 1, reply = 2, unknown_call = 3, unreadable = 4 };

struct Frame {
    FrameKind kind = FrameKind::call;
    std::uint32_t sequence = 0;
    std::string name;  // of a call
    std::string body;
};

// Bytes of the whole frame with its length.
std::size_t frame_size(const Frame& frame);

// The whole frame with its length.
std::string encode_frame(const Frame& frame);

// Takes frames from the front of a byte stream.
class FrameReader {
public:
    enum class Status { frame, incomplete, fault };
    void append(const char* data, std::size_t size) { bytes_.append(data, size); }
    // `frame`: one was taken. `fault`: the stream can't be read any further.
    Status next(Frame& frame);
    std::size_t buffered() const { return bytes_.size() - at_; }

private:
    std::string bytes_;
    std::size_t at_ = 0;
};

}  // namespace whinledge::rpc
