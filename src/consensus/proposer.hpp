// The proposer of one process: changes, reads that finish what is half done, and seals, one at a time. Each
// is a prepare round, a decision on the value found, and an accept round, begun anew with a higher ballot
// until it is chosen or its time is over.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/register_types.hpp"
#include "consensus/replica.hpp"

namespace whinledge::consensus {

class Proposer {
public:
    using Done = std::function<void(RegisterResult<wire::RegisterState>)>;

    explicit Proposer(Replica& replica);

    void change(Transform transform, Millis timeout, Done done);
    // Finishes what is half done, as a change does that leaves the value as it is.
    void read(Millis deadline, Done done);
    // The acceptors of the next epoch; none: the present one is to go on after all.
    using WantedAcceptors = std::function<std::optional<Acceptors>()>;
    // Ends the present epoch. `wanted` is asked each time that the seal is about to be proposed.
    void seal(WantedAcceptors wanted, Millis timeout);
    bool busy() const { return attempt_ != nullptr; }
    // To be called when an epoch has begun.
    void run_next();

    // A value was chosen, and is told to others before it is to whoever asked for it. `accepted_by`:
    // identities of acceptors that hold it.
    std::function<void(const std::vector<std::int64_t>& accepted_by)> announce;

private:
    enum class Purpose { read, change, seal };
    struct Operation {
        Purpose purpose = Purpose::read;
        Transform transform;
        WantedAcceptors seal;
        std::int64_t seal_epoch = 0;  // the one that is to end
        Millis deadline = 0;
        Done done;
        std::int64_t change = 0;          // its id
        bool accept_sent = false;         // a value with this change in it may stand at some acceptor
        std::int64_t first_sequence = 0;  // the lowest that such a value has
        int tries = 0;
        bool conflicted = false, finished = false;
        bool not_stored = false;  // told by an acceptor
    };
    // One prepare round and perhaps one accept round of an operation.
    struct Attempt {
        std::shared_ptr<Operation> operation;
        std::shared_ptr<const wire::ChosenValue> held;  // its epoch and acceptors are those that are asked
        wire::Ballot ballot;
        bool accepting = false;
        std::size_t lost = 0, refused = 0;
        std::vector<std::int64_t> ok;
        wire::Ballot best;         // the highest accepted, of those that promised
        wire::Entry found;         // accepted with it
        std::size_t agreeing = 0;  // have accepted `best`
        wire::Entry proposal;
        bool included = false,
             declined = false;  // the change stands in the value found; does not apply to it

        std::size_t quorum() const { return majority(held->acceptors.size()); }
        bool already_chosen() const { return agreeing >= quorum(); }
    };
    using OperationPointer = std::shared_ptr<Operation>;
    using AttemptPointer = std::shared_ptr<Attempt>;
    using Reply = std::optional<wire::AcceptorReply>;
    using Handler = void (Proposer::*)(const AttemptPointer&, const wire::Acceptor& from, Reply);

    void submit(OperationPointer operation);
    void expire(const OperationPointer& operation);
    void finish(const OperationPointer& operation, RegisterResult<wire::RegisterState> result);

    void begin_attempt();
    void retry(const AttemptPointer& attempt);
    bool current(const AttemptPointer& attempt) const { return attempt == attempt_; }
    template <class Request>
    void ask_all(const AttemptPointer& attempt, Request request, Handler handler);
    // True: the reply is none to be counted, and may have ended the attempt.
    bool set_back(const AttemptPointer& attempt, const Reply& reply);

    void on_prepared(const AttemptPointer& attempt, const wire::Acceptor& from, Reply reply);
    void decide(const AttemptPointer& attempt);
    // Each makes its proposal of the value found; false: the operation has ended.
    bool decide_read(const AttemptPointer& attempt, wire::Entry& proposal);
    bool decide_seal(const AttemptPointer& attempt, wire::Entry& proposal);
    bool decide_change(const AttemptPointer& attempt, wire::Entry& proposal);
    void add_change(const OperationPointer& operation, wire::Entry& proposal, wire::RegisterState next);
    void on_accepted(const AttemptPointer& attempt, const wire::Acceptor& from, Reply reply);
    void on_chosen(const AttemptPointer& attempt);
    void on_sealed(const AttemptPointer& attempt);

    Replica& replica_;
    std::int64_t identity_;  // of this start of the process: ballots are never used twice
    std::int64_t highest_round_;
    std::deque<OperationPointer> operations_;
    AttemptPointer attempt_;
};

}  // namespace whinledge::consensus
