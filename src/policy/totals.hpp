// Sums over all servers, adjusted with each change, so that a decision costs the same among thousands as
// among ten. Nothing here decides anything.
#pragma once

#include "policy/state.hpp"

namespace kestrelhall {

struct Totals {
    struct Open {  // of the listed servers that are open to a class
        long listed = 0, out = 0;
        long live = 0, warm = 0;  // listed as on and in the pool; the warm ones of them
        long used = 0;            // of these in our part of it
        bool operator==(const Open&) const = default;
    };
    long successes = 0, outcomes = 0;  // in the windows of live servers
    long warm = 0, warm_live = 0;      // of those listed as on
    std::map<KindId, long> warm_by_kind;
    std::vector<Open> open;  // by class; the last one: of classes we don't know
    bool operator==(const Totals&) const = default;

    // Adds a server (by 1), or takes it out again (by -1).
    template <class OpenTo>
    void count(const Server& s, long by, OpenTo open_to) {
        const bool live = s.standing == Standing::live, on = s.on();
        if (live) {
            successes += by * static_cast<long>(s.successes());
            outcomes += by * static_cast<long>(s.window.size());
        }
        if (on && s.warm) {
            warm += by, warm_live += by * live;
            if ((warm_by_kind[s.info.kind] += by) == 0) warm_by_kind.erase(s.info.kind);
        }
        if (!s.listed) return;
        for (std::uint32_t c = 0; c < open.size(); ++c) {
            if (!open_to(c, s.info)) continue;
            Open& o = open[c];
            o.listed += by, o.out += by * !live;
            const bool ready = on && live && s.warm;
            o.live += by * (on && live), o.warm += by * ready, o.used += by * (ready && s.in_use);
        }
    }
};

}  // namespace kestrelhall
