// Whether an acceptor's disk can be counted on, judged by how its writes end.
//
// One refusal among writes that succeed changes nothing: the disk may have room again a moment later. Once
// every write has been refused for kRefusesAfter the disk counts as refusing, and its acceptor as not there.
// Until a first write since the start has succeeded one refusal is enough, so that a restart on a full disk
// does not make an acceptor of it again.
//
// It counts as taking writes again once every write has succeeded for the length of its probation, which
// doubles with each relapse: a disk that is full and free in turn costs a bounded number of changes of the
// acceptors.
#pragma once

#include <cstdint>
#include <optional>

#include "consensus/ballot.hpp"

namespace whinledge::consensus {

// Shorter than the time after which an acceptor that is not there is replaced, and longer than what a log
// that is being rotated or a quota that is being raised takes.
inline constexpr Millis kRefusesAfter = 2000;
// Between writes that only try the disk, while it is in doubt.
inline constexpr Millis kProbeEvery = 500;
inline constexpr Millis kLeastProbation = 2000, kMostProbation = 64'000;
// A disk that took its writes for so long begins with the least probation again.
inline constexpr Millis kRelapseWithin = 600'000;

class DiskHealth {
public:
    // A write has ended at `now`.
    void written(Millis now);
    void refused(Millis now);

    bool refuses() const { return refuses_; }
    // Nothing else may write to the disk; it has to be tried to learn more of it.
    bool probe_due(Millis now) const;
    // How often the disk began to count as refusing.
    std::uint64_t withdrawals() const { return withdrawals_; }

private:
    void withdraw(Millis now);

    bool proven_ = false;  // a write has succeeded since the start
    bool refuses_ = false;
    std::optional<Millis> refusing_since_;  // all writes since then were refused
    std::optional<Millis> taking_since_;    // on probation: all writes since then succeeded
    std::optional<Millis> trusted_at_;      // end of the last probation
    Millis probation_ = kLeastProbation;
    Millis ended_at_ = 0;  // the last write
    std::uint64_t withdrawals_ = 0;
};

}  // namespace whinledge::consensus
