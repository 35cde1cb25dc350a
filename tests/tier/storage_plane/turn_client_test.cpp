// The turn client with real calls over loopback, to members of the model behind RPC servers.
#include "storage_plane/turn_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>

#include "rpc/server.hpp"
#include "storage_plane/calls.hpp"
#include "turn_tier_model.hpp"

namespace whinledge::storage_plane {
namespace {

class TurnClientTest : public ::testing::Test {
protected:
    void SetUp() override {
        map_.epoch = 1;
        for (const char* zone : {"a", "b", "c"}) {
            auto member = std::make_unique<model::Member>();
            member->identity = zone[0];
            member->zone = zone;
            servers_.push_back(serve(*member));
            wire::StorageMember described = member->described(wire::StorageState::member);
            described.address =
                std::string("127.0.0.1:").append(std::to_string(servers_.back()->address().port()));
            map_.members.push_back(described);
            members_.push_back(std::move(member));
        }
        for (auto& member : members_) member->map = map_;
        client_.set_map(map_);
    }

    std::unique_ptr<rpc::Server> serve(model::Member& member) {
        const auto loopback = boost::asio::ip::make_address("127.0.0.1");
        auto server = std::make_unique<rpc::Server>(io_, rpc::Server::Tcp::endpoint(loopback, 0));
        server->on<wire::BeginTurnRequest, wire::BeginTurnReply>(
            kBeginTurn, [&member](const auto& request, auto respond) { respond(member.answer(request)); });
        server->on<wire::EndTurnRequest, wire::EndTurnReply>(
            kEndTurn, [&member](const auto& request, auto respond) { respond(member.answer(request)); });
        server->on<wire::ReadTurnsRequest, wire::ReadTurnsReply>(
            kReadTurns, [&member](const auto& request, auto respond) { respond(member.answer(request)); });
        return server;
    }

    BegunTurn begin(TurnClient& client, const TurnStart& start) {
        std::optional<BegunTurn> result;
        client.begin(start, 5000, [&](BegunTurn begun) { result = std::move(begun); });
        EXPECT_FALSE(result) << "an outcome from within the call";
        run_until([&] { return result.has_value(); });
        return result.value_or(BegunTurn());
    }

    bool end(TurnClient& client, const TurnEnd& end) {
        std::optional<bool> result;
        client.end(end, 5000, [&](bool durable) { result = durable; });
        run_until([&] { return result.has_value(); });
        return result.value_or(false);
    }

    template <class Done>
    void run_until(Done done) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done() && std::chrono::steady_clock::now() < limit)
            io_.run_one_for(std::chrono::milliseconds(100));
        ASSERT_TRUE(done());
    }

    static TurnStart start_of(const std::string& turn, const std::string& previous) {
        TurnStart start;
        start.program = "program";
        start.turn = turn;
        start.previous = previous;
        start.budget = 100;
        start.most = 60;
        return start;
    }
    static TurnEnd end_of(const std::string& turn, const std::string& previous) {
        TurnEnd end;
        end.program = "program";
        end.turn = turn;
        end.tokens = 30;
        end.whole = true;
        end.record.id = turn;
        end.record.parent = previous;
        end.record.program = "program";
        end.record.input = "in " + turn;
        end.record.output = std::string("out\0 ", 5) + turn + "\n";
        return end;
    }

    boost::asio::io_context io_;
    rpc::Client calls_{io_};
    TurnClient client_{io_, calls_, {.zone = "a"}};
    wire::StorageMap map_;
    std::vector<std::unique_ptr<model::Member>> members_;
    std::vector<std::unique_ptr<rpc::Server>> servers_;
};

TEST_F(TurnClientTest, TurnGoesOnThroughAnotherEdgeUntilTheBudgetIsSpent) {
    EXPECT_EQ(begin(client_, start_of("t1", "")).status, BeginStatus::ok);
    EXPECT_TRUE(end(client_, end_of("t1", "")));
    EXPECT_EQ(members_[0]->records.count("t1") + members_[1]->records.count("t1") +
                  members_[2]->records.count("t1"),
              2u);

    TurnClient other(io_, calls_, {.zone = "c"});
    other.set_map(map_);
    const BegunTurn second = begin(other, start_of("t2", "t1"));
    ASSERT_EQ(second.status, BeginStatus::ok);
    ASSERT_EQ(second.chain.size(), 1u);
    EXPECT_EQ(second.chain[0].output, std::string("out\0 ", 5) + "t1\n");
    EXPECT_TRUE(end(other, end_of("t2", "t1")));

    EXPECT_EQ(begin(client_, start_of("t3", "t2")).status, BeginStatus::budget_spent);
    EXPECT_EQ(begin(client_, start_of("t4", "no-such-turn")).status, BeginStatus::budget_spent);
}

