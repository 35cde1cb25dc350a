// What a storage member tells others of its changes: in order and in pages, to those that should hold them.
#include "storage_node_rig.hpp"
#include "storage_plane/ended_entries.hpp"

namespace whinledge::storage_plane::test {
namespace {

TEST_F(StorageNodeTest, TellsChangesInOrderAndInPages) {
    found();
    for (int i = 0; i < 9; ++i) ASSERT_EQ(end(end_request("p", named("t", i), "")), Status::ok);
    wire::ChangesRequest request;
    request.asker = 2;
    request.map_epoch = 1;
    request.limit = 4;
    std::set<std::string> turns, entries;
    for (int page = 0; page < 20; ++page) {
        wire::ChangesReply reply;
        node_->changes(request, [&](const wire::ChangesReply& answered) { reply = answered; });
        ASSERT_EQ(reply.status, Status::ok);
        for (const wire::TurnHead& head : reply.turns) EXPECT_TRUE(turns.insert(head.id).second);
        for (const wire::ProgramLedger& ledger : reply.ledgers)
            for (const wire::LedgerEntry& entry : ledger.entries) entries.insert(entry.turn);
        request.run = reply.run;
        request.cursor = reply.cursor;
        if (!reply.more) break;
    }
    EXPECT_EQ(turns.size(), 9u);
    EXPECT_EQ(entries.size(), 9u);
    request.run = 1;  // of another process: from the beginning
    node_->changes(request, [&](const wire::ChangesReply& reply) {
        EXPECT_EQ(reply.turns.size() + reply.ledgers.size(), 3u);
    });
    request.map_epoch = 2;
    node_->changes(request,
                   [](const wire::ChangesReply& reply) { EXPECT_EQ(reply.status, Status::unknown_map); });
}

TEST_F(StorageNodeTest, TellsTurnsToThoseAloneThatShouldHoldThem) {
    found();
    for (int i = 0; i < 5; ++i) ASSERT_EQ(end(end_request("p", named("t", i), "")), Status::ok);
    wire::ChangesRequest request;
    request.map_epoch = 1;
    request.limit = 100;
    request.own_turns = true;
    const auto heads_for = [&](std::int64_t asker) {
        request.asker = asker;
        node_->changes(request, [&](const wire::ChangesReply& reply) { request.run = reply.run; });
        std::size_t heads = 0;
        node_->changes(request, [&](const wire::ChangesReply& reply) {
            heads = reply.turns.size();
            EXPECT_EQ(reply.ledgers.size(), 1u);  // how long the program is kept, to everybody
            EXPECT_EQ(reply.cursor, static_cast<std::int64_t>(node_->index().last_change()));
        });
        return heads;
    };
    EXPECT_EQ(heads_for(2), 5u);  // a holder by their records
    EXPECT_EQ(heads_for(3), 0u);
    wire::StorageMap without_two = map(2, State::member);
    std::erase_if(without_two.members,
                  [](const wire::StorageMember& member) { return member.identity == 2; });
    node_->set_map(without_two);
    request.map_epoch = 2;
    EXPECT_EQ(heads_for(3), 5u);  // in its place
}

// By the first form another member may have taken a copy in the place of a holder that was not named yet.
TEST_F(StorageNodeTest, TellsATurnToAllOnceItsHoldersHaveChanged) {
    found();
    wire::ChangesRequest request;
    request.asker = 3;
    request.map_epoch = 1;
    request.limit = 100;
    request.own_turns = true;
    node_->changes(request, [&](const wire::ChangesReply& reply) { request.run = reply.run; });
    const auto told = [&] {
        std::vector<std::size_t> holders;
        node_->changes(request, [&](const wire::ChangesReply& reply) {
            for (const wire::TurnHead& head : reply.turns) holders.push_back(head.holders.size());
            request.cursor = reply.cursor;
        });
        return holders;
    };
    wire::EndTurnRequest written = end_request("p", "t", "");
    const std::vector<std::int64_t> just_enough = written.record.holders;
    written.record.holders = {node_->identity()};
    ASSERT_EQ(end(written), Status::ok);
    EXPECT_EQ(told(), std::vector<std::size_t>{1});  // somebody has to take a copy
    written.record.holders = just_enough;
    ASSERT_EQ(end(written), Status::ok);
    EXPECT_EQ(told(), std::vector<std::size_t>{2});
    ASSERT_EQ(end(end_request("p", "u", "")), Status::ok);
    EXPECT_EQ(told(), std::vector<std::size_t>{});
    node_->merge_holders([] {
        wire::TurnHead head;
        head.id = "u";
        head.holders = {3};
        return head;
    }());
    EXPECT_EQ(told(), std::vector<std::size_t>{3});
}

TEST_F(StorageNodeTest, GivesNothingToThoseWhoMeanAnotherProcess) {
    found();
    ASSERT_EQ(end(end_request("p", "t", "")), Status::ok);
    wire::ChangesRequest changes;
    changes.asker = 2;
    changes.map_epoch = 1;
    wire::FetchRequest fetch;
    fetch.ids = {"t"};
    fetch.programs = {"p"};
    node_->changes(changes, [&](const wire::ChangesReply& reply) { fetch.run = reply.run; });
    node_->fetch(fetch, [](const wire::FetchReply& reply) { EXPECT_EQ(reply.turns.size(), 1u); });
    fetch.run += 1;
    node_->fetch(fetch, [](const wire::FetchReply& reply) {
        EXPECT_EQ(reply.status, Status::not_voting);
        EXPECT_TRUE(reply.turns.empty());
        EXPECT_TRUE(reply.ledgers.empty());
    });
}

// A call of a sidecar has just come: whoever has not waited long is given less, one turn at least.
TEST_F(StorageNodeTest, GivesShortRepliesBesideTurnsToThoseThatCanWait) {
    repair_pace_.on = true;
    open();
    found();
    wire::FetchRequest fetch;
    for (int i = 0; i < 4; ++i) {
        ASSERT_EQ(end(end_request("p", named("t", i), "", 100U << 10)), Status::ok);
        fetch.ids.push_back(named("t", i));
    }
    const auto given = [&] {
        std::size_t turns = 0;
        node_->fetch(fetch, [&](const wire::FetchReply& reply) { turns = reply.turns.size(); });
        return turns;
    };
    EXPECT_EQ(given(), 4u) << "an earlier build says nothing";
    fetch.__set_repairing_ms(999);
    EXPECT_EQ(given(), 1u);
    fetch.__set_repairing_ms(1000);
    EXPECT_EQ(given(), 4u);
    EXPECT_EQ(node_->counts().paced_replies, 1u);
    fetch.__set_repairing_ms(0);
    fetch.ids.resize(1);
    EXPECT_EQ(given(), 1u);
    EXPECT_EQ(node_->counts().paced_replies, 1u) << "nothing was kept back";
}

TEST_F(StorageNodeTest, TellsAllTurnsToThoseWhoDoNotKnowThisProcess) {
    found();
    for (int i = 0; i < 5; ++i) ASSERT_EQ(end(end_request("p", named("t", i), "")), Status::ok);
    wire::ChangesRequest request;
    request.asker = 3;
    request.map_epoch = 1;
    request.limit = 100;
    request.own_turns = true;
    request.run = 77;  // of the process before this one
    node_->changes(request, [](const wire::ChangesReply& reply) { EXPECT_EQ(reply.turns.size(), 5u); });
}

TEST_F(StorageNodeTest, TellsADigestInPlaceOfEntriesToThoseThatCompare) {
    found();
    for (int i = 0; i < 5; ++i) ASSERT_EQ(end(end_request("p", named("t", i), "")), Status::ok);
    wire::ChangesRequest request;
    request.asker = 2;
    request.map_epoch = 1;
    request.limit = 100;
    request.digests = true;
    wire::ProgramLedger told;
    node_->changes(request, [&](const wire::ChangesReply& reply) {
        ASSERT_EQ(reply.ledgers.size(), 1u);
        told = reply.ledgers.front();
    });
    EXPECT_TRUE(told.entries.empty());
    EXPECT_TRUE(told.__isset.digest);
    EXPECT_FALSE(node_->has_other_entries(told));
    told.digest ^= 1;
    EXPECT_TRUE(node_->has_other_entries(told));
    request.everything = true;  // it has nothing yet to compare with
    node_->changes(request, [&](const wire::ChangesReply& reply) {
        ASSERT_EQ(reply.ledgers.size(), 1u);
        EXPECT_EQ(reply.ledgers.front().entries.size(), 5u);
    });
    wire::FetchRequest fetch;
    fetch.programs = {"p", "unheard of"};
    node_->fetch(fetch, [&](const wire::FetchReply& reply) {
        ASSERT_EQ(reply.ledgers.size(), 2u);
        EXPECT_EQ(reply.ledgers[0].entries.size(), 5u);
        EXPECT_EQ(reply.ledgers[1].entries.size(), 0u);
    });
}

// What a caller shows to know is left out; anything else is told whole.
TEST_F(StorageNodeTest, EndedEntriesThatTheCallerKnowsAreLeftOutOfAReply) {
    found();
    begin("p", "t1", 50);
    EXPECT_EQ(end(end_request("p", "t1", "")), Status::ok);
    const wire::BeginTurnReply whole = begin("p", "t2", 50);
    EXPECT_EQ(whole.entries.size(), 2u);
    EXPECT_FALSE(whole.__isset.same_ended);

    wire::BeginTurnRequest request = begin_request("p", "t2", 50);
    const auto asked_with = [&](std::int64_t digest) {
        request.__set_ended_digest(digest);
        wire::BeginTurnReply reply;
        node_->begin(request, [&](const wire::BeginTurnReply& answered) { reply = answered; });
        return reply;
    };
    const wire::BeginTurnReply short_reply = asked_with(ended_digest(whole.entries));
    EXPECT_TRUE(short_reply.same_ended);
    ASSERT_EQ(short_reply.entries.size(), 1u);
    EXPECT_EQ(short_reply.entries.front().turn, "t2");

    const wire::BeginTurnReply other = asked_with(ended_digest(whole.entries) + 1);
    EXPECT_FALSE(other.__isset.same_ended);
    EXPECT_EQ(other.entries.size(), 2u);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
