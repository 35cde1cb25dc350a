// What other processes have under way at servers, as it is told: asked for, taken by its age, and used.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "listed_servers.hpp"
#include "placement/placement.hpp"

namespace whinledge::placement {
namespace {

using Keys = std::vector<std::uint32_t>;

constexpr Millis kNow = 1000;

std::uint32_t key(const std::string& server) { return static_cast<std::uint32_t>(name_hash(server)); }

Settings settings() {
    Settings s;
    s.zone = "here";
    return s;
}

struct World {
    Placement placement{settings()};
    explicit World(int near = 4, int far = 0) { placement.set_servers(listed_in_two_zones(near, far), kNow); }
    Estimate at(const std::string& server, Millis now = kNow) const {
        return estimate_at(placement, server, request(), now);
    }
    static Request request() { return {7, {{1, 1500}, {2, 500}}, {2000, 100}, 2000, 0}; }
    void tell(const std::string& server, int requests, Millis age, Millis now) {
        placement.others_told({{key(server), requests}}, age, now);
    }
    void tell_all(int requests, Millis age, Millis now = kNow) {
        std::vector<Placement::ServerRequests> all;
        for (int i = 1; i <= 4; ++i)
            all.push_back({key(std::string("n").append(std::to_string(i))), requests});
        placement.others_told(all, age, now);
    }
};

TEST(ToldLoads, AServerThatOthersKeepBusyCostsMore) {
    World world;
    world.tell_all(0, 0);
    const Millis idle = world.at("n2").total();
    world.tell("n2", 6, 0, kNow);
    EXPECT_GT(world.at("n2").total(), idle);
    EXPECT_LT(world.at("n1").total(), world.at("n2").total());
}

TEST(ToldLoads, AFullServerIsNoCandidateWhileOthersAreIdle) {
    World world;
    world.tell_all(0, 0);
    world.tell("n3", 20, 0, kNow);
    const auto names = world.placement.candidates(World::request(), kNow);
    ASSERT_FALSE(names.empty());
    EXPECT_EQ(std::count(names.begin(), names.end(), "n3"), 0);
}

TEST(ToldLoads, WhatIsOldTellsOfAllServersTogetherAlone) {
    World fresh, old;
    for (World* const world : {&fresh, &old}) {
        world->tell_all(4, 0);
        world->tell("n3", 8, 0, kNow);  // the mean stays
    }
    fresh.tell("n1", 0, 0, kNow);
    old.tell("n1", 0, 5000, kNow);
    const auto gained = [](const World& world) { return world.at("n2").total() - world.at("n1").total(); };
    EXPECT_GT(gained(fresh), 0);
    EXPECT_LT(gained(old), 0.01 * gained(fresh)) << "all processes would go there together";
}

TEST(ToldLoads, AreForgottenTowardsTheMean) {
    World world;
    world.tell_all(0, 0);
    world.tell("n1", 8, 0, kNow);
    const Millis now = world.at("n1", kNow).decode, later = world.at("n1", kNow + 20000).decode;
    EXPECT_LT(later, now);
}

TEST(ToldLoads, AnAgeThatCannotBeIsTakenAsNone) {
    World world;
    world.tell_all(0, 0);
    world.tell("n1", 8, -1000, kNow);
    World same;
    same.tell_all(0, 0);
    same.tell("n1", 8, 0, kNow);
    EXPECT_DOUBLE_EQ(world.at("n1").total(), same.at("n1").total());
    world.tell("n1", -8, 0, kNow);
    EXPECT_GE(world.at("n1").decode, 0);
}

TEST(ToldLoads, OfServersThatAreNotKnownHaveNoEffect) {
    World world;
    const Millis before = world.at("n1").total();
    world.tell("nobody", 8, 0, kNow);
    EXPECT_DOUBLE_EQ(world.at("n1").total(), before);
}

// Three zones of four servers of 8 slots each, as a process of the first sees them.
struct Zones {
    Placement placement{settings()};
    Zones() {
        std::vector<ListedServer> all;
        for (const char* zone : {"here", "there", "yonder"})
            for (int i = 1; i <= 4; ++i)
                all.push_back({std::string(zone).append(std::to_string(i)), zone, false, 0, 8});
        placement.set_servers(all, kNow);
    }
    void tell(const std::string& zone, int requests, Millis now) {
        std::vector<Placement::ServerRequests> all;
        for (int i = 1; i <= 4; ++i)
            all.push_back({key(std::string(zone).append(std::to_string(i))), requests});
        placement.others_told(all, 0, now);
    }
    // Zones of the best servers of so many new programs.
    std::set<std::string> used(Millis now) {
        std::set<std::string> zones;
        for (std::uint64_t program = 1; program <= 40; ++program) {
            Request request{7, {{1, 1500}, {1000 + program, 500}}, {2000, 100}, 2000, program};
            request.program = program;
            const std::string best = placement.candidates(request, now).front();
            zones.insert(best.substr(0, best.size() - 1));
        }
        return zones;
    }
};

using ZoneNames = std::set<std::string>;

TEST(ToldLoads, AZoneAtTwiceItsSlotsSendsOnToThoseWithRoomAndHasItsProgramsBack) {
    Zones zones;
    for (const char* zone : {"here", "there", "yonder"}) zones.tell(zone, 2, kNow);
    EXPECT_EQ(zones.used(kNow), ZoneNames{"here"});
    zones.tell("here", 16, kNow + 100);
    EXPECT_FALSE(zones.used(kNow + 100).contains("here"));
    zones.tell("here", 2, kNow + 200);
    EXPECT_EQ(zones.used(kNow + 200), ZoneNames{"here"}) << "as soon as it is told";
}

TEST(ToldLoads, OfThreeZonesWithTwoFullTheThirdIsUsed) {
    Zones zones;
    zones.tell("here", 16, kNow);
    zones.tell("there", 16, kNow);
    zones.tell("yonder", 2, kNow);
    EXPECT_EQ(zones.used(kNow), ZoneNames{"yonder"});
}

TEST(ToldLoads, WhereAllZonesAreFullAlikeProgramsStay) {
    Zones zones;
    for (const char* zone : {"here", "there", "yonder"}) zones.tell(zone, 16, kNow);
    EXPECT_EQ(zones.used(kNow), ZoneNames{"here"});
}

TEST(ToldLoads, WithNothingToldProgramsStay) {
    Zones zones;
    EXPECT_EQ(zones.used(kNow), ZoneNames{"here"});
}

TEST(ToldLoads, OwnRequestsAreThoseThatAreOut) {
    World world;
    EXPECT_TRUE(world.placement.own_requests().empty());
    world.placement.sent(1, "n1", World::request(), kNow);
    world.placement.sent(2, "n1", World::request(), kNow);
    world.placement.sent(3, "n4", World::request(), kNow);
    world.placement.ended(3, true, kNow + 5);
    const auto own = world.placement.own_requests();
    ASSERT_EQ(own.size(), 1U);
    EXPECT_EQ(own[0].server, key("n1"));
    EXPECT_EQ(own[0].requests, 2);
}

TEST(ToldLoads, OwnRequestsAtAServerThatIsGoneEndWithThem) {
    World world;
    world.placement.sent(1, "n1", World::request(), kNow);
    world.placement.set_servers(listed_in_two_zones(0, 2), kNow);
    EXPECT_EQ(world.placement.own_requests().size(), 1U);
    world.placement.ended(1, true, kNow + 5);
    world.placement.ended(1, true, kNow + 6);
    EXPECT_TRUE(world.placement.own_requests().empty());
}

TEST(ToldLoads, ServersOfTheOwnZoneAreAskedForFirst) {
    World world(3, 5);
    const Keys asked = world.placement.servers_to_ask(3);
    EXPECT_EQ(std::set<std::uint32_t>(asked.begin(), asked.end()),
              (std::set<std::uint32_t>{key("n1"), key("n2"), key("n3")}));
}

TEST(ToldLoads, OfManyServersAllAreAskedForInTurns) {
    World world(2, 40);
    std::set<std::uint32_t> asked;
    for (int i = 0; i < 42; ++i) {
        const Keys now = world.placement.servers_to_ask(8);
        EXPECT_EQ(now.size(), 8U);
        asked.insert(now.begin(), now.end());
    }
    EXPECT_EQ(asked.size(), 42U);
}

TEST(ToldLoads, OfNoServersNoneIsAskedFor) {
    EXPECT_TRUE(Placement{}.servers_to_ask(8).empty());
    World world(1);
    world.placement.set_servers({{"n1", "here", true, 0, 8}}, kNow);
    EXPECT_TRUE(world.placement.servers_to_ask(8).empty()) << "it drains";
}

}  // namespace
}  // namespace whinledge::placement
