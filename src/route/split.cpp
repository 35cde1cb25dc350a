#include "route/split.hpp"

#include <cmath>
#include <limits>

#include "route/text.hpp"

namespace whinledge::route {

std::optional<std::size_t> choose(std::span<const Share> shares, std::uint64_t random) {
    std::uint64_t sum = 0;  // below 2^32: Table::compile
    for (const Share& share : shares) sum += share.weight;
    std::uint64_t mark = ((random >> 32) * sum) >> 32;  // uniform in [0, sum)
    for (std::size_t at = 0; at < shares.size(); ++at) {
        if (mark < shares[at].weight) return at;
        mark -= shares[at].weight;
    }
    return std::nullopt;
}

std::optional<std::size_t> choose_by_key(std::span<const Share> shares, std::string_view key) {
    const std::uint64_t hash = hash_of(key);
    std::optional<std::size_t> best;
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t at = 0; at < shares.size(); ++at) {
        if (shares[at].weight == 0) continue;
        const std::uint64_t bits = mix64(hash ^ mix64(shares[at].seed));
        const double u = (static_cast<double>(bits >> 11) + 0.5) * 0x1p-53;  // in (0, 1)
        const double draw = -std::log(u) / shares[at].weight;
        if (draw >= least) continue;
        least = draw;
        best = at;
    }
    return best;
}

std::optional<std::string_view> split_key(const SplitKey& by, const RequestView& request) {
    if (by.from == SplitKey::From::query) return query_value(request.query, by.name);
    if (!request.headers) return std::nullopt;
    if (by.from == SplitKey::From::cookie) return cookie(*request.headers, by.name);
    return request.headers->value(by.name, 0);
}

}  // namespace whinledge::route
