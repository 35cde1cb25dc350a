#include "consensus/acceptor.hpp"

namespace whinledge::consensus {

using wire::AcceptorStatus;

wire::AcceptorReply Acceptor::check(std::int64_t epoch, std::int64_t identity) const {
    wire::AcceptorReply reply;
    reply.promised = promised_;
    const bool meant = identity == identity_;
    if (!meant || (epoch == installed_.epoch && !votes())) {
        reply.status = AcceptorStatus::wrong_identity;
    } else if (epoch > installed_.epoch) {
        reply.status = AcceptorStatus::unknown_epoch;
    } else if (epoch < installed_.epoch) {
        reply.status = AcceptorStatus::superseded;
        reply.__set_newer(installed_);
    }
    return reply;
}

void Acceptor::tell_accepted(wire::AcceptorReply& reply, const wire::Ballot& held,
                             std::int64_t held_sequence) const {
    reply.accepted = accepted_;
    reply.sequence = entry_.state.sequence;
    const bool asker_has_it =
        rank(held) == rank(accepted_) && held_sequence == reply.sequence && entry_.seal.empty();
    if (!asker_has_it) reply.__set_entry(entry_);
}

AcceptorDecision Acceptor::decide(const wire::PrepareRequest& request) const {
    AcceptorDecision decision{check(request.epoch, request.identity), {}};
    if (decision.reply.status != AcceptorStatus::ok) return decision;
    if (lower(request.ballot, promised_)) {
        decision.reply.status = AcceptorStatus::higher_ballot;
        return decision;
    }
    if (lower(promised_, request.ballot)) {
        decision.record.emplace();
        decision.record->__set_promised(request.ballot);
        decision.reply.promised = request.ballot;
    }
    tell_accepted(decision.reply, request.held, request.held_sequence);
    return decision;
}

AcceptorDecision Acceptor::decide(const wire::AcceptRequest& request) const {
    AcceptorDecision decision{check(request.epoch, request.identity), {}};
    if (decision.reply.status != AcceptorStatus::ok) return decision;
    if (lower(request.ballot, promised_)) {
        decision.reply.status = AcceptorStatus::higher_ballot;
        return decision;
    }
    if (lower(accepted_, request.ballot)) {
        decision.record.emplace();
        decision.record->__set_promised(request.ballot);
        decision.record->__set_accepted(request.ballot);
        decision.record->__set_entry(request.entry);
    }
    decision.reply.promised = decision.reply.accepted = request.ballot;
    decision.reply.sequence = request.entry.state.sequence;
    return decision;
}

AcceptorDecision Acceptor::decide(const wire::QueryRequest& request) const {
    AcceptorDecision decision{check(request.epoch, request.identity), {}};
    if (decision.reply.status == AcceptorStatus::ok)
        tell_accepted(decision.reply, request.held, request.held_sequence);
    return decision;
}

bool Acceptor::lacks(const wire::ChosenValue& value) const {
    if (value.epoch != installed_.epoch) return value.epoch > installed_.epoch;
    // A chosen value may be accepted late as its own Accept message may be: no higher promise stands against
    // it.
    return votes() && lower(accepted_, value.ballot) && !lower(value.ballot, promised_);
}

std::optional<wire::AcceptorRecord> Acceptor::learn(const wire::ChosenValue& value) const {
    if (!lacks(value)) return std::nullopt;
    wire::AcceptorRecord record;
    if (value.epoch > installed_.epoch) {
        record.__set_installed(value);
        return record;
    }
    record.__set_promised(value.ballot);
    record.__set_accepted(value.ballot);
    record.__set_entry(value.entry);
    return record;
}

void Acceptor::apply(const wire::AcceptorRecord& record) {
    if (record.__isset.installed) {
        installed_ = record.installed;
        promised_ = accepted_ = installed_.ballot;
        entry_ = installed_.entry;
    }
    if (record.__isset.promised) promised_ = record.promised;
    if (record.__isset.accepted) accepted_ = record.accepted;
    if (record.__isset.entry) entry_ = record.entry;
}

wire::AcceptorRecord Acceptor::snapshot() const {
    wire::AcceptorRecord record;
    record.__set_installed(installed_);
    record.__set_promised(promised_);
    if (rank(accepted_) == rank(installed_.ballot)) return record;  // nothing but the epoch's first value
    record.__set_accepted(accepted_);
    record.__set_entry(entry_);
    return record;
}

}  // namespace whinledge::consensus
