// Guaranteed parts and borrowing: random use against a model that knows the rules and no cleverness.
#include <algorithm>
#include <map>
#include <optional>
#include <random>

#include "unit/shares_rig.hpp"

namespace whinledge::limits::test {
namespace {

struct Model {
    struct One {
        Bound bound;
        Amount busy = 0, idle = 0;
        bool removed = false;
        Amount firm() const { return std::max(busy, bound.guaranteed); }
        Amount held() const { return busy + idle; }
    };
    Amount total = 0;
    std::map<std::uint32_t, One> all;  // by slot

    Amount used() const {
        Amount sum = 0;
        for (const auto& [slot, one] : all) sum += one.held();
        return sum;
    }
    Amount committed() const {
        Amount sum = 0;
        for (const auto& [slot, one] : all) sum += one.firm();
        return sum;
    }
    // Who goes next, by the definition.
    std::optional<std::uint32_t> most_over() const {
        std::optional<std::uint32_t> best;
        for (const auto& [slot, one] : all)
            if (one.held() > one.firm() &&
                (!best ||
                 one.held() - one.bound.guaranteed > all.at(*best).held() - all.at(*best).bound.guaranteed))
                best = slot;
        return best;
    }
    // Unit by unit of the member that is most over its guarantee while it has idle ones over it.
    List revocations(bool all_kinds) {
        List list;
        const auto revoke = [&](std::uint32_t slot, Amount n) {
            all[slot].idle -= n;
            const auto at = std::find_if(list.begin(), list.end(), [&](auto& r) { return r.first == slot; });
            at == list.end() ? list.emplace_back(slot, n) : * at = {slot, at->second + n};
        };
        while (used() > total) {
            const auto next = most_over();
            if (!next) break;
            revoke(*next, std::min(used() - total, all[*next].held() - all[*next].firm()));
        }
        if (all_kinds)
            for (auto& [slot, one] : all)
                if (used() > total && one.idle > 0) revoke(slot, std::min(one.idle, used() - total));
        return list;
    }
    struct Answer {
        Kind kind = Kind::refused;
        List revoke;
    };
    Answer take(std::uint32_t slot, Amount n, Holding kind) const {
        Model after = *this;
        One& one = after.all[slot];
        const bool is_busy = kind == Holding::busy;
        (is_busy ? one.busy : one.idle) += n;
        const Amount counted = is_busy ? one.busy : one.held();
        if (one.removed || (one.bound.most && counted > one.bound.most)) return {};
        const bool within = counted <= one.bound.guaranteed;
        if (!within && is_busy && after.committed() > total) return {};
        if (!within && !is_busy && after.used() > total) return {};
        if (n == 0) return {Kind::granted, {}};
        List own;
        if (one.bound.most && one.held() > one.bound.most) {
            own.emplace_back(slot, one.held() - one.bound.most);
            one.idle -= own[0].second;
        }
        List list = after.revocations(is_busy);
        if (after.used() > total) return {};
        if (!own.empty()) {
            const auto at = std::find_if(list.begin(), list.end(), [&](auto& r) { return r.first == slot; });
            if (at != list.end()) own[0].second += at->second, list.erase(at);
            list.insert(list.begin(), own[0]);
        }
        return {list.empty() ? Kind::granted : Kind::granted_if_revoked, list};
    }
};

struct SharesLives : testing::TestWithParam<unsigned> {
    std::mt19937 random{GetParam()};
    // Odd seeds: sizes in bytes; even ones: small units, where bounds are met exactly.
    const Amount scale = GetParam() % 2 ? 4096 : 1;
    Shares shares{40 * scale};
    Model model;
    std::vector<Member> members, removed;

    Amount below(Amount n) { return std::uniform_int_distribution<Amount>(0, n - 1)(random); }
    Amount amount(Amount units) { return below(units * scale + 1); }
    Member any() { return members[below(members.size())]; }

