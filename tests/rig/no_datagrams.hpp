// A datagram socket that fails each time it is read, made to happen at that one call: `recvfrom()` of the
// test program fails with ENOBUFS.
#pragma once

#include <cstddef>

namespace whinledge::test {

// While one lives. One at a time.
class NoDatagrams {
public:
    NoDatagrams();
    ~NoDatagrams();
    NoDatagrams(const NoDatagrams&) = delete;
    NoDatagrams& operator=(const NoDatagrams&) = delete;

    std::size_t failed() const { return failed_; }  // calls that met it

private:
    friend class ReceiveCall;
    std::size_t failed_ = 0;
};

}  // namespace whinledge::test
