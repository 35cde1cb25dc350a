#include "lab/results.hpp"

#include <utility>

#include "lab/statistics.hpp"

namespace whinledge::lab {

std::vector<double> ArmResults::column(std::size_t figure) const {
    std::vector<double> values;
    for (const Row& row : rows) values.push_back(row[figure]);
    return values;
}

std::vector<Figure> figures(const Experiment& experiment) {
    std::vector<Figure> all{{"worth earned of worth owed", "", 4, true}};
    for (const ProgramKind& kind : experiment.programs)
        all.push_back({"in time: " + kind.name, "share", 4, true});
    for (const char* what : {"first event", "pause"})
        for (const char* share : {"50", "95", "99"})
            all.push_back({std::string(what) + " " + share + " %", "ms", 1, false});
    all.push_back({"prompt tokens read twice", "share", 4, false});
    all.push_back({"prompt tokens read", "k", 0, false});
    all.push_back({"bytes between zones", "kB", 0, false});
    all.push_back({"connections", "", 0, false});
    all.push_back({"preempted", "", 1, false});
    all.push_back({"tries refused", "", 1, false});
    return all;
}

Row row(const Experiment& experiment, Measures measures) {
    Row made{measures.worth()};
    for (std::size_t i = 0; i < experiment.programs.size(); ++i) {
        const KindMeasures& kind = measures.kinds[i];
        const auto programs = static_cast<double>(kind.programs);
        made.push_back(kind.programs ? static_cast<double>(kind.in_time) / programs : 1);
    }
    for (std::vector<float>* const values : {&measures.first_events, &measures.pauses})
        for (const double share : {0.5, 0.95, 0.99}) made.push_back(percentile(*values, share));
    made.push_back(measures.read_twice_share());
    made.push_back(measures.tokens_read / 1000);
    made.push_back(measures.cross_zone_bytes / 1000);
    made.push_back(static_cast<double>(measures.connections));
    made.push_back(static_cast<double>(measures.preempted));
    made.push_back(static_cast<double>(measures.tries.refused));
    return made;
}

Results play(const Experiment& experiment, const std::function<void(int done, int of)>& progress,
             const TrialRunner& runner) {
    Results results{experiment, figures(experiment), {}};
    for (const Arm& arm : experiment.arms) results.arms.push_back({arm, {}, true});
    const int of = experiment.seeds * static_cast<int>(experiment.arms.size());
    int done = 0;
    for (int i = 0; i < experiment.seeds; ++i) {
        for (ArmResults& arm : results.arms) {
            Measures measures =
                runner(experiment, arm.arm, experiment.first_seed + static_cast<std::uint64_t>(i));
            arm.ends_add_up = arm.ends_add_up && measures.tries.add_up() && measures.attempts.add_up();
            arm.rows.push_back(row(experiment, std::move(measures)));
            if (progress) progress(++done, of);
        }
    }
    return results;
}

}  // namespace whinledge::lab
