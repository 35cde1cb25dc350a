#include "lab/victims.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace whinledge::lab {

namespace {

constexpr std::uint64_t kVictimDraws = 22;  // names these draws

}  // namespace

std::vector<std::size_t> victims(const Trouble& trouble, TroubleDraw draw, std::size_t among) {
    std::vector<std::size_t> all(among);
    std::iota(all.begin(), all.end(), 0);
    Random random({draw.seed, kVictimDraws, draw.trouble});
    for (std::size_t i = among; i > 1; --i) std::swap(all[i - 1], all[random.below(i)]);
    const auto share = static_cast<std::size_t>(std::llround(trouble.servers * static_cast<double>(among)));
    all.resize(std::max<std::size_t>(1, share));
    std::sort(all.begin(), all.end());
    return all;
}

}  // namespace whinledge::lab
