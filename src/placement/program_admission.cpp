#include "placement/program_admission.hpp"

#include <algorithm>
#include <cmath>

namespace whinledge::placement {

bool ProgramAdmission::admit(const ProgramTurn& turn, Millis now) {
    if (!settings_.on || turn.program == 0) return true;
    look(now);
    const auto [known, is_new] = programs_.try_emplace(turn.program);
    Program& program = known->second;
    program.heard = now;
    if (is_new && !turn.continues) begins_.add(1, now, settings_.surge_memory_ms);
    const bool begins = !turn.continues && !program.begun;
    if ((begins || turn.lost) && !may_go(turn.rank, now)) {
        ++put_off_;
        return false;
    }
    program.begun = true;
    return true;
}

// Evenly among those that come, without a draw.
bool ProgramAdmission::may_go(int rank, Millis now) {
    owed_ += put_off_share_ * (rank == 0 ? settings_.highest_rank : 1);
    const bool due = owed_ >= 1;
    if (due) owed_ -= 1;
    if (due && now < let_in_at_ + settings_.let_in_ms) return false;
    let_in_at_ = now;
    return true;
}

void ProgramAdmission::awaits(const AwaitedEvent& event) {
    if (settings_.on && event.target > 0) awaited_.insert(event);
}

void ProgramAdmission::withdrawn(const AwaitedEvent& event) {
    if (const auto at = awaited_.find(event); at != awaited_.end()) awaited_.erase(at);
}

void ProgramAdmission::began(const AwaitedEvent& event, Millis now) {
    if (!settings_.on || event.target <= 0) return;
    withdrawn(event);
    first_events_.add(1, now, settings_.memory_ms);
    if (now > event.due()) late_.add(1, now, settings_.memory_ms);
}

double ProgramAdmission::overdue(Millis now) const {
    double events = 0;
    for (const AwaitedEvent& event : awaited_) {
        if (event.due() >= now) break;
        if (now - event.since <= settings_.most_overdue * event.target) ++events;
    }
    return events;
}

double ProgramAdmission::late_share(Millis now) const {
    const double waiting = overdue(now);
    const double samples = first_events_.at_time(now, settings_.memory_ms) + waiting;
    if (samples < settings_.least_samples) return 0;
    return (late_.at_time(now, settings_.memory_ms) + waiting) / samples;
}

void ProgramAdmission::look(Millis now) {
    if (now < looked_at_ + settings_.look_ms) return;
    looked_at_ = now;
    forget_those_over(now);
    const double late = late_share(now);
    learn_pace(late, now);
    if (now < since_ + settings_.unjudged_ms) return;
    if (overloaded_)
        change_share(late, now);
    else
        judge(late, now);
    late_before_ = late;
}

void ProgramAdmission::judge(double late, Millis now) {
    if (late < settings_.overload_dips_to) late_since_ = -1;
    if (late_since_ < 0 && late > settings_.overload_from) late_since_ = now;
    const bool alert = now < overloaded_at_ + settings_.alert_ms;
    const bool surge = (alert || late > settings_.surge_late_from) && surges(now);
    if (!surge) surge_since_ = -1;
    if (surge && surge_since_ < 0) surge_since_ = now;
    const bool sooner = surge && now - surge_since_ >= settings_.surge_after_ms;
    const bool lasting = late_since_ >= 0 && now - late_since_ >= settings_.overload_after_ms;
    if (!sooner && !lasting) return;
    overloaded_ = true;
    put_off_share_ = settings_.first_put_off;
}

void ProgramAdmission::learn_pace(double late, Millis now) {
    if (overloaded_ || late >= settings_.late_aim) return;
    const double pace = begins_.at_time(now, settings_.surge_memory_ms);
    if (usual_ < 0) usual_ = pace;
    usual_ += (pace - usual_) * settings_.look_ms / settings_.usual_memory_ms;
}

bool ProgramAdmission::surges(Millis now) const {
    if (usual_ < 0) return false;
    const double pace = begins_.at_time(now, settings_.surge_memory_ms);
    return pace >= settings_.least_surge && pace > settings_.surge * usual_;
}

// Of programs that would begin, what comes beyond a multiple of the usual pace.
double ProgramAdmission::surge_share(Millis now) const {
    if (!surges(now)) return 0;
    const double pace = begins_.at_time(now, settings_.surge_memory_ms);
    return std::clamp(1 - settings_.surge_let_in * usual_ / pace, 0.0, 1.0);
}

void ProgramAdmission::forget_those_over(Millis now) {
    std::erase_if(programs_,
                  [&](const auto& known) { return now > known.second.heard + settings_.known_for_ms; });
}

void ProgramAdmission::change_share(double late, Millis now) {
    overloaded_at_ = now;
    put_off_share_ += settings_.integral * (late - settings_.late_aim);
    put_off_share_ += settings_.proportional * (late - late_before_);
    if (late < settings_.late_aim) put_off_share_ *= settings_.calm_kept;
    put_off_share_ = std::clamp(put_off_share_, surge_share(now), 1.0);
    if (late >= settings_.late_aim || put_off_share_ >= settings_.over_below) return;
    overloaded_ = false;
    late_since_ = -1;
    put_off_share_ = 0;
    owed_ = 0;
}

}  // namespace whinledge::placement
