#include <algorithm>
#include <functional>
#include <set>

#include "storage_map/holder_order.hpp"
#include "storage_plane/turn_operation.hpp"

namespace whinledge::storage_plane {

using wire::StorageStatus;

// Writes a turn's record where it is whole, and tells those that keep its program's ledger what it has used.
class TurnQuorum::EndOperation : public Operation {
public:
    EndOperation(TurnQuorum& quorum, const TurnEnd& end, bool has_ledger, double now_ms, double deadline_ms)
        : Operation(quorum, deadline_ms),
          end_(end),
          has_ledger_(has_ledger),
          give_up_ms_(std::max(now_ms, deadline_ms) + options().background_ms) {
        if (has_ledger_) {
            entry_.turn = end_.turn;
            entry_.tokens = end_.never_ran ? 0 : end_.tokens;
            entry_.state = end_.never_ran ? wire::EntryState::cancelled : wire::EntryState::settled;
            ended().add(end_.program, entry_);
        }
        order_ = storage_map::HolderOrder(map(), options().zone, end_.program);
        quorum_ = ledgers().quorum(end_.program);
    }

    // Copies that stand count on where their holders do; the others are looked for anew.
    void map_changed() override {
        order_ = storage_map::HolderOrder(map(), options().zone, end_.program);
        quorum_ = ledgers().quorum(end_.program);
        for (Exchanges* exchanges : {&copies_, &notes_}) {
            for (auto& [identity, exchange] : *exchanges)
                if (exchange.state == Exchange::State::awaits_map ||
                    exchange.state == Exchange::State::failed)
                    exchange = Exchange();
        }
    }

    void replied(const Asked& asked, const TurnReply& reply, double now_ms) override {
        Exchange& exchange = asked.copy ? copies_[asked.member] : notes_[asked.member];
        if (status_of(reply) != StorageStatus::ok) {
            // A member that joins keeps what it is told, though it does not vote.
            if (!asked.copy && status_of(reply) == StorageStatus::not_voting)
                exchange.state = Exchange::State::done;
            else
                not_taken(exchange, asked, reply, now_ms);
            return;
        }
        exchange.state = Exchange::State::done;
        informed_.insert(asked.member);
        if (asked.copy) holders_.insert(asked.member);
    }

    void step(double now_ms) override {
        decide(now_ms);
        if (!told() && end_.whole) copy(now_ms);
        if (has_ledger_) inform(now_ms);
        // The outcome stands, and everyone has heard of it, or has had time enough.
        if (told() && (!has_ledger_ || all_informed() || now_ms >= give_up_ms_)) return end_here();
        wake_by(told() ? give_up_ms_ : deadline_ms());
    }

private:
    failure_domain::LossTolerance survive() const {
        return options().planted_one_copy ? failure_domain::LossTolerance{0, 0, 0} : options().survive;
    }

    void decide(double now_ms) {
        if (told()) return;
        if (end_.whole ? order_.durable(holders_, survive()) : entry_stands()) {
            if (end_.whole) keep();
            return conclude(true);
        }
        if (now_ms >= deadline_ms()) conclude(false);
    }

    void conclude(bool durable) {
        if (end_.whole) ++(durable ? counters().durable : counters().not_durable);
        tell(durable);
    }

    bool entry_stands() const {
        if (!has_ledger_) return true;
        return !quorum_.voters().empty() && quorum_.is_met_by(informed_);
    }

    // Joining members are told as well where all keep all ledgers.
    bool keeps_ledger(const wire::StorageMember& member) const {
        return !ledgers().grouped() || quorum_.voters().count(member.identity) > 0;
    }

    void keep() {
        end_.record.holders.assign(holders_.begin(), holders_.end());
        cache().insert(std::make_shared<const wire::TurnRecord>(end_.record));
    }

