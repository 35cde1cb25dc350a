// Each mechanism of the choice can be switched off alone, by name, and then has no effect.
#include "placement/mechanisms.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "listed_servers.hpp"
#include "placement/placement.hpp"

namespace whinledge::placement {
namespace {

constexpr Millis kNow = 1000;

Settings settings_without(const std::vector<std::string>& names) {
    Settings settings;
    settings.zone = "here";
    settings.mechanisms = all_without(names).value();
    return settings;
}

Request turn() {
    Request request{7, {{1, 1500}, {2, 500}}, {2000, 100}, 2000, 0};
    request.line = request.program = 5;
    return request;
}

class MechanismSwitches : public ::testing::Test {
protected:
    static Placement placement(const std::vector<std::string>& without,
                               std::vector<ListedServer> list = listed_in_two_zones(2, 2)) {
        Placement made(settings_without(without));
        made.set_servers(list, kNow);
        return made;
    }
    static Estimate at(const Placement& placement, const std::string& server, Millis now = kNow) {
        return estimate_at(placement, server, turn(), now);
    }
    // Many requests at one server, none of which has begun.
    static void crowd(Placement& placement, const std::string& server, int requests) {
        for (int i = 0; i < requests; ++i)
            placement.sent(next_send(), server, {7, {{100 + std::uint64_t(i), 20000}}, {20000, 100}, 2000, 0},
                           kNow);
    }
    static SendId next_send() {
        static SendId next = 1;
        return next++;
    }
};

TEST(Mechanisms, AreAllOnWithoutNames) { EXPECT_EQ(all_without({}).value(), Mechanisms()); }

TEST(Mechanisms, AreSwitchedOffByName) {
    const std::vector<std::string> names{"homes", "told-load"};
    Mechanisms wanted;
    wanted.homes = false;
    wanted.told_load = false;
    EXPECT_EQ(all_without(names).value(), wanted);
}

TEST(Mechanisms, AnUnknownNameIsRefusedWithThoseThatThereAre) {
    const std::vector<std::string> names{"homes", "houses"};
    const auto read = all_without(names);
    ASSERT_FALSE(read);
    EXPECT_NE(read.error().message.find("'houses' is no mechanism"), std::string::npos);
    EXPECT_NE(read.error().message.find("homes"), std::string::npos);
}

TEST_F(MechanismSwitches, WithoutCandidatesAnyServerWillDo) {
    Placement on = placement({}), off = placement({"candidates"});
    EXPECT_FALSE(on.candidates(turn(), kNow).empty());
    EXPECT_TRUE(off.candidates(turn(), kNow).empty());
}

TEST_F(MechanismSwitches, WithoutKeptPartsAllIsReadAnew) {
    for (const bool on : {true, false}) {
        Placement tried = placement(on ? std::vector<std::string>{} : std::vector<std::string>{"kept-parts"});
        const SendId id = next_send();
        tried.sent(id, "n1", turn(), kNow);
        tried.began(id, kNow + 50);
        tried.ended(id, true, kNow + 60);
        EXPECT_EQ(at(tried, "n1", kNow + 70).prefill < at(tried, "n2", kNow + 70).prefill, on);
    }
}

TEST_F(MechanismSwitches, WithoutHoldersAnyMayReadASharedStart) {
    const std::vector<ListedServer> many = listed_servers("m", 12, "here");
    const auto strayed = [&](const Placement& tried) {
        const auto all = tried.estimates({7, {{1, 1500}, {2, 500}}, {2000, 100}, 2000, 0}, kNow);
        return std::count_if(all.begin(), all.end(), [](const Estimate& e) { return e.strayed > 0; });
    };
    EXPECT_GT(strayed(placement({}, many)), 0);
    EXPECT_EQ(strayed(placement({"holders"}, many)), 0);
}

TEST_F(MechanismSwitches, WithoutHomesNoServerIsAwayFromThem) {
    const auto away = [](const Placement& tried) {
        return at(tried, "n1").strayed + at(tried, "n2").strayed;
    };
    EXPECT_GT(away(placement({})), away(placement({"homes"})));
}

TEST_F(MechanismSwitches, WithoutCrossingZonesAreAlike) {
    EXPECT_GT(at(placement({}), "f1").crossing, 0);
    EXPECT_EQ(at(placement({"crossing"}), "f1").crossing, 0);
}

TEST_F(MechanismSwitches, WithoutCrowdingAndQueueAFullServerCostsItsReadingAlone) {
    Placement on = placement({}), off = placement({"crowding", "queue"});
    crowd(on, "n1", 12);
    crowd(off, "n1", 12);
    EXPECT_GT(at(on, "n1").queue, 0);
    EXPECT_GT(at(on, "n1").decode, at(off, "n1").decode);
    EXPECT_EQ(at(off, "n1").queue, 0);
    EXPECT_EQ(at(off, "n1").decode, at(off, "n2").decode);
}

TEST_F(MechanismSwitches, WithoutToldLoadOwnRequestsAloneCount) {
    Placement on = placement({}), off = placement({"told-load"});
    for (Placement* tried : {&on, &off}) {
        tried->load_seen("n1", {8, 12, 8}, kNow);
        tried->others_told({{static_cast<std::uint32_t>(name_hash("n2")), 20}}, 0, kNow);
    }
    EXPECT_GT(at(on, "n1").queue, 0);
    EXPECT_GT(at(on, "n2").queue, 0);
    EXPECT_EQ(at(off, "n1").queue, 0);
    EXPECT_EQ(at(off, "n2").queue, 0);
}

TEST_F(MechanismSwitches, WithoutColdANewServerIsAsAnyOther) {
    const std::vector<ListedServer> list{{"n1", "here", false, 5000, 8}, {"n2", "here", false, 0, 8}};
    EXPECT_GT(at(placement({}, list), "n1").decode, at(placement({}, list), "n2").decode);
    EXPECT_EQ(at(placement({"cold"}, list), "n1").decode, at(placement({"cold"}, list), "n2").decode);
}

TEST_F(MechanismSwitches, WithoutSilenceAServerThatHangsIsAsAnyOther) {
    Placement on = placement({}), off = placement({"silence"});
    for (Placement* tried : {&on, &off}) {
        for (int i = 0; i < 10; ++i) {
            const SendId id = next_send();
            tried->sent(id, "n2", turn(), kNow);
            tried->began(id, kNow + 50);
            tried->ended(id, true, kNow + 60);
        }
        tried->sent(next_send(), "n1", turn(), kNow + 100);
    }
    const Millis later = kNow + 5000;
    EXPECT_GT(at(on, "n1", later).silence, 0);
    EXPECT_EQ(at(off, "n1", later).silence, 0);
}

TEST_F(MechanismSwitches, AreSwitchedWhileItRunsAndWhatIsKnownStays) {
    Placement tried = placement({});
    crowd(tried, "n1", 12);
    tried.set_mechanisms(all_without(std::vector<std::string>{"queue"}).value());
    EXPECT_EQ(at(tried, "n1").queue, 0);
    tried.set_mechanisms({});
    EXPECT_GT(at(tried, "n1").queue, 0);
}

}  // namespace
}  // namespace whinledge::placement
