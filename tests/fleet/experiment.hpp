// An experiment: who runs, what befalls them and when, and what has to hold. Read from a TOML file, strictly:
// what is not known is a fault, so that a misspelt condition is not a condition that always holds. The
// words of a file: README.md.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/record.hpp"

namespace whinledge::fleetrig {

// Times count from when the fleet has settled: all hold all alive.
struct Step {
    enum class Do {
        kill,       // as by SIGKILL
        stop,       // SIGSTOP
        go_on,      // SIGCONT ("continue")
        terminate,  // SIGTERM
        start,      // again, after its end
        restart,    // SIGKILL, and again at once
        impostor,   // one process more under the name of each of `members`
        link,       // what befalls datagrams from `from` to `to`, and back unless `one_way`
        cut,        // datagrams between two that share none of `groups`
        servers,    // connections from `from` to the servers
        tape,       // keeps the datagrams from `from` to `to`
        play,       // sends what the tape has kept, once more
        noise,      // bytes without sense to `to`, as from `from`
        flood,      // pings in the life of `from`
        lie,        // rumours in the life of `from` that all others are `says`
        list,       // the files of `members` name `fleet` alone, and are read again
        limits,     // the files of `members` have these limits, and are read again
        demand,     // more requests through each of `from`
    };
    Do what = Do::kill;
    Millis at = 0, lasts = 0;  // `for`
    Millis every = 0;          // with members: one after the other, so far apart
    Millis flap = 0;           // comes and goes: on for so long, off for so long
    std::vector<Member> members;
    std::vector<std::size_t> from, to;
    std::vector<std::vector<Member>> groups;
    std::vector<Member> fleet;
    bool one_way = false;
    double loss = 0, doubled = 0, reorder = 0;  // shares of datagrams
    double hold = 0;                            // as well; until it is over, then all at once
    Millis delay = 0, jitter = 0;
    bool reset = false;  // of connections; otherwise nothing passes, or late by `delay`
    double rate = 0;     // a second, from each to each; of demand: through each
    std::string limits;  // TOML, as of the experiment
    std::string tape;
    Belief says = Belief::failed;
    std::optional<Member> claims;  // under that name, though sent from where `from` is
    std::string text;              // as a person would call it
};

struct Condition {
    enum class Kind {
        all_hold,        // at some time all observers hold `state` of all of `members`
        never,           // none of `who` comes to hold `state` of one of `members`
        views_equal,     // at some time the observers hold the same of everybody
        standing,        // at some time all of `who` have it
        never_standing,  // none of `who` comes to it
        answered,        // a share of the clients' requests, at least, has status 200
        no_repeats,      // no request that must not be repeated reached servers twice
        datagrams,       // sent a member a period, at most (`most`), and bytes
        socket,          // each of `who` answers on its socket within so long, as often as it is asked
        ended,           // the processes of `members` ended by themselves with `status`
        memory,          // KiB resident, at most
        busy,            // processor time of a process in a second, at most, ms
        received,        // what servers received: `most` in any `window`, `least` a second on the mean
        open,            // requests that servers held at once, at most
    };
    Kind kind = Kind::all_hold;
    Millis after = 0, within = 0;  // within: 0 until the end
    std::vector<Member> members;
    std::vector<Node> who;
    bool who_given = false;
    Belief belief = Belief::failed;
    std::string standing;
    double least = 1, most = 0;
    Millis window = 1000;
    int status = 0;
    std::string text;
    int line = 0;
};

struct Experiment {
    std::string title;
    std::size_t members = 7, servers = 2;
    std::size_t impostors = 0;
    std::vector<Member> impostor_of;
    Millis period = 200;
    std::uint64_t seed = 1;
    double clients = 0;         // requests a second through each member
    Millis settles_within = 0;  // 0: 60 P
    Millis least = 0;           // runs so long at least
    Millis drain = 1000;        // of the program's end
    Millis answer_after = 0;    // of servers
    std::string limits;         // [[fleet.limit]] of every file, as it stands there
    std::vector<Step> steps;    // by time
    std::vector<Condition> conditions;

    static std::string name(Member m) { return std::string("s").append(std::to_string(m + 1)); }
    std::string node_name(Node n) const {
        return n < members ? name(n) : name(impostor_of[n - members]) + "'";
    }
    std::size_t nodes() const { return members + impostors; }
    Member member_of(Node n) const { return n < members ? n : impostor_of[n - members]; }
    Record::Cast cast() const;
};

struct ExperimentError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What a person may set in place of the file's.
struct Overrides {
    std::optional<std::size_t> members;
    std::optional<std::uint64_t> seed;
    std::optional<std::string> period;
};
// Throws ExperimentError, with the place.
Experiment read_experiment(const std::string& path, const Overrides& overrides = {});
Experiment parse_experiment(const std::string& text, const std::string& path,
                            const Overrides& overrides = {});

}  // namespace whinledge::fleetrig
