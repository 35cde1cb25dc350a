// What a run has seen, by the rig's own clock: what is checked and drawn comes from here alone.
#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace whinledge::fleetrig {

using Millis = double;

// A process of the program, by its place: 0 to N - 1 are the members, what follows are impostors.
using Node = std::size_t;
// A configured name, by its place.
using Member = std::size_t;

// What a node holds of a member. `unknown`: it has never heard of it, and the program calls it failed.
enum class Belief : std::uint8_t { unknown, alive, suspect, failed, left };
constexpr std::size_t kBeliefs = 5;
std::string_view name_of(Belief belief);
std::optional<Belief> belief_of(std::string_view name);

// Of what happens to a process. `up`: it answers on its control socket.
enum class Life : std::uint8_t { started, up, stopped, continued, killed, terminated, ended };
std::string_view name_of(Life life);

struct Held {
    Node node = 0;
    Member member = 0;
    Belief belief = Belief::unknown;
    std::uint64_t incarnation = 0;
    bool draining = false;
    double said_at = 0;   // Unix time by the node's clock, ms; 0: it came with a whole view
    bool polled = false;  // seen in a whole view alone: no event had told it
};
struct Stood {
    Node node = 0;
    std::string standing;
};
struct Lived {
    Node node = 0;
    Life life = Life::started;
    int status = 0;  // of `ended`: as a shell has it
};
struct Asked {  // on the control socket
    Node node = 0;
    bool answered = false;
    Millis took = 0;
};
struct Served {  // a request as a stand-in server saw it
    std::size_t server = 0;
    std::string id, method;
    std::size_t open = 1;  // at all servers then, this one included
};
struct Called {  // a request as its client saw it; recorded at its end
    Node node = 0;
    std::string id, method;
    Millis sent_at = 0;
    int status = 0;  // 0: no answer
};
struct Done {  // a step of the timeline; `until` at least now
    std::string what;
    Millis until = 0;
};
struct Counted {  // since the start, by node
    std::vector<std::uint64_t> datagrams, bytes;
};
struct Weighed {  // a process: resident memory, KiB, and processor time since its start
    Node node = 0;
    std::uint64_t resident = 0;
    Millis busy = 0;
};

struct Event {
    Millis at = 0;
    std::variant<Held, Stood, Lived, Asked, Served, Called, Done, Counted, Weighed> what;
};

class Record {
public:
    struct Cast {
        std::vector<std::string> nodes, members, servers;
        std::vector<Member> member_of;  // by node
        Millis period = 1000;
    };
    explicit Record(Cast cast) : cast_(std::move(cast)) {}

    const Cast& cast() const { return cast_; }
    const std::vector<Event>& events() const { return events_; }
    // In the order of time; one that is earlier than the last is taken to be of the same time.
    void add(Event event);
    // Each event is also written there, one JSON object a line.
    void write_to(const std::string& path);
    std::function<void(const Event&)> on_event;

private:
    std::string line_of(const Event& event) const;

    Cast cast_;
    std::vector<Event> events_;
    std::ofstream file_;
};

}  // namespace whinledge::fleetrig
