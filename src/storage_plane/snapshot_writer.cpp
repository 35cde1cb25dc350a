#include "storage_plane/snapshot_writer.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace whinledge::storage_plane {
namespace {

constexpr const char* kSnapshotFile = "index.snapshot";
constexpr const char* kNewSnapshotFile = "index.snapshot.new";

DiskResult<bool> exists(Folder& folder, const char* name) {
    auto names = folder.list();
    if (!names) return names.error();
    return std::find(names.value().begin(), names.value().end(), name) != names.value().end();
}

DiskResult<void> remove_if_there(Folder& folder, const char* name) {
    auto there = exists(folder, name);
    if (!there) return there.error();
    if (!there.value()) return boost::outcome_v2::success();
    if (auto removed = folder.remove(name); !removed) return removed;
    return folder.sync();
}

}  // namespace

bool SnapshotWriter::is_due(std::uint64_t appended) const {
    if (!options_.on || is_writing()) return false;
    return appended - begun_at_ >=
           std::max(options_.least_appended, options_.appended_per_byte * last_bytes_);
}

void SnapshotWriter::begin(const SnapshotHead& head, std::uint64_t appended, std::int64_t now_ms) {
    begun_at_ = appended;  // also where it fails: the next try is as far away
    begun_ms_ = now_ms;
    auto file = folder_.open(kNewSnapshotFile, Folder::Open::create);
    if (!file) {
        LOG(WARNING) << "no snapshot: " << file.error().message;
        return give_up();
    }
    file_ = std::move(file.value());
    encoder_ = std::make_unique<SnapshotEncoder>(head);
    whole_ = false;
    offset_ = change_ = 0;
}

void SnapshotWriter::step(const TurnStore& store, std::int64_t now_ms) {
    if (!is_writing()) return;
    if (!whole_) encode_piece(store);
    if (offset_ + encoder_->pending_bytes() > options_.most_bytes) {
        LOG(INFO) << "no snapshot: the index is larger than " << options_.most_bytes << " bytes";
        return give_up();
    }
    const auto done = encoder_->pending_bytes() > 0 ? write_piece() : put_in_place();
    if (!done) {
        LOG(WARNING) << "no snapshot: " << done.error().message;
        return give_up();
    }
    if (!is_writing())
        LOG(INFO) << "snapshot of " << last_bytes_ << " bytes, in " << now_ms - begun_ms_ << " ms";
}

// Goes on behind the change that it came to. What has changed since it was passed comes again further on, so
// at the end each has been passed as it was last.
void SnapshotWriter::encode_piece(const TurnStore& store) {
    const std::string* named = nullptr;  // anew in each piece: a program may have changed since the last
    auto change = store.changes().upper_bound(change_);
    for (; change != store.changes().end() && encoder_->pending_bytes() < options_.piece_bytes; ++change) {
        change_ = change->first;
        const std::string& id = *change->second.turn;
        const HeldTurn* turn = change->second.program ? nullptr : store.turn(id);
        const std::string& name = turn ? turn->program : *change->second.program;
        const HeldProgram* program = store.program(name);
        if (!named || *named != name) encoder_->program(name, *program);
        named = &name;
        if (turn)
            encoder_->turn(id, *turn);
        else
            encoder_->entry(program->entries.at(id).entry);
    }
    whole_ = change == store.changes().end();
    if (whole_) encoder_->finish();
}

DiskResult<void> SnapshotWriter::write_piece() {
    const std::string piece = encoder_->take();
    if (auto written = file_->write(offset_, piece); !written) return written;
    if (auto synced = file_->sync(); !synced) return synced;
    offset_ += piece.size();
    counts_.bytes += piece.size();
    return boost::outcome_v2::success();
}

DiskResult<void> SnapshotWriter::put_in_place() {
    if (auto renamed = folder_.rename(kNewSnapshotFile, kSnapshotFile); !renamed) return renamed;
    if (auto synced = folder_.sync(); !synced) return synced;
    file_.reset();
    encoder_.reset();
    last_bytes_ = offset_;
    last_begun_ms_ = begun_ms_;
    ++counts_.written;
    return boost::outcome_v2::success();
}

void SnapshotWriter::give_up() {
    ++counts_.given_up;
    file_.reset();
    encoder_.reset();
    // Best effort: the next one is written over it, and a start removes it.
    static_cast<void>(remove_if_there(folder_, kNewSnapshotFile));
}

SnapshotResult<Snapshot> load_snapshot(Folder& folder, std::int64_t identity, std::uint64_t most_bytes) {
    const auto there = exists(folder, kSnapshotFile);
    if (!there) return SnapshotFault::unreadable;
    if (!there.value()) return SnapshotFault::none;
    auto file = folder.open(kSnapshotFile, Folder::Open::existing);
    if (!file) return SnapshotFault::unreadable;
    const auto size = file.value()->size();
    if (!size || size.value() > most_bytes) return SnapshotFault::unreadable;
    auto bytes = file.value()->read(0, size.value());
    if (!bytes) return SnapshotFault::unreadable;
    return Snapshot::parse(std::move(bytes.value()), identity);
}

DiskResult<void> remove_snapshots(Folder& folder) {
    if (auto removed = remove_unfinished_snapshot(folder); !removed) return removed;
    return remove_if_there(folder, kSnapshotFile);
}

DiskResult<void> remove_unfinished_snapshot(Folder& folder) {
    return remove_if_there(folder, kNewSnapshotFile);
}

}  // namespace whinledge::storage_plane
