#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

#include "storage_map/holder_order.hpp"
#include "storage_plane/ledger_merge.hpp"
#include "storage_plane/turn_chain.hpp"
#include "storage_plane/turn_operation.hpp"

namespace whinledge::storage_plane {

using wire::StorageStatus;

namespace {

constexpr double kMsPerS = 1000;

}  // namespace

// Reserves the most that a turn can put out and finds the chain it continues.
class TurnQuorum::BeginOperation : public Operation {
public:
    BeginOperation(TurnQuorum& quorum, const TurnStart& start, double now_ms, double deadline_ms)
        : Operation(quorum, deadline_ms), start_(start), began_ms_(now_ms), chain_(cache(), start.previous) {
        nearest_ = find_nearest();
        quorum_ = ledgers().quorum(start_.program);
        if (has_budget()) known_ = ended().find(start_.program);
        members_ = members_of_map();
        chain_cached_ = chain_.complete();
        if (chain_cached_ && !start_.previous.empty()) ++counters().cached_chains;
    }

    // Majorities and certain absence are counted within one map; what has been learned stays.
    void map_changed() override {
        reservations_.clear();
        granted_.clear();
        looks_.clear();
        looked_.clear();
        majority_at_ms_.reset();
        reads_.clear();
        chain_.map_changed();
        members_ = members_of_map();
        nearest_ = find_nearest();
        quorum_ = ledgers().quorum(start_.program);
    }

    void replied(const Asked& asked, const TurnReply& reply, double now_ms) override {
        if (const auto* begun = std::get_if<wire::BeginTurnReply>(&reply)) {
            learn_ledger(*begun);
            learn(asked, status_of(reply), begun->chain);
        } else if (const auto* read = std::get_if<wire::ReadTurnsReply>(&reply)) {
            learn(asked, status_of(reply), read->chain);
        }
        // Of an older map: what it says about single turns holds, but it is no vote under this one.
        if (asked.epoch != map().epoch) return;
        const bool taken = status_of(reply) == StorageStatus::ok;
        if (std::holds_alternative<wire::BeginTurnReply>(reply) && taken) {
            granted_.insert(asked.member);
            if (asked.second_look) looked_.insert(asked.member);
        }
        if (!taken && !asked.id.empty()) hedged_ = true;
        settle_exchange(exchange_of(asked), asked, reply, now_ms);
    }

    void step(double now_ms) override {
        const Budget budget = budget_verdict(now_ms);
        const ChainSearch::Verdict chain = chain_.verdict(members_);
        if (budget == Budget::spent) return finish({BeginStatus::budget_spent, {}});
        if (budget == Budget::in_doubt) return unavailable(counters().budget_in_doubt);
        if (chain == ChainSearch::Verdict::broken) return unavailable(counters().chain_broken);
        if (chain == ChainSearch::Verdict::unsure) return unavailable(counters().chain_unsure);
        if (chain == ChainSearch::Verdict::absent) return finish({BeginStatus::no_such_turn, {}});
        if (budget == Budget::holds && chain == ChainSearch::Verdict::here) return go_on();
        if (now_ms >= deadline_ms()) return finish({BeginStatus::unavailable, {}});
        wake_by(deadline_ms());
        if (has_budget()) reserve(now_ms);
        if (budget == Budget::undecided) look_again(now_ms);
        if (chain == ChainSearch::Verdict::undecided) read(now_ms);
    }

private:
    enum class Budget { undecided, holds, spent, in_doubt };

    bool has_budget() const { return start_.budget > 0; }

    void learn_ledger(const wire::BeginTurnReply& reply) {
        for (const wire::LedgerEntry& entry : reply.entries) merge_entry(ledger_, entry);
        if (!known_ || !reply.__isset.same_ended || !reply.same_ended) {
            told_whole_ = true;
            return;
        }
        for (const wire::LedgerEntry& entry : known_->entries) merge_entry(ledger_, entry);
    }

    Exchange& exchange_of(const Asked& asked) {
        if (asked.reserves) return reservations_[asked.member];
        if (asked.second_look) return looks_[asked.member];
        return reads_[asked.id][asked.member];
    }

    // ---- The budget

    // Of the members that keep the program's ledger.
    const std::set<std::int64_t>& voters() const { return quorum_.voters(); }
    std::size_t votes_of(const std::set<std::int64_t>& identities) const {
        return static_cast<std::size_t>(
            std::count_if(voters().begin(), voters().end(),
                          [&](std::int64_t voter) { return identities.count(voter) > 0; }));
    }

    // Joining members are told as well where all keep all ledgers.
    bool keeps_ledger(const wire::StorageMember& member) const {
        return !ledgers().grouped() || voters().count(member.identity) > 0;
    }

    Budget budget_verdict(double now_ms) {
        if (!has_budget()) return Budget::holds;
        if (own_entry_ended()) return Budget::in_doubt;
        if (voters().empty() || !decide(granted_)) return Budget::undecided;
        if (!majority_at_ms_) majority_at_ms_ = now_ms;
        const bool by_all = votes_of(granted_) == voters().size();
        if (tokens_of_others() + start_.most <= start_.budget)
            return by_all || looked_twice() ? Budget::holds : Budget::undecided;
        const double look_until_ms = *majority_at_ms_ + options().overdraft_look_ms;
        if (by_all || now_ms >= look_until_ms) return Budget::spent;
        wake_by(look_until_ms);
        return Budget::undecided;
    }

