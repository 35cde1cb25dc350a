// The finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
#pragma once

#include <cstdint>

namespace whinledge {

// The step by which a SplitMix64 generator's state rises with each number.
constexpr std::uint64_t kSplitMixStep = 0x9e3779b97f4a7c15;

// Every bit of the input reaches every bit of the result; the same on every machine and in every version.
constexpr std::uint64_t mix64(std::uint64_t z) {
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
}

}  // namespace whinledge
