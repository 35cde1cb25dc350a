#include "storage_plane/turn_quorum.hpp"

#include <algorithm>

#include "storage_plane/turn_operation.hpp"

namespace whinledge::storage_plane {

TurnQuorum::TurnQuorum(Options options, TurnCache& cache)
    : options_(std::move(options)), cache_(cache), ended_(options_.ended_entries) {}
TurnQuorum::~TurnQuorum() = default;

void TurnQuorum::set_map(const wire::StorageMap& map, double now_ms) {
    if (map.epoch <= map_.epoch) return;
    map_ = map;
    ledgers_ = storage_map::LedgerPlacement(map_);
    std::set<std::int64_t> silent;
    for (const wire::StorageMember& member : map_.members)
        if (silent_.count(member.identity)) silent.insert(member.identity);
    silent_ = std::move(silent);
    pace_.set_map(map_);
    std::vector<std::uint64_t> ids;
    for (auto& [id, operation] : operations_) {
        operation->map_changed();
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) step(id, now_ms);
    start_later_operations(now_ms);
}

std::uint64_t TurnQuorum::begin(const TurnStart& turn, double timeout_ms, double now_ms) {
    if (turn.budget <= 0) without_ledger_.insert(turn.turn);
    const double deadline_ms = now_ms + std::min(timeout_ms, options_.begin_limit_ms);
    return start(begin_operation(turn, now_ms, deadline_ms), now_ms);
}

std::uint64_t TurnQuorum::end(const TurnEnd& turn, double timeout_ms, double now_ms) {
    const bool has_ledger = without_ledger_.erase(turn.turn) == 0;
    auto continued = continued_.extract(turn.turn);
    if (!continued) return start(end_operation(turn, has_ledger, now_ms, now_ms + timeout_ms), now_ms);
    TurnEnd end = turn;
    end.record.continued_programs = std::move(continued.mapped());
    end.record.__isset.continued_programs = true;
    return start(end_operation(end, has_ledger, now_ms, now_ms + timeout_ms), now_ms);
}

std::uint64_t TurnQuorum::start(std::unique_ptr<Operation> operation, double now_ms) {
    const std::uint64_t id = ++last_operation_;
    operation->name(id);
    operations_.emplace(id, std::move(operation));
    step(id, now_ms);
    start_later_operations(now_ms);
    return id;
}

void TurnQuorum::replied(std::uint64_t send, const TurnReply& reply, double now_ms) {
    const auto found = asked_.find(send);
    if (found == asked_.end()) return;
    const Asked asked = std::move(found->second);
    asked_.erase(found);
    patience_.erase({asked.patience_until_ms, send});
    const bool is_answer = !std::holds_alternative<NoReply>(reply);
    if (is_answer) note_pace(asked, now_ms);
    if (!asked.overdue) return take_reply(asked, reply, now_ms);
    if (!is_answer) return;
    ++counters_.late_replies;
    take_reply(asked, reply, now_ms);
}

void TurnQuorum::note_pace(const Asked& asked, double now_ms) {
    if (options_.prefers_fast_members) pace_.answered(asked.member, now_ms - asked.sent_ms, now_ms);
}

void TurnQuorum::take_reply(const Asked& asked, const TurnReply& reply, double now_ms) {
    if (std::holds_alternative<NoReply>(reply)) {
        silent_.insert(asked.member);
    } else {
        silent_.erase(asked.member);
    }
    const auto operation = operations_.find(asked.operation);
    if (operation == operations_.end()) return;
    operation->second->replied(asked, reply, now_ms);
    step(asked.operation, now_ms);
    start_later_operations(now_ms);
}

// A member that is slow, for its disk say, may answer every call after the patience for it: were these
// answers dropped, no turn would begin while it lasts, though each call was done.
void TurnQuorum::give_up_waiting(double now_ms) {
    while (!patience_.empty() && patience_.begin()->first <= now_ms) {
        const std::uint64_t send = patience_.begin()->second;
        patience_.erase(patience_.begin());
        Asked& asked = asked_.at(send);
        asked.overdue = true;
        note_pace(asked, now_ms);
        take_reply(Asked(asked), NoReply(), now_ms);
    }
}

double TurnQuorum::wake_at_ms() const {
    return std::min(wakes_.empty() ? kNever : wakes_.top().first,
                    patience_.empty() ? kNever : patience_.begin()->first);
}

void TurnQuorum::wake(double now_ms) {
    give_up_waiting(now_ms);
    while (!wakes_.empty() && wakes_.top().first <= now_ms) {
        const auto [at_ms, id] = wakes_.top();
        wakes_.pop();
        const auto operation = operations_.find(id);
        if (operation == operations_.end() || operation->second->wake_at_ms() != at_ms) continue;
        operation->second->clear_wake();
        step(id, now_ms);
    }
    start_later_operations(now_ms);
}

void TurnQuorum::step(std::uint64_t id, double now_ms) {
    const auto found = operations_.find(id);
    if (found == operations_.end()) return;
    Operation& operation = *found->second;
    const double before_ms = operation.wake_at_ms();
    const bool was_told = operation.told();
    operation.clear_wake();
    operation.step(now_ms);
    if (operation.over()) {
        operations_.erase(found);
        return;
    }
    if (operation.wake_at_ms() != before_ms && operation.wake_at_ms() != kNever)
        wakes_.emplace(operation.wake_at_ms(), id);
    if (operation.told() && !was_told) {
        background_.push_back(id);
        bound_background();
    }
}

void TurnQuorum::start_later_operations(double now_ms) {
    for (const TurnEnd& end : std::exchange(cancellations_, {}))
        start(end_operation(end, true, now_ms, now_ms), now_ms);
    for (KeptChain& chain : std::exchange(kept_chains_, {}))
        start(keep_operation(std::move(chain), now_ms), now_ms);
}

void TurnQuorum::bound_background() {
    while (background_.size() > options_.background_limit) {
        operations_.erase(background_.front());
        background_.pop_front();
    }
}

}  // namespace whinledge::storage_plane
