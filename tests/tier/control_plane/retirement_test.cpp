// The order to empty a storage machine against the register's state.
#include "control_plane/retirement.hpp"

#include <gtest/gtest.h>

namespace whinledge::control_plane {
namespace {

using wire::StorageState;

wire::StorageMember member(const std::string& node, const std::string& zone,
                           StorageState::type state = StorageState::member) {
    wire::StorageMember one;
    one.node = node;
    one.zone = zone;
    one.state = state;
    one.identity = node.front();
    return one;
}

wire::RegisterState with(std::vector<wire::StorageMember> members) {
    wire::RegisterState state;
    state.storage.epoch = 4;
    state.storage.members = std::move(members);
    return state;
}

// All of them are there but `away`.
RetirementDecision decide(const wire::RegisterState& state, const std::string& node,
                          const std::string& away = "", int losses = 1) {
    RetirementNeeds needs;
    needs.survive.machines = losses;
    for (const wire::StorageMember& one : state.storage.members)
        if (one.node != away) needs.voting.insert(one.identity);
    return decide_retirement(state, node, needs);
}

TEST(Retirement, BeginsWhereEnoughRemain) {
    const auto state = with({member("a", "z1"), member("b", "z2"), member("c", "z3"), member("d", "z4")});
    EXPECT_EQ(decide(state, "a"), RetirementDecision::begin);
    const auto next = retiring(state, "a");
    EXPECT_EQ(next.storage.members[0].state, StorageState::retiring);
    EXPECT_EQ(next.storage.members[1].state, StorageState::member);
    EXPECT_EQ(next.storage.epoch, 5);
    EXPECT_EQ(decide(next, "a"), RetirementDecision::under_way);
    EXPECT_EQ(retirement_progress(next, "a"), RetirementProgress::serving);
    EXPECT_EQ(decide(next, "b"), RetirementDecision::too_few) << "only two full members would remain";
}

// RECOVER: of four members two could be retired, and a loss of one of the two left ended all turns.
TEST(Retirement, ThoseThatRemainHaveAMajorityAfterALoss) {
    const std::vector<wire::StorageMember> five{member("a", "z1"), member("b", "z2"), member("c", "z3"),
                                                member("d", "z4"), member("e", "z5")};
    const std::vector<wire::StorageMember> three(five.begin(), five.begin() + 3);
    EXPECT_EQ(decide(with(three), "a"), RetirementDecision::too_few);
    EXPECT_EQ(decide(with(five), "a"), RetirementDecision::begin);
    EXPECT_EQ(decide(with(five), "a", "", 2), RetirementDecision::too_few) << "two losses need five";
    EXPECT_EQ(decide(with(three), "a", "", 0), RetirementDecision::begin) << "none is to be borne";
}

TEST(Retirement, ZonesOfThoseThatAreAwayAreAskedForAsWell) {
    const auto state =
        with({member("a", "z1"), member("b", "z2"), member("c", "z2"), member("d", "z3"), member("e", "z4")});
    EXPECT_EQ(decide(state, "d", "e"), RetirementDecision::not_yet)
        << "until it is back, the loss of a would leave one zone";
}

TEST(Retirement, WaitsForThoseThatAreAwayOrNotFilled) {
    const auto four = with({member("a", "z1"), member("b", "z2"), member("c", "z3"), member("d", "z4")});
    EXPECT_EQ(decide(four, "a", "c"), RetirementDecision::not_yet);
    EXPECT_EQ(decide(four, "a", "a"), RetirementDecision::begin) << "the one that leaves may be away";
    EXPECT_EQ(decide(with({member("a", "z1"), member("b", "z2"), member("c", "z3"),
                           member("d", "z4", StorageState::joining)}),
                     "a"),
              RetirementDecision::not_yet);
    const auto joins = with(
        {member("a", "z1"), member("b", "z2"), member("c", "z3"), member("d", "z4", StorageState::joining)});
    EXPECT_EQ(decide(joins, "d"), RetirementDecision::not_yet) << "it may be the successor of another";
}

TEST(Retirement, TooFewMembersOrZonesRefuse) {
    EXPECT_EQ(decide(with({member("a", "z1"), member("b", "z2")}), "a"), RetirementDecision::too_few);
    EXPECT_EQ(decide(with({member("a", "z1"), member("b", "z2"), member("c", "z2"), member("d", "z3")}), "b"),
              RetirementDecision::begin);
    EXPECT_EQ(decide(with({member("a", "z1"), member("b", "z1"), member("c", "z2"), member("d", "z2")}), "a"),
              RetirementDecision::too_few)
        << "after the loss of b copies could not lie in two zones";
    EXPECT_EQ(decide(with({member("a", "z1"), member("b", "z2"), member("c", "z2"), member("d", "z2")}), "a"),
              RetirementDecision::too_few)
        << "copies must lie in two zones";
    EXPECT_EQ(
        decide(with({member("a", "z1"), member("b", "z2"), member("c", "z3", StorageState::joining)}), "a"),
        RetirementDecision::too_few)
        << "nor would it do once the third is filled";
    EXPECT_EQ(decide(with({member("a", "z"), member("b", "z"), member("c", "z"), member("d", "z")}), "a"),
              RetirementDecision::begin)
        << "there is one zone only";
}

wire::StorageMember of_region(const std::string& node, const std::string& zone, const std::string& region) {
    wire::StorageMember one = member(node, zone);
    one.__set_region(region);
    return one;
}

RetirementDecision decide_for(const wire::RegisterState& state, const std::string& node,
                              const failure_domain::LossTolerance& survive) {
    RetirementNeeds needs;
    needs.survive = survive;
    for (const wire::StorageMember& one : state.storage.members) needs.voting.insert(one.identity);
    return decide_retirement(state, node, needs);
}

// By a count of machines the last one of a zone or region could be taken away.
TEST(Retirement, ThoseThatRemainBearTheLossOfAZoneOrARegion) {
    const failure_domain::LossTolerance one_zone{.machines = 0, .zones = 1, .regions = 0};
    const failure_domain::LossTolerance one_region{.machines = 0, .zones = 0, .regions = 1};
    const auto zones = with({member("a", "z1"), member("b", "z1"), member("c", "z2"), member("d", "z3")});
    EXPECT_EQ(decide_for(zones, "a", one_zone), RetirementDecision::begin);
    EXPECT_EQ(decide_for(zones, "c", one_zone), RetirementDecision::too_few);
    const auto regions =
        with({of_region("a", "z1", "w"), of_region("b", "z2", "w"), of_region("c", "z3", "e"),
              of_region("d", "z4", "e"), of_region("e", "z5", "n")});
    EXPECT_EQ(decide_for(regions, "a", one_region), RetirementDecision::begin);
    EXPECT_EQ(decide_for(regions, "e", one_region), RetirementDecision::too_few);
    EXPECT_EQ(decide_for(regions, "e", {.machines = 1}), RetirementDecision::begin) << "machines alone";
}

TEST(Retirement, UnknownAndFinished) {
    auto state = with({member("a", "z1"), member("b", "z2"), member("c", "z3")});
    EXPECT_EQ(decide(state, "x"), RetirementDecision::unknown);
    EXPECT_EQ(retirement_progress(state, "x"), RetirementProgress::unknown);
    EXPECT_EQ(retirement_progress(state, "a"), RetirementProgress::serving);
    state.retired = {"x"};
    EXPECT_EQ(decide(state, "x"), RetirementDecision::finished);
    EXPECT_EQ(retirement_progress(state, "x"), RetirementProgress::finished);
}

}  // namespace
}  // namespace whinledge::control_plane
