// The acceptor of this process with the requests that wait for its disk.
//
// One write is under way at a time. What comes meanwhile waits, and is decided on and synced together when
// that write is done (group commit): a reply that says what the disk has to hold goes out after the sync that
// holds it, in the order in which such requests came. What needs no write is answered at once from the synced
// state, as if it had come before what waits. Nobody else is kept waiting by a slow disk.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/disk_health.hpp"
#include "consensus/register_host.hpp"

namespace whinledge::consensus {

// A write that takes longer is one of a disk that hangs.
inline constexpr Millis kHangs = 1000;
// Bounds of what waits for the disk; a request beyond them is answered `not_stored`.
inline constexpr std::size_t kMostWaitingRequests = 32;
inline constexpr std::size_t kMostWaitingBytes = 16U << 20;  // of values; one of any size may wait alone

class DurableAcceptor {
public:
    using ReplyDone = std::function<void(std::optional<wire::AcceptorReply>)>;

    // `acceptor`: as the disk has it.
    DurableAcceptor(RegisterHost& host, Acceptor acceptor, RegisterCounters& counters);
    DurableAcceptor(const DurableAcceptor&) = delete;
    DurableAcceptor& operator=(const DurableAcceptor&) = delete;

    const Acceptor& synced() const { return *synced_; }

    // `done` is called once, perhaps from within: with the reply, with `not_stored` where the disk refuses
    // the write, or with nothing by an expire() later than `patience` from now.
    void handle(const AcceptorRequest& request, Millis patience, ReplyDone done);
    // Records what the acceptor lacks of the newest value known to be chosen, now or with the next write.
    void learn(std::shared_ptr<const wire::ChosenValue> chosen);
    // Requests whose replies wait for the disk.
    std::size_t waiting() const { return waiting_.size() + decided_.size(); }
    // A write has been under way for long.
    bool hangs() const;
    // The disk has refused every write for long, or has not yet taken enough of them since.
    bool refuses() const { return health_.refuses(); }
    std::uint64_t withdrawals() const { return health_.withdrawals(); }
    // Tries a disk that is in doubt, where nothing else has done so of late: with what the acceptor lacks,
    // else with a promise that it has made already.
    void probe_disk();
    // Ends the wait of requests whose patience is over; those that were not begun are dropped.
    void expire();

private:
    struct Waiting {
        AcceptorRequest request;
        std::size_t bytes = 0;
        Millis deadline = 0;
        ReplyDone done;
    };
    // Decided on, and answered once the write under way is done.
    struct Decided {
        wire::AcceptorReply reply;
        Millis deadline = 0;
        ReplyDone done;  // none: its wait has ended
    };

    bool installing() const { return chosen_ && chosen_->epoch > synced_->installed().epoch; }
    bool answered_at_once(const AcceptorDecision& decision) const;
    bool has_room(std::size_t bytes) const;
    void write_what_waits();
    void write(std::shared_ptr<const Acceptor> next, std::vector<wire::AcceptorRecord> records);
    void decide_what_waits(Acceptor& next, std::vector<wire::AcceptorRecord>& records);
    void on_written(bool synced, std::shared_ptr<const Acceptor> next);

    RegisterHost& host_;
    RegisterCounters& counters_;
    std::shared_ptr<const Acceptor> synced_;
    std::shared_ptr<const wire::ChosenValue> chosen_;
    std::deque<Waiting> waiting_;
    std::size_t waiting_bytes_ = 0;
    std::vector<Decided> decided_;
    DiskHealth health_;
    bool writing_ = false;
    Millis writing_since_ = 0;
};

}  // namespace whinledge::consensus
