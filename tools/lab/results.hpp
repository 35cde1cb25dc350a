// What the trials of an experiment gave, arm by arm and seed by seed, and its reports.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/measures.hpp"
#include "lab/trial.hpp"

namespace whinledge::lab {

// A figure that is compared, and how it is shown.
struct Figure {
    std::string name, unit;
    int digits = 3;
    bool more_is_better = true;
};

// Figures of one trial, in the order of figures().
using Row = std::vector<double>;

struct ArmResults {
    Arm arm;
    std::vector<Row> rows;  // by seed
    bool ends_add_up = true;
    std::vector<double> column(std::size_t figure) const;
};

struct Results {
    Experiment experiment;
    std::vector<Figure> figures;
    std::vector<ArmResults> arms;
};

std::vector<Figure> figures(const Experiment& experiment);
Row row(const Experiment& experiment, Measures measures);

// Plays one trial: simulated (`run_trial`), or on processes of this machine (`run_live_trial`).
using TrialRunner = std::function<Measures(const Experiment&, const Arm&, std::uint64_t seed)>;

// Plays all arms with each seed. `progress` is told after each trial, of how many there are.
Results play(const Experiment& experiment, const std::function<void(int done, int of)>& progress,
             const TrialRunner& runner = run_trial);

std::string text_report(const Results& results);
// One file that needs nothing else.
std::string html_report(const Results& results);

}  // namespace whinledge::lab