    bool decide(const std::set<std::int64_t>& identities) const {
        if (options().planted_weak_majority) return votes_of(identities) >= (voters().size() + 1) / 2;
        return quorum_.is_met_by(identities);
    }

    // Of two turns one sees the other, but of three in a ring each may see one only. So a turn looks at a
    // majority once more when a majority holds its reservation, unless all voters hold it: then whichever of
    // several turns had its majority last has seen all others.
    bool looked_twice() const { return options().planted_single_look || decide(looked_); }

    void look_again(double now_ms) {
        if (!majority_at_ms_ || looked_twice()) return;
        const double look_at_ms = *majority_at_ms_ + options().second_look_ms;
        const bool more_may_come =
            std::any_of(map().members.begin(), map().members.end(), [&](const wire::StorageMember& member) {
                return voters().count(member.identity) && !granted_.count(member.identity) &&
                       is_prompt(member);
            });
        if (more_may_come && now_ms < look_at_ms) return wake_by(look_at_ms);
        for (const wire::StorageMember& member : map().members) {
            if (!granted_.count(member.identity) || looked_.count(member.identity)) continue;
            Exchange& exchange = looks_[member.identity];
            if (!exchange.due(now_ms)) continue;
            exchange.sent(now_ms);
            Asked asked;
            asked.second_look = true;
            send(member, reservation(), options().begin_patience_ms, now_ms, std::move(asked));
        }
        wake_for_retries(looks_, now_ms);
    }

    // Somebody has ended this very turn: it must not run on that reservation, nor be cancelled.
    bool own_entry_ended() const {
        const auto own = ledger_.find(start_.turn);
        return own != ledger_.end() && own->second.state != wire::EntryState::reserved;
    }

    std::int64_t tokens_of_others() const {
        std::int64_t tokens = 0;
        for (const auto& [turn, entry] : ledger_)
            if (turn != start_.turn && entry.state != wire::EntryState::cancelled) tokens += entry.tokens;
        return tokens;
    }

    void reserve(double now_ms) {
        const std::int64_t source = chain_cached_ ? 0 : nearest_;
        for (const wire::StorageMember& member : map().members) {
            if (!keeps_ledger(member)) continue;
            Exchange& exchange = reservations_[member.identity];
            if (!exchange.due(now_ms)) continue;
            wire::BeginTurnRequest request = reservation();
            // Chains cross zones only if the nearest member does not hold them.
            if (member.identity == source && !hedged_) request.previous = start_.previous;
            exchange.sent(now_ms);
            Asked asked;
            asked.id = request.previous;
            asked.reserves = true;
            asked.second_look = majority_at_ms_.has_value();
            send(member, std::move(request), options().begin_patience_ms, now_ms, std::move(asked));
        }
        wake_for_retries(reservations_, now_ms);
    }

    wire::BeginTurnRequest reservation() const {
        wire::BeginTurnRequest request;
        request.program = start_.program;
        request.turn = start_.turn;
        request.reserve = options().planted_small_reserve ? 1 : start_.most;
        request.keep_for_s = start_.keep_for_s;
        if (known_) request.__set_ended_digest(known_->digest);
        return request;
    }

    // ---- The chain

    ChainSearch::Members members_of_map() const {
        ChainSearch::Members members;
        for (const wire::AwayStorage& away : map().away) members.away.insert(away.identity);
        for (const wire::StorageMember& member : map().members) {
            std::set<std::int64_t>& role = storage_map::votes(member) ? members.voters : members.joining;
            role.insert(member.identity);
        }
        return members;
    }

    void learn(const Asked& asked, std::optional<StorageStatus::type> status,
               const std::vector<wire::TurnRecord>& chain) {
        chain_.learn(chain);
        if (asked.epoch == map().epoch) chain_.note_answer(asked.member, asked.id);
        if (asked.id.empty() || status != StorageStatus::ok || asked.epoch != map().epoch) return;
        if (chain_.learn_end(asked.member, asked.id, chain)) hedged_ = true;
    }

    void read(double now_ms) {
        if (!hedged_ && now_ms >= began_ms_ + options().read_hedge_ms) hedged_ = true;
        if (hedged_ && !hedge_counted_) {
            hedge_counted_ = true;
            ++counters().hedged_reads;
        }
        if (!hedged_) wake_by(began_ms_ + options().read_hedge_ms);
        Exchanges& exchanges = reads_[chain_.missing()];
        for (const wire::StorageMember& member : map().members) {
            if (!hedged_ && (reads_with_reservation() || member.identity != nearest_)) continue;
            if (chain_.is_denied_by(member.identity) || is_asked_with_reservation(member.identity)) continue;
            Exchange& exchange = exchanges[member.identity];
            if (!exchange.due(now_ms)) continue;
            wire::ReadTurnsRequest request;
            request.id = chain_.missing();
            exchange.sent(now_ms);
            Asked asked;
            asked.id = chain_.missing();
            send(member, std::move(request), options().begin_patience_ms, now_ms, std::move(asked));
        }
        wake_for_retries(exchanges, now_ms);
    }

