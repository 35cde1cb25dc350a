// A proxy's part in judging new versions: tells one control process what was seen here, for as long as a
// rollout is open, and hands on what it answers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "io/loop_timer.hpp"
#include "rollout/calls.hpp"
#include "rpc/client.hpp"

namespace whinledge::data_plane {

class RolloutShare {
public:
    struct Options {
        std::uint64_t node = 0;                                       // drawn at the start of this process
        std::string zone{};                                           // control processes there are preferred
        std::function<std::vector<wire::NodeInfo>()> controls{};      // that are known
        std::function<std::vector<wire::RolloutReport>()> reports{};  // one for each open rollout
        std::function<void(std::int64_t number, const wire::RolloutReportReply&)> heard{};
    };
    RolloutShare(boost::asio::io_context& io, rpc::Client& client, Options options);

    // A rollout may have begun.
    void wake();
    std::string counters() const;

private:
    void look();
    void tell(const wire::RolloutReport& report);

    rpc::Client& client_;
    Options options_;
    LoopTimer timer_;
    std::minstd_rand random_;
    bool awake_ = false;
    std::uint64_t failures_ = 0;  // each leads to the next control process
    std::uint64_t reports_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // calls that end later look whether it is there
};

}  // namespace whinledge::data_plane
