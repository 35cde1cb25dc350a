// Servers and clients of the emulator on sockets, without the processes between them: clients send straight
// to a server. All in one loop.
#include "lab/live_server.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "../runs_until.hpp"
#include "lab/live_front.hpp"
#include "lab/live_timeline.hpp"
#include "lab/live_trial.hpp"
#include "lab_experiment.hpp"
#include "rig/own_address.hpp"

namespace whinledge::lab {
namespace {

struct Heard {
    TryId id = 0;
    ClientWord word = ClientWord::failed;
};

class Clients final : public ClientSink {
public:
    void answered(TryId id, ClientWord word, Millis) override { heard.push_back({id, word}); }
    int count(TryId id, ClientWord word) const {
        int found = 0;
        for (const Heard& one : heard) found += one.id == id && one.word == word;
        return found;
    }
    // Whether the try has its end.
    bool has_end(TryId id) const {
        return count(id, ClientWord::done) + count(id, ClientWord::refused) + count(id, ClientWord::failed) >
               0;
    }
    std::vector<Heard> heard;
};

class LabLiveServer : public testing::Test {
protected:
    LabLiveServer() {
        experiment.deployment.event_tokens = 2;
        experiment.deployment.model.slots = 2;
        experiment.deployment.model.queue = 1;
        experiment.deployment.tool.slots = 1;
        experiment.deployment.tool.queue = 0;
    }
    void start(bool is_model) {
        LiveServer::Options options;
        options.id = "i-1";
        options.is_model = is_model;
        options.address = whinledge::test::own_endpoint(io, 0);
        server = std::make_shared<LiveServer>(shared, options);
        server->start();
        front = std::make_shared<LiveFront>(shared, clients, LiveFront::Where{0, options.address}, true);
    }
    ~LabLiveServer() override {
        if (server) server->crash();
        world.ending = true;
    }
    ClientRequest turn(TryId id, std::int64_t out) const {
        ClientRequest made;
        made.id = id;
        made.is_turn = true;
        made.time_left = made.finish_ms = 10000;
        made.program = made.session = 7;
        made.prompt.parts = {{0xa1, 100}, {0xb0 + id, 50}};
        made.prompt.tokens = {150, 1000};
        made.out = out;
        return made;
    }
    ClientRequest call(TryId id, Millis work) const {
        ClientRequest made;
        made.id = id;
        made.repeatable = true;
        made.time_left = made.finish_ms = 10000;
        made.work = work;
        return made;
    }
    void run_to_end(TryId id) {
        ASSERT_TRUE(runs_until(io, [&] { return clients.has_end(id); }));
    }