    // The chain is asked for at the nearest member along with the reservation.
    bool reads_with_reservation() const {
        return has_budget() && (!ledgers().grouped() || voters().count(nearest_) > 0);
    }

    bool is_asked_with_reservation(std::int64_t identity) const {
        if (!reads_with_reservation() || chain_.missing() != start_.previous || identity != nearest_)
            return false;
        const auto exchange = reservations_.find(identity);
        return exchange != reservations_.end() && exchange->second.state == Exchange::State::out;
    }

    // The member that most likely holds the chain: that which would be the first to get such a turn from
    // here.
    std::int64_t find_nearest() const {
        const storage_map::HolderOrder order(map(), options().zone, start_.program);
        for (const wire::StorageMember* member : order.members())
            if (is_prompt(*member)) return member->identity;
        for (const wire::StorageMember* member : order.members())
            if (!is_silent(*member)) return member->identity;
        return map().members.empty() ? 0 : map().members.front().identity;
    }

    // ---- The end

    void settle_exchange(Exchange& exchange, const Asked& asked, const TurnReply& reply, double now_ms) {
        if (status_of(reply) == StorageStatus::ok) {
            exchange.state = Exchange::State::done;
        } else {
            not_taken(exchange, asked, reply, now_ms);
        }
    }

    void go_on() {
        BegunTurn begun{BeginStatus::ok, chain_.records()};
        if (!begun.chain.empty()) keep_chain(begun.chain);
        remember_continued(start_.turn, programs_of(begun.chain));
        finish(std::move(begun));
    }

    void unavailable(std::uint64_t& reason) {
        ++reason;
        finish({BeginStatus::unavailable, {}});
    }

    void finish(BegunTurn result) {
        // Where members named open entries alone, what is known stands; turns that ended meanwhile were added
        // to it.
        const bool ledger_read = has_budget() && majority_at_ms_;
        if (ledger_read && told_whole_) ended().replace(start_.program, ledger_);
        switch (result.status) {
            case BeginStatus::ok:
                ++counters().begun;
                break;
            case BeginStatus::budget_spent:
                ++counters().budget_spent;
                break;
            case BeginStatus::no_such_turn:
                ++counters().no_such_turn;
                break;
            case BeginStatus::unavailable:
                ++counters().unavailable;
                break;
        }
        if (result.status != BeginStatus::ok) {
            if (has_budget() && !own_entry_ended()) cancel(start_);
            forget_ledger(start_.turn);
        }
        tell(std::move(result));
        end_here();
    }

    // Other programs that the chain comes from, each once.
    std::set<std::string> programs_of(const std::vector<wire::TurnRecord>& records) const {
        std::set<std::string> programs;
        for (const wire::TurnRecord& record : records) programs.insert(program_name(record));
        programs.erase(start_.program);
        return programs;
    }

    // A chain lasts as long as its newest turn. Of this turn's own program its members hear by themselves,
    // from the reservation and from the copies of its end; of other programs that the chain comes from, and
    // where ledgers lie on groups, some don't.
    void keep_chain(const std::vector<wire::TurnRecord>& records) {
        KeptChain chain;
        chain.by_turn = start_.turn;
        chain.keep_for_s = start_.keep_for_s + static_cast<int>(std::ceil(start_.longest_ms / kMsPerS));
        for (const wire::TurnRecord& record : records) {
            if (record.program == start_.program && !ledgers().grouped()) continue;
            chain.turns.push_back({record.id, program_name(record), record.holders});
        }
        if (!chain.turns.empty()) keep(std::move(chain));
    }

    TurnStart start_;
    double began_ms_;
    ChainSearch chain_;
    ChainSearch::Members members_;
    bool chain_cached_ = false, hedged_ = false, hedge_counted_ = false;
    std::int64_t nearest_ = 0;
    storage_map::LedgerQuorum quorum_;  // of the voters that keep the program's ledger
    LedgerEntries ledger_;
    std::shared_ptr<const EndedEntries> known_;  // of earlier turns; null: none are known here
    bool told_whole_ = false;                    // by a member that does not hold just what is known
    Exchanges reservations_;
    std::set<std::int64_t> granted_;  // who hold the reservation, under the present map
    Exchanges looks_;
    std::set<std::int64_t> looked_;  // who have said once more, after a majority held it, what they have
    std::optional<double> majority_at_ms_;
    std::map<std::string, Exchanges> reads_;  // by the turn that was asked for
};

std::unique_ptr<TurnQuorum::Operation> TurnQuorum::begin_operation(const TurnStart& turn, double now_ms,
                                                                   double deadline_ms) {
    return std::make_unique<BeginOperation>(*this, turn, now_ms, deadline_ms);
}

}  // namespace whinledge::storage_plane
