// What a process remembers of programs' ended turns, and what it may conclude from a reply that leaves them
// out.
#include "storage_plane/ended_entries.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "storage_plane/turn_quorum.hpp"

namespace whinledge::storage_plane {
namespace {

using State = wire::EntryState;

wire::LedgerEntry entry(const std::string& turn, std::int64_t tokens, State::type state) {
    wire::LedgerEntry entry;
    entry.turn = turn;
    entry.tokens = tokens;
    entry.state = state;
    return entry;
}

LedgerEntries ledger(const std::vector<wire::LedgerEntry>& entries) {
    LedgerEntries ledger;
    for (const wire::LedgerEntry& entry : entries) merge_entry(ledger, entry);
    return ledger;
}

TEST(EndedDigest, IsOfEndedEntriesInAnyOrder) {
    const auto settled = entry("t1", 30, State::settled);
    const auto cancelled = entry("t2", 0, State::cancelled);
    const auto open = entry("t3", 60, State::reserved);
    EXPECT_EQ(ended_digest({settled, cancelled}), ended_digest({cancelled, open, settled}));
    EXPECT_EQ(ended_digest({open}), kNoEntriesDigest);
}

TEST(EndedDigest, TellsTurnsTokensAndStatesApart) {
    const std::int64_t digest = ended_digest({entry("t1", 30, State::settled)});
    EXPECT_NE(digest, ended_digest({entry("t2", 30, State::settled)}));
    EXPECT_NE(digest, ended_digest({entry("t1", 31, State::settled)}));
    EXPECT_NE(digest, ended_digest({entry("t1", 30, State::cancelled)}));
    EXPECT_NE(digest, ended_digest({entry("t1", 30, State::settled), entry("t2", 0, State::cancelled)}));
}

// Replies of builds that differ are compared by it: the number is part of the protocol.
TEST(EndedDigest, StaysWhatItWas) {
    EXPECT_EQ(ended_digest({entry("t1", 30, State::settled), entry("t2", 0, State::cancelled)}),
              8943547351198363520);
}

TEST(EndedEntriesCache, KnowsWhatEndedLeastRecentlyUsedForgottenFirst) {
    EndedEntriesCache cache(3);
    cache.replace("p", ledger({entry("t1", 30, State::settled), entry("t2", 60, State::reserved)}));
    ASSERT_TRUE(cache.find("p"));
    EXPECT_EQ(cache.find("p")->entries.size(), 1u);
    cache.add("q", entry("u1", 5, State::settled));
    cache.add("q", entry("u2", 5, State::settled));
    EXPECT_TRUE(cache.find("p"));
    cache.add("r", entry("v1", 5, State::settled));
    EXPECT_TRUE(cache.find("p"));
    EXPECT_FALSE(cache.find("q"));
    EXPECT_EQ(cache.entries(), 2u);
    EXPECT_EQ(cache.programs(), 2u);
}

TEST(EndedEntriesCache, HoldsNoMoreThanItsBoundAndNoOpenEntry) {
    EndedEntriesCache cache(2);
    cache.add("p", entry("t1", 60, State::reserved));
    EXPECT_FALSE(cache.find("p"));
    for (int turn = 0; turn < 3; ++turn)
        cache.add("p", entry(std::string("t").append(std::to_string(turn)), 5, State::settled));
    EXPECT_FALSE(cache.find("p"));
    EXPECT_EQ(cache.entries(), 0u);
}

TEST(EndedEntriesCache, AnEntryMovesForwardAndReplacingForgetsWhatMembersDoNotHold) {
    EndedEntriesCache cache(10);
    cache.add("p", entry("t1", 30, State::settled));
    cache.add("p", entry("t1", 20, State::settled));
    EXPECT_EQ(cache.find("p")->entries.front().tokens, 30);
    cache.replace("p", ledger({entry("t2", 10, State::settled)}));
    ASSERT_EQ(cache.find("p")->entries.size(), 1u);
    EXPECT_EQ(cache.find("p")->entries.front().turn, "t2");
    cache.replace("p", {});
    EXPECT_FALSE(cache.find("p"));
}

// A process and three members that are played by the test: turns of one program, one after the other.
class Conversation {
public:
    Conversation() : cache_(1 << 20), quorum_({.zone = "a"}, cache_) {
        wire::StorageMap map;
        map.epoch = 1;
        for (std::int64_t identity : {1, 2, 3}) {
            wire::StorageMember member;
            member.identity = identity;
            member.zone = member.node = member.address = std::to_string(identity);
            member.state = wire::StorageState::member;
            map.members.push_back(member);
        }
        quorum_.set_map(map, 0);
    }

    // `meanwhile` happens once members have written their replies, which are on their way.
    BeginStatus begin(
        const std::string& turn, std::int64_t budget, std::int64_t most,
        const std::function<void()>& meanwhile = [] {}) {
        TurnStart start;
        start.program = "p";
        start.turn = turn;
        start.budget = budget;
        start.most = most;
        quorum_.begin(start, 1000, now_ms_);
        std::vector<std::pair<std::uint64_t, TurnReply>> on_their_way;
        for (const TurnSend& send : quorum_.take_sends()) on_their_way.emplace_back(send.id, reply_to(send));
        meanwhile();
        for (const auto& [id, reply] : on_their_way) quorum_.replied(id, reply, ++now_ms_);
        answer_all();
        for (const TurnOutcome& outcome : quorum_.take_outcomes())
            if (const auto* begun = std::get_if<BegunTurn>(&outcome.result)) return begun->status;
        return BeginStatus::unavailable;
    }

