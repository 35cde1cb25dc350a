// What a request would cost at each server, and who is worth it.
#include "placement/placement.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "listed_servers.hpp"

namespace whinledge::placement {
namespace {

using Names = std::vector<std::string>;

std::vector<ListedServer> servers(int count) { return listed_servers("s", count, "here"); }

Settings plain() {
    Settings s;
    s.zone = "here";
    s.prefill_tokens_per_ms = 30;
    s.crowded_step_ms = 6;
    s.memory_tokens = 20000;
    return s;
}

// 3000 tokens: 1500 that others share, 1500 of its own.
Request prompt(std::uint64_t start, std::uint64_t own) {
    return {7, {{start, 1500}, {own, 1500}}, {3000, 50}, 12000, 0};
}

struct World {
    Placement placement{plain()};
    Millis now = 1000;
    SendId next = 1;

    explicit World(int count = 4) { placement.set_servers(servers(count), now); }
    SendId send(const std::string& server, const Request& request) {
        placement.sent(next, server, request, now);
        return next++;
    }
    void serve(const std::string& server, const Request& request) {
        const SendId id = send(server, request);
        placement.began(id, now += 100);
        placement.ended(id, true, now += 300);
    }
    Estimate at(const std::string& server, const Request& request) const {
        return estimate_at(placement, server, request, now);
    }
    Names ask(const Request& request) { return placement.candidates(request, now); }
};

TEST(Placement, SaysNothingWhereNothingIsTold) {
    World world;
    EXPECT_TRUE(world.ask({}).empty());
    EXPECT_TRUE(Placement{}.candidates(prompt(1, 2), 0).empty()) << "no servers";
}

TEST(Placement, PrefillIsWhatIsNotKept) {
    World world;
    EXPECT_DOUBLE_EQ(world.at("s2", prompt(1, 2)).prefill, 100);
    world.serve("s2", prompt(1, 2));
    EXPECT_DOUBLE_EQ(world.at("s2", prompt(1, 2)).prefill, 0);
    EXPECT_DOUBLE_EQ(world.at("s2", prompt(1, 3)).prefill, 50) << "the start is kept";
    EXPECT_DOUBLE_EQ(world.at("s2", prompt(3, 2)).prefill, 100) << "not without what is before it";
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).prefill, 100);
    Request other = prompt(1, 2);
    other.model = 8;
    EXPECT_DOUBLE_EQ(world.at("s2", other).prefill, 100) << "another model reads it anew";
}

TEST(Placement, ASessionGoesWhereItsPromptIsKept) {
    World world;
    world.serve("s3", prompt(1, 2));
    EXPECT_EQ(world.ask(prompt(1, 2)), Names{"s3"}) << "the next is dearer by 50 ms of reading";
}

TEST(Placement, WhatNeverRanIsNotKept) {
    World world;
    world.serve("s3", prompt(1, 2));
    world.placement.ended(world.send("s3", prompt(1, 9)), false, world.now);
    EXPECT_DOUBLE_EQ(world.at("s3", prompt(1, 9)).prefill, 50);
    EXPECT_DOUBLE_EQ(world.at("s3", prompt(1, 2)).prefill, 0) << "what was kept before still is";
}

TEST(Placement, ForgetsAServerWithItsId) {
    World world;
    world.serve("s3", prompt(1, 2));
    world.placement.set_servers(servers(2), world.now);
    world.placement.set_servers(servers(4), world.now);
    EXPECT_DOUBLE_EQ(world.at("s3", prompt(1, 2)).prefill, 100);
}

TEST(Placement, KeepsWhatItKnowsOverAnUnchangedList) {
    World world;
    world.serve("s3", prompt(1, 2));
    world.placement.set_servers(servers(6), world.now);
    EXPECT_DOUBLE_EQ(world.at("s3", prompt(1, 2)).prefill, 0);
}

