// Holders that stay, against who should hold a turn by all of the map.
#include "storage_map/staying_holders.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

#include "storage_map/wanted_holders.hpp"

namespace whinledge::storage_map::test {
namespace {

using Identities = std::vector<std::int64_t>;
using Random = std::mt19937_64;

int pick(Random& random, int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); }

wire::StorageMap some_map(Random& random) {
    wire::StorageMap map;
    for (int i = 0, members = 1 + pick(random, 8); i < members; ++i) {
        wire::StorageMember member;
        member.identity = i;
        member.zone = std::to_string(pick(random, 4));
        member.__set_region(std::to_string(std::stoi(member.zone) / 2));
        member.state = pick(random, 4) == 0 ? wire::StorageState::retiring : wire::StorageState::member;
        map.members.push_back(member);
    }
    return map;
}

// Different ones, of which some are not in any map.
Identities some_holders(Random& random) {
    Identities all{0, 1, 2, 3, 4, 5, 6, 7, 8, 9};
    std::shuffle(all.begin(), all.end(), random);
    all.resize(static_cast<std::size_t>(1 + pick(random, 4)));
    return all;
}

Identities sorted(Identities identities) {
    std::sort(identities.begin(), identities.end());
    return identities;
}

TEST(StayingHolders, ThatAreJustEnoughAreAllThatIsWanted) {
    Random random(11);
    int just_enough = 0, enough = 0;
    for (int round = 0; round < 20'000; ++round) {
        const wire::StorageMap map = some_map(random);
        const int losses = pick(random, 3);
        const failure_domain::LossTolerance survive{
            .machines = losses, .zones = 0, .regions = pick(random, 2)};
        const StayingHolders staying(map, survive);
        const Identities holders = some_holders(random);
        const Identities wanted = wanted_holders("turn", holders, map, survive);
        Identities stay;
        std::copy_if(holders.begin(), holders.end(), std::back_inserter(stay),
                     [&](std::int64_t holder) { return staying.has(holder); });
        if (staying.enough(holders)) {
            ++enough;
            EXPECT_EQ(sorted(wanted), sorted(stay)) << round;
        }
        if (!staying.just_enough(holders)) continue;
        ++just_enough;
        EXPECT_EQ(sorted(wanted), sorted(holders)) << round;
        EXPECT_EQ(holders.size(), survive.copies()) << round;
    }
    EXPECT_GT(just_enough, 500);
    EXPECT_GT(enough, just_enough);
}

}  // namespace
}  // namespace whinledge::storage_map::test
