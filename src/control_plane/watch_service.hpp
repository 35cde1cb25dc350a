// Answers the long polls of edge and storage processes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "feed/watch.hpp"
#include "rpc/server.hpp"

namespace whinledge::control_plane {

class WatchService {
public:
    // What is told comes from here.
    struct Source {
        std::function<const wire::RegisterState&()> state;  // newest known to be chosen
        std::function<const wire::ServersList&()> servers;
        // From a version that a watcher has to the newest; none: only the whole list helps. Empty: always so.
        std::function<std::optional<wire::ServersDifference>(std::int64_t term, std::int64_t sequence)>
            difference_since;
        std::function<bool()> list_alive;
        std::function<std::vector<wire::NodeInfo>()> controls;
        // A state that was current at a majority after the call; none: no majority answered.
        std::function<void(std::function<void(std::optional<wire::RegisterState>)>)> read;
        std::function<void(const wire::WatchRequest&)> heard;
        std::function<bool()> relay;  // whether watchers are to use the overlay; empty: no
        // Live edge processes, told to them; none, or empty: not known.
        std::function<std::optional<std::size_t>()> proxies;
    };

    WatchService(boost::asio::io_context& io, rpc::Server& server, Source source);
    ~WatchService();

    // State or list are newer: answers all who wait for that.
    void changed();
    // Answers everybody now.
    void drain();
    std::size_t waiting() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::control_plane
