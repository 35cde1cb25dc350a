// The bytes of one connection between two processes: frames out, frames in. Used by both sides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "rpc/codec.hpp"

namespace whinledge::rpc {

// Frames that are sent within one turn of the loop go out in one write. Lives while a wait is open; close()
// ends all of them.
class Link : public std::enable_shared_from_this<Link> {
public:
    using Tcp = boost::asio::ip::tcp;

    Link(Tcp::socket socket, std::size_t most_unsent_bytes)
        : socket_(std::move(socket)), most_unsent_(most_unsent_bytes) {}

    // On a connected socket. Options are set here; frames that were sent before go out now.
    void start(std::chrono::milliseconds user_timeout);
    // False: the connection has ended, or too much waits for a peer that does not read (it is ended then).
    bool send(std::string frame);
    void close();
    bool open() const { return !closed_; }
    Tcp::socket& socket() { return socket_; }

    std::function<void(Frame)> on_frame;
    std::function<void()> on_end;  // once, unless closed by our own side
    std::uint64_t* bytes_out = nullptr;
    std::uint64_t* bytes_in = nullptr;

private:
    void end();
    void flush();
    void wait_writable();
    void wait_readable();
    void read();

    Tcp::socket socket_;
    std::size_t most_unsent_;
    std::string out_;
    std::size_t out_at_ = 0;
    FrameReader reader_;
    bool started_ = false, closed_ = false, flushing_ = false, writing_ = false;
};

}  // namespace whinledge::rpc
