#include "consensus/reader.hpp"

#include <algorithm>
#include <utility>

#include "consensus/register_errors.hpp"

namespace whinledge::consensus {

using wire::AcceptorStatus;

namespace {

constexpr Millis kStragglerWait = 60;  // for further answers once a majority has answered without agreeing
constexpr int kTries = 3;              // before a read that finds a change under way takes a ballot
constexpr Millis kPauseForChange = 25;
constexpr Millis kPauseForMajority = 50;
constexpr std::uint64_t kPauseChance = 100;

}  // namespace

void Reader::read(Millis timeout, Done done) {
    auto reader = std::make_shared<Waiting>();
    reader->deadline = replica_.host().now() + timeout;
    reader->done = std::move(done);
    waiting_.push_back(reader);
    ++replica_.counters.reads;
    replica_.host().after(timeout, [this, reader] {
        finish(reader, replica_.founded() ? no_majority("the register was not read") : not_founded());
    });
    replica_.host().after(0, [this] { run_next(); });
}

void Reader::finish(const WaitingPointer& reader, RegisterResult<wire::RegisterState> result) {
    if (reader->finished) return;
    reader->finished = true;
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), reader), waiting_.end());
    if (const Done done = std::move(reader->done)) done(std::move(result));
}

// Serves all that have asked so far; who asks later waits for the round after it.
void Reader::run_next() {
    if (round_ || waiting_.empty() || !replica_.founded()) return;
    auto round = std::make_shared<Round>();
    round->readers.swap(waiting_);
    round->held = replica_.hold();
    round_ = round;
    wire::QueryRequest request;
    request.epoch = round->held->epoch;
    request.held = round->held->ballot;
    request.held_sequence = round->held->entry.state.sequence;
    for (const wire::Acceptor& acceptor : round->held->acceptors) {
        request.identity = acceptor.identity;
        replica_.ask(acceptor, request, [this, round](std::optional<wire::AcceptorReply> reply) {
            if (round == round_) on_reply(round, std::move(reply));
        });
    }
}

void Reader::on_reply(const RoundPointer& round, std::optional<wire::AcceptorReply> reply) {
    ++round->answered;
    const wire::ChosenValue& held = *round->held;
    if (reply && reply->status == AcceptorStatus::superseded && reply->__isset.newer &&
        reply->newer.epoch > held.epoch) {
        replica_.learn(reply->newer);
        return not_agreed(round);
    }
    const bool counts = reply && reply->status == AcceptorStatus::ok &&
                        (reply->__isset.entry || rank(reply->accepted) == rank(held.ballot));
    if (counts && count(round, *reply)) return;
    if (round->answered == held.acceptors.size()) return not_agreed(round);
    if (counts && round->ok == round->quorum())
        replica_.host().after(kStragglerWait, [this, round] {
            if (round == round_) not_agreed(round);
        });
}

bool Reader::count(const RoundPointer& round, wire::AcceptorReply& reply) {
    ++round->ok;
    auto seen = std::find_if(round->seen.begin(), round->seen.end(),
                             [&](const Seen& one) { return rank(one.ballot) == rank(reply.accepted); });
    if (seen == round->seen.end()) {
        if (!reply.__isset.entry) reply.entry = round->held->entry;
        seen = round->seen.insert(seen, Seen{reply.accepted, std::move(reply.entry), 0});
    }
    if (++seen->count < round->quorum()) return false;
    agreed(round, *seen);
    return true;
}

void Reader::agreed(const RoundPointer& round, const Seen& seen) {
    if (!seen.entry.seal.empty()) {
        replica_.learn(after_seal(round->held->epoch, seen.entry));
        if (proposer_.announce) proposer_.announce({});
        return not_agreed(round);
    }
    replica_.learn(chosen_in(*round->held, seen.ballot, seen.entry));
    round_.reset();
    const wire::RegisterState state = replica_.known().entry.state;  // at least as new as what was agreed on
    for (const WaitingPointer& reader : round->readers) finish(reader, state);
    replica_.host().after(0, [this] { run_next(); });
}

void Reader::not_agreed(const RoundPointer& round) {
    round_.reset();
    const bool epoch_over = round->held->epoch < replica_.known().epoch;
    const bool disagreed = !epoch_over && round->ok >= round->quorum();
    std::vector<WaitingPointer> with_ballot;
    for (const WaitingPointer& reader : round->readers) {
        if (reader->finished) continue;
        const bool tired = disagreed && ++reader->disagreements >= kTries;
        (tired ? with_ballot : waiting_).push_back(reader);
    }
    if (!with_ballot.empty()) read_with_ballot(std::move(with_ballot));
    Millis pause = 0;
    if (disagreed) pause = kPauseForChange;
    if (!disagreed && !epoch_over)
        pause = kPauseForMajority + static_cast<Millis>(replica_.host().random() % kPauseChance);
    replica_.host().after(pause, [this] { run_next(); });
}

void Reader::read_with_ballot(std::vector<WaitingPointer> readers) {
    Millis deadline = replica_.host().now();
    for (const WaitingPointer& reader : readers) deadline = std::max(deadline, reader->deadline);
    proposer_.read(deadline,
                   [this, readers = std::move(readers)](RegisterResult<wire::RegisterState> result) {
                       for (const WaitingPointer& reader : readers) finish(reader, result);
                   });
}

}  // namespace whinledge::consensus
