// When a node tells of its openings, and how long it believes what it has heard.
#include "openings/teller.hpp"

#include <gtest/gtest.h>

namespace whinledge::openings {
namespace {

Traffic chat(double rate) { return {{"chat", rate, {{7, 1000, rate}}}}; }

TEST(Teller, TellsAtItsPaceAndSoonerOfNews) {
    Teller teller;
    ASSERT_TRUE(teller.due(chat(1), 0));
    teller.answered({1, 1, Traffic{}}, 5);
    EXPECT_FALSE(teller.due(chat(1), 200));
    EXPECT_FALSE(teller.due(chat(1), 299));
    ASSERT_TRUE(teller.due(chat(1), 300));
    teller.answered({1, 1, std::nullopt}, 305);
    EXPECT_FALSE(teller.due(chat(9), 390));
    EXPECT_TRUE(teller.due(chat(9), 400));
}

TEST(Teller, OneWordIsOutAtATime) {
    Teller teller;
    ASSERT_TRUE(teller.due(chat(1), 0));
    EXPECT_FALSE(teller.is_open(5000));
    EXPECT_FALSE(teller.due(chat(2), 5000));
    teller.failed();
    const auto second = teller.due(chat(2), 5000);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->sequence, 2U);
}

TEST(Teller, NamesTheSumThatItHolds) {
    Teller teller;
    teller.due({}, 0);
    EXPECT_TRUE(teller.answered({4, 9, chat(2)}, 1));
    const auto word = teller.due({}, 300);
    EXPECT_EQ(word->known_source, 4U);
    EXPECT_EQ(word->known_version, 9U);
    EXPECT_FALSE(teller.answered({4, 9, std::nullopt}, 301));
    EXPECT_EQ(teller.sum(301), chat(2));
}

TEST(Teller, ASumThatNobodyConfirmsIsForgotten) {
    Teller teller;
    teller.due({}, 0);
    teller.answered({4, 9, chat(2)}, 0);
    EXPECT_EQ(teller.sum(3000), chat(2));
    EXPECT_TRUE(teller.sum(3001).empty());
    const auto word = teller.due({}, 3001);
    EXPECT_EQ(word->known_source, 0U);
}

TEST(Teller, AnAnswerAboutASumNotHeldConfirmsNothing) {
    Teller teller;
    teller.due({}, 0);
    teller.answered({4, 9, chat(2)}, 0);
    teller.due({}, 2000);
    teller.answered({5, 1, std::nullopt}, 2000);
    EXPECT_TRUE(teller.sum(3001).empty());
}

// A node switched off and on again would not be heard while its older words hold.
TEST(Teller, WordsAfterForgettingAreNewerThanThoseBefore) {
    Teller teller;
    const auto before = teller.due(chat(1), 0);
    teller.forget();
    const auto after = teller.due(chat(1), 300);
    ASSERT_TRUE(before && after);
    EXPECT_GT(after->sequence, before->sequence);
    EXPECT_TRUE(teller.sum(300).empty());
}

TEST(Teller, AnotherControlProcessesSumTakesThePlace) {
    Teller teller;
    teller.due({}, 0);
    teller.answered({4, 9, chat(2)}, 0);
    teller.due({}, 300);
    EXPECT_TRUE(teller.answered({5, 1, chat(3)}, 300));
    EXPECT_EQ(teller.sum(300), chat(3));
}

}  // namespace
}  // namespace whinledge::openings
