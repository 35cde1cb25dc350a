// A socket of our own where descriptors are short.
#pragma once

#include <boost/asio/error.hpp>
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

}  // namespace whinledge
