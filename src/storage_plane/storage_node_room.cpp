#include <glog/logging.h>

#include <utility>

#include "storage_plane/storage_node.hpp"

namespace whinledge::storage_plane {
namespace {

// Room on the disk and in memory: what has expired goes, and segments that are nearly empty.

// Room that turns leave to ledgers, maps and the rewriting of segments.
constexpr std::uint64_t kReserveSegments = 4;
// Room that repair leaves to the rewriting of segments: a member that pulls what full ones hold gets done.
constexpr std::uint64_t kReserveForRewriting = 2;
constexpr std::uint64_t kLeastRoomForCopies = 2;  // segments; with less a member takes none
constexpr std::size_t kRepairShare = 8;           // one part in so many of the memory is for repair alone
constexpr std::int64_t kReclaimPauseMs = 250;     // while the disk is full
constexpr std::uint64_t kRecordHeadBytes = 16;
// Of the disk's room; the rest is for what the file system needs.
constexpr double kDiskShare = 0.88;
constexpr std::uint64_t kDefaultDiskMb = 290;
// Of the memory, for the index of what is held.
constexpr double kIndexShare = 0.5;
constexpr std::size_t kCacheBytes = 32U << 20;
// A snapshot and the one that replaces it lie in the room that is left to the file system.
constexpr std::uint64_t kSnapshotShare = 32;

}  // namespace

StorageNode::Options member_options(std::uint64_t disk_mb, std::uint64_t memory_mb) {
    StorageNode::Options options;
    const std::uint64_t usable_mb = disk_mb > 0 ? disk_mb : kDefaultDiskMb;
    options.disk_bytes = static_cast<std::uint64_t>(static_cast<double>(usable_mb) * 1e6 * kDiskShare);
    options.cache_bytes = kCacheBytes;
    options.snapshots.most_bytes = options.disk_bytes / kSnapshotShare;
    if (memory_mb > 0)
        options.most_items = static_cast<std::size_t>(static_cast<double>(memory_mb) * 1e6 * kIndexShare /
                                                      static_cast<double>(kItemBytes));
    return options;
}

bool StorageNode::has_room(std::uint64_t bytes, Purpose purpose) {
    const bool repairs = purpose == Purpose::repair;
    const std::uint64_t reserve =
        (repairs ? kReserveForRewriting : kReserveSegments) * options_.segment_bytes;
    const std::size_t most_items = options_.most_items + (repairs ? options_.most_items / kRepairShare : 0);
    const auto fits = [&] { return store_.changes().size() < most_items && log_->has_room(bytes + reserve); };
    if (fits()) return true;
    const std::int64_t now = options_.steady_ms();
    if (!log_->dirty() && now >= next_reclaim_ms_) {
        next_reclaim_ms_ = now + kReclaimPauseMs;
        reclaim(true);
    }
    if (fits()) return true;
    ++counts_.refused_full;
    if (repairs) copies_refused_ms_ = now;
    return false;
}

// Little room counts as none: members do not tell it again and again, as copies fit or don't by their size.
bool StorageNode::is_full() const {
    const std::uint64_t least = (kReserveForRewriting + kLeastRoomForCopies) * options_.segment_bytes;
    return options_.steady_ms() - copies_refused_ms_ < kFullMs || !log_->has_room(least) ||
           store_.changes().size() >= options_.most_items + options_.most_items / kRepairShare;
}

void StorageNode::tick() {
    counts_.expired_programs += store_.expire(options_.steady_ms());

    scrub();
    step_snapshot();
    if (std::exchange(state_owed_, false))
        for (std::string& payload : state_payloads()) note(std::move(payload));
    const bool pressed = !log_->has_room(2 * kReserveSegments * options_.segment_bytes);
    reclaim(pressed);
}

// Segments go from the oldest end; what is still needed of one is written anew first. Under pressure of room
// more of it is worth that.
void StorageNode::reclaim(bool pressed) {
    if (pressed) counts_.expired_programs += store_.expire(options_.steady_ms());
    const std::uint64_t worth = options_.segment_bytes / 4 * (pressed ? 3 : 1);
    // Those written meanwhile are not looked at: they are live.
    for (std::size_t segments = log_->segments().size(); segments > 1 && reclaim_oldest(worth);) --segments;
}

bool StorageNode::reclaim_oldest(std::uint64_t most_live_bytes) {
    if (!writes_.empty() || log_->segments().size() < 2) return false;
    const std::uint64_t oldest = log_->segments().front().number;
    if (oldest == log_->current() || store_.live_bytes(oldest) > most_live_bytes) return false;
    const std::vector<std::string> programs = store_.ledgers_in(oldest);
    std::uint64_t live_bytes = store_.live_bytes(oldest);
    for (const std::string& name : programs) live_bytes += store_.program(name)->ledger_bytes();
    if (live_bytes > most_live_bytes) return false;
    std::vector<std::string> payloads = state_payloads();
    const std::size_t first_turn = payloads.size();
    const std::vector<std::string> turns = store_.turns_in(oldest);
    for (const std::string& id : turns) {
        wire::TurnRecord record;
        if (!read_record(id, record)) return false;
        payloads.push_back(encode_record(record));
    }
    for (const std::string& name : programs) {
        wire::ProgramLedger ledger = lifetime_of(name);
        ledger.entries = store_.entries(name);
        payloads.push_back(encode_record(ledger));
    }
    std::uint64_t bytes = 0;
    for (const std::string& payload : payloads) bytes += payload.size() + kRecordHeadBytes;
    if (!log_->has_room(bytes)) return false;
    bool moved = false;
    write(
        payloads,
        [&](const Places& places) {
            moved = true;
            std::size_t at = first_turn;
            for (const std::string& id : turns) store_.move_turn(id, places[at++]);
            for (const std::string& name : programs) store_.move_ledger(name, places[at++]);
        },
        nullptr);
    commit();
    if (!moved) return false;
    if (const auto removed = log_->remove_oldest(); !removed) {
        ++counts_.disk_failures;
        LOG(WARNING) << removed.error().message;
        return false;
    }
    return true;
}

}  // namespace whinledge::storage_plane
