// Hundreds of orders: with most of their answers lost, eight at once, two under one number, and the process
// that takes one killed at any of its steps; and a thousand in a row, while one member after another is
// restarted, wiped or left behind.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "hard_case.hpp"
#include "operator_history.hpp"
#include "rpc/codec.hpp"

namespace whinledge::control_plane::test {
namespace {

constexpr std::size_t kCore = 4;
constexpr Millis kCallerPatience = 1000;  // then the operator sends the same order to another process
constexpr Millis kSync = 4100;            // guarantees.syncS

class ManyOrders : public HardCase {
protected:
    void core(std::uint64_t seed) {
        begin(seed, kCore);
        found();
        for (std::size_t m = kD; m < kCore; ++m) world->start(m, false);
        run(5000);
        ASSERT_EQ(acceptors(kA), kCore);
        history.emplace(*world);
    }
    std::size_t any() { return static_cast<std::size_t>(world->draw(kCore)); }
    bool all_up() {
        for (std::size_t m = 0; m < kCore; ++m)
            if (!world->up(m)) return false;
        return true;
    }
    void expect_kept(const std::string& where) {
        const Read answer = read(kB);
        run(1000);
        ASSERT_TRUE(*answer && (*answer)->has_value()) << where;
        history->finish((*answer)->value());
        for (const std::string& complaint : history->complaints())
            ADD_FAILURE() << where << ": " << complaint;
        for (const std::string& complaint : world->checker.complaints())
            if (complaint.find("has the history") == std::string::npos)
                ADD_FAILURE() << where << ": " << complaint;
    }

    std::optional<OperatorHistory> history;
};

// ---- Answers that are lost

struct Storm {
    int orders = 300;
    std::size_t at_once = 8;
    double lost = .7, killed = .3;
};

class OrderStorm : public ManyOrders {
protected:
    struct Operator {
        OperatorHistory::OrderPointer order;
        Millis sends_at = 0;
    };

    void play(const Storm& storm, std::uint64_t seed) {
        core(seed);
        if (HasFatalFailure()) return;
        history->planted_orders_are_forgotten = forget;
        std::vector<Operator> operators(storm.at_once);
        int made = 0;
        const Millis limit = world->now() + 2'000'000;
        while (world->now() < limit) {
            bool open = false;
            for (Operator& one : operators) {
                const bool over = !one.order || one.order->over();
                if (over && made == storm.orders) continue;
                open = true;
                if (over) {
                    ++made;
                    one.order = next_order();
                    one.sends_at = world->now();
                }
                if (one.sends_at <= world->now()) send(one, storm);
            }
            if (!open) break;
            run(10);
        }
        ASSERT_LT(world->now(), limit) << "seed " << seed << ": some order never had an answer";
    }
    // Upon the newest version that a read tells; two operators often choose the same number.
    OperatorHistory::OrderPointer next_order() {
        const wire::RegisterState* newest = nullptr;
        for (std::size_t m = 0; m < kCore; ++m) {
            if (!world->up(m)) continue;
            const wire::RegisterState& known = world->core(m).known().entry.state;
            if (newest == nullptr || newest->version < known.version) newest = &known;
        }
        return history->order(*newest, newest->version + 1 + static_cast<std::int64_t>(world->draw(2)));
    }
    void send(Operator& one, const Storm& storm) {
        std::size_t machine = any();
        while (!world->up(machine)) machine = any();
        ++tries;
        history->send(machine, one.order, world->chance(storm.lost));
        one.sends_at = world->now() + kCallerPatience;
        if (all_up() && world->chance(storm.killed)) kill_at_a_step(machine);
    }
    // As the n-th record since now reaches a disk, or a process hears that the value is chosen; or at once.
    void kill_at_a_step(std::size_t machine) {
        const int step = static_cast<int>(world->draw(14));
        if (step == 0) return kill(machine);
        world->on_mark = [this, machine, step, seen = 0](std::size_t, const std::string&) mutable {
            if (++seen == step) world->at(world->now(), [this, machine] { kill(machine); });
        };
    }
    void kill(std::size_t machine) {
        world->on_mark = nullptr;
        if (!all_up()) return;
        ++kills;
        world->stop(machine);
        world->at(world->now() + 200 + static_cast<Millis>(world->draw(800)),
                  [this, machine] { world->start(machine, false); });
    }
    // Whoever is asked, and however long ago it was.
    void ask_again_for_all() {
        world->on_mark = nullptr;
        run(6000);
        for (const auto& order : history->orders()) {
            const bool taken = order->acknowledged;
            for (std::size_t m = 0; m < kCore; ++m) {
                history->send(m, order);
                run(60);
            }
            EXPECT_EQ(order->acknowledged, taken) << order->name();
            EXPECT_EQ(order->refused, !taken) << order->name();
        }
    }

