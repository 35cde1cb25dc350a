#include "rig/no_sockets.hpp"

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>

namespace whinledge::test {

class SocketCall {
public:
    static int answer(int domain, int type, int protocol) {
        if (!in_force || in_force->refused_ == in_force->calls_)
            return static_cast<int>(::syscall(SYS_socket, domain, type, protocol));
        ++in_force->refused_;
        errno = EMFILE;
        return -1;
    }
    static inline NoSockets* in_force = nullptr;
};

NoSockets::NoSockets(std::size_t calls) : calls_(calls) { SocketCall::in_force = this; }
NoSockets::~NoSockets() { SocketCall::in_force = nullptr; }

}  // namespace whinledge::test

// In place of the C library's, for all that is linked into the test program.
extern "C" int socket(int domain, int type, int protocol) noexcept {
    return whinledge::test::SocketCall::answer(domain, type, protocol);
}
