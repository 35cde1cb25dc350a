// Who of the application's connections keeps its place when places grow short, without I/O and without a
// clock. A connection is worth its place by how soon it is likely to bring a request: one that has come back
// before by its own rate, one that has asked once much less, one that has only asked for /_health nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>

#include "engine/types.hpp"

namespace whinledge {

class Places {
public:
    using Id = std::uint64_t;

    // `most` connections can be open at once, at least one.
    explicit Places(std::size_t most) : most_(most) {}
    Places(const Places&) = delete;
    Places& operator=(const Places&) = delete;

    // `silent_for`: as long as nothing has come from it, in the queue of those to be accepted too.
    void connected(Id id, Millis now, Millis silent_for = 0);
    // A whole request has come on it; `health`: for /_health.
    void asked(Id id, bool health, Millis now);
    // It has asked more than once: it stays, whatever waits.
    bool has_come_back(Id id) const { return open_.at(id).times > 1; }
    // Its answer is about to go out. Whether the connection is kept; if not, the answer says so. `queued`:
    // how many connections wait to be accepted.
    bool stays(Id id, std::size_t queued);
    // The answer has gone out, and it is kept: idle from now on.
    void idles(Id id, Millis now);
    // Something of the next request has come.
    void wakes(Id id, Millis now);
    // Nothing whole will come of it any more: it is waited for only so that it can take its answer.
    void ends(Id id, Millis now);
    void closed(Id id);

    bool full() const { return open_.size() >= most_; }
    std::size_t size() const { return open_.size(); }

    // Of those that may make room at present and that `spare` consents to, the one least worth its place.
    // None: whoever is next has to wait.
    std::optional<Id> least_worth(Millis now, const std::function<bool(Id)>& spare) const;

    // Until somebody silent has had their time; none: nobody is waited for.
    std::optional<Millis> patience(Millis now) const;

    struct Stats {
        std::size_t silent = 0, once = 0, health = 0, returning = 0;  // not at work, by what they have asked
    };
    Stats stats() const;

private:
    enum class State { silent, busy, idle };  // silent: nothing whole has come, or nothing more will
    struct Silence {
        Millis since = 0;
        Id id = 0;
    };
    using Silences = std::list<Silence>;
    struct Connection {
        Silences::iterator silence;  // its own, in `silent_` or in `heard_`
        State state = State::silent;
        Millis since = 0;    // in that state
        Millis asked = 0;    // when its last request came
        Millis gap = 0;      // between its requests, a mean of late
        unsigned times = 0;  // it has asked, /_health left out
    };
    void enter(Id id, State state, Millis now);
    void begin_silence(Connection& connection, Silences& from);
    std::size_t& count(const Connection& connection);
    std::optional<Id> least_worth_of_idle(Millis now, const std::function<bool(Id)>& spare) const;
    static Millis next_request_in(const Connection& connection, Millis now);

    std::size_t most_;
    std::unordered_map<Id, Connection> open_;
    Silences silent_;  // longest first, then by identity
    Silences heard_;   // of all others, kept so that a change of state allocates nothing
    Stats counts_;
};

}  // namespace whinledge
