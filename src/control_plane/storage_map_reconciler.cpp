#include "control_plane/storage_map_reconciler.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "storage_map/ledger_placement.hpp"

namespace whinledge::control_plane {
namespace {

constexpr std::size_t kMostRemembered = 500;  // identities and nodes that are members no more

using wire::StorageMember;
using wire::StorageState;

template <class T>
bool contains(const std::vector<T>& list, const T& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

template <class T>
void remember(std::vector<T>& list, const T& value) {
    std::erase(list, value);
    list.push_back(value);
    if (list.size() > kMostRemembered) list.erase(list.begin());
}

StorageMember member_of(const wire::NodeInfo& info, StorageState::type state) {
    StorageMember member;
    member.identity = info.identity;
    member.node = info.node;
    member.zone = info.zone;
    member.address = info.address;
    member.state = state;
    return member;
}

// Members that can be lost while a majority of all is still there; below 0: it is not there now.
int tolerance(std::size_t members, std::size_t heard) {
    return static_cast<int>(heard) - static_cast<int>(members / 2 + 1);
}

}  // namespace

// A state on its way from what is to what is wanted.
class StorageMapReconciler::Draft {
public:
    Draft(const wire::RegisterState& current, const std::vector<Heard>& heard, Instant at)
        : state(current), storages(heard), now(at) {}

    std::vector<StorageMember>& members() { return state.storage.members; }

    const Heard* heard(std::int64_t identity) const {
        for (const Heard& storage : storages)
            if (storage.info.identity == identity) return &storage;
        return nullptr;
    }
    bool known(std::int64_t identity) const {
        return std::any_of(state.storage.members.begin(), state.storage.members.end(),
                           [&](const StorageMember& member) { return member.identity == identity; });
    }

    void add(const wire::NodeInfo& info, StorageState::type as) {
        members().push_back(member_of(info, as));
        std::erase(state.removed_storage, info.identity);
        std::erase(state.retired, info.node);
        changed = true;
    }
    void remove(std::int64_t identity) {
        voters_changed |= std::any_of(members().begin(), members().end(), [&](const StorageMember& member) {
            return member.identity == identity && member.state != StorageState::joining;
        });
        std::erase_if(members(), [&](const StorageMember& member) { return member.identity == identity; });
        remember(state.removed_storage, identity);
        changed = true;
    }

