// What a member of a large fleet holds. Replaces the allocation functions, so it is a program of its own.
#include <gtest/gtest.h>

#include "fleet/membership.hpp"
#include "rig/allocations.hpp"

namespace whinledge::fleet {
namespace {

constexpr std::size_t kMembers = 5000, kMost = 2 << 20;

// Each of them has said something, and none of it has been passed on yet: the most that there is to hold.
TEST(MembershipMemory, OfFiveThousandMembersIsTwoMebibytes) {
    MembershipSettings settings;
    settings.fleet = 1;
    settings.self = 1;
    settings.born = 1000000;
    for (Key key = 1; key <= kMembers; ++key) settings.members.push_back(key * 800000);
    const std::size_t before = allocations::counts.bytes;
    allocations::counts.peak = before;
    Membership m(settings);
    FleetActions actions;
    for (const Key key : settings.members) {
        Datagram d;
        d.fleet = 1;
        d.from = key;
        d.incarnation = settings.born + key % 1000;
        d.kind = Kind::news;
        m.receive(1, d, actions);
        actions.clear();
    }
    ASSERT_EQ(m.alive(), kMembers + 1);
    ASSERT_GE(m.outbox().size(), kMembers - 50);
    const std::size_t held = allocations::counts.bytes - before, peak = allocations::counts.peak - before;
    RecordProperty("bytes held", std::to_string(held));
    RecordProperty("bytes at most", std::to_string(peak));
    EXPECT_LT(held, kMost);
    EXPECT_LT(peak, kMost);
    // The file read anew: what comes stands beside what goes for a moment.
    m.configure(2, settings.members, actions);
    EXPECT_LT(allocations::counts.peak - before, kMost);
}

}  // namespace
}  // namespace whinledge::fleet