TEST(Placement, MemoryHoldsTheLatestParts) {
    World world;  // 20000 tokens
    for (std::uint64_t own = 100; own < 130; ++own) world.serve("s1", prompt(1, own));
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 129)).prefill, 0);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 100)).prefill, 50) << "its own part has given way";
}

// Many processes send to a server: what one of them sent is read anew elsewhere, but may well be kept there.
TEST(Placement, OthersLoadIsNoReasonToLeaveWhatIsKept) {
    World world;
    for (int i = 0; i < 200; ++i) {  // 1 in 8 of what runs is ours
        const SendId id = world.send("s1", prompt(1, 500));
        world.placement.load_seen("s1", {7, 0, 80}, world.now);
        world.placement.ended(id, true, world.now += 10);
    }
    for (std::uint64_t own = 2; own < 12; ++own) world.serve("s1", prompt(1, own));
    for (std::uint64_t own = 2; own < 12; ++own) {
        EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, own)).prefill, 0) << own;
        EXPECT_EQ(world.ask(prompt(1, own)).front(), "s1") << own;
    }
}

TEST(Placement, WhatIsStillToBeReadIsAhead) {
    World world;
    const SendId id = world.send("s1", prompt(1, 2));
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(5, 6)).prefill, 200);
    world.placement.began(id, world.now);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(5, 6)).prefill, 100);
    world.placement.ended(id, true, world.now);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(5, 6)).prefill, 100);
}

TEST(Placement, RunningRequestsSlowAnAnswerDown) {
    World world;
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).decode, 300);
    world.placement.load_seen("s1", {4, 0, 8}, world.now);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).decode, 450);
    world.placement.load_seen("s1", {8, 5, 8}, world.now);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).decode, 600) << "no more than all slots run";
}

TEST(Placement, ALoadSeenCountsOursOnce) {
    World world;
    world.send("s1", prompt(1, 2));
    world.send("s1", prompt(1, 2));
    world.placement.load_seen("s1", {4, 0, 8}, world.now);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).decode, 450);
}

TEST(Placement, AnOldLoadSaysLittle) {
    World world(2);
    world.placement.load_seen("s1", {8, 0, 8}, world.now);
    for (int i = 0; i < 50; ++i) world.placement.load_seen("s2", {0, 0, 8}, world.now += 10);
    EXPECT_GT(world.at("s1", prompt(1, 2)).decode, 500);
    world.now += 20000;
    EXPECT_LT(world.at("s1", prompt(1, 2)).decode, 320);
}

TEST(Placement, FullSlotsMeanAQueue) {
    World world;
    EXPECT_EQ(world.at("s1", prompt(1, 2)).queue, 0);
    for (int i = 0; i < 8; ++i) world.send("s1", prompt(1, 2));
    const Millis first = world.at("s1", prompt(1, 2)).queue;
    EXPECT_GT(first, 0);
    for (int i = 0; i < 8; ++i) world.send("s1", prompt(1, 2));
    EXPECT_GT(world.at("s1", prompt(1, 2)).queue, 5 * first);
}

TEST(Placement, ASessionLeavesAServerThatHasAQueue) {
    World world;
    world.serve("s3", prompt(1, 2));
    for (int i = 0; i < 16; ++i) world.send("s3", prompt(1, 2));
    const Names names = world.ask(prompt(1, 2));
    EXPECT_GE(names.size(), 2U);
    EXPECT_EQ(std::count(names.begin(), names.end(), "s3"), 0);
}

TEST(Placement, CrossingAZoneCostsByItsBytes) {
    World world(1);
    auto two = servers(2);
    two[1].zone = "there";
    world.placement.set_servers(two, world.now);
    EXPECT_EQ(world.at("s1", prompt(1, 2)).crossing, 0);
    const Millis small = world.at("s2", prompt(1, 2)).crossing;
    Request large = prompt(1, 2);
    large.bytes = 1000000;
    EXPECT_GT(small, 0);
    EXPECT_GT(world.at("s2", large).crossing, 10 * small);
    EXPECT_EQ(world.ask(large), Names{"s1"});
}

