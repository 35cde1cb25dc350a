// Questions to DNS servers, carried by c-ares: it has the sockets, the ids, the tries, the other servers and
// TCP where an answer is truncated. Its sockets and timeouts are driven from the loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "discovery/dns_message.hpp"
#include "engine/types.hpp"

struct ares_channeldata;

namespace whinledge::dns {

class Channel : public std::enable_shared_from_this<Channel> {
public:
    // The message as it came, or why there is none (then it is empty). From the loop, never from within
    // ask().
    using Done = std::function<void(std::vector<std::uint8_t> message, const std::string& why)>;

    // `resolver`: IP:PORT; empty: those of /etc/resolv.conf, which is read here. `patience`: for all tries of
    // a question at one server. Throws std::runtime_error.
    Channel(boost::asio::io_context& io, const std::string& resolver, Millis patience);
    ~Channel();
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    void ask(const std::string& name, Type type, Done done);
    // Nobody is called back from now on.
    void close() { closed_ = true; }

private:
    struct Query;
    class Watch;
    // Of the library's: nothing may be thrown through it. What is lost here is missed by who asked, in time.
    static void answered(void* query, int status, int timeouts, unsigned char* bytes, int size) noexcept;
    static void state_changed(void* channel, int socket, int readable, int writable) noexcept;
    void watch(int socket, bool readable, bool writable);
    void process(int readable, int writable);
    void set_timer();

    struct Library {
        Library();
        ~Library();
    } library_;
    boost::asio::io_context& io_;
    boost::asio::steady_timer timer_;
    std::map<int, std::shared_ptr<Watch>> watches_;
    ares_channeldata* channel_ = nullptr;
    bool closed_ = false;
};

}  // namespace whinledge::dns