    void end(const std::string& turn, std::int64_t tokens) {
        TurnEnd end;
        end.program = "p";
        end.turn = turn;
        end.tokens = tokens;
        quorum_.end(end, 1000, now_ms_);
        answer_all();
    }

    LedgerEntries& held_by(std::int64_t member) { return held_[member]; }
    std::size_t entries_told() const { return entries_told_; }
    int short_replies() const { return short_replies_; }

private:
    void answer_all() {
        for (auto sends = quorum_.take_sends(); !sends.empty(); sends = quorum_.take_sends())
            for (const TurnSend& send : sends) quorum_.replied(send.id, reply_to(send), ++now_ms_);
    }

    TurnReply reply_to(const TurnSend& send) {
        LedgerEntries& held = held_[send.member];
        if (const auto* end = std::get_if<wire::EndTurnRequest>(&send.request)) {
            merge_entry(held, end->entry);
            return wire::EndTurnReply();
        }
        const auto& begin = std::get<wire::BeginTurnRequest>(send.request);
        merge_entry(held, entry(begin.turn, begin.reserve, State::reserved));
        std::vector<wire::LedgerEntry> entries;
        for (const auto& [turn, held_entry] : held) entries.push_back(held_entry);
        wire::BeginTurnReply reply;
        reply.map_epoch = 1;
        tell_entries(begin, std::move(entries), reply);
        entries_told_ += reply.entries.size();
        short_replies_ += reply.__isset.same_ended;
        return reply;
    }

    TurnCache cache_;
    TurnQuorum quorum_;
    double now_ms_ = 0;
    std::map<std::int64_t, LedgerEntries> held_;
    std::size_t entries_told_ = 0;
    int short_replies_ = 0;
};

TEST(TurnsOfAProgram, AreCountedAgainstItsBudgetThoughRepliesLeaveThemOut) {
    Conversation conversation;
    ASSERT_EQ(conversation.begin("t1", 100, 40), BeginStatus::ok);
    conversation.end("t1", 40);
    ASSERT_EQ(conversation.begin("t2", 100, 40), BeginStatus::ok);
    conversation.end("t2", 40);
    EXPECT_EQ(conversation.short_replies(), 3);
    EXPECT_EQ(conversation.begin("t3", 100, 40), BeginStatus::budget_spent);
    EXPECT_EQ(conversation.short_replies(), 6);
    EXPECT_EQ(conversation.begin("t4", 100, 20), BeginStatus::ok);
}

TEST(TurnsOfAProgram, ThatAnotherProcessHasEndedAreToldWhole) {
    Conversation conversation;
    ASSERT_EQ(conversation.begin("t1", 100, 40), BeginStatus::ok);
    conversation.end("t1", 40);
    for (std::int64_t member : {1, 2, 3})
        merge_entry(conversation.held_by(member), entry("elsewhere", 50, State::settled));
    EXPECT_EQ(conversation.begin("t2", 100, 40), BeginStatus::budget_spent);
    EXPECT_EQ(conversation.short_replies(), 0);
}

// A program that members have forgotten begins anew: what this process remembers of it is no verdict.
TEST(TurnsOfAProgram, AreForgottenWithTheirProgram) {
    Conversation conversation;
    ASSERT_EQ(conversation.begin("t1", 100, 60), BeginStatus::ok);
    conversation.end("t1", 60);
    for (std::int64_t member : {1, 2, 3}) conversation.held_by(member).clear();
    EXPECT_EQ(conversation.begin("t2", 100, 60), BeginStatus::ok);
}

// Two turns under way at once: the one that began first learns its ledger from replies that were written
// before the other ended, and must not make the process forget that end.
TEST(TurnsOfAProgram, ThatEndDuringABeginStayKnown) {
    Conversation conversation;
    ASSERT_EQ(conversation.begin("t1", 1000, 40), BeginStatus::ok);
    conversation.end("t1", 10);
    ASSERT_EQ(conversation.begin("t2", 1000, 40), BeginStatus::ok);
    ASSERT_EQ(conversation.begin("t3", 1000, 40, [&] { conversation.end("t2", 10); }), BeginStatus::ok);
    const int before = conversation.short_replies();
    EXPECT_EQ(conversation.begin("t4", 1000, 40), BeginStatus::ok);
    EXPECT_EQ(conversation.short_replies() - before, 3);
}

// One member has missed the end of a turn: it tells what it holds, the others leave out what is known.
TEST(TurnsOfAProgram, OfAMemberThatMissedAnEndAreMerged) {
    Conversation conversation;
    ASSERT_EQ(conversation.begin("t1", 100, 40), BeginStatus::ok);
    conversation.end("t1", 10);
    conversation.held_by(3)["t1"] = entry("t1", 40, State::reserved);
    EXPECT_EQ(conversation.begin("t2", 100, 90), BeginStatus::ok);
    EXPECT_EQ(conversation.short_replies(), 2);
}

}  // namespace
}  // namespace whinledge::storage_plane