TEST_F(TurnClientTest, CachedChainWithoutBudgetNeedsNoCall) {
    EXPECT_TRUE(end(client_, end_of("t1", "")));
    const auto calls = calls_.stats().calls;
    TurnStart start = start_of("t2", "t1");
    start.budget = 0;
    EXPECT_EQ(begin(client_, start).status, BeginStatus::ok);
    EXPECT_EQ(calls_.stats().calls, calls);
}

TEST_F(TurnClientTest, UnknownTurn) {
    EXPECT_EQ(begin(client_, start_of("t1", "no-such-turn")).status, BeginStatus::no_such_turn);
}

TEST_F(TurnClientTest, MemberThatEndedIsReplacedAsHolder) {
    servers_[0].reset();
    EXPECT_EQ(begin(client_, start_of("t1", "")).status, BeginStatus::ok);
    EXPECT_TRUE(end(client_, end_of("t1", "")));
    EXPECT_EQ(members_[1]->records.count("t1") + members_[2]->records.count("t1"), 2u);
}

TEST_F(TurnClientTest, WithoutAMapNothingBegins) {
    TurnClient fresh(io_, calls_, {.zone = "a"});
    EXPECT_FALSE(fresh.has_map());
    std::optional<BegunTurn> result;
    fresh.begin(start_of("t1", ""), 50, [&](BegunTurn begun) { result = std::move(begun); });
    run_until([&] { return result.has_value(); });
    EXPECT_EQ(result->status, BeginStatus::unavailable);
}

// What a proxy has under way goes along with its turns, and its question as well.
TEST_F(TurnClientTest, LoadsAreToldAndAskedForWithTurns) {
    std::vector<wire::LoadReport> begun, ended;
    servers_[0]->on<wire::BeginTurnRequest, wire::BeginTurnReply>(
        kBeginTurn, [&](const wire::BeginTurnRequest& request, auto respond) {
            begun.push_back(request.load);
            wire::BeginTurnReply reply = members_[0]->answer(request);
            reply.__set_other_requests({4, 0});
            reply.load_age_ms = 70;
            respond(reply);
        });
    servers_[0]->on<wire::EndTurnRequest, wire::EndTurnReply>(
        kEndTurn, [&](const wire::EndTurnRequest& request, auto respond) {
            ended.push_back(request.load);
            respond(members_[0]->answer(request));
        });
    std::vector<ToldLoads> told;
    TurnClient::Options options{.zone = "a"};
    std::int64_t reports = 0;
    options.load = [&reports](bool asks) {
        wire::LoadReport report;
        report.proxy = 5;
        report.number = ++reports;
        wire::ServerRequests at;
        at.server = 11;
        at.requests = 2;
        report.under_way = {at};
        if (asks) report.asked = {11, 12};
        return report;
    };
    options.loads_told = [&told](const ToldLoads& loads) { told.push_back(loads); };
    TurnClient client(io_, calls_, options);
    client.set_map(map_);
    EXPECT_EQ(begin(client, start_of("t1", "")).status, BeginStatus::ok);
    EXPECT_TRUE(end(client, end_of("t1", "")));
    run_until([&] { return !begun.empty() && !ended.empty() && !told.empty(); });

    EXPECT_EQ(begun[0].asked, (std::vector<std::int32_t>{11, 12}));
    ASSERT_EQ(begun[0].under_way.size(), 1U);
    EXPECT_EQ(begun[0].under_way[0].requests, 2);
    EXPECT_TRUE(ended[0].asked.empty()) << "nothing is asked as a turn ends";
    EXPECT_EQ(ended[0].under_way.size(), 1U);
    EXPECT_GT(ended[0].number, begun[0].number);
    const auto answered = std::find_if(told.begin(), told.end(),
                                       [](const ToldLoads& loads) { return !loads.other_requests.empty(); });
    ASSERT_NE(answered, told.end());
    EXPECT_EQ(answered->servers, (std::vector<std::int32_t>{11, 12}));
    EXPECT_EQ(answered->other_requests, (std::vector<std::int32_t>{4, 0}));
    EXPECT_GE(answered->age_ms, 70) << "its way is part of its age";
}

// Calls that are out when the client goes are harmless.
TEST_F(TurnClientTest, ClientThatGoesWithCallsOut) {
    {
        TurnClient brief(io_, calls_, {.zone = "a"});
        brief.set_map(map_);
        brief.begin(start_of("t1", ""), 1000,
                    [](const BegunTurn&) { ADD_FAILURE() << "the client has gone"; });
    }
    io_.run_for(std::chrono::milliseconds(20));
}

}  // namespace
}  // namespace whinledge::storage_plane