    Experiment experiment = small_experiment();
    boost::asio::io_context io;
    tier_rig::World world{io, 1};
    LiveTimeline timeline{world};
    Measures measures;
    LiveServers shared{experiment, world, timeline, measures, 1};
    Clients clients;
    std::shared_ptr<LiveServer> server;
    std::shared_ptr<LiveFront> front;
};

TEST_F(LabLiveServer, StreamsATurnInEventsOfItsTokens) {
    start(true);
    front->take(turn(1, 7));
    run_to_end(1);
    EXPECT_EQ(clients.count(1, ClientWord::done), 1);
    EXPECT_EQ(clients.count(1, ClientWord::piece), 4);  // 1, 2, 2 and 2 tokens
    EXPECT_EQ(measures.attempts.done, 1U);
    EXPECT_EQ(measures.tokens_read, 150);
}

TEST_F(LabLiveServer, KeepsWhatItHasRead) {
    start(true);
    front->take(turn(1, 2));
    run_to_end(1);
    front->take(turn(2, 2));
    run_to_end(2);
    EXPECT_EQ(measures.tokens_read, 200);  // the shared part once
    EXPECT_EQ(measures.tokens_read_twice, 0);
}

TEST_F(LabLiveServer, AnswersACallOfATool) {
    start(false);
    front->take(call(1, 5));
    run_to_end(1);
    EXPECT_EQ(clients.count(1, ClientWord::done), 1);
    EXPECT_EQ(measures.attempts.done, 1U);
}

TEST_F(LabLiveServer, RefusesWhenItIsFull) {
    start(false);
    server->set_frozen(false);
    front->take(call(1, 200));
    ASSERT_TRUE(runs_until(io, [&] { return server->open() == 1; }));
    front->take(call(2, 5));
    run_to_end(2);
    EXPECT_EQ(clients.count(2, ClientWord::refused), 1);
    run_to_end(1);
    EXPECT_EQ(clients.count(1, ClientWord::done), 1);
    EXPECT_EQ(measures.attempts.refused, 1U);
    EXPECT_TRUE(measures.attempts.add_up());
}

TEST_F(LabLiveServer, ItsTroublesAreThoseOfTheSimulatedOne) {
    start(true);
    server->set_grey(1);
    front->take(turn(1, 4));
    run_to_end(1);
    EXPECT_EQ(clients.count(1, ClientWord::failed), 1);
    EXPECT_EQ(measures.attempts.error, 1U);
    server->set_grey(0);
    server->set_lost(1);
    front->take(turn(2, 4));
    run_to_end(2);
    EXPECT_EQ(clients.count(2, ClientWord::failed), 1);
    EXPECT_EQ(clients.count(2, ClientWord::piece), 0);
    EXPECT_EQ(measures.attempts.lost, 1U);
    server->set_lost(0);
    server->set_frozen(true);
    front->take(turn(3, 4));
    io.restart();
    io.run_for(std::chrono::milliseconds(60));
    EXPECT_FALSE(clients.has_end(3));
    server->set_frozen(false);
    run_to_end(3);
    EXPECT_EQ(clients.count(3, ClientWord::done), 1);
    EXPECT_TRUE(measures.attempts.add_up());
}

TEST_F(LabLiveServer, ACrashBreaksWhatRuns) {
    start(true);
    front->take(turn(1, 900));
    ASSERT_TRUE(runs_until(io, [&] { return clients.count(1, ClientWord::piece) > 0; }));
    server->crash();
    run_to_end(1);
    EXPECT_EQ(clients.count(1, ClientWord::failed), 1);
    ASSERT_TRUE(runs_until(io, [&] { return measures.attempts.lost == 1; }));
    EXPECT_TRUE(measures.attempts.add_up());
}

TEST_F(LabLiveServer, AClientThatLeavesFreesItsPlace) {
    start(true);
    front->take(turn(1, 900));
    ASSERT_TRUE(runs_until(io, [&] { return clients.count(1, ClientWord::piece) > 0; }));
    front->left(1);
    ASSERT_TRUE(runs_until(io, [&] { return server->open() == 0; }));
    EXPECT_EQ(measures.attempts.cancelled, 1U);
    EXPECT_FALSE(clients.has_end(1));
}

TEST_F(LabLiveServer, NobodyThereIsAPromiseThatNothingRan) {
    start(true);
    server->crash();
    front->take(turn(1, 4));
    run_to_end(1);
    EXPECT_EQ(clients.count(1, ClientWord::refused), 1);
    EXPECT_EQ(measures.attempts.sent, 0U);
}

TEST_F(LabLiveServer, WhatIsAskedForLateHappensInItsOrder) {
    std::vector<int> order;
    const Millis now = timeline.now();
    timeline.at(now + 20, [&] { order.push_back(3); });
    timeline.at(now - 5, [&] { order.push_back(1); });
    timeline.at(now + 10, [&] { order.push_back(2); });
    ASSERT_TRUE(runs_until(io, [&] { return order.size() == 3; }));
    EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

TEST(LabLive, SaysWhatItCannotPlay) {
    EXPECT_TRUE(why_not_live(small_experiment()));  // two zones
    Experiment three = small_experiment();
    three.deployment.zones.push_back("west");
    EXPECT_FALSE(why_not_live(three));
    EXPECT_FALSE(why_not_live(arm("all")));
    EXPECT_TRUE(why_not_live(arm("plain", Choice::plain)));
}

}  // namespace
}  // namespace whinledge::lab
