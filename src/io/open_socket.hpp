// A socket of our own where descriptors are short.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <functional>

namespace whinledge {

// Lets go of a connection that somebody holds idle: its descriptor is free then. False: nobody does.
using LetGo = std::function<bool()>;

// Whoever idles is let go before a connect fails for want of a descriptor.
template <class Socket>
boost::system::error_code open_socket(Socket& socket, const typename Socket::protocol_type& protocol,
                                      const LetGo& let_go) {
    boost::system::error_code failed;
    do socket.open(protocol, failed);
    while (failed == boost::asio::error::no_descriptors && let_go && let_go());
    return failed;
}

// Whether a connection can't be had for want of our own means, which says nothing of the server.
inline bool is_own_exhaustion(boost::system::error_code error) {
    return error == boost::asio::error::no_descriptors || error == boost::asio::error::no_buffer_space ||
           error == boost::asio::error::no_memory || error == boost::asio::error::address_in_use ||
           error == boost::system::errc::too_many_files_open_in_system ||
           error == boost::system::errc::address_not_available;
}

}  // namespace whinledge
