// What agent programs will do, drawn by seed ahead of a trial, so that all arms of an experiment play the
// same programs. Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/experiment.hpp"

namespace whinledge::lab {

struct ToolPlan {
    std::size_t kind = 0;
    Millis work = 0;
};

struct LinePlan;
struct TurnPlan {
    std::int64_t input = 0, output = 0;  // tokens
    Millis pause = 0;                    // behind it, ahead of what follows
    std::vector<ToolPlan> tools;         // at once, behind the pause
    std::vector<LinePlan> sub_agents;    // at once, in place of the tools
};
struct LinePlan {
    std::vector<TurnPlan> turns;
};

struct ProgramPlan {
    std::uint64_t id = 0;  // above 0
    std::size_t kind = 0;
    std::size_t zone = 0;
    Millis arrives = 0;
    PromptPart start{};  // the shared one
    LinePlan line{};
    Millis idle = 0;  // its time on idle servers, ways included
    Millis aim = 0;
    double worth = 0;
};

// All programs whose aim lies before the trial's end, by arrival.
std::vector<ProgramPlan> plan_programs(const Experiment& experiment, std::uint64_t seed);

}  // namespace whinledge::lab
