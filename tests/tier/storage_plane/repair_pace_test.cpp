// How long replies to repair are beside turns, as tables over time.
#include "storage_plane/repair_pace.hpp"

#include <gtest/gtest.h>

namespace whinledge::storage_plane::test {
namespace {

constexpr std::size_t kShort = 100;
constexpr std::size_t kLong = 1100;

RepairPace::Options options() {
    RepairPace::Options options;
    options.on = true;
    options.beside_turns_bytes = kShort;
    options.most_bytes = kLong;
    options.quiet_ms = 250;
    options.patience_ms = 1000;
    return options;
}

TEST(RepairPace, WhereNoTurnCameRepliesAreLong) {
    const RepairPace pace(options());
    for (std::int64_t now_ms = 0; now_ms < 3000; now_ms += 100)
        EXPECT_EQ(pace.reply_bytes(now_ms, now_ms), kLong) << now_ms;
}

TEST(RepairPace, BesideTurnsTheyAreShortForAsLongAsTheAskerCanWait) {
    RepairPace pace(options());
    for (std::int64_t now_ms = 0; now_ms <= 2000; now_ms += 50) {
        pace.note_turn(now_ms);
        EXPECT_EQ(pace.reply_bytes(now_ms, now_ms), now_ms < 1000 ? kShort : kLong) << now_ms;
    }
}

// However seldom it asks: its patience is its own, and nothing that others ask for begins it anew.
TEST(RepairPace, AnAskerThatHasWaitedIsNotKeptWaitingForOthers) {
    RepairPace pace(options());
    for (std::int64_t now_ms = 0; now_ms <= 20'000; now_ms += 700) {
        pace.note_turn(now_ms);
        EXPECT_EQ(pace.reply_bytes(now_ms, 0), kShort) << now_ms;
        EXPECT_EQ(pace.reply_bytes(now_ms, 1000 + now_ms), kLong) << now_ms;
    }
}

TEST(RepairPace, OnceTurnsEndTheyAreLong) {
    RepairPace pace(options());
    pace.note_turn(0);
    EXPECT_EQ(pace.reply_bytes(0, 0), kShort);
    EXPECT_EQ(pace.reply_bytes(250, 10), kShort);
    EXPECT_EQ(pace.reply_bytes(251, 10), kLong);
    pace.note_turn(300);
    EXPECT_EQ(pace.reply_bytes(300, 10), kShort);
}

TEST(RepairPace, SwitchedOffItKeepsNobodyWaiting) {
    RepairPace::Options off = options();
    off.on = false;
    EXPECT_FALSE(RepairPace::Options().on);
    RepairPace pace(off);
    pace.note_turn(0);
    EXPECT_EQ(pace.reply_bytes(0, 0), kLong);
}

TEST(RepairPace, AnEarlierBuildIsNotKeptWaiting) {
    RepairPace pace(options());
    pace.note_turn(0);
    EXPECT_EQ(pace.reply_bytes(0, std::nullopt), kLong);
}

TEST(RepairPace, AShortReplyIsNeverOverALongOne) {
    RepairPace::Options narrow = options();
    narrow.beside_turns_bytes = 5000;
    RepairPace pace(narrow);
    pace.note_turn(0);
    EXPECT_EQ(pace.reply_bytes(0, 0), kLong);
}

}  // namespace
}  // namespace whinledge::storage_plane::test
