#include "feed/feed_relay.hpp"

#include <glog/logging.h>

#include <boost/system/system_error.hpp>
#include <utility>

#include "io/address.hpp"

namespace whinledge::feed {

FeedRelay::FeedRelay(boost::asio::io_context& io, rpc::Client& client, Feed& feed, Options options)
    : io_(io), client_(client), feed_(feed), options_(std::move(options)) {
    feed_.on_relay = [this](bool on) { turn(on); };
}

FeedRelay::~FeedRelay() { feed_.on_relay = nullptr; }

void FeedRelay::turn(bool on) {
    if (!on) {
        if (overlay_) overlay_->stop();
        return;
    }
    if (!overlay_) {
        try {
            server_ =
                std::make_unique<rpc::Server>(io_, endpoint_of<boost::asio::ip::tcp>(options_.self.address));
        } catch (const boost::system::system_error& error) {
            // Whatever the overlay does not bring, the watches do.
            LOG(ERROR) << "no part in the overlay: " << options_.self.address << " can't be listened at ("
                       << error.what() << "): free the port";
            return;
        }
        overlay::OverlayService::Options options;
        options.self = options_.self;
        options.seeds = options_.seeds;
        overlay_ = std::make_unique<overlay::OverlayService>(io_, client_, *server_, std::move(options));
        overlay_->on_state = [this](wire::RegisterState state) { feed_.take(std::move(state)); };
        overlay_->on_servers = [this](wire::ServersList servers) { feed_.take(std::move(servers)); };
        overlay_->on_difference = [this](wire::ServersDifference difference) {
            return feed_.take(std::move(difference));
        };
    }
    follow_controls();
    overlay_->start();
}

// Control processes known at present come first: seeds may be long gone.
void FeedRelay::follow_controls() {
    std::vector<std::string> addresses;
    for (const wire::NodeInfo& control : feed_.controls()) addresses.push_back(control.address);
    addresses.insert(addresses.end(), options_.seeds.begin(), options_.seeds.end());
    overlay_->set_seeds(std::move(addresses));
}

void FeedRelay::set_seeds(std::vector<std::string> seeds) {
    options_.seeds = std::move(seeds);
    if (overlay_) follow_controls();
}

rpc::TrafficByCall FeedRelay::traffic() const { return server_ ? server_->traffic() : rpc::TrafficByCall(); }

std::string FeedRelay::counters() const { return overlay_ ? overlay_->counters() : "running=0"; }

}  // namespace whinledge::feed