    int tries = 0, kills = 0;
    bool forget = false;
};

TEST_F(OrderStorm, EachOrderHasOneAnswerHoweverManyAreLost) {
    std::size_t taken = 0, refused = 0;
    constexpr int kStorms = 4;
    for (std::uint64_t seed = 1; seed <= kStorms; ++seed) {
        const std::string where = "seed " + std::to_string(seed);
        play({}, seed);
        if (HasFatalFailure()) return;
        ask_again_for_all();
        expect_kept(where);
        if (HasFatalFailure()) return;
        for (const auto& order : history->orders()) (order->acknowledged ? taken : refused) += 1;
    }
    std::printf(
        "[ figures  ] %d storms of 300 orders: %zu taken, %zu refused, %d calls, %d processes killed\n",
        kStorms, taken, refused, tries, kills);
    EXPECT_GT(taken, 30U * kStorms);
    EXPECT_GT(refused, 30U * kStorms);
    EXPECT_GT(kills, 20 * kStorms);
}

TEST_F(OrderStorm, OrdersThatAreForgottenAreNoticed) {
    forget = true;
    play({}, 1);
    ASSERT_FALSE(HasFatalFailure());
    world->on_mark = nullptr;
    run(6000);
    const Read answer = read(kB);
    run(1000);
    ASSERT_TRUE(*answer && (*answer)->has_value());
    history->finish((*answer)->value());
    EXPECT_FALSE(history->complaints().empty());
}

// ---- For how long an order is known again

// The order that makes `version` of the one before it.
SettingsOrder order_of(std::int64_t version) {
    const std::string body = "settings " + std::to_string(version);
    return SettingsOrder{version - 1, version, digest_of(body), body};
}

OrderAnswer answer_to(const SettingsOrder& order, const wire::RegisterState& state) {
    OrderAttempt attempt(order);
    if (attempt.apply(state)) return OrderAnswer::acknowledged;
    return attempt.answer(consensus::RegisterError{RegisterFailure::rejected, ""});
}

TEST(OrderMemory, ATakenOrderIsNeverRefusedAndIsToldSoForTwoThousandChanges) {
    constexpr std::int64_t kChanges = 5000;
    wire::RegisterState state;
    std::int64_t shortest = kChanges;
    for (std::int64_t version = 1; version <= kChanges; ++version) {
        state = taken(state, order_of(version));
        if (version % 50 != 0) continue;
        for (std::int64_t older = 1; older <= version; older += 7) {
            const OrderAnswer answer = answer_to(order_of(older), state);
            EXPECT_TRUE(answer == OrderAnswer::acknowledged || answer == OrderAnswer::unavailable)
                << older << " after " << version;
            if (answer == OrderAnswer::unavailable) shortest = std::min(shortest, version - older);
        }
    }
    std::printf(
        "[ figures  ] an order is known again for %lld changes at least; then its state has %zu bytes\n",
        static_cast<long long>(shortest - 1), rpc::encode_body(state).size());
    EXPECT_GE(shortest, static_cast<std::int64_t>(kMostTakenChanges));
}

// Its acknowledgement was lost, and it comes again after so many others.
TEST(OrderMemory, ATakenOrderIsLeftWithoutAClearAnswerAfterTheRememberedOnes) {
    constexpr std::int64_t kFirst = 1;
    wire::RegisterState state;
    for (std::int64_t version = kFirst; version <= kFirst + 100'000; ++version) {
        state = taken(state, order_of(version));
        const std::int64_t later = version - kFirst;
        if (later == 1999) {
            EXPECT_EQ(answer_to(order_of(kFirst), state), OrderAnswer::acknowledged);
        }
        if (later == 2001 || later == 100'000) {
            EXPECT_EQ(answer_to(order_of(kFirst), state), OrderAnswer::unavailable) << later;
        }
    }
    // One that never was taken is not acknowledged by mistake.
    SettingsOrder other = order_of(kFirst);
    ++other.digest;
    EXPECT_NE(answer_to(other, state), OrderAnswer::acknowledged);
}

// ---- A thousand in a row

class Thousand : public ManyOrders {
protected:
    struct CatchUp {
        int change = 0;
        Millis time = 0;
        std::uint64_t bytes = 0;
    };

