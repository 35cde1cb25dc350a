#include "fleet/report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <numeric>
#include <stdexcept>

#include "fleet/rig.hpp"
#include "fleet/scene.hpp"

namespace whinledge::fleetrig {

namespace {

// Sizes of the picture, in its own units.
constexpr double kLeft = 96, kWide = 1000, kRight = 12;
constexpr double kLane = 15, kStrip = 5, kRow = 9, kGap = 3;
// Narrower than this is drawn with what comes next; coarser where there are many rows.
constexpr double kFinest = 0.4, kCoarse = 2.5;
constexpr std::size_t kFewMembers = 24;  // up to there each row shows each member by a strip of its own
constexpr std::size_t kMostLanes = 24;

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c == '&')
            out += "&amp;";
        else if (c == '<')
            out += "&lt;";
        else if (c == '"')
            out += "&quot;";
        else
            out += c;
    }
    return out;
}

template <class... Values>
std::string format(const char* pattern, Values... values) {
    char text[512];
    std::snprintf(text, sizeof text, pattern, values...);
    return text;
}

constexpr const char* kStyle = R"(
:root{--page:#fff;--ink:#1c1f23;--faint:#6b7280;--rule:#d5d9df;--alive:#bfe3cd;--suspect:#f0a202;--failed:#c8321f;
--left:#5b74c9;--unknown:#c3c8d0;--down:#3a3f47;--stopped:#9a7fb8;--band:#f3d9a4;--good:#17713a;--bad:#b3261e}
@media(prefers-color-scheme:dark){:root{--page:#15181c;--ink:#e6e8eb;--faint:#9aa3ae;--rule:#363c44;--alive:#2f6b49;
--suspect:#e0a030;--failed:#ef5b45;--left:#8aa0f0;--unknown:#545b66;--down:#050607;--stopped:#a98fcc;--band:#5c4a1e;
--good:#5fd08c;--bad:#ff8a7a}}
body{background:var(--page);color:var(--ink);font:15px/1.5 system-ui,sans-serif;margin:0 auto;max-width:1140px;padding:24px}
h1{font-size:22px;margin:0 0 4px}h2{font-size:16px;margin:28px 0 6px}p{margin:4px 0}.faint{color:var(--faint)}
table{border-collapse:collapse;font-variant-numeric:tabular-nums}td,th{text-align:left;padding:3px 14px 3px 0;
border-bottom:1px solid var(--rule);vertical-align:top;font-weight:400}th{color:var(--faint)}
.good{color:var(--good);font-weight:600}.bad{color:var(--bad);font-weight:600}
.key span{display:inline-block;width:12px;height:12px;margin:0 5px 0 14px;vertical-align:-1px}
svg{width:100%;height:auto;display:block}svg text{fill:var(--ink);font:10px system-ui,sans-serif}
svg .axis{fill:var(--faint)}svg .grid{stroke:var(--rule);stroke-width:.5}
.alive{fill:var(--alive);background:var(--alive)}.suspect{fill:var(--suspect);background:var(--suspect)}
.failed{fill:var(--failed);background:var(--failed)}.left{fill:var(--left);background:var(--left)}
.unknown{fill:var(--unknown);background:var(--unknown)}.down{fill:var(--down);background:var(--down)}
.stopped{fill:var(--stopped);background:var(--stopped)}.band{fill:var(--band)}.mark{fill:var(--ink)}
.joined{fill:var(--alive)}.minority{fill:var(--suspect)}.alone{fill:var(--failed)}
.row{stroke:var(--rule);stroke-width:.3;fill:none}
)";

// What is drawn along the time, as it changed.
struct Spell {
    Millis from = 0, until = 0;
    std::string kind;
};
using Counts = std::array<std::size_t, kBeliefs>;

// One row: a kind at each time, as a list of spells.
class Strip {
public:
    void set(Millis at, std::string_view kind) {
        if (!spells_.empty() && spells_.back().kind == kind) return;
        if (!spells_.empty()) spells_.back().until = at;
        if (!spells_.empty() && spells_.back().from == at) spells_.pop_back();
        spells_.push_back({at, at, std::string(kind)});
    }
    std::vector<Spell> ended(Millis at) const {
        std::vector<Spell> all = spells_;
        if (!all.empty()) all.back().until = at;
        return all;
    }

private:
    std::vector<Spell> spells_;
};

// One row: how many hold what, at each time.
class Shares {
public:
    void set(Millis at, const Counts& counts) {
        if (!changes_.empty() && changes_.back().second == counts) return;
        if (!changes_.empty() && changes_.back().first == at) changes_.pop_back();
        changes_.emplace_back(at, counts);
    }
    const std::vector<std::pair<Millis, Counts>>& changes() const { return changes_; }

private:
    std::vector<std::pair<Millis, Counts>> changes_;
};

class Page {
public:
    Page(const Experiment& experiment, const Record& record, const Outcome& outcome, Millis zero)
        : experiment_(experiment), record_(record), cast_(record.cast()), outcome_(outcome), zero_(zero) {
        end_ = record.events().empty() ? zero + 1 : std::max(zero + 1, record.events().back().at);
        gather();
    }

    std::string text() const {
        std::string page = "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>" +
                           escaped(experiment_.title) +
                           "</title><meta name=\"viewport\" content=\"width=device-width\"><style>" + kStyle +
                           "</style>\n<body>\n";
        head(page);
        conditions(page);
        found(page);
        steps(page);
        of_members(page);
        by_members(page);
        return page + "</body></html>\n";
    }

private:
    // ---- From the record

    void gather() {
        std::vector<Node> all(cast_.members.size());
        std::iota(all.begin(), all.end(), 0);
        Scene scene(cast_, all);
        strips_.resize(cast_.nodes.size());
        if (few())
            for (auto& row : strips_) row.resize(cast_.members.size());
        lives_.resize(cast_.nodes.size());
        standings_.resize(cast_.nodes.size());
        by_.resize(cast_.nodes.size());
        of_.resize(cast_.members.size());
        counts_.assign(cast_.nodes.size(), Counts{});
        for (Counts& c : counts_) c[0] = cast_.members.size() - 1;
        beliefs_.assign(cast_.nodes.size(), std::vector<Belief>(cast_.members.size()));
        for (const Event& event : record_.events()) {
            scene.see(event);
            const Millis at = std::max(event.at, zero_);
            if (const auto* const held = std::get_if<Held>(&event.what)) {
                believe(*held, at);
                of_[held->member].set(at, counts_of(scene, held->member));
            } else if (const auto* const lived = std::get_if<Lived>(&event.what)) {
                live(*lived, at);
                for (Member m = 0; m < of_.size(); ++m) of_[m].set(at, counts_of(scene, m));
            } else if (const auto* const stood = std::get_if<Stood>(&event.what)) {
                standings_[stood->node].set(at, stood->standing);
            }
        }
    }
    static Counts counts_of(const Scene& scene, Member m) {
        Counts counts{};
        for (std::size_t b = 0; b < kBeliefs; ++b) counts[b] = scene.holders(m, static_cast<Belief>(b));
        return counts;
    }
    void believe(const Held& held, Millis at) {
        if (few()) strips_[held.node][held.member].set(at, name_of(held.belief));
        if (cast_.member_of[held.node] == held.member) return;
        Belief& belief = beliefs_[held.node][held.member];
        --counts_[held.node][static_cast<std::size_t>(belief)];
        belief = held.belief;
        ++counts_[held.node][static_cast<std::size_t>(belief)];
        by_[held.node].set(at, counts_[held.node]);
    }
    void live(const Lived& lived, Millis at) {
        switch (lived.life) {
            case Life::up:
            case Life::continued:
                return lives_[lived.node].set(at, "");
            case Life::stopped:
                return lives_[lived.node].set(at, "stopped");
            case Life::killed:
            case Life::ended:
                std::fill(beliefs_[lived.node].begin(), beliefs_[lived.node].end(), Belief::unknown);
                counts_[lived.node] = {cast_.members.size() - 1};
                by_[lived.node].set(at, counts_[lived.node]);
                if (few())
                    for (Strip& strip : strips_[lived.node]) strip.set(at, "unknown");
                return lives_[lived.node].set(at, "down");
            case Life::started:
            case Life::terminated:
                return;
        }
    }
    double finest() const { return cast_.members.size() > 60 ? kCoarse : kFinest; }
    bool few() const { return cast_.members.size() <= kFewMembers; }

    // ---- Drawing

    double x(Millis at) const {
        return kLeft + (kWide - kLeft - kRight) * (std::clamp(at, zero_, end_) - zero_) / (end_ - zero_);
    }
    std::string rect(const std::string& kind, Millis from, Millis until, double y, double height,
                     const std::string& title = "") const {
        const double left = x(from), width = std::max(kFinest, x(until) - left);
        return format("<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"", kind.c_str(),
                      left, y, width, height) +
               (title.empty() ? "/>" : "><title>" + escaped(title) + "</title></rect>");
    }
    static std::string label(double y, const std::string& text) {
        return format("<text x=\"%.0f\" y=\"%.1f\" text-anchor=\"end\">", kLeft - 6, y) + escaped(text) +
               "</text>";
    }
    std::string when(Millis from, Millis until) const {
        return format("%.2f to %.2f P", (from - zero_) / cast_.period, (until - zero_) / cast_.period);
    }
    std::string open(double height) const {
        std::string svg = format("<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\">", kWide, height + 18);
        double step = 1;
        const double periods = (end_ - zero_) / cast_.period;
        for (int i = 0; periods / step > 12; ++i) step *= i % 3 == 1 ? 2.5 : 2;
        for (double p = 0; p <= periods; p += step) {
            const double at = x(zero_ + p * cast_.period);
            svg +=
                format("<line class=\"grid\" x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%.1f\"/>", at, at, height);
            svg += format("<text class=\"axis\" x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%g P</text>", at,
                          height + 13, p);
        }
        return svg;
    }
    std::string draw(const Strip& strip, double y, double height, const std::string& title) const {
        std::string svg;
        for (const Spell& s : strip.ended(end_))
            if (!s.kind.empty() && s.until > zero_)
                svg += rect(s.kind, s.from, s.until, y, height,
                            title.empty() ? "" : title + " " + s.kind + ", " + when(s.from, s.until));
        return svg;
    }
    // Alive is the ground; what is not stands on it, each at least to be seen.
    std::string draw(const Shares& shares, double y, double height) const {
        std::string svg = rect("alive", zero_, end_, y, height);
        const auto& changes = shares.changes();
        Millis from = zero_;
        for (std::size_t i = 0; i < changes.size(); ++i) {
            const Millis until = i + 1 < changes.size() ? changes[i + 1].first : end_;
            if (x(until) - x(from) < finest() && i + 1 < changes.size()) continue;
            const Counts& counts = changes[i].second;
            const double all = static_cast<double>(
                std::max<std::size_t>(1, std::accumulate(counts.begin(), counts.end(), std::size_t{0})));
            double top = y;
            for (const Belief b : {Belief::failed, Belief::left, Belief::suspect, Belief::unknown}) {
                const auto count = static_cast<double>(counts[static_cast<std::size_t>(b)]);
                if (count == 0) continue;
                const double size = std::min(y + height - top, std::max(1.2, height * count / all));
                if (size > 0) svg += rect(std::string(name_of(b)), from, until, top, size);
                top += size;
            }
            from = until;
        }
        return svg;
    }

    // ---- Sections

    void head(std::string& page) const {
        page += "<h1>" + escaped(experiment_.title) + "</h1><p class=\"faint\">" +
                format(
                    "%zu members, %zu servers, P = %.0f ms, seed %lu; settled after %.1f P; resident memory "
                    "%lu to %lu KiB a "
                    "process",
                    cast_.members.size(), cast_.servers.size(), cast_.period,
                    static_cast<unsigned long>(experiment_.seed), outcome_.settled_after / cast_.period,
                    static_cast<unsigned long>(outcome_.least_kib),
                    static_cast<unsigned long>(outcome_.most_kib)) +
                "</p><p class=\"" +
                (outcome_.passed ? "good\">All conditions held." : "bad\">Some conditions did not hold.") +
                "</p>";
        if (outcome_.overrun + outcome_.strange > 0)
            page += format(
                "<p class=\"bad\">The rig itself lost %lu datagrams and took no notice of %lu strange "
                "ones.</p>",
                static_cast<unsigned long>(outcome_.overrun), static_cast<unsigned long>(outcome_.strange));
    }
    void conditions(std::string& page) const {
        page += "<h2>Conditions</h2><table>";
        for (const Result& r : outcome_.results)
            page += std::string("<tr><td class=\"") + (r.passed ? "good\">held" : "bad\">failed") +
                    "</td><td>" + escaped(r.condition) + "</td><td>" + escaped(r.seen) + "</td></tr>\n";
        page += "</table>";
    }
    void found(std::string& page) const {
        if (outcome_.detections.empty()) return;
        page +=
            "<h2>From a kill until it was held "
            "failed</h2><table><tr><th>member</th><th>by</th><th>first</th><th>median</th>"
            "<th>last</th><th>never</th></tr>";
        for (const Detection& d : outcome_.detections) {
            page +=
                "<tr><td>" + escaped(cast_.members[d.member]) + format("</td><td>%zu</td>", d.took.size());
            if (d.took.empty())
                page += "<td></td><td></td><td></td>";
            else
                for (const std::size_t i : {std::size_t{0}, d.took.size() / 2, d.took.size() - 1})
                    page += format("<td>%.2f P</td>", d.took[i] / cast_.period);
            page += format("<td>%zu</td></tr>", d.missing);
        }
        page += "</table>";
    }
    void steps(std::string& page) const {
        struct Band {
            Millis from, until, room;  // room: until where its text reaches
            std::string text;
        };
        std::vector<std::vector<Band>> lanes;
        std::size_t left_out = 0;
        for (const Event& event : record_.events()) {
            const auto* const done = std::get_if<Done>(&event.what);
            if (!done || done->what == "settled") continue;
            // A text beside its band takes room too, about 5 units a letter.
            const Millis room =
                static_cast<double>(done->what.size()) * 5.2 * (end_ - zero_) / (kWide - kLeft);
            const Band band{event.at, done->until, std::max(done->until, event.at + room), done->what};
            const auto lane = std::find_if(lanes.begin(), lanes.end(),
                                           [&](const auto& l) { return l.back().room <= band.from; });
            if (lane != lanes.end())
                lane->push_back(band);
            else if (lanes.size() < kMostLanes)
                lanes.push_back({band});
            else
                ++left_out;
        }
        page += "<h2>What was done</h2>";
        if (lanes.empty()) return void(page += "<p>Nothing.</p>");
        std::string svg = open(static_cast<double>(lanes.size()) * kLane);
        for (std::size_t lane = 0; lane < lanes.size(); ++lane)
            for (const Band& band : lanes[lane]) {
                const double y = static_cast<double>(lane) * kLane;
                if (band.until > band.from) svg += rect("band", band.from, band.until, y + 1, kLane - 2);
                svg += rect("mark", band.from, band.from, y + 1, kLane - 2);
                const bool turned = x(band.from) > kWide * 0.75;
                svg += format("<text x=\"%.1f\" y=\"%.1f\"%s>", x(band.from) + (turned ? -3 : 3),
                              y + kLane - 4.5, turned ? " text-anchor=\"end\"" : "") +
                       escaped(band.text) + "</text>";
            }
        page += svg + "</svg>";
        if (left_out > 0) page += format("<p class=\"faint\">%zu more are in events.jsonl.</p>", left_out);
    }
    void key(std::string& page) const {
        page += "<p class=\"key faint\">";
        for (const char* kind : {"alive", "suspect", "failed", "left", "unknown", "stopped", "down"})
            page += format("<span class=\"%s\"></span>%s", kind, kind);
        page += "</p>";
    }
    void of_members(std::string& page) const {
        std::vector<Member> shown;
        for (Member m = 0; m < of_.size(); ++m) {
            const auto& changes = of_[m].changes();
            const bool trouble = std::any_of(changes.begin(), changes.end(), [](const auto& c) {
                return c.second[static_cast<std::size_t>(Belief::alive)] !=
                       std::accumulate(c.second.begin(), c.second.end(), std::size_t{0});
            });
            if (trouble || few()) shown.push_back(m);
        }
        page +=
            "<h2>What the others held of each member</h2><p class=\"faint\">A row for each of whom any did "
            "not hold "
            "`alive`; its height is all that observed.</p>";
        key(page);
        if (shown.empty()) return void(page += "<p>All were held alive all the while.</p>");
        const double each = shown.size() > 60 ? 6 : 14;
        std::string svg = open(static_cast<double>(shown.size()) * (each + kGap));
        for (std::size_t i = 0; i < shown.size(); ++i) {
            const double y = static_cast<double>(i) * (each + kGap);
            svg += draw(of_[shown[i]], y, each) + row_name(i, y + each - 1, each, cast_.members[shown[i]]);
        }
        page += svg + "</svg>";
    }
    // Where rows are low, every other has its name.
    static std::string row_name(std::size_t i, double y, double height, const std::string& name) {
        return height + kGap >= 10 || i % 2 == 0 ? label(y, name) : "";
    }
    void by_members(std::string& page) const {
        page += few() ? "<h2>What each member held</h2><p class=\"faint\">The upper line is its standing "
                        "(joined, minority, "
                        "alone); below, one strip for each member, s1 first.</p>"
                      : "<h2>What each member held</h2><p class=\"faint\">The upper line is its standing "
                        "(joined, minority, "
                        "alone); below, the share of the others that it held otherwise than alive, each at "
                        "least to be "
                        "seen.</p>";
        key(page);
        const double body = few() ? kStrip * static_cast<double>(cast_.members.size()) : kRow - 3;
        const double each = 3 + body;
        std::string svg = open(static_cast<double>(cast_.nodes.size()) * (each + kGap));
        for (Node n = 0; n < cast_.nodes.size(); ++n) {
            const double y = static_cast<double>(n) * (each + kGap);
            svg += row_name(n, few() ? y + each / 2 + 3 : y + each - 1, each, cast_.nodes[n]);
            svg += draw(standings_[n], y, 2.4, few() ? cast_.nodes[n] : "");
            if (few())
                for (Member m = 0; m < cast_.members.size(); ++m)
                    svg += draw(strips_[n][m], y + 3 + kStrip * static_cast<double>(m), kStrip - 0.6,
                                cast_.nodes[n] + " held " + cast_.members[m]);
            else
                svg += draw(by_[n], y + 3, body);
            svg += draw(lives_[n], y, each, cast_.nodes[n]);
        }
        page += svg + "</svg>";
    }

    const Experiment& experiment_;
    const Record& record_;
    const Record::Cast& cast_;
    const Outcome& outcome_;
    Millis zero_, end_ = 0;
    std::vector<std::vector<Strip>> strips_;  // by node and member, where they are few
    std::vector<Strip> lives_, standings_;    // by node
    std::vector<Shares> by_;                  // by node
    std::vector<Shares> of_;                  // by member
    std::vector<Counts> counts_;
    std::vector<std::vector<Belief>> beliefs_;
};

}  // namespace

std::string report_of(const Experiment& experiment, const Record& record, const Outcome& outcome,
                      Millis zero) {
    return Page(experiment, record, outcome, zero).text();
}

void write_report(const std::string& path, const Experiment& experiment, const Record& record,
                  const Outcome& outcome, Millis zero) {
    std::ofstream file(path);
    file << report_of(experiment, record, outcome, zero);
    if (!file.flush()) throw std::runtime_error(path + ": can't be written");
}

}  // namespace whinledge::fleetrig
