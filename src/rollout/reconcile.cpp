#include "rollout/reconcile.hpp"

#include "rollout/trial_schedule.hpp"

namespace whinledge::rollout {

namespace {

std::optional<Phase> next_phase(const wire::Rollout& rollout, const Findings& findings) {
    if (findings.bad) return Phase::reverted;
    const StepTimes times = step_times(rollout.within_ms);
    if (rollout.phase == Phase::shifting) {
        const bool due = findings.old_servers_idle || findings.elapsed_ms >= times.finish_by;
        return due ? std::optional(Phase::finished) : std::nullopt;
    }
    if (findings.elapsed_ms < times.shift_at) return std::nullopt;
    if (findings.enough) return Phase::shifting;
    if (findings.elapsed_ms >= times.decide_by) return Phase::reverted;
    return std::nullopt;
}

}  // namespace

std::optional<Step> next_step(const wire::Rollout& rollout, const Findings& findings) {
    if (!is_open(rollout)) return std::nullopt;
    const std::optional<Phase> phase = next_phase(rollout, findings);
    if (!phase) return std::nullopt;
    Step step;
    step.number = rollout.number;
    step.from = static_cast<Phase>(rollout.phase);
    step.to = *phase;
    step.elapsed_ms = findings.elapsed_ms;
    step.evidence = findings.evidence;
    if (*phase == Phase::reverted && !findings.bad)
        step.evidence = "tried too seldom to be judged: " + findings.evidence;
    return step;
}

}  // namespace whinledge::rollout
