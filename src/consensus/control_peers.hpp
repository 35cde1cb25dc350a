// The other control processes: who they are, when they were heard of, and what they know to be chosen. Values
// go to all of them as they are chosen; once a second or so each pair compares what it knows, so that who was
// cut off catches up.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/reconfiguration.hpp"
#include "consensus/replica.hpp"

namespace whinledge::consensus {

class ControlPeers {
public:
    // `seeds`: RPC addresses.
    ControlPeers(Replica& replica, std::vector<std::string> seeds);

    // Processes that others know of.
    void set_present(const std::vector<wire::NodeInfo>& present);
    wire::ShareReply handle(const wire::ShareRequest& request);

    // Compares with those that it was not done with of late.
    void share();
    // Asks all of them whether they are there.
    void ask_all();
    // Tells all of the newest value; who accepted it needs only its ballot.
    void announce(const std::vector<std::int64_t>& accepted_by);

    // At the system's first boot the seeds' disks become the acceptors of epoch 1. Each seed gathers the same
    // set, since identities come from disks, so it is no matter which of them is the first to tell of it.
    // They take turns of `kFoundingTurn`, beginning at `started_at`.
    std::optional<wire::ChosenValue> founding(Millis started_at) const;

    // Whether the disk of the process at `address` takes what is written, as it told of late; none: it was
    // not heard.
    std::optional<bool> takes_writes(const std::string& address) const;

    // All that were heard of, this process as well. Present are those heard of late or, with `asked_at`,
    // those that have answered a request that was sent since then.
    std::vector<HeardAcceptor> heard(std::optional<Millis> asked_at) const;

private:
    static constexpr Millis kNever = -1'000'000;
    struct Peer {
        wire::NodeInfo info;  // identity 0: it has not been heard of
        bool founder = false;
        Millis heard_at = kNever;
        Millis first_heard_at = kNever;  // with this identity
        Millis diskless_at = kNever;     // it last told that its disk takes nothing
        Millis confirmed_at = kNever;    // when the last request was sent that it has answered
        Millis shared_at = kNever;       // when the last request was sent
        Millis wanted_at = kNever;       // it was last named by somebody
    };
    void want(const std::string& address);
    void hear_request(const wire::NodeInfo& who, bool founder);
    void hear_reply(const wire::NodeInfo& who, bool founder, Millis sent_at);
    void hear(const wire::NodeInfo& who, bool founder);
    void hear_of_no_disk(const wire::NodeInfo& who);
    void share_with(const std::string& address, bool with_value);

    Replica& replica_;
    std::vector<std::string> seeds_;
    std::map<std::string, Peer> peers_;  // by address
};

}  // namespace whinledge::consensus
