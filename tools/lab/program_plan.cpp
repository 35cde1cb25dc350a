#include "lab/program_plan.hpp"

#include <algorithm>
#include <cmath>

namespace whinledge::lab {

namespace {

enum Stream : std::uint64_t { kArrivals = 1, kProgram, kStart };

constexpr double kPlainWorth = 0.3;  // of a program of no size; the rest goes by its size
constexpr double kMostWorth = 4;     // times the kind's

std::int64_t whole(double amount) { return std::max<std::int64_t>(1, std::llround(amount)); }

class Planner {
public:
    Planner(const Experiment& experiment, const ProgramKind& kind, Random& random)
        : experiment_(experiment), kind_(kind), random_(random) {}

    LinePlan line(const Amount& turns, bool has_sub_agents) {
        LinePlan line;
        const std::int64_t count = whole(random_.amount(turns));
        for (std::int64_t i = 0; i < count; ++i) line.turns.push_back(turn(i + 1 == count, has_sub_agents));
        return line;
    }

    // What its turns, pauses, slowest tools and slowest sub-agents need on idle servers. `said`: tokens that
    // the line begins with, `unread` of them read by nobody.
    Millis idle(const LinePlan& line, std::int64_t said, std::int64_t unread) const {
        const ModelSettings& model = experiment_.deployment.model;
        Millis sum = 0;
        for (const TurnPlan& turn : line.turns) {
            said += turn.input;
            const std::int64_t reads = kind_.aim_reads_all ? said : turn.input + unread;
            unread = 0;
            sum += static_cast<double>(reads) / model.prefill_tokens_per_ms +
                   static_cast<double>(turn.output) * (model.step_ms + model.step_ms_per_running) +
                   kind_.way_ms + turn.pause;
            said += turn.output;
            Millis slowest = 0;
            for (const ToolPlan& tool : turn.tools) slowest = std::max(slowest, tool.work);
            for (const LinePlan& sub : turn.sub_agents) slowest = std::max(slowest, idle(sub, said, 0));
            sum += slowest;
        }
        return sum;
    }

private:
    TurnPlan turn(bool last, bool has_sub_agents) {
        TurnPlan turn;
        turn.input = whole(random_.amount(kind_.input_tokens));
        turn.output = whole(random_.amount(kind_.output_tokens));
        if (last) return turn;
        turn.pause = random_.amount(kind_.pause_ms);
        if (has_sub_agents && random_.share() < kind_.sub_agents) {
            const std::int64_t width = whole(random_.amount(kind_.sub_agent_width));
            for (std::int64_t i = 0; i < width; ++i)
                turn.sub_agents.push_back(line(kind_.sub_agent_turns, false));
            return turn;
        }
        for (const ToolUse& use : kind_.tools) {
            if (random_.share() >= use.share) continue;
            for (int i = 0; i < use.times; ++i)
                turn.tools.push_back({use.kind, random_.amount(experiment_.tools[use.kind].work_ms)});
        }
        return turn;
    }

    const Experiment& experiment_;
    const ProgramKind& kind_;
    Random& random_;
};

// The traffic at a time, as a multiple of the plain one.
double traffic_factor(const Experiment& experiment, Millis at) {
    double factor = 1;
    for (const Trouble& trouble : experiment.troubles)
        if (trouble.kind == TroubleKind::burst && at >= trouble.at && at < trouble.at + trouble.lasts)
            factor *= trouble.factor;
    return factor;
}

// Poisson, with bursts: drawn at the highest rate and thinned.
std::vector<Millis> arrivals(const Experiment& experiment, double per_second, Random& random) {
    double most = 1;
    for (const Trouble& trouble : experiment.troubles)
        if (trouble.kind == TroubleKind::burst) most *= std::max(1.0, trouble.factor);
    std::vector<Millis> times;
    if (per_second <= 0) return times;
    Millis at = 0;
    while ((at += random.exponential(1000 / (per_second * most))) < experiment.traffic_ms)
        if (random.share() * most < traffic_factor(experiment, at)) times.push_back(at);
    return times;
}

PromptPart start_of(const ProgramKind& kind, std::size_t kind_index, std::size_t start, std::uint64_t seed) {
    Random random({seed, kStart, kind_index, start});
    return {random.next() | 1, whole(random.amount(kind.start_tokens))};
}

void add_programs(const Experiment& experiment, std::size_t kind_index, std::uint64_t seed,
                  std::vector<ProgramPlan>& plans) {
    const ProgramKind& kind = experiment.programs[kind_index];
    Random times({seed, kArrivals, kind_index});
    std::uint64_t number = 0;
    std::vector<ProgramPlan> own;
    double idle_sum = 0;
    for (const Millis at : arrivals(experiment, kind.per_second, times)) {
        Random random({seed, kProgram, kind_index, number++});
        Planner planner(experiment, kind, random);
        ProgramPlan plan;
        plan.kind = kind_index;
        plan.arrives = at;
        plan.zone = random.below(experiment.deployment.zones.size());
        plan.start = start_of(kind, kind_index, random.skewed(kind.starts, kind.start_skew), seed);
        plan.line = planner.line(kind.turns, true);
        plan.idle = planner.idle(plan.line, plan.start.tokens, plan.start.tokens);
        plan.aim = kind.aim * plan.idle + kind.objective_ms;
        idle_sum += plan.idle;
        own.push_back(std::move(plan));
    }
    const double mean = own.empty() ? 1 : idle_sum / static_cast<double>(own.size());
    for (ProgramPlan& plan : own) {
        plan.worth = kind.worth * std::min(kMostWorth, kPlainWorth + (1 - kPlainWorth) * plan.idle / mean);
        if (plan.arrives + plan.aim <= experiment.traffic_ms + experiment.finish_ms)
            plans.push_back(std::move(plan));
    }
}

}  // namespace

std::vector<ProgramPlan> plan_programs(const Experiment& experiment, std::uint64_t seed) {
    std::vector<ProgramPlan> plans;
    for (std::size_t kind = 0; kind < experiment.programs.size(); ++kind)
        add_programs(experiment, kind, seed, plans);
    std::stable_sort(plans.begin(), plans.end(),
                     [](const ProgramPlan& a, const ProgramPlan& b) { return a.arrives < b.arrives; });
    std::uint64_t id = 0;
    for (ProgramPlan& plan : plans) plan.id = ++id;
    return plans;
}

}  // namespace whinledge::lab
