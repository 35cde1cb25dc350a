#include "lab/random.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstddef>
#include <numbers>

#include "hash/mix64.hpp"

namespace whinledge::lab {

namespace {

std::uint64_t splitmix(std::uint64_t& state) { return mix64(state += kSplitMixStep); }

}  // namespace

Random::Random(std::initializer_list<std::uint64_t> names) {
    std::uint64_t seed = 0;
    for (const std::uint64_t name : names) {
        seed ^= name;
        seed = splitmix(seed);
    }
    for (std::uint64_t& word : state_) word = splitmix(seed);
}

std::uint64_t Random::next() {
    const std::uint64_t result = std::rotl(state_[1] * 5, 7) * 9;
    const std::uint64_t shifted = state_[1] << 17;
    state_[2] ^= state_[0];
    state_[3] ^= state_[1];
    state_[1] ^= state_[2];
    state_[0] ^= state_[3];
    state_[2] ^= shifted;
    state_[3] = std::rotl(state_[3], 45);
    return result;
}

double Random::share() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
std::uint64_t Random::below(std::uint64_t bound) {
    return std::min(bound - 1, static_cast<std::uint64_t>(share() * static_cast<double>(bound)));
}
double Random::exponential(double mean) { return -mean * std::log(1 - share()); }
double Random::normal() {
    const double radius = std::sqrt(-2 * std::log(1 - share()));
    return radius * std::cos(2 * std::numbers::pi * share());
}

double Random::amount(const Amount& amount) {
    if (amount.spread <= 0) return std::min(amount.mean, amount.most);
    const double variance = std::log(1 + amount.spread * amount.spread);
    const double drawn = amount.mean * std::exp(std::sqrt(variance) * normal() - variance / 2);
    return std::min(drawn, amount.most);
}

std::size_t Random::skewed(std::size_t count, double skew) {
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) sum += std::pow(static_cast<double>(i + 1), -skew);
    double at = share() * sum;
    for (std::size_t i = 0; i < count; ++i)
        if ((at -= std::pow(static_cast<double>(i + 1), -skew)) < 0) return i;
    return count - 1;
}

}  // namespace whinledge::lab
