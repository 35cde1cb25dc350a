// What the tests of guaranteed parts and borrowing share: takes that are granted, refused or granted for
// others' idle ones, and revocations by slot.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <utility>
#include <vector>

#include "limits/shares.hpp"

namespace whinledge::limits::test {

using Kind = Verdict::Kind;

// Revocations by slot, with their amounts.
using List = std::vector<std::pair<std::uint32_t, Amount>>;

struct SharesTest : testing::Test {
    Shares shares{100};

    Member add(Amount guaranteed, Amount most = 0) {
        const auto member = shares.add({guaranteed, most});
        EXPECT_TRUE(member);
        return member.value_or(Member{});
    }
    bool take(Member member, Amount n, Holding kind = Holding::busy) {
        return shares.take(member, n, kind).granted();
    }
    Verdict refused(Member member, Amount n, Holding kind = Holding::busy) {
        Verdict verdict = shares.take(member, n, kind);
        EXPECT_EQ(verdict.kind, Kind::refused);
        return verdict;
    }
    // Does what a caller does: gives back what is listed, and asks again.
    bool take_revoking(Member member, Amount n, Holding kind = Holding::busy) {
        const auto revoke = [&](Member of, Amount much) { shares.give_back(of, much, Holding::idle); };
        return shares.take_by(member, n, kind, revoke).granted();
    }
    void idle(Member member, Amount n) {
        ASSERT_TRUE(take(member, n));
        ASSERT_TRUE(shares.busy_to_idle(member, n));
    }
    static std::vector<std::pair<std::uint32_t, Amount>> list(const std::vector<Revocation>& revocations) {
        std::vector<std::pair<std::uint32_t, Amount>> result;
        for (const Revocation& r : revocations) result.emplace_back(r.member.slot, r.amount);
        return result;
    }
};

}  // namespace whinledge::limits::test
