// Which voters of a map keep a program's ledger: a group of fixed size by rendezvous of the program and the
// identities, spread over the zones in turn, so that no zone has more of a group than it must. Where the map
// names no size, or has no more voters than that, all voters keep all ledgers. Where regions may be lost, the
// group is spread over the regions first. Every process works out the same from the same map. Pure.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "failure_domain/loss_tolerance.hpp"
#include "storage_map/ledger_quorum.hpp"

namespace whinledge::storage_map {

// Members that are filled, retiring ones too.
inline bool votes(const wire::StorageMember& member) { return member.state != wire::StorageState::joining; }

// Of so many voters: any two majorities meet, also those of maps that differ by one voter.
constexpr std::size_t reservation_majority(std::size_t voters) { return voters / 2 + 1; }

// Deployments of up to so many voters keep all ledgers at all of them.
inline constexpr std::int32_t kLeastLedgerGroup = 9;

// Voters that keep a program's ledger where so many machines may be lost at once: of 2 f + 3 so many silent
// members can be dropped one after the other (docs/design/storage.md).
constexpr std::int32_t ledger_group_size(std::size_t machine_losses) {
    return std::max(kLeastLedgerGroup, static_cast<std::int32_t>(2 * machine_losses + 3));
}

class LedgerPlacement {
public:
    LedgerPlacement() = default;
    explicit LedgerPlacement(const wire::StorageMap& map);
    // As if the member `joiner` of the map voted, too.
    LedgerPlacement(const wire::StorageMap& map, std::int64_t joiner);

    // Programs differ in who keeps their ledgers.
    bool grouped() const { return grouped_; }
    // Voters that keep the ledger of any one program.
    std::size_t group_size() const { return grouped_ ? group_size_ : voters_.size(); }
    const std::set<std::int64_t>& voters() const { return voters_; }
    // Identities. Retiring members belong to a group only where too few others are left.
    std::set<std::int64_t> group(const std::string& program) const;
    // Of that group: which sets of it decide.
    LedgerQuorum quorum(const std::string& program) const;
    // The same of all voters, whatever the program.
    LedgerQuorum quorum_of_voters() const { return quorum_of(voters_); }
    // Whether that voter keeps the program's ledger.
    bool keeps(const std::string& program, std::int64_t identity) const;
    // The most that any one group can have of these identities, whatever the program.
    std::size_t most_in_one_group(const std::set<std::int64_t>& identities) const;
    // Of no group, whatever the program, these and one more voter can decide.
    bool are_minority_of_each_group(const std::set<std::int64_t>& identities) const;
    // Whether two maps place every ledger alike.
    bool operator==(const LedgerPlacement& other) const = default;

private:
    struct Candidate {
        std::int64_t identity = 0;
        std::size_t zone = 0;  // counted from 0
        bool operator==(const Candidate& other) const = default;
    };
    std::vector<Candidate> ranked(const std::string& program, const std::vector<Candidate>& some) const;
    void spread_over_regions(std::vector<Candidate>& ranked) const;
    std::size_t rounds() const;
    std::size_t zones_with_one_more(const std::set<std::int64_t>& identities) const;
    std::size_t region_count() const;
    std::size_t regions_touched(const std::set<std::int64_t>& identities) const;
    LedgerQuorum quorum_of(const std::set<std::int64_t>& group) const;

    bool grouped_ = false;
    std::size_t group_size_ = 0;
    std::set<std::int64_t> voters_;
    std::vector<Candidate> staying_, retiring_;  // only of maps with groups
    std::vector<std::size_t> zone_sizes_;        // staying voters by zone
    failure_domain::LossTolerance survive_;
    std::map<std::int64_t, failure_domain::Location> locations_;  // of voters, where `survive_` names domains
};

}  // namespace whinledge::storage_map
