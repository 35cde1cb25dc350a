// What begins and ends of turns have in common: one exchange of messages with each member asked, and the
// operation that looks at its whole state at each step. Internal to turn_quorum.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "rpc/known_values.hpp"
#include "storage_plane/turn_quorum.hpp"

namespace whinledge::storage_plane {

constexpr std::int32_t kTurnProtocol = 1;

// One message for one member, until it is taken: sent, sent again after a pause, or held until there is a
// newer map.
struct Exchange {
    enum class State { idle, out, failed, awaits_map, done };
    State state = State::idle;
    double first_sent_ms = 0;
    double retry_at_ms = 0;
    int attempts = 0;

    bool due(double now_ms) const {
        return state == State::idle || (state == State::failed && now_ms >= retry_at_ms);
    }
    void sent(double now_ms) {
        if (attempts == 0) first_sent_ms = now_ms;
        ++attempts;
        state = State::out;
    }
    void failed(double now_ms, const TurnQuorumOptions& options) {
        if (attempts == 0) return;  // what failed was sent under an earlier map: nothing is out now
        const double pause = options.retry_ms * static_cast<double>(1 << std::min(attempts - 1, 10));
        state = State::failed;
        retry_at_ms = now_ms + std::min(pause, options.longest_retry_ms);
    }
};
using Exchanges = std::map<std::int64_t, Exchange>;  // by identity

// Absent: the call failed.
inline std::optional<wire::StorageStatus::type> status_of(const TurnReply& reply) {
    return std::visit(
        [](const auto& typed) -> std::optional<wire::StorageStatus::type> {
            if constexpr (std::is_same_v<std::decay_t<decltype(typed)>, NoReply>) {
                return std::nullopt;
            } else {
                return rpc::known_value<wire::StorageStatus::type>(typed.status);
            }
        },
        reply);
}

// An operation looks at its whole state at each step, sends what is missing and ends once its outcome is
// certain.
class TurnQuorum::Operation {
public:
    Operation(TurnQuorum& quorum, double deadline_ms) : quorum_(quorum), deadline_ms_(deadline_ms) {}
    virtual ~Operation() = default;

    virtual void map_changed() = 0;
    virtual void replied(const Asked& asked, const TurnReply& reply, double now_ms) = 0;
    virtual void step(double now_ms) = 0;

    void name(std::uint64_t id) { id_ = id; }
    bool over() const { return over_; }
    bool told() const { return told_; }
    double wake_at_ms() const { return wake_at_ms_; }
    void clear_wake() { wake_at_ms_ = kNever; }

protected:
    const Options& options() const { return quorum_.options_; }
    const wire::StorageMap& map() const { return quorum_.map_; }
    const storage_map::LedgerPlacement& ledgers() const { return quorum_.ledgers_; }
    TurnCache& cache() { return quorum_.cache_; }
    EndedEntriesCache& ended() { return quorum_.ended_; }
    TurnCounters& counters() { return quorum_.counters_; }
    double deadline_ms() const { return deadline_ms_; }
    bool is_silent(const wire::StorageMember& member) const {
        return quorum_.silent_.count(member.identity) > 0;
    }

    // It answers, in a time beside that of the others.
    bool is_prompt(const wire::StorageMember& member) const {
        return !is_silent(member) && !quorum_.pace_.is_slow(member.identity);
    }

    void wake_by(double at_ms) { wake_at_ms_ = std::min(wake_at_ms_, at_ms); }
    void end_here() { over_ = true; }

    template <class Request>
    void send(const wire::StorageMember& member, Request request, double patience_ms, double now_ms,
              Asked asked) {
        request.protocol = kTurnProtocol;
        request.map_epoch = map().epoch;
        request.identity = member.identity;
        asked.operation = id_;
        asked.member = member.identity;
        asked.epoch = map().epoch;
        const std::uint64_t id = ++quorum_.last_send_;
        asked.sent_ms = now_ms;
        asked.patience_until_ms = now_ms + patience_ms;
        quorum_.patience_.emplace(asked.patience_until_ms, id);
        quorum_.asked_.emplace(id, std::move(asked));
        const double timeout_ms = std::max(patience_ms, deadline_ms_ - now_ms);
        quorum_.sends_.push_back({id, member.identity, member.address, timeout_ms, std::move(request)});
        ++counters().sends;
    }

    void tell(std::variant<BegunTurn, bool> result) {
        told_ = true;
        quorum_.outcomes_.push_back({id_, std::move(result)});
    }

    void cancel(const TurnStart& turn);
    void keep(KeptChain chain) { quorum_.kept_chains_.push_back(std::move(chain)); }

    void forget_ledger(const std::string& turn) { quorum_.without_ledger_.erase(turn); }
    // Until the turn ends: its record names them.
    void remember_continued(const std::string& turn, std::set<std::string> programs) {
        if (!programs.empty()) quorum_.continued_[turn].assign(programs.begin(), programs.end());
    }

    // Whatever is wrong: the exchange goes on later.
    void not_taken(Exchange& exchange, const Asked& asked, const TurnReply& reply, double now_ms);

    // Those that are due already were not sent, as they are not wanted any more.
    void wake_for_retries(const Exchanges& exchanges, double now_ms);

private:
    TurnQuorum& quorum_;
    std::uint64_t id_ = 0;
    double deadline_ms_;
    double wake_at_ms_ = kNever;
    bool over_ = false, told_ = false;
};

}  // namespace whinledge::storage_plane
