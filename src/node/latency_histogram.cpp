#include "node/latency_histogram.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace whinledge::node {
namespace {

std::size_t bucket_of(double milliseconds, std::size_t buckets) {
    if (!(milliseconds > LatencyHistogram::kShortestMs)) return 0;
    const double steps =
        std::log(milliseconds / LatencyHistogram::kShortestMs) / std::log(LatencyHistogram::kGrowth);
    return std::min(static_cast<std::size_t>(std::ceil(steps)), buckets - 1);
}

}  // namespace

void LatencyHistogram::record(double milliseconds) {
    ++buckets_[bucket_of(milliseconds, kBuckets)];
    ++count_;
}

double LatencyHistogram::quantile(double share) const {
    if (count_ == 0) return 0;
    const auto wanted =
        static_cast<std::uint64_t>(std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < kBuckets && (seen += buckets_[bucket]) < std::max<std::uint64_t>(wanted, 1)) ++bucket;
    return kShortestMs * std::pow(kGrowth, static_cast<double>(bucket));
}

std::string LatencyHistogram::summary() const {
    constexpr double kMedian = 0.5, kMost = 0.95, kNearlyAll = 0.99;
    std::array<char, 96> text{};
    std::snprintf(text.data(), text.size(), "%.1f/%.1f/%.1f (%llu)", quantile(kMedian), quantile(kMost),
                  quantile(kNearlyAll), static_cast<unsigned long long>(count_));
    return text.data();
}

}  // namespace whinledge::node
