// The newest word of each of many tellers, for as long as a word holds. Taking a word twice, or an older one
// later, changes nothing, so nobody counts twice. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "openings/traffic.hpp"

namespace whinledge::openings {

class NewestParts {
public:
    // Words hold for `holds`; of more tellers than `most`, those not known yet are not taken.
    NewestParts(Millis holds, std::size_t most) : holds_(holds), most_(most) {}

    enum class Taken { newcomer, newer, no };
    Taken take(std::uint64_t teller, std::uint64_t sequence, Traffic traffic, Millis now);
    // Forgets a teller whose word is older than one that it has given elsewhere.
    void drop_older(std::uint64_t teller, std::uint64_t sequence);
    std::uint64_t sequence_of(std::uint64_t teller) const;  // 0: not known
    // Forgets words that have held for long enough.
    void expire(Millis now);

    void add_to(TrafficSum& sum) const;
    std::size_t size() const { return parts_.size(); }

private:
    struct Part {
        std::uint64_t sequence = 0;
        Millis at = 0;
        Traffic traffic;
    };
    Millis holds_;
    std::size_t most_;
    std::unordered_map<std::uint64_t, Part> parts_;
};

}  // namespace whinledge::openings
