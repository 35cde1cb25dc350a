#include "storage_plane/turn_store.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace whinledge::storage_plane {
namespace {

std::uint64_t hash_of(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

bool adds_holders(const std::vector<std::int64_t>& to, const std::vector<std::int64_t>& holders) {
    return std::any_of(holders.begin(), holders.end(), [&](std::int64_t holder) {
        return std::find(to.begin(), to.end(), holder) == to.end();
    });
}

template <class T>
void add_missing(std::vector<T>& to, const std::vector<T>& values) {
    for (const T& value : values)
        if (std::find(to.begin(), to.end(), value) == to.end()) to.push_back(value);
}

}  // namespace

std::int64_t kept_ms(std::int32_t keep_for_s) {
    return std::int64_t{std::clamp<std::int32_t>(keep_for_s, 0, kMostKeepForS)} * 1000 + kKeepMarginMs;
}

bool is_confirmed(const HeldTurn& turn, std::size_t holder) {
    return holder < kHolderBits && (turn.confirmed >> holder & 1U) != 0;
}

std::size_t body_size(const wire::TurnRecord& record) { return record.input.size() + record.output.size(); }

std::uint64_t digest_of(const wire::TurnRecord& record) {
    std::uint64_t digest = XXH64(record.input.data(), record.input.size(), 0);
    digest = XXH64(record.output.data(), record.output.size(), digest);
    digest = XXH64(record.parent.data(), record.parent.size(), digest);
    return XXH64(record.program.data(), record.program.size(), digest);
}

std::size_t range_of(std::uint64_t hash, std::size_t ranges) {
    return static_cast<std::size_t>(((hash >> 32) * ranges) >> 32);
}

TurnStore::Added TurnStore::check(const wire::TurnRecord& record) const {
    const auto held = turns_.find(record.id);
    if (held == turns_.end()) return Added::added;
    if (held->second.digest != digest_of(record)) return Added::conflict;
    return adds_holders(held->second.holders, record.holders) ? Added::added : Added::known;
}

void TurnStore::add_turn(const wire::TurnRecord& record, Place place,
                         std::shared_ptr<const std::string> body) {
    auto& [id, turn] = *turns_.try_emplace(record.id).first;
    const bool known = turn.change != 0;
    const std::uint64_t digest = digest_of(record);
    if (known && turn.digest != digest) return;  // written once
    if (known) {
        uncount(turn.place);
    } else {
        turn.parent = record.parent;
        turn.program = program_name(record);
        turn.digest = digest;
        turn.id_hash = hash_of(record.id);
    }
    HeldProgram& program = program_of(turn.program).second;
    if (!known) program.turns.push_back(record.id);
    program.digest_summary.reset();
    turn.holders_changed |= known && adds_holders(turn.holders, record.holders);
    add_missing(turn.holders, record.holders);
    if (record.__isset.continued_programs) add_missing(program.continued, record.continued_programs);
    turn.place = place;
    live_bytes_[place.segment] += place.size;
    turn.change = changed(turn.change, {&id, nullptr});
    last_turn_change_ = turn.change;
    if (body) cache(turn, record.id, std::move(body));
}

void TurnStore::merge_holders(const std::string& id, const std::vector<std::int64_t>& holders) {
    const auto held = turns_.find(id);
    if (held == turns_.end() || !adds_holders(held->second.holders, holders)) return;
    add_missing(held->second.holders, holders);
    held->second.holders_changed = true;
    program_of(held->second.program).second.digest_summary.reset();
    held->second.change = changed(held->second.change, {&held->first, nullptr});
    last_turn_change_ = held->second.change;
}

void TurnStore::confirm_holder(const std::string& id, std::int64_t holder) {
    const auto held = turns_.find(id);
    if (held == turns_.end()) return;
    const std::vector<std::int64_t>& holders = held->second.holders;
    if (std::find(holders.begin(), holders.end(), holder) == holders.end()) merge_holders(id, {holder});
    const auto place =
        static_cast<std::size_t>(std::find(holders.begin(), holders.end(), holder) - holders.begin());
    if (place < kHolderBits) held->second.confirmed |= std::uint64_t{1} << place;
}

void TurnStore::add_continued(const std::string& program, const std::vector<std::string>& continued) {
    const auto held = programs_.find(program);
    if (held != programs_.end()) add_missing(held->second.continued, continued);
}

bool TurnStore::is_news(const std::string& program, const wire::LedgerEntry& entry) const {
    const auto held = programs_.find(program);
    if (held == programs_.end()) return true;
    const auto known = held->second.entries.find(entry.turn);
    if (known == held->second.entries.end()) return true;
    wire::LedgerEntry merged = known->second.entry;
    return merge_entry(merged, entry);
}

void TurnStore::add_entry(const std::string& program, const wire::LedgerEntry& entry, Place place) {
    auto& [name, held] = program_of(program);
    if (held.oldest_segment == 0 || place.segment < held.oldest_segment) held.oldest_segment = place.segment;
    const auto [known, added] = held.entries.try_emplace(entry.turn);
    if (added)
        known->second.entry = entry;
    else if (!merge_entry(known->second.entry, entry))
        return;
    held.digest_summary.reset();
    known->second.change = changed(known->second.change, {&known->first, &name});
}

void TurnStore::keep(const std::string& program, std::int64_t now_ms, std::int64_t left_ms,
                     std::int32_t keep_for_s, std::int64_t touched_ms) {
    HeldProgram& held = program_of(program).second;
    keep_one(held, now_ms, left_ms, keep_for_s, touched_ms);
    for (const std::string& name : held.continued)
        if (const auto continued = programs_.find(name); continued != programs_.end())
            keep_one(continued->second, now_ms, left_ms, keep_for_s, touched_ms);
}

void TurnStore::keep_one(HeldProgram& held, std::int64_t now_ms, std::int64_t left_ms,
                         std::int32_t keep_for_s, std::int64_t touched_ms) {
    const bool was_told = held.offered_ms == 0 || held.offered_ms > now_ms;
    held.goes_ms = std::max(held.goes_ms, now_ms + left_ms);
    held.offered_ms = std::max(held.offered_ms, now_ms + left_ms);
    held.keep_for_s = std::max(held.keep_for_s, keep_for_s);
    held.touched_ms = std::max(held.touched_ms, touched_ms);
    if (!was_told && held.offered_ms > now_ms) retell(held);
}

// Others have passed it over.
void TurnStore::retell(HeldProgram& program) {
    for (const std::string& id : program.turns) {
        HeldTurn& turn = turns_.find(id)->second;
        turn.change = changed(turn.change, changes_.find(turn.change)->second);
        last_turn_change_ = turn.change;
    }
    for (auto& [id, entry] : program.entries)
        entry.change = changed(entry.change, changes_.find(entry.change)->second);
}

void TurnStore::keep_after_restart(std::int64_t now_ms, std::int64_t time_of_day_ms) {
    for (const auto& [name, program] : programs_)
        for (const std::string& continued : program.continued) {
            const auto held = programs_.find(continued);
            if (held == programs_.end()) continue;
            held->second.touched_ms = std::max(held->second.touched_ms, program.touched_ms);
            held->second.keep_for_s = std::max(held->second.keep_for_s, program.keep_for_s);
        }
    for (auto& [name, program] : programs_) {
        const std::int64_t whole = std::int64_t{program.keep_for_s} * 1000 + kKeepMarginMs;
        const std::int64_t left = program.touched_ms + whole - time_of_day_ms;
        program.goes_ms = now_ms + whole;
        program.offered_ms = now_ms + std::clamp<std::int64_t>(left, 0, whole);
    }
}

std::size_t TurnStore::expire(std::int64_t now_ms) {
    std::size_t expired = 0;
    for (auto program = programs_.begin(); program != programs_.end();) {
        if (program->second.goes_ms > now_ms) {
            ++program;
            continue;
        }
        for (const std::string& id : program->second.turns) drop_turn(id);
        for (const auto& [turn, entry] : program->second.entries) changes_.erase(entry.change);
        program = programs_.erase(program);
        ++expired;
    }
    return expired;
}

void TurnStore::drop_turn(const std::string& id) {
    const auto turn = turns_.find(id);
    if (turn == turns_.end()) return;
    changes_.erase(turn->second.change);
    uncount(turn->second.place);
    if (turn->second.body) cached_bytes_ -= turn->second.body->size();
    turns_.erase(turn);
}

const HeldTurn* TurnStore::turn(const std::string& id) const {
    const auto held = turns_.find(id);
    return held == turns_.end() ? nullptr : &held->second;
}

const HeldProgram* TurnStore::program(const std::string& name) const {
    const auto held = programs_.find(name);
    return held == programs_.end() ? nullptr : &held->second;
}

std::vector<wire::LedgerEntry> TurnStore::entries(const std::string& program) const {
    std::vector<wire::LedgerEntry> entries;
    if (const HeldProgram* held = this->program(program)) {
        entries.reserve(held->entries.size());
        for (const auto& [turn, entry] : held->entries) entries.push_back(entry.entry);
    }
    return entries;
}

std::vector<std::string> TurnStore::chain(const std::string& id) const {
    std::vector<std::string> ids;
    std::string next = id;
    while (!next.empty() && ids.size() <= turns_.size()) {
        const auto held = turns_.find(next);
        if (held == turns_.end()) break;
        ids.push_back(next);
        next = held->second.parent;
    }
    return ids;
}

std::uint64_t TurnStore::live_bytes(std::uint64_t segment) const {
    const auto live = live_bytes_.find(segment);
    return live == live_bytes_.end() ? 0 : live->second;
}

std::vector<std::string> TurnStore::turns_in(std::uint64_t segment) const {
    std::vector<std::string> ids;
    for (const auto& [id, turn] : turns_)
        if (turn.place.segment == segment) ids.push_back(id);
    return ids;
}

std::vector<std::string> TurnStore::ledgers_in(std::uint64_t segment_or_older) const {
    std::vector<std::string> names;
    for (const auto& [name, program] : programs_)
        if (program.oldest_segment != 0 && program.oldest_segment <= segment_or_older) names.push_back(name);
    return names;
}

void TurnStore::move_turn(const std::string& id, Place place) {
    const auto held = turns_.find(id);
    if (held == turns_.end()) return;
    uncount(held->second.place);
    held->second.place = place;
    live_bytes_[place.segment] += place.size;
}

void TurnStore::move_ledger(const std::string& program, Place place) {
    const auto held = programs_.find(program);
    if (held != programs_.end()) held->second.oldest_segment = place.segment;
}

void TurnStore::uncount(const Place& place) {
    const auto live = live_bytes_.find(place.segment);
    if (live != live_bytes_.end() && (live->second -= place.size) == 0) live_bytes_.erase(live);
}

TurnStore::Restoring::Restoring(TurnStore& store, std::size_t items_about) : store_(store) {
    store_.turns_.reserve(items_about / 2);
}

void TurnStore::Restoring::program(std::string_view name, std::int64_t touched_ms, std::int32_t keep_for_s,
                                   std::uint64_t oldest_segment, std::uint64_t first_segment) {
    name_ = name;
    touched_ms_ = touched_ms;
    keep_for_s_ = keep_for_s;
    oldest_segment_ = oldest_segment;
    continued_.clear();
    entries_gone_ = oldest_segment < first_segment;
    held_ = nullptr;
}

void TurnStore::Restoring::continued(std::vector<std::string> programs) { continued_ = std::move(programs); }

// A program of which nothing is left is not held.
TurnStore::Programs::value_type& TurnStore::Restoring::held() {
    if (held_) return *held_;
    held_ = &store_.program_of(name_);
    HeldProgram& program = held_->second;
    program.digest_summary.reset();
    program.keep_for_s = std::max(program.keep_for_s, keep_for_s_);
    program.touched_ms = std::max(program.touched_ms, touched_ms_);
    add_missing(program.continued, continued_);
    return *held_;
}

void TurnStore::Restoring::turn(std::string_view id, HeldTurn turn) {
    auto& [name, program] = held();
    const auto [held, added] = store_.turns_.try_emplace(std::string(id));
    if (added)
        program.turns.push_back(held->first);
    else
        store_.uncount(held->second.place);
    store_.live_bytes_[turn.place.segment] += turn.place.size;
    turn.program = name;
    turn.id_hash = hash_of(id);
    turn.change = store_.changed(held->second.change, {&held->first, nullptr});
    store_.last_turn_change_ = turn.change;
    held->second = std::move(turn);
}

void TurnStore::Restoring::entry(const wire::LedgerEntry& entry) {
    if (entries_gone_) return;
    auto& [name, program] = held();
    if (program.oldest_segment == 0 || oldest_segment_ < program.oldest_segment)
        program.oldest_segment = oldest_segment_;
    const auto held = program.entries.try_emplace(entry.turn).first;
    held->second.entry = entry;
    held->second.change = store_.changed(held->second.change, {&held->first, &name});
}

TurnStore::Programs::value_type& TurnStore::program_of(const std::string& name) {
    const auto [held, added] = programs_.try_emplace(name);
    if (added) held->second.hash = hash_of(name);
    return *held;
}

std::uint64_t TurnStore::changed(std::uint64_t before, Change change) {
    if (before != 0) changes_.erase(before);
    changes_.emplace_hint(changes_.end(), ++last_change_, change);
    return last_change_;
}

void TurnStore::cache(HeldTurn& turn, const std::string& id, std::shared_ptr<const std::string> body) {
    if (turn.body) cached_bytes_ -= turn.body->size();
    turn.body = std::move(body);
    cached_bytes_ += turn.body->size();
    cached_.emplace(++cache_order_, id);
    shrink_cache();
}

// Oldest first. A turn whose record was written anew stands in the order twice; its earlier place takes it
// out.
void TurnStore::shrink_cache() {
    while (!cached_.empty()) {
        const auto held = turns_.find(cached_.begin()->second);
        const bool in_memory = held != turns_.end() && held->second.body;
        if (in_memory && cached_bytes_ <= options_.cache_bytes) return;
        if (in_memory) {
            cached_bytes_ -= held->second.body->size();
            held->second.body.reset();
        }
        cached_.erase(cached_.begin());
    }
}

}  // namespace whinledge::storage_plane
