#include "fleet/links.hpp"

#include <algorithm>
#include <cmath>

namespace whinledge::fleetrig {

namespace {

// What is out of order comes so much later than it would: behind several that follow it.
constexpr Millis kReorderLeast = 5, kReorderMost = 60;

std::uint64_t mix(std::uint64_t z) {
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
}

// By counting: the n-th datagram of a pair meets the same luck in each run with the seed.
class Luck {
public:
    Luck(std::uint64_t seed, std::uint64_t pair, std::uint32_t n)
        : state_(mix(seed + mix(pair)) + mix(n + 1)) {}
    double unit() { return static_cast<double>(mix(state_ += 0x9e3779b97f4a7c15) >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

bool is_on(const Rule& rule, Millis now) {
    return rule.flap <= 0 || std::fmod(now - rule.begins, 2 * rule.flap) < rule.flap;
}

}  // namespace

Links::Id Links::add(Rule rule) {
    rules_.push_back({next_, std::move(rule)});
    return next_++;
}

void Links::remove(Id id) {
    std::erase_if(rules_, [id](const Named& named) { return named.id == id; });
}

Links::Fate Links::fate(Node from, Node to, Millis now) {
    const std::uint64_t pair = static_cast<std::uint64_t>(from) << 32 | to;
    Luck luck(seed_, pair, count_[pair]++);
    Fate fate;
    Millis delay = 0;
    bool twice = false;
    for (const auto& [id, rule] : rules_) {
        if (!rule.applies(from, to)) continue;
        // Drawn whether needed or not: a rule that is off for a while shifts nobody's luck.
        const double lost = luck.unit(), doubled = luck.unit(), late = luck.unit(), jitter = luck.unit();
        const double held = luck.unit();
        if (!is_on(rule, now)) continue;
        if (rule.cut || lost < rule.loss) return {};
        if (held < rule.hold) fate.held_by = id;
        twice = twice || doubled < rule.doubled;
        delay += rule.delay + jitter * rule.jitter;
        if (late < rule.reorder) delay += kReorderLeast + jitter * (kReorderMost - kReorderLeast);
    }
    fate.copies.push_back(delay);
    if (twice) fate.copies.push_back(delay + luck.unit() * kReorderMost);
    return fate;
}

}  // namespace whinledge::fleetrig
