// A storage member: answers calls from its log and index. Replies to what was written go out after commit(),
// which the owner calls once for all that came in during one turn of the loop. No sockets, no timers, no
// clock of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control_types.h"  // generated from idl/*.thrift
#include "failure_domain/loss_tolerance.hpp"
#include "storage_map/staying_holders.hpp"
#include "storage_plane/files.hpp"
#include "storage_plane/ledger_spread.hpp"
#include "storage_plane/log_record.hpp"
#include "storage_plane/repair_pace.hpp"
#include "storage_plane/segment_log.hpp"
#include "storage_plane/shared_digest.hpp"
#include "storage_plane/shared_loads.hpp"
#include "storage_plane/snapshot_writer.hpp"
#include "storage_plane/turn_store.hpp"
#include "storage_types.h"

namespace whinledge::storage_plane {

// A member that has refused a copy for want of room is taken to be full for so long.
inline constexpr std::int64_t kFullMs = 5000;

class StorageNode {
public:
    struct Options {
        failure_domain::LossTolerance survive{};
        std::uint64_t disk_bytes = 255'000'000;
        std::uint64_t segment_bytes = 4U << 20;
        std::size_t cache_bytes = 32U << 20;
        std::size_t most_items = 250'000;   // turns and ledger entries in memory, kItemBytes each
        SnapshotWriter::Options snapshots;  // of the index, beside the log
        RepairPace::Options repair_pace;    // of replies to other members
        // A fault for the tests' checkers to find: callers with older maps are served.
        bool planted_serves_stale_maps = false;
        bool planted_answers_unsynced = false;         // another: answers go out before the sync
        LedgerSpread::Planted planted_ledgers;         // others
        std::function<std::int64_t()> steady_ms;       // never goes back
        std::function<std::int64_t()> time_of_day_ms;  // may be stepped
        std::function<std::int64_t()> draw;            // random, not 0
        std::function<void()> commit_soon;  // asks the owner to call commit() when the loop has run dry
    };
    template <class Reply>
    using Done = std::function<void(const Reply&)>;

    // Reads what the folder holds; a folder that is empty, or has lost something that was committed, gets a
    // new identity, which is synced before this returns.
    static DiskResult<std::unique_ptr<StorageNode>> open(Folder& folder, Options options);

    std::uint64_t disk_bytes() const { return log_->bytes(); }
    std::int64_t identity() const { return identity_; }
    const SegmentLog::Replay& replayed() const { return replay_; }
    // How it came by its index: from a snapshot and the log behind it, or from the whole log.
    struct Started {
        bool by_snapshot = false;
        SnapshotFault fault = SnapshotFault::none;  // why not
        std::int64_t ms = 0;
    };
    const Started& started() const { return started_; }
    // A start by a snapshot has not read what turned out to be damaged: the snapshot is removed, and this
    // object has to be opened anew, from the whole log. Until then it does not vote.
    bool must_restart() const { return must_restart_; }

    // Newer maps replace older ones.
    void set_map(const wire::StorageMap& map);
    const wire::StorageMap& map() const { return map_; }
    const wire::StorageMember* self() const;
    // Whether it may say that something does not exist: a member whose disk holds all that it should.
    bool voting() const;
    bool filled() const { return filled_; }
    void mark_filled();
    // The other members of the present map have been followed to their end, all but ledgers_may_miss() of
    // them.
    void mark_followed();
    std::size_t ledgers_may_miss() const { return filled_ ? ledger_spread_.may_miss(options_.survive) : 0; }
    // Whether it may vote on the ledger of a program.
    bool votes_on(const std::string& program) const {
        return voting() && ledger_spread_.may_vote(program, identity_);
    }
    bool ledgers_grouped() const { return ledger_spread_.grouped(); }
    // Ledgers of some programs wait until the other members have been followed.
    bool ledgers_wait() const { return ledger_spread_.some_wait(); }

    void begin(const wire::BeginTurnRequest& request, Done<wire::BeginTurnReply> done);
    void end(const wire::EndTurnRequest& request, Done<wire::EndTurnReply> done);
    void read(const wire::ReadTurnsRequest& request, Done<wire::ReadTurnsReply> done);
    void changes(const wire::ChangesRequest& request, Done<wire::ChangesReply> done);
    void fetch(const wire::FetchRequest& request, Done<wire::FetchReply> done);
    void digests(const wire::DigestRequest& request, Done<wire::DigestReply> done);
    void store(const wire::StoreRequest& request, Done<wire::StoreReply> done);

    // Writes what is news of these; `done(true)` once all is synced.
    void take_in(const std::vector<wire::TurnRecord>& turns, const std::vector<wire::ProgramLedger>& ledgers,
                 std::function<void(bool)> done);
    bool holds(const std::string& id) const { return store_.turn(id) != nullptr; }
    // What others can do at present. Members that take no copies come last where one is to be chosen; those
    // that are doubted hold a turn only where its teller has heard so from them.
    struct Others {
        std::set<std::int64_t> unable, doubted;
        bool operator==(const Others&) const = default;
    };
    // Whether this member should hold the turn, and does not.
    bool lacks(const wire::TurnHead& head, const Others& others) const;
    // It takes no copies from other members for want of room, at present.
    bool is_full() const;
    // Whether another member's entries of a program, told by their digest, differ from those held here.
    bool has_other_entries(const wire::ProgramLedger& ledger) const;
    // Others may know of more holders of a turn that is held here.
    void merge_holders(const wire::TurnHead& head) { store_.merge_holders(head.id, head.holders); }
    // A member has told of the turn: it holds it.
    void confirm_holder(const std::string& id, std::int64_t member) { store_.confirm_holder(id, member); }
    std::vector<wire::TurnRecord> records(const std::vector<std::string>& ids, std::size_t most_bytes);
    wire::ProgramLedger lifetime_of(const std::string& program) const;
    // Of what this member and the other both should hold, by range.
    std::vector<std::int64_t> shared_digests(std::int64_t other, std::size_t ranges) const;
    const TurnStore& index() const { return store_; }

