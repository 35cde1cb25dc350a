// Want of a descriptor for a socket, made to happen at that one call: `socket()` of the test program fails
// with EMFILE. Taking away every descriptor of the process would take them from the test and from the
// sanitizers as well, which open a pipe to look at memory.
#pragma once

#include <cstddef>

namespace whinledge::test {

// While one lives, for so many calls. One at a time.
class NoSockets {
public:
    explicit NoSockets(std::size_t calls = static_cast<std::size_t>(-1));
    ~NoSockets();
    NoSockets(const NoSockets&) = delete;
    NoSockets& operator=(const NoSockets&) = delete;

    std::size_t refused() const { return refused_; }  // calls that met it

private:
    friend class SocketCall;
    const std::size_t calls_;
    std::size_t refused_ = 0;
};

}  // namespace whinledge::test