    void order(std::size_t machine) {
        const auto next = history->order(history->acknowledged_version() + 1);
        for (int tries = 0; tries < 20 && !next->over(); ++tries) {
            if (world->up(machine)) history->send(machine, next);
            for (Millis waited = 0; waited < kCallerPatience && !next->over(); waited += 5) run(5);
            machine = (machine + 1) % kCore;
        }
        ASSERT_TRUE(next->acknowledged) << next->name();
    }
    // From now until it holds the newest on its disk and votes; it is asked all the time.
    CatchUp catch_up(std::size_t machine, int change) {
        const Millis since = world->now();
        const std::uint64_t before = world->bytes_at(machine);
        for (;;) {
            const auto& acceptor = world->core(machine).acceptor();
            const bool whole =
                acceptor.votes() && acceptor.entry().state.version == history->acknowledged_version();
            if (whole || world->now() - since > 3 * kSync) break;
            history->read(machine);
            run(20);
        }
        return {change, world->now() - since, world->bytes_at(machine) - before};
    }
    void away(std::size_t machine, int how) {
        if (how == 0) world->stop(machine);
        if (how == 1) world->wipe(machine);
        if (how == 2)
            for (std::size_t other = 0; other < kCore; ++other) world->cut(machine, other, true);
    }
    void back(std::size_t machine, int how) {
        if (how == 2)
            world->heal();
        else
            world->start(machine, false);
    }
    static Millis longest(const std::vector<CatchUp>& all) {
        Millis most = 0;
        for (const CatchUp& one : all) most = std::max(most, one.time);
        return most;
    }
    static std::uint64_t largest(const std::vector<CatchUp>& all) {
        std::uint64_t most = 0;
        for (const CatchUp& one : all) most = std::max(most, one.bytes);
        return most;
    }
};

TEST_F(Thousand, WhoComesBackAtAnyTenthCatchesUpInTheSameTimeAndTellsNothingOld) {
    constexpr int kChanges = 1000, kEvery = 10, kPart = kChanges / 5;
    const char* const names[] = {"restarted", "wiped", "left behind"};
    core(1);
    if (HasFatalFailure()) return;
    world->counts_bytes = true;
    std::vector<CatchUp> first[3], last[3];
    for (int change = 1; change <= kChanges; ++change) {
        const int turn = change / kEvery;
        const bool leaves = change % kEvery == 0;
        const std::size_t machine = static_cast<std::size_t>(turn) % kCore;
        const int how = turn % 3;
        if (leaves) away(machine, how);
        order((machine + 1) % kCore);
        if (HasFatalFailure()) return;
        if (!leaves) continue;
        for (int missed = 0; missed < 3; ++missed) order((machine + 2) % kCore);
        back(machine, how);
        const CatchUp one = catch_up(machine, change);
        EXPECT_LT(one.time, kSync) << names[how] << " at change " << change;
        if (change <= kPart) first[how].push_back(one);
        if (change > kChanges - kPart) last[how].push_back(one);
        run(2000);
    }
    const std::size_t state = rpc::encode_body(world->core(kA).known().entry.state).size();
    for (int how = 0; how < 3; ++how) {
        std::printf(
            "[ figures  ] %s: caught up within %lld ms and %llu bytes at first, %lld ms and %llu at last\n",
            names[how], static_cast<long long>(longest(first[how])),
            static_cast<unsigned long long>(largest(first[how])), static_cast<long long>(longest(last[how])),
            static_cast<unsigned long long>(largest(last[how])));
        EXPECT_LT(longest(last[how]), longest(first[how]) + 1000) << names[how];
        // The state a few times, and no history beside it.
        EXPECT_LT(largest(last[how]), 20 * state) << names[how];
    }
    std::printf("[ figures  ] the state has %zu bytes after %d changes, %lld epochs\n", state, kChanges,
                static_cast<long long>(world->core(kA).known().epoch));
    EXPECT_EQ(acceptors(kA), kCore);
    expect_kept("a thousand");
}

TEST_F(Thousand, OneThatTellsWhatItsDiskHeldIsNoticed) {
    core(1);
    if (HasFatalFailure()) return;
    history->planted_reads_without_contact = true;
    for (int change = 1; change <= 3; ++change) order(kA);
    away(kC, 0);
    order(kA);
    back(kC, 0);
    history->read(kC);
    EXPECT_FALSE(history->complaints().empty());
}

}  // namespace
}  // namespace whinledge::control_plane::test
