// Which voters decide about a ledger, against a walk of all their sets.
#include "storage_map/ledger_quorum.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace whinledge::storage_map::test {
namespace {

using failure_domain::LossTolerance;
using Identities = std::set<std::int64_t>;
using Bits = unsigned;

constexpr LossTolerance kOneMachine{.machines = 1, .zones = 0, .regions = 0};
constexpr LossTolerance kOneZone{.machines = 1, .zones = 1, .regions = 0};
constexpr LossTolerance kOneRegion{.machines = 1, .zones = 0, .regions = 1};

// Each named by its zone; zones a and b are one region, c and d another, and so on. Identities 1, 2, ...
std::vector<LedgerVoter> voters_of(const std::string& zones) {
    std::vector<LedgerVoter> voters;
    for (const char zone : zones)
        voters.push_back({static_cast<std::int64_t>(voters.size()) + 1,
                          {std::string(1, zone), std::string(1, static_cast<char>('w' + (zone - 'a') / 2))}});
    return voters;
}

Identities set_of(Bits bits, std::size_t size) {
    Identities identities;
    for (std::size_t i = 0; i < size; ++i)
        if (bits >> i & 1) identities.insert(static_cast<std::int64_t>(i) + 1);
    return identities;
}

// Zones or regions of one set of voters, as bits.
std::vector<Bits> losses_of(const std::vector<LedgerVoter>& voters, const LossTolerance& survive) {
    std::vector<Bits> losses;
    for (std::size_t one = 0; one < voters.size(); ++one) {
        Bits zone = 0, region = 0;
        for (std::size_t i = 0; i < voters.size(); ++i) {
            if (voters[i].at.zone == voters[one].at.zone) zone |= 1U << i;
            if (voters[i].at.region == voters[one].at.region) region |= 1U << i;
        }
        if (survive.machines > 0) losses.push_back(1U << one);
        if (survive.zones > 0) losses.push_back(zone);
        if (survive.regions > 0) losses.push_back(region);
    }
    return losses;
}

const std::vector<std::string> kZones{"a",       "ab",     "abc",    "aabc",    "aaabc",  "aaaabc",
                                      "aabbc",   "aabbcc", "abcd",   "aabbccd", "abcdef", "aacce",
                                      "aabcdef", "abcde",  "acccee", "aaabbbc"};

TEST(LedgerQuorum, AnyTwoMeet) {
    for (const LossTolerance& survive : {kOneMachine, kOneZone, kOneRegion})
        for (const std::string& zones : kZones) {
            const LedgerQuorum quorum(voters_of(zones), survive);
            const Bits all = (1U << zones.size()) - 1;
            for (Bits one = 1; one <= all; ++one)
                EXPECT_FALSE(quorum.is_met_by(set_of(one, zones.size())) &&
                             quorum.is_met_by(set_of(all & ~one, zones.size())))
                    << zones << " " << one;
        }
}

TEST(LedgerQuorum, IsLeftAfterALossThatItBears) {
    for (const LossTolerance& survive : {kOneMachine, kOneZone, kOneRegion})
        for (const std::string& zones : kZones) {
            const std::vector<LedgerVoter> voters = voters_of(zones);
            const LedgerQuorum quorum(voters, survive);
            const Bits all = (1U << zones.size()) - 1;
            const std::vector<Bits> losses = losses_of(voters, survive);
            const bool left = std::all_of(losses.begin(), losses.end(), [&](Bits lost) {
                return quorum.is_met_by(set_of(all & ~lost, zones.size()));
            });
            EXPECT_EQ(left, quorum.bears_losses()) << zones;
        }
}

TEST(LedgerQuorum, BearsTheLossOfAZoneWhereThereAreThree) {
    for (const std::string zones : {"abc", "aabc", "aaabc", "aaaabc", "aabbc", "aabbcc", "abcd"})
        EXPECT_TRUE(LedgerQuorum(voters_of(zones), kOneZone).bears_losses()) << zones;
    EXPECT_FALSE(LedgerQuorum(voters_of("aaabb"), kOneZone).bears_losses());
    EXPECT_TRUE(LedgerQuorum(voters_of("acccee"), kOneRegion).bears_losses());
    EXPECT_FALSE(LedgerQuorum(voters_of("abcd"), kOneRegion).bears_losses()) << "two regions";
}

TEST(LedgerQuorum, GoesByTheMajorityWhereMachinesAloneMayBeLost) {
    for (const std::string& zones : kZones) {
        const LedgerQuorum quorum(voters_of(zones), kOneMachine);
        for (Bits one = 1; one < 1U << zones.size(); ++one) {
            const Identities some = set_of(one, zones.size());
            EXPECT_EQ(quorum.is_met_by(some), some.size() >= zones.size() / 2 + 1) << zones;
        }
    }
}

// Decided by a set of `before`; newcomers hold what any of those that stayed holds.
bool some_miss(const LedgerQuorum& before, const LedgerQuorum& after, std::size_t size) {
    for (Bits one = 1; one < 1U << size; ++one) {
        const Identities decided = set_of(one, size);
        if (!before.is_met_by(decided)) continue;
        Identities holders;
        std::set_intersection(decided.begin(), decided.end(), after.voters().begin(), after.voters().end(),
                              std::inserter(holders, holders.end()));
        if (holders.empty()) return true;
        Identities asked;
        for (const std::int64_t voter : after.voters())
            if (before.voters().count(voter) && !holders.count(voter)) asked.insert(voter);
        if (after.is_met_by(asked)) return true;
    }
    return false;
}

LedgerQuorum of_some(const std::vector<LedgerVoter>& all, Bits some, const LossTolerance& survive) {
    std::vector<LedgerVoter> voters;
    for (std::size_t i = 0; i < all.size(); ++i)
        if (some >> i & 1) voters.push_back(all[i]);
    return {voters, survive};
}

// Never taken to meet where some miss; and of maps that decide alike, told exactly.
TEST(LedgerQuorum, TellsWhetherThoseOfTwoMapsMeet) {
    int meet = 0, miss = 0, unsure = 0;
    for (const LossTolerance& survive : {kOneMachine, kOneZone, kOneRegion})
        for (const std::string zones : {"aaabbc", "aabbcc", "aaaabc", "aabcde"}) {
            const std::vector<LedgerVoter> all = voters_of(zones);
            for (Bits before = 1; before < 1U << all.size(); ++before)
                for (Bits after = 1; after < 1U << all.size(); ++after) {
                    const LedgerQuorum first = of_some(all, before, survive);
                    const LedgerQuorum second = of_some(all, after, survive);
                    const bool missed = some_miss(first, second, all.size());
                    ASSERT_FALSE(first.meets(second) && missed) << zones << " " << before << " " << after;
                    ++(first.meets(second) ? meet : missed ? miss : unsure);
                }
        }
    EXPECT_GT(meet, 1000);
    EXPECT_GT(miss, 1000);
    EXPECT_LT(unsure, meet) << "followed though it need not be";
}

// One voter more or fewer: nobody need wait.
TEST(LedgerQuorum, MeetsThatOfAMapWithOneVoterMoreOrFewer) {
    for (const std::string zones : {"aabc", "aaabc", "aabbc", "aabbcc", "aaaabc"}) {
        const std::vector<LedgerVoter> all = voters_of(zones);
        const Bits whole = (1U << all.size()) - 1;
        const LedgerQuorum of_all = of_some(all, whole, kOneZone);
        for (std::size_t one = 0; one < all.size(); ++one) {
            const LedgerQuorum without = of_some(all, whole & ~(1U << one), kOneZone);
            if (!without.bears_losses()) continue;
            EXPECT_TRUE(of_all.meets(without)) << zones << " " << one;
            EXPECT_TRUE(without.meets(of_all)) << zones << " " << one;
        }
    }
}

}  // namespace
}  // namespace whinledge::storage_map::test
