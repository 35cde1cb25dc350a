// Figures of samples and of paired differences. Pure.
#pragma once

#include <vector>

namespace whinledge::lab {

// The smallest value that so large a share of the values does not exceed; 0 of none. Reorders them.
double percentile(std::vector<float>& values, double share);

struct Interval {
    double mean = 0;
    double half = 0;     // of the 95 % interval of the mean, by Student's t
    bool known = false;  // false: fewer than two values
    bool is_clear() const { return known && (mean - half > 0 || mean + half < 0); }
};
Interval interval(const std::vector<double>& values);
// Of b - a, pair by pair.
Interval paired(const std::vector<double>& a, const std::vector<double>& b);

// Of the 95 % interval, two-sided, by degrees of freedom.
double student_t(std::size_t degrees);

}  // namespace whinledge::lab
