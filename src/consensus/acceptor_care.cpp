#include "consensus/acceptor_care.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::consensus {

namespace {

constexpr Millis kAnswer = 250;  // for those asked whether they are there
constexpr Millis kWish = 500;    // after which a wish that has gone is forgotten
constexpr Millis kTurn = 500;    // of each present acceptor, in the order of their identities
constexpr Millis kBetweenSeals = 1500, kSealTimeout = 2000;

}  // namespace

// Old messages come from processes that have since died, above all to one that was frozen. So what is heard
// only raises the wish for other acceptors; then all are asked, and those that answer are there. The set is
// worked out once more as it is proposed: one that was silent may be back by then.
void AcceptorCare::look(Millis watching_since) {
    if (!may_seal()) return asked_at_.reset();
    const Millis now = replica_.host().now();
    if (!majority_present()) majority_since_ = now;
    limits_.watching_since = std::max(watching_since, majority_since_);
    if (!wanted(asked_at_)) {
        if (asked_at_ && now - *asked_at_ >= kWish) asked_at_.reset();
        return;
    }
    if (!asked_at_) {
        asked_at_ = now;
        peers_.ask_all();
        replica_.host().after(kAnswer, [this, watching_since] { look(watching_since); });
        return;
    }
    if (!my_turn(now - *asked_at_, peers_.heard(asked_at_))) return;
    const Millis asked_at = *asked_at_;
    asked_at_.reset();
    if (sealed_at_ && now - *sealed_at_ < kBetweenSeals) return;
    sealed_at_ = now;
    proposer_.seal([this, asked_at] { return wanted(asked_at); }, kSealTimeout);
}

std::optional<Acceptors> AcceptorCare::wanted(std::optional<Millis> asked_at) const {
    return next_acceptors(replica_.known().acceptors, peers_.heard(asked_at), replica_.host().now(), limits_);
}

// An acceptor of the newest epoch whose disk takes writes.
bool AcceptorCare::may_seal() const {
    const Acceptor& own = replica_.acceptor();
    return own.votes() && replica_.takes_writes() && own.installed().epoch == replica_.known().epoch;
}

// Where most were away at once, by a cut or by full disks, each gets its time to return after the first.
bool AcceptorCare::majority_present() const {
    const std::vector<HeardAcceptor> heard = peers_.heard(std::nullopt);
    const Acceptors& acceptors = replica_.known().acceptors;
    const auto present = std::count_if(heard.begin(), heard.end(), [&](const HeardAcceptor& one) {
        return one.present && find_acceptor(acceptors, one.acceptor.identity) != nullptr;
    });
    return static_cast<std::size_t>(present) >= majority(acceptors.size());
}

bool AcceptorCare::my_turn(Millis waited, const std::vector<HeardAcceptor>& heard) const {
    Millis before_us = 0;
    for (const HeardAcceptor& one : heard)
        if (one.present && one.acceptor.identity < replica_.self().identity &&
            find_acceptor(replica_.known().acceptors, one.acceptor.identity) != nullptr)
            ++before_us;
    return waited >= kAnswer + before_us * kTurn;
}

}  // namespace whinledge::consensus
