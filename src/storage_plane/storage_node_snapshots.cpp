#include <glog/logging.h>

#include <optional>
#include <utility>

#include "storage_plane/storage_node.hpp"

namespace whinledge::storage_plane {

// The index at a start, by a snapshot or by the whole log; its snapshots; and the check of what a start by
// one has not read.

DiskResult<void> StorageNode::load_index() {
    const std::int64_t begun_ms = options_.steady_ms();
    std::optional<Snapshot> snapshot;
    if (options_.snapshots.on) {
        auto loaded = load_snapshot(folder_, identity_, options_.snapshots.most_bytes);
        if (loaded)
            snapshot.emplace(std::move(loaded.value()));
        else
            started_.fault = loaded.error();
    }
    // Best effort: a leftover costs room, and nothing else.
    const auto removed =
        options_.snapshots.on ? remove_unfinished_snapshot(folder_) : remove_snapshots(folder_);
    if (!removed) LOG(WARNING) << removed.error().message;
    SegmentLog::Resume resume;
    if (snapshot) {
        resume.covered = snapshot->head().covered;
        resume.accept = [&](std::uint64_t first_segment) { return restore(*snapshot, first_segment); };
        resume.give_up = [&] { forget_index(); };
    }
    auto log = SegmentLog::open(
        folder_, {options_.segment_bytes, options_.disk_bytes},
        [this](const Place& place, std::string_view payload) { replay(place, payload); }, replay_,
        snapshot ? &resume : nullptr);
    if (!log) return log.error();
    log_ = std::move(log.value());
    if (started_.by_snapshot) snapshots_.found(snapshot->bytes());
    started_.ms = options_.steady_ms() - begun_ms;
    return boost::outcome_v2::success();
}

bool StorageNode::restore(const Snapshot& snapshot, std::uint64_t first_segment) {
    if (!snapshot.restore(store_, first_segment)) {
        forget_index();
        started_.fault = SnapshotFault::malformed;
        return false;
    }
    for (const std::string& state : snapshot.head().states) replay(Place{}, state);
    return started_.by_snapshot = true;
}

void StorageNode::forget_index() {
    store_ = TurnStore({options_.cache_bytes});
    map_ = {};
    promised_epoch_ = filled_identity_ = 0;
    counts_.unreadable_records = 0;
    started_.by_snapshot = false;
}

// One piece, and only while nothing waits for a sync. After a start that found damage, or left records out,
// none is written: each start has to look at them again.
void StorageNode::step_snapshot() {
    if (!options_.snapshots.on || needs_commit() || state_owed_ || must_restart_) return;
    if (replay_.damaged || counts_.unreadable_records > 0) return;
    const std::int64_t now = options_.steady_ms();
    const std::uint64_t appended = replay_.bytes + log_->appended();
    if (snapshots_.is_due(appended) && log_->end().segment != 0)
        snapshots_.begin({identity_, log_->end(), state_payloads()}, appended, now);
    snapshots_.step(store_, now);
}

void StorageNode::scrub() {
    if (log_->unchecked_bytes() == 0 || needs_commit() || must_restart_) return;
    const auto scrubbed = log_->scrub(options_.snapshots.scrub_bytes);
    if (!scrubbed) {
        ++counts_.disk_failures;
        LOG(WARNING) << scrubbed.error().message;
    } else if (scrubbed.value().damaged) {
        found_damage("a segment has changed since it was written");
    }
}

void StorageNode::found_damage(const std::string& what) {
    if (std::exchange(must_restart_, true)) return;
    LOG(ERROR) << what << "; the start by a snapshot had not read it: this member has to start anew";
    if (snapshots_.is_writing()) snapshots_.give_up();
    if (const auto removed = remove_snapshots(folder_); !removed) {
        ++counts_.disk_failures;
        LOG(WARNING) << removed.error().message;
    }
}

}  // namespace whinledge::storage_plane
