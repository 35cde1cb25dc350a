// Input that is out of the ordinary: wrong settings, events about unknown things, steps of time, ids of any
// number.
#include <cmath>

#include "unit/balancer_rig.hpp"

namespace kestrelhall::test {
namespace {

TEST(Settings, NonsenseIsNamed) {
    const auto complaint = [](auto change) -> std::string {
        Settings s = make_settings();
        change(s);
        try {
            Balancer balancer(s, 1);
        } catch (const std::invalid_argument& error) {
            return error.what();
        }
        return "";
    };
    EXPECT_EQ(complaint([](Settings&) {}), "");
    EXPECT_NE(complaint([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.classes[0].aim = 0; }).find("classes[0].aim"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.classes[0].aim = NAN; }).find("aim"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.classes[0].worth = -1; }).find("worth"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.cold_from = -0.1; }).find("cold_from"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.warm_within = INFINITY; }).find("warm_within"),
              std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.classes[0].zones.emplace(); }).find("zones"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.classes[0].kinds.emplace(); }).find("kinds"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.ask_within = -1; }).find("ask_within"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.tenant_shares = {-1}; }).find("tenant_shares"),
              std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.over_share_worth = 2; }).find("over_share"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.siblings = 0; }).find("siblings"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.max_attempts = 0; }).find("max_attempts"), std::string::npos);
}

TEST(Ignored, EventsAboutUnknownThingsHaveNoEffect) {
    Rig rig(make_settings());
    rig.list(ListKind::full, make_servers(2));
    for (const Event& event :
         std::vector<Event>{AttemptEnded{77, 0, Outcome::errored, 1, false}, ClientGone{77}, FirstByte{77, 3},
                            TimerFired{999}, ProbeEnded{55}, PeerMessage{}}) {
        rig.give(event);
        EXPECT_TRUE(rig.last.empty());
    }
    const RequestId id = rig.request();
    rig.give(AttemptEnded{id, 9, Outcome::errored, 1, false});
    EXPECT_TRUE(rig.last.empty());
    rig.end(id, Outcome::completed);
    rig.give(AttemptEnded{id, 0, Outcome::errored, 1, false});
    EXPECT_TRUE(rig.last.empty());
}

TEST(Clock, StepsOfZeroAndOfMinutesAreSurvived) {
    Rig rig(make_settings());
    rig.list(ListKind::full, make_servers(3));
    for (int i = 0; i < 50; ++i) one(rig, Outcome::completed, 0);
    const RequestId id = rig.request();
    rig.now += 600000;
    rig.requests.at(id).gone = true;
    rig.give(ClientGone{id});
    rig.end(id, Outcome::overdue, 0);
    EXPECT_GT(one(rig, Outcome::completed, 10), 0U);
}

// Found on reading: the number 0 stood for the list's timer.
TEST(Ids, AnyNumberNamesARequest) {
    Rig rig(make_settings());
    rig.next_id = 0;
    rig.request(0, 500);
    rig.settle();
}

}  // namespace
}  // namespace kestrelhall::test
