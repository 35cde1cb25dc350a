// An acceptor whose disk takes as long as a test says. Each test is a timeline: what is asked, what the disk
// begins and ends, and what is answered, in that order.
#include "consensus/durable_acceptor.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace whinledge::consensus {
namespace {

using wire::AcceptorStatus;

constexpr std::int64_t kIdentity = 7;
constexpr Millis kPatience = 350;

std::string name_of(std::int32_t status) {
    switch (status) {
        case AcceptorStatus::ok:
            return "ok";
        case AcceptorStatus::higher_ballot:
            return "higher ballot";
        case AcceptorStatus::superseded:
            return "superseded";
        case AcceptorStatus::unknown_epoch:
            return "unknown epoch";
        case AcceptorStatus::wrong_identity:
            return "not me";
        default:
            return "not stored";
    }
}

std::string name_of(const wire::AcceptorRecord& record) {
    if (record.__isset.installed) return "begin epoch " + std::to_string(record.installed.epoch);
    if (!record.__isset.accepted) return "promise " + std::to_string(record.promised.round);
    return "accept " + std::to_string(record.accepted.round) + " [" + record.entry.state.configuration + "]";
}

wire::Ballot ballot(std::int64_t round) {
    wire::Ballot made;
    made.round = round;
    made.proposer = 1;
    return made;
}

wire::ChosenValue epoch_value(std::int64_t epoch) {
    wire::ChosenValue value;
    value.epoch = epoch;
    wire::Acceptor self;
    self.identity = kIdentity;
    value.acceptors = {self};
    return value;
}

class HeldDisk : public RegisterHost {
public:
    Millis now() const override { return now_; }
    std::uint64_t random() override { return 1; }
    void after(Millis, std::function<void()>) override {}
    void persist(AcceptorWrite write, std::function<void(bool)> done) override {
        if (done_) log += "two writes at once\n";
        log += "disk begins:";
        for (const wire::AcceptorRecord& record : write.records) log += " " + name_of(record) + ";";
        log += "\n";
        writing_ = std::move(write.records);
        done_ = std::move(done);
    }
    void send(const std::string&, const AcceptorRequest&, Millis,
              std::function<void(std::optional<wire::AcceptorReply>)>) override {}
    void send(const std::string&, const wire::ShareRequest&, Millis,
              std::function<void(std::optional<wire::ShareReply>)>) override {}
    void chosen(const wire::ChosenValue&) override {}

    bool writing() const { return done_ != nullptr; }
    void end(bool synced) {
        log += synced ? "disk is done\n" : "disk refuses\n";
        if (synced) lose_power_in_write(writing_.size());
        writing_.clear();
        std::exchange(done_, nullptr)(synced);
    }
    // What the disk has then: as many of the records under way as it got to.
    void lose_power_in_write(std::size_t records) {
        for (std::size_t r = 0; r < records; ++r) disk.apply(writing_[r]);
    }

    std::string log = "\n";
    Acceptor disk{kIdentity};
    Millis now_ = 0;

private:
    std::vector<wire::AcceptorRecord> writing_;
    std::function<void(bool)> done_;
};

class DurableAcceptorTest : public testing::Test {
protected:
    DurableAcceptorTest() {
        learn(1);
        disk.end(true);
        disk.log = "\n";
    }
    void learn(std::int64_t epoch) {
        acceptor.learn(std::make_shared<const wire::ChosenValue>(epoch_value(epoch)));
    }
    void ask(const std::string& name, AcceptorRequest request) {
        disk.log += name + " is asked\n";
        acceptor.handle(request, kPatience, [this, name](const std::optional<wire::AcceptorReply>& reply) {
            disk.log += name + ": " + (reply ? name_of(reply->status) : "no reply") + "\n";
            if (reply && reply->__isset.entry)
                disk.log += "  it has accepted [" + reply->entry.state.configuration + "]\n";
        });
    }
    template <class Request>
    static Request request_in(std::int64_t epoch) {
        Request request;
        request.epoch = epoch;
        request.identity = kIdentity;
        return request;
    }
    void prepare(std::int64_t round, std::int64_t epoch = 1) {
        auto request = request_in<wire::PrepareRequest>(epoch);
        request.ballot = ballot(round);
        ask("prepare " + std::to_string(round), request);
    }
    void accept(std::int64_t round, const std::string& configuration) {
        auto request = request_in<wire::AcceptRequest>(1);
        request.ballot = ballot(round);
        request.entry.state.configuration = configuration;
        ask("accept " + std::to_string(round), request);
    }
    void query() { ask("query", request_in<wire::QueryRequest>(1)); }

