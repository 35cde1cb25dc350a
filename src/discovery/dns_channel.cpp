#include "discovery/dns_channel.hpp"

// Later versions of c-ares advise other calls, which the oldest one served (1.18) does not have.
#define CARES_NO_DEPRECATED
#include <ares.h>
#include <sys/time.h>

#include <algorithm>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace whinledge::dns {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kTries = 2;  // the second waits twice as long
constexpr Millis kLeastTry = 1;

void check(int status) {
    if (status != ARES_SUCCESS) throw std::runtime_error(ares_strerror(status));
}

}  // namespace

struct Channel::Query {
    Channel* channel;
    Done done;
};

// A socket of the library's: waited for here, closed there.
class Channel::Watch : public std::enable_shared_from_this<Watch> {
public:
    Watch(Channel& channel, int socket)
        : channel_(channel), socket_(socket), descriptor_(channel.io_, socket) {}
    ~Watch() { release(); }
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

    void want(bool readable, bool writable) {
        read_.wanted = readable;
        write_.wanted = writable;
        wait();
    }
    void release() {
        if (descriptor_.is_open()) descriptor_.release();
    }

private:
    struct Direction {
        bool wanted = false, waiting = false;
    };
    void wait() {
        wait(read_, asio::posix::stream_descriptor::wait_read);
        wait(write_, asio::posix::stream_descriptor::wait_write);
    }
    void wait(Direction& direction, asio::posix::stream_descriptor::wait_type type) {
        if (!direction.wanted || direction.waiting) return;
        descriptor_.async_wait(type, [weak = weak_from_this(), keep = channel_.weak_from_this(), &direction,
                                      type](error_code failed) {
            const auto channel = keep.lock();
            const auto self = weak.lock();
            if (!channel || !self || failed || !self->descriptor_.is_open()) return;
            direction.waiting = false;
            if (direction.wanted) {
                const bool reads = type == asio::posix::stream_descriptor::wait_read;
                channel->process(reads ? self->socket_ : ARES_SOCKET_BAD,
                                 reads ? ARES_SOCKET_BAD : self->socket_);
            }
            if (self->descriptor_.is_open()) self->wait();
        });
        direction.waiting = true;
    }

    Channel& channel_;
    int socket_;
    asio::posix::stream_descriptor descriptor_;
    Direction read_, write_;
};

Channel::Library::Library() { check(ares_library_init(ARES_LIB_INIT_ALL)); }
Channel::Library::~Library() { ares_library_cleanup(); }

Channel::Channel(asio::io_context& io, const std::string& resolver, Millis patience) : io_(io), timer_(io) {
    ares_options options{};
    options.flags = ARES_FLAG_EDNS;
    options.ednspsz = kUdpSize;
    options.timeout = static_cast<int>(std::max(kLeastTry, patience / ((1 << kTries) - 1)));
    options.tries = kTries;
    options.sock_state_cb = &Channel::state_changed;
    options.sock_state_cb_data = this;
    check(ares_init_options(
        &channel_, &options,
        ARES_OPT_FLAGS | ARES_OPT_EDNSPSZ | ARES_OPT_TIMEOUTMS | ARES_OPT_TRIES | ARES_OPT_SOCK_STATE_CB));
    if (resolver.empty()) return;
    if (const int status = ares_set_servers_ports_csv(channel_, resolver.c_str()); status != ARES_SUCCESS) {
        ares_destroy(channel_);
        check(status);
    }
}

Channel::~Channel() {
    closed_ = true;
    ares_destroy(channel_);  // answers all that is out, and gives back the sockets
}

void Channel::ask(const std::string& name, Type type, Done done) {
    auto query = std::make_unique<Query>(Query{this, std::move(done)});
    ares_query(channel_, name.c_str(), kInternet, static_cast<int>(type), &Channel::answered,
               query.release());
    set_timer();
}

void Channel::answered(void* of, int status, int, unsigned char* bytes, int size) noexcept {
    const std::unique_ptr<Query> query(static_cast<Query*>(of));
    Channel& channel = *query->channel;
    if (channel.closed_) return;
    try {
        std::vector<std::uint8_t> message;
        std::string why;
        // A status other than success may stand for what the message says better.
        if (bytes && size > 0) {
            message.assign(bytes, bytes + size);
        } else {
            why = ares_strerror(status);
        }
        asio::post(channel.io_, [weak = channel.weak_from_this(), done = std::move(query->done),
                                 message = std::move(message), why = std::move(why)]() mutable {
            const auto self = weak.lock();
            if (self && !self->closed_) done(std::move(message), why);
        });
    } catch (...) {
    }
}

void Channel::state_changed(void* channel, int socket, int readable, int writable) noexcept {
    try {
        static_cast<Channel*>(channel)->watch(socket, readable != 0, writable != 0);
    } catch (...) {
    }
}

void Channel::watch(int socket, bool readable, bool writable) {
    const auto at = watches_.find(socket);
    if (!readable && !writable) {
        if (at == watches_.end()) return;
        at->second->release();
        watches_.erase(at);
        return;
    }
    auto& watch = watches_[socket];
    if (!watch) watch = std::make_shared<Watch>(*this, socket);
    watch->want(readable, writable);
}

void Channel::process(int readable, int writable) {
    ares_process_fd(channel_, readable, writable);
    set_timer();
}

void Channel::set_timer() {
    timeval left{};
    if (!ares_timeout(channel_, nullptr, &left)) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(std::chrono::seconds(left.tv_sec) + std::chrono::microseconds(left.tv_usec));
    timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
        if (const auto self = weak.lock(); self && !cancelled)
            self->process(ARES_SOCKET_BAD, ARES_SOCKET_BAD);
    });
}

}  // namespace whinledge::dns
