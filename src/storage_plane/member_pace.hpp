// How fast storage members answer this process, and which of them are slow beside the others. Pure: times
// (ms, of a steady clock) go in.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "control_types.h"  // generated from idl/*.thrift

namespace whinledge::storage_plane {

struct MemberPaceOptions {
    double weight = 0.25;         // of the latest answer in a member's mean
    double slow_factor = 3;       // of the median of all: from there on it is slow,
    double slow_from_ms = 20;     // if it takes so long at least,
    double recovered_factor = 2;  // and until it is below this
    double look_every_ms = 250;   // between looks at all of them
    double remembered_ms = 5000;  // without an answer for so long nothing is known of it
};

// A slow member is one that others are preferred to, no more: where too few are left it is asked as any
// other. It is asked for votes all the time, so that its recovery is seen; where it is not, it is forgotten
// and tried.
class MemberPace {
public:
    using Options = MemberPaceOptions;
    explicit MemberPace(Options options = {}) : options_(options) {}

    // Answered, or given up on, after so long.
    void answered(std::int64_t member, double took_ms, double now_ms);
    bool is_slow(std::int64_t member) const { return slow_.count(member) > 0; }
    // Members that are not in it are forgotten.
    void set_map(const wire::StorageMap& map);

private:
    struct Answers {
        double mean_ms = 0, latest_at_ms = 0;
    };
    void look(double now_ms);
    double median() const;

    Options options_;
    std::map<std::int64_t, Answers> members_;
    std::set<std::int64_t> slow_;
    double look_at_ms_ = 0;
};

}  // namespace whinledge::storage_plane
