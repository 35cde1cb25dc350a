// How a set of machines is spread over zones and regions, and what one loss can take of it. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "failure_domain/loss_tolerance.hpp"

namespace whinledge::failure_domain {

class Spread {
public:
    void add(const Location& location);

    std::size_t machines() const { return machines_; }
    std::size_t zones() const { return by_zone_.size(); }
    std::size_t regions() const { return by_region_.size(); }
    std::size_t machines_in_zone(const std::string& zone) const;
    std::size_t machines_in_region(const std::string& region) const;

    // One of them is left after any loss that is tolerated.
    bool outlasts(const LossTolerance& tolerance) const;
    // The most machines that one loss can take.
    std::size_t largest_loss(const LossTolerance& tolerance) const;
    // After any loss a majority of them is left.
    bool keeps_majority(const LossTolerance& tolerance) const;
    // The zones and regions that are left of them after the worst loss of each kind.
    std::size_t zones_left(const LossTolerance& tolerance) const;
    std::size_t regions_left(const LossTolerance& tolerance) const;

private:
    std::size_t machines_ = 0;
    std::map<std::string, std::size_t> by_zone_, by_region_;  // machines
    std::map<std::string, std::map<std::string, std::size_t>> zones_of_region_;
};

// The sum of the `count` largest.
std::size_t sum_of_largest(std::vector<std::size_t> sizes, std::size_t count);
// Of domains that each take so much to lose, the most that `budget` can lose.
std::size_t most_lost(std::vector<std::size_t> costs, std::size_t budget);

}  // namespace whinledge::failure_domain
