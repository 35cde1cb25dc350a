// Proxies' totals, put together whatever way they come.
#include "rollout/samples.hpp"

#include <gtest/gtest.h>

namespace whinledge::rollout {
namespace {

wire::RolloutReport report(std::int64_t proxy, std::int64_t sequence, int ended, int failed) {
    Cells cells;
    for (int i = 0; i < ended; ++i) count(cells, {7, 1, i < failed, true, 100, {}});
    wire::RolloutReport report;
    report.proxy = proxy;
    report.sequence = sequence;
    report.cells = to_wire(cells);
    return report;
}

std::int64_t ended(const Cells& cells) {
    std::int64_t ended = 0;
    for (const auto& [key, cell] : cells) ended += cell.ended;
    return ended;
}

TEST(SampleBook, NothingCountsTwiceAndNothingIsLost) {
    SampleBook book;
    EXPECT_EQ(ended(book.take(report(1, 1, 10, 2), 0)), 10);
    EXPECT_EQ(ended(book.take(report(1, 1, 10, 2), 0)), 0) << "the same again, from another process";
    EXPECT_EQ(ended(book.take(report(1, 4, 25, 2), 0)), 15) << "two reports between were lost";
    EXPECT_EQ(ended(book.take(report(1, 3, 18, 2), 0)), 0) << "an older one that comes late";
    EXPECT_EQ(ended(book.take(report(2, 1, 3, 0), 0)), 3) << "the proxy after its restart is another";
}

TEST(Samples, MessagesAreBounded) {
    wire::RolloutCell cell;
    cell.group = 99;
    cell.ended = 5;
    EXPECT_TRUE(from_wire({cell}).empty());
    cell.group = 1;
    cell.failed = 50;
    cell.paces.assign(1000, 50);
    const Cells cells = from_wire({cell});
    EXPECT_EQ(cells.begin()->second.failed, 5);
    EXPECT_EQ(cells.begin()->second.paces[0], 5);
    cell.ended = -1;
    EXPECT_TRUE(from_wire({cell}).empty());
    EXPECT_LE(from_wire(std::vector<wire::RolloutCell>(5000, cell)).size(), 1024U);
}

TEST(Samples, TotalsSurviveTheWire) {
    Cells cells;
    count(cells, {1, 0, false, true, 3, 50});
    count(cells, {1, 0, true, true, 3, 50});
    count(cells, {2, 4, false, true, 1e9, {}});
    count(cells, {2, 4, false, false, 100, 100});
    const Cells read = from_wire(to_wire(cells));
    ASSERT_EQ(read.size(), 2U);
    EXPECT_EQ(read.at({1, 0}).ended, 2);
    EXPECT_EQ(read.at({1, 0}).failed, 1);
    EXPECT_EQ(read.at({1, 0}).paces[0], 1);
    EXPECT_EQ(read.at({1, 0}).first_events[duration_bucket(50)], 1) << "of the success alone";
    EXPECT_EQ(read.at({2, 4}).paces[kDurationBuckets - 1], 1) << "a cold server's time is not told";
}

}  // namespace
}  // namespace whinledge::rollout
