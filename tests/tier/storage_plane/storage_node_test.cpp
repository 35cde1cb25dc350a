// What a storage member answers: statuses by its map, what it keeps and for how long, and what it does when
// its disk is full or fails.
#include "storage_node_rig.hpp"

namespace whinledge::storage_plane::test {
namespace {

TEST_F(StorageNodeTest, AnswersOnlyForItsOwnIdentityAndMap) {
    EXPECT_EQ(read("t").status, Status::unknown_map);  // it has none
    found();
    EXPECT_EQ(read("t").status, Status::ok);
    wire::ReadTurnsRequest other;
    other.map_epoch = 1;
    other.identity = node_->identity() + 1;
    node_->read(other,
                [](const wire::ReadTurnsReply& reply) { EXPECT_EQ(reply.status, Status::not_member); });
    node_->set_map(map(3, State::member));
    const wire::ReadTurnsReply stale = read("t", 2);
    EXPECT_EQ(stale.status, Status::stale_map);
    EXPECT_EQ(stale.map_epoch, 3);
}

TEST_F(StorageNodeTest, OnceServedByANewerMapOlderOnesAreRefusedAlsoAfterARestart) {
    found();
    EXPECT_EQ(read("t", 5).status, Status::not_voting) << "what that map asks of its voters it does not know";
    EXPECT_EQ(read("t", 4).status, Status::stale_map);
    node_->commit();
    disk_.lose_power(random_);
    open();
    EXPECT_EQ(read("t", 4).status, Status::stale_map);
    EXPECT_EQ(read("t", 5).status, Status::not_voting);
    EXPECT_EQ(end_at("t", 5), Status::ok) << "a copy is one whatever its holder knows";
    node_->set_map(map(5, State::member));
    EXPECT_EQ(read("t", 5).status, Status::ok);
}

// A turn that waits for the disk is told of what came meanwhile; one of an older map tells all the same.
TEST_F(StorageNodeTest, TellsATurnWhatOtherProxiesHaveUnderWay) {
    found();
    const auto load = [](std::int64_t proxy, std::int32_t requests) {
        wire::ServerRequests at;
        at.server = 7;
        at.requests = requests;
        wire::LoadReport report;
        report.proxy = proxy;
        report.number = 1;
        report.under_way = {at};
        report.asked = {7};
        return report;
    };
    wire::BeginTurnRequest begin;
    begin.map_epoch = 1;
    begin.identity = node_->identity();
    begin.program = "p";
    begin.turn = "t";
    begin.reserve = 10;
    begin.__set_load(load(1, 3));
    std::vector<wire::BeginTurnReply> replies;
    node_->begin(begin, [&](const wire::BeginTurnReply& reply) { replies.push_back(reply); });
    EXPECT_TRUE(replies.empty()) << "its reservation is not synced";
    wire::EndTurnRequest end;
    end.map_epoch = 0;
    end.identity = node_->identity();
    end.__set_load(load(2, 5));
    node_->end(end, [](const wire::EndTurnReply& reply) { EXPECT_EQ(reply.status, Status::stale_map); });
    now_ms_ += 40;
    node_->commit();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].other_requests, (std::vector<std::int32_t>{5}));
    EXPECT_EQ(replies[0].load_age_ms, 40);
    begin.__isset.load = false;
    node_->begin(begin, [&](const wire::BeginTurnReply& reply) { replies.push_back(reply); });
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_FALSE(replies[1].__isset.other_requests) << "it asks nothing";
}

TEST_F(StorageNodeTest, VotesOnlyOnceItIsAMemberAndFilled) {
    node_->set_map(map(4, State::joining));
    EXPECT_EQ(read("t", 4).status, Status::not_voting);
    node_->set_map(map(5, State::member));
    EXPECT_EQ(read("t", 5).status, Status::not_voting);
    node_->mark_filled();
    EXPECT_EQ(read("t", 5).status, Status::ok);
    node_->commit();
    open();
    EXPECT_EQ(read("t", 5).status, Status::ok);
    // It was dropped meanwhile: what was written then it has not seen.
    node_->set_map(map(7, State::joining));
    node_->set_map(map(8, State::member));
    EXPECT_EQ(read("t", 8).status, Status::not_voting);
    node_->commit();
    open();
    EXPECT_EQ(read("t", 8).status, Status::not_voting);
}

// Others may have followed this member under the newer map before the write was there to be seen.
TEST_F(StorageNodeTest, AWriteThatANewerMapOvertakesIsNoVoteAndNoCopy) {
    found();
    wire::BeginTurnRequest reserve = begin_request("p", "t", 5);
    std::vector<std::int32_t> answers;
    node_->begin(reserve, [&](const wire::BeginTurnReply& reply) { answers.push_back(reply.status); });
    node_->end(end_request("p", "u", ""),
               [&](const wire::EndTurnReply& reply) { answers.push_back(reply.status); });
    node_->set_map(map(2, State::member));
    EXPECT_TRUE(answers.empty());
    node_->commit();
    EXPECT_EQ(answers, (std::vector<std::int32_t>{Status::stale_map, Status::stale_map}));
    EXPECT_TRUE(node_->holds("u"));  // told to others as any change is
}

