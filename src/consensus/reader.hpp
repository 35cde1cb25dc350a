// Reads that need no ballot and cost no sync: a majority of acceptors that tell of the same accepted value
// show that it is chosen, and that nothing else was chosen before they were asked.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/proposer.hpp"
#include "consensus/replica.hpp"

namespace whinledge::consensus {

class Reader {
public:
    using Done = Proposer::Done;

    // `proposer` reads where changes are under way each time.
    Reader(Replica& replica, Proposer& proposer) : replica_(replica), proposer_(proposer) {}

    // A value that was current between this call and `done`, which may be empty.
    void read(Millis timeout, Done done);
    bool busy() const { return round_ != nullptr; }
    // To be called when an epoch has begun.
    void run_next();

private:
    struct Waiting {
        Millis deadline = 0;
        Done done;
        int disagreements = 0;  // rounds that found a change under way
        bool finished = false;
    };
    struct Seen {
        wire::Ballot ballot;
        wire::Entry entry;
        std::size_t count = 0;
    };
    struct Round {
        std::shared_ptr<const wire::ChosenValue> held;  // its epoch and acceptors are those that are asked
        std::vector<std::shared_ptr<Waiting>> readers;
        std::vector<Seen> seen;
        std::size_t ok = 0, answered = 0;

        std::size_t quorum() const { return majority(held->acceptors.size()); }
    };
    using WaitingPointer = std::shared_ptr<Waiting>;
    using RoundPointer = std::shared_ptr<Round>;

    void on_reply(const RoundPointer& round, std::optional<wire::AcceptorReply> reply);
    // True: a majority has now told of this value.
    bool count(const RoundPointer& round, wire::AcceptorReply& reply);
    void agreed(const RoundPointer& round, const Seen& seen);
    void not_agreed(const RoundPointer& round);
    void read_with_ballot(std::vector<WaitingPointer> readers);
    void finish(const WaitingPointer& reader, RegisterResult<wire::RegisterState> result);

    Replica& replica_;
    Proposer& proposer_;
    std::vector<WaitingPointer> waiting_;  // for the next round
    RoundPointer round_;
};

}  // namespace whinledge::consensus
