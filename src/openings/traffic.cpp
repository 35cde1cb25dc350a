#include "openings/traffic.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace whinledge::openings {

namespace {

constexpr double kTellingChange = 0.2;  // of the larger figure
constexpr double kLeastRate = 0.05;     // requests a second; less is as good as none

bool changed(double told, double now) {
    return std::abs(told - now) > std::max(kTellingChange * std::max(told, now), kLeastRate);
}

bool heavier(const Opening& a, const Opening& b) {
    return a.weight() != b.weight() ? a.weight() > b.weight() : a.key < b.key;
}

bool differs(const ServiceTraffic& told, const ServiceTraffic& now) {
    if (told.service != now.service || changed(told.rate, now.rate)) return true;
    if (told.openings.size() != now.openings.size()) return true;
    std::map<std::uint64_t, double> rates;
    for (const Opening& opening : told.openings) rates.emplace(opening.key, opening.rate);
    return std::any_of(now.openings.begin(), now.openings.end(), [&](const Opening& opening) {
        const auto at = rates.find(opening.key);
        return at == rates.end() || changed(at->second, opening.rate);
    });
}

}  // namespace

Traffic heaviest(Traffic traffic, std::size_t most) {
    std::erase_if(traffic, [](const ServiceTraffic& service) { return service.rate < kLeastRate; });
    if (traffic.size() > kMostServices) {
        const auto busier = [](const auto& a, const auto& b) { return a.rate > b.rate; };
        std::sort(traffic.begin(), traffic.end(), busier);
        traffic.resize(kMostServices);
    }
    std::sort(traffic.begin(), traffic.end(),
              [](const auto& a, const auto& b) { return a.service < b.service; });
    std::vector<Opening> all;
    for (const ServiceTraffic& service : traffic)
        all.insert(all.end(), service.openings.begin(), service.openings.end());
    if (all.size() > most) {
        const auto last = all.begin() + static_cast<std::ptrdiff_t>(most);
        std::nth_element(all.begin(), last, all.end(), heavier);
        const Opening first_out = *last;
        for (ServiceTraffic& service : traffic)
            std::erase_if(service.openings,
                          [&](const Opening& opening) { return !heavier(opening, first_out); });
    }
    for (ServiceTraffic& service : traffic)
        std::sort(service.openings.begin(), service.openings.end(), heavier);
    return traffic;
}

bool differs(const Traffic& told, const Traffic& now) {
    if (told.size() != now.size()) return true;
    for (std::size_t i = 0; i < told.size(); ++i)
        if (differs(told[i], now[i])) return true;
    return false;
}

void TrafficSum::add(const Traffic& traffic) {
    for (const ServiceTraffic& told : traffic) {
        Service& service = services_[told.service];
        service.rate += told.rate;
        for (const Opening& opening : told.openings) {
            Opening& sum = service.openings[opening.key];
            sum.key = opening.key;
            sum.tokens = std::max(sum.tokens, opening.tokens);
            sum.rate += opening.rate;
        }
    }
}

Traffic TrafficSum::heaviest(std::size_t most) const {
    Traffic traffic;
    for (const auto& [name, sum] : services_) {
        ServiceTraffic service{name, sum.rate};
        for (const auto& [key, opening] : sum.openings) service.openings.push_back(opening);
        traffic.push_back(std::move(service));
    }
    return openings::heaviest(std::move(traffic), most);
}

}  // namespace whinledge::openings
