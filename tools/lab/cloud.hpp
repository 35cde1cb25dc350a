// The servers of a trial on a simulated network: their delays, their troubles, what crosses between zones,
// and the end of each attempt that is sent to them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/measures.hpp"
#include "lab/prompt_reads.hpp"
#include "lab/simulation.hpp"

namespace whinledge::lab {

using AttemptId = std::uint64_t;
using ServerIndex = std::size_t;

inline constexpr const char* kModels = "models";
inline constexpr const char* kTools = "tools";

// What goes to a server.
struct ServerRequest {
    std::string wanted;  // `Wanted-Server`
    ModelRequest model;  // of a model server
    Millis work = 0;     // of a tool server
    double bytes = 0;
};

// What comes of it. All but `piece` end the attempt.
struct ServerWord {
    enum class Kind {
        piece,        // an event of the stream
        done,         // the whole answer, or the stream's end
        refused,      // full: it has not run
        wrong,        // 421: another server answers at that address
        unreachable,  // nobody does
        error,        // 500
        broken,       // the connection broke; it may have run
    };
    Kind kind = Kind::piece;
    std::optional<placement::Load> load{};  // `Server-Load`, with the first of the answer
};

class AttemptSink {
public:
    // `tag`: as it was given to send().
    virtual void heard(std::uint64_t tag, const ServerWord& word) = 0;

protected:
    ~AttemptSink() = default;
};

class Cloud {
public:
    struct Server {
        std::string id;       // of this start
        std::string address;  // of all its starts
        std::size_t zone = 0;
        bool is_model = true, gone = false;
        int starts = 1;
        double lost_share = 0, grey_share = 0;
        std::unique_ptr<ModelServer> model;
        std::unique_ptr<ToolServer> tool;
        Millis wakes = 0;  // when its next step's end is looked for; infinity: not at all
    };

    Cloud(const Experiment& experiment, Simulation& simulation, Measures& measures, std::uint64_t seed);

    const std::vector<Server>& servers() const { return servers_; }
    const Server& server(ServerIndex index) const { return servers_[index]; }
    std::optional<ServerIndex> find(const std::string& address) const;
    Millis delay(std::size_t zone_a, std::size_t zone_b) const;

    // From a proxy of that zone over a connection that is up. `sink` has to outlive the attempt or forget it.
    AttemptId send(std::size_t from_zone, ServerIndex server, ServerRequest request,
                   std::weak_ptr<AttemptSink> sink, std::uint64_t tag);
    // Its connection is closed: nothing more is heard of it.
    void cancel(AttemptId attempt);

    void set_slowdown(ServerIndex server, double factor);
    void set_frozen(ServerIndex server, bool frozen);
    void set_lost(ServerIndex server, double share) { servers_[server].lost_share = share; }
    void set_grey(ServerIndex server, double share) { servers_[server].grey_share = share; }
    void crash(ServerIndex server);
    void restart(ServerIndex server);

    // At the trial's end: attempts that have none yet.
    void count_open();

private:
    struct Attempt {
        std::size_t from_zone = 0;
        ServerIndex server = 0;
        std::weak_ptr<AttemptSink> sink;
        std::uint64_t tag = 0;
        bool there = false;  // it has arrived and been accepted
        bool heard = false;  // its answer has begun
        bool will_break = false;
        std::int64_t unsent = 0;  // tokens of the next event
    };
    void make_servers(std::uint64_t seed);
    void start(Server& server);
    void arrived(AttemptId id, const ServerRequest& request);
    void pump(ServerIndex index);
    void wake(ServerIndex index);
    void happened(ServerIndex index, const ModelEvent& event);
    void token(AttemptId id, Attempt& attempt);
    void finished(AttemptId id);
    void word(const Attempt& attempt, ServerWord word, double bytes);
    void end(AttemptId id, ServerWord::Kind kind, double bytes);
    placement::Load load(const Server& server) const;
    void cross(std::size_t zone_a, std::size_t zone_b, double bytes);

    const Experiment& experiment_;
    Simulation& simulation_;
    Measures& measures_;
    PromptReads reads_;
    Random random_;
    std::vector<Server> servers_;
    std::unordered_map<std::string, ServerIndex> by_address_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    AttemptId next_ = 1;
};

}  // namespace whinledge::lab
