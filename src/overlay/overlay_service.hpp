// The overlay of one process over remote calls: states and lists that control processes publish reach every
// process that takes part. Beside the pure core it has a timer, a call's handler, and encodes the bodies.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "overlay/types.hpp"
#include "rpc/call.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::overlay {

inline constexpr rpc::Call<wire::OverlayRequest, wire::OverlayReply> kOverlay{"overlay"};

class OverlayService {
public:
    struct Options {
        wire::NodeInfo self;             // a control process is a root
        std::vector<std::string> seeds;  // RPC addresses of control processes
    };
    // Takes no part until start(): calls of others are answered without a link.
    OverlayService(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server, Options options);
    ~OverlayService();
    OverlayService(const OverlayService&) = delete;
    OverlayService& operator=(const OverlayService&) = delete;

    // Neither does anything where it is so already. After a stop others find out by themselves.
    void start();
    void stop();
    bool running() const;

    // Control processes as they are known at present.
    void set_seeds(std::vector<std::string> seeds);

    // By roots. A version that is not newer than what is held is ignored, and remembered for a later start().
    void publish(const wire::RegisterState& state);
    void publish(const wire::ServersList& list);

    // Newer than any before.
    std::function<void(wire::RegisterState)> on_state;
    std::function<void(wire::ServersList)> on_servers;
    // In place of the whole list, where it is set. False: of no use, the whole is wanted.
    std::function<bool(wire::ServersDifference)> on_difference;

    struct LinkView {
        std::string address, zone;
        bool control = false, eager = false, parent = false;
    };
    // Links at present, by address; none where it takes no part.
    std::vector<LinkView> links() const;
    std::string counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::overlay
