// The checker is shown what must fail: a condition that holds for one record does not for the same one with a
// wrong event in it.
#include "fleet/checks.hpp"

#include <gtest/gtest.h>

#include "fleet/report.hpp"
#include "fleet/rig.hpp"

namespace whinledge::fleetrig {
namespace {

constexpr Millis kZero = 1000, kPeriod = 100;

Experiment experiment(const std::string& conditions) {
    return parse_experiment(
        "title = \"planted\"\nmembers = 3\nservers = 1\nprobe_period = \"100ms\"\n" + conditions,
        "planted.toml");
}

// Three members that have settled by kZero.
class Story {
public:
    explicit Story(const Experiment& e) : experiment_(e), record_(e.cast()) {
        for (Node n = 0; n < 3; ++n) {
            record_.add({0, Lived{n, Life::started, 0}});
            record_.add({100, Lived{n, Life::up, 0}});
            for (Member m = 0; m < 3; ++m) hold(200, n, m, Belief::alive);
            record_.add({300, Stood{n, "joined"}});
        }
    }
    // Times of the experiment, in P.
    Story& hold(Millis at, Node node, Member member, Belief belief, std::uint64_t life = 7) {
        record_.add({at, Held{node, member, belief, life, false, 0, false}});
        return *this;
    }
    template <class What>
    Story& add(double periods, What what) {
        record_.add({kZero + periods * kPeriod, std::move(what)});
        return *this;
    }
    Story& held(double periods, Node node, Member member, Belief belief, std::uint64_t life = 7) {
        return hold(kZero + periods * kPeriod, node, member, belief, life);
    }
    std::vector<Result> results(double end = 100) const {
        Checks checks(experiment_, record_, kZero);
        checks.pass_time(kZero + end * kPeriod);
        return checks.results();
    }
    bool passes(double end = 100) const { return results(end).at(0).passed; }
    bool waits(double at) const { return Checks(experiment_, record_, kZero).wait(kZero + at * kPeriod); }
    const Record& record() const { return record_; }

private:
    const Experiment& experiment_;
    Record record_;
};

TEST(FleetChecks, AllHoldWantsEachObserverWithinTheTime) {
    const Experiment e = experiment(
        "[[condition]]\nwant = \"all_hold\"\nmembers = \"s3\"\nstate = \"failed\"\nafter = \"2P\"\nwithin = "
        "\"15P\"\n");
    struct Killed : Story {
        explicit Killed(const Experiment& e) : Story(e) { add(2, Lived{2, Life::killed, 0}); }
    };
    EXPECT_TRUE(Killed(e).held(8, 0, 2, Belief::failed).held(9, 1, 2, Belief::failed).passes());
    EXPECT_FALSE(Killed(e).held(8, 0, 2, Belief::failed).passes());
    EXPECT_FALSE(Killed(e).held(8, 0, 2, Belief::failed).held(18, 1, 2, Belief::failed).passes());
    EXPECT_FALSE(Killed(e).held(8, 0, 2, Belief::failed).held(9, 1, 2, Belief::left).passes());
    // At no time both.
    EXPECT_FALSE(Killed(e)
                     .held(8, 0, 2, Belief::failed)
                     .held(9, 0, 2, Belief::alive)
                     .held(9, 1, 2, Belief::failed)
                     .passes());
    EXPECT_TRUE(Killed(e).held(8, 0, 2, Belief::failed).waits(9));
    EXPECT_FALSE(Killed(e).held(8, 0, 2, Belief::failed).waits(18));
}

TEST(FleetChecks, WhoIsDownOrStandsStillIsNoObserver) {
    const Experiment e = experiment(
        "[[condition]]\nwant = \"all_hold\"\nmembers = \"s3\"\nstate = \"failed\"\nwithin = \"15P\"\n");
    Story still(e);
    still.add(0, Lived{2, Life::killed, 0}).add(1, Lived{1, Life::stopped, 0}).held(8, 0, 2, Belief::failed);
    EXPECT_TRUE(still.passes());
    Story all_down(e);
    for (Node n = 0; n < 3; ++n) all_down.add(1, Lived{n, Life::killed, 0});
    EXPECT_FALSE(all_down.passes());
}

TEST(FleetChecks, NeverSeesOneWrongEvent) {
    const Experiment e = experiment(
        "[[condition]]\nwant = \"never\"\nstate = \"failed\"\nmembers = [\"s1\", \"s2\"]\nafter = "
        "\"1P\"\nwithin = \"20P\"\n");
    EXPECT_TRUE(Story(e).held(3, 0, 1, Belief::suspect).held(4, 0, 1, Belief::alive).passes());
    EXPECT_FALSE(Story(e).held(3, 0, 1, Belief::failed).held(3.1, 0, 1, Belief::alive).passes());
    EXPECT_TRUE(Story(e).held(3, 0, 2, Belief::failed).passes());   // of another
    EXPECT_TRUE(Story(e).held(22, 0, 1, Belief::failed).passes());  // later
    EXPECT_FALSE(
        Story(e).held(0.5, 0, 1, Belief::failed).held(2, 1, 2, Belief::alive).passes());  // from before
}

TEST(FleetChecks, ViewsAreEqualOnlyByStateAndLife) {
    const Experiment e =
        experiment("[[condition]]\nwant = \"views_equal\"\nafter = \"1P\"\nwithin = \"10P\"\n");
    EXPECT_TRUE(Story(e).passes());
    EXPECT_FALSE(Story(e).held(1, 0, 2, Belief::failed).passes());
    EXPECT_FALSE(Story(e).held(1, 0, 2, Belief::alive, 8).passes());
    EXPECT_TRUE(Story(e).held(1, 0, 2, Belief::suspect).passes());
    EXPECT_TRUE(Story(e).held(1, 0, 2, Belief::failed).held(6, 1, 2, Belief::failed).passes());
    EXPECT_FALSE(Story(e).held(1, 0, 2, Belief::failed).held(12, 1, 2, Belief::failed).passes());
    // For a moment alone.
    EXPECT_FALSE(Story(e)
                     .held(0.5, 0, 2, Belief::failed)
                     .held(5, 1, 2, Belief::failed)
                     .held(5.5, 1, 2, Belief::alive)
                     .passes());
}

TEST(FleetChecks, Standings) {
    const Experiment ever = experiment(
        "[[condition]]\nwant = \"standing\"\nwho = [\"s1\", \"s2\"]\nstanding = \"minority\"\nwithin = "
        "\"5P\"\n");
    EXPECT_TRUE(Story(ever).add(1, Stood{0, "minority"}).add(4, Stood{1, "minority"}).passes());
    EXPECT_FALSE(Story(ever).add(1, Stood{0, "minority"}).passes());
    EXPECT_FALSE(Story(ever).add(1, Stood{0, "minority"}).add(6, Stood{1, "minority"}).passes());
    const Experiment never =
        experiment("[[condition]]\nwant = \"never_standing\"\nwho = \"s1\"\nstanding = \"minority\"\n");
    EXPECT_TRUE(Story(never).add(1, Stood{1, "minority"}).passes());
    EXPECT_FALSE(Story(never).add(1, Stood{0, "minority"}).add(1.1, Stood{0, "joined"}).passes());
}

Called call(Node node, double sent, int status) { return {node, "1", "GET", kZero + sent * kPeriod, status}; }

TEST(FleetChecks, ClientsCountWhileTheirMemberRuns) {
    const Experiment e = experiment("[[condition]]\nwant = \"answered\"\n");
    EXPECT_TRUE(Story(e).add(2, call(0, 1, 200)).passes());
    EXPECT_FALSE(Story(e).passes()) << "nobody asked";
    EXPECT_FALSE(Story(e).add(2, call(0, 1, 200)).add(3, call(1, 2, 0)).passes());
    EXPECT_FALSE(Story(e).add(2, call(0, 1, 200)).add(3, call(1, 2, 503)).passes());
    EXPECT_TRUE(
        Story(e).add(2, call(0, 1, 200)).add(3, Lived{1, Life::killed, 0}).add(3, call(1, 2, 0)).passes());
    EXPECT_TRUE(Story(e)
                    .add(2, call(0, 1, 200))
                    .add(3, Lived{1, Life::stopped, 0})
                    .add(5, Lived{1, Life::continued, 0})
                    .add(6, call(1, 2, 0))
                    .passes());
}

TEST(FleetChecks, AChangeReachesServersOnce) {
    const Experiment e = experiment("[[condition]]\nwant = \"no_repeats\"\n");
    EXPECT_TRUE(Story(e)
                    .add(1, Served{0, "a", "POST"})
                    .add(2, Served{0, "b", "POST"})
                    .add(2, Served{0, "c", "GET"})
                    .add(2, Served{0, "c", "GET"})
                    .passes());
    EXPECT_FALSE(Story(e).add(1, Served{0, "a", "POST"}).add(2, Served{0, "a", "POST"}).passes());
    EXPECT_FALSE(Story(e).add(1, Served{0, "a", "GET"}).passes()) << "no change at all";
}

TEST(FleetChecks, DatagramsAreCountedByTheRound) {
    const Experiment e =
        experiment("[[condition]]\nwant = \"datagrams\"\nmost = 3\nafter = \"1P\"\nwithin = \"10P\"\n");
    const auto counted = [](std::uint64_t each) { return Counted{{each, each, each}, {0, 0, 0}}; };
    EXPECT_TRUE(Story(e)
                    .add(0, counted(0))
                    .add(1, counted(500))
                    .add(11, counted(529))
                    .add(12, counted(900))
                    .passes());
    EXPECT_FALSE(Story(e).add(1, counted(500)).add(11, counted(531)).passes());
    EXPECT_FALSE(Story(e).passes()) << "nothing was counted";
}

TEST(FleetChecks, SocketsAnswerInTime) {
    const Experiment e = experiment("[[condition]]\nwant = \"socket\"\nmost = \"2P\"\n");
    EXPECT_TRUE(Story(e).add(5, Asked{0, true, 150}).passes());
    EXPECT_FALSE(Story(e).add(5, Asked{0, true, 150}).add(9, Asked{1, true, 250}).passes());
    EXPECT_FALSE(Story(e).add(5, Asked{0, true, 150}).add(9, Asked{1, false, 250}).passes());
    EXPECT_FALSE(Story(e).passes()) << "nobody asked";
}

TEST(FleetChecks, EndsAndMemory) {
    const Experiment ends =
        experiment("[[condition]]\nwant = \"ended\"\nmembers = \"s2\"\nstatus = 0\nwithin = \"10P\"\n");
    EXPECT_TRUE(Story(ends).add(1, Lived{1, Life::terminated, 0}).add(3, Lived{1, Life::ended, 0}).passes());
    EXPECT_FALSE(Story(ends).add(1, Lived{1, Life::terminated, 0}).add(3, Lived{1, Life::ended, 1}).passes());
    EXPECT_FALSE(Story(ends).add(1, Lived{1, Life::terminated, 0}).passes());
    const Experiment memory = experiment("[[condition]]\nwant = \"memory\"\nmost_kib = 8000\n");
    EXPECT_TRUE(Story(memory).add(1, Weighed{0, 7999}).passes());
    EXPECT_FALSE(Story(memory).add(1, Weighed{0, 7999}).add(2, Weighed{1, 8001}).passes());
    EXPECT_FALSE(Story(memory).passes());
}

TEST(FleetChecks, WhoSpinsIsBusy) {
    const Experiment e = experiment("[[condition]]\nwant = \"busy\"\nmost = \"50ms\"\nafter = \"1P\"\n");
    // Ten P are a second here.
    const auto looks = [&](double busy) {
        return Story(e)
            .add(0, Weighed{0, 1, 0})
            .add(1, Weighed{0, 1, 900})
            .add(11, Weighed{0, 1, 900 + busy})
            .passes();
    };
    EXPECT_TRUE(looks(49));
    EXPECT_FALSE(looks(51));
    EXPECT_FALSE(Story(e).add(5, Weighed{0, 1, 1}).passes()) << "looked at once";
    // Again from nothing after a restart.
    EXPECT_FALSE(Story(e)
                     .add(1, Weighed{0, 1, 900})
                     .add(2, Lived{0, Life::killed, 0})
                     .add(3, Lived{0, Life::up, 0})
                     .add(4, Weighed{0, 1, 10})
                     .add(14, Weighed{0, 1, 100})
                     .passes());
}

TEST(FleetChecks, DetectionsAreMeasuredFromTheKill) {
    const Experiment e = experiment("[[condition]]\nwant = \"no_repeats\"\n");
    Story story(e);
    story.held(1, 0, 2, Belief::failed).held(1.5, 0, 2, Belief::alive);  // a mistake of before
    story.add(2, Lived{2, Life::killed, 0}).held(8, 0, 2, Belief::failed).held(7, 1, 2, Belief::suspect);
    story.add(20, Lived{2, Life::started, 0}).held(21, 1, 2, Belief::failed);  // too late
    const auto found = detections(story.record());
    ASSERT_EQ(found.size(), 1u);
    EXPECT_EQ(found[0].member, 2u);
    ASSERT_EQ(found[0].took.size(), 1u);
    EXPECT_NEAR(found[0].took[0], 6 * kPeriod, 1e-6);
    EXPECT_EQ(found[0].missing, 1u);
}

TEST(FleetReport, ShowsWhatHappenedAndNeedsNoNetwork) {
    const Experiment e = experiment("[[condition]]\nwant = \"no_repeats\"\n");
    Story story(e);
    story.add(2, Done{"kill s3 & <more>", kZero + 200}).add(2, Lived{2, Life::killed, 0});
    story.held(8, 0, 2, Belief::failed).held(9, 1, 2, Belief::suspect).add(12, Stood{0, "minority"});
    Outcome outcome;
    outcome.results = story.results();
    outcome.detections = detections(story.record());
    const std::string page = report_of(e, story.record(), outcome, kZero);
    for (const char* part :
         {"kill s3 &amp; &lt;more>", "s1 held s3 failed, 8.00 to 12.00 P", "s2 held s3 suspect",
          "s1 minority", "s3 down", "Some conditions did not hold", "prefers-color-scheme:dark"})
        EXPECT_NE(page.find(part), std::string::npos) << part;
    for (const char* part : {"http:", "https:", "<script", "src="})
        EXPECT_EQ(page.find(part), std::string::npos) << part;
}

}  // namespace
}  // namespace whinledge::fleetrig
