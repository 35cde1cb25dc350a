// One node's part in the shared sense of which openings are busiest: when it tells what has come through it,
// and what it holds of what came through all. Pure: no I/O and no clock; times are milliseconds on any clock
// that never goes back.
#pragma once

#include <cstdint>
#include <optional>

#include "openings/traffic.hpp"

namespace whinledge::openings {

class Teller {
public:
    struct Options {
        Millis pace = 300;     // between two words
        Millis soonest = 100;  // where what there is to tell has become another
        Millis holds = 3000;   // of a sum that nobody confirms
    };
    // What a node tells, and which sum it holds.
    struct Word {
        std::uint64_t sequence = 0;
        Traffic seen{};
        std::uint64_t known_source = 0, known_version = 0;
    };
    struct Answer {
        std::uint64_t source = 0, version = 0;
        std::optional<Traffic> sum{};  // none: the one that the word named
    };

    Teller() : Teller(Options()) {}
    explicit Teller(Options options);

    // Whether a word may be due: what there is to tell is worth working out.
    bool is_open(Millis now) const { return !is_out_ && now - told_at_ >= options_.soonest; }
    // What to tell now; none: nothing is due, or a word is out.
    std::optional<Word> due(const Traffic& seen, Millis now);
    // The word that is out has its answer. True: the sum is another.
    bool answered(Answer answer, Millis now);
    void failed();
    // The word that is out and the sum are forgotten; later words still count as newer than those before.
    void forget();

    // As last heard; empty where that was too long ago.
    const Traffic& sum(Millis now);

private:
    Options options_;
    bool is_out_ = false;
    std::uint64_t sequence_ = 0;
    Millis told_at_;
    Traffic told_;
    std::uint64_t source_ = 0, version_ = 0;  // of the sum held; 0: none
    Traffic sum_;
    Millis heard_at_ = 0;
};

}  // namespace whinledge::openings
