#include <algorithm>
#include <optional>
#include <utility>

#include "storage_map/staying_holders.hpp"
#include "storage_map/wanted_holders.hpp"
#include "storage_plane/shared_digest.hpp"
#include "storage_plane/storage_node.hpp"

namespace whinledge::storage_plane {
namespace {

// Calls of other members: what changed here, records and digests of them, and what they give.

using Status = wire::StorageStatus;

constexpr std::size_t kMostFetchEntries = 20'000;
constexpr std::int32_t kMostChanges = 4096;

}  // namespace

void StorageNode::take_in(const std::vector<wire::TurnRecord>& turns,
                          const std::vector<wire::ProgramLedger>& ledgers, std::function<void(bool)> done) {
    struct News {
        std::vector<wire::TurnRecord> turns;
        std::vector<std::shared_ptr<const std::string>> bodies;
        std::vector<wire::ProgramLedger> ledgers;
        std::vector<wire::ProgramLedger> lifetimes;
    };
    auto news = std::make_shared<News>();
    std::vector<std::string> payloads;
    std::uint64_t bytes = 0;
    for (const wire::TurnRecord& turn : turns) {
        if (turn.id.empty() || store_.check(turn) != TurnStore::Added::added) continue;
        wire::TurnRecord record = turn;
        if (const HeldTurn* held = store_.turn(turn.id))
            for (const std::int64_t holder : held->holders)
                if (std::find(record.holders.begin(), record.holders.end(), holder) == record.holders.end())
                    record.holders.push_back(holder);
        if (std::find(record.holders.begin(), record.holders.end(), identity_) == record.holders.end())
            record.holders.push_back(identity_);
        payloads.push_back(encode_record(record));
        bytes += payloads.back().size();
        news->bodies.push_back(std::make_shared<const std::string>(body_of(payloads.back())));
        news->turns.push_back(std::move(record));
    }
    for (const wire::ProgramLedger& ledger : ledgers) {
        wire::ProgramLedger changed;
        changed.program = ledger.program;
        changed.keep_for_s = ledger.keep_for_s;
        changed.left_ms = ledger.left_ms;
        if (ledger.__isset.continued_programs) changed.__set_continued_programs(ledger.continued_programs);
        for (const wire::LedgerEntry& entry : ledger.entries)
            if (!entry.turn.empty() && !ledger.program.empty() && store_.is_news(ledger.program, entry))
                changed.entries.push_back(entry);
        changed.touched_ms = std::min(ledger.touched_ms, options_.time_of_day_ms());
        wire::ProgramLedger lifetime = changed;
        lifetime.entries.clear();
        news->lifetimes.push_back(std::move(lifetime));
        if (changed.entries.empty()) continue;
        payloads.push_back(encode_record(changed));
        bytes += payloads.back().size();
        news->ledgers.push_back(std::move(changed));
    }
    const auto apply = [this, news](const Places& places) {
        counts_.taken_in += news->turns.size();
        std::size_t at = 0;
        for (std::size_t i = 0; i < news->turns.size(); ++i)
            store_.add_turn(news->turns[i], places[at++], news->bodies[i]);
        for (const wire::ProgramLedger& ledger : news->ledgers) {
            for (const wire::LedgerEntry& entry : ledger.entries)
                store_.add_entry(ledger.program, entry, places[at]);
            ++at;
        }
        for (const wire::ProgramLedger& lifetime : news->lifetimes) keep_as_told(lifetime);
        // Its sender did not say how long it has left.
        for (const wire::TurnRecord& turn : news->turns)
            if (store_.program(program_name(turn))->goes_ms == 0)
                keep(program_name(turn), kept_ms(turn.keep_for_s), turn.keep_for_s);
    };
    if (payloads.empty()) {
        apply({});
        return done(true);
    }
    if (!has_room(bytes, Purpose::repair)) return done(false);
    write(payloads, apply, std::move(done));
}

void StorageNode::keep_as_told(const wire::ProgramLedger& lifetime) {
    const std::int64_t left_ms = std::clamp<std::int64_t>(lifetime.left_ms, 0, kept_ms(kMostKeepForS));
    store_.add_continued(lifetime.program, lifetime.continued_programs);
    if (store_.program(lifetime.program)) keep(lifetime.program, left_ms, lifetime.keep_for_s);
    for (const std::string& continued : lifetime.continued_programs)
        if (store_.program(continued)) keep(continued, left_ms, lifetime.keep_for_s);
}

bool StorageNode::lacks(const wire::TurnHead& head, const Others& others) const {
    if (holds(head.id)) return false;
    std::vector<std::int64_t> holders;
    for (std::size_t i = 0; i < head.holders.size(); ++i) {
        const bool unconfirmed = i < kHolderBits && (head.unconfirmed >> i & 1) != 0;
        if (!unconfirmed || others.doubted.count(head.holders[i]) == 0) holders.push_back(head.holders[i]);
    }
    const auto wanted = storage_map::wanted_holders(head.id, holders, map_, options_.survive, others.unable);
    return std::find(wanted.begin(), wanted.end(), identity_) != wanted.end();
}

// Whether a member that was told of all turns under this map has to hear of this one. Where just enough of
// its holders stay, nobody else should hold it. That is told to everybody all the same where the holders were
// others before: by those a member may have worked out that it should hold a copy, and it would go on to
// expect one of those that should not. So is a turn of a program that continues others': who holds these has
// to keep them as long; and, where it is asked for again, one of which a holder has not told.
bool StorageNode::concerns(const wire::ChangesRequest& request, const HeldTurn& turn,
                           const storage_map::StayingHolders& staying) const {
    const std::int64_t member = request.asker;
    if (turn.holders_changed || !store_.program(turn.program)->continued.empty()) return true;
    if (request.anew && unconfirmed_holders(turn) != 0) return true;
    if (std::find(turn.holders.begin(), turn.holders.end(), member) != turn.holders.end()) return true;
    return !staying.just_enough(turn.holders);
}

wire::TurnHead StorageNode::head_of(const std::string& id, const HeldTurn& turn,
                                    bool with_unconfirmed) const {
    wire::TurnHead head;
    head.id = id;
    head.bytes = turn.place.size;
    head.holders = turn.holders;
    if (with_unconfirmed) head.unconfirmed = unconfirmed_holders(turn);
    head.__isset.unconfirmed = head.unconfirmed != 0;
    return head;
}

// Bit i: holders[i] has not told of the turn since this process's start.
std::int64_t StorageNode::unconfirmed_holders(const HeldTurn& turn) const {
    std::int64_t unconfirmed = 0;
    for (std::size_t i = 0; i < std::min(turn.holders.size(), kHolderBits); ++i)
        if (turn.holders[i] != identity_ && !is_confirmed(turn, i)) unconfirmed |= std::int64_t{1} << i;
    return unconfirmed;
}

bool StorageNode::has_other_entries(const wire::ProgramLedger& ledger) const {
    if (!ledger.__isset.digest) return false;
    const HeldProgram* held = store_.program(ledger.program);
    return !held || static_cast<std::int64_t>(ledger_digest(*held)) != ledger.digest;
}

std::vector<wire::TurnRecord> StorageNode::records(const std::vector<std::string>& ids,
                                                   std::size_t most_bytes) {
    std::vector<wire::TurnRecord> records;
    std::size_t bytes = 0;
    for (const std::string& id : ids) {
        wire::TurnRecord record;
        if (!read_record(id, record)) continue;
        bytes += body_size(record);
        records.push_back(std::move(record));
        if (bytes >= most_bytes) break;
    }
    return records;
}

wire::ProgramLedger StorageNode::lifetime_of(const std::string& program) const {
    wire::ProgramLedger lifetime;
    lifetime.program = program;
    if (const HeldProgram* held = store_.program(program)) {
        lifetime.touched_ms = held->touched_ms;
        lifetime.keep_for_s = held->keep_for_s;
        lifetime.left_ms = std::max<std::int64_t>(held->offered_ms - options_.steady_ms(), 0);
        if (!held->continued.empty()) lifetime.__set_continued_programs(held->continued);
    }
    return lifetime;
}

void StorageNode::changes(const wire::ChangesRequest& request, Done<wire::ChangesReply> done) {
    wire::ChangesReply reply;
    reply.map_epoch = map_.epoch;
    if (request.map_epoch != map_.epoch || map_.epoch == 0) {
        reply.status = request.map_epoch < map_.epoch ? Status::stale_map : Status::unknown_map;
        return done(reply);
    }
    reply.run = run_;
    const std::uint64_t from = request.run == run_ ? static_cast<std::uint64_t>(request.cursor) : 0;
    acknowledged_[request.asker] = {request.map_epoch, from, !request.incomplete};
    if (is_full()) reply.__set_full(true);
    std::map<std::string, wire::ProgramLedger> ledgers;
    const auto ledger_of = [&](const std::string& program) -> wire::ProgramLedger& {
        const auto [ledger, added] = ledgers.try_emplace(program);
        if (added) ledger->second = lifetime_of(program);
        return ledger->second;
    };
    std::map<std::string, bool> told;  // whether the entries of a program are told to this asker
    // A joining member hears what it will keep once it votes.
    const storage_map::LedgerPlacement placement(map_, request.asker);
    const auto tells = [&](const std::string& program) {
        if (!placement.grouped() && request.everything) return true;
        const auto [known, added] = told.try_emplace(program);
        if (!added) return known->second;
        if (placement.grouped())
            known->second = placement.keeps(program, request.asker);
        else
            known->second = storage_map::stands_for(program, identity_, map_, options_.survive) ||
                            storage_map::stands_for(program, request.asker, map_, options_.survive);
        return known->second;
    };
    const storage_map::StayingHolders staying(map_, options_.survive);
    const bool own_turns = request.own_turns && request.run == run_;
    const bool by_digest = request.digests && !request.everything;
    const std::int32_t limit = std::clamp<std::int32_t>(request.limit, 1, kMostChanges);
    std::int32_t seen = 0;
    reply.cursor = static_cast<std::int64_t>(store_.last_change());
    for (auto change = store_.changes().upper_bound(from); change != store_.changes().end(); ++change) {
        if (++seen > limit) {
            reply.more = true;
            break;
        }
        reply.cursor = static_cast<std::int64_t>(change->first);
        const std::string& turn = *change->second.turn;
        if (change->second.program) {
            const std::string& program = *change->second.program;
            if (!tells(program)) continue;
            wire::ProgramLedger& ledger = ledger_of(program);
            if (ledger.left_ms <= 0 || ledger.__isset.digest) continue;
            const HeldProgram* held = store_.program(program);
            if (by_digest)
                ledger.__set_digest(static_cast<std::int64_t>(ledger_digest(*held)));
            else
                ledger.entries.push_back(held->entries.find(turn)->second.entry);
            continue;
        }
        const HeldTurn* held = store_.turn(turn);
        if (ledger_of(held->program).left_ms <= 0) continue;
        if (own_turns && !concerns(request, *held, staying)) continue;
        // Just after it was written that would be every turn's.
        const bool with_unconfirmed = !own_turns || request.anew || held->holders_changed;
        reply.turns.push_back(head_of(turn, *held, with_unconfirmed));
    }
    for (auto& [program, ledger] : ledgers)
        if (ledger.left_ms > 0) reply.ledgers.push_back(std::move(ledger));
    done(reply);
}

void StorageNode::fetch(const wire::FetchRequest& request, Done<wire::FetchReply> done) {
    wire::FetchReply reply;
    if (request.run != 0 && request.run != run_) {
        reply.status = Status::not_voting;
        return done(reply);
    }
    std::optional<std::int64_t> repairing_ms;
    if (request.__isset.repairing_ms) repairing_ms = request.repairing_ms;
    const std::size_t most_bytes = repair_pace_.reply_bytes(options_.steady_ms(), repairing_ms);
    reply.turns = records(request.ids, most_bytes);
    const bool cut = reply.turns.size() < request.ids.size();
    if (cut && most_bytes < options_.repair_pace.most_bytes) ++counts_.paced_replies;
    std::map<std::string, wire::ProgramLedger> lifetimes;
    for (const wire::TurnRecord& turn : reply.turns) {
        counts_.fetched_from_bytes += body_size(turn);
        lifetimes.try_emplace(program_name(turn), lifetime_of(program_name(turn)));
    }
    std::size_t entries = 0;
    for (const std::string& program : request.programs) {
        wire::ProgramLedger& ledger = lifetimes[program] = lifetime_of(program);
        if (ledger.left_ms <= 0) continue;  // it goes; changes do not tell of it either
        ledger.entries = store_.entries(program);
        entries += ledger.entries.size();
        if (entries >= kMostFetchEntries) break;
    }
    for (auto& [program, lifetime] : lifetimes) reply.ledgers.push_back(std::move(lifetime));
    done(reply);
}

void StorageNode::digests(const wire::DigestRequest& request, Done<wire::DigestReply> done) {
    wire::DigestReply reply;
    if (request.map_epoch != map_.epoch)
        reply.status = request.map_epoch < map_.epoch ? Status::stale_map : Status::unknown_map;
    else
        reply.digests = shared_digests(request.asker, static_cast<std::size_t>(std::max(request.ranges, 1)));
    done(reply);
}

std::vector<std::int64_t> StorageNode::shared_digests(std::int64_t other, std::size_t ranges) const {
    const DigestScope scope{identity_, other, map_, options_.survive, options_.steady_ms()};
    return digests_.of(store_, scope, ranges);
}

void StorageNode::store(const wire::StoreRequest& request, Done<wire::StoreReply> done) {
    for (const wire::TurnRecord& turn : request.turns) counts_.stored_bytes += body_size(turn);
    take_in(request.turns, request.ledgers, [done = std::move(done)](bool synced) {
        wire::StoreReply reply;
        reply.status = synced ? Status::ok : Status::full;
        done(reply);
    });
}

StorageNode::Acknowledged StorageNode::acknowledged(std::int64_t member) const {
    const auto found = acknowledged_.find(member);
    return found == acknowledged_.end() ? Acknowledged{} : found->second;
}

}  // namespace whinledge::storage_plane
