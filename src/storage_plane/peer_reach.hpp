// Which other members can take copies at present: those that answer and have room. Pure: times (ms, of a
// steady clock) go in.
#pragma once

#include <cstdint>
#include <map>
#include <set>

namespace whinledge::storage_plane {

class PeerReach {
public:
    struct Options {
        std::int64_t away_after_ms = 1200;  // unanswered for so long, a call having failed: it is away
        std::int64_t stall_ms = 2500;       // without a step for so long, silence of others says nothing
    };
    PeerReach() = default;
    explicit PeerReach(Options options) : options_(options) {}

    // To be called at each look, ahead of the questions below.
    void step(std::int64_t now_ms);
    // Members of the present map.
    void keep_only(const std::set<std::int64_t>& identities);

    void asked(std::int64_t identity, std::int64_t now_ms);
    void answered(std::int64_t identity, bool full);
    void failed(std::int64_t identity);

    bool is_away(std::int64_t identity) const;
    bool is_full(std::int64_t identity) const;
    // Of those asked: away or full.
    std::set<std::int64_t> unable() const;
    // Some do not answer, and are not taken to be away yet.
    bool suspects() const;

private:
    struct Member {
        std::int64_t unanswered_since_ms = 0;  // meaningful while `waits`
        bool waits = false;                    // asked, and not answered since
        bool failed = false;                   // a call, since it answered last
        bool full = false;
    };
    bool is_away(const Member& member) const;

    Options options_;
    std::int64_t now_ms_ = 0;
    bool stepped_ = false;
    std::map<std::int64_t, Member> members_;  // by identity
};

}  // namespace whinledge::storage_plane
