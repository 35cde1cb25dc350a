#include "rpc/codec.hpp"

#include <thrift/protocol/TProtocol.h>

#include <array>

namespace whinledge::rpc {

namespace {

// Frame: length (4 bytes, big endian, of what follows), kind (1), sequence (4), length of the name (2), name,
// body.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 7;
constexpr std::size_t kCompactBytes = 64 << 10;  // read bytes that are kept ahead of the next frame

void put_number(std::string& out, std::uint32_t value, int bytes) {
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift));
}

std::uint32_t get_number(const char* at, int bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < bytes; ++i) value = value << 8 | static_cast<unsigned char>(at[i]);
    return value;
}

}  // namespace

std::size_t frame_size(const Frame& frame) {
    return kLengthBytes + kHeaderBytes + frame.name.size() + frame.body.size();
}

std::string encode_frame(const Frame& frame) {
    std::string out;
    out.reserve(frame_size(frame));
    put_number(out, static_cast<std::uint32_t>(kHeaderBytes + frame.name.size() + frame.body.size()), 4);
    out.push_back(static_cast<char>(frame.kind));
    put_number(out, frame.sequence, 4);
    put_number(out, static_cast<std::uint32_t>(frame.name.size()), 2);
    out += frame.name;
    out += frame.body;
    return out;
}

FrameReader::Status FrameReader::next(Frame& frame) {
    if (buffered() < kLengthBytes) return Status::incomplete;
    const std::uint32_t length = get_number(bytes_.data() + at_, 4);
    if (length < kHeaderBytes || length > kMaxFrameBytes) return Status::fault;
    if (buffered() < kLengthBytes + length) return Status::incomplete;
    const char* const start = bytes_.data() + at_ + kLengthBytes;
    const auto kind = static_cast<std::uint8_t>(start[0]);
    const std::uint32_t name_length = get_number(start + 5, 2);
    const bool known = kind >= static_cast<std::uint8_t>(FrameKind::call) &&
                       kind <= static_cast<std::uint8_t>(FrameKind::unreadable);
    if (!known || name_length > length - kHeaderBytes) return Status::fault;
    frame.kind = static_cast<FrameKind>(kind);
    frame.sequence = get_number(start + 1, 4);
    frame.name.assign(start + kHeaderBytes, name_length);
    frame.body.assign(start + kHeaderBytes + name_length, length - kHeaderBytes - name_length);
    at_ += kLengthBytes + length;
    if (at_ == bytes_.size()) {
        bytes_.clear();
        if (bytes_.capacity() > kCompactBytes) bytes_.shrink_to_fit();
        at_ = 0;
    } else if (at_ > kCompactBytes) {
        bytes_.erase(0, at_);
        at_ = 0;
    }
    return Status::frame;
}

}  // namespace whinledge::rpc
