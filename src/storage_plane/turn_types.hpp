// What the data plane says and learns about conversation turns.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage_types.h"  // generated from idl/storage.thrift

namespace whinledge::storage_plane {

// The name under which a record's program is kept: turns without one stand alone.
inline std::string program_name(const wire::TurnRecord& record) {
    return record.program.empty() ? "\n" + record.id : record.program;
}

enum class BeginStatus {
    ok,
    budget_spent,  // 402: for certain, and nothing is reserved
    no_such_turn,  // 404: for certain
    unavailable,   // 503: it could not be found out; nothing may be sent
};

struct TurnStart {
    std::string program;
    std::string turn;         // Try-Id
    std::string previous;     // empty: none
    std::int64_t budget = 0;  // tokens of the whole program; 0: none stated
    std::int64_t most = 0;    // tokens that this turn can put out at most
    int keep_for_s = 0;
    double longest_ms = 0;  // that this turn can last: what it continues is kept from its end on
};

struct BegunTurn {
    BeginStatus status = BeginStatus::unavailable;
    std::vector<wire::TurnRecord> chain;  // oldest first; its last is `previous`
};

struct TurnEnd {
    std::string program;
    std::string turn;
    std::int64_t tokens = 0;  // handed to the client, or that may have been
    bool never_ran = false;   // it was refused: its reservation is taken back
    bool whole = false;       // its answer is complete: `record` is to be kept
    wire::TurnRecord
        record;  // id, parent, program, input, output, ended_ms, keep_for_s; holders are set here
    int keep_for_s = 0;
};

// What other proxies have under way at model servers, as a storage member has been told.
struct ToldLoads {
    std::vector<std::int32_t> servers;         // those asked for: LoadReport::asked
    std::vector<std::int32_t> other_requests;  // at each of them; shorter where the member does not know
    double age_ms = 0;                         // of what they told, in the mean, and of its way here and back
};

}  // namespace whinledge::storage_plane
