// How often prompts of late have begun alike, and which beginnings several programs share. Pure.
//
// Counts fade exponentially with the memory given, in two lengths: the longer tells how many servers should
// hold a beginning, the shorter what is busy now. Memory is bounded: where more beginnings than `capacity`
// come, the lightest are forgotten, and counts are too low by error_bound() at most: two requests of those
// that still count, for each `capacity` of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "placement/prompt.hpp"

namespace whinledge::placement {

using Millis = double;

// A beginning that several programs share.
struct BusyStart {
    std::uint64_t id = 0;     // of its last part, with the model's
    std::int64_t tokens = 0;  // of all its parts
    double rate = 0;          // requests a second
};

class StartRates {
public:
    struct Options {
        std::size_t capacity = 4096;
        Millis memory = 20000;        // of shares
        Millis recent_memory = 5000;  // of rates
        double least_rate = 0.2;      // requests a second, of what counts as busy
    };
    StartRates() : StartRates(Options()) {}
    explicit StartRates(Options options);

    // A request has come. `starts`: each part that its prompt begins with but its own last one, with the
    // tokens of all parts up to it. `program`: whose it is; 0: of none.
    void count(std::span<const PromptPart> starts, std::uint64_t program, Millis now);

    // Whether requests of several programs, or of none, have begun so.
    bool is_shared(std::uint64_t id) const;
    // What the traffic is taken to hold from the first: so many requests, of which this share began so.
    struct Prior {
        double requests = 10;
        double share = 0;
    };
    // Of all requests of late, which share began so.
    double share(std::uint64_t id, const Prior& prior, Millis now) const;
    // Requests a second, all together.
    double request_rate(Millis now) const;
    // What spares most of what is shared and busy: by rate times tokens, heaviest first.
    std::vector<BusyStart> busiest(std::size_t most, Millis now) const;

    // Requests of late that a count may be too low by.
    double error_bound(Millis now) const;
    std::size_t size() const { return starts_.size(); }

private:
    // Sums that fade, kept as sums of weights that grow: only what is added has to be worked out.
    class GrowingWeight {
    public:
        explicit GrowingWeight(Millis memory) : memory_(memory) {}
        double at(Millis now) const;
        // Begins anew at `now`; what was summed before is to be multiplied by the result.
        double rebase(Millis now);
        bool is_worn(Millis now) const;
        Millis memory() const { return memory_; }

    private:
        Millis memory_;
        Millis origin_ = 0;
    };
    struct Start {
        std::uint64_t program = 0;  // that first had it
        std::int64_t tokens = 0;
        bool shared = false;
        double requests = 0, recent = 0;  // in weights
    };
    void rebase(Millis now);
    void forget_lightest();
    double rate(double recent, Millis now) const;

    Options options_;
    GrowingWeight weight_, recent_weight_;
    std::unordered_map<std::uint64_t, Start> starts_;
    double requests_ = 0, recent_ = 0;  // all, in weights
    double deducted_ = 0;               // from each count so far, in weights
};

}  // namespace whinledge::placement