    wire::RegisterState state;
    const std::vector<Heard>& storages;
    Instant now;
    bool changed = false;
    bool voters_changed = false;  // one left
};

void StorageMapReconciler::observe(const wire::RegisterState& state, Instant now) {
    if (now - observed_ > options_.blind) sighted_ = now;
    observed_ = now;
    if (state.storage.epoch != map_epoch_) {
        map_epoch_ = state.storage.epoch;
        map_sequence_ = state.sequence;
    }
    std::map<std::int64_t, Since> since;
    for (const StorageMember& member : state.storage.members) {
        const auto before = since_.find(member.identity);
        const bool same = before != since_.end() && before->second.state == member.state;
        since[member.identity] = same ? before->second : Since{member.state, state.sequence, now};
    }
    for (const auto& [identity, before] : since_)
        if (!since.count(identity)) dropped_ = now;
    since_ = std::move(since);
}

// Nothing can have been written yet: all who are there are members at once.
bool StorageMapReconciler::found(Draft& draft) const {
    Instant first = Instant::max(), newest = Instant::min();
    std::vector<const Heard*> there;
    for (const Heard& storage : draft.storages) {
        if (draft.now - storage.last > options_.present || storage.info.identity == 0) continue;
        there.push_back(&storage);
        first = std::min(first, storage.first);
        newest = std::max(newest, storage.first);
    }
    if (there.size() < options_.copies) return false;
    if (draft.now - newest < options_.founding_quiet && draft.now - first < options_.founding_longest)
        return false;
    for (const Heard* storage : there) draft.add(storage->info, StorageState::member);
    return true;
}

namespace {

// An identity at the place of an older one: that disk is gone.
std::vector<std::int64_t> replaced_by(const Heard& storage, const std::vector<StorageMember>& members,
                                      const std::vector<Heard>& storages) {
    std::vector<std::int64_t> replaced;
    for (const StorageMember& member : members) {
        if (member.node != storage.info.node && member.address != storage.info.address) continue;
        const bool lives = std::any_of(storages.begin(), storages.end(), [&](const Heard& other) {
            return other.info.identity == member.identity && other.last > storage.last;
        });
        if (!lives) replaced.push_back(member.identity);
    }
    return replaced;
}

}  // namespace

bool StorageMapReconciler::majority_knows(const wire::RegisterState& current,
                                          const std::vector<Heard>& storages) const {
    if (current.storage.epoch != map_epoch_) return false;
    const storage_map::LedgerPlacement ledgers(current.storage);
    std::set<std::int64_t> unaware = ledgers.voters();
    for (const Heard& storage : storages)
        if (storage.sequence >= map_sequence_) unaware.erase(storage.info.identity);
    const std::size_t voters = ledgers.voters().size();
    if (voters - unaware.size() <= voters / 2) return false;
    const std::size_t minority =
        ledgers.group_size() - storage_map::reservation_majority(ledgers.group_size());
    return !ledgers.grouped() || ledgers.most_in_one_group(unaware) < minority;
}

// In an epoch of its own.
void StorageMapReconciler::place_ledgers(Draft& draft) const {
    if (draft.state.storage.ledger_group == options_.ledger_group) return;
    draft.state.storage.ledger_group = options_.ledger_group;
    draft.changed = true;
}

// Those that have been filled become voters, those that have been emptied leave. A word counts only if it was
// said in the knowledge of the present state.
void StorageMapReconciler::count_progress(Draft& draft) const {
    std::vector<const Heard*> emptied;
    for (StorageMember& member : draft.members()) {
        const Heard* storage = draft.heard(member.identity);
        const auto since = since_.find(member.identity);
        if (!storage || since == since_.end() || since->second.state != member.state) continue;
        if (storage->sequence < since->second.sequence) continue;
        if (member.state == StorageState::joining && storage->storage_note == kSyncedNote) {
            member.state = StorageState::member;
            draft.changed = true;
        }
        if (member.state == StorageState::retiring && storage->storage_note == kEmptiedNote)
            emptied.push_back(storage);
    }
    for (const Heard* storage : emptied) {
        draft.remove(storage->info.identity);
        remember(draft.state.retired, storage->info.node);
    }
}

// A member that joined while we watched has come to be one since the other fell silent.
bool StorageMapReconciler::has_successor(std::int64_t identity, Instant last_heard) const {
    const auto known = since_.find(identity);
    if (known == since_.end()) return false;
    return std::any_of(since_.begin(), since_.end(), [&](const auto& one) {
        const Since& since = one.second;
        return since.state == StorageState::member && since.at > last_heard + options_.between_words &&
               since.at > known->second.at;
    });
}

// One that has been silent for long, where the others bear as many losses without it, or more. One that was
// replaced goes sooner where they bear more: its successor's time is over before it would be gone.
void StorageMapReconciler::drop_gone(Draft& draft) const {
    std::size_t members = 0, heard = 0;
    std::optional<std::int64_t> gone, replaced;
    for (const StorageMember& member : draft.members()) {
        const Heard* storage = draft.heard(member.identity);
        const auto since = since_.find(member.identity);
        Instant last = std::max(sighted_, since == since_.end() ? draft.now : since->second.at);
        if (storage) last = std::max(last, storage->last);
        const bool is_gone = draft.now - last > options_.gone;
        const bool is_replaced = draft.now - last > options_.replaced && has_successor(member.identity, last);
        if (is_gone) gone = member.identity;
        if (is_replaced) replaced = member.identity;
        if (member.state == StorageState::joining) continue;
        ++members;
        if (!is_gone && !is_replaced) ++heard;
    }
    const bool plenty = heard >= options_.copies + 1;
    const bool helps = heard >= options_.copies && tolerance(heard, heard) > tolerance(members, heard) &&
                       tolerance(members, heard) < static_cast<int>(options_.copies) - 1;
    if (gone && (plenty || helps)) draft.remove(*gone);
    if (!gone && replaced && helps) draft.remove(*replaced);
}

std::optional<wire::RegisterState> StorageMapReconciler::wanted(const wire::RegisterState& current,
                                                                const std::vector<Heard>& storages,
                                                                Instant now) const {
    Draft draft(current, storages, now);
    if (current.storage.epoch == 0) {
        if (!found(draft)) return std::nullopt;
        draft.state.storage.epoch = 1;
        draft.state.storage.ledger_group = options_.ledger_group;
        return std::move(draft.state);
    }

    // New disks.
    for (const Heard& storage : storages) {
        const wire::NodeInfo& info = storage.info;
        if (info.identity == 0 || now - storage.last > options_.present || draft.known(info.identity))
            continue;
        const bool emptied =
            contains(current.removed_storage, info.identity) && contains(current.retired, info.node);
        if (emptied) continue;
        for (const std::int64_t identity : replaced_by(storage, draft.members(), storages))
            draft.remove(identity);
        draft.add(info, StorageState::joining);
    }

    if (!draft.voters_changed && majority_knows(current, storages)) {
        count_progress(draft);
        if (!draft.changed && now - dropped_ >= options_.between_drops) drop_gone(draft);
        if (!draft.changed) place_ledgers(draft);
    }
    if (!draft.changed) return std::nullopt;
    ++draft.state.storage.epoch;
    return std::move(draft.state);
}

}  // namespace whinledge::control_plane
