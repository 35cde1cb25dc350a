#include <algorithm>
#include <cstdio>

#include "lab/results.hpp"
#include "lab/statistics.hpp"

namespace whinledge::lab {

namespace {

constexpr std::size_t kNameWidth = 30, kCellWidth = 22;

std::string number(double value, int digits, bool sign = false) {
    char text[64];
    std::snprintf(text, sizeof text, sign ? "%+.*f" : "%.*f", digits, value);
    return text;
}

std::string padded(std::string text, std::size_t width) {
    if (text.size() < width) text.append(width - text.size(), ' ');
    return text + ' ';
}

std::string with_half(const Interval& of, int digits, bool sign) {
    std::string text = number(of.mean, digits, sign);
    if (of.known) text.append(" +-").append(number(of.half, digits));
    return text;
}

std::string name(const Figure& figure) {
    return figure.unit.empty() ? figure.name : figure.name + ", " + figure.unit;
}

std::string heading(const Results& results, std::size_t from) {
    std::string text = padded("", kNameWidth);
    for (std::size_t i = from; i < results.arms.size(); ++i)
        text += padded(results.arms[i].arm.name, kCellWidth);
    return text + '\n';
}

}  // namespace

std::string text_report(const Results& results) {
    const Experiment& experiment = results.experiment;
    std::string text = experiment.title + "\n";
    text.append(std::to_string(experiment.seeds)).append(" seeds from ");
    text.append(std::to_string(experiment.first_seed)).append(", ");
    text.append(number(experiment.traffic_ms / 1000, 0))
        .append(" s of traffic each; means, +- half of the 95 % interval\n\n");
    text += heading(results, 0);
    for (std::size_t f = 0; f < results.figures.size(); ++f) {
        text += padded(name(results.figures[f]), kNameWidth);
        for (const ArmResults& arm : results.arms)
            text += padded(with_half(interval(arm.column(f)), results.figures[f].digits, false), kCellWidth);
        text += '\n';
    }
    if (results.arms.size() > 1) {
        text.append("\nless ").append(results.arms[0].arm.name);
        text.append(", pair by pair; * the interval is clear of 0\n").append(heading(results, 1));
        for (std::size_t f = 0; f < results.figures.size(); ++f) {
            text += padded(name(results.figures[f]), kNameWidth);
            for (std::size_t i = 1; i < results.arms.size(); ++i) {
                const Interval of = paired(results.arms[0].column(f), results.arms[i].column(f));
                text += padded(with_half(of, results.figures[f].digits, true) + (of.is_clear() ? " *" : ""),
                               kCellWidth);
            }
            text += '\n';
        }
    }
    for (const ArmResults& arm : results.arms)
        if (!arm.ends_add_up) text += "\nFAULT of the lab: ends do not add up on arm " + arm.arm.name + "\n";
    return text;
}

}  // namespace whinledge::lab
