// Digests of what two members both should hold, by range of the hash space of programs. Pure: what is held,
// the map and the time go in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "failure_domain/loss_tolerance.hpp"
#include "storage_plane/turn_store.hpp"

namespace whinledge::storage_plane {

// Two members, the map by which they work out what both should hold, and the time at the one asked.
struct DigestScope {
    std::int64_t self = 0;
    std::int64_t other = 0;
    const wire::StorageMap& map;
    failure_domain::LossTolerance survive{};
    std::int64_t now_ms = 0;  // steady
};

// Of all entries of a program: two members with the same entries have the same.
std::uint64_t ledger_digest(const HeldProgram& program);

// One for each of `ranges` (bounded). Programs that were written to just now, or that go soon, are left out:
// the members can't agree on them yet, or any more. What a program adds is remembered beside it, so that a
// comparison costs little more than a look at each program.
class SharedDigests {
public:
    // Programs for which it is remembered, some 250 bytes each; it is worked out each time for all others. By
    // 0 nothing is remembered, nor is anything used that another has left.
    static constexpr std::size_t kMostSummaries = 20'000;

    explicit SharedDigests(std::size_t most_summaries = kMostSummaries) : most_summaries_(most_summaries) {}

    std::vector<std::int64_t> of(const TurnStore& store, const DigestScope& scope, std::size_t ranges);

private:
    class View;  // of the members of a map

    std::uint64_t of_program(const std::string& name, const HeldProgram& program, const View& view);

    std::size_t most_summaries_;
    std::size_t summaries_ = 0;  // counted anew in each comparison
    std::size_t spare_ = 0;      // that may still be made in this one
};

}  // namespace whinledge::storage_plane
