// The servers list as one control process holds it, and what it knows of the lists of the others: what the
// reader tells them, and what they make of it. Pure: the caller brings messages and sends those that are
// made here.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control_types.h"  // generated from idl/control.thrift
#include "servers_list/difference.hpp"

namespace whinledge::control_plane {

class ListReplica {
public:
    const wire::ServersList& list() const { return kept_.list(); }
    // What makes it of one that was the newest of late; none where only the whole list helps.
    std::optional<wire::ServersDifference> difference_since(std::int64_t term, std::int64_t sequence) const;

    // ---- Of the reader, by another process
    struct Taken {
        wire::ListNewsReply reply;
        bool changed = false;        // the list is a newer one
        bool living_reader = false;  // whoever told it is no reader of an earlier term
    };
    Taken take(const wire::ListNews& news);

    // ---- Of the reader, by itself
    // The servers as they were read under `term`, which is not below that of the list; each server once, in
    // the order of ids. False: nothing has changed, and nobody holds a list under a higher number.
    bool publish(std::int64_t term, std::vector<wire::ListedServer> servers);
    struct News {
        wire::ListNews message;
        bool asks = false;  // nothing is known of the other's list: it is told of ours, and asked for its own
    };
    // What the process at `address` is to be told.
    News news_for(const std::string& address);
    // Its answer. True: it asked for what it lacks, and is to be told again at once.
    bool answered(const std::string& address, bool asked, const wire::ListNewsReply& reply);
    void failed(const std::string& address);

    std::uint64_t told_whole() const { return told_whole_; }
    std::uint64_t mismatches() const { return mismatches_; }

private:
    using Version = std::pair<std::int64_t, std::int64_t>;  // term, sequence
    struct Other {
        Version had;  // as it said last
        bool takes_differences = false;
    };

    bool take_difference(const wire::ServersDifference& difference);
    bool take_whole(const wire::ServersList& list);
    bool lacks(const Version& had) const;      // what we hold is newer
    bool is_behind(const Version& had) const;  // what we hold is older

    servers_list::KeptList kept_;
    servers_list::RecentChanges recent_;
    bool wants_whole_ = false;             // a difference did not fit
    std::map<std::string, Other> others_;  // by address
    // The highest that another has said. Where it is above our own in our own term it was altered on its way.
    Version heard_;
    std::uint64_t told_whole_ = 0, mismatches_ = 0;
};

}  // namespace whinledge::control_plane
