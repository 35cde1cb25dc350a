#include "fleet/record.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "engine/overloaded.hpp"

namespace whinledge::fleetrig {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, kBeliefs> kBeliefNames{"unknown", "alive", "suspect", "failed",
                                                              "left"};

}  // namespace

std::string_view name_of(Belief belief) { return kBeliefNames[static_cast<std::size_t>(belief)]; }

std::optional<Belief> belief_of(std::string_view name) {
    const auto at = std::find(kBeliefNames.begin(), kBeliefNames.end(), name);
    if (at == kBeliefNames.end()) return std::nullopt;
    return static_cast<Belief>(at - kBeliefNames.begin());
}

std::string_view name_of(Life life) {
    constexpr std::string_view names[] = {"started", "up",         "stopped", "continued",
                                          "killed",  "terminated", "ended"};
    return names[static_cast<std::size_t>(life)];
}

void Record::write_to(const std::string& path) {
    file_.open(path);
    if (!file_) throw std::runtime_error(path + ": can't be written");
}

void Record::add(Event event) {
    if (!events_.empty()) event.at = std::max(event.at, events_.back().at);
    events_.push_back(std::move(event));
    if (file_.is_open()) file_ << line_of(events_.back()) << '\n';
    if (on_event) on_event(events_.back());
}

std::string Record::line_of(const Event& event) const {
    Json line;
    line["at_ms"] = event.at;
    const auto node = [&](Node n) { line["node"] = cast_.nodes[n]; };
    std::visit(Overloaded{[&](const Held& e) {
                              line["event"] = "held";
                              node(e.node);
                              line["member"] = cast_.members[e.member];
                              line["state"] = name_of(e.belief);
                              line["incarnation"] = e.incarnation;
                              line["draining"] = e.draining;
                              if (e.said_at > 0) line["said_at_ms"] = e.said_at;
                              if (e.polled) line["polled"] = true;
                          },
                          [&](const Stood& e) {
                              line["event"] = "standing";
                              node(e.node);
                              line["standing"] = e.standing;
                          },
                          [&](const Lived& e) {
                              line["event"] = "process";
                              node(e.node);
                              line["life"] = name_of(e.life);
                              if (e.life == Life::ended) line["status"] = e.status;
                          },
                          [&](const Asked& e) {
                              line["event"] = "asked";
                              node(e.node);
                              line["answered"] = e.answered;
                              line["took_ms"] = e.took;
                          },
                          [&](const Served& e) {
                              line["event"] = "served";
                              line["server"] = cast_.servers[e.server];
                              line["id"] = e.id;
                              line["method"] = e.method;
                          },
                          [&](const Called& e) {
                              line["event"] = "called";
                              node(e.node);
                              line["id"] = e.id;
                              line["method"] = e.method;
                              line["sent_at_ms"] = e.sent_at;
                              line["status"] = e.status;
                          },
                          [&](const Done& e) {
                              line["event"] = "step";
                              line["what"] = e.what;
                              line["until_ms"] = e.until;
                          },
                          [&](const Counted& e) {
                              line["event"] = "counted";
                              line["datagrams"] = e.datagrams;
                              line["bytes"] = e.bytes;
                          },
                          [&](const Weighed& e) {
                              line["event"] = "weighed";
                              node(e.node);
                              line["resident_kib"] = e.resident;
                              line["busy_ms"] = e.busy;
                          }},
               event.what);
    return line.dump();
}

}  // namespace whinledge::fleetrig
