#include "storage_plane/shared_digest.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "storage_map/ledger_placement.hpp"
#include "storage_map/staying_holders.hpp"
#include "storage_map/wanted_holders.hpp"

namespace whinledge::storage_plane {
namespace {

constexpr std::size_t kMostRanges = 65536;
constexpr std::int64_t kUnsettledMs = 5000;  // after a write, and before a program goes

bool settled(const HeldProgram& program, std::int64_t now_ms) {
    const std::int64_t left = program.offered_ms - now_ms;
    return left >= kUnsettledMs && left <= kept_ms(program.keep_for_s) - kUnsettledMs;
}

bool contains(const std::vector<std::int64_t>& identities, std::int64_t identity) {
    return std::find(identities.begin(), identities.end(), identity) != identities.end();
}

void add(std::vector<DigestSummary::SharedTurns>& turns, std::int64_t member, std::uint64_t hash) {
    const auto at = std::lower_bound(
        turns.begin(), turns.end(), member,
        [](const DigestSummary::SharedTurns& turn, std::int64_t wanted) { return turn.member < wanted; });
    if (at != turns.end() && at->member == member)
        at->sum += hash;
    else
        turns.insert(at, {member, hash});
}

std::uint64_t shared_with(const DigestSummary& summary, std::int64_t other) {
    const bool keeps = summary.all_keep_ledger ||
                       std::binary_search(summary.ledger_group.begin(), summary.ledger_group.end(), other);
    std::uint64_t digest = keeps ? summary.ledger : 0;
    for (const DigestSummary::SharedTurns& turns : summary.turns)
        if (turns.member == other) digest += turns.sum;
    return digest;
}

}  // namespace

std::uint64_t ledger_digest(const HeldProgram& program) {
    std::uint64_t digest = program.hash;
    for (const auto& [turn, held] : program.entries) {
        digest = XXH64(turn.data(), turn.size(), digest);
        digest = digest * 31 + static_cast<std::uint64_t>(held.entry.tokens) * 4 +
                 static_cast<std::uint64_t>(held.entry.state);
    }
    return digest;
}

// How the map places turns and ledgers, as one of its members sees it.
class SharedDigests::View {
public:
    View(const TurnStore& store, const DigestScope& scope)
        : store_(store), scope_(scope), staying_(scope.map, scope.survive), ledgers_(scope.map) {}

    const DigestScope& scope() const { return scope_; }

    DigestSummary::Scope kept_for() const { return {scope_.self, scope_.map.epoch, scope_.survive}; }

    DigestSummary summary_of(const std::string& name, const HeldProgram& program) const {
        DigestSummary summary;
        summary.scope = kept_for();
        sum_ledger(name, program, summary);
        if (!staying_.has(scope_.self)) return summary;
        for (const std::string& id : program.turns) sum_turn(id, *store_.turn(id), summary);
        return summary;
    }

private:
    // A member without entries may not know the program at all: one that holds none of its turns.
    void sum_ledger(const std::string& name, const HeldProgram& program, DigestSummary& summary) const {
        if (program.entries.empty()) return;
        summary.ledger = ledger_digest(program);
        summary.all_keep_ledger = !ledgers_.grouped();
        if (summary.all_keep_ledger) return;
        const std::set<std::int64_t> group = ledgers_.group(name);
        if (group.count(scope_.self) > 0) summary.ledger_group.assign(group.begin(), group.end());
    }

    void sum_turn(const std::string& id, const HeldTurn& turn, DigestSummary& summary) const {
        if (staying_.enough(turn.holders)) return sum_holders(turn, turn.holders, summary);
        sum_holders(turn, storage_map::wanted_holders(id, turn.holders, scope_.map, scope_.survive), summary);
    }

    void sum_holders(const HeldTurn& turn, const std::vector<std::int64_t>& holders,
                     DigestSummary& summary) const {
        if (!contains(holders, scope_.self)) return;
        for (const std::int64_t holder : holders)
            if (staying_.has(holder)) add(summary.turns, holder, turn.id_hash | 1);
    }

    const TurnStore& store_;
    const DigestScope& scope_;
    const storage_map::StayingHolders staying_;
    const storage_map::LedgerPlacement ledgers_;
};

std::uint64_t SharedDigests::of_program(const std::string& name, const HeldProgram& program,
                                        const View& view) {
    const std::int64_t other = view.scope().other;
    if (most_summaries_ == 0) return shared_with(view.summary_of(name, program), other);
    std::unique_ptr<DigestSummary>& kept = program.digest_summary;
    if (kept && kept->scope == view.kept_for()) return shared_with(*kept, other);
    DigestSummary summary = view.summary_of(name, program);
    const std::uint64_t digest = shared_with(summary, other);
    if (!kept && spare_ == 0) return digest;
    if (!kept) --spare_;
    kept = std::make_unique<DigestSummary>(std::move(summary));
    return digest;
}

std::vector<std::int64_t> SharedDigests::of(const TurnStore& store, const DigestScope& scope,
                                            std::size_t ranges) {
    ranges = std::clamp<std::size_t>(ranges, 1, kMostRanges);
    std::vector<std::uint64_t> digests(ranges, 0);
    spare_ = most_summaries_ - std::min(summaries_, most_summaries_);
    summaries_ = 0;
    const View view(store, scope);
    for (const auto& [name, program] : store.programs()) {
        if (settled(program, scope.now_ms))
            digests[range_of(program.hash, ranges)] ^= of_program(name, program, view);
        if (program.digest_summary) ++summaries_;
    }
    return {digests.begin(), digests.end()};
}

}  // namespace whinledge::storage_plane
