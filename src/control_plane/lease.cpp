#include "control_plane/lease.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::control_plane {

wire::LeaseReply LeaseGrantor::handle(const wire::LeaseRequest& request, Instant now) {
    wire::LeaseReply reply;
    reply.protocol = request.protocol;
    if (request.fencing < 0 || request.fencing > kMostFencing) {
        reply.fencing = fencing_;
        return reply;
    }
    const bool own = holder_ == request.holder;
    if (request.hold_ms <= 0) {
        // An older round's word that comes late must not undo the grant of a newer one.
        if (own && request.fencing >= fencing_) holder_ = 0;
        reply.fencing = fencing_;
        return reply;
    }
    const bool free = (own || !held(now)) && votes_for(request, now);
    const bool rises = own ? request.fencing >= fencing_ : request.fencing > fencing_;
    if (now >= grants_from_ && free && rises) {
        holder_ = request.holder;
        node_ = request.node;
        until_ = now + grant_;
        fencing_ = request.fencing;
        reply.granted = true;
    } else if (held(now)) {
        reply.node = node_;
    }
    reply.fencing = fencing_;
    return reply;
}

void LeaseGrantor::observe(std::int64_t epoch, bool ends, Instant now) {
    if (epoch > epoch_) begin_epoch(epoch, now);
    if (epoch == epoch_) epoch_ends_ = epoch_ends_ || ends;
}

// Ahead of the first epoch nothing can have been granted.
void LeaseGrantor::begin_epoch(std::int64_t epoch, Instant now) {
    epoch_ = epoch;
    epoch_ends_ = false;
    if (epoch > 1) new_holders_from_ = now + grant_;
}

bool LeaseGrantor::votes_for(const wire::LeaseRequest& request, Instant now) {
    if (!request.__isset.epoch) return true;
    if (request.epoch > epoch_) begin_epoch(request.epoch, now);
    if (request.epoch < epoch_ || epoch_ends_) return false;
    return request.renews || now >= new_holders_from_;
}

bool LeaseGrantor::taken_by_other(std::int64_t holder, Instant now) const {
    return held(now) && holder_ != holder;
}

wire::LeaseRequest LeaseHolder::request(Span hold) const {
    wire::LeaseRequest request;
    request.lease = lease_;
    request.holder = holder_;
    request.node = node_;
    request.hold_ms = static_cast<std::int32_t>(hold.count());
    request.fencing = fencing_;
    if (voters_.epoch > 0) {
        request.__set_epoch(voters_.epoch);
        request.__set_renews(renews_);
    }
    return request;
}

std::vector<LeaseHolder::Send> LeaseHolder::to_all(const wire::LeaseRequest& request) const {
    std::vector<Send> sends;
    for (const std::string& voter : voters_.addresses) sends.push_back({voter, request});
    return sends;
}

std::vector<LeaseHolder::Send> LeaseHolder::tick(Instant now, const LeaseVoters& voters,
                                                 std::int64_t unix_ms) {
    if (phase_ == Phase::asking) {
        if (now < asked_ + times_.reply) return {};
        conclude(now);
    }
    if (std::exchange(give_back_, false)) return to_all(request(Span(0)));
    if (now < next_ || voters.addresses.empty()) return {};
    if (!held(now) || highest_ > fencing_) fencing_ = std::max({fencing_ + 1, highest_ + 1, unix_ms});
    highest_ = std::max(highest_, fencing_);
    phase_ = Phase::asking;
    ++round_;
    voters_ = voters;
    renews_ = held(now);
    granted_.clear();
    answered_.clear();
    ended_.clear();
    asked_ = now;
    next_ = now + times_.renew;
    return to_all(request(times_.hold));
}

void LeaseHolder::on_reply(std::uint64_t round, const std::string& from, const wire::LeaseReply* reply,
                           Instant now) {
    if (reply) raise_fencing(reply->fencing);
    if (phase_ != Phase::asking || round != round_) return;
    const std::vector<std::string>& voters = voters_.addresses;
    if (std::find(voters.begin(), voters.end(), from) == voters.end() || !ended_.insert(from).second) return;
    if (reply) answered_.insert(from);
    if (reply && reply->granted) granted_.insert(from);
    const bool won = granted_.size() * 2 > voters.size();
    if (won) until_ = std::max(until_, asked_ + times_.hold);
    if (ended_.size() == voters.size()) conclude(now);
}

// Ends the round. Of a lost one the grants are given back, so that two who ask at once don't block each
// other; also those of voters whose replies are late or lost, or one whose replies are always late would
// renew them for ever without holding the lease. Such a one asks half as often, and not less: all may have
// been cut off, and ask again after it.
void LeaseHolder::conclude(Instant now) {
    phase_ = Phase::idle;
    const std::size_t voters = voters_.addresses.size();
    const bool was_unanswered = std::exchange(unanswered_, answered_.size() * 2 <= voters);
    if (granted_.size() * 2 > voters) return;
    if (held(now)) {
        next_ = now + times_.retry_min;
        return;
    }
    give_back_ = !granted_.empty() || answered_.size() < voters;
    const Span pause(
        std::uniform_int_distribution<long>(times_.retry_min.count(), times_.retry_max.count())(random_));
    next_ = now + (unanswered_ && was_unanswered ? 2 * pause : pause);
}

void LeaseHolder::raise_fencing(std::int64_t seen) {
    if (seen < kMostFencing) highest_ = std::max(highest_, seen);
}

std::vector<LeaseHolder::Send> LeaseHolder::release(Instant now, Instant again) {
    phase_ = Phase::idle;
    ++round_;  // replies that are still out don't count
    next_ = again;
    if (!std::exchange(give_back_, false) && !held(now)) return {};
    until_ = now;
    return to_all(request(Span(0)));
}

}  // namespace whinledge::control_plane
