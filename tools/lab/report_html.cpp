#include <algorithm>
#include <cmath>
#include <cstdio>

#include "lab/results.hpp"
#include "lab/statistics.hpp"

namespace whinledge::lab {

namespace {

constexpr double kWidth = 560, kRowHeight = 26, kLabelWidth = 150, kMargin = 20;

std::string number(double value, int digits, bool sign = false) {
    char text[64];
    std::snprintf(text, sizeof text, sign ? "%+.*f" : "%.*f", digits, value);
    return text;
}

std::string escaped(const std::string& text) {
    std::string safe;
    for (const char c : text) {
        if (c == '<')
            safe += "&lt;";
        else if (c == '>')
            safe += "&gt;";
        else if (c == '&')
            safe += "&amp;";
        else if (c == '"')
            safe += "&quot;";
        else
            safe += c;
    }
    return safe;
}

// Where values stand on a plot's line.
struct Scale {
    double least = 0, most = 1;
    double at(double value) const {
        const double span = most > least ? most - least : 1;
        return kLabelWidth + (kWidth - kLabelWidth - kMargin) * (value - least) / span;
    }
    void include(double value) { least = std::min(least, value), most = std::max(most, value); }
};

std::string svg(const std::string& inside, std::size_t rows) {
    const double height = kRowHeight * (static_cast<double>(rows) + 1.5);
    std::string text = "<svg viewBox=\"0 0 " + number(kWidth, 0);
    return text.append(" ")
        .append(number(height, 0))
        .append("\" role=\"img\">")
        .append(inside)
        .append("</svg>");
}

std::string line(double x1, double y1, double x2, double y2, const char* kind) {
    std::string text = "<line x1=\"" + number(x1, 1);
    text.append("\" y1=\"").append(number(y1, 1)).append("\" x2=\"").append(number(x2, 1));
    return text.append("\" y2=\"").append(number(y2, 1)).append("\" class=\"").append(kind).append("\"/>");
}

std::string dot(double x, double y, double radius, const char* kind) {
    std::string text = "<circle cx=\"" + number(x, 1);
    text.append("\" cy=\"").append(number(y, 1)).append("\" r=\"").append(number(radius, 1));
    return text.append("\" class=\"").append(kind).append("\"/>");
}

std::string label(double x, double y, const std::string& what, const char* kind) {
    std::string text = "<text x=\"" + number(x, 1);
    text.append("\" y=\"").append(number(y, 1)).append("\" class=\"").append(kind).append("\">");
    return text.append(escaped(what)).append("</text>");
}

std::string axis(const Scale& scale, std::size_t rows, int digits) {
    const double y = kRowHeight * (static_cast<double>(rows) + 1);
    std::string text = line(scale.at(scale.least), y - 14, scale.at(scale.most), y - 14, "axis");
    text += label(scale.at(scale.least), y + 4, number(scale.least, digits), "start");
    text += label(scale.at(scale.most), y + 4, number(scale.most, digits), "end");
    return text;
}

// Each seed's value, and the mean with its interval, an arm a line.
std::string plot_arms(const Results& results, std::size_t figure) {
    Scale scale;
    scale.least = 1e300, scale.most = -1e300;
    for (const ArmResults& arm : results.arms)
        for (const double value : arm.column(figure)) scale.include(value);
    std::string text;
    for (std::size_t i = 0; i < results.arms.size(); ++i) {
        const double y = kRowHeight * (static_cast<double>(i) + 0.7);
        const std::vector<double> values = results.arms[i].column(figure);
        const Interval of = interval(values);
        text += label(0, y + 4, results.arms[i].arm.name, "name");
        for (const double value : values) text += dot(scale.at(value), y, 2.5, "seed");
        text += line(scale.at(of.mean - of.half), y, scale.at(of.mean + of.half), y, "interval");
        text += dot(scale.at(of.mean), y, 4, "mean");
    }
    return svg(text + axis(scale, results.arms.size(), results.figures[figure].digits), results.arms.size());
}

// Differences to the first arm, with their intervals and 0.
std::string plot_differences(const Results& results, std::size_t figure) {
    const std::vector<double> first = results.arms[0].column(figure);
    std::vector<Interval> all;
    Scale scale;
    scale.least = scale.most = 0;
    for (std::size_t i = 1; i < results.arms.size(); ++i) {
        all.push_back(paired(first, results.arms[i].column(figure)));
        scale.include(all.back().mean - all.back().half);
        scale.include(all.back().mean + all.back().half);
    }
    std::string text =
        line(scale.at(0), 4, scale.at(0), kRowHeight * static_cast<double>(all.size()), "zero");
    for (std::size_t i = 0; i < all.size(); ++i) {
        const double y = kRowHeight * (static_cast<double>(i) + 0.7);
        text += label(0, y + 4, results.arms[i + 1].arm.name, "name");
        text +=
            line(scale.at(all[i].mean - all[i].half), y, scale.at(all[i].mean + all[i].half), y, "interval");
        text += dot(scale.at(all[i].mean), y, 4, all[i].is_clear() ? "clear" : "mean");
    }
    return svg(text + axis(scale, all.size(), results.figures[figure].digits), all.size());
}

std::string cell(const Interval& of, int digits, bool sign) {
    std::string text = "<td" + std::string(sign && of.is_clear() ? " class=\"clear\">" : ">");
    text += number(of.mean, digits, sign);
    if (of.known) text.append(" <small>&plusmn;").append(number(of.half, digits)).append("</small>");
    return text.append("</td>");
}

std::string table(const Results& results, bool differences) {
    std::string text = "<table><tr><th></th>";
    const std::size_t from = differences ? 1 : 0;
    for (std::size_t i = from; i < results.arms.size(); ++i)
        text.append("<th>").append(escaped(results.arms[i].arm.name)).append("</th>");
    text += "</tr>\n";
    for (std::size_t f = 0; f < results.figures.size(); ++f) {
        const Figure& figure = results.figures[f];
        text.append("<tr><th>").append(escaped(figure.name));
        if (!figure.unit.empty()) text.append(", ").append(figure.unit);
        text += "</th>";
        for (std::size_t i = from; i < results.arms.size(); ++i) {
            const std::vector<double> own = results.arms[i].column(f);
            text += cell(differences ? paired(results.arms[0].column(f), own) : interval(own), figure.digits,
                         differences);
        }
        text += "</tr>\n";
    }
    return text + "</table>\n";
}

constexpr const char* kStyle =
    "<style>body{font:15px/1.45 sans-serif;max-width:75em;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse;font-variant-numeric:tabular-nums}"
    "td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}th:first-child{text-align:left}"
    "small{color:#666}td.clear{background:#eef4ff}.plots{display:flex;flex-wrap:wrap;gap:1em}"
    "figure{margin:0;width:min(100%,560px)}svg{width:100%}text{font:12px sans-serif}.end{text-anchor:end}"
    ".axis,.zero{stroke:#999}.interval{stroke:#1f5fbf;stroke-width:3}.mean{fill:#1f5fbf}"
    ".clear{fill:#c0392b}.seed{fill:#999;fill-opacity:.5}</style>\n";

}  // namespace

std::string html_report(const Results& results) {
    const Experiment& experiment = results.experiment;
    std::string text = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>";
    text.append(escaped(experiment.title)).append("</title>\n").append(kStyle).append("</head><body>\n<h1>");
    text.append(escaped(experiment.title)).append("</h1>\n<p>").append(std::to_string(experiment.seeds));
    text.append(" seeds from ").append(std::to_string(experiment.first_seed)).append(", ");
    text.append(number(experiment.traffic_ms / 1000, 0));
    text.append(" s of traffic each. Means and 95&nbsp;% intervals; a dot for each seed.</p>\n");
    text.append("<h2>Arms</h2>\n").append(table(results, false));
    const bool compares = results.arms.size() > 1;
    if (compares) {
        text.append("<h2>Less ").append(escaped(results.arms[0].arm.name));
        text.append(", pair by pair</h2>\n<p>Shaded: the interval is clear of 0.</p>\n");
        text += table(results, true);
    }
    text += "<h2>Plots</h2>\n";
    for (std::size_t f = 0; f < results.figures.size(); ++f) {
        text.append("<h3>").append(escaped(results.figures[f].name)).append("</h3><div class=\"plots\">");
        text.append("<figure>").append(plot_arms(results, f)).append("</figure>");
        if (compares) text.append("<figure>").append(plot_differences(results, f)).append("</figure>");
        text += "</div>\n";
    }
    return text + "</body></html>\n";
}

}  // namespace whinledge::lab
