// A control process, or its acceptor alone, cut off for 20 s while orders, reads and races come to it, to the
// others and to processes that are no acceptors; healed in the middle of a round. Nothing older than what was
// acknowledged is told, nothing is refused that may be taken, nothing is confirmed without a majority, and
// the others go on.
#include <cstdio>
#include <string>
#include <vector>

#include "hard_case.hpp"
#include "operator_history.hpp"

namespace whinledge::control_plane::test {
namespace {

constexpr Millis kCut = 20'000, kBetweenCalls = 120;
constexpr Millis kInTouch = 3000, kConfirm = 4000;     // guarantees.inTouchMs, .confirmMs
constexpr std::size_t kSmallCore = 4, kLargeCore = 9;  // of the latter two are no acceptors

enum class Cut { both_ways, nothing_reaches_it, nothing_leaves_it, acceptor_alone };
constexpr Cut kCuts[] = {Cut::both_ways, Cut::nothing_reaches_it, Cut::nothing_leaves_it,
                         Cut::acceptor_alone};
const char* const kCutNames[] = {"both ways", "nothing reaches it", "nothing leaves it",
                                 "its acceptor alone"};

class CutOffControl : public HardCase {
protected:
    void core(std::size_t size, std::uint64_t seed) {
        begin(seed, size);
        found();
        for (std::size_t m = kD; m < size; ++m) world->start(m, false);
        run(6000);
        ASSERT_EQ(acceptors(kA), std::min(size, consensus::kMostAcceptors));
        history.emplace(*world);
        calls_until(world->now() + 2000);
        ASSERT_GT(history->acknowledged_version(), 0);
    }
    std::size_t any() { return static_cast<std::size_t>(world->draw(world->machines())); }

    // What operators do: orders upon the newest that they know of, two at once with one number now and then,
    // and reads; each call at any process.
    void call() {
        const std::int64_t base = history->newest_version();
        switch (world->draw(10)) {
            case 0:
            case 1:
            case 2:
            case 3:
                return history->read(any());
            case 4:
            case 5: {
                const std::int64_t version = base + 1 + static_cast<std::int64_t>(world->draw(2));
                history->send(any(), history->order(version));
                history->send(any(), history->order(version));
                return;
            }
            case 6:  // one without a clear answer comes again
                for (auto at = history->orders().rbegin(); at != history->orders().rend(); ++at)
                    if (!(*at)->over()) return history->send(any(), *at);
                return;
            default:
                return history->send(any(), history->order(base + 1));
        }
    }
    void calls_until(Millis end) {
        while (world->now() < end) {
            call();
            run(kBetweenCalls);
            const Millis waited = world->now() - history->last_acknowledged_at;
            if (history->last_acknowledged_at > 0) longest_wait = std::max(longest_wait, waited);
        }
    }

    void cut_off(std::size_t machine, Cut kind, bool from_everybody) {
        if (kind == Cut::acceptor_alone) return world->silence_acceptor(machine);
        for (std::size_t other = 0; other < world->machines(); ++other) {
            if (other == machine || (!from_everybody && !is_acceptor(other))) continue;
            if (kind == Cut::both_ways) world->cut(machine, other, true);
            if (kind == Cut::nothing_reaches_it) world->cut_one_way(other, machine);
            if (kind == Cut::nothing_leaves_it) world->cut_one_way(machine, other);
        }
    }
    // As a record of a round reaches a disk.
    void heal_within_a_round() {
        bool within = false;
        world->on_mark = [&](std::size_t, const std::string& text) { within |= text.starts_with("promise"); };
        for (Millis waited = 0; waited < 2000 && !within; ++waited) {
            if (waited % kBetweenCalls == 0) call();
            run(1);
        }
        world->on_mark = nullptr;
        EXPECT_TRUE(within);
        world->heal();
    }
    void expect_whole(const std::string& where) {
        calls_until(world->now() + kInTouch);
        for (std::size_t m = 0; m < world->machines(); ++m) {
            const Read answer = read(m);
            run(1000);
            ASSERT_TRUE(*answer && (*answer)->has_value()) << where << ", process " << m;
            if (m + 1 == world->machines()) history->finish((*answer)->value());
        }
        for (const std::string& complaint : history->complaints())
            ADD_FAILURE() << where << ": " << complaint;
        for (const std::string& complaint : world->checker.complaints())
            ADD_FAILURE() << where << ": " << complaint;
    }

