// Clients: single requests with the tries that the protocol allows, and agent programs made of turns, tools
// and sub-agents.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tier/http.hpp"
#include "tier/platform.hpp"

namespace whinledge::tier_rig {

struct Ask {
    std::string method = "GET", host, path, body;
    RouteKind kind = RouteKind::repeatable;
    Millis time_left = 3000, target = 400, gap_limit = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string program, previous;
    std::int64_t budget = 0, most = 0;
    bool probe = false;
    bool runaway = false;     // of a program that loops without end
    bool chunked = false;     // how the body is sent
    Millis leaves_after = 0;  // the client closes its connection then; 0: it stays
};

// A client in a zone. It keeps a connection where it was told to, and follows the rules for tries.
class Client {
public:
    Client(World& world, const Platform& platform, std::string zone, bool keeps_connection);

    // With the tries that any request has; null: there was no sidecar to ask.
    Task<const Try*> call(Ask ask);
    // One try at a given sidecar.
    Task<const Try*> call_at(Ask ask, Sidecar sidecar, Millis time_left);

private:
    struct Connection;
    Task<std::shared_ptr<Connection>> connect(const Sidecar& sidecar, Millis limit);
    Task<void> exchange(Try& one, const Ask& ask, std::shared_ptr<Connection> connection);
    Task<bool> read_answer(Try& one, const Ask& ask, Connection& connection, double& retry_after);

    World& world_;
    const Platform& platform_;
    std::string zone_;
    bool keeps_;
    std::uint64_t hash_, connections_ = 0;
    std::shared_ptr<Connection> kept_;
    double retry_after_ = 0;
};

struct ProgramPlan {
    std::string turn_host, turn_path = "/agent/";
    std::vector<Ask> tools;  // one of these at a time
    int turns = 3;
    bool runaway = false;
    std::string continues;  // a turn made before; empty: from the start
    Millis pause = 30;      // between turns, at most
};

struct ProgramResult {
    bool done = false, finished = false, spent = false;  // spent: ended by a 402
    std::string fault;                                   // of what it failed
    std::vector<std::string> turns;                      // answered whole, ids
};

// Runs one agent program to its end.
Task<void> run_program(World& world, const Platform& platform, std::string zone, ProgramPlan plan,
                       std::shared_ptr<ProgramResult> result);

}  // namespace whinledge::tier_rig
