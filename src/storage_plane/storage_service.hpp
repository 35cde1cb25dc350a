// A storage member on the network: its node and repair with RPC, the feed, timers and the data folder.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>

#include "node/settings.hpp"

namespace whinledge::storage_plane {

class StorageService {
public:
    // Reads the data folder and listens. Throws std::runtime_error or boost::system::system_error, whose
    // message names the folder or address and the remedy, where either can't be had.
    StorageService(boost::asio::io_context& io, const node::Settings& settings);
    ~StorageService();

    // Seeds may be others; all else stays as it was at the start.
    void change(const node::Settings& settings);
    std::string counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::storage_plane
