// How turns are begun and ended across the storage members: which members are asked, what counts as a
// majority or as durable, when others are asked as well. Pure: times (ms, of a steady clock) and replies go
// in; sends and outcomes come out.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "control_types.h"  // generated from idl/*.thrift
#include "failure_domain/loss_tolerance.hpp"
#include "storage_map/ledger_placement.hpp"
#include "storage_plane/ended_entries.hpp"
#include "storage_plane/member_pace.hpp"
#include "storage_plane/turn_cache.hpp"
#include "storage_plane/turn_types.hpp"
#include "storage_types.h"

namespace whinledge::storage_plane {

struct TurnQuorumOptions {
    std::string zone;                         // of this process
    failure_domain::LossTolerance survive{};  // that the copies of a whole turn have to outlast
    double begin_limit_ms =
        1500;  // a turn that can't begin by then is refused, so that its client asks again
    // A call that begins a turn or reads some, and one that ends a turn, is made again without a reply for so
    // long. The first goes on: its reply counts as long as the operation is under way.
    double begin_patience_ms = 500;
    double end_patience_ms = 1000;
    double read_hedge_ms = 40;       // without the chain for so long: all members are asked for it
    double copy_hedge_ms = 150;      // without a copy at a holder for so long: the next in rank gets one
    double overdraft_look_ms = 100;  // a majority says that the budget is spent: the others may know better
    double retry_ms = 200;           // after a failed call; doubled with each further failure
    double longest_retry_ms = 1600;
    double background_ms = 6000;          // how long entries are delivered after the outcome
    std::size_t background_limit = 4096;  // operations that only deliver entries any more
    std::size_t ended_entries = 32768;    // remembered of programs' ended turns
    double second_look_ms =
        20;  // a majority holds a reservation: how long to wait for the rest, then ask again
    bool prefers_fast_members = false;  // off: days with a slow store were worth no more with it
    bool planted_single_look = false;   // a fault for the tests' checkers: the first answers of a majority do
    bool planted_one_copy = false;      // another: one copy makes a turn durable
    bool planted_small_reserve = false;  // another: one token is reserved, whatever a turn may put out
    bool planted_weak_majority =
        false;  // a fault for the tests' checkers to find: half of the voters are enough
};

// A call to make.
struct TurnSend {
    std::uint64_t id = 0;  // to be named with its reply
    std::int64_t member = 0;
    std::string address;    // IP:PORT
    double timeout_ms = 0;  // a reply may count until then
    std::variant<wire::BeginTurnRequest, wire::EndTurnRequest, wire::ReadTurnsRequest> request;
};

struct NoReply {};
using TurnReply = std::variant<NoReply, wire::BeginTurnReply, wire::EndTurnReply, wire::ReadTurnsReply>;

struct TurnOutcome {
    std::uint64_t operation = 0;
    std::variant<BegunTurn, bool> result;  // of a turn that ended: whether it is durable
};

// Counted since the start.
struct TurnCounters {
    std::uint64_t begun = 0, budget_spent = 0, no_such_turn = 0, unavailable = 0;
    // Of those that were unavailable: an earlier turn of the chain is gone; nobody can be sure; the budget is
    // in doubt. The rest were out of time.
    std::uint64_t chain_broken = 0, chain_unsure = 0, budget_in_doubt = 0;
    std::uint64_t cached_chains = 0, hedged_reads = 0;
    std::uint64_t durable = 0, not_durable = 0, hedged_copies = 0;
    std::uint64_t sends = 0, failed_sends = 0, late_replies = 0, stale_maps = 0;
};

class TurnQuorum {
public:
    using Options = TurnQuorumOptions;
    static constexpr double kNever = std::numeric_limits<double>::infinity();

    TurnQuorum(Options options, TurnCache& cache);
    ~TurnQuorum();
    TurnQuorum(const TurnQuorum&) = delete;
    TurnQuorum& operator=(const TurnQuorum&) = delete;

    // Older maps than the present one are ignored. Operations under way go on under the new one.
    void set_map(const wire::StorageMap& map, double now_ms);
    const wire::StorageMap& map() const { return map_; }

    // Each names its operation; exactly one outcome follows, after later calls or at once.
    std::uint64_t begin(const TurnStart& turn, double timeout_ms, double now_ms);
    std::uint64_t end(const TurnEnd& turn, double timeout_ms, double now_ms);

    void replied(std::uint64_t send, const TurnReply& reply, double now_ms);
    void wake(double now_ms);
    // When wake() should be called at the latest.
    double wake_at_ms() const;

    std::vector<TurnSend> take_sends() { return std::exchange(sends_, {}); }
    bool has_outcomes() const { return !outcomes_.empty(); }
    std::vector<TurnOutcome> take_outcomes() { return std::exchange(outcomes_, {}); }

    const TurnCounters& counters() const { return counters_; }
    std::size_t operations() const { return operations_.size(); }

private:
    class Operation;
    class BeginOperation;
    class EndOperation;
    class KeepOperation;

    // What a turn that was begun continues.
    struct KeptTurn {
        std::string id, program;  // under which members keep it
        std::vector<std::int64_t> holders;
    };
    struct KeptChain {
        std::string by_turn;
        std::vector<KeptTurn> turns;
        int keep_for_s = 0;  // from now on
    };

    // What a send was for.
    struct Asked {
        std::uint64_t operation = 0;
        std::int64_t member = 0;
        std::int64_t epoch = 0;
        std::string id;            // of the turn whose chain was asked for
        bool copy = false;         // a record was to be written
        bool reserves = false;     // tokens were to be reserved
        bool second_look = false;  // a majority held the reservation when this was sent
        double sent_ms = 0;
        double patience_until_ms = 0;
        bool overdue = false;  // it has counted as unanswered; its reply may still come
    };
    using Wake = std::pair<double, std::uint64_t>;

    std::unique_ptr<Operation> begin_operation(const TurnStart& turn, double now_ms, double deadline_ms);
    std::unique_ptr<Operation> end_operation(const TurnEnd& turn, bool has_ledger, double now_ms,
                                             double deadline_ms);
    std::unique_ptr<Operation> keep_operation(KeptChain chain, double now_ms);
    std::uint64_t start(std::unique_ptr<Operation> operation, double now_ms);
    void step(std::uint64_t operation, double now_ms);
    void start_later_operations(double now_ms);
    void give_up_waiting(double now_ms);
    void note_pace(const Asked& asked, double now_ms);
    void take_reply(const Asked& asked, const TurnReply& reply, double now_ms);
    void bound_background();

    Options options_;
    TurnCache& cache_;
    EndedEntriesCache ended_;
    wire::StorageMap map_;
    storage_map::LedgerPlacement ledgers_;  // under map_
    std::uint64_t last_operation_ = 0, last_send_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Operation>> operations_;
    std::unordered_map<std::uint64_t, Asked> asked_;
    std::set<Wake> patience_;        // of sends without a reply
    std::set<std::int64_t> silent_;  // members whose latest call had no reply: others are preferred
    MemberPace pace_;                // to slow ones as well
    std::unordered_set<std::string> without_ledger_;  // turns under way whose programs state no budget
    // Of turns under way: other programs that their chains come from.
    std::unordered_map<std::string, std::vector<std::string>> continued_;
    std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes_;
    std::deque<std::uint64_t> background_;
    std::vector<TurnEnd> cancellations_;
    std::vector<KeptChain> kept_chains_;
    std::vector<TurnSend> sends_;
    std::vector<TurnOutcome> outcomes_;
    TurnCounters counters_;
};

}  // namespace whinledge::storage_plane
