// What a record adds up to: what was owed and served, how requests were refused, which streams paused too
// long.
#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>
#include <unordered_map>
#include <unordered_set>

#include "tier/checker.hpp"

namespace whinledge::tier_rig {
namespace {

constexpr std::size_t kWordsOfRefusal = 100;
constexpr Millis kShownFor = 5000;  // a SIGHUP, beside requests that were cut

// Whether the budget held one more turn when this one was answered 402: turns that had not ended whole, or
// with a 4xx or 503, `settleMs` before count at their most; those that never reached a server count nothing.
bool had_room(const Try& refused, const std::vector<const Try*>& turns,
              const std::unordered_set<std::string>& ran, const Bounds& bounds) {
    std::int64_t sum = refused.most;
    for (const Try* turn : turns) {
        if (turn == &refused || turn->sent > refused.ended) continue;
        const bool over = turn->end == End::answered && turn->ended <= refused.sent - bounds.settle;
        const bool not_run = turn->status == 503 || (turn->status >= 400 && turn->status < 500);
        if (over && is_success(turn->status))
            sum += kTokensOfEvent * static_cast<std::int64_t>(turn->events.size());
        else if (!(over && not_run) && ran.contains(turn->id))
            sum += turn->most;
    }
    return sum <= refused.budget;
}

// Whether the rig, and with it every server and client, got no time for a while between these two times.
bool rig_stalled(const Record& record, Millis from, Millis to) {
    return std::any_of(record.troubles.begin(), record.troubles.end(), [&](const Trouble& trouble) {
        return trouble.machine.empty() && trouble.from < to && trouble.to > from;
    });
}

// How long the sidecar's process waited for a processor between these two times.
Millis starved(const Record& record, const std::string& machine, Millis from, Millis to) {
    Millis sum = 0;
    for (const Starvation& one : record.starvations)
        if (one.machine == machine && one.from < to && one.to > from) sum += one.waited;
    return sum;
}

// Counts a stream with a pause too long of which the tier has a part: an event was passed on late as well.
void judge_pauses(const Record& record, const Bounds& bounds, const Try& one, const Run* run, Tally& sum) {
    if (one.gap_limit <= 0) return;
    bool late = false, unmeasured = false;
    for (std::size_t i = 1; i < one.events.size(); ++i) {
        const Millis before = one.events[i - 1].at, at = one.events[i].at;
        if (at - before <= one.gap_limit) continue;
        const Millis passed_after =
            run && i < run->events.size() ? at - run->events[i].at : std::numeric_limits<Millis>::infinity();
        const Millis waited = starved(record, one.machine, at - passed_after, at);
        const bool excused = rig_stalled(record, before, at) || passed_after - waited <= bounds.pass;
        (excused ? unmeasured : late) = true;
        std::ostringstream words;
        words << one.path << " at " << one.machine << ", " << std::lround(at)
              << " ms: " << std::lround(at - before) << " ms between events, passed on " << passed_after
              << " ms after it was made, in which the sidecar waited " << waited << " ms for a processor"
              << (excused ? "" : ": LATE");
        sum.long_pauses.push_back(words.str());
    }
    sum.late_events += late;
    sum.unmeasured_pauses += unmeasured && !late;
}

// What happened to the sidecar of a request that was cut, ahead of the cut: signals, and troubles of its own.
std::string cut_words(const Record& record, const Try& one, bool ran) {
    std::ostringstream words;
    words << one.method << " " << one.path << " at " << one.machine << ", " << std::lround(one.sent)
          << " ms: cut after " << std::lround(one.ended - one.sent) << " ms, " << one.events.size()
          << " events" << (ran ? ", passed on to a server" : "")
          << (one.on_kept_connection ? ", on a kept connection" : "");
    for (const Trouble& trouble : record.troubles)
        if (trouble.machine == one.machine && trouble.from <= one.ended && trouble.to >= one.sent)
            words << (trouble.planned ? "; SIGTERM " : "; trouble ") << std::lround(one.ended - trouble.from)
                  << " ms before";
    for (const Hangup& hangup : record.hangups)
        if (hangup.machine == one.machine && hangup.at <= one.ended && hangup.at + kShownFor >= one.sent)
            words << "; SIGHUP " << std::lround(one.ended - hangup.at) << " ms before";
    return words.str();
}

std::string end_words(const Try& one) {
    switch (one.end) {
        case End::open:
            return "open";
        case End::answered:
            return std::to_string(one.status) + (one.seal.empty() ? "" : " of the server");
        case End::cut:
            return one.status == 0 ? "closed without an answer" : "closed midway";
        case End::given_up:
            return one.status == 0 ? "no answer in time" : "silence midway";
        case End::not_connected:
            return "not connected";
        case End::no_protocol:
            return "no HTTP";
    }
    return "";
}

}  // namespace

Tally tally(const Record& record, const Bounds& bounds) {
    Tally sum;
    for (const Order& order : record.orders) sum.acknowledged += order.acknowledged.has_value();
    std::unordered_set<std::string> ran;
    std::unordered_map<std::string, const Run*> runs;
    for (const Run& run : record.runs) {
        ran.insert(run.try_id);
        runs[run.try_id] = &run;
    }
    std::unordered_map<std::string, std::vector<const Try*>> turns;
    for (const Try& one : record.tries)
        if (one.budget > 0) turns[one.program].push_back(&one);
    for (const Try& one : record.tries) {
        if (one.probe || one.left_early || one.end == End::open) continue;
        const bool answered = one.end == End::answered;
        if (answered && one.status == 402) {
            ++sum.budgets_spent;
            const bool early = had_room(one, turns[one.program], ran, bounds);
            sum.budgets_early += early;
            if (!early || one.runaway) continue;  // not owed
        }
        ++sum.owed;
        if (answered && is_success(one.status)) {
            ++sum.served;
            sum.turns_whole += !one.program.empty() && one.kind == RouteKind::streaming;
            const auto run = runs.find(one.id);
            judge_pauses(record, bounds, one, run == runs.end() ? nullptr : run->second, sum);
        } else if (answered && (is_promise(one.status) || one.status == 402)) {
            ++sum.refused;
            if (one.seal.empty() && one.status == 503) {
                const std::string place = one.path.substr(0, one.path.find('/', 1) + 1);
                const std::string whose = one.runaway ? " (of a runaway) " : " ";
                ++sum.refusals[place + whose + one.answer.substr(0, kWordsOfRefusal)];
                sum.refused_idle += one.servers_idle;
                sum.refused_late += one.ended - one.sent > one.target / 4;
            }
        } else {
            ++sum.failed;
            if (one.end == End::cut) sum.cuts.push_back(cut_words(record, one, ran.contains(one.id)));
            ++sum.failures[one.path.substr(0, one.path.find('/', 1) + 1) + " " + end_words(one)];
        }
    }
    return sum;
}

}  // namespace whinledge::tier_rig
