// What a request passes: random requests and reloads against plain sums.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "limits/gate.hpp"

namespace whinledge::limits {
namespace {

using Wanted = Gate::Wanted;

struct GateLives : testing::TestWithParam<unsigned> {
    struct Request {
        std::size_t listener, pool;
        Amount bytes = 0, wanted = 0;
        std::uint64_t since = 0;
    };
    static constexpr Amount kRequests = 30, kBytes = 300;
    std::mt19937 random{GetParam()};
    Gate gate{kRequests, kBytes};
    std::map<TicketId, std::pair<Ticket, Request>> open;
    std::vector<Wanted> listeners, pools;
    std::uint64_t turn = 0;

    Amount below(Amount n) { return std::uniform_int_distribution<Amount>(0, n - 1)(random); }
    Bound bound(Amount most) {
        Bound b{below(most), 0};
        if (below(3) == 0) b.most = b.guaranteed + below(2 * most) + 1;
        return b;
    }
    void SetUp() override {
        listeners.resize(2), pools.resize(3);
        reload();
    }
    // New bounds for all; the first pool is replaced now and then.
    void reload() {
        if (below(3) == 0) pools.erase(pools.begin()), pools.emplace_back();
        for (auto* list : {&listeners, &pools})
            for (Wanted& w : *list) w.requests = bound(8), w.bytes = bound(80);
        Gate::Members members;
        ASSERT_FALSE(gate.reload(kRequests, kBytes, listeners, pools, members));
        for (std::size_t i = 0; i < 2; ++i) listeners[i].member = members.listeners[i];
        for (std::size_t i = 0; i < 3; ++i) pools[i].member = members.pools[i];
    }
    // By the sums, of what a listener or pool holds.
    Amount sum(Resource resource, Side side, std::size_t who) const {
        Amount result = 0;
        for (const auto& [id, one] : open) {
            const Request& r = one.second;
            if ((side == Side::listener ? r.listener : r.pool) == who)
                result += resource == Resource::requests ? 1 : r.bytes;
        }
        return result;
    }
    const Wanted& wanted(Side side, std::size_t who) const {
        return side == Side::listener ? listeners[who] : pools[who];
    }
    bool within(Resource resource, Side side, std::size_t who, Amount n) const {
        const Wanted& w = wanted(side, who);
        const Amount guaranteed = (resource == Resource::requests ? w.requests : w.bytes).guaranteed;
        return sum(resource, side, who) + n <= guaranteed;
    }
    bool within_both(Resource resource, std::size_t listener, std::size_t pool, Amount n) const {
        return within(resource, Side::listener, listener, n) && within(resource, Side::pool, pool, n);
    }
    // By the sums: past the guarantee, does it fit?
    bool fits(Side side, std::size_t who, Amount n) const {
        const Bound own = wanted(side, who).bytes;
        const Amount then = sum(Resource::bytes, side, who) + n;
        if (own.most && then > own.most) return false;
        Amount committed = 0;
        for (std::size_t i = 0; i < (side == Side::listener ? 2 : 3); ++i)
            committed +=
                std::max(wanted(side, i).bytes.guaranteed, i == who ? then : sum(Resource::bytes, side, i));
        return then <= own.guaranteed || committed <= kBytes;
    }
    void admit() {
        const std::size_t listener = below(2), pool = below(3);
        const Amount bytes = below(2) ? 0 : below(30);
        const bool safe = within_both(Resource::requests, listener, pool, 1) &&
                          within_both(Resource::bytes, listener, pool, bytes);
        Gate::Admission a = gate.admit(listeners[listener].member, pools[pool].member, bytes);
        ASSERT_TRUE(a.ticket || !safe) << "below its guarantees";
        ASSERT_EQ(static_cast<bool>(a.ticket), !a.refusal);
        if (!a.ticket) return;
        const TicketId id = a.ticket.id();
        open.emplace(id, std::pair(std::move(a.ticket), Request{listener, pool, bytes, 0, 0}));
    }
    void change(TicketId id) {
        auto& [ticket, r] = open.at(id);
        const Amount n = 1 + below(60);
        switch (below(5)) {
            case 0:
                gate.give_back(std::move(ticket));
                open.erase(id);
                break;
            case 1: {
                const Amount less = below(r.bytes + 1);
                gate.shrink(ticket, less);
                r.bytes -= less;
                break;
            }
            case 2:
                gate.stop_waiting(ticket);
                r.wanted = 0;
                break;
            default: {
                if (r.wanted > 0) return;
                const bool safe = within_both(Resource::bytes, r.listener, r.pool, n);
                const auto no = gate.grow_or_wait(ticket, n);
                ASSERT_TRUE(!no || !safe) << "below its guarantees";
                ASSERT_EQ(gate.waits(ticket), no && no->why != Why::never);
                if (!no) r.bytes += n;
                if (gate.waits(ticket)) r.wanted = n, r.since = ++turn;
            }
        }
    }
    void wake() {
        while (const auto told = gate.woken()) {
            Request& r = open.at(told->ticket).second;
            ASSERT_GT(r.wanted, 0u);
            for (const auto& [id, one] : open) {
                const Request& other = one.second;
                const bool same = other.listener == r.listener && other.pool == r.pool;
                ASSERT_FALSE(same && other.wanted > 0 && other.since < r.since) << "in order";
            }
            if (!told->refusal) r.bytes += r.wanted;
            r.wanted = 0;
        }
    }
    // Who is the first of its listener and pool and within both guarantees does not wait; nor does the very
    // first of the best rank, if what it waits for is there.
    void nobody_is_forgotten() {
        const Request* best = nullptr;
        int best_rank = -1;
        for (const auto& [id, one] : open) {
            const Request& r = one.second;
            if (r.wanted == 0) continue;
            const bool first = std::none_of(open.begin(), open.end(), [&](const auto& o) {
                const Request& other = o.second.second;
                return other.listener == r.listener && other.pool == r.pool && other.wanted > 0 &&
                       other.since < r.since;
            });
            if (!first) continue;
            const int rank = within(Resource::bytes, Side::listener, r.listener, r.wanted) +
                             within(Resource::bytes, Side::pool, r.pool, r.wanted);
            ASSERT_LT(rank, 2);
            if (rank > best_rank || (rank == best_rank && r.since < best->since)) best = &r, best_rank = rank;
        }
        const bool there = best && fits(Side::listener, best->listener, best->wanted) &&
                           fits(Side::pool, best->pool, best->wanted);
        ASSERT_FALSE(there);
    }
    void check() {
        Amount waiting = 0;
        for (const auto& [id, one] : open) {
            waiting += one.second.wanted > 0;
            ASSERT_EQ(gate.held(one.first), one.second.bytes);
        }
        ASSERT_EQ(gate.waiting(), waiting);
        ASSERT_EQ(gate.open(), open.size());
        for (Resource resource : {Resource::requests, Resource::bytes})
            for (Side side : {Side::listener, Side::pool}) {
                const Shares& shares = gate.shares(resource, side);
                ASSERT_LE(shares.committed(), shares.total());
                for (std::size_t i = 0; i < (side == Side::listener ? 2 : 3); ++i)
                    ASSERT_EQ(gate.held(resource, side, wanted(side, i).member), sum(resource, side, i));
            }
    }
    void end() {
        for (auto& [id, one] : open) gate.give_back(std::move(one.first));
        open.clear();
        ASSERT_EQ(gate.waiting(), 0u);
        ASSERT_EQ(gate.open(), 0u);
        for (Resource resource : {Resource::requests, Resource::bytes})
            for (Side side : {Side::listener, Side::pool}) ASSERT_EQ(gate.shares(resource, side).used(), 0u);
    }
};

TEST_P(GateLives, KeepEveryRule) {
    for (int life = 0; life < 10; ++life) {
        for (int i = 0; i < 400 && !HasFatalFailure(); ++i) {
            if (open.empty() || below(3) == 0)
                admit();
            else
                change(std::next(open.begin(), static_cast<std::ptrdiff_t>(below(open.size())))->first);
            if (!HasFatalFailure()) wake();
            if (!HasFatalFailure()) nobody_is_forgotten();
            if (!HasFatalFailure()) check();
        }
        if (!HasFatalFailure()) end();
        if (!HasFatalFailure()) reload();
        if (HasFatalFailure()) return;
    }
}

// Reloads in the midst of it: sums stay right, nothing grows above what is lowered, and all is given back.
TEST_P(GateLives, OutliveReloads) {
    std::list<std::pair<Ticket, Member>> held;
    for (int i = 0; i < 3000; ++i) {
        const Amount what = below(10);
        const Shares& shares = gate.shares(Resource::bytes, Side::pool);
        const Amount used = shares.used();
        const bool was_over = shares.over_committed();
        const Member pool = pools[below(3)].member;
        if (what < 4) {
            Gate::Admission a = gate.admit(listeners[below(2)].member, pool, below(30));
            if (a.ticket) held.emplace_back(std::move(a.ticket), pool);
        } else if (what < 6 && !held.empty()) {
            auto at = std::next(held.begin(), static_cast<std::ptrdiff_t>(below(held.size())));
            gate.give_back(std::move(at->first));
            held.erase(at);
        } else if (what < 9 && !held.empty()) {
            auto at = std::next(held.begin(), static_cast<std::ptrdiff_t>(below(held.size())));
            if (!gate.waits(at->first)) (void)gate.grow_or_wait(at->first, 1 + below(50));
        } else {
            reload();
        }
        while (gate.woken()) {
        }
        ASSERT_LE(shares.used(), std::max(used, kBytes));
        ASSERT_TRUE(was_over || what == 9 || !shares.over_committed());
        Amount sum = 0;
        for (const auto& [ticket, of] : held) sum += gate.held(ticket);
        ASSERT_EQ(shares.used(), sum);
        ASSERT_EQ(gate.shares(Resource::bytes, Side::listener).used(), sum);
        ASSERT_EQ(gate.shares(Resource::requests, Side::pool).used(), held.size());
        for (const Wanted& w : pools) {
            Amount own = 0;
            for (const auto& [ticket, of] : held) own += of == w.member ? gate.held(ticket) : 0;
            ASSERT_EQ(gate.held(Resource::bytes, Side::pool, w.member), own);
        }
    }
    for (auto& [ticket, of] : held) gate.give_back(std::move(ticket));
    end();
}

INSTANTIATE_TEST_SUITE_P(Seeds, GateLives, testing::Range(1u, 26u));

}  // namespace
}  // namespace whinledge::limits
