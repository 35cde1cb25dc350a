// The operator's order against the register's state.
#include "control_plane/settings_order.hpp"

#include <gtest/gtest.h>

namespace whinledge::control_plane {
namespace {

SettingsOrder order(std::int64_t based_on, std::int64_t version, const std::string& body = "b") {
    return {based_on, version, digest_of(body), body};
}

wire::RegisterState at_version(std::int64_t version) {
    wire::RegisterState state;
    state.version = version;
    return state;
}

TEST(SettingsOrder, TheFirstBuildsOnNothing) {
    EXPECT_EQ(decide(at_version(0), order(0, 7)), OrderDecision::take);
    EXPECT_EQ(decide(at_version(0), order(3, 7)), OrderDecision::other_version);
}

TEST(SettingsOrder, IsTakenWhole) {
    const wire::RegisterState next = taken(at_version(5), order(5, 9, "the body"));
    EXPECT_EQ(next.version, 9);
    EXPECT_EQ(next.configuration, "the body");
    ASSERT_EQ(next.taken.size(), 1U);
    EXPECT_EQ(next.taken[0].version, 9);
    EXPECT_EQ(next.taken[0].based_on, 5);
}

// A machine that is away may hold turns of an earlier configuration.
TEST(SettingsOrder, TheLongestTimeThatTurnsAreKeptIsRemembered) {
    SettingsOrder longer = order(5, 9), shorter = order(9, 10);
    longer.keep_for_s = 90;
    shorter.keep_for_s = 20;
    const wire::RegisterState next = taken(at_version(5), longer);
    EXPECT_EQ(longest_keep_for_s(next), 90);
    EXPECT_EQ(longest_keep_for_s(taken(next, shorter)), 90);
}

// An earlier build took the configuration, and did not say how long it keeps turns.
TEST(SettingsOrder, HowLongTurnsAreKeptIsReadFromTheConfigurationWhereNobodyHasSaid) {
    wire::RegisterState state = at_version(5);
    state.configuration =
        R"({"version":5,"routes":[{"name":"r","host":"h","pathStart":"/a/","kind":"streaming","timeoutMs":6000,)"
        R"("targetMs":200,"priority":1,"service":"s","tries":2,"remembered":true,"keepForS":59.5}],)"
        R"("services":[{"name":"s","healthPath":"/health","maxConns":10}],"limits":{"headerBytes":16384,)"
        R"("bodyBytes":4194304,"headerMs":3000,"idleMs":15000}})";
    EXPECT_EQ(longest_keep_for_s(state), 60);
    EXPECT_EQ(longest_keep_for_s(taken(state, order(5, 9))), 60);
}

TEST(SettingsOrder, OfTwoOnOneVersionTheSecondLoses) {
    const wire::RegisterState next = taken(at_version(5), order(5, 9));
    EXPECT_EQ(decide(next, order(5, 10, "other")), OrderDecision::other_version);
    EXPECT_EQ(decide(next, order(9, 10, "other")), OrderDecision::take);
}

TEST(SettingsOrder, RepeatIsKnownAgainHundredsOfChangesLater) {
    wire::RegisterState state = taken(at_version(0), order(0, 1, "first"));
    for (std::int64_t version = 2; version <= 900; ++version)
        state = taken(state, order(version - 1, version));
    EXPECT_EQ(decide(state, order(0, 1, "first")), OrderDecision::taken_before);
    EXPECT_EQ(decide(state, order(899, 900)), OrderDecision::taken_before);
    EXPECT_EQ(decide(state, order(0, 1, "another")), OrderDecision::other_version);
    EXPECT_EQ(decide(state, order(1, 1, "first")), OrderDecision::other_version);
}

TEST(SettingsOrder, VersionMustRise) {
    EXPECT_EQ(decide(at_version(5), order(5, 5)), OrderDecision::not_above);
    EXPECT_EQ(decide(at_version(5), order(5, 4)), OrderDecision::not_above);
}

TEST(SettingsOrder, MemoryIsBounded) {
    wire::RegisterState state = at_version(0);
    for (std::int64_t version = 1; version <= 2100; ++version)
        state = taken(state, order(version - 1, version));
    EXPECT_EQ(state.taken.size(), kMostTakenChanges);
    EXPECT_EQ(state.taken.back().version, 2100);
    EXPECT_EQ(decide(state, order(0, 1)), OrderDecision::forgotten)
        << "not taken twice, and not refused, as it was taken";
    EXPECT_EQ(decide(state, order(2100, 1)), OrderDecision::not_above) << "nobody can have taken it";
    EXPECT_EQ(decide(state, order(2099, 2100)), OrderDecision::taken_before);
    EXPECT_EQ(decide(state, order(2098, 2101)), OrderDecision::other_version);
}

}  // namespace
}  // namespace whinledge::control_plane
