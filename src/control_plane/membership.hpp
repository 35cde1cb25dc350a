// Which processes a control process has heard of, and when last. Pure: the caller brings the time.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift

namespace whinledge::control_plane {

using Instant = std::chrono::steady_clock::time_point;
using Span = std::chrono::milliseconds;

struct Heard {
    wire::NodeInfo info;
    Instant first{};  // with this identity
    Instant last{};
    std::string storage_note;
    std::optional<wire::StorageProgress> storage_progress;  // none: no storage process, or an earlier build
    std::int64_t sequence = 0;                              // of the register's state that it had
    bool direct = false;                                    // the last word came from itself

    // Of a storage process: it votes, as far as it says. Builds that say nothing of it are taken to vote.
    bool votes() const { return !storage_progress || storage_progress->voting; }
};

class Membership {
public:
    void hear(const wire::WatchRequest& watch, Instant now);
    void hear_control(const wire::NodeInfo& info, Instant now);
    // What another control process heard; newer words of our own stay.
    void hear_of(const wire::SeenStorage& seen, Instant now);
    // Who has not been heard for long goes.
    void forget(Instant now, Span after);

    // Heard within `within`, by address.
    std::vector<Heard> of_role(wire::NodeRole::type role, Instant now, Span within) const;
    // How many that are.
    std::size_t count_of_role(wire::NodeRole::type role, Instant now, Span within) const;
    // All storage processes ever heard and not forgotten.
    std::vector<Heard> storages() const;
    // To tell other control processes: those heard directly within `within`.
    std::vector<wire::SeenStorage> seen_storages(Instant now, Span within) const;

private:
    Heard& entry(const wire::NodeInfo& info, Instant at);

    std::map<std::string, Heard> heard_;  // by address
};

}  // namespace whinledge::control_plane
