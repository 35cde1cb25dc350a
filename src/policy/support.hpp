// What the decisions calculate with. Nothing here decides anything.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "kestrelhall/balancer.hpp"

namespace kestrelhall {

// Throws std::invalid_argument naming the setting that makes no sense.
void validate(const Settings& settings);

// What is left at now of a weight of 1 at since, for a memory of that length.
inline double fade(Millis since, Millis now, Millis memory) { return std::exp((since - now) / memory); }

// A running mean of about the last `samples`; where they are rare, of the last `memory`.
struct Mean {
    double value = 0;
    Millis at = -1e9;
    void add(double sample, Millis now, double samples, Millis memory) {
        value += (sample - value) * std::max(1 / samples, 1 - fade(at, now, memory));
        at = now;
    }
};

// A sum that fades: each amount added loses its weight over `memory`.
struct Tally {
    double value = 0;
    Millis at = 0;
    double at_time(Millis now, Millis memory) const { return value * fade(at, now, memory); }
    void add(double amount, Millis now, Millis memory) {
        value = at_time(now, memory) + amount;
        at = now;
    }
};

// Of amounts that lose their weight so.
struct Average {
    Tally sum, count;
    double value() const { return sum.value / count.value; }
    void add(double amount, Millis now, Millis memory) {
        sum.add(amount, now, memory);
        count.add(1, now, memory);
    }
};

// The most of late: of the last one to two spans.
struct Peak {
    double latest = 0, before = 0;
    Millis since = -1e9;
    void add(double sample, Millis now, Millis span) {
        if (now >= since + span) {
            before = now < since + 2 * span ? latest : 0;
            latest = sample, since = now;
        }
        latest = std::max(latest, sample);
    }
    double value() const { return std::max(latest, before); }
};

// SplitMix64: the same numbers with every standard library.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

private:
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }
    std::uint64_t state_;
};

// So many of them, from a random place on where that is not all.
template <class T, class Take>
void some_of(Random& random, const std::vector<T*>& from, std::size_t most, Take take) {
    const std::size_t n = from.size(), first = n > most ? random.below(n) : 0;
    for (std::size_t i = 0; i < std::min(n, most); ++i) take(*from[(first + i) % n]);
}

// The point of a number in the unit interval: whichever numbers follow each other fill it evenly, from a
// start on (additive recurrence by the golden ratio).
inline double lattice(double start, double number) {
    const double at = start + number * 0.6180339887498949;
    return at - std::floor(at);
}

}  // namespace kestrelhall
