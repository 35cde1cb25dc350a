// Writes snapshots of a member's index beside its log, one bounded piece each time it is asked, and reads the
// newest one. Each is written to a name of its own, synced, renamed over the one before, and its folder
// synced. Where any of this fails it is given up: the log alone holds everything.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "storage_plane/files.hpp"
#include "storage_plane/index_snapshot.hpp"
#include "storage_plane/turn_store.hpp"

namespace whinledge::storage_plane {

class SnapshotWriter {
public:
    struct Options {
        bool on = false;
        std::uint64_t piece_bytes = 256U << 10;    // about; written and synced at once
        std::uint64_t least_appended = 16U << 20;  // bytes of log since the last one was begun
        std::uint64_t appended_per_byte = 8;       // and so many for each byte of the last one
        std::uint64_t most_bytes = 8U << 20;       // of one snapshot: a larger index gets none
        std::uint64_t scrub_bytes = 1U << 20;      // of the log checked a second after a start by one
    };
    SnapshotWriter(Folder& folder, Options options) : folder_(folder), options_(options) {}

    // Whether a new one is to be begun, given the bytes of log that this run has read or appended.
    bool is_due(std::uint64_t appended) const;
    bool is_writing() const { return file_ != nullptr; }
    // Everything committed is in the index, and nothing is pending.
    void begin(const SnapshotHead& head, std::uint64_t appended, std::int64_t now_ms);
    // Writes the next piece.
    void step(const TurnStore& store, std::int64_t now_ms);
    void give_up();
    // A whole one was there at the start; bytes appended behind it count towards the next.
    void found(std::uint64_t bytes) { last_bytes_ = bytes; }

    struct Counters {
        std::uint64_t written = 0, given_up = 0;
        std::uint64_t bytes = 0;  // of all pieces
    };
    const Counters& counts() const { return counts_; }
    // Of the newest one written in this run, or found at its start.
    std::uint64_t last_bytes() const { return last_bytes_; }
    // When the newest one of this run was begun; 0: none yet.
    std::int64_t last_begun_ms() const { return last_begun_ms_; }

private:
    DiskResult<void> write_piece();
    DiskResult<void> put_in_place();
    void encode_piece(const TurnStore& store);

    Folder& folder_;
    Options options_;
    std::unique_ptr<File> file_;  // null: none is being written
    std::unique_ptr<SnapshotEncoder> encoder_;
    bool whole_ = false;          // all is written and synced, and it has its place to get
    std::uint64_t offset_ = 0;    // in the file
    std::uint64_t change_ = 0;    // walked up to this one
    std::uint64_t begun_at_ = 0;  // bytes appended then
    std::int64_t begun_ms_ = 0;
    std::int64_t last_begun_ms_ = 0;
    std::uint64_t last_bytes_ = 0;
    Counters counts_;
};

// Faults as of Snapshot::parse(), `none` and `unreadable`.
SnapshotResult<Snapshot> load_snapshot(Folder& folder, std::int64_t identity, std::uint64_t most_bytes);
// The snapshot goes, and what was left of one half written.
DiskResult<void> remove_snapshots(Folder& folder);
// What was left of one half written goes.
DiskResult<void> remove_unfinished_snapshot(Folder& folder);

}  // namespace whinledge::storage_plane
