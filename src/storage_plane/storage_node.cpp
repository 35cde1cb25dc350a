#include "storage_plane/storage_node.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "storage_map/wanted_holders.hpp"
#include "storage_plane/disk_identity.hpp"

namespace whinledge::storage_plane {
namespace {

using Status = wire::StorageStatus;

std::string field(const char* name, std::uint64_t value) {
    return std::string(" ") + name + "=" + std::to_string(value);
}

}  // namespace

StorageNode::StorageNode(Folder& folder, Options options)
    : folder_(folder),
      options_(std::move(options)),
      store_({options_.cache_bytes}),
      snapshots_(folder, options_.snapshots),
      repair_pace_(options_.repair_pace) {
    ledger_spread_.planted = options_.planted_ledgers;
    run_ = options_.draw();
    copies_refused_ms_ = options_.steady_ms() - kFullMs;
}

DiskResult<std::unique_ptr<StorageNode>> StorageNode::open(Folder& folder, Options options) {
    std::unique_ptr<StorageNode> node(new StorageNode(folder, std::move(options)));
    if (auto loaded = node->load(); !loaded) return loaded.error();
    return node;
}

DiskResult<void> StorageNode::load() {
    auto identity = load_identity(folder_);
    if (!identity) return identity.error();
    identity_ = identity.value();
    if (auto index = load_index(); !index) return index;
    store_.keep_after_restart(options_.steady_ms(), options_.time_of_day_ms());
    if (replay_.damaged) LOG(ERROR) << "committed records can't be read: this disk is taken for a new one";
    if (identity_ == 0 || replay_.damaged) {
        identity_ = options_.draw();
        if (auto saved = save_identity(folder_, identity_); !saved) return saved;
    }
    filled_ = filled_noted_ = filled_identity_ == identity_;
    if (map_.epoch != 0) ledger_spread_.restart(map_);
    return boost::outcome_v2::success();
}

void StorageNode::replay(const Place& place, std::string_view payload) {
    const std::optional<LogRecord> record = decode_record(payload);
    if (!record) {
        ++counts_.unreadable_records;
        return;
    }
    std::visit([&](const auto& typed) { replay_record(place, typed); }, *record);
}

void StorageNode::replay_record(const Place& place, const wire::TurnRecord& record) {
    store_.add_turn(record, place, nullptr);
    store_.keep(program_name(record), 0, 0, record.keep_for_s, record.ended_ms);
}

void StorageNode::replay_record(const Place& place, const wire::ProgramLedger& ledger) {
    for (const wire::LedgerEntry& entry : ledger.entries) store_.add_entry(ledger.program, entry, place);
    store_.keep(ledger.program, 0, 0, ledger.keep_for_s, ledger.touched_ms);
    if (ledger.__isset.continued_programs) store_.add_continued(ledger.program, ledger.continued_programs);
}

void StorageNode::replay_record(const Place&, const wire::StorageMap& map) {
    promised_epoch_ = std::max(promised_epoch_, map.epoch);
    if (!map.members.empty() && map.epoch > map_.epoch) map_ = map;
}

void StorageNode::replay_record(const Place&, FilledMark mark) { filled_identity_ = mark.identity; }

// ---- The map

std::int64_t StorageNode::epoch() const { return std::max(map_.epoch, promised_epoch_); }

void StorageNode::set_map(const wire::StorageMap& map) {
    if (map.epoch <= map_.epoch) return;
    const bool followed_on = ledger_spread_.follow(map_, map);
    map_ = map;
    promised_epoch_ = std::max(promised_epoch_, map.epoch);
    const wire::StorageMember* member = self();
    const bool belongs = member && member->state != wire::StorageState::joining;
    // What was written while it did not belong was written without it; and of what the members before had
    // decided, a majority of these may not have heard.
    if (!belongs || !followed_on) filled_ = false;
    // Before the map, so that no torn tail has the map alone.
    if (!filled_ || ledger_spread_.some_wait()) note_filled(false);
    note(encode_record(map_));
    // Before the first map nothing was ever written.
    if (belongs && map.epoch == 1) mark_filled();
}

const wire::StorageMember* StorageNode::self() const { return storage_map::find_member(map_, identity_); }

bool StorageNode::voting() const {
    const wire::StorageMember* member = self();
    return filled_ && !must_restart_ && member && member->state != wire::StorageState::joining;
}

void StorageNode::mark_filled() {
    if (filled_) return;
    filled_ = true;
    note_filled(!ledger_spread_.some_wait());
}

void StorageNode::note_filled(bool filled) {
    if (filled == filled_noted_) return;
    filled_noted_ = filled;
    note(encode_record(FilledMark{filled ? identity_ : 0}));
}

void StorageNode::mark_followed() {
    if (ledger_spread_.settled()) return;
    ledger_spread_.reset(map_);
    if (filled_) note_filled(true);
}

bool StorageNode::is_stale(std::int64_t map_epoch) const {
    return map_epoch < epoch() && !options_.planted_serves_stale_maps;
}

// What a caller with this map may have from this member: `ok`, `not_voting` (what it asks for is done, but it
// must not conclude that something does not exist), or a refusal. A caller with a newer map names this member
// by it, so it is served, and from then on nobody with an older one is; but whether this member may vote by
// that map it learns from the map itself.
wire::StorageStatus::type StorageNode::admit(std::int64_t map_epoch, std::int64_t identity) {
    if (identity != identity_) return Status::not_member;
    if (map_.epoch == 0) return Status::unknown_map;
    if (is_stale(map_epoch)) {
        ++counts_.stale_maps;
        return Status::stale_map;
    }
    if (map_epoch > epoch()) {
        promised_epoch_ = map_epoch;
        note(encode_promise(map_epoch));
    }
    return voting() && map_epoch <= map_.epoch ? Status::ok : Status::not_voting;
}

// ---- Writing

void StorageNode::write(const std::vector<std::string>& payloads, std::function<void(const Places&)> apply,
                        std::function<void(bool)> answer) {
    Write write;
    for (const std::string& payload : payloads) write.places.push_back(log_->append(payload));
    write.apply = std::move(apply);
    if (options_.planted_answers_unsynced && answer) {
        write.apply(write.places);
        write.apply = nullptr;
        std::exchange(answer, nullptr)(true);
    }
    write.answer = std::move(answer);
    writes_.push_back(std::move(write));
    options_.commit_soon();
}

void StorageNode::note(std::string payload) {
    log_->append(payload);
    options_.commit_soon();
}

// What this member knows of itself: the map, the newest epoch that it has served, and whether it is filled.
std::vector<std::string> StorageNode::state_payloads() const {
    return {encode_record(map_), encode_promise(promised_epoch_),
            encode_record(FilledMark{filled_noted_ ? identity_ : 0})};
}

void StorageNode::commit() {
    if (!needs_commit()) return;
    std::vector<Write> writes;
    writes.swap(writes_);
    const auto committed = log_->commit();
    ++counts_.commits;
    if (!committed) {
        ++counts_.disk_failures;
        state_owed_ = true;
        if (snapshots_.is_writing()) snapshots_.give_up();  // its room may be what was missing
        LOG(WARNING) << committed.error().message << "; " << writes.size() << " writes are refused";
    } else {
        for (const Write& write : writes)
            if (write.apply) write.apply(write.places);
    }
    for (const Write& write : writes)
        if (write.answer) write.answer(bool(committed));
}

void StorageNode::keep(const std::string& program, std::int64_t left_ms, std::int32_t keep_for_s) {
    store_.keep(program, options_.steady_ms(), left_ms,
                std::clamp<std::int32_t>(keep_for_s, 0, kMostKeepForS), options_.time_of_day_ms());
}

std::string StorageNode::snapshot_counters() const {
    if (!options_.snapshots.on) return {};
    const SnapshotWriter::Counters& counts = snapshots_.counts();
    const std::int64_t begun_ms = snapshots_.last_begun_ms();
    return field("snapshots", counts.written) + field("snapshots_given_up", counts.given_up) +
           field("snapshot_bytes", snapshots_.last_bytes()) + field("snapshot_bytes_written", counts.bytes) +
           field("snapshot_age_s",
                 begun_ms == 0 ? 0 : static_cast<std::uint64_t>(options_.steady_ms() - begun_ms) / 1000) +
           field("unchecked_bytes", log_->unchecked_bytes());
}

std::string StorageNode::counters() const {
    return std::string("epoch=").append(std::to_string(map_.epoch)) + " voting=" + (voting() ? "1" : "0") +
           field("turns", store_.turns().size()) + field("programs", store_.programs().size()) +
           field("disk_bytes", log_->bytes()) + field("cache_bytes", store_.cached_bytes()) +
           field("begun", counts_.begun) + field("ended", counts_.ended) + field("read", counts_.read) +
           field("commits", counts_.commits) + field("taken_in", counts_.taken_in) +
           field("refused_full", counts_.refused_full) + field("stale_maps", counts_.stale_maps) +
           field("conflicts", counts_.conflicts) + field("disk_failures", counts_.disk_failures) +
           field("unreadable_records", counts_.unreadable_records) + field("full", is_full() ? 1 : 0) +
           field("expired_programs", counts_.expired_programs) + field("by_snapshot", started_.by_snapshot) +
           field("start_ms", static_cast<std::uint64_t>(started_.ms)) + snapshot_counters();
}

}  // namespace whinledge::storage_plane
