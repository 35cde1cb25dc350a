// One duel as text: three acceptors (a, b, c) and two proposers (d, e), time downwards in milliseconds. The
// picture is the test.
#include <gtest/gtest.h>

#include <cstdio>

#include "simulation.hpp"

namespace whinledge::consensus::test {
namespace {

// A column for each process, a row for each millisecond in which something happened.
class Picture {
public:
    explicit Picture(std::size_t columns) : columns_(columns) {}
    void mark(Millis at, std::size_t column, const std::string& text) {
        std::vector<std::string>& row = rows_[at];
        row.resize(columns_);
        if (!row[column].empty()) row[column] += "; ";
        row[column] += text;
    }
    std::string text() const {
        std::string all =
            "\n  ms | a                  | b                  | c                  | d                  | "
            "e\n";
        for (const auto& [at, row] : rows_) {
            char time[16];
            std::snprintf(time, sizeof time, "%4lld", static_cast<long long>(at));
            std::string line = time;
            for (const std::string& cell : row)
                line += " | " + cell + std::string(width_ - std::min(width_, cell.size()), ' ');
            all += line.substr(0, line.find_last_not_of(" |") + 1) + "\n";
        }
        return all;
    }

private:
    std::size_t columns_, width_ = 18;
    std::map<Millis, std::vector<std::string>> rows_;
};

// Founds the register at a, b and c; two seconds later the picture begins.
class RegisterTimeline : public testing::Test {
protected:
    explicit RegisterTimeline() {
        world_.network.least_delay = world_.network.most_delay = 5;
        for (std::size_t m = 0; m < 3; ++m) world_.start(m, true);
        world_.run_until(kBegin);
    }
    void draw() {
        world_.on_mark = [this](std::size_t machine, const std::string& text) {
            picture_.mark(world_.now() - kBegin, machine, text);
        };
    }
    static constexpr Millis kBegin = 2000;
    Simulation world_{1, 3, 5};
    Picture picture_{5};
};

TEST_F(RegisterTimeline, TwoProposersAtOnceBothGetThrough) {
    world_.start(3, false);
    world_.start(4, false);
    world_.run_until(kBegin + 100);
    draw();
    world_.change(3, 1000, false);
    world_.run_until(kBegin + 107);
    world_.change(4, 1000, false);
    world_.run_until(kBegin + 200);
    EXPECT_EQ(picture_.text(), R"(
  ms | a                  | b                  | c                  | d                  | e
 100 |                    |                    |                    | asked for 1
 105 | promise 1d         | promise 1d         | promise 1d
 107 |                    |                    |                    |                    | asked for 2
 112 | promise 1e         | promise 1e         | promise 1e
 115 | no accept 1d       | no accept 1d       | no accept 1d
 122 | accept 1e [2,]     | accept 1e [2,]     | accept 1e [2,]
 127 |                    |                    |                    |                    | knows [2,]; 2 done
 132 | knows [2,]         | knows [2,]         | knows [2,]
 151 | promise 2d         | promise 2d         | promise 2d
 156 |                    |                    |                    | knows [2,]
 161 | accept 2d [2,1,]   | accept 2d [2,1,]   | accept 2d [2,1,]
 166 |                    |                    |                    | knows [2,1,]; 1 done
 171 | knows [2,1,]       | knows [2,1,]       | knows [2,1,]
)");
    EXPECT_TRUE(world_.checker.complaints().empty());
}

// c's machine comes back with an empty disk, which is another acceptor: the epoch is sealed at those left.
// What is known to be chosen is told on at once; the own disk has it a moment later.
TEST_F(RegisterTimeline, AWipedDiskIsReplacedInOneStep) {
    world_.change(0, 1000, false);
    world_.run_until(kBegin + 100);
    world_.wipe(2);
    world_.start(2, false);
    draw();
    world_.run_until(kBegin + 2000);
    EXPECT_EQ(picture_.text(), R"(
  ms | a                  | b                  | c                  | d                  | e
 110 |                    |                    | knows [1,]; begin epoch 1
 850 | promise 2a
 855 |                    | promise 2a         | no promise 2a, not me
 860 | seal 2a [1,]
 865 |                    | seal 2a [1,]       | no accept 2a, not me
 870 | knows [1,]; begin epoch 2
 875 |                    | knows [1,]; begin epoch 2 | knows [1,]; begin epoch 2
)");
    EXPECT_TRUE(world_.checker.complaints().empty());
}

}  // namespace
}  // namespace whinledge::consensus::test