// Three servers in each of two zones.
std::vector<ListedServer> two_zones() {
    auto list = servers(6);
    for (std::size_t i = 3; i < list.size(); ++i) list[i].zone = "there";
    return list;
}

TEST(Placement, NewLinesStayInTheirZone) {
    World world(1);
    world.placement.set_servers(two_zones(), world.now);
    std::set<std::string> used;
    for (std::uint64_t line = 1; line <= 200; ++line) {
        Request turn = prompt(1 + line % 16, 1000 + line);
        turn.line = line;
        const Names names = world.ask(turn);
        ASSERT_FALSE(names.empty());
        used.insert(names.begin(), names.end());
        world.serve(names[line % names.size()], turn);
    }
    EXPECT_EQ(used, (std::set<std::string>{"s1", "s2", "s3"}));
}

TEST(Placement, AStartSpreadsInItsZoneFirst) {
    World world(1);
    auto list = servers(24);
    for (std::size_t i = 12; i < list.size(); ++i) list[i].zone = "there";
    world.placement.set_servers(list, world.now);
    for (std::uint64_t own = 1; own <= 300; ++own) {
        const Request turn = prompt(1 + own % 8, 1000 + own);
        for (const Estimate& e : world.placement.estimates(turn, world.now))
            EXPECT_TRUE(e.crossing == 0 || e.strayed > 0) << e.server;
    }
}

TEST(Placement, ALinesHomeSharesItsStart) {
    for (std::uint64_t line = 1; line <= 40; ++line) {
        World world(12), other(12);
        Request turn = prompt(1 + line % 5, 1000 + line);
        turn.tokens.most_out = 20;
        turn.line = line;
        const Names idle = world.ask(turn);
        ASSERT_FALSE(idle.empty());
        EXPECT_EQ(world.at(idle.front(), turn).strayed, 0) << line;
        other.send(idle.front(), {7, {}, {0, 20}, 0, 0});  // 15 ms of a crowd are no reason to leave it
        EXPECT_EQ(other.ask(turn).front(), idle.front()) << line;
    }
}

TEST(Placement, ALineLeavesAZoneThatIsFull) {
    World world(1);
    world.placement.set_servers(two_zones(), world.now);
    for (const char* server : {"s1", "s2", "s3"})
        for (std::uint64_t own = 0; own < 9; ++own) world.send(server, prompt(1, 100 + own));
    Request turn = prompt(1, 2);
    turn.line = 5;
    for (const std::string& name : world.ask(turn)) EXPECT_GE(name, "s4");
}

TEST(Placement, ALineStaysWhereItIsKeptInAnotherZone) {
    World world(1);
    world.placement.set_servers(two_zones(), world.now);
    Request turn = prompt(1, 2);
    turn.line = 5;
    world.serve("s5", turn);  // 100 ms of reading
    EXPECT_EQ(world.ask(turn), Names{"s5"});
}

TEST(Placement, WhoDrainsIsNoCandidate) {
    World world;
    world.serve("s1", prompt(1, 2));
    auto list = servers(4);
    list[0].draining = true;
    world.placement.set_servers(list, world.now);
    const Names names = world.ask(prompt(1, 2));
    EXPECT_FALSE(names.empty());
    EXPECT_EQ(std::count(names.begin(), names.end(), "s1"), 0);
    for (ListedServer& server : list) server.draining = true;
    world.placement.set_servers(list, world.now);
    EXPECT_TRUE(world.ask(prompt(1, 2)).empty());
}

TEST(Placement, AColdServerTakesLongerUntilItIsWarm) {
    World world;
    auto list = servers(4);
    list[0].cold_left_ms = 6000;
    world.placement.set_servers(list, world.now);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).prefill, 200);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).decode, 600);
    world.now += 6000;
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).prefill, 100);
}