    void SetUp() override {
        model.total = shares.total();
        for (int i = 0; i < 4; ++i) add();
    }
    void add() {
        const Bound bound{amount(8), 0};
        const bool fits = shares.guaranteed() + bound.guaranteed <= shares.total();
        const auto member = shares.add(bound);
        ASSERT_EQ(member.has_value(), fits);
        if (!member) return;
        model.all[member->slot] = {bound, 0, 0, false};
        members.push_back(*member);
    }
    void take(Member member, Amount n, Holding kind) {
        const Model::One before = model.all[member.slot];
        const auto expected = model.take(member.slot, n, kind);
        Verdict verdict = shares.take(member, n, kind);
        ASSERT_EQ(verdict.kind, expected.kind);
        ASSERT_EQ(SharesTest::list(verdict.revoke), expected.revoke);
        const Amount counted = kind == Holding::busy ? before.busy : before.held();
        if (counted + n <= before.bound.guaranteed && !shares.over_committed()) {
            ASSERT_NE(verdict.kind, Kind::refused) << "below its guarantee";
        }
        if (verdict.kind == Kind::refused && verdict.why == Why::never) {
            ASSERT_GT(n, shares.largest(member));
        }
        if (verdict.kind == Kind::granted_if_revoked) {
            for (const Revocation& r : verdict.revoke) {
                shares.give_back(r.member, r.amount, Holding::idle);
                model.all[r.member.slot].idle -= r.amount;
                forget_if_done(r.member);
            }
            ASSERT_TRUE(shares.take(member, n, kind).granted());
            ASSERT_LE(shares.used(), shares.total());
        }
        if (verdict.kind != Kind::refused) {
            Model::One& one = model.all[member.slot];
            (kind == Holding::busy ? one.busy : one.idle) += n;
        }
    }
    void forget_if_done(Member member) {
        const auto at = model.all.find(member.slot);
        if (at == model.all.end() || !at->second.removed || at->second.held() > 0) return;
        model.all.erase(at);
        std::erase(removed, member);
    }
    void give_back(Member member) {
        Model::One& one = model.all[member.slot];
        const Holding kind = one.busy == 0 || (one.idle > 0 && below(2)) ? Holding::idle : Holding::busy;
        Amount& held = kind == Holding::busy ? one.busy : one.idle;
        const Amount n = below(held + 1);
        shares.give_back(member, n, kind);
        held -= n;
        forget_if_done(member);
    }
    void convert(Member member) {
        Model::One& one = model.all[member.slot];
        if (below(2)) {
            const Amount n = below(one.busy + 1);
            const bool keeps =
                shares.used() <= shares.total() && (!one.bound.most || one.held() <= one.bound.most);
            ASSERT_EQ(shares.busy_to_idle(member, n), keeps);
            if (keeps) one.busy -= n, one.idle += n;
            return;
        }
        const Amount n = below(one.idle + 1);
        Model after = model;
        after.all[member.slot].busy += n, after.all[member.slot].idle -= n;
        const Model::One& then = after.all[member.slot];
        const bool fits = (!then.bound.most || then.busy <= then.bound.most) &&
                          (then.busy <= then.bound.guaranteed || after.committed() <= model.total);
        ASSERT_EQ(shares.idle_to_busy(member, n).granted(), fits);
        if (fits) model = after;
    }
    void change() {
        const Member member = any();
        Model::One& one = model.all[member.slot];
        switch (below(4)) {
            case 0: {
                const Amount total = amount(60);
                const bool fits = total >= shares.guaranteed();
                ASSERT_EQ(shares.set_total(total) == Fault::none, fits);
                if (fits) model.total = total;
                break;
            }
            case 1: {
                Bound bound{amount(10), 0};
                if (below(2)) bound.most = bound.guaranteed + amount(10);
                if (shares.set(member, bound) == Fault::none) one.bound = bound;
                break;
            }
            case 2:
                add();
                break;
            default:
                if (members.size() < 2) break;
                shares.remove(member);
                std::erase(members, member);
                removed.push_back(member);
                one.removed = true, one.bound = {};
                forget_if_done(member);
        }
    }
    void check() {
        ASSERT_EQ(shares.used(), model.used());
        ASSERT_EQ(shares.committed(), model.committed());
        for (Member m : members) {
            ASSERT_EQ(shares.busy(m), model.all[m.slot].busy);
            ASSERT_EQ(shares.idle(m), model.all[m.slot].idle);
        }
    }
    // On a copy: everybody takes all that it lacks of its guarantee, in a random order, while no busy holding
    // ends.
    void guarantees_can_be_had() {
        if (shares.over_committed()) return;
        Shares copy = shares;
        std::vector<Member> order = members;
        std::shuffle(order.begin(), order.end(), random);
        for (Member m : order) {
            const Amount guaranteed = model.all[m.slot].bound.guaranteed, busy = copy.busy(m);
            if (busy >= guaranteed) continue;
            const auto revoke = [&](Member of, Amount n) { copy.give_back(of, n, Holding::idle); };
            ASSERT_TRUE(copy.take_by(m, guaranteed - busy, Holding::busy, revoke).granted());
        }
        ASSERT_LE(copy.used(), copy.total());
    }
    void step(bool changes) {
        const Amount what = below(changes ? 21 : 20);
        if (what < 8)
            take(any(), amount(6), Holding::busy);
        else if (what < 11)
            take(any(), amount(6), Holding::idle);
        else if (what < 14)
            convert(any());
        else if (what < 20)
            give_back(removed.empty() || below(3) ? any() : removed[below(removed.size())]);
        else
            change();
    }
};

TEST_P(SharesLives, KeepEveryRule) {
    for (int i = 0; i < 5000; ++i) {
        step(i % 1000 >= 500);  // changes at run time only in every second stretch
        if (HasFatalFailure()) return;
        check();
        if (HasFatalFailure()) return;
        if (i % 5 == 0) guarantees_can_be_had();
        if (HasFatalFailure()) return;
        ASSERT_TRUE(shares.over_committed() || shares.surplus().empty());
    }
    for (const auto& list : {members, std::vector<Member>(removed)})
        for (Member m : list) {
            shares.give_back(m, shares.busy(m));
            if (shares.idle(m) > 0) shares.give_back(m, shares.idle(m), Holding::idle);
        }
    EXPECT_EQ(shares.used(), 0u);
    for (Member m : members) shares.remove(m);
    EXPECT_EQ(shares.committed(), 0u);
    EXPECT_EQ(shares.guaranteed(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SharesLives, testing::Range(1u, 41u));

}  // namespace
}  // namespace whinledge::limits::test
