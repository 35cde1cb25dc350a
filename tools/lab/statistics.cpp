#include "lab/statistics.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace whinledge::lab {

double percentile(std::vector<float>& values, double share) {
    if (values.empty()) return 0;
    const auto rank = static_cast<std::ptrdiff_t>(std::ceil(share * static_cast<double>(values.size()))) - 1;
    const auto at =
        values.begin() + std::clamp<std::ptrdiff_t>(rank, 0, static_cast<std::ptrdiff_t>(values.size()) - 1);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

double student_t(std::size_t degrees) {
    constexpr std::array<double, 30> kTable = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306,
                                               2.262,  2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120,
                                               2.110,  2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064,
                                               2.060,  2.056, 2.052, 2.048, 2.045, 2.042};
    if (degrees == 0) return 0;
    if (degrees <= kTable.size()) return kTable[degrees - 1];
    return 1.960 + 2.5 / static_cast<double>(degrees);  // within 0.005 from 31 on
}

Interval interval(const std::vector<double>& values) {
    Interval made;
    if (values.empty()) return made;
    const auto count = static_cast<double>(values.size());
    for (const double value : values) made.mean += value / count;
    if (values.size() < 2) return made;
    double squares = 0;
    for (const double value : values) squares += (value - made.mean) * (value - made.mean);
    made.half = student_t(values.size() - 1) * std::sqrt(squares / (count - 1) / count);
    made.known = true;
    return made;
}

Interval paired(const std::vector<double>& a, const std::vector<double>& b) {
    std::vector<double> differences;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) differences.push_back(b[i] - a[i]);
    return interval(differences);
}

}  // namespace whinledge::lab
