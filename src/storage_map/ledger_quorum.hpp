// Which sets of a ledger's voters decide: any two of them meet. A majority of the voters does, and that is
// the rule where machines alone may be lost. Where one loss takes a zone or a region with too many of the
// voters, a majority of the zones (or regions) decides, each by a majority of its voters. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::storage_map {

struct LedgerVoter {
    std::int64_t identity = 0;
    failure_domain::Location at;

    bool operator==(const LedgerVoter& other) const = default;
};

class LedgerQuorum {
public:
    LedgerQuorum() = default;
    // By the first of zones, regions and machines that bears the losses; where none does, by machines.
    LedgerQuorum(const std::vector<LedgerVoter>& voters, const failure_domain::LossTolerance& survive);

    const std::set<std::int64_t>& voters() const { return identities_; }
    // These decide; others than voters don't count.
    bool is_met_by(const std::set<std::int64_t>& identities) const;
    // After any loss that is to be borne, those that are left decide.
    bool bears_losses() const { return bears_losses_; }
    // Whether all that decide by this meet, in a voter that is there, all that decide by `after`. Voters that
    // came since have followed all others before they voted: they hold what was decided.
    bool meets(const LedgerQuorum& after) const;

    bool operator==(const LedgerQuorum& other) const = default;

private:
    enum class Kind { machines, zones, regions };
    using Domains = std::vector<std::set<std::int64_t>>;

    static bool bears(Kind kind, const std::vector<LedgerVoter>& voters,
                      const failure_domain::LossTolerance& survive);
    static std::string domain_of(Kind kind, const LedgerVoter& voter);
    static Domains domains_of(Kind kind, const std::vector<LedgerVoter>& voters);
    // Another kind decides by the same sets.
    bool is_also(Kind kind) const;
    bool meets_by(Kind kind, const LedgerQuorum& after) const;

    Kind kind_ = Kind::machines;
    bool bears_losses_ = false;
    std::vector<LedgerVoter> voters_;
    std::set<std::int64_t> identities_;
    Domains domains_;  // where it goes by zones or regions
};

}  // namespace whinledge::storage_map
