// Brings a feed its states and lists by the overlay while the control processes ask for that. Off, it costs
// nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "feed/feed.hpp"
#include "overlay/overlay_service.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::feed {

class FeedRelay {
public:
    struct Options {
        wire::NodeInfo self;
        std::vector<std::string> seeds;  // RPC addresses
    };
    // Before the feed has started; both are used until this ends.
    FeedRelay(boost::asio::io_context& io, rpc::Client& client, Feed& feed, Options options);
    ~FeedRelay();
    FeedRelay(const FeedRelay&) = delete;
    FeedRelay& operator=(const FeedRelay&) = delete;

    void set_seeds(std::vector<std::string> seeds);
    std::string counters() const;
    // Of the calls that were answered here.
    rpc::TrafficByCall traffic() const;

private:
    void turn(bool on);
    void follow_controls();

    boost::asio::io_context& io_;
    rpc::Client& client_;
    Feed& feed_;
    Options options_;
    std::unique_ptr<rpc::Server> server_;
    std::unique_ptr<overlay::OverlayService> overlay_;  // from the first time that it is asked for
};

}  // namespace whinledge::feed
