// Want of a descriptor for a socket, made to happen at that one call: `socket()` of the test program fails
// with EMFILE. Taking away every descriptor of the process would take them from the test and from the
// sanitizers as well, which open a pipe to look at memory.
#pragma once

#include <cstddef>

namespace whinledge::test {

// While one lives. One at a time.
class NoSockets {
public:
    NoSockets();
    ~NoSockets();
    NoSockets(const NoSockets&) = delete;
    NoSockets& operator=(const NoSockets&) = delete;

    std::size_t refused() const { return refused_; }  // calls that met it

private:
    friend class SocketCall;
    std::size_t refused_ = 0;
};

}  // namespace whinledge::test
