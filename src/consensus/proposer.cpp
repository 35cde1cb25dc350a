#include "consensus/proposer.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "consensus/register_errors.hpp"

namespace whinledge::consensus {

using wire::AcceptorStatus;

namespace {

constexpr Millis kLeastBackoff = 10, kMostBackoff = 320;
// Ids of changes that a value remembers: a change that was built upon by so many others is no longer
// recognised.
constexpr std::size_t kRememberedChanges = 64;

}  // namespace

Proposer::Proposer(Replica& replica)
    : replica_(replica),
      identity_(identity_from(replica.host().random())),
      highest_round_(replica.acceptor().promised().round) {}

// ---- Operations --------------------------------------------------------------------------------

void Proposer::change(Transform transform, Millis timeout, Done done) {
    auto operation = std::make_shared<Operation>();
    operation->purpose = Purpose::change;
    operation->transform = std::move(transform);
    operation->deadline = replica_.host().now() + timeout;
    operation->done = std::move(done);
    operation->change = identity_from(replica_.host().random());
    submit(std::move(operation));
}

void Proposer::read(Millis deadline, Done done) {
    auto operation = std::make_shared<Operation>();
    operation->deadline = deadline;
    operation->done = std::move(done);
    submit(std::move(operation));
}

void Proposer::seal(WantedAcceptors wanted, Millis timeout) {
    auto operation = std::make_shared<Operation>();
    operation->purpose = Purpose::seal;
    operation->seal = std::move(wanted);
    operation->seal_epoch = replica_.known().epoch;
    operation->deadline = replica_.host().now() + timeout;
    submit(std::move(operation));
}

void Proposer::submit(OperationPointer operation) {
    operations_.push_back(operation);
    const Millis left = operation->deadline - replica_.host().now();
    replica_.host().after(left, [this, operation] { expire(operation); });
    replica_.host().after(0, [this] { run_next(); });
}

void Proposer::expire(const OperationPointer& operation) {
    if (operation->finished) return;
    if (!replica_.founded()) return finish(operation, not_founded());
    if (operation->conflicted && !operation->accept_sent) return finish(operation, conflict());
    const std::string what = operation->purpose == Purpose::read
                                 ? "the register was not read"
                                 : "whether the register was changed is not known";
    finish(operation, operation->not_stored ? disks_refuse(what) : no_majority(what));
}

void Proposer::finish(const OperationPointer& operation, RegisterResult<wire::RegisterState> result) {
    if (operation->finished) return;
    operation->finished = true;
    if (attempt_ && attempt_->operation == operation) attempt_.reset();
    operations_.erase(std::remove(operations_.begin(), operations_.end(), operation), operations_.end());
    replica_.host().after(0, [this] { run_next(); });
    operation->transform = nullptr;
    operation->seal = nullptr;
    if (const Done done = std::move(operation->done)) done(std::move(result));
}

void Proposer::run_next() {
    if (!attempt_ && !operations_.empty() && replica_.founded()) begin_attempt();
}

// ---- Rounds ------------------------------------------------------------------------------------

template <class Request>
void Proposer::ask_all(const AttemptPointer& attempt, Request request, Handler handler) {
    request.epoch = attempt->held->epoch;
    request.ballot = attempt->ballot;
    for (const wire::Acceptor& acceptor : attempt->held->acceptors) {
        request.identity = acceptor.identity;
        replica_.ask(acceptor, request, [this, attempt, acceptor, handler](Reply reply) {
            if (current(attempt)) (this->*handler)(attempt, acceptor, std::move(reply));
        });
    }
}

void Proposer::begin_attempt() {
    auto attempt = std::make_shared<Attempt>();
    attempt->operation = operations_.front();
    attempt->held = replica_.hold();
    highest_round_ =
        std::max({highest_round_, attempt->held->ballot.round, replica_.acceptor().promised().round}) + 1;
    attempt->ballot.round = highest_round_;
    attempt->ballot.proposer = identity_;
    attempt_ = attempt;
    ++attempt->operation->tries;
    ++replica_.counters.rounds;
    wire::PrepareRequest request;
    request.held = attempt->held->ballot;
    request.held_sequence = attempt->held->entry.state.sequence;
    ask_all(attempt, std::move(request), &Proposer::on_prepared);
}

bool Proposer::set_back(const AttemptPointer& attempt, const Reply& reply) {
    if (reply && reply->status == AcceptorStatus::ok) return false;
    if (reply && reply->status == AcceptorStatus::superseded && reply->__isset.newer &&
        reply->newer.epoch > attempt->held->epoch) {
        replica_.learn(reply->newer);
        if (current(attempt)) begin_attempt();
        return true;
    }
    if (reply && reply->status == AcceptorStatus::higher_ballot && in_bounds(reply->promised)) {
        highest_round_ = std::max(highest_round_, reply->promised.round);
        ++attempt->refused;
        attempt->operation->conflicted = true;
    } else {
        if (reply && reply->status == AcceptorStatus::not_stored) attempt->operation->not_stored = true;
        ++attempt->lost;
    }
    const std::size_t left = attempt->held->acceptors.size() - attempt->lost - attempt->refused;
    if (left < attempt->quorum()) retry(attempt);
    return true;
}

// Two proposers that disturb each other wait for different times, longer with each try.
void Proposer::retry(const AttemptPointer& attempt) {
    const OperationPointer operation = attempt->operation;
    if (attempt->refused > 0) ++replica_.counters.conflicts;
    const Millis most = std::min(kMostBackoff, kLeastBackoff << std::min(operation->tries, 10));
    const auto chance = static_cast<Millis>(replica_.host().random() % static_cast<std::uint64_t>(most));
    auto waiting =
        std::make_shared<Attempt>();  // holds the place; late replies to the one before are not for it
    waiting->operation = operation;
    waiting->held = attempt->held;
    attempt_ = waiting;
    replica_.host().after(kLeastBackoff + chance, [this, waiting] {
        if (current(waiting)) begin_attempt();
    });
}

void Proposer::on_prepared(const AttemptPointer& attempt, const wire::Acceptor& from, Reply reply) {
    if (attempt->accepting) return;
    const wire::ChosenValue& held = *attempt->held;
    if (reply && !in_bounds(reply->accepted)) reply.reset();
    const bool entry_missing = reply && reply->status == AcceptorStatus::ok && !reply->__isset.entry &&
                               rank(reply->accepted) != rank(held.ballot);
    if (entry_missing) reply.reset();
    if (set_back(attempt, reply)) return;
    if (attempt->ok.empty() || lower(attempt->best, reply->accepted)) {
        attempt->best = reply->accepted;
        attempt->agreeing = 0;
        if (!reply->__isset.entry) reply->entry = held.entry;
        attempt->found = std::move(reply->entry);
    }
    attempt->ok.push_back(from.identity);
    if (rank(attempt->best) == rank(reply->accepted)) ++attempt->agreeing;
    if (attempt->ok.size() == attempt->quorum()) decide(attempt);
}

void Proposer::on_accepted(const AttemptPointer& attempt, const wire::Acceptor& from, Reply reply) {
    if (set_back(attempt, reply)) return;
    attempt->ok.push_back(from.identity);
    if (attempt->ok.size() == attempt->quorum()) on_chosen(attempt);
}

// ---- Decisions ---------------------------------------------------------------------------------

void Proposer::decide(const AttemptPointer& attempt) {
    wire::Entry proposal = attempt->found;
    // A seal found is finished, whatever was to be done: the operation goes on in the next epoch.
    if (proposal.seal.empty()) {
        if (attempt->already_chosen()) replica_.learn(chosen_in(*attempt->held, attempt->best, proposal));
        const Purpose purpose = attempt->operation->purpose;
        const bool goes_on = purpose == Purpose::read     ? decide_read(attempt, proposal)
                             : purpose == Purpose::change ? decide_change(attempt, proposal)
                                                          : decide_seal(attempt, proposal);
        if (!goes_on || !current(attempt)) return;
    }
    attempt->proposal = std::move(proposal);
    attempt->accepting = true;
    attempt->lost = attempt->refused = 0;
    attempt->ok.clear();
    wire::AcceptRequest request;
    request.entry = attempt->proposal;
    ask_all(attempt, std::move(request), &Proposer::on_accepted);
}

bool Proposer::decide_read(const AttemptPointer& attempt, wire::Entry& proposal) {
    if (attempt->already_chosen()) finish(attempt->operation, proposal.state);
    return !attempt->already_chosen();
}

bool Proposer::decide_seal(const AttemptPointer& attempt, wire::Entry& proposal) {
    const OperationPointer operation = attempt->operation;
    const bool meant = attempt->held->epoch == operation->seal_epoch;
    const std::optional<Acceptors> wanted = meant ? operation->seal() : std::nullopt;
    if (wanted)
        proposal.seal = *wanted;
    else
        finish(operation, proposal.state);
    return wanted.has_value();
}

// A change that was proposed before may have been taken up by others: then the value found names it. One that
// it does not apply to is refused only once the value found is chosen, so that nothing older of it can come
// back.
bool Proposer::decide_change(const AttemptPointer& attempt, wire::Entry& proposal) {
    const OperationPointer operation = attempt->operation;
    const auto& changes = proposal.changes;
    attempt->included = std::find(changes.begin(), changes.end(), operation->change) != changes.end();
    if (attempt->included) {
        if (attempt->already_chosen()) finish(operation, proposal.state);
        return !attempt->already_chosen();
    }
    const std::int64_t remembered = operation->first_sequence + static_cast<std::int64_t>(kRememberedChanges);
    if (operation->accept_sent && proposal.state.sequence >= remembered) {
        finish(operation, no_majority("whether the register was changed is not known"));
        return false;
    }
    std::optional<wire::RegisterState> next = operation->transform(proposal.state);
    attempt->declined = !next;
    if (next) {
        add_change(operation, proposal, std::move(*next));
        return true;
    }
    const bool certain = attempt->already_chosen() && !operation->accept_sent;
    if (certain) finish(operation, rejected());
    return !certain;
}

void Proposer::add_change(const OperationPointer& operation, wire::Entry& proposal,
                          wire::RegisterState next) {
    const std::int64_t sequence = proposal.state.sequence + 1;
    proposal.state = std::move(next);
    proposal.state.sequence = sequence;
    proposal.changes.push_back(operation->change);
    if (proposal.changes.size() > kRememberedChanges) proposal.changes.erase(proposal.changes.begin());
    operation->first_sequence =
        operation->accept_sent ? std::min(operation->first_sequence, sequence) : sequence;
    operation->accept_sent = true;
}

void Proposer::on_chosen(const AttemptPointer& attempt) {
    if (!attempt->proposal.seal.empty()) return on_sealed(attempt);
    const OperationPointer operation = attempt->operation;
    replica_.learn(chosen_in(*attempt->held, attempt->ballot, attempt->proposal));
    if (announce) announce(attempt->ok);
    if (attempt->declined) return finish(operation, rejected());
    if (operation->purpose == Purpose::change) ++replica_.counters.changes;
    finish(operation, attempt->proposal.state);
}

void Proposer::on_sealed(const AttemptPointer& attempt) {
    ++replica_.counters.seals;
    replica_.learn(after_seal(attempt->held->epoch, attempt->proposal));
    if (announce) announce({});
    if (attempt->operation->purpose == Purpose::seal)
        finish(attempt->operation, attempt->proposal.state);
    else if (current(attempt))
        begin_attempt();
}

}  // namespace whinledge::consensus
