#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "rpc/codec.hpp"
#include "storage_plane/ended_entries.hpp"
#include "storage_plane/storage_node.hpp"

namespace whinledge::storage_plane {
namespace {

// Calls of the data plane: turns begun and ended, chains read.

using Status = wire::StorageStatus;

constexpr std::size_t kMostChainBytes = 8U << 20;

bool refused(wire::StorageStatus::type status) {
    return status != Status::ok && status != Status::not_voting;
}

}  // namespace

// The map has changed between a write and its answer: others may have copied what is here, for the new map,
// without it. It stays written, and counts for nothing that was decided by the old map.
template <class Reply>
void StorageNode::refuse_as_stale(Reply& reply) {
    ++counts_.stale_maps;
    reply.status = Status::stale_map;
    reply.map_epoch = epoch();
}

void StorageNode::begin(const wire::BeginTurnRequest& request, Done<wire::BeginTurnReply> done) {
    ++counts_.begun;
    repair_pace_.note_turn(options_.steady_ms());
    if (request.__isset.load) loads_.told(request.load, static_cast<double>(options_.steady_ms()));
    wire::BeginTurnReply reply;
    Status::type admitted = admit(request.map_epoch, request.identity);
    if (admitted == Status::ok && request.reserve > 0 && !votes_on(request.program))
        admitted = Status::not_voting;
    reply.status = admitted;
    reply.map_epoch = epoch();
    if (refused(admitted)) return done(reply);
    if (!request.previous.empty() && !read_chain(request.previous, reply.chain))
        reply.status = Status::not_voting;
    if (store_.program(request.program))
        keep(request.program, kept_ms(request.keep_for_s), request.keep_for_s);

    wire::LedgerEntry entry;
    entry.turn = request.turn;
    entry.tokens = request.reserve;
    if (request.reserve <= 0 || request.program.empty() || !store_.is_news(request.program, entry)) {
        tell_entries(request, store_.entries(request.program), reply);
        tell_loads(request, reply);
        return done(reply);
    }
    wire::ProgramLedger ledger;
    ledger.program = request.program;
    ledger.entries.push_back(entry);
    ledger.touched_ms = options_.time_of_day_ms();
    ledger.keep_for_s = request.keep_for_s;
    if (!has_room(0, Purpose::client)) {
        reply.status = Status::full;
        return done(reply);
    }
    const std::int64_t asked_epoch = request.map_epoch;
    write(
        {encode_record(ledger)},
        [this, ledger](const Places& places) {
            store_.add_entry(ledger.program, ledger.entries.front(), places.front());
            keep(ledger.program, kept_ms(ledger.keep_for_s), ledger.keep_for_s);
        },
        [this, asked_epoch, reply = std::move(reply), request, done = std::move(done)](bool synced) mutable {
            if (!synced) reply.status = Status::full;
            if (is_stale(asked_epoch)) refuse_as_stale(reply);
            if (synced) tell_entries(request, store_.entries(request.program), reply);
            tell_loads(request, reply);
            done(reply);
        });
}

// As of the answer, which waits for the disk.
void StorageNode::tell_loads(const wire::BeginTurnRequest& request, wire::BeginTurnReply& reply) {
    if (!request.__isset.load) return;
    const auto now = static_cast<double>(options_.steady_ms());
    reply.__set_other_requests(loads_.others(request.load, now));
    reply.load_age_ms = static_cast<std::int32_t>(loads_.mean_age_ms(now));
}

void StorageNode::end(const wire::EndTurnRequest& request, Done<wire::EndTurnReply> done) {
    ++counts_.ended;
    if (request.__isset.load) loads_.told(request.load, static_cast<double>(options_.steady_ms()));
    repair_pace_.note_turn(options_.steady_ms());
    wire::EndTurnReply reply;
    Status::type admitted = admit(request.map_epoch, request.identity);
    // A copy is one whatever its holder knows of others.
    if (admitted == Status::not_voting && voting()) admitted = Status::ok;
    reply.status = admitted;
    reply.map_epoch = epoch();
    if (refused(admitted)) return done(reply);
    std::vector<wire::TurnRecord> turns;
    if (request.__isset.record) turns.push_back(request.record);
    std::vector<wire::ProgramLedger> ledgers;
    const auto touch = [&](const std::string& program, std::int32_t keep_for_s) {
        wire::ProgramLedger& ledger = ledgers.emplace_back();
        ledger.program = program;
        ledger.touched_ms = options_.time_of_day_ms();
        ledger.keep_for_s = keep_for_s;
        ledger.left_ms = kept_ms(keep_for_s);
    };
    if (!request.entry.turn.empty()) {
        touch(request.program, request.keep_for_s);
        ledgers.back().entries.push_back(request.entry);
    }
    if (request.__isset.record) {
        touch(program_name(request.record), request.record.keep_for_s);
        if (store_.check(request.record) == TurnStore::Added::conflict) {
            ++counts_.conflicts;
            reply.status = Status::conflict;
            return done(reply);
        }
        if (!has_room(body_size(request.record), Purpose::client)) {
            reply.status = Status::full;
            return done(reply);
        }
        // Kept with its chain, also where no program ties them together.
        for (const std::string& id : store_.chain(request.record.parent))
            keep(store_.turn(id)->program, kept_ms(request.record.keep_for_s), request.record.keep_for_s);
    }
    take_in(turns, ledgers,
            [this, asked_epoch = request.map_epoch, reply, done = std::move(done)](bool synced) mutable {
                if (!synced) reply.status = Status::full;
                if (is_stale(asked_epoch)) refuse_as_stale(reply);
                done(reply);
            });
}

void StorageNode::read(const wire::ReadTurnsRequest& request, Done<wire::ReadTurnsReply> done) {
    ++counts_.read;
    repair_pace_.note_turn(options_.steady_ms());
    wire::ReadTurnsReply reply;
    const Status::type admitted = admit(request.map_epoch, request.identity);
    reply.status = admitted;
    reply.map_epoch = epoch();
    if (!refused(admitted) && !read_chain(request.id, reply.chain)) reply.status = Status::not_voting;
    done(reply);
}

// Newest first. False: something that is held could not be read, so nothing may be said of what is not there.
bool StorageNode::read_chain(const std::string& id, std::vector<wire::TurnRecord>& chain) {
    std::size_t bytes = 0;
    for (const std::string& turn : store_.chain(id)) {
        wire::TurnRecord record;
        if (!read_record(turn, record)) return false;
        bytes += body_size(record);
        chain.push_back(std::move(record));
        if (bytes > kMostChainBytes) return false;
    }
    return true;
}

bool StorageNode::read_record(const std::string& id, wire::TurnRecord& record) {
    const HeldTurn* held = store_.turn(id);
    if (!held) return false;
    std::shared_ptr<const std::string> body = held->body;
    if (!body) {
        auto payload = log_->read(held->place);
        if (!payload) {
            ++counts_.disk_failures;
            LOG(WARNING) << payload.error().message;
            if (log_->is_unchecked(held->place.segment)) found_damage(payload.error().message);
            return false;
        }
        body = std::make_shared<const std::string>(body_of(payload.value()));
    }
    auto decoded = rpc::decode_body<wire::TurnRecord>(*body);
    if (!decoded) return false;
    record = std::move(decoded.value());
    record.holders = held->holders;
    return true;
}

}  // namespace whinledge::storage_plane
