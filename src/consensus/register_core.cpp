#include "consensus/register_core.hpp"

#include <utility>

namespace whinledge::consensus {

namespace {

constexpr Millis kTick = 250, kFoundingTick = 100;
constexpr Millis kCareEvery = 500;
constexpr Millis kFrozen = 1500;  // a tick that is so late says nothing of those not heard meanwhile
constexpr Millis kFinishAfter = 250, kFinishTimeout = 1500;

}  // namespace

RegisterCore::RegisterCore(RegisterHost& host, const Options& options, Acceptor acceptor)
    : host_(host),
      replica_(host, options.self, options.founder, std::move(acceptor)),
      proposer_(replica_),
      reader_(replica_, proposer_),
      peers_(replica_, options.seeds),
      care_(replica_, peers_, proposer_, options.reconfiguration) {
    proposer_.announce = [this](const std::vector<std::int64_t>& accepted_by) {
        peers_.announce(accepted_by);
    };
    replica_.on_epoch = [this] {
        proposer_.run_next();
        reader_.run_next();
    };
}

void RegisterCore::start() {
    watching_since_ = ticked_at_ = cared_at_ = host_.now();
    tick();
}

void RegisterCore::tick() {
    const Millis now = host_.now();
    if (now - ticked_at_ > kFrozen) watching_since_ = now;
    ticked_at_ = now;
    replica_.expire_requests();
    replica_.probe_disk();
    peers_.share();
    found();
    finish_what_was_accepted();
    if (now - cared_at_ >= kCareEvery) {
        cared_at_ = now;
        care_.look(watching_since_);
    }
    host_.after(replica_.founded() ? kTick : kFoundingTick, [this] { tick(); });
}

void RegisterCore::found() {
    const std::optional<wire::ChosenValue> first = peers_.founding(watching_since_);
    if (!first) return;
    replica_.learn(*first);
    peers_.announce({});
}

// A value that is accepted here and not known to be chosen is finished after a while by a read.
void RegisterCore::finish_what_was_accepted() {
    const Acceptor& acceptor = replica_.acceptor();
    const wire::ChosenValue& known = replica_.known();
    if (acceptor.installed().epoch != known.epoch || !acceptor.votes() ||
        !lower(known.ballot, acceptor.accepted())) {
        unfinished_ = {};
        return;
    }
    const Millis now = host_.now();
    if (rank(unfinished_) != rank(acceptor.accepted())) {
        unfinished_ = acceptor.accepted();
        finish_at_ = now + kFinishAfter + static_cast<Millis>(host_.random() % std::uint64_t{kFinishAfter});
    }
    if (now < finish_at_ || proposer_.busy() || reader_.busy()) return;
    ++replica_.counters.finished;
    reader_.read(kFinishTimeout, nullptr);
}

}  // namespace whinledge::consensus
