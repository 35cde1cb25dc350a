// The register as one control process runs it: the cores beside this file put together. Without sockets, disk
// and clock of its own: RegisterHost stands for these.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "consensus/acceptor_care.hpp"
#include "consensus/control_peers.hpp"
#include "consensus/proposer.hpp"
#include "consensus/reader.hpp"
#include "consensus/replica.hpp"

namespace whinledge::consensus {

class RegisterCore {
public:
    struct Options {
        wire::NodeInfo self;                    // `identity` is set from the disk
        bool founder = false;                   // the disk was first used at the system's first boot
        std::vector<std::string> seeds;         // RPC addresses
        ReconfigurationLimits reconfiguration;  // but for `watching_since`
    };
    using Done = Proposer::Done;

    // `acceptor`: as the disk has it.
    RegisterCore(RegisterHost& host, const Options& options, Acceptor acceptor);
    RegisterCore(const RegisterCore&) = delete;
    RegisterCore& operator=(const RegisterCore&) = delete;
    // Begins to share, to found and to look after the acceptors.
    void start();

    // See RegisterService.
    void read(Millis timeout, Done done) { reader_.read(timeout, std::move(done)); }
    void change(Transform transform, Millis timeout, Done done) {
        proposer_.change(std::move(transform), timeout, std::move(done));
    }
    void set_present(const std::vector<wire::NodeInfo>& present) { peers_.set_present(present); }

    // Requests of other processes. See Replica.
    void handle(const AcceptorRequest& request, Replica::ReplyDone done) {
        replica_.handle(request, std::move(done));
    }
    wire::ShareReply handle(const wire::ShareRequest& request) { return peers_.handle(request); }

    const wire::ChosenValue& known() const { return replica_.known(); }
    const Acceptor& acceptor() const { return replica_.acceptor(); }
    // The own disk: it has refused every write for long.
    bool disk_refuses() const { return replica_.disk_refuses(); }
    // How often it began to.
    std::uint64_t withdrawals() const { return replica_.disk_withdrawals(); }
    // Whether the disk of the process at `address` takes what is written; none: that is not known.
    std::optional<bool> takes_writes(const std::string& address) const {
        return peers_.takes_writes(address);
    }
    std::size_t waiting_for_disk() const { return replica_.waiting_for_disk(); }
    const RegisterCounters& counters() const { return replica_.counters; }

private:
    void tick();
    void found();
    void finish_what_was_accepted();

    RegisterHost& host_;
    Replica replica_;
    Proposer proposer_;
    Reader reader_;
    ControlPeers peers_;
    AcceptorCare care_;
    Millis watching_since_ = 0, ticked_at_ = 0, cared_at_ = 0;
    wire::Ballot unfinished_;  // accepted here, not known to be chosen
    Millis finish_at_ = 0;
};

}  // namespace whinledge::consensus
