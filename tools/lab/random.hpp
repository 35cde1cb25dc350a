// Numbers drawn by seed, the same on every machine and with every standard library. Pure.
#pragma once

#include <cstdint>
#include <initializer_list>

namespace whinledge::lab {

// An amount that varies: log-normal about its mean, and never above the most.
struct Amount {
    double mean = 1;
    double spread = 0;  // standard deviation as a share of the mean
    double most = 1e12;
};

// xoshiro256**, seeded by splitmix64.
class Random {
public:
    // The same names give the same numbers: draws for one thing don't move those for another.
    explicit Random(std::initializer_list<std::uint64_t> names);

    std::uint64_t next();
    double share();                            // in [0, 1)
    std::uint64_t below(std::uint64_t bound);  // in [0, bound); bound above 0
    double exponential(double mean);
    double normal();
    double amount(const Amount& amount);
    // Of so many, the lower the likelier: by 1 / (index + 1)^skew.
    std::size_t skewed(std::size_t count, double skew);

private:
    std::uint64_t state_[4];
};

}  // namespace whinledge::lab
