#include "consensus/durable_acceptor.hpp"

#include <utility>

namespace whinledge::consensus {

using wire::AcceptorStatus;

namespace {

AcceptorDecision decide(const Acceptor& acceptor, const AcceptorRequest& request) {
    return std::visit([&](const auto& one) { return acceptor.decide(one); }, request);
}

// Of the value in it; what else a request holds is small.
std::size_t value_bytes(const AcceptorRequest& request) {
    const auto* const accept = std::get_if<wire::AcceptRequest>(&request);
    return accept == nullptr ? 0 : accept->entry.state.configuration.size();
}

wire::AcceptorReply not_stored() {
    wire::AcceptorReply reply;
    reply.status = AcceptorStatus::not_stored;
    return reply;
}

}  // namespace

DurableAcceptor::DurableAcceptor(RegisterHost& host, Acceptor acceptor, RegisterCounters& counters)
    : host_(host), counters_(counters), synced_(std::make_shared<const Acceptor>(std::move(acceptor))) {}

void DurableAcceptor::handle(const AcceptorRequest& request, Millis patience, ReplyDone done) {
    AcceptorDecision decision = decide(*synced_, request);
    if (answered_at_once(decision)) return done(std::move(decision.reply));
    const std::size_t bytes = value_bytes(request);
    if (!has_room(bytes)) {
        ++counters_.turned_away;
        return done(not_stored());
    }
    waiting_bytes_ += bytes;
    waiting_.push_back({request, bytes, host_.now() + patience, std::move(done)});
    write_what_waits();
}

// An epoch that is known and about to be on the disk is worth the wait.
bool DurableAcceptor::answered_at_once(const AcceptorDecision& decision) const {
    if (decision.record) return false;
    return decision.reply.status != AcceptorStatus::unknown_epoch || !installing();
}

bool DurableAcceptor::has_room(std::size_t bytes) const {
    if (waiting_.empty()) return true;
    return waiting_.size() < kMostWaitingRequests && waiting_bytes_ + bytes <= kMostWaitingBytes;
}

void DurableAcceptor::learn(std::shared_ptr<const wire::ChosenValue> chosen) {
    chosen_ = std::move(chosen);
    write_what_waits();
}

void DurableAcceptor::write_what_waits() {
    const bool lacks_value = chosen_ && synced_->lacks(*chosen_);
    if (writing_ || (waiting_.empty() && !lacks_value)) return;
    const auto next = std::make_shared<Acceptor>(*synced_);
    std::vector<wire::AcceptorRecord> records;
    writing_ = true;  // nothing else begins from within
    decide_what_waits(*next, records);
    if (records.empty()) return on_written(true, next);
    write(next, std::move(records));
}

void DurableAcceptor::write(std::shared_ptr<const Acceptor> next, std::vector<wire::AcceptorRecord> records) {
    writing_ = true;
    writing_since_ = host_.now();
    host_.persist({std::move(records), synced_}, [this, next = std::move(next)](bool synced) {
        if (synced) {
            health_.written(host_.now());
        } else {
            health_.refused(host_.now());
            ++counters_.refused_writes;
        }
        on_written(synced, next);
    });
}

void DurableAcceptor::probe_disk() {
    if (writing_ || !health_.probe_due(host_.now())) return;
    write_what_waits();
    if (writing_) return;
    wire::AcceptorRecord promised_before;
    promised_before.__set_promised(synced_->promised());
    write(synced_, {promised_before});
}

// What is known to be chosen goes first: it may end the epoch that requests are for.
void DurableAcceptor::decide_what_waits(Acceptor& next, std::vector<wire::AcceptorRecord>& records) {
    const auto add = [&](std::optional<wire::AcceptorRecord> record) {
        if (!record) return;
        next.apply(*record);
        records.push_back(std::move(*record));
    };
    if (chosen_) add(next.learn(*chosen_));
    for (Waiting& one : waiting_) {
        AcceptorDecision decision = decide(next, one.request);
        add(std::move(decision.record));
        decided_.push_back({std::move(decision.reply), one.deadline, std::move(one.done)});
    }
    waiting_.clear();
    waiting_bytes_ = 0;
}

// Replies may lead to further requests and values, from within.
void DurableAcceptor::on_written(bool synced, std::shared_ptr<const Acceptor> next) {
    writing_ = false;
    if (synced) synced_ = std::move(next);
    for (Decided& one : std::exchange(decided_, {}))
        if (one.done) one.done(synced ? std::move(one.reply) : not_stored());
    // A value that the disk refused is tried again with the next request or value, not at once for ever.
    if (synced || !waiting_.empty()) write_what_waits();
}

bool DurableAcceptor::hangs() const { return writing_ && host_.now() - writing_since_ >= kHangs; }

void DurableAcceptor::expire() {
    const Millis now = host_.now();
    std::vector<ReplyDone> given_up;
    for (Decided& one : decided_)
        if (one.done && one.deadline <= now) given_up.push_back(std::exchange(one.done, nullptr));
    while (!waiting_.empty() && waiting_.front().deadline <= now) {
        waiting_bytes_ -= waiting_.front().bytes;
        given_up.push_back(std::move(waiting_.front().done));
        waiting_.pop_front();
    }
    for (const ReplyDone& done : given_up) done(std::nullopt);
}

}  // namespace whinledge::consensus
