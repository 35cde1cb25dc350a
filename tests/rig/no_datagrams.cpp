#include "rig/no_datagrams.hpp"

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>

namespace whinledge::test {

class ReceiveCall {
public:
    static ssize_t answer(int socket, void* to, size_t size, int flags, sockaddr* from, socklen_t* length) {
        if (!in_force || !is_datagrams(socket))
            return ::syscall(SYS_recvfrom, socket, to, size, flags, from, length);
        ++in_force->failed_;
        errno = ENOBUFS;
        return -1;
    }
    static inline NoDatagrams* in_force = nullptr;

private:
    static bool is_datagrams(int socket) {
        int type = 0;
        socklen_t size = sizeof type;
        return ::getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_DGRAM;
    }
};

NoDatagrams::NoDatagrams() { ReceiveCall::in_force = this; }
NoDatagrams::~NoDatagrams() { ReceiveCall::in_force = nullptr; }

}  // namespace whinledge::test

// In place of the C library's, for all that is linked into the test program.
extern "C" ssize_t recvfrom(int socket, void* to, size_t size, int flags, sockaddr* from, socklen_t* length) {
    return whinledge::test::ReceiveCall::answer(socket, to, size, flags, from, length);
}
