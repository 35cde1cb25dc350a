// Where the platform asks whether clients may be sent here: GET /ready.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "listen/door.hpp"

namespace whinledge::data_plane {

class Readiness {
public:
    // Listens at once; throws boost::system::system_error where it can't. `is_ready` is asked at each
    // request.
    Readiness(boost::asio::io_context& io, const Door::Tcp::endpoint& address,
              std::function<bool()> is_ready);

    Door::Tcp::endpoint address() const { return door_.address(); }

private:
    class Asker;

    std::function<bool()> is_ready_;
    Door door_;
};

}  // namespace whinledge::data_plane
