#include "consensus/replica.hpp"

#include <utility>

namespace whinledge::consensus {

using wire::AcceptorStatus;

namespace {

constexpr Millis kRoundTimeout = 350;
constexpr Millis kBytesPerMilli = 8192;  // a round may take longer for large values

}  // namespace

Replica::Replica(RegisterHost& host, wire::NodeInfo self, bool founder, Acceptor acceptor)
    : host_(host),
      self_(std::move(self)),
      founder_(founder),
      acceptor_(host, std::move(acceptor), counters),
      known_(std::make_shared<const wire::ChosenValue>(this->acceptor().installed())) {
    self_.identity = this->acceptor().identity();
}

void Replica::learn(const wire::ChosenValue& value) {
    if (value.epoch < 0 || value.epoch >= kMostRound || !in_bounds(value.ballot)) return;
    if (value.epoch == known_->epoch && value.acceptors != known_->acceptors) return;  // of another register
    if (!older(known_->epoch, known_->ballot, value.epoch, value.ballot)) return acceptor_.learn(known_);
    const bool new_epoch = value.epoch != known_->epoch;
    known_ = std::make_shared<const wire::ChosenValue>(value);
    acceptor_.learn(known_);
    if (new_epoch)
        host_.after(0, [this] {
            if (on_epoch) on_epoch();
        });
    host_.chosen(*hold());
}

void Replica::learn_accepted(std::int64_t epoch, const wire::Ballot& ballot) {
    const Acceptor& synced = acceptor();
    const bool has_it = epoch == known_->epoch && epoch == synced.installed().epoch &&
                        rank(ballot) == rank(synced.accepted()) && synced.entry().seal.empty();
    if (has_it && lower(known_->ballot, ballot)) learn(chosen_in(*known_, ballot, synced.entry()));
}

void Replica::handle(const AcceptorRequest& request, ReplyDone done) {
    const auto* const prepare = std::get_if<wire::PrepareRequest>(&request);
    const auto* const accept = std::get_if<wire::AcceptRequest>(&request);
    if ((prepare && !in_bounds(prepare->ballot)) || (accept && !in_bounds(accept->ballot)))
        return done(std::nullopt);
    acceptor_.handle(request, round_timeout(), std::move(done));
}

void Replica::ask_over_network(const wire::Acceptor& to, std::int64_t epoch, AcceptorRequest request,
                               ReplyDone done) {
    const Millis timeout = round_timeout();
    auto message = std::make_shared<const AcceptorRequest>(std::move(request));
    host_.send(to.address, *message, timeout, [this, to, epoch, message, timeout, done](auto reply) {
        const bool tell = reply && reply->status == AcceptorStatus::unknown_epoch && known_->epoch == epoch;
        if (!tell) return done(std::move(reply));
        host_.send(to.address, share_request(true), timeout, [this, to, message, timeout, done](auto shared) {
            if (!shared) return done(std::nullopt);
            host_.send(to.address, *message, timeout, done);
        });
    });
}

wire::NodeInfo Replica::told_self() const {
    wire::NodeInfo told = self_;
    if (!takes_writes()) told.identity = 0;
    return told;
}

wire::ShareRequest Replica::share_request(bool with_value) const {
    wire::ShareRequest request;
    request.who = told_self();
    request.founder = founder_;
    request.epoch = known_->epoch;
    request.ballot = known_->ballot;
    if (with_value) request.__set_value(*known_);
    return request;
}

Millis Replica::round_timeout() const {
    return kRoundTimeout + static_cast<Millis>(known_->entry.state.configuration.size()) / kBytesPerMilli;
}

wire::ChosenValue after_seal(std::int64_t epoch, const wire::Entry& sealed) {
    wire::ChosenValue value;
    value.epoch = epoch + 1;
    value.acceptors = sealed.seal;
    value.entry = sealed;
    value.entry.seal.clear();
    return value;
}

wire::ChosenValue chosen_in(const wire::ChosenValue& held, const wire::Ballot& ballot,
                            const wire::Entry& entry) {
    wire::ChosenValue value;
    value.epoch = held.epoch;
    value.acceptors = held.acceptors;
    value.ballot = ballot;
    value.entry = entry;
    return value;
}

wire::Acceptor acceptor_of(const wire::NodeInfo& node) {
    wire::Acceptor acceptor;
    acceptor.identity = node.identity;
    acceptor.node = node.node;
    acceptor.zone = node.zone;
    acceptor.address = node.address;
    if (node.__isset.region) acceptor.__set_region(node.region);
    return acceptor;
}

}  // namespace whinledge::consensus
