// Which openings of prompts are busiest: answers the proxies that tell of theirs, and exchanges subtotals
// with the other control processes. Does nothing while no proxy tells it anything.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "io/loop_timer.hpp"
#include "openings/merger.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::control_plane {

class OpeningsService {
public:
    struct Options {
        std::uint64_t source = 0;                              // of this process, drawn at its start
        std::function<std::vector<std::string>()> controls{};  // addresses of the others
    };
    OpeningsService(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server, Options options);

    std::vector<openings::OpeningView> views();
    std::size_t nodes() const { return merger_.nodes(); }
    std::string counters() const;

private:
    // Tells the others, for as long as there are nodes that tell this process.
    void tick();

    rpc::Client& client_;
    Options options_;
    openings::Merger merger_;
    LoopTimer timer_;
    bool ticking_ = false;
    std::uint64_t words_ = 0, subtotals_ = 0, failed_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // calls that end later look whether it is there
};

}  // namespace whinledge::control_plane
