#include "placement/start_rates.hpp"

#include <algorithm>
#include <cmath>

namespace whinledge::placement {

namespace {

// Weights stay within what a double holds; sums begin anew long before.
constexpr double kWornExponent = 200;
constexpr double kMostExponent = 700;
constexpr double kMillisPerSecond = 1000;

}  // namespace

double StartRates::GrowingWeight::at(Millis now) const {
    return std::exp(std::min((now - origin_) / memory_, kMostExponent));
}

double StartRates::GrowingWeight::rebase(Millis now) {
    const double factor = std::exp((origin_ - now) / memory_);
    origin_ = now;
    return factor;
}

bool StartRates::GrowingWeight::is_worn(Millis now) const { return now - origin_ > kWornExponent * memory_; }

StartRates::StartRates(Options options)
    : options_(options), weight_(options.memory), recent_weight_(options.recent_memory) {}

void StartRates::count(std::span<const PromptPart> starts, std::uint64_t program, Millis now) {
    if (weight_.is_worn(now) || recent_weight_.is_worn(now)) rebase(now);
    const double weight = weight_.at(now), recent = recent_weight_.at(now);
    requests_ += weight;
    recent_ += recent;
    for (const PromptPart& part : starts) {
        const auto [at, fresh] = starts_.try_emplace(part.id);
        Start& start = at->second;
        if (fresh) start.program = program;
        start.tokens = part.tokens;
        start.shared = start.shared || program == 0 || start.program != program;
        start.requests += weight;
        start.recent += recent;
    }
    if (starts_.size() > options_.capacity) forget_lightest();
}

void StartRates::rebase(Millis now) {
    const double factor = weight_.rebase(now), recent_factor = recent_weight_.rebase(now);
    requests_ *= factor;
    recent_ *= recent_factor;
    deducted_ *= factor;
    for (auto& [id, start] : starts_) {
        start.requests *= factor;
        start.recent *= recent_factor;
    }
}

// Deducts the middle count from all, and forgets whom it leaves with nothing: of all that is counted, at
// least half the room times that goes, so all deductions together are bounded by what came (Misra and Gries).
void StartRates::forget_lightest() {
    std::vector<double> sums;
    sums.reserve(starts_.size());
    for (const auto& [id, start] : starts_) sums.push_back(start.requests);
    const auto middle = sums.begin() + static_cast<std::ptrdiff_t>(sums.size() / 2);
    std::nth_element(sums.begin(), middle, sums.end());
    deducted_ += *middle;
    for (auto& [id, start] : starts_) start.requests -= *middle;
    std::erase_if(starts_, [](const auto& each) { return each.second.requests <= 0; });
}

bool StartRates::is_shared(std::uint64_t id) const {
    const auto at = starts_.find(id);
    return at != starts_.end() && at->second.shared;
}

double StartRates::share(std::uint64_t id, const Prior& prior, Millis now) const {
    const auto at = starts_.find(id);
    const double weight = weight_.at(now);
    const double own = at == starts_.end() ? 0 : at->second.requests;
    return (own + prior.requests * prior.share * weight) / (requests_ + prior.requests * weight);
}

double StartRates::rate(double recent, Millis now) const {
    return recent / recent_weight_.at(now) / (recent_weight_.memory() / kMillisPerSecond);
}

double StartRates::request_rate(Millis now) const { return rate(recent_, now); }

std::vector<BusyStart> StartRates::busiest(std::size_t most, Millis now) const {
    std::vector<BusyStart> busy;
    for (const auto& [id, start] : starts_) {
        if (!start.shared) continue;
        const double of_late = rate(start.recent, now);
        if (of_late >= options_.least_rate) busy.push_back({id, start.tokens, of_late});
    }
    const auto heavier = [](const BusyStart& a, const BusyStart& b) {
        const double of_a = a.rate * static_cast<double>(a.tokens);
        const double of_b = b.rate * static_cast<double>(b.tokens);
        return of_a != of_b ? of_a > of_b : a.id < b.id;
    };
    const std::size_t kept = std::min(most, busy.size());
    std::partial_sort(busy.begin(), busy.begin() + static_cast<std::ptrdiff_t>(kept), busy.end(), heavier);
    busy.resize(kept);
    return busy;
}

double StartRates::error_bound(Millis now) const { return deducted_ / weight_.at(now); }

}  // namespace whinledge::placement
