// Whom a trouble befalls. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "lab/experiment.hpp"

namespace whinledge::lab {

struct TroubleDraw {
    std::uint64_t seed = 0;   // of the trial
    std::size_t trouble = 0;  // its place in the experiment
};

// Indexes below `among`, rising; one at least. The same ones on all arms of a seed.
std::vector<std::size_t> victims(const Trouble& trouble, TroubleDraw draw, std::size_t among);

}  // namespace whinledge::lab
