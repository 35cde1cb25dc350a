// The replicated register of the control plane, as the rest of a control process uses it: read it, change it
// by compare-and-set, and hear of each value that was chosen.
//
// The decisions are in the pure cores beside this file (acceptor, proposer, reconfiguration); this class
// gives them the network (rpc), the disk (a data folder) and time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/outcome/result.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/acceptor_log.hpp"
#include "consensus/register_types.hpp"
#include "failure_domain/loss_tolerance.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace whinledge::consensus {

class RegisterService {
public:
    using Duration = std::chrono::milliseconds;
    using Transform = consensus::Transform;
    // For tests: gives what is to stand between the acceptor and the log of its folder.
    using WrapLog = std::function<std::unique_ptr<AcceptorLog>(std::unique_ptr<AcceptorLog>)>;

    struct Options {
        wire::NodeInfo self;  // `identity` is set from the disk
        std::string data_folder;
        bool first_boot = false;
        std::vector<std::string> seeds;  // RPC addresses; at the first boot the founding acceptors
        failure_domain::LossTolerance survive{};
        WrapLog wrap_log;
    };

    // Reads its disk; registers its handlers at `server`. Throws std::runtime_error where the disk can't be
    // used.
    RegisterService(boost::asio::io_context& io, rpc::Client& client, rpc::Server& server, Options options);
    ~RegisterService();

    // Identity of this process's disk.
    std::int64_t identity() const;

    // The newest value that a majority holds, finished if it was half done. A value that was current at some
    // moment between the call and its answer.
    void read(Duration timeout, std::function<void(RegisterResult<wire::RegisterState>)> done);
    // `done` with the value in force after the change. A `no_majority` error leaves open whether it was
    // chosen.
    void change(Transform transform, Duration timeout,
                std::function<void(RegisterResult<wire::RegisterState>)> done);

    // The newest value known to be chosen; sequence 0: none.
    const wire::RegisterState& known() const;
    // Told of each newer chosen value, from any proposer, on the loop's thread.
    std::function<void(const wire::RegisterState&)> on_chosen;

    // Control processes that are there, with the identity of their disks: whoever of them is not an acceptor
    // is added, and acceptors that are gone are replaced (`present` has been heard of late). Called now and
    // then.
    void set_present(const std::vector<wire::NodeInfo>& present);

    // The newest epoch that is known, and whether the own acceptor has accepted its end.
    std::int64_t epoch() const;
    bool epoch_ends() const;
    // Its acceptors.
    std::vector<wire::Acceptor> acceptors() const;
    // Whether the disk of the process at `address` takes what is written, as far as that was told of late.
    std::optional<bool> takes_writes(const std::string& address) const;
    // For metrics and whinledge-ctl: one line of counters.
    std::string counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace whinledge::consensus