TEST(Placement, TwoAreWorthItWhereTheSecondCostsLittleMore) {
    World world;
    const Request small{7, {{1, 30}, {2, 300}}, {330, 20}, 2000, 0};
    world.serve("s3", small);  // 11 ms of reading: no reason to send all of it there
    const Names names = world.ask(small);
    ASSERT_GE(names.size(), 2U);
    EXPECT_EQ(names.front(), "s3");
}

TEST(Placement, ALineHasOneHomeAtEveryProcess) {
    std::set<std::string> homes;
    for (std::uint64_t line = 1; line <= 40; ++line) {
        Request turn = prompt(1, 1000 + line);
        turn.line = line;
        World one(6), other(6);
        for (std::uint64_t own = 50; own < 60; ++own) other.serve("s2", prompt(77, own));
        const Names a = one.ask(turn), b = other.ask(turn);
        ASSERT_FALSE(a.empty());
        ASSERT_FALSE(b.empty());
        EXPECT_EQ(a.front(), b.front()) << line;
        homes.insert(a.front());
    }
    EXPECT_GE(homes.size(), 2U);
}

TEST(Placement, AFirstRequestWithNothingLearnedStaysInItsZone) {
    World world;
    std::vector<ListedServer> list = servers(4);
    list[2].zone = list[3].zone = "there";
    world.placement.set_servers(list, world.now);
    const Names names = world.ask(prompt(1, 10));
    ASSERT_EQ(names.size(), 2U);
    EXPECT_EQ(std::set<std::string>(names.begin(), names.end()), (std::set<std::string>{"s1", "s2"}));
}

// Nine servers, released three at a time, each wave by three new ones: a line is served by one that stays,
// and stays with it until that one is released itself.
TEST(Placement, LinesOfServersThatAreReleasedInWavesMoveOnceForEachRelease) {
    constexpr std::size_t kServers = 9, kWave = 3;
    World world(kServers);
    std::vector<ListedServer> list = servers(kServers);
    Request turn = prompt(1, 1001);
    turn.line = turn.program = 5;
    std::string serving = world.ask(turn).front();
    world.serve(serving, turn);
    for (std::size_t wave = 0; wave < kServers / kWave; ++wave) {
        std::set<std::string> draining;
        for (std::size_t i = 0; i < kWave; ++i) {
            list[wave * kWave + i].draining = true;
            draining.insert(list[wave * kWave + i].id);
        }
        world.placement.set_servers(list, world.now);
        for (int i = 0; i < 3; ++i) {
            const Names names = world.ask(turn);
            ASSERT_FALSE(names.empty());
            for (const std::string& name : names) EXPECT_FALSE(draining.contains(name)) << name;
            if (!draining.contains(serving)) {
                EXPECT_EQ(names.front(), serving);
            }
            serving = names.front();
            world.serve(serving, turn);
        }
        for (std::size_t i = 0; i < kWave; ++i) {
            ListedServer& server = list[wave * kWave + i];
            server.id.append("-new");
            server.draining = false;
        }
        world.placement.set_servers(list, world.now);
        EXPECT_EQ(world.ask(turn).front(), serving);
    }
}

TEST(Placement, EventsOfWhatIsNotKnownHaveNoEffect) {
    World world;
    world.placement.sent(1, "nobody", prompt(1, 2), 0);
    world.placement.began(1, 0);
    world.placement.ended(1, true, 0);
    world.placement.load_seen("nobody", {8, 8, 8}, 0);
    EXPECT_EQ(world.placement.sends(), 0U);
    EXPECT_DOUBLE_EQ(world.at("s1", prompt(1, 2)).total(), world.at("s1", prompt(1, 2)).total());
}

TEST(Placement, AnEndAfterItsServerIsGoneIsForgotten) {
    World world;
    const SendId id = world.send("s4", prompt(1, 2));
    world.placement.set_servers(servers(2), world.now);
    world.placement.ended(id, true, world.now);
    EXPECT_EQ(world.placement.sends(), 0U);
}

}  // namespace
}  // namespace whinledge::placement
