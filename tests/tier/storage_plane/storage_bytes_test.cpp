// What a conversation's turns cost in bytes between zones: a simulated plane of four zones on a calm day.
// Each call's messages are counted as they are encoded, without frames and headers of the network.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "storage_cluster.hpp"

namespace whinledge::storage_plane::test {
namespace {

constexpr int kZones = 4;
constexpr int kPrograms = 40;
constexpr int kTurnsOfProgram = 8;
constexpr int kTurnsOfLongProgram = 24;
constexpr int kKeepForS = 60;
constexpr double kTurnPauseMs = 1500;
constexpr std::size_t kInputBytes = 1000;
constexpr std::size_t kOutputBytes = 700;
constexpr double kDayMs = 20000;
constexpr double kLongDayMs = 50000;

// Programs of turns, each turn through an edge of its program's zone.
class CalmDay {
public:
    explicit CalmDay(int turns_of_program = kTurnsOfProgram)
        : cluster_(11, {.machines = kZones}), turns_of_program_(turns_of_program) {
        cluster_.on_map = [this](const wire::StorageMap& map) {
            for (const auto& edge : edges_) edge->set_map(map);
        };
        cluster_.found();
        for (int zone = 0; zone < kZones; ++zone)
            edges_.push_back(std::make_shared<ClusterEdge>(
                cluster_, std::string(1, static_cast<char>('a' + zone)), std::size_t{4} << 20, 1));
        cluster_.time.run_until(3000);
        cluster_.counts_between_zones = true;
    }

    void play(double day_ms = kDayMs) {
        for (int program = 0; program < kPrograms; ++program)
            cluster_.time.after(program * kTurnPauseMs / kPrograms, [this, program] { turn(program, 0); });
        cluster_.time.run_until(cluster_.time.now() + day_ms);
    }

    // Bytes between zones, of one kind of call, for each turn.
    double bytes_of(const std::string& name) const {
        const auto found = cluster_.between_zones.find(name);
        if (found == cluster_.between_zones.end()) return 0;
        return static_cast<double>(found->second.requests + found->second.replies) / durable_;
    }

    int durable() const { return durable_; }
    Cluster& cluster() { return cluster_; }

private:
    static std::string turn_id(int program, int number) {
        return "0f5e1a77c0de4b0d" + std::to_string(1000 + program) + "-" + std::to_string(number);
    }

    void turn(int program, int number) {
        if (number == turns_of_program_) return;
        TurnStart start;
        start.program = "program-" + std::to_string(1000 + program);
        start.turn = turn_id(program, number);
        if (number > 0) start.previous = turn_id(program, number - 1);
        start.budget = 100'000;
        start.most = 200;
        start.keep_for_s = kKeepForS;
        edge_of(program).begin(start, 3000, [this, program, number, start](BegunTurn begun) {
            ASSERT_EQ(begun.status, BeginStatus::ok);
            cluster_.time.after(kTurnPauseMs / 2, [=, this] { end(program, number, start); });
        });
    }

    void end(int program, int number, const TurnStart& start) {
        TurnEnd end;
        end.program = start.program;
        end.turn = start.turn;
        end.tokens = 60;
        end.whole = true;
        end.keep_for_s = kKeepForS;
        end.record.id = end.turn;
        end.record.parent = start.previous;
        end.record.program = end.program;
        end.record.input = std::string(kInputBytes, 'i');
        end.record.output = std::string(kOutputBytes, 'o');
        end.record.keep_for_s = kKeepForS;
        edge_of(program).end(end, 3000, [=, this](bool well) {
            durable_ += well;
            cluster_.time.after(kTurnPauseMs / 2, [=, this] { turn(program, number + 1); });
        });
    }

    ClusterEdge& edge_of(int program) { return *edges_[static_cast<std::size_t>(program % kZones)]; }

    Cluster cluster_;
    int turns_of_program_;
    std::vector<std::shared_ptr<ClusterEdge>> edges_;
    int durable_ = 0;
};

TEST(StorageBytes, ATurnSendsNoMoreBetweenZonesThanItsCopyAndItsLedgerNeed) {
    CalmDay day;
    day.play();
    ASSERT_EQ(day.durable(), kPrograms * kTurnsOfProgram);
    for (const auto& [name, message] : day.cluster().between_zones)
        RecordProperty(name, "calls " + std::to_string(message.calls) + ", bytes of requests " +
                                 std::to_string(message.requests) + ", of replies " +
                                 std::to_string(message.replies));
    // One copy of the record crosses, and the entry goes to the members of the other zones.
    EXPECT_LT(day.bytes_of("end"), kInputBytes + kOutputBytes + 400);
    // What members tell each other of it beside is a small part of the record.
    EXPECT_LT(day.bytes_of("changes"), 500);
    EXPECT_LT(day.bytes_of("digests"), 10);
    EXPECT_LT(day.bytes_of("fetch"), 50);
    EXPECT_EQ(day.bytes_of("read"), 0);
}

// Replies name the turns under way, not all that the program has had.
TEST(StorageBytes, ABeginCostsNoMoreTheMoreTurnsItsProgramHasHad) {
    CalmDay few;
    few.play();
    CalmDay many(kTurnsOfLongProgram);
    many.play(kLongDayMs);
    ASSERT_EQ(few.durable(), kPrograms * kTurnsOfProgram);
    ASSERT_EQ(many.durable(), kPrograms * kTurnsOfLongProgram);
    RecordProperty("begin of few", std::to_string(few.bytes_of("begin")));
    RecordProperty("begin of many", std::to_string(many.bytes_of("begin")));
    EXPECT_LT(few.bytes_of("begin"), 700);
    EXPECT_LT(many.bytes_of("begin"), 1.1 * few.bytes_of("begin"));
}

}  // namespace
}  // namespace whinledge::storage_plane::test
