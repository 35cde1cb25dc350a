#include "storage_map/ledger_placement.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "storage_map/holder_order.hpp"

namespace whinledge::storage_map {

LedgerPlacement::LedgerPlacement(const wire::StorageMap& map) : LedgerPlacement(map, 0) {}

LedgerPlacement::LedgerPlacement(const wire::StorageMap& map, std::int64_t joiner)
    : group_size_(static_cast<std::size_t>(std::max(map.ledger_group, 0))) {
    for (const wire::StorageMember& member : map.members)
        if (votes(member) || (joiner != 0 && member.identity == joiner)) voters_.insert(member.identity);
    if (map.__isset.survive) survive_ = {map.survive.machines, map.survive.zones, map.survive.regions};
    if (survive_.names_domains())
        for (const wire::StorageMember& member : map.members)
            if (voters_.count(member.identity))
                locations_.emplace(member.identity, failure_domain::location_of(member));
    grouped_ = group_size_ > 0 && voters_.size() > group_size_;
    if (!grouped_) {
        group_size_ = 0;
        return;
    }
    std::map<std::string, std::size_t> zones;
    for (const wire::StorageMember& member : map.members) {
        if (voters_.count(member.identity) == 0) continue;
        const std::size_t zone = zones.emplace(member.zone, zones.size()).first->second;
        zone_sizes_.resize(zones.size());
        if (member.state == wire::StorageState::retiring) {
            retiring_.push_back({member.identity, zone});
        } else {
            staying_.push_back({member.identity, zone});
            ++zone_sizes_[zone];
        }
    }
}

// The best of each zone, then the second best of each, and so on.
std::vector<LedgerPlacement::Candidate> LedgerPlacement::ranked(const std::string& program,
                                                                const std::vector<Candidate>& some) const {
    std::vector<std::pair<std::uint64_t, Candidate>> by_weight;
    by_weight.reserve(some.size());
    for (const Candidate& candidate : some)
        by_weight.emplace_back(rendezvous_weight(program, candidate.identity), candidate);
    std::sort(by_weight.begin(), by_weight.end(), [](const auto& a, const auto& b) {
        return std::pair(a.first, a.second.identity) > std::pair(b.first, b.second.identity);
    });
    std::vector<std::size_t> taken(zone_sizes_.size(), 0);
    std::vector<std::pair<std::size_t, Candidate>> by_round;
    by_round.reserve(some.size());
    for (const auto& [weight, candidate] : by_weight)
        by_round.emplace_back(taken[candidate.zone]++, candidate);
    std::stable_sort(by_round.begin(), by_round.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<Candidate> ranked;
    ranked.reserve(by_round.size());
    for (const auto& [round, candidate] : by_round) ranked.push_back(candidate);
    if (survive_.regions > 0) spread_over_regions(ranked);
    return ranked;
}

// The first of each region, then the second of each, and so on.
void LedgerPlacement::spread_over_regions(std::vector<Candidate>& ranked) const {
    std::map<std::string, std::size_t> taken;
    std::vector<std::pair<std::size_t, Candidate>> by_round;
    by_round.reserve(ranked.size());
    for (const Candidate& candidate : ranked)
        by_round.emplace_back(taken[locations_.at(candidate.identity).region]++, candidate);
    std::stable_sort(by_round.begin(), by_round.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    ranked.clear();
    for (const auto& [round, candidate] : by_round) ranked.push_back(candidate);
}

std::set<std::int64_t> LedgerPlacement::group(const std::string& program) const {
    if (!grouped_) return voters_;
    std::set<std::int64_t> group;
    for (const std::vector<Candidate>* some : {&staying_, &retiring_}) {
        if (group.size() >= group_size_) break;
        for (const Candidate& candidate : ranked(program, *some)) {
            if (group.size() >= group_size_) break;
            group.insert(candidate.identity);
        }
    }
    return group;
}

bool LedgerPlacement::keeps(const std::string& program, std::int64_t identity) const {
    if (!grouped_) return voters_.count(identity) > 0;
    return group(program).count(identity) > 0;
}

// Turns through the zones until a group is complete; a zone has at most so many of one group.
std::size_t LedgerPlacement::rounds() const {
    std::size_t chosen = 0, rounds = 0;
    while (chosen < group_size_) {
        const auto taking = static_cast<std::size_t>(std::count_if(
            zone_sizes_.begin(), zone_sizes_.end(), [rounds](std::size_t size) { return size > rounds; }));
        if (taking == 0) break;
        chosen += taking;
        ++rounds;
    }
    return rounds;
}

LedgerQuorum LedgerPlacement::quorum(const std::string& program) const { return quorum_of(group(program)); }

LedgerQuorum LedgerPlacement::quorum_of(const std::set<std::int64_t>& group) const {
    std::vector<LedgerVoter> voters;
    for (const std::int64_t identity : group) {
        const auto at = locations_.find(identity);
        voters.push_back({identity, at == locations_.end() ? failure_domain::Location() : at->second});
    }
    return {voters, survive_};
}

bool LedgerPlacement::are_minority_of_each_group(const std::set<std::int64_t>& identities) const {
    const auto minority_of = [](std::size_t size) { return size - reservation_majority(size); };
    if (!grouped_) return true;
    if (most_in_one_group(identities) >= minority_of(group_size_)) return false;
    if (!survive_.names_domains()) return true;
    const std::size_t zones = std::min(zone_sizes_.size(), group_size_);
    if (zones_with_one_more(identities) >= reservation_majority(zones)) return false;
    return survive_.regions == 0 || regions_touched(identities) < minority_of(region_count());
}

// The most zones of a group in which these and one more voter are a majority.
std::size_t LedgerPlacement::zones_with_one_more(const std::set<std::int64_t>& identities) const {
    std::vector<std::size_t> in_zone(zone_sizes_.size(), 0);
    for (const Candidate& candidate : staying_)
        in_zone[candidate.zone] += identities.count(candidate.identity);
    const std::size_t most = rounds(), least = std::max<std::size_t>(most, 2) - 1;
    // Of a zone a group has `most` voters, or one fewer, or all that there are.
    const auto can_be_majority = [&](std::size_t count, std::size_t size) {
        return std::min(count, size) >= reservation_majority(std::min(size, least)) ||
               std::min(count, size) >= reservation_majority(std::min(size, most));
    };
    std::size_t zones = 0;
    bool by_one_more = false;
    for (std::size_t zone = 0; zone < in_zone.size(); ++zone) {
        if (can_be_majority(in_zone[zone], zone_sizes_[zone]))
            ++zones;
        else
            by_one_more |= can_be_majority(in_zone[zone] + 1, zone_sizes_[zone]);
    }
    return zones + (by_one_more ? 1 : 0);
}

std::size_t LedgerPlacement::region_count() const {
    std::set<std::string> regions;
    for (const auto& [identity, at] : locations_) regions.insert(at.region);
    return std::min(regions.size(), group_size_);
}

std::size_t LedgerPlacement::regions_touched(const std::set<std::int64_t>& identities) const {
    std::set<std::string> regions;
    for (const auto& [identity, at] : locations_)
        if (identities.count(identity)) regions.insert(at.region);
    return regions.size();
}

std::size_t LedgerPlacement::most_in_one_group(const std::set<std::int64_t>& identities) const {
    if (!grouped_) {
        return static_cast<std::size_t>(
            std::count_if(identities.begin(), identities.end(),
                          [this](std::int64_t identity) { return voters_.count(identity) > 0; }));
    }
    if (survive_.regions > 0) return std::min(identities.size(), group_size_);
    std::vector<std::size_t> in_zone(zone_sizes_.size(), 0);
    for (const Candidate& candidate : staying_)
        in_zone[candidate.zone] += identities.count(candidate.identity);
    const std::size_t most_of_a_zone = rounds();
    std::size_t most = 0;
    for (const std::size_t count : in_zone) most += std::min(count, most_of_a_zone);
    if (staying_.size() < group_size_)
        for (const Candidate& candidate : retiring_) most += identities.count(candidate.identity);
    return std::min(most, group_size_);
}

}  // namespace whinledge::storage_map
