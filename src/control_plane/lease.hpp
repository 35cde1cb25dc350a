// Leases: one process at a time does a duty. Granted in memory by a majority of the register's acceptors; the
// holder's time is shorter than the grantors', by the bound on how far clock rates differ, and starts at the
// moment it asked. Fencing numbers rise from holder to holder and go with what the holder does. Pure: the
// caller brings time and carries the messages.
//
// Voters change with the register's epoch, and majorities of two epochs need not meet. So a voter grants
// nothing to who counts the voters of an epoch that it knows to be over, or whose end it has accepted; and
// for a grant's time after it learns of an epoch it grants only to the one who says that it holds the lease.
// Each majority that ended the old epoch met the one that granted under it: by the time a voter of the new
// epoch grants anything to anybody else, whatever was granted under the old one has run out.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift

namespace whinledge::control_plane {

using Instant = std::chrono::steady_clock::time_point;
using Span = std::chrono::milliseconds;

// Highest fencing number that is taken from a message: there is room for others above it.
inline constexpr std::int64_t kMostFencing = std::int64_t{1} << 62;

struct LeaseTimes {
    Span hold{1500};   // the holder's time from when it asked
    Span grant{1800};  // the grantor's time from when it granted
    Span renew{500};   // between renewals
    Span reply{400};   // an answer that has not come by then does not count
    Span retry_min{150}, retry_max{450};
};

// Who votes: the acceptors of an epoch of the register.
struct LeaseVoters {
    std::int64_t epoch = 0;  // 0: not told, as by older versions; voters never change then
    std::vector<std::string> addresses;
};

// One voter's memory of a lease.
class LeaseGrantor {
public:
    // A process that has been restarted has forgotten what it granted: until `grants_from` it grants nothing.
    explicit LeaseGrantor(Instant grants_from, Span grant = LeaseTimes().grant)
        : grants_from_(grants_from), grant_(grant) {}

    // The newest epoch that this voter knows of, and whether it has accepted the end of it. To be told ahead
    // of each request.
    void observe(std::int64_t epoch, bool ends, Instant now);
    wire::LeaseReply handle(const wire::LeaseRequest& request, Instant now);
    // Whether somebody else than `holder` has it as far as this voter knows.
    bool taken_by_other(std::int64_t holder, Instant now) const;
    std::int64_t fencing() const { return fencing_; }
    const std::string& node() const { return node_; }
    bool held(Instant now) const { return holder_ != 0 && now < until_; }

private:
    bool votes_for(const wire::LeaseRequest& request, Instant now);
    void begin_epoch(std::int64_t epoch, Instant now);

    Instant grants_from_;
    Span grant_;
    std::int64_t epoch_ = 0;      // 0: none is known
    bool epoch_ends_ = false;     // this voter has accepted its end
    Instant new_holders_from_{};  // before, nobody else than the holder is granted it in this epoch
    std::int64_t holder_ = 0;     // 0: nobody
    std::string node_;
    Instant until_{};
    std::int64_t fencing_ = 0;  // highest that was granted
};

// The one who asks. Its actions come out of tick(); replies go into on_reply().
class LeaseHolder {
public:
    LeaseHolder(std::string lease, std::int64_t holder, std::string node, std::uint64_t seed,
                LeaseTimes times = {})
        : lease_(std::move(lease)), holder_(holder), node_(std::move(node)), random_(seed), times_(times) {}

    struct Send {
        std::string to;
        wire::LeaseRequest request;
    };
    // Voters are named by address. `unix_ms` keeps fencing numbers rising when all voters have forgotten
    // them.
    std::vector<Send> tick(Instant now, const LeaseVoters& voters, std::int64_t unix_ms);
    // `reply` null: none came. `round`: that of the request.
    void on_reply(std::uint64_t round, const std::string& from, const wire::LeaseReply* reply, Instant now);
    std::uint64_t round() const { return round_; }

    // To be asked after every wait, before anything is done under the lease.
    bool held(Instant now) const { return now < until_; }
    // Of the lease that is or was held last.
    std::int64_t fencing() const { return fencing_; }
    // Somebody has seen a higher number: the next round goes above it.
    void raise_fencing(std::int64_t seen);
    // Gives it up, and does not ask again before `again`.
    std::vector<Send> release(Instant now, Instant again);

private:
    enum class Phase { idle, asking };
    wire::LeaseRequest request(Span hold) const;
    std::vector<Send> to_all(const wire::LeaseRequest& request) const;
    void conclude(Instant now);

    std::string lease_;
    std::int64_t holder_;
    std::string node_;
    std::minstd_rand random_;
    LeaseTimes times_;
    Phase phase_ = Phase::idle;
    std::uint64_t round_ = 0;
    LeaseVoters voters_;   // of this round
    bool renews_ = false;  // it was held as this round began
    // Of them: who granted it, who replied in time, and whose calls have ended, by a reply or without one.
    std::set<std::string> granted_, answered_, ended_;
    Instant asked_{}, next_{}, until_{};
    std::int64_t fencing_ = 0;  // asked for, or held under
    std::int64_t highest_ = 0;  // seen anywhere
    bool give_back_ = false;    // what a lost round was granted
    bool unanswered_ = false;   // no majority replied in time to the last round
};

}  // namespace whinledge::control_plane