    // What another member has acknowledged to have synced of this one's changes, under which map.
    struct Acknowledged {
        std::int64_t map_epoch = 0;
        std::uint64_t cursor = 0;
        bool complete = true;  // nothing up to there was left out for want of room
    };
    Acknowledged acknowledged(std::int64_t member) const;

    bool needs_commit() const { return !writes_.empty() || log_->dirty(); }
    void commit();
    // Lets go of what has expired and of segments that are nearly empty; about once a second.
    void tick();

    struct Counters {
        std::uint64_t begun = 0, ended = 0, read = 0, commits = 0, refused_full = 0, stale_maps = 0,
                      taken_in = 0, disk_failures = 0, conflicts = 0;
        // Bytes of turns, of what other members asked for and of what they pushed.
        std::uint64_t fetched_from_bytes = 0, stored_bytes = 0;
        std::uint64_t paced_replies = 0;       // to other members, kept short beside turns
        std::uint64_t unreadable_records = 0;  // of the log, left out at the start: another version's
        std::uint64_t expired_programs = 0;    // let go with their turns, their time being over
    };
    const Counters& counts() const { return counts_; }
    std::string counters() const;

private:
    using Places = std::vector<Place>;
    struct Write {
        Places places;
        std::function<void(const Places&)> apply;
        std::function<void(bool synced)> answer;
    };

    StorageNode(Folder& folder, Options options);
    DiskResult<void> load();
    DiskResult<void> load_index();
    bool restore(const Snapshot& snapshot, std::uint64_t first_segment);
    void forget_index();
    void step_snapshot();
    void scrub();
    void found_damage(const std::string& what);
    std::string snapshot_counters() const;
    void replay(const Place& place, std::string_view payload);
    void replay_record(const Place& place, const wire::TurnRecord& record);
    void replay_record(const Place& place, const wire::ProgramLedger& ledger);
    void replay_record(const Place& place, const wire::StorageMap& map);
    void replay_record(const Place& place, FilledMark mark);

    bool concerns(const wire::ChangesRequest& request, const HeldTurn& turn,
                  const storage_map::StayingHolders& staying) const;
    std::int64_t unconfirmed_holders(const HeldTurn& turn) const;
    void keep_as_told(const wire::ProgramLedger& lifetime);
    wire::TurnHead head_of(const std::string& id, const HeldTurn& turn, bool with_unconfirmed) const;

    bool is_stale(std::int64_t map_epoch) const;
    template <class Reply>
    void refuse_as_stale(Reply& reply);
    void tell_loads(const wire::BeginTurnRequest& request, wire::BeginTurnReply& reply);
    wire::StorageStatus::type admit(std::int64_t map_epoch, std::int64_t identity);
    std::int64_t epoch() const;
    void note_filled(bool filled);
    enum class Purpose {
        client,  // a new turn or reservation
        repair,  // what other members hold already, and the end of a turn: may use room that is kept from
                 // clients
    };
    bool has_room(std::uint64_t bytes, Purpose purpose);
    void write(const std::vector<std::string>& payloads, std::function<void(const Places&)> apply,
               std::function<void(bool)> answer);
    std::vector<std::string> state_payloads() const;
    void note(std::string payload);  // written with the next commit; nobody waits for it
    void keep(const std::string& program, std::int64_t left_ms, std::int32_t keep_for_s);
    bool read_chain(const std::string& id, std::vector<wire::TurnRecord>& chain);
    bool read_record(const std::string& id, wire::TurnRecord& record);
    bool reclaim_oldest(std::uint64_t most_live_bytes);
    void reclaim(bool pressed);

    Folder& folder_;
    Options options_;
    TurnStore store_;
    std::unique_ptr<SegmentLog> log_;
    SegmentLog::Replay replay_;
    std::int64_t identity_ = 0;
    std::int64_t run_ = 0;
    wire::StorageMap map_;
    std::int64_t promised_epoch_ = 0;  // callers with older maps are refused
    std::int64_t filled_identity_ = 0;
    bool filled_ = false;
    bool filled_noted_ = false;  // on disk: after a restart it may vote on all ledgers that it keeps
    std::int64_t next_reclaim_ms_ = 0;
    std::int64_t copies_refused_ms_;  // steady: of the last refusal for want of room

    LedgerSpread ledger_spread_;
    mutable SharedDigests digests_;  // what it remembers changes no result
    bool state_owed_ = false;        // a commit failed: what it knows of itself has to be written again
    std::vector<Write> writes_;
    std::map<std::int64_t, Acknowledged> acknowledged_;
    Counters counts_;
    SnapshotWriter snapshots_;
    RepairPace repair_pace_;
    SharedLoads loads_;
    Started started_;
    bool must_restart_ = false;
};

// Bounds by what the machine allows (MB; 0: not said).
StorageNode::Options member_options(std::uint64_t disk_mb, std::uint64_t memory_mb);

}  // namespace whinledge::storage_plane
