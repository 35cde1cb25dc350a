// What a control process makes of the words of nodes and of other control processes.
#include "openings/merger.hpp"

#include <gtest/gtest.h>

namespace whinledge::openings {
namespace {

Traffic chat(double rate) { return {{"chat", rate, {{7, 1000, rate}}}}; }

double rate_of(const Traffic& traffic) { return traffic.empty() ? 0 : traffic.front().rate; }

TEST(Merger, NodesAddUp) {
    Merger merger(1);
    merger.told(10, 1, chat(3), 0);
    merger.told(11, 1, chat(4), 0);
    EXPECT_EQ(merger.sum(0), chat(7));
}

TEST(Merger, AWordTakenTwiceOrLateChangesNothing) {
    Merger merger(1);
    merger.told(10, 2, chat(3), 0);
    merger.told(10, 2, chat(3), 10);
    merger.told(10, 1, chat(50), 20);
    EXPECT_EQ(rate_of(merger.sum(200)), 3);
    merger.told(10, 3, chat(5), 210);
    EXPECT_EQ(rate_of(merger.sum(400)), 5);
}

TEST(Merger, ANodeThatFallsSilentIsForgotten) {
    Merger merger(1);
    merger.told(10, 1, chat(3), 0);
    EXPECT_EQ(rate_of(merger.sum(1500)), 3);
    EXPECT_EQ(rate_of(merger.sum(1700)), 0);
    EXPECT_EQ(merger.nodes(), 0U);
}

TEST(Merger, TheVersionRisesOnlyWithWhatIsWorthTelling) {
    Merger merger(1);
    merger.told(10, 1, chat(10), 0);
    merger.sum(0);
    const std::uint64_t version = merger.version();
    merger.told(10, 2, chat(10.5), 300);
    merger.sum(300);
    EXPECT_EQ(merger.version(), version);
    merger.told(10, 3, chat(20), 600);
    merger.sum(600);
    EXPECT_EQ(merger.version(), version + 1);
}

TEST(Merger, SubtotalsOfOthersAddUpAndAreReplaced) {
    Merger here(1), there(2);
    there.told(20, 1, chat(6), 0);
    here.told(10, 1, chat(1), 0);
    here.heard(*there.subtotal(0), 5);
    EXPECT_EQ(rate_of(here.sum(5)), 7);
    there.told(20, 2, chat(2), 300);
    const Subtotal second = *there.subtotal(300);
    here.heard(second, 305);
    here.heard(second, 310);
    EXPECT_EQ(rate_of(here.sum(310)), 3);
}

TEST(Merger, TheOwnSubtotalThatComesBackIsNotCounted) {
    Merger merger(1);
    merger.told(10, 1, chat(3), 0);
    merger.heard(*merger.subtotal(0), 10);
    EXPECT_EQ(rate_of(merger.sum(100)), 3);
}

TEST(Merger, ANodeThatGoesToAnotherIsNotCountedTwiceOnceThatIsHeard) {
    Merger first(1), second(2);
    first.told(10, 5, chat(3), 0);
    second.told(10, 6, chat(3), 100);
    first.heard(*second.subtotal(100), 110);
    EXPECT_EQ(first.nodes(), 0U);
    EXPECT_EQ(rate_of(first.sum(200)), 3);
    EXPECT_EQ(rate_of(second.sum(200)), 3);
}

TEST(Merger, OfTwoThatNameOneNewcomerTheOneItToldLastHasIt) {
    Merger first(1), second(2);
    first.told(10, 1, chat(3), 0);
    second.told(10, 2, chat(3), 0);
    const Subtotal of_first = *first.subtotal(0), of_second = *second.subtotal(0);
    first.heard(of_second, 5);
    second.heard(of_first, 5);
    EXPECT_EQ(first.nodes(), 0U);
    EXPECT_EQ(second.nodes(), 1U);
    EXPECT_EQ(rate_of(first.sum(200)), 3);
    first.heard(*second.subtotal(500), 505);
    EXPECT_EQ(rate_of(first.sum(600)), 3);
}

TEST(Merger, ANodeThatComesBackIsNotTakenAwayByOldNews) {
    Merger first(1), second(2);
    first.told(10, 1, chat(3), 0);
    second.told(10, 2, chat(3), 100);
    const Subtotal old_news = *second.subtotal(100);
    first.told(10, 3, chat(3), 200);
    first.heard(old_news, 210);
    EXPECT_EQ(first.nodes(), 1U);
}

TEST(Merger, WhereNobodyTellsAnythingNothingIsSent) {
    Merger merger(1);
    EXPECT_FALSE(merger.subtotal(0));
    merger.told(10, 1, {}, 10);
    EXPECT_FALSE(merger.subtotal(200));
}

TEST(Merger, TheEndOfTrafficIsToldOnce) {
    Merger merger(1);
    merger.told(10, 1, chat(3), 0);
    ASSERT_TRUE(merger.subtotal(0));
    merger.told(10, 2, {}, 300);
    const auto last = merger.subtotal(300);
    ASSERT_TRUE(last);
    EXPECT_TRUE(last->traffic.empty());
    EXPECT_FALSE(merger.subtotal(900));
}

TEST(Merger, AnUnchangedSubtotalIsToldAgainBeforeItEnds) {
    Merger merger(1);
    merger.told(10, 1, chat(3), 0);
    ASSERT_TRUE(merger.subtotal(0));
    merger.told(10, 2, chat(3), 200);
    EXPECT_FALSE(merger.subtotal(300));
    EXPECT_TRUE(merger.subtotal(500));
}

TEST(Merger, SilentControlProcessesAreForgotten) {
    Merger here(1), there(2);
    there.told(20, 1, chat(6), 0);
    here.heard(*there.subtotal(0), 0);
    EXPECT_EQ(rate_of(here.sum(1000)), 6);
    EXPECT_EQ(rate_of(here.sum(1700)), 0);
}

TEST(Merger, NodesAreBounded) {
    Merger::Options options;
    options.most_nodes = 3;
    Merger merger(1, options);
    for (std::uint64_t node = 1; node <= 10; ++node) merger.told(node, 1, chat(1), 0);
    EXPECT_EQ(merger.nodes(), 3U);
}

TEST(Merger, AnOpeningThatBecomesBusyRisesAndOneThatFadesFalls) {
    Merger merger(1);
    merger.told(10, 1, chat(1), 0);
    merger.sum(0);
    std::uint64_t sequence = 1;
    for (Millis at = 300; at <= 30000; at += 300) {
        merger.told(10, ++sequence, chat(1), at);
        merger.sum(at);
    }
    EXPECT_NEAR(merger.views(30100).front().trend, 0, 0.1);
    merger.told(10, ++sequence, chat(20), 30200);
    EXPECT_GT(merger.views(30200).front().trend, 10);
    for (Millis at = 30500; at <= 60000; at += 300) {
        merger.told(10, ++sequence, chat(20), at);
        merger.sum(at);
    }
    merger.told(10, ++sequence, chat(2), 60300);
    EXPECT_LT(merger.views(60300).front().trend, -10);
    EXPECT_NEAR(merger.views(60300).front().share, 1, 0.01);
}

}  // namespace
}  // namespace whinledge::openings
