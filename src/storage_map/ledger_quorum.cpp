#include "storage_map/ledger_quorum.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "failure_domain/spread.hpp"

namespace whinledge::storage_map {
namespace {

using failure_domain::LossTolerance;
using failure_domain::most_lost;
using failure_domain::Spread;
using failure_domain::sum_of_largest;

std::size_t majority(std::size_t size) { return size / 2 + 1; }

std::size_t count_in(const std::set<std::int64_t>& domain, const std::set<std::int64_t>& identities) {
    return static_cast<std::size_t>(std::count_if(
        domain.begin(), domain.end(), [&](std::int64_t voter) { return identities.count(voter) > 0; }));
}

bool majorities_meet(const std::set<std::int64_t>& before, const std::set<std::int64_t>& after) {
    const std::size_t kept = count_in(before, after), lost = before.size() - kept;
    const std::size_t held = majority(before.size());
    return held > lost && held - lost + majority(after.size()) > kept;
}

// The voters of one domain by their zones, largest first.
std::vector<std::size_t> zone_sizes(const std::vector<LedgerVoter>& voters) {
    std::map<std::string, std::size_t> counted;
    for (const LedgerVoter& voter : voters) ++counted[voter.at.zone];
    std::vector<std::size_t> sizes;
    for (const auto& [zone, size] : counted) sizes.push_back(size);
    std::sort(sizes.rbegin(), sizes.rend());
    return sizes;
}

// How many zones have to be lost until no majority of these voters is left.
std::size_t zones_to_lose(const std::vector<LedgerVoter>& voters) {
    std::size_t left = voters.size(), zones = 0;
    for (const std::size_t size : zone_sizes(voters)) {
        if (left < majority(voters.size())) break;
        left -= size;
        ++zones;
    }
    return zones;
}

}  // namespace

std::string LedgerQuorum::domain_of(Kind kind, const LedgerVoter& voter) {
    switch (kind) {
        case Kind::zones:
            return voter.at.zone;
        case Kind::regions:
            return voter.at.region;
        default:
            return std::to_string(voter.identity);
    }
}

LedgerQuorum::Domains LedgerQuorum::domains_of(Kind kind, const std::vector<LedgerVoter>& voters) {
    std::map<std::string, std::set<std::int64_t>> by_name;
    for (const LedgerVoter& voter : voters) by_name[domain_of(kind, voter)].insert(voter.identity);
    Domains domains;
    for (auto& [name, identities] : by_name) domains.push_back(std::move(identities));
    return domains;
}

bool LedgerQuorum::bears(Kind kind, const std::vector<LedgerVoter>& voters, const LossTolerance& survive) {
    if (kind == Kind::machines) {
        Spread spread;
        for (const LedgerVoter& voter : voters) spread.add(voter.at);
        return spread.keeps_majority(survive);
    }
    std::map<std::string, std::vector<LedgerVoter>> domains;
    for (const LedgerVoter& voter : voters) domains[domain_of(kind, voter)].push_back(voter);
    std::vector<std::size_t> machines_needed, zones_needed;
    std::map<std::string, std::set<std::string>> domains_of_region;
    for (const auto& [name, members] : domains) {
        machines_needed.push_back(members.size() - majority(members.size()) + 1);
        zones_needed.push_back(zones_to_lose(members));
        for (const LedgerVoter& voter : members) domains_of_region[voter.at.region].insert(name);
    }
    std::vector<std::size_t> domains_by_region;
    for (const auto& [region, names] : domains_of_region) domains_by_region.push_back(names.size());
    const std::size_t lost = std::max({most_lost(machines_needed, survive.machine_losses()),
                                       most_lost(zones_needed, survive.zone_losses()),
                                       sum_of_largest(domains_by_region, survive.region_losses())});
    return domains.size() >= majority(domains.size()) + lost;
}

LedgerQuorum::LedgerQuorum(const std::vector<LedgerVoter>& voters, const LossTolerance& survive)
    : voters_(voters) {
    for (const LedgerVoter& voter : voters_) identities_.insert(voter.identity);
    for (const Kind kind : {Kind::zones, Kind::regions, Kind::machines}) {
        if (kind != Kind::machines && !survive.names_domains()) continue;
        if (!bears(kind, voters_, survive)) continue;
        kind_ = kind;
        bears_losses_ = true;
        break;
    }
    if (kind_ != Kind::machines) domains_ = domains_of(kind_, voters_);
}

bool LedgerQuorum::is_met_by(const std::set<std::int64_t>& identities) const {
    if (kind_ == Kind::machines)
        return !identities_.empty() && count_in(identities_, identities) >= majority(identities_.size());
    const auto decided = static_cast<std::size_t>(
        std::count_if(domains_.begin(), domains_.end(), [&](const std::set<std::int64_t>& domain) {
            return count_in(domain, identities) >= majority(domain.size());
        }));
    return decided >= majority(domains_.size());
}

bool LedgerQuorum::is_also(Kind kind) const {
    if (kind == kind_) return true;
    const auto all_single = [this](Kind one) { return domains_of(one, voters_).size() == voters_.size(); };
    return all_single(kind_) && all_single(kind);
}

bool LedgerQuorum::meets(const LedgerQuorum& after) const {
    if (kind_ == Kind::machines && after.kind_ == Kind::machines)
        return majorities_meet(identities_, after.identities_);
    for (const Kind kind : {kind_, after.kind_})
        if (is_also(kind) && after.is_also(kind)) return meets_by(kind, after);
    return false;
}

// Looks for a set that decides before and one that decides after without a common voter that is there. Such
// sets can share a domain only where enough of its voters stay for both.
bool LedgerQuorum::meets_by(Kind kind, const LedgerQuorum& after) const {
    struct Counts {
        std::size_t before = 0, kept = 0, after = 0;
    };
    std::map<std::string, Counts> domains;
    for (const LedgerVoter& voter : voters_) {
        Counts& counts = domains[domain_of(kind, voter)];
        ++counts.before;
        if (after.identities_.count(voter.identity)) ++counts.kept;
    }
    for (const LedgerVoter& voter : after.voters_) ++domains[domain_of(kind, voter)].after;
    std::size_t all_before = 0, all_after = 0, lost = 0;
    std::size_t before_only = 0, for_both = 0, for_either = 0;
    for (const auto& [name, counts] : domains) {
        if (counts.after > 0) ++all_after;
        if (counts.before == 0) continue;
        ++all_before;
        const std::size_t decided = majority(counts.before), gone = counts.before - counts.kept;
        if (gone >= decided) ++lost;
        const std::size_t asked = majority(counts.after), held = decided - std::min(decided, gone);
        const bool after_can = counts.after > 0 && asked <= counts.kept;
        if (!after_can)
            ++before_only;
        else if (held + asked <= counts.kept)
            ++for_both;
        else
            ++for_either;
    }
    if (lost >= majority(all_before)) return false;
    const auto less = [](std::size_t whole, std::size_t part) { return whole - std::min(whole, part); };
    const std::size_t before_needs = less(majority(all_before), before_only + for_both);
    const std::size_t after_needs = less(majority(all_after), for_both);
    return before_needs + after_needs > for_either;
}

}  // namespace whinledge::storage_map
