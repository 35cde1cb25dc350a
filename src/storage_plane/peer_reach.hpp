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
        // The same: what it was to have is not believed to be there. Longer, as processes that end together
        // do not start together.
        std::int64_t doubted_after_ms = 2500;
        std::int64_t stall_ms = 2500;  // without a step for so long, silence of others says nothing
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
    // Of those: full, or away for longer. They hold what they have told of, and nothing else is expected of
    // them.
    std::set<std::int64_t> doubted() const;
    // Some have begun not to answer: what is concluded from it may change soon.
    bool suspects() const;

private:
    struct Member {
        std::int64_t unanswered_since_ms = 0;  // meaningful while `waits`
        bool waits = false;                    // asked, and not answered since
        bool failed = false;                   // a call, since it answered last
        bool full = false;
    };
    bool is_away(const Member& member) const { return is_silent(member, options_.away_after_ms); }
    bool is_silent(const Member& member, std::int64_t for_ms) const;

    Options options_;
    std::int64_t now_ms_ = 0;
    bool stepped_ = false;
    std::map<std::int64_t, Member> members_;  // by identity
};

}  // namespace whinledge::storage_plane
