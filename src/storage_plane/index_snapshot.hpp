// A snapshot of a member's index as bytes: which disk it is of, up to where in the log it goes, and every
// turn and ledger entry with its place. Pure: no I/O, no clock.
//
// It is walked in pieces while the index goes on changing: what changes meanwhile comes again further on, and
// lies in the log behind `covered` besides. So a snapshot stands only together with the log from there on.
// Nothing of one is believed whose checksum over the whole does not hold.
#pragma once

#include <boost/outcome/result.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage_plane/segment_log.hpp"
#include "storage_plane/turn_store.hpp"

namespace whinledge::storage_plane {

struct SnapshotHead {
    std::int64_t identity = 0;        // of the disk
    SegmentLog::Covered covered;      // the log up to here is in it
    std::vector<std::string> states;  // records (log_record.hpp) of what the member knew of itself there
};

enum class SnapshotFault {
    none,            // there is none
    unreadable,      // the disk failed, or it is larger than one may be
    damaged,         // its checksum does not hold: torn, flipped, cut
    other_version,   // of the format
    other_identity,  // of another disk
    malformed,       // whole by its checksum, and yet not to be read
};
const char* name_of(SnapshotFault fault);

template <class T>
using SnapshotResult = boost::outcome_v2::result<T, SnapshotFault, boost::outcome_v2::policy::all_narrow>;

class SnapshotEncoder {
public:
    explicit SnapshotEncoder(const SnapshotHead& head);
    ~SnapshotEncoder();
    SnapshotEncoder(const SnapshotEncoder&) = delete;
    SnapshotEncoder& operator=(const SnapshotEncoder&) = delete;

    // Turns and entries belong to the program named last.
    void program(const std::string& name, const HeldProgram& held);
    void turn(const std::string& id, const HeldTurn& held);
    void entry(const wire::LedgerEntry& entry);
    // No more follows: the checksum over all.
    void finish();

    std::size_t pending_bytes() const { return pending_.size(); }
    // What was encoded since the last time.
    std::string take();

private:
    struct Checksum;
    std::unique_ptr<Checksum> checksum_;
    std::string pending_;
};

// A snapshot whose checksum holds.
class Snapshot {
public:
    // Faults: `damaged`, `other_version`, `other_identity`, `malformed`.
    static SnapshotResult<Snapshot> parse(std::string bytes, std::int64_t identity);

    const SnapshotHead& head() const { return head_; }
    std::size_t bytes() const { return bytes_.size(); }
    // Into an empty index, without what lay in segments that are gone: what of it was still needed then lies
    // behind `covered`. False: malformed; the index holds a part then and has to be emptied.
    bool restore(TurnStore& store, std::uint64_t first_segment) const;

private:
    std::string bytes_;
    std::size_t items_at_ = 0;
    SnapshotHead head_;
};

}  // namespace whinledge::storage_plane
