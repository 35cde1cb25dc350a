// Repair between storage members. Each member follows the changes of every other and pulls what it should
// hold and lacks; a position behind which all is pulled and synced is told with the next question.
// Level-triggered: with each new map it starts anew from the beginning of all, and so it does where members
// fall silent or have no room: what these were to take is pulled by others.
//
// A new member pulls all before it may vote; one that retires waits until enough others have told that they
// hold each of its turns, and gives them itself to those that answer where that takes long.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "failure_domain/spread.hpp"
#include "rpc/call.hpp"
#include "storage_plane/peer_reach.hpp"
#include "storage_plane/storage_node.hpp"

namespace whinledge::storage_plane {

// How repair reaches the other members; a simulated network in tests.
class PeerCalls {
public:
    template <class Reply>
    using Done = std::function<void(rpc::Result<Reply>)>;
    virtual ~PeerCalls() = default;
    virtual void changes(const std::string& address, const wire::ChangesRequest& request,
                         Done<wire::ChangesReply> done) = 0;
    virtual void fetch(const std::string& address, const wire::FetchRequest& request,
                       Done<wire::FetchReply> done) = 0;
    virtual void digests(const std::string& address, const wire::DigestRequest& request,
                         Done<wire::DigestReply> done) = 0;
    virtual void store(const std::string& address, const wire::StoreRequest& request,
                       Done<wire::StoreReply> done) = 0;
};

class Repair {
public:
    struct Options {
        failure_domain::LossTolerance survive{};
        std::int64_t poll_ms = 2000;           // between questions to a member that was followed to its end
        std::int64_t retry_ms = 250;           // after a failure, or while this member is not filled
        std::int64_t digest_ms = 5000;         // between comparisons with one member
        std::int64_t push_after_ms = 2500;     // of retiring: then copies go to those that answer
        std::size_t fetch_bytes = 512U << 10;  // in one question
    };
    Repair(StorageNode& node, PeerCalls& peers, Options options);
    ~Repair();

    // Level-triggered: looks at the node's map and asks whom it is time to ask.
    void step(std::int64_t now_ms);
    // Something is to be pulled, or to be given away.
    bool busy() const;
    // Worth a step sooner than a second from now.
    bool wants_step_soon() const { return busy() || reach_.suspects(); }
    // Progress for the control plane: "", "synced" (a joining member holds all that it should) or "emptied"
    // (all that a retiring member holds has enough copies elsewhere).
    std::string note() const;

    struct Counters {
        std::uint64_t polls = 0, failed = 0, fetched = 0, pushed = 0, rescans = 0, mismatches = 0;
        std::uint64_t left_out = 0;                         // copies, for want of room
        std::uint64_t fetched_bytes = 0, pushed_bytes = 0;  // of turns
    };
    const Counters& counts() const { return counts_; }
    std::string counters() const;
    // What control shows to the operator.
    wire::StorageProgress progress() const;

private:
    struct Peer;
    struct Page;
    void follow_map(std::int64_t now_ms);
    StorageNode::Others others() const;
    void look_for_copies_anew();
    void follow_anew(Peer& peer);
    void leave_out(Peer& peer);
    void fetch_without_copies(const std::shared_ptr<Peer>& peer, std::size_t refused,
                              const std::vector<std::string>& programs);
    void note_reach(std::int64_t identity, const rpc::Result<wire::ChangesReply>& reply);
    void ask(const std::shared_ptr<Peer>& peer);
    void take_page(const std::shared_ptr<Peer>& peer, const wire::ChangesReply& reply);
    void fetch_next(const std::shared_ptr<Peer>& peer);
    void finish_page(const std::shared_ptr<Peer>& peer, bool pulled);
    static void ask_again_for_programs(Peer& peer, const std::vector<std::string>& programs,
                                       const std::vector<wire::ProgramLedger>& came);
    void compare(const std::shared_ptr<Peer>& peer);
    void ask_digests(const std::shared_ptr<Peer>& peer, std::int32_t ranges);
    void take_digests(const std::shared_ptr<Peer>& peer, const std::vector<std::int64_t>& own,
                      const std::vector<std::int64_t>& others);
    std::int64_t compare_pause_ms(std::size_t peers) const;
    void check_filled();
    std::size_t unfollowed() const;
    std::size_t lacking() const;
    void end_repair_if_idle();
    bool followed_all() const;
    bool emptied() const;
    bool proved(const Peer& peer) const;
    bool is_owed(const HeldTurn& turn) const;
    std::set<std::int64_t> kept_elsewhere(const std::string& id, const HeldTurn& turn) const;
    std::size_t short_of_copies() const;
    std::set<std::int64_t> pushed_to(const std::string& id) const;
    failure_domain::Spread spread_of(const std::set<std::int64_t>& identities) const;
    bool outlast(const failure_domain::Spread& holders) const;
    std::vector<std::int64_t> complement(
        failure_domain::Spread holders,
        const std::vector<std::pair<std::uint64_t, std::int64_t>>& others) const;
    void push_copies();
    void push_batch(const std::shared_ptr<Peer>& peer, std::vector<std::string> ids);

    StorageNode& node_;
    PeerCalls& peers_calls_;
    Options options_;
    std::int64_t now_ms_ = 0;
    std::int64_t epoch_ = 0;
    std::map<std::int64_t, std::shared_ptr<Peer>> peers_;  // by identity
    std::set<std::string> fetching_;
    PeerReach reach_;
    StorageNode::Others others_;  // as of the last step
    bool left_out_ = false;       // some copies, for want of room
    bool emptied_ = false;        // while it retires, as of the last step
    // Since the first turn that was asked for; none: nothing is lacking, and nobody is being asked.
    std::optional<std::int64_t> repairing_since_ms_;
    std::int64_t retiring_since_ms_ = 0;
    std::map<std::string, std::set<std::int64_t>> pushed_;  // turns, and who has synced them
    Counters counts_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace whinledge::storage_plane
