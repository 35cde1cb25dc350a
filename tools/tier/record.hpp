// What the stand-ins have seen on their sockets: the requests of clients, what servers ran, what the operator
// sent, what the platform showed and which troubles there were. The checker judges nothing else.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinledge::tier_rig {

using Millis = double;  // since the rig began, or a span

enum class RouteKind { repeatable, one_shot, streaming };

// A route as the operator sends it.
struct RouteSpec {
    std::string name, host, path_start;
    RouteKind kind = RouteKind::repeatable;
    std::vector<std::string> services;  // all with weights above 0
    Millis timeout = 5000, target = 500;
    int priority = 1, tries = 2;
    bool remembered = false;
    double keep_for_s = 60;
    Millis gap_aim = 400;
};

struct Event {  // of a stream
    std::uint64_t id = 0;
    std::string data;
    Millis at = 0;  // when it was made, or when it came
};

enum class End {
    open,           // nothing came yet
    answered,       // a whole answer
    cut,            // the connection ended without a whole answer
    given_up,       // by the client: its deadline, or silence
    not_connected,  // nothing was written
    no_protocol,    // bytes that are no answer
};

// One request of a client, with an id of its own.
struct Try {
    std::string id, host, method, path, body;
    RouteKind kind = RouteKind::repeatable;
    std::string program, previous;      // of turns; empty: none
    std::int64_t budget = 0, most = 0;  // tokens: of the program, of this turn
    Millis time_left = 0, target = 0, gap_limit = 0;
    std::string machine;  // whose sidecar it was handed to
    int incarnation = 0;  // of that machine's process
    bool probe = false;   // earns nothing: shows which configuration is in force
    Millis sent = 0, ended = 0;
    End end = End::open;
    int status = 0;
    std::string seal, answered_id;  // Server-Seal, Try-Id of the answer
    std::string answer;             // body, as far as it came
    std::vector<Event> events;      // as far as they came
    Millis first_event = 0;
    bool servers_idle = false;        // at its end, under half of the places of its servers were taken
    bool runaway = false;             // of a program that loops without end: it earns nothing
    bool left_early = false;          // the client went of its own will: nothing is owed
    bool on_kept_connection = false;  // that had carried another request
    bool stray_bytes = false;         // after the answer, with no request waiting
};

// What a server began to work on.
struct Run {
    std::string server, service, try_id, seal;
    std::string host, method, path, body, previous;
    std::optional<Millis> time_left;
    Millis at = 0, ended = 0;
    int status = 0;             // that it answered, or would have
    std::string answer;         // whole body; of a stream, nothing
    std::vector<Event> events;  // that it made
    bool whole = false;         // ran to its end and wrote all of it
    bool broke_off = false;     // of its own will
};

struct Order {  // a configuration that the operator sent
    std::int64_t version = 0, based_on = 0;
    std::vector<RouteSpec> routes;
    bool valid = true;
    Millis sent = 0;
    std::optional<Millis> acknowledged;
    bool refused = false;  // clearly: a 4xx
    std::string text;      // as sent
};

struct Trouble {
    std::string machine;
    Millis from = 0, to = 0;
    bool planned = false;  // SIGTERM
    bool core = false;     // of a core or storage machine
};

struct Hangup {  // a SIGHUP
    std::string machine;
    Millis at = 0;
};

// A process was ready to run, and this machine's processors were given to others.
struct Starvation {
    std::string machine;
    Millis from = 0, to = 0;
    Millis waited = 0;  // of that time
};

struct Drain {
    std::string server;
    Millis shown = 0;  // in the platform's list
};

struct ReadBack {  // the configuration at the end of the day
    bool came = false;
    std::string text;
    Millis asked = 0;
};

// Element addresses stay valid as it grows.
struct Record {
    std::deque<Try> tries;
    std::deque<Run> runs;
    std::deque<Order> orders;
    std::deque<Trouble> troubles;
    std::deque<Hangup> hangups;
    std::deque<Starvation> starvations;
    std::deque<Drain> drains;
    std::optional<ReadBack> read_back;
    std::optional<Millis> final_fault, back_up;  // when all machines were back
};

inline bool is_promise(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}
inline bool is_success(int status) { return status >= 200 && status < 300; }

}  // namespace whinledge::tier_rig
