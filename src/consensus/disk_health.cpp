#include "consensus/disk_health.hpp"

#include <algorithm>

namespace whinledge::consensus {

void DiskHealth::written(Millis now) {
    ended_at_ = now;
    refusing_since_.reset();
    proven_ = true;
    if (!refuses_) return;
    if (!taking_since_) taking_since_ = now;
    if (now - *taking_since_ < probation_) return;
    refuses_ = false;
    trusted_at_ = now;
}

void DiskHealth::refused(Millis now) {
    ended_at_ = now;
    taking_since_.reset();
    if (!refusing_since_) refusing_since_ = now;
    const bool for_long = now - *refusing_since_ >= kRefusesAfter;
    if (!refuses_ && (for_long || !proven_)) withdraw(now);
}

void DiskHealth::withdraw(Millis now) {
    const bool relapse = trusted_at_ && now - *trusted_at_ < kRelapseWithin;
    probation_ = relapse ? std::min(2 * probation_, kMostProbation) : kLeastProbation;
    refuses_ = true;
    ++withdrawals_;
}

bool DiskHealth::probe_due(Millis now) const {
    const bool in_doubt = refuses_ || refusing_since_;
    return in_doubt && now - ended_at_ >= kProbeEvery;
}

}  // namespace whinledge::consensus
