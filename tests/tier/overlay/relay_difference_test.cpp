// Bodies that travel as differences: a text that grows by a letter with each version, over links that lose
// messages.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "overlay/relay_tree.hpp"

namespace whinledge::overlay {
namespace {

constexpr Topic kText = 2;

class TextKeeper final : public Keeper {
public:
    bool apply(Topic, const std::string& difference) override {
        if (std::exchange(misfit, false)) return false;
        text += difference;
        return true;
    }
    bool replace(Topic, const std::string& body) override {
        added_.reset();
        if (body.starts_with(text)) added_ = std::make_shared<const std::string>(body.substr(text.size()));
        text = body;
        ++replaced;
        return true;
    }
    std::shared_ptr<const std::string> replacement(Topic) override { return added_; }
    std::shared_ptr<const std::string> whole(Topic) override {
        ++wholes;
        return std::make_shared<const std::string>(text);
    }
    std::string text;
    int replaced = 0;
    int wholes = 0;       // asked for
    bool misfit = false;  // the next difference does not fit

private:
    std::shared_ptr<const std::string> added_;
};

// Processes in a line, the first of them the root; each message takes 5 ms.
class Line {
public:
    explicit Line(std::size_t count, unsigned seed = 1) : keepers(count), random_(seed) {
        for (std::size_t i = 0; i < count; ++i) {
            RelayTree::Options options;
            options.root = i == 0;
            options.random_seed = i + 1;
            options.keeper = &keepers[i];
            trees_.emplace_back(options);
        }
        for (std::size_t i = 0; i + 1 < count; ++i) {
            join(i, i + 1);
            join(i + 1, i);
        }
    }
    // `skipped`: versions before it that the root did not hold.
    void publish(std::int64_t skipped = 0) {
        const Version base{1, sequence_ - skipped};
        const Version version{1, ++sequence_};
        const std::string letter(1, static_cast<char>('a' + sequence_ % 26));
        keepers[0].text += letter;
        Effects effects;
        trees_[0].publish_change(now_, kText, base, version, std::make_shared<const std::string>(letter),
                                 effects);
        carry_out(0, effects);
    }
    void run(Millis duration) {
        const Millis until = now_ + duration;
        for (; now_ < until; now_ += 1) {
            while (!events_.empty() && events_.begin()->first <= now_) {
                const auto act = events_.begin()->second;
                events_.erase(events_.begin());
                act();
            }
            for (std::size_t i = 0; i < trees_.size(); ++i) {
                if (trees_[i].due() > now_) continue;
                Effects effects;
                trees_[i].tick(now_, effects);
                carry_out(i, effects);
            }
        }
    }
    double lost = 0;  // share of messages
    std::size_t bytes = 0;
    std::vector<TextKeeper> keepers;

private:
    static std::string name(std::size_t i) { return std::to_string(i); }
    bool is_lost() { return std::uniform_real_distribution<double>()(random_) < lost; }
    void join(std::size_t from, std::size_t to) {
        Contact contact;
        contact.address = name(to);
        Effects effects;
        trees_[from].linked(now_, contact, effects);
        carry_out(from, effects);
    }
    void carry_out(std::size_t from, const Effects& effects) {
        for (const Outgoing& outgoing : effects.calls) {
            const std::size_t to = std::stoul(outgoing.to.address);
            const wire::RelayMessage message = outgoing.request.relay;
            for (const wire::TopicPush& push : message.pushes) bytes += push.body.size();
            if (is_lost()) continue;
            events_.emplace(now_ + 5, [this, from, to, message] {
                Effects effects;
                const wire::RelayReply reply = trees_[to].received(now_, name(from), message, effects);
                carry_out(to, effects);
                if (is_lost()) return;
                events_.emplace(now_ + 5, [this, from, to, reply] {
                    Effects effects;
                    trees_[from].answered(now_, name(to), reply, effects);
                    carry_out(from, effects);
                });
            });
        }
    }

    std::mt19937 random_;
    std::vector<RelayTree> trees_;
    std::multimap<Millis, std::function<void()>> events_;
    std::int64_t sequence_ = 0;
    Millis now_ = 0;
};

TEST(RelayDifferences, TheFirstComesWholeAndTheRestAsDifferences) {
    Line line(4);
    for (int i = 0; i < 40; ++i) {
        line.publish();
        line.run(1000);
    }
    for (const TextKeeper& keeper : line.keepers) EXPECT_EQ(keeper.text, line.keepers[0].text);
    for (std::size_t i = 1; i < 4; ++i) EXPECT_EQ(line.keepers[i].replaced, 1) << i;
    EXPECT_LE(line.bytes, 3 * 40u);
}

// The bytes of a whole that the keeper has taken are not held beside it: the next has them from the keeper.
TEST(RelayDifferences, AWholeIsHeldByTheKeeperAlone) {
    Line line(4);
    line.publish();
    line.run(1000);
    for (std::size_t i = 1; i < 4; ++i) EXPECT_EQ(line.keepers[i].replaced, 1) << i;
    for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(line.keepers[i].wholes, 1) << i;
    for (const TextKeeper& keeper : line.keepers) EXPECT_EQ(keeper.text, line.keepers[0].text);
}

TEST(RelayDifferences, ThoseThatDoNotFitHaveTheWholeAskedFor) {
    Line line(3);
    for (int i = 0; i < 5; ++i) {
        line.publish();
        line.run(1000);
    }
    line.keepers[1].misfit = true;
    line.publish();
    line.run(2000);
    EXPECT_EQ(line.keepers[1].replaced, 2);
    for (const TextKeeper& keeper : line.keepers) EXPECT_EQ(keeper.text, line.keepers[0].text);
}

// A root that skipped a version has no difference for those who hold it. The first of them needs the whole;
// without a difference of its own it would send the whole to the next, and so on through the fleet.
TEST(RelayDifferences, OneThatNeededTheWholeHasTheDifferenceForTheNext) {
    Line line(6);
    for (int i = 0; i < 5; ++i) {
        line.publish();
        line.run(1000);
    }
    line.publish(1);
    line.run(1000);
    EXPECT_EQ(line.keepers[1].replaced, 2);
    for (std::size_t i = 2; i < 6; ++i) EXPECT_EQ(line.keepers[i].replaced, 1) << i;
    for (const TextKeeper& keeper : line.keepers) EXPECT_EQ(keeper.text, line.keepers[0].text);
}

TEST(RelayDifferences, AllHoldTheNewestWhateverIsLost) {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        Line line(5, seed);
        line.lost = 0.3;
        for (int i = 0; i < 60; ++i) {
            line.publish();
            line.run(seed % 2 ? 300 : 40);
        }
        line.lost = 0;
        line.run(6000);
        for (const TextKeeper& keeper : line.keepers)
            EXPECT_EQ(keeper.text, line.keepers[0].text) << "seed " << seed;
    }
}

}  // namespace
}  // namespace whinledge::overlay
