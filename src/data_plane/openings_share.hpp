// A proxy's part in the shared sense of which openings of prompts are busiest: tells one control process what
// came through here, and its pools what came through all proxies.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "io/loop_timer.hpp"
#include "openings/teller.hpp"
#include "rpc/client.hpp"

namespace whinledge::data_plane {

class OpeningsShare {
public:
    struct Options {
        std::uint64_t node = 0;                                   // drawn at the start of this process
        std::string zone{};                                       // control processes there are preferred
        std::function<std::vector<wire::NodeInfo>()> controls{};  // that are known
        std::function<openings::Traffic()> seen{};                // what came through here
        std::function<void(const openings::Traffic&)> shared{};   // what came through all; empty: not known
    };
    OpeningsShare(boost::asio::io_context& io, rpc::Client& client, Options options);

    // False: nothing is told any more, and what was heard is forgotten.
    void set_on(bool on);
    std::string counters() const;

private:
    void look();
    void tell(const openings::Teller::Word& word);
    void ended(bool answered);
    void publish(const openings::Traffic& sum);

    rpc::Client& client_;
    Options options_;
    openings::Teller teller_;
    LoopTimer timer_;
    bool on_ = false;
    bool holds_sum_ = false;      // the pools were told one that is not empty
    std::uint64_t failures_ = 0;  // since the last answer: each second one leads to the next control process
    std::uint64_t words_ = 0, failed_ = 0, sums_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // calls that end later look whether it is there
};

}  // namespace whinledge::data_plane
