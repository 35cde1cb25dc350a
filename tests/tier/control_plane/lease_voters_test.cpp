// Leases while the voters change: the acceptors of one epoch of the register after another, told to each
// process late, or not at all while it is cut off.
#include <gtest/gtest.h>

#include <cstdio>
#include <set>

#include "lease_world.hpp"

namespace whinledge::control_plane::test {
namespace {

constexpr int kNodes = 6;
constexpr Millis kTold = 1200;  // the longest until a process that is reached hears of an epoch
constexpr Millis kDay = 40'000;

struct Planted {
    bool epochs_not_told =
        false;                  // voters and holders go by what they know, and nobody says which epoch it is
    bool ends_ignored = false;  // a voter that has accepted the end of an epoch goes on voting in it
    bool all_say_they_renew = false;  // so voters of a new epoch grant at once
};

// The register's epochs, as its seals make them: a majority of the old voters has accepted the end before
// anybody knows of the next.
class ChangingVoters {
public:
    ChangingVoters(std::uint64_t seed, Planted planted)
        : world(kNodes, seed), planted_(planted), random_(seed) {
        epochs_.push_back({0, 1, 2});
        if (planted.all_say_they_renew)
            world.tamper = [](wire::LeaseRequest& request) { request.renews = true; };
        known_.assign(kNodes, 1);
        accepted_.assign(kNodes, 0);
        side_.assign(kNodes, 0);
        for (auto& node : world.nodes) node.rate = 0.97 + static_cast<double>(draw(60)) / 1000;
        world.longest_delay = 1 + static_cast<Millis>(draw(60));
        world.cut = [this](int a, int b) { return is_cut(a, b); };
        world.voters_of = [this](int node) { return voters_of(node); };
        world.epoch_ends = [this](int node) {
            return !planted_.ends_ignored && accepted_[at(node)] == known_[at(node)];
        };
    }

    // The moment at which two held it; none: never.
    std::optional<Millis> play() {
        while (world.now < kDay) {
            world.step();
            hear_of_epochs();
            if (world.holders().size() > 1) return world.now;
            if (!world.holders().empty()) ++held_ms;
            if (draw(500) == 0) trouble();
            if (draw(1500) == 0) seal();
        }
        return std::nullopt;
    }

    LeaseWorld world;
    Millis held_ms = 0;
    std::size_t seals() const { return epochs_.size() - 1; }

private:
    static std::size_t at(int node) { return static_cast<std::size_t>(node); }
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }
    bool is_cut(int a, int b) const { return side_[at(a)] != side_[at(b)]; }

    LeaseVoters voters_of(int node) const {
        LeaseVoters voters;
        const std::size_t epoch = known_[at(node)];
        if (!planted_.epochs_not_told) voters.epoch = static_cast<std::int64_t>(epoch);
        for (const int voter : epochs_[epoch - 1]) voters.addresses.push_back(world.nodes[at(voter)].address);
        return voters;
    }

    void trouble() {
        const int node = static_cast<int>(draw(kNodes));
        switch (draw(4)) {
            case 0:
                return world.freeze(node, static_cast<Millis>(draw(3000)));
            case 1:
            case 2:
                side_[at(node)] = static_cast<int>(draw(2));
                return;
            default:
                side_.assign(kNodes, 0);
        }
    }

    // One who knows the newest epoch ends it, where a majority of its voters is reached, for voters of its
    // side.
    void seal() {
        const int sealer = static_cast<int>(draw(kNodes));
        if (world.frozen(sealer) || known_[at(sealer)] != epochs_.size()) return;
        const std::set<int>& old = epochs_.back();
        std::vector<int> accepted;
        for (const int voter : old)
            if (!world.frozen(voter) && !is_cut(sealer, voter)) accepted.push_back(voter);
        if (accepted.size() * 2 <= old.size()) return;
        std::set<int> next;
        for (int node = 0; node < kNodes; ++node)
            if (!world.frozen(node) && !is_cut(sealer, node) && next.size() < 5 && draw(4) != 0)
                next.insert(node);
        if (next.size() < 3) return;
        for (const int voter : accepted) accepted_[at(voter)] = epochs_.size();
        epochs_.push_back(next);
        known_[at(sealer)] = epochs_.size();
    }

    void hear_of_epochs() {
        for (int node = 0; node < kNodes; ++node) {
            if (known_[at(node)] == epochs_.size() || world.frozen(node) || draw(kTold) != 0) continue;
            for (int other = 0; other < kNodes; ++other)
                if (!is_cut(node, other) && !world.frozen(other))
                    known_[at(node)] = std::max(known_[at(node)], known_[at(other)]);
        }
    }

    Planted planted_;
    std::mt19937_64 random_;
    std::vector<std::set<int>> epochs_;
    std::vector<std::size_t> known_;     // the newest epoch, by node
    std::vector<std::size_t> accepted_;  // the epoch whose end a node has accepted last
    std::vector<int> side_;
};

#ifdef __SANITIZE_ADDRESS__
constexpr int kDays = 60;  // some twenty times slower
#else
constexpr int kDays = 300;
#endif

// Two hold it on one of the days.
bool noticed(Planted planted) {
    for (int seed = 1; seed <= 300; ++seed)
        if (ChangingVoters(static_cast<std::uint64_t>(seed), planted).play()) return true;
    return false;
}

TEST(LeaseVoters, NeverTwoHoldersWhileTheVotersChange) {
    Millis held = 0;
    std::size_t seals = 0;
    for (int seed = 1; seed <= kDays; ++seed) {
        ChangingVoters day(static_cast<std::uint64_t>(seed), {});
        const std::optional<Millis> two = day.play();
        EXPECT_FALSE(two) << "seed " << seed << ", after " << two.value_or(0) << " ms";
        held += day.held_ms;
        seals += day.seals();
    }
    std::printf("[ figures  ] %d days, %zu changes of the voters, held %.2f of the time\n", kDays, seals,
                static_cast<double>(held) / static_cast<double>(kDays * kDay));
    EXPECT_GT(seals, 3U * kDays);
    EXPECT_GT(held, kDays * kDay / 4);
}

TEST(LeaseVoters, EpochsThatAreNotToldAreNoticed) {
    Planted planted;
    planted.epochs_not_told = true;
    EXPECT_TRUE(noticed(planted));
}

TEST(LeaseVoters, VotersThatGoOnBehindAnEndAreNoticed) {
    Planted planted;
    planted.ends_ignored = true;
    EXPECT_TRUE(noticed(planted));
}

TEST(LeaseVoters, NewVotersThatGrantAtOnceAreNoticed) {
    Planted planted;
    planted.all_say_they_renew = true;
    EXPECT_TRUE(noticed(planted));
}

}  // namespace
}  // namespace whinledge::control_plane::test