TEST_F(StorageNodeTest, AWipedDiskIsAnotherIdentity) {
    const std::int64_t before = node_->identity();
    open();
    EXPECT_EQ(node_->identity(), before);
    disk_.lose_power(random_);
    open();
    EXPECT_EQ(node_->identity(), before);
    disk_.wipe();
    open();
    EXPECT_NE(node_->identity(), before);
}

TEST_F(StorageNodeTest, ADiskThatForgotIsAnotherIdentity) {
    found();
    const std::int64_t before = node_->identity();
    for (int i = 0; i < 40; ++i) ASSERT_EQ(end(end_request("p", named("t", i), "", 1000)), Status::ok);
    node_.reset();
    disk_.flip(disk_.names()[1], 600);
    open();
    EXPECT_NE(node_->identity(), before);
    EXPECT_FALSE(node_->filled());
}

TEST_F(StorageNodeTest, AnswersAReservationOnlyOnceItIsSynced) {
    found();
    node_->commit();
    wire::BeginTurnRequest request = begin_request("p", "t1", 30);
    bool answered = false;
    node_->begin(request, [&](const wire::BeginTurnReply&) { answered = true; });
    EXPECT_FALSE(answered);
    node_->commit();
    EXPECT_TRUE(answered);
    disk_.lose_power(random_);
    open();
    ASSERT_EQ(node_->index().entries("p").size(), 1u);
    EXPECT_EQ(node_->index().entries("p")[0].tokens, 30);
}

TEST_F(StorageNodeTest, TwoReservationsOfOneCommitSeeEachOther) {
    found();
    node_->commit();
    std::vector<std::size_t> seen;
    for (const char* turn : {"t1", "t2"}) {
        node_->begin(begin_request("p", turn, 30),
                     [&](const wire::BeginTurnReply& reply) { seen.push_back(reply.entries.size()); });
    }
    node_->commit();
    EXPECT_EQ(seen, (std::vector<std::size_t>{2, 2}));
}

TEST_F(StorageNodeTest, LedgerEntriesOnlyMoveForward) {
    found();
    ASSERT_EQ(end(end_request("p", "t1", "")), Status::ok);
    const wire::BeginTurnReply late = begin("p", "t1", 40);  // its reservation, overtaken
    ASSERT_EQ(late.entries.size(), 1u);
    EXPECT_EQ(late.entries[0].state, wire::EntryState::settled);
    EXPECT_EQ(late.entries[0].tokens, 7);
}

TEST_F(StorageNodeTest, ReadsAChainNewestFirstFromMemoryAndDisk) {
    found();
    std::string parent;
    for (int i = 0; i < 20; ++i) {  // more than its cache holds
        const std::string id = named("t", i);
        ASSERT_EQ(end(end_request("p", id, parent, 1500)), Status::ok);
        parent = id;
    }
    EXPECT_LE(node_->index().cached_bytes(), 4096u);
    const wire::BeginTurnReply begun = begin("p", "next", 5, parent);
    ASSERT_EQ(begun.chain.size(), 20u);
    EXPECT_EQ(begun.chain.front().id, "t19");
    EXPECT_EQ(begun.chain.back().id, "t0");
    EXPECT_EQ(begun.chain.back().input, "in of t0");
}

TEST_F(StorageNodeTest, ATurnIsWrittenOnce) {
    found();
    ASSERT_EQ(end(end_request("p", "t1", "")), Status::ok);
    wire::EndTurnRequest again = end_request("p", "t1", "");
    again.record.holders = {node_->identity(), 3};
    EXPECT_EQ(end(again), Status::ok);  // the same bytes, other holders
    EXPECT_EQ(node_->index().turn("t1")->holders.size(), 3u);
    again.record.output += "more";
    EXPECT_EQ(end(again), Status::conflict);
    EXPECT_EQ(read("t1").chain.at(0).output, std::string(100, 'o'));
}

TEST_F(StorageNodeTest, WhatCannotBeReadIsNotSaidToBeMissing) {
    found();
    for (int i = 0; i < 12; ++i) ASSERT_EQ(end(end_request("p", named("t", i), "", 1500)), Status::ok);
    disk_.flip(disk_.names()[1], 700);  // of t0, which is not in memory any more
    EXPECT_EQ(read("t0").status, Status::not_voting);
}

TEST_F(StorageNodeTest, KeepsAChainAsLongAsItsNewestTurn) {
    found();
    ASSERT_EQ(end(end_request("p", "old", "")), Status::ok);
    ASSERT_EQ(end(end_request("q", "other", "")), Status::ok);
    now_ms_ += 50'000;
    ASSERT_EQ(end(end_request("p", "new", "old")), Status::ok);
    now_ms_ += 59'000;
    node_->tick();
    EXPECT_EQ(read("new").chain.size(), 2u);
    EXPECT_TRUE(read("other").chain.empty());
    now_ms_ += 10'000;
    node_->tick();
    EXPECT_TRUE(read("new").chain.empty());
    EXPECT_TRUE(node_->index().programs().empty());
    EXPECT_TRUE(node_->index().changes().empty());
}

