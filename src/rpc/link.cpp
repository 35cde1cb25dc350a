#include "rpc/link.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace whinledge::rpc {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 64 << 10;
constexpr int kMostReads = 4;  // in one turn of the loop, so that others have theirs

std::array<char, kReadBytes>& scratch() {
    static std::array<char, kReadBytes> bytes;  // one thread: filled and emptied within one call
    return bytes;
}

}  // namespace

void Link::start(std::chrono::milliseconds user_timeout) {
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(Tcp::no_delay(true), ignored);
    const auto milliseconds = static_cast<unsigned>(user_timeout.count());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    started_ = true;
    wait_readable();
    if (!out_.empty()) flush();
}

bool Link::send(std::string frame) {
    if (closed_) return false;
    if (out_.size() - out_at_ > most_unsent_) {
        end();
        return false;
    }
    if (out_.empty())
        out_ = std::move(frame);
    else
        out_ += frame;
    if (!started_ || flushing_ || writing_) return true;
    flushing_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->flushing_ = false;
        self->flush();
    });
    return true;
}

void Link::flush() {
    if (closed_ || writing_) return;
    error_code error;
    const std::size_t size =
        socket_.write_some(asio::buffer(out_.data() + out_at_, out_.size() - out_at_), error);
    if (error && error != asio::error::would_block) return end();
    if (bytes_out) *bytes_out += size;
    out_at_ += size;
    if (out_at_ < out_.size()) return wait_writable();
    out_.clear();
    out_at_ = 0;
}

void Link::wait_writable() {
    writing_ = true;
    socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
        self->writing_ = false;
        if (self->closed_) return;
        failed ? self->end() : self->flush();
    });
}

void Link::wait_readable() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
        if (self->closed_) return;
        failed ? self->end() : self->read();
    });
}

void Link::read() {
    for (int reads = 0; reads < kMostReads; ++reads) {
        error_code error;
        const std::size_t size = socket_.read_some(asio::buffer(scratch()), error);
        if (error == asio::error::would_block) break;
        if (error) return end();
        if (bytes_in) *bytes_in += size;
        reader_.append(scratch().data(), size);
        if (size < scratch().size()) break;
    }
    Frame frame;
    for (;;) {
        const FrameReader::Status status = reader_.next(frame);
        if (status == FrameReader::Status::fault) return end();
        if (status == FrameReader::Status::incomplete) break;
        if (const auto told = on_frame) told(std::move(frame));
        if (closed_) return;
    }
    wait_readable();
}

void Link::end() {
    if (closed_) return;
    const auto told = std::move(on_end);
    close();
    if (told) told();
}

void Link::close() {
    if (closed_) return;
    closed_ = true;
    on_frame = nullptr;
    on_end = nullptr;
    error_code ignored;
    socket_.close(ignored);
}

}  // namespace whinledge::rpc
