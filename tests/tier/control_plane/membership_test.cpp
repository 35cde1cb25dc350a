// Who was heard, and when.
#include "control_plane/membership.hpp"

#include <gtest/gtest.h>

namespace whinledge::control_plane {
namespace {

const Instant kStart = Instant(std::chrono::hours(1));

wire::NodeInfo info(const std::string& address, std::int64_t identity,
                    wire::NodeRole::type role = wire::NodeRole::storage) {
    wire::NodeInfo node;
    node.node = "n" + address;
    node.address = address;
    node.identity = identity;
    node.role = role;
    return node;
}

wire::WatchRequest watch(const wire::NodeInfo& who, const std::string& note = "", std::int64_t sequence = 0) {
    wire::WatchRequest request;
    request.who = who;
    request.storage_note = note;
    request.sequence = sequence;
    return request;
}

wire::SeenStorage seen(const wire::NodeInfo& who, std::int64_t ago_ms, const std::string& note) {
    wire::SeenStorage one;
    one.who = who;
    one.ago_ms = ago_ms;
    one.storage_note = note;
    return one;
}

TEST(Membership, RolesAreToldApart) {
    Membership members;
    members.hear(watch(info("a", 1)), kStart);
    members.hear(watch(info("e", 2, wire::NodeRole::edge)), kStart);
    members.hear_control(info("c", 3, wire::NodeRole::control), kStart);
    EXPECT_EQ(members.of_role(wire::NodeRole::edge, kStart, Span(10)).size(), 1U);
    EXPECT_EQ(members.of_role(wire::NodeRole::control, kStart + Span(11), Span(10)).size(), 0U);
    EXPECT_EQ(members.storages().size(), 1U);
    EXPECT_EQ(members.count_of_role(wire::NodeRole::edge, kStart + Span(10), Span(10)), 1U);
    EXPECT_EQ(members.count_of_role(wire::NodeRole::edge, kStart + Span(11), Span(10)), 0U);
    EXPECT_EQ(members.count_of_role(wire::NodeRole::storage, kStart, Span(10)), 1U);
}

TEST(Membership, NewIdentityBeginsAnew) {
    Membership members;
    members.hear(watch(info("a", 1), "synced"), kStart);
    members.hear(watch(info("a", 2)), kStart + Span(500));
    ASSERT_EQ(members.storages().size(), 1U);
    const Heard heard = members.storages()[0];
    EXPECT_EQ(heard.info.identity, 2);
    EXPECT_EQ(heard.first, kStart + Span(500));
    EXPECT_EQ(heard.storage_note, "");
}

TEST(Membership, HearsayIsTakenWhereItIsNewer) {
    Membership members;
    members.hear(watch(info("a", 1), "synced"), kStart + Span(1000));
    members.hear_of(seen(info("a", 1), 900, "old"), kStart + Span(1500));
    EXPECT_EQ(members.storages()[0].storage_note, "synced");
    members.hear_of(seen(info("a", 1), 100, "new"), kStart + Span(1500));
    EXPECT_EQ(members.storages()[0].storage_note, "new");
    EXPECT_EQ(members.storages()[0].last, kStart + Span(1400));
}

TEST(Membership, WhatAStorageProcessHoldsIsPassedOn) {
    wire::WatchRequest request = watch(info("a", 1));
    wire::StorageProgress progress;
    progress.lacking_turns = 5;
    request.__set_storage_progress(progress);
    Membership members;
    members.hear(request, kStart);
    const std::vector<wire::SeenStorage> seen = members.seen_storages(kStart, Span(100));
    ASSERT_EQ(seen.size(), 1U);
    Membership others;
    others.hear_of(seen[0], kStart);
    ASSERT_EQ(others.storages().size(), 1U);
    EXPECT_EQ(others.storages()[0].storage_progress, progress);
}

TEST(Membership, WhatAnEarlierBuildDoesNotTellIsNotMadeUp) {
    Membership members;
    members.hear(watch(info("a", 1)), kStart);
    EXPECT_FALSE(members.storages()[0].storage_progress);
    EXPECT_FALSE(members.seen_storages(kStart, Span(100))[0].__isset.storage_progress);
    members.hear_of(seen(info("b", 2), 0, ""), kStart);
    EXPECT_FALSE(members.storages()[1].storage_progress);
}

TEST(Membership, HearsayIsNotPassedOn) {
    Membership members;
    members.hear_of(seen(info("a", 1), 0, ""), kStart);
    members.hear(watch(info("b", 2), "synced", 7), kStart);
    const auto told = members.seen_storages(kStart + Span(30), Span(1000));
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].who.address, "b");
    EXPECT_EQ(told[0].ago_ms, 30);
    EXPECT_EQ(told[0].sequence, 7);
}

TEST(Membership, SilentOnesAreForgotten) {
    Membership members;
    members.hear(watch(info("a", 1)), kStart);
    members.forget(kStart + Span(100), Span(100));
    EXPECT_EQ(members.storages().size(), 1U);
    members.forget(kStart + Span(101), Span(100));
    EXPECT_EQ(members.storages().size(), 0U);
}

}  // namespace
}  // namespace whinledge::control_plane