    HeldDisk disk;
    RegisterCounters counters;
    DurableAcceptor acceptor{disk, Acceptor(kIdentity), counters};
};

TEST_F(DurableAcceptorTest, NothingIsAnsweredBeforeItsSync) {
    prepare(5);
    disk.end(true);
    accept(5, "five");
    EXPECT_EQ(acceptor.synced().accepted().round, 0);
    disk.end(true);
    EXPECT_EQ(acceptor.synced().accepted().round, 5);
    EXPECT_EQ(disk.log, R"(
prepare 5 is asked
disk begins: promise 5;
disk is done
prepare 5: ok
accept 5 is asked
disk begins: accept 5 [five];
disk is done
accept 5: ok
)");
}

// They wait for the write under way, share the next one, and are answered in their order.
TEST_F(DurableAcceptorTest, WhatComesDuringAWriteSharesTheNext) {
    prepare(5);
    accept(5, "five");
    prepare(6);
    prepare(7);
    disk.end(true);
    disk.end(true);
    EXPECT_FALSE(disk.writing());
    EXPECT_EQ(disk.log, R"(
prepare 5 is asked
disk begins: promise 5;
accept 5 is asked
prepare 6 is asked
prepare 7 is asked
disk is done
prepare 5: ok
disk begins: accept 5 [five]; promise 6; promise 7;
disk is done
accept 5: ok
prepare 6: ok
  it has accepted [five]
prepare 7: ok
  it has accepted [five]
)");
}

// By the time of its turn a higher ballot was promised: nothing is to be written for it.
TEST_F(DurableAcceptorTest, WhoWaitsIsDecidedOnByWhatWentBefore) {
    prepare(9);
    accept(5, "five");
    disk.end(true);
    EXPECT_FALSE(disk.writing());
    EXPECT_EQ(disk.log, R"(
prepare 9 is asked
disk begins: promise 9;
accept 5 is asked
disk is done
prepare 9: ok
accept 5: higher ballot
)");
}

TEST_F(DurableAcceptorTest, WhatNeedsNoWriteIsAnsweredWhileTheDiskHangs) {
    accept(5, "five");
    disk.end(true);
    accept(6, "six");
    query();
    prepare(4);
    EXPECT_EQ(disk.log, R"(
accept 5 is asked
disk begins: accept 5 [five];
disk is done
accept 5: ok
accept 6 is asked
disk begins: accept 6 [six];
query is asked
query: ok
  it has accepted [five]
prepare 4 is asked
prepare 4: higher ballot
)");
}

TEST_F(DurableAcceptorTest, ALossOfPowerInAWriteLosesNothingThatWasAnswered) {
    accept(5, "five");
    disk.end(true);
    accept(6, "six");
    disk.log = "\n";
    const Acceptor lost = disk.disk;  // nothing of the write is on the disk
    EXPECT_EQ(lost.entry().state.configuration, "five");
    disk.lose_power_in_write(1);  // all of it is: as if the reply had been lost
    EXPECT_EQ(disk.disk.entry().state.configuration, "six");
    EXPECT_EQ(disk.log, "\n");
}

// Records of one sync are written in their order: what is found is a beginning of them, and none was
// answered.
TEST_F(DurableAcceptorTest, ALossOfPowerInASharedWriteLeavesItsBeginning) {
    prepare(5);
    accept(5, "five");
    prepare(6);
    disk.end(true);
    disk.log = "\n";
    disk.lose_power_in_write(1);
    EXPECT_EQ(disk.disk.promised().round, 5);
    EXPECT_EQ(disk.disk.entry().state.configuration, "five");
    EXPECT_EQ(disk.log, "\n");
}

TEST_F(DurableAcceptorTest, AFullDiskIsToldAtOnceAndNothingIsTaken) {
    accept(5, "five");
    disk.end(true);
    disk.log = "\n";
    accept(6, "six");
    prepare(7);
    disk.end(false);
    disk.end(false);
    query();
    accept(8, "eight");
    disk.end(true);
    EXPECT_EQ(counters.refused_writes, 2U);
    EXPECT_EQ(acceptor.synced().entry().state.configuration, "eight");
    EXPECT_EQ(disk.log, R"(
accept 6 is asked
disk begins: accept 6 [six];
prepare 7 is asked
disk refuses
accept 6: not stored
disk begins: promise 7;
disk refuses
prepare 7: not stored
query is asked
query: ok
  it has accepted [five]
accept 8 is asked
disk begins: accept 8 [eight];
disk is done
accept 8: ok
)");
}

// Nobody knows whether a write that failed is on the disk: the next one is applied to the state before it.
TEST_F(DurableAcceptorTest, AWriteThatFailedIsNotBuiltUpon) {
    prepare(9);
    disk.end(false);
    prepare(5);
    disk.end(true);
    EXPECT_EQ(acceptor.synced().promised().round, 5);
    EXPECT_EQ(disk.disk.promised().round, 5);
}

// An epoch that is about to be on the disk is waited for, and what ends an epoch goes ahead of its requests.
TEST_F(DurableAcceptorTest, ANewEpochGoesAheadOfWhatWaits) {
    prepare(5);
    accept(6, "late");
    learn(2);
    prepare(7, 2);
    disk.end(true);
    disk.end(true);
    EXPECT_EQ(disk.log, R"(
prepare 5 is asked
disk begins: promise 5;
accept 6 is asked
prepare 7 is asked
disk is done
prepare 5: ok
disk begins: begin epoch 2; promise 7;
disk is done
accept 6: superseded
prepare 7: ok
)");
}

// A value that the disk refused is tried again with the next request that needs it.
TEST_F(DurableAcceptorTest, AnEpochThatWasRefusedIsTriedAgain) {
    learn(2);
    disk.end(false);
    EXPECT_FALSE(disk.writing());
    prepare(7, 2);
    disk.end(true);
    EXPECT_EQ(disk.log, R"(
disk begins: begin epoch 2;
disk refuses
prepare 7 is asked
disk begins: begin epoch 2; promise 7;
disk is done
prepare 7: ok
)");
}

// Nothing is asked for, and the disk is tried all the same: with what is lacking, then with what it has
// already.
TEST_F(DurableAcceptorTest, ADiskInDoubtIsTried) {
    acceptor.probe_disk();
    learn(2);
    disk.end(false);
    acceptor.probe_disk();
    EXPECT_FALSE(disk.writing()) << "it is too soon";
    for (const bool synced : {false, true}) {
        disk.now_ += kProbeEvery;
        acceptor.probe_disk();
        disk.end(synced);
    }
    disk.now_ += kProbeEvery;
    acceptor.probe_disk();
    EXPECT_FALSE(disk.writing()) << "nothing is in doubt";
    EXPECT_EQ(disk.log, R"(
disk begins: begin epoch 2;
disk refuses
disk begins: begin epoch 2;
disk refuses
disk begins: begin epoch 2;
disk is done
)");
}

TEST_F(DurableAcceptorTest, ADiskThatRefusedForLongIsTriedUntilItsProbationIsOver) {
    prepare(5, 1);
    disk.end(false);
    while (disk.now_ < kRefusesAfter) {
        EXPECT_FALSE(acceptor.refuses());
        disk.now_ += kProbeEvery;
        acceptor.probe_disk();
        disk.end(false);
    }
    EXPECT_TRUE(acceptor.refuses());
    prepare(6);
    disk.end(true);
    EXPECT_TRUE(acceptor.refuses()) << "it is on probation";
    disk.log = "\n";
    const Millis taking_since = disk.now_;
    while (disk.now_ < taking_since + kLeastProbation) {
        EXPECT_TRUE(acceptor.refuses());
        disk.now_ += kProbeEvery;
        acceptor.probe_disk();
        disk.end(true);
    }
    EXPECT_FALSE(acceptor.refuses());
    EXPECT_EQ(acceptor.withdrawals(), 1U);
    EXPECT_EQ(acceptor.synced().promised().round, 6);
    EXPECT_EQ(disk.log, R"(
disk begins: promise 6;
disk is done
disk begins: promise 6;
disk is done
disk begins: promise 6;
disk is done
disk begins: promise 6;
disk is done
)");
}

// A probe that finds a write under way leaves it alone.
TEST_F(DurableAcceptorTest, ADiskThatHangsIsNotTried) {
    prepare(5);
    disk.end(false);
    prepare(6);
    disk.now_ = 10 * kProbeEvery;
    acceptor.probe_disk();
    EXPECT_EQ(disk.log, R"(
prepare 5 is asked
disk begins: promise 5;
disk refuses
prepare 5: not stored
prepare 6 is asked
disk begins: promise 6;
)");
}

TEST_F(DurableAcceptorTest, NoMoreRequestsWaitThanTheBound) {
    prepare(1);
    for (std::size_t r = 0; r < kMostWaitingRequests; ++r) prepare(static_cast<std::int64_t>(r) + 2);
    disk.log = "\n";
    prepare(100);
    query();
    EXPECT_EQ(disk.log, R"(
prepare 100 is asked
prepare 100: not stored
query is asked
query: ok
)");
    EXPECT_EQ(counters.turned_away, 1U);
    disk.end(true);
    disk.end(true);
    EXPECT_EQ(acceptor.synced().promised().round, static_cast<std::int64_t>(kMostWaitingRequests) + 1);
}

TEST_F(DurableAcceptorTest, NoMoreBytesWaitThanTheBoundButOneValue) {
    prepare(1);
    accept(2, std::string(kMostWaitingBytes + 1, 'x'));
    disk.log = "\n";
    accept(3, "y");
    EXPECT_EQ(disk.log, "\naccept 3 is asked\naccept 3: not stored\n");
    disk.end(true);
    disk.log = "\n";
    accept(3, "y");
    EXPECT_EQ(disk.log, "\naccept 3 is asked\n");
}

// Their askers count them as lost after as long; the write under way goes on.
TEST_F(DurableAcceptorTest, RequestsAreLetGoOnceNobodyAwaitsThem) {
    prepare(5);
    disk.now_ = kPatience - 1;
    prepare(6);
    acceptor.expire();
    disk.now_ = kPatience;
    acceptor.expire();
    disk.now_ = 2 * kPatience;
    acceptor.expire();
    disk.end(true);
    EXPECT_EQ(acceptor.synced().promised().round, 5);
    EXPECT_FALSE(disk.writing());
    EXPECT_EQ(disk.log, R"(
prepare 5 is asked
disk begins: promise 5;
prepare 6 is asked
prepare 5: no reply
prepare 6: no reply
disk is done
)");
}

}  // namespace
}  // namespace whinledge::consensus
