// Counts what model servers read, and what of it some server had read or put out before. Pure.
#pragma once

#include <cstdint>
#include <unordered_set>

#include "lab/measures.hpp"
#include "lab/model_server.hpp"

namespace whinledge::lab {

class PromptReads {
public:
    explicit PromptReads(Measures& measures) : measures_(measures) {}

    void read(std::int64_t tokens) { measures_.tokens_read += static_cast<double>(tokens); }
    void happened(const ModelEvent& event) {
        const auto tokens = static_cast<double>(event.tokens);
        if (event.kind == ModelEvent::Kind::part_read && !parts_.insert(event.part).second)
            measures_.tokens_read_twice += tokens;
        if (event.kind == ModelEvent::Kind::read_again) measures_.tokens_read_twice += tokens;
        if (event.kind == ModelEvent::Kind::done && event.part) parts_.insert(event.part);
        if (event.kind == ModelEvent::Kind::preempted) ++measures_.preempted;
    }

private:
    Measures& measures_;
    std::unordered_set<std::uint64_t> parts_;  // read or put out, by any server
};

}  // namespace whinledge::lab
