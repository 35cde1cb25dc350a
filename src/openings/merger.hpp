// One control process's part in the shared sense of which openings are busiest. Nodes tell it what has come
// through them; it tells the other control processes the subtotal of those nodes, and every node the sum of
// all subtotals. Pure: no I/O and no clock; times are milliseconds on any clock that never goes back.
//
// A node tells one control process at a time. Where it goes to another one, the newcomer is named with the
// next subtotal, and whoever has an older word of it drops that: until then, or until the word's time is
// over, it counts twice.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "openings/newest_parts.hpp"
#include "openings/traffic.hpp"

namespace whinledge::openings {

// A node that tells a control process since a moment ago, and the number of its newest word there.
struct Newcomer {
    std::uint64_t node = 0, sequence = 0;
    bool operator==(const Newcomer&) const = default;
};

// What a control process tells the others.
struct Subtotal {
    std::uint64_t source = 0;
    std::uint64_t sequence = 0;
    Traffic traffic{};
    std::vector<Newcomer> newcomers{};
};

// An opening as people are shown it.
struct OpeningView {
    std::string service;
    Opening opening;
    double share = 0;  // of its service's requests
    double trend = 0;  // its rate less that of some seconds ago, requests a second
};

class Merger {
public:
    struct Options {
        Millis holds = 1600;         // of a node's word and of a subtotal
        Millis pace = 100;           // between two sums, and two subtotals, at least
        Millis retold = 500;         // a subtotal that is as the one before
        Millis newcomer_for = 1000;  // a node is named with the subtotals
        Millis trend_memory = 5000;  // of the rate that the present one is compared with
        std::size_t most_nodes = 4096;
        std::size_t most_sources = 64;
        std::size_t most_newcomers = 64;  // named at once
    };
    // `source`: this process, drawn at its start.
    explicit Merger(std::uint64_t source) : Merger(source, Options()) {}
    Merger(std::uint64_t source, Options options);

    void told(std::uint64_t node, std::uint64_t sequence, Traffic seen, Millis now);
    void heard(const Subtotal& subtotal, Millis now);
    // What to tell the other control processes now; none: nothing is due, or there is nothing to tell and
    // they know.
    std::optional<Subtotal> subtotal(Millis now);

    // The sum of all that is known, brought up to date at the pace; `version` rises where it is another.
    const Traffic& sum(Millis now);
    std::uint64_t version() const { return version_; }
    std::uint64_t source() const { return source_; }

    std::vector<OpeningView> views(Millis now);
    std::size_t nodes() const { return nodes_.size(); }
    std::size_t sources() const { return sources_.size(); }

private:
    void refresh(Millis now);
    void follow_trends(Millis now);

    std::uint64_t source_;
    Options options_;
    NewestParts nodes_, sources_;
    std::map<std::uint64_t, Millis> newcomers_;  // until when they are named
    Traffic sum_;
    std::uint64_t version_ = 0, sequence_ = 0;
    Millis refreshed_at_, subtotal_at_;
    Traffic told_;  // the last subtotal
    std::map<std::pair<std::string, std::uint64_t>, double> former_rates_;
    Millis trends_at_ = 0;
};

}  // namespace whinledge::openings