    std::optional<OperatorHistory> history;
    Millis longest_wait = 0;
};

TEST_F(CutOffControl, TellsNothingOldRefusesNothingAndConfirmsNothing) {
    int days = 0, confirmed = 0, told = 0;
    for (const std::size_t size : {kSmallCore, kLargeCore})
        for (const Cut kind : kCuts)
            for (const bool from_everybody : {false, true})
                for (std::uint64_t seed = 1; seed <= 4; ++seed) {
                    if (kind == Cut::acceptor_alone && from_everybody) continue;
                    const std::string where = std::to_string(size) + " processes, " +
                                              kCutNames[static_cast<int>(kind)] + ", " +
                                              (from_everybody ? "from everybody" : "from the acceptors") +
                                              ", seed " + std::to_string(seed);
                    core(size, seed);
                    if (HasFatalFailure()) return;
                    std::size_t machine = kA + seed % 3;
                    cut_off(machine, kind, from_everybody);
                    run(kBetweenCalls);
                    history->acknowledgements.clear();
                    history->refusals.clear();
                    history->reads.clear();
                    longest_wait = 0;
                    calls_until(world->now() + kCut);
                    ++days;
                    for (const auto& [process, count] : history->acknowledgements) confirmed += count;
                    for (const auto& [process, count] : history->reads) told += count;
                    if (kind != Cut::acceptor_alone) {
                        EXPECT_EQ(history->acknowledgements[machine], 0) << where;
                        EXPECT_EQ(history->refusals[machine], 0) << where;
                        EXPECT_EQ(history->reads[machine], 0) << where;
                    }
                    EXPECT_LT(longest_wait, kConfirm) << where;
                    heal_within_a_round();
                    expect_whole(where);
                    if (HasFatalFailure()) return;
                }
    std::printf("[ figures  ] %d cuts of 20 s: %d orders acknowledged and %d reads answered meanwhile\n",
                days, confirmed, told);
    EXPECT_GT(confirmed, 20 * days);
    EXPECT_GT(told, 20 * days);
}

// Two and two: neither half confirms, refuses or tells anything.
TEST_F(CutOffControl, HalvesConfirmRefuseAndTellNothing) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        core(kSmallCore, seed);
        if (HasFatalFailure()) return;
        for (const std::size_t left : {kA, kB})
            for (const std::size_t right : {kC, kD}) world->cut(left, right, true);
        run(kBetweenCalls);
        history->acknowledgements.clear();
        history->refusals.clear();
        history->reads.clear();
        calls_until(world->now() + kCut);
        for (std::size_t m = kA; m <= kD; ++m) {
            EXPECT_EQ(history->acknowledgements[m], 0) << "seed " << seed;
            EXPECT_EQ(history->refusals[m], 0) << "seed " << seed;
            EXPECT_EQ(history->reads[m], 0) << "seed " << seed;
        }
        heal_within_a_round();
        expect_whole("halves, seed " + std::to_string(seed));
        if (HasFatalFailure()) return;
    }
}

TEST_F(CutOffControl, ReadsWithoutContactAreNoticed) {
    core(kSmallCore, 1);
    if (HasFatalFailure()) return;
    history->planted_reads_without_contact = true;
    cut_off(kB, Cut::both_ways, true);
    calls_until(world->now() + kCut);
    EXPECT_FALSE(history->complaints().empty());
}

}  // namespace
}  // namespace whinledge::control_plane::test
