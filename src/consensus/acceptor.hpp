// An acceptor of the register: promises, accepted values and installed epochs of one disk.
//
// Each decision gives a reply and perhaps a record. The record is to be synced and then applied before the
// reply goes out; where it can't be synced there is no reply. Only the newest epoch known is kept: that a
// later epoch exists proves that the earlier ones are sealed, and its first value holds all that was chosen
// in them.
#pragma once

#include <cstdint>
#include <optional>

#include "consensus/ballot.hpp"

namespace whinledge::consensus {

struct AcceptorDecision {
    wire::AcceptorReply reply;
    std::optional<wire::AcceptorRecord> record;
};

class Acceptor {
public:
    explicit Acceptor(std::int64_t identity) : identity_(identity) {}

    AcceptorDecision decide(const wire::PrepareRequest& request) const;
    AcceptorDecision decide(const wire::AcceptRequest& request) const;
    AcceptorDecision decide(const wire::QueryRequest& request) const;

    // What has to be recorded now that `value` is known to be chosen: a newer epoch, or a value of this epoch
    // that went past this acceptor. None where there is nothing new in it.
    std::optional<wire::AcceptorRecord> learn(const wire::ChosenValue& value) const;
    // Whether learn() has something to record.
    bool lacks(const wire::ChosenValue& value) const;

    void apply(const wire::AcceptorRecord& record);
    // The whole state as one record.
    wire::AcceptorRecord snapshot() const;

    std::int64_t identity() const { return identity_; }
    // The newest epoch known with its first value, as it was told to us; epoch 0: none.
    const wire::ChosenValue& installed() const { return installed_; }
    bool votes() const { return find_acceptor(installed_.acceptors, identity_) != nullptr; }
    const wire::Ballot& promised() const { return promised_; }
    const wire::Ballot& accepted() const { return accepted_; }
    const wire::Entry& entry() const { return entry_; }

private:
    // The status that a request gets before its ballot is looked at.
    wire::AcceptorReply check(std::int64_t epoch, std::int64_t identity) const;
    void tell_accepted(wire::AcceptorReply& reply, const wire::Ballot& held,
                       std::int64_t held_sequence) const;

    std::int64_t identity_;
    wire::ChosenValue installed_;
    wire::Ballot promised_, accepted_;
    wire::Entry entry_;
};

}  // namespace whinledge::consensus