    // Asks members for copies until those that hold one, or may yet say so in good time, would be enough.
    void copy(double now_ms) {
        const auto usable = [&](const wire::StorageMember& member) {
            const auto found = copies_.find(member.identity);
            return found == copies_.end() ? is_prompt(member) : !is_slow(found->second, now_ms);
        };
        const auto untried = [&](const wire::StorageMember& member) {
            return usable(member) || !copies_.count(member.identity);
        };
        const auto answering = [&](const wire::StorageMember& member) {
            return usable(member) || (!copies_.count(member.identity) && !is_silent(member));
        };
        auto chosen = order_.complement(holders_, survive(), usable);
        if (!order_.durable(with(chosen), survive()))
            chosen = order_.complement(holders_, survive(), answering);
        if (!order_.durable(with(chosen), survive()))
            chosen = order_.complement(holders_, survive(), untried);
        std::vector<std::int64_t> named(holders_.begin(), holders_.end());
        for (const wire::StorageMember* member : chosen) named.push_back(member->identity);
        const bool first = copies_.empty();
        for (const wire::StorageMember* member : chosen) {
            if (!first && !copies_.count(member->identity)) ++counters().hedged_copies;
            copies_.emplace(member->identity, Exchange());
        }
        for (const wire::StorageMember* member : order_.members()) {
            const auto found = copies_.find(member->identity);
            if (found == copies_.end()) continue;
            Exchange& exchange = found->second;
            if (exchange.due(now_ms)) write(*member, exchange, named, now_ms);
            if (exchange.state == Exchange::State::out &&
                now_ms < exchange.first_sent_ms + options().copy_hedge_ms)
                wake_by(exchange.first_sent_ms + options().copy_hedge_ms);
        }
        wake_for_retries(copies_, now_ms);
    }

    std::set<std::int64_t> with(const std::vector<const wire::StorageMember*>& members) const {
        std::set<std::int64_t> holders = holders_;
        for (const wire::StorageMember* member : members) holders.insert(member->identity);
        return holders;
    }

    bool is_slow(const Exchange& exchange, double now_ms) const {
        if (exchange.state == Exchange::State::idle) return false;
        return exchange.state != Exchange::State::out ||
               now_ms >= exchange.first_sent_ms + options().copy_hedge_ms;
    }

    void write(const wire::StorageMember& member, Exchange& exchange, std::vector<std::int64_t> named,
               double now_ms) {
        if (std::find(named.begin(), named.end(), member.identity) == named.end())
            named.push_back(member.identity);
        wire::EndTurnRequest request = plain_request();
        request.record = end_.record;
        request.record.holders = std::move(named);
        request.__isset.record = true;
        exchange.sent(now_ms);
        Asked asked;
        asked.copy = true;
        send(member, std::move(request), options().end_patience_ms, now_ms, std::move(asked));
    }

    void inform(double now_ms) {
        for (const wire::StorageMember& member : map().members) {
            if (!keeps_ledger(member)) continue;
            if (informed_.count(member.identity) || awaits_copy(member.identity)) continue;
            Exchange& exchange = notes_[member.identity];
            if (!exchange.due(now_ms)) continue;
            exchange.sent(now_ms);
            send(member, plain_request(), options().end_patience_ms, now_ms, Asked());
        }
        wake_for_retries(notes_, now_ms);
    }

    // The copy on its way to this member tells it as well.
    bool awaits_copy(std::int64_t identity) const {
        const auto found = copies_.find(identity);
        return found != copies_.end() && found->second.state == Exchange::State::out;
    }

    bool all_informed() const {
        return std::all_of(map().members.begin(), map().members.end(),
                           [&](const wire::StorageMember& member) {
                               if (!keeps_ledger(member)) return true;
                               if (informed_.count(member.identity)) return true;
                               const auto found = notes_.find(member.identity);
                               return found != notes_.end() && found->second.state == Exchange::State::done;
                           });
    }

    wire::EndTurnRequest plain_request() const {
        wire::EndTurnRequest request;
        request.program = end_.program;
        request.entry = entry_;
        request.keep_for_s = end_.keep_for_s;
        return request;
    }

    TurnEnd end_;
    bool has_ledger_;
    double give_up_ms_;
    wire::LedgerEntry entry_;  // no turn is named in it where no ledger is kept
    storage_map::HolderOrder order_;
    storage_map::LedgerQuorum quorum_;  // of the voters that keep the program's ledger
    Exchanges copies_, notes_;          // writes of the record; of the entry alone
    std::set<std::int64_t> holders_;    // who have the record synced
    std::set<std::int64_t> informed_;   // who have the entry
};

std::unique_ptr<TurnQuorum::Operation> TurnQuorum::end_operation(const TurnEnd& turn, bool has_ledger,
                                                                 double now_ms, double deadline_ms) {
    return std::make_unique<EndOperation>(*this, turn, has_ledger, now_ms, deadline_ms);
}

}  // namespace whinledge::storage_plane