// Turns that name no program are tied to their chain by the members that hold both.
TEST_F(StorageNodeTest, KeepsAChainWithoutAProgram) {
    found();
    wire::EndTurnRequest old = end_request("", "old", "");
    old.entry = {};
    ASSERT_EQ(end(old), Status::ok);
    now_ms_ += 50'000;
    wire::EndTurnRequest young = end_request("", "young", "old");
    young.entry = {};
    ASSERT_EQ(end(young), Status::ok);
    now_ms_ += 50'000;
    node_->tick();
    EXPECT_EQ(read("young").chain.size(), 2u);
}

TEST_F(StorageNodeTest, AStepOfTheTimeOfDayEndsNothing) {
    found();
    ASSERT_EQ(end(end_request("p", "t1", "")), Status::ok);
    clock_off_ms_ = 7'200'000;
    node_->tick();
    EXPECT_EQ(read("t1").chain.size(), 1u);
    open();
    node_->tick();
    EXPECT_EQ(read("t1").chain.size(), 1u);
    // Others are told of it only as long as the time of day says.
    EXPECT_EQ(node_->lifetime_of("p").left_ms, 0);
}

TEST_F(StorageNodeTest, GivesRoomBackAndKeepsWhatIsLive) {
    found();
    for (int round = 0; round < 30; ++round) {
        for (int i = 0; i < 10; ++i)
            ASSERT_EQ(end(end_request(named("p", round), std::to_string(round * 10 + i), "", 800)),
                      Status::ok);
        // One program goes on all the time; its first entries lie in the oldest segment.
        ASSERT_EQ(end(end_request("long", named("long-", round), "", 10)), Status::ok);
        now_ms_ += 20'000;
        node_->tick();
        EXPECT_LT(disk_.bytes(), 120'000u);
    }
    EXPECT_EQ(node_->index().entries("long").size(), 30u);
    EXPECT_EQ(read("long-0").chain.size(), 1u);
    const std::int64_t identity = node_->identity();
    open();
    EXPECT_EQ(node_->identity(), identity);
    EXPECT_TRUE(node_->voting());
    EXPECT_EQ(node_->index().entries("long").size(), 30u);
    EXPECT_EQ(read("long-0").chain.size(), 1u);
}

TEST_F(StorageNodeTest, AFullDiskRefusesTurnsAndSaysSo) {
    disk_bytes_ = 100'000;
    open();
    found();
    int taken = 0;
    Status::type status = Status::ok;
    while (status == Status::ok && taken < 1000) {
        status = end(end_request(named("p", taken), named("t", taken), "", 1000));
        if (status == Status::ok) ++taken;
    }
    EXPECT_EQ(status, Status::full);
    EXPECT_GT(taken, 30);
    EXPECT_LT(disk_.bytes(), 100'000u);
    for (int i = 0; i < taken; ++i) EXPECT_EQ(read(named("t", i)).chain.size(), 1u);
    now_ms_ += 70'000;  // all has expired
    EXPECT_EQ(end(end_request("p", "after", "", 1000)), Status::ok);
}

TEST_F(StorageNodeTest, RefusesMoreThanItsMemoryHolds) {
    most_items_ = 20;
    open();
    found();
    for (int i = 0; i < 10; ++i) ASSERT_EQ(end(end_request(named("p", i), named("t", i), "")), Status::ok);
    EXPECT_EQ(end(end_request("p", "one more", "")), Status::full);
    EXPECT_EQ(begin("p", "t", 5).status, Status::full);
    now_ms_ += 70'000;
    EXPECT_EQ(end(end_request("p", "one more", "")), Status::ok);
}

TEST_F(StorageNodeTest, ADiskThatFailsRefusesAndGoesOn) {
    found();
    ASSERT_EQ(end(end_request("p", "t1", "")), Status::ok);
    disk_.fails_at = disk_.operations + 1;  // the sync
    EXPECT_EQ(end(end_request("p", "t2", "")), Status::full);
    EXPECT_TRUE(read("t2").chain.empty());
    EXPECT_EQ(end(end_request("p", "t3", "")), Status::ok);
    disk_.lose_power(random_);
    open();
    EXPECT_EQ(read("t1").chain.size(), 1u);
    EXPECT_EQ(read("t3").chain.size(), 1u);
    EXPECT_TRUE(node_->voting());
}

// A map that failed to be written is written again.
TEST_F(StorageNodeTest, RemembersItsMapAfterAFailure) {
    found();
    node_->commit();
    node_->set_map(map(6, State::joining));
    disk_.fails_at = disk_.operations;
    node_->commit();
    node_->tick();
    node_->commit();
    open();
    EXPECT_EQ(node_->map().epoch, 6);
    EXPECT_FALSE(node_->voting());
}

}  // namespace
}  // namespace whinledge::storage_plane::test
