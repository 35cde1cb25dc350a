// How long something took, over the life of a process: counts in buckets whose bounds rise by a tenth, from
// which quantiles are read. Its size is fixed, and recording costs a logarithm. Pure.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace whinledge::node {

class LatencyHistogram {
public:
    static constexpr double kShortestMs = 0.1;  // what is shorter counts as this
    static constexpr double kGrowth = 1.1;      // of one bucket's bound to the next one's

    // Milliseconds. Negative times, of clocks that disagree, count as the shortest.
    void record(double milliseconds);

    std::uint64_t count() const { return count_; }
    // The upper bound, in milliseconds, of the bucket in which the quantile lies: at most a tenth above the
    // true value, but for values beyond the last bucket (about 90 s), which count as its bound. 0 where
    // nothing was recorded. `share` is from 0 to 1.
    double quantile(double share) const;

    // For a line of counters: "12.1/30.8/46.0 (420)", the median, the 95 and 99 % quantile in milliseconds,
    // and of how many.
    std::string summary() const;

private:
    static constexpr std::size_t kBuckets = 145;

    std::array<std::uint32_t, kBuckets> buckets_{};
    std::uint64_t count_ = 0;
};

}  // namespace whinledge::node
