// What the tests of snapshots begin with: a member with turns, and its index as the whole log says it.
#pragma once

#include "snapshot_member.hpp"

namespace whinledge::storage_plane::test {

inline constexpr int kTurns = 14;

inline void fill(SnapshotMember& member, int turns = kTurns) {
    ASSERT_TRUE(member.open());
    member.found();
    for (int i = 0; i < turns; ++i) ASSERT_TRUE(member.end(i));
}

inline void fill_and_write(SnapshotMember& member, int turns = kTurns) {
    fill(member, turns);
    ASSERT_TRUE(member.write_snapshot());
}

// As the whole log says it; the snapshot stays where it is.
inline IndexState by_the_log(SnapshotMember& member) {
    EXPECT_TRUE(member.open(whole_replay()));
    EXPECT_FALSE(member.node->started().by_snapshot);
    return state_of(*member.node);
}

}  // namespace whinledge::storage_plane::test
