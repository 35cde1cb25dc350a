// The writer's thread: the loop goes on while an append hangs, and is told of each end in order.
#include "consensus/acceptor_writer.hpp"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "held_log.hpp"

namespace whinledge::consensus {
namespace {

using namespace std::chrono_literals;

// Keeps records in memory; touched by the writer's thread, and read by the test when that is over.
class MemoryLog : public AcceptorLog {
public:
    explicit MemoryLog(std::shared_ptr<std::vector<std::int64_t>> rounds) : rounds_(std::move(rounds)) {}
    DiskResult<void> append(const AcceptorWrite& write) override {
        for (const wire::AcceptorRecord& record : write.records) rounds_->push_back(record.promised.round);
        ++figures_.syncs;
        return boost::outcome_v2::success();
    }
    LogFigures figures() const override { return figures_; }

private:
    std::shared_ptr<std::vector<std::int64_t>> rounds_;
    LogFigures figures_;
};

class AcceptorWriterTest : public testing::Test {
protected:
    AcceptorWriterTest() {
        writer = std::make_unique<AcceptorWriter>(
            io, std::make_unique<test::HeldLog>(std::make_unique<MemoryLog>(rounds), gate));
    }
    static AcceptorWrite promise(std::int64_t round) {
        wire::Ballot ballot;
        ballot.round = round;
        wire::AcceptorRecord record;
        record.__set_promised(ballot);
        return {{record}, std::make_shared<const Acceptor>(1)};
    }
    void write(std::int64_t round) {
        writer->write(promise(round),
                      [this, round, loop = std::this_thread::get_id()](const DiskResult<void>& result) {
                          EXPECT_EQ(std::this_thread::get_id(), loop);
                          told.push_back(result ? round : -round);
                          if (!result) last_error = result.error();
                      });
    }
    template <class Done>
    bool runs_until(Done done) {
        io.restart();
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!done() && std::chrono::steady_clock::now() < limit) io.run_one_for(20ms);
        return done();
    }

    boost::asio::io_context io{1};
    std::shared_ptr<test::DiskGate> gate = std::make_shared<test::DiskGate>();
    std::shared_ptr<std::vector<std::int64_t>> rounds = std::make_shared<std::vector<std::int64_t>>();
    std::vector<std::int64_t> told;
    std::optional<DiskError> last_error;
    std::unique_ptr<AcceptorWriter> writer;
};

TEST_F(AcceptorWriterTest, TheLoopGoesOnWhileAnAppendHangs) {
    gate->hold();
    write(1);
    EXPECT_TRUE(runs_until([&] { return gate->begun() == 1; }));
    int turns = 0;
    for (int turn = 0; turn < 100; ++turn) boost::asio::post(io, [&] { ++turns; });
    EXPECT_TRUE(runs_until([&] { return turns == 100; }));
    EXPECT_EQ(gate->ended(), 0);
    EXPECT_TRUE(told.empty());
    gate->open();
    EXPECT_TRUE(runs_until([&] { return !told.empty(); }));
    EXPECT_EQ(told, std::vector<std::int64_t>{1});
    EXPECT_EQ(writer->figures().syncs, 1U);
}

TEST_F(AcceptorWriterTest, EndsAreToldInTheOrderOfTheWrites) {
    std::vector<std::int64_t> expected;
    for (std::int64_t round = 1; round <= 200; ++round) {
        write(round);
        expected.push_back(round);
    }
    EXPECT_TRUE(runs_until([&] { return told.size() == expected.size(); }));
    EXPECT_EQ(told, expected);
    writer.reset();
    EXPECT_EQ(*rounds, expected);
}

TEST_F(AcceptorWriterTest, AFullDiskIsTold) {
    gate->fill();
    write(1);
    EXPECT_TRUE(runs_until([&] { return !told.empty(); }));
    gate->open();
    write(2);
    EXPECT_TRUE(runs_until([&] { return told.size() == 2; }));
    EXPECT_EQ(told, (std::vector<std::int64_t>{-1, 2}));
    ASSERT_TRUE(last_error);
    EXPECT_EQ(last_error->fault, DiskFault::full);
}

// Whoever ends the writer hears no more of it.
TEST_F(AcceptorWriterTest, AWriterThatIsGoneTellsNothing) {
    gate->hold();
    write(1);
    EXPECT_TRUE(runs_until([&] { return gate->begun() == 1; }));
    gate->open();
    writer.reset();
    EXPECT_EQ(gate->ended(), 1);
    io.restart();
    io.poll();
    EXPECT_TRUE(told.empty());
}

}  // namespace
}  // namespace whinledge::consensus
