// The search for the chain that a turn continues: what is known of it, from the cache and from members, and
// who has denied the newest turn that is missing. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage_plane/turn_cache.hpp"
#include "storage_types.h"  // generated from idl/storage.thrift

namespace whinledge::storage_plane {

class ChainSearch {
public:
    enum class Verdict {
        undecided,
        here,
        absent,  // no member has `previous`: for certain
        unsure,  // nobody who can be asked has it, and somebody who is away may have it
        broken,  // parents run in a circle, or an earlier turn is gone though its child is there
    };

    ChainSearch(TurnCache& cache, std::string previous) : cache_(cache), previous_(std::move(previous)) {}

    // All of it lies in the cache.
    bool complete() { return find().complete; }
    // Denials count within one map; records stay.
    void map_changed() {
        denials_.clear();
        answered_.clear();
    }
    void learn(const std::vector<wire::TurnRecord>& chain);
    // A member that can't have forgotten has answered for `id` with `chain`: it holds no turn beyond the last
    // that it sent. True: it lacks one.
    bool learn_end(std::int64_t member, const std::string& id, const std::vector<wire::TurnRecord>& chain);

    // Identities, under the present map.
    struct Members {
        std::set<std::int64_t> voters;   // may deny a turn
        std::set<std::int64_t> joining;  // hold what they have pulled so far, which may be the only copy
        std::set<std::int64_t> away;     // may hold turns that no voter has
    };
    Verdict verdict(const Members& members);
    // A member has answered for `id`, whatever its answer is worth.
    void note_answer(std::int64_t member, const std::string& id) { answered_[id].insert(member); }
    // The newest turn of the chain that is not known, as of the latest verdict.
    const std::string& missing() const { return missing_; }
    bool is_denied_by(std::int64_t identity) const;
    // Oldest first; of a chain that is here.
    std::vector<wire::TurnRecord> records();

private:
    struct Found {
        bool complete = false;
        bool broken = false;                // parents run in a circle
        std::string missing;                // the newest that is not known, unless complete
        std::vector<SharedRecord> records;  // newest first
    };
    Found find();
    SharedRecord known(const std::string& id);

    TurnCache& cache_;
    std::string previous_;
    std::string missing_;
    bool here_ = false;
    std::map<std::string, SharedRecord> learned_;
    // Who have said, under the present map, that they lack a turn.
    std::map<std::string, std::set<std::int64_t>> denials_;
    // Who have answered for a turn, under the present map.
    std::map<std::string, std::set<std::int64_t>> answered_;
};

}  // namespace whinledge::storage_plane
