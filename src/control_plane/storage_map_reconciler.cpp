#include "control_plane/storage_map_reconciler.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "control_plane/settings_order.hpp"

namespace whinledge::control_plane {
namespace {

constexpr std::size_t kMostEarlierVoters = 64;  // sets of them; the oldest and the newest are kept
constexpr std::size_t kMostRemembered = 500;    // identities and nodes that are members no more

using storage_map::LedgerQuorum;
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
    if (info.__isset.region) member.__set_region(info.region);
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
    // Why a member leaves the map.
    enum class Departure {
        silent,     // it may come back with its disk
        disk_lost,  // another disk is in its place
        emptied,
    };
    void remove(std::int64_t identity, Departure why) {
        if (why == Departure::silent) remember_away(identity);
        voters_changed |= std::any_of(members().begin(), members().end(), [&](const StorageMember& member) {
            return member.identity == identity && member.state != StorageState::joining;
        });
        std::erase_if(members(), [&](const StorageMember& member) { return member.identity == identity; });
        remember(state.removed_storage, identity);
        changed = true;
    }

    template <class Matches>
    void forget_away(const Matches& matches) {
        std::vector<wire::AwayStorage> away = state.storage.away;
        std::erase_if(away, matches);
        if (away.size() != state.storage.away.size()) set_away(std::move(away));
    }

    wire::RegisterState state;
    const std::vector<Heard>& storages;
    Instant now;
    bool changed = false;
    bool voters_changed = false;  // one left

private:
    void remember_away(std::int64_t identity) {
        std::vector<wire::AwayStorage> away = state.storage.away;
        std::erase_if(away, [&](const wire::AwayStorage& one) { return one.identity == identity; });
        const int keep_for_s = longest_keep_for_s(state);
        for (const StorageMember& member : members()) {
            if (member.identity != identity || keep_for_s == 0) continue;
            wire::AwayStorage& one = away.emplace_back();
            one.identity = identity;
            one.node = member.node;
            one.address = member.address;
            one.keep_for_s = keep_for_s;
        }
        set_away(std::move(away));
    }
    void set_away(std::vector<wire::AwayStorage> away) {
        state.storage.__isset.away = !away.empty();
        state.storage.away = std::move(away);
        changed = true;
    }
};

void StorageMapReconciler::observe(const wire::RegisterState& state, const std::vector<Heard>& storages,
                                   Instant now) {
    if (now - observed_ > options_.blind) sighted_ = now;
    observed_ = now;
    note_voters(state);
    std::map<std::int64_t, Since> since;
    for (const StorageMember& member : state.storage.members) {
        const auto before = since_.find(member.identity);
        const bool same = before != since_.end() && before->second.state == member.state;
        since[member.identity] =
            same ? before->second : Since{member.state, state.sequence, now, member.node};
    }
    note_departures(state, since, now);
    note_away(state, now);
    since_ = std::move(since);
    for (const auto& [identity, member] : since_)
        if (member.state == StorageState::retiring) retiring_nodes_.insert(member.node);
    for (const std::string& node : state.retired) retiring_nodes_.erase(node);
    if (earlier_voters_.empty() || !is_made_good(storages)) return;
    earlier_voters_.clear();
    emptied_.clear();
}

void StorageMapReconciler::note_voters(const wire::RegisterState& state) {
    if (state.storage.epoch == map_epoch_) return;
    storage_map::LedgerPlacement voters(state.storage);
    if (map_epoch_ == 0 || !(voters == voters_)) {
        voters_sequence_ = state.sequence;
        complete_.clear();
    }
    if (map_epoch_ != 0 && voters.voters() != voters_.voters())
        earlier_voters_.push_back(voters_.quorum_of_voters());
    if (earlier_voters_.size() > kMostEarlierVoters) earlier_voters_.erase(earlier_voters_.begin() + 1);
    voters_ = std::move(voters);
    map_epoch_ = state.storage.epoch;
    note_locations(state);
}

// Of voters that have left, for as long as something may depend on them.
void StorageMapReconciler::note_locations(const wire::RegisterState& state) {
    std::erase_if(locations_, [&](const auto& known) {
        return std::none_of(earlier_voters_.begin(), earlier_voters_.end(), [&](const LedgerQuorum& quorum) {
            return quorum.voters().count(known.first) > 0;
        });
    });
    for (const StorageMember& member : state.storage.members)
        locations_[member.identity] = failure_domain::location_of(member);
}

failure_domain::Spread StorageMapReconciler::spread_of(const std::set<std::int64_t>& identities) const {
    failure_domain::Spread spread;
    for (const std::int64_t identity : identities) {
        const auto known = locations_.find(identity);
        spread.add(known == locations_.end() ? failure_domain::Location() : known->second);
    }
    return spread;
}

bool StorageMapReconciler::bear_losses(const std::set<std::int64_t>& voters) const {
    if (!options_.survive.names_domains()) return voters.size() >= 2 * options_.survive.machine_losses() + 1;
    std::vector<storage_map::LedgerVoter> located;
    for (const std::int64_t identity : voters) {
        const auto known = locations_.find(identity);
        located.push_back({identity, known == locations_.end() ? failure_domain::Location() : known->second});
    }
    return LedgerQuorum(located, options_.survive).bears_losses();
}

// One of them leaves, or another that takes its place in the count of machines.
bool StorageMapReconciler::bear_losses_without(std::set<std::int64_t> voters, std::int64_t leaving) const {
    if (!options_.survive.names_domains()) return voters.size() > 2 * options_.survive.machine_losses() + 1;
    voters.erase(leaving);
    return bear_losses(voters);
}

// Copies at some of them outlast a loss.
bool StorageMapReconciler::can_hold_copies(const failure_domain::Spread& members) const {
    return members.machines() >= options_.survive.copies() && members.outlasts(options_.survive);
}

void StorageMapReconciler::note_departures(const wire::RegisterState& state,
                                           const std::map<std::int64_t, Since>& present, Instant now) {
    for (const auto& [identity, before] : since_) {
        if (present.count(identity) || before.state == StorageState::joining) continue;
        if (contains(state.retired, before.node))
            emptied_.insert(identity);
        else
            dropped_ = now;
    }
}

void StorageMapReconciler::note_away(const wire::RegisterState& state, Instant now) {
    std::map<std::int64_t, Instant> since;
    for (const wire::AwayStorage& away : state.storage.away) {
        const auto before = away_since_.find(away.identity);
        since[away.identity] = before == away_since_.end() ? now : before->second;
    }
    away_since_ = std::move(since);
}

// All that they may hold has expired.
void StorageMapReconciler::forget_away(Draft& draft) const {
    draft.forget_away([&](const wire::AwayStorage& away) {
        const auto since = away_since_.find(away.identity);
        const Span kept = std::chrono::seconds(away.keep_for_s) + options_.away_longer;
        return since != away_since_.end() && draft.now - since->second > kept;
    });
}

// Each voter has said once, under the present voters, that it holds all that it should. Not all at the same
// moment: of many some are always about to pull a turn that was just written.
bool StorageMapReconciler::is_made_good(const std::vector<Heard>& storages) {
    for (const Heard& storage : storages) {
        if (storage.sequence < voters_sequence_) continue;
        const auto& progress = storage.storage_progress;
        const bool complete = !progress || (progress->voting && progress->lacking_turns == 0 &&
                                            progress->unfollowed_members == 0);
        if (complete) complete_.insert(storage.info.identity);
    }
    return std::includes(complete_.begin(), complete_.end(), voters_.voters().begin(),
                         voters_.voters().end());
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
    if (there.size() < options_.survive.copies()) return false;
    failure_domain::Spread spread;
    for (const Heard* storage : there) spread.add(failure_domain::location_of(storage->info));
    const bool more_may_come =
        draft.now - newest < options_.founding_quiet || !spread.outlasts(options_.survive);
    if (more_may_come && draft.now - first < options_.founding_longest) return false;
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
    std::set<std::int64_t> unaware = voters_.voters();
    for (const Heard& storage : storages)
        if (storage.sequence >= voters_sequence_) unaware.erase(storage.info.identity);
    std::set<std::int64_t> aware;
    std::set_difference(voters_.voters().begin(), voters_.voters().end(), unaware.begin(), unaware.end(),
                        std::inserter(aware, aware.end()));
    return voters_.quorum_of_voters().is_met_by(aware) && voters_.are_minority_of_each_group(unaware);
}

// Which voters are there, and who might take the place of one that is not.
struct StorageMapReconciler::Attendance {
    std::set<std::int64_t> there;                   // identities of voters
    std::set<std::int64_t> staying;                 // of those that are there: filled, and not retiring
    bool some_unfilled = false;                     // of those that are there
    const StorageMember* longest_silent = nullptr;  // of the voters that are not there
    std::vector<const StorageMember*> joining;      // that are there
};

namespace {

// Whichever voters decided something, one of them is there.
bool quorums_keep_one(const LedgerQuorum& quorum, const std::set<std::int64_t>& there) {
    std::set<std::int64_t> away;
    std::set_difference(quorum.voters().begin(), quorum.voters().end(), there.begin(), there.end(),
                        std::inserter(away, away.end()));
    return !quorum.is_met_by(away);
}

}  // namespace

// In an epoch of its own.
void StorageMapReconciler::place_ledgers(Draft& draft) const {
    wire::StorageMap wanted = draft.state.storage;
    place_ledgers_by_losses(wanted);
    if (draft.state.storage == wanted) return;
    draft.state.storage = std::move(wanted);
    draft.changed = true;
}

void StorageMapReconciler::place_ledgers_by_losses(wire::StorageMap& map) const {
    map.ledger_group = options_.ledger_group;
    map.__isset.survive = options_.survive.names_domains();
    map.survive = wire::LossTolerance();
    if (!map.__isset.survive) return;
    map.survive.machines = options_.survive.machines;
    map.survive.zones = options_.survive.zones;
    map.survive.regions = options_.survive.regions;
}

// Those that have been filled become voters. Those that have been emptied leave, one after the other, each
// once what changed before is made good; and where those that stay bear no loss, not before others that are
// being filled stay with them. A word counts only if it was said in the knowledge of the present state.
void StorageMapReconciler::count_progress(Draft& draft) const {
    const Heard* emptied = nullptr;
    for (StorageMember& member : draft.members()) {
        const Heard* storage = draft.heard(member.identity);
        const auto since = since_.find(member.identity);
        if (!storage || since == since_.end() || since->second.state != member.state) continue;
        if (storage->sequence < since->second.sequence) continue;
        if (member.state == StorageState::joining && storage->storage_note == kSyncedNote) {
            member.state = StorageState::member;
            draft.changed = true;
            draft.forget_away(
                [&](const wire::AwayStorage& away) { return away.identity == member.identity; });
        }
        if (member.state == StorageState::retiring && storage->storage_note == kEmptiedNote)
            emptied = storage;
    }
    if (!emptied || draft.changed || !earlier_voters_.empty()) return;
    Attendance now = attendance(draft);
    const bool more_will_stay = now.some_unfilled || !now.joining.empty();
    if (more_will_stay && !bear_losses(now.staying)) return;
    now.there.erase(emptied->info.identity);
    if (!quorums_keep_one(voters_.quorum_of_voters(), now.there)) return;
    draft.remove(emptied->info.identity, Draft::Departure::emptied);
    remember(draft.state.retired, emptied->info.node);
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

namespace {

bool is_filled(const Heard* storage) { return !storage || storage->votes(); }

}  // namespace

Instant StorageMapReconciler::last_heard(const Draft& draft, const StorageMember& member) const {
    const auto since = since_.find(member.identity);
    const Instant last = std::max(sighted_, since == since_.end() ? draft.now : since->second.at);
    const Heard* const storage = draft.heard(member.identity);
    return storage ? std::max(last, storage->last) : last;
}

StorageMapReconciler::Attendance StorageMapReconciler::attendance(const Draft& draft) const {
    Attendance attendance;
    Instant earliest = Instant::max();
    for (const StorageMember& member : draft.state.storage.members) {
        const Instant last = last_heard(draft, member);
        if (member.state == StorageState::joining) {
            if (draft.now - last <= options_.present) attendance.joining.push_back(&member);
            continue;
        }
        if (draft.now - last <= options_.replaced) {
            attendance.there.insert(member.identity);
            const bool filled = is_filled(draft.heard(member.identity));
            if (!filled) attendance.some_unfilled = true;
            if (filled && member.state == StorageState::member) attendance.staying.insert(member.identity);
        } else if (last < earliest) {
            earliest = last;
            attendance.longest_silent = &member;
        }
    }
    return attendance;
}

// Of the voters of the present map, and of those before it that have not been made good, no more are away
// than may be lost at once: each turn has a copy, and each majority that decided something a voter, among
// those that are there.
bool StorageMapReconciler::can_do_without_absent(const Attendance& attendance) const {
    std::vector<LedgerQuorum> all = earlier_voters_;
    all.push_back(voters_.quorum_of_voters());
    return std::all_of(all.begin(), all.end(), [&](const LedgerQuorum& quorum) {
        std::set<std::int64_t> lost;
        std::copy_if(
            quorum.voters().begin(), quorum.voters().end(), std::inserter(lost, lost.end()),
            [&](std::int64_t voter) { return !attendance.there.count(voter) && !emptied_.count(voter); });
        const bool can_be_lost_at_once = !spread_of(lost).outlasts(options_.survive);
        return can_be_lost_at_once && quorums_keep_one(quorum, attendance.there);
    });
}

// Others would count on it for copies; it votes on nothing, and joins anew if it comes back.
bool StorageMapReconciler::drop_silent_joiner(Draft& draft) const {
    for (const StorageMember& member : draft.members()) {
        if (member.state != StorageState::joining) continue;
        if (draft.now - last_heard(draft, member) <= options_.replaced) continue;
        draft.remove(member.identity, Draft::Departure::silent);
        return true;
    }
    return false;
}

// Voters that are not filled wait for the silent one just as joining members do.
bool StorageMapReconciler::replace_silent(Draft& draft) const {
    const Attendance now = attendance(draft);
    if (!now.longest_silent || !can_do_without_absent(now)) return false;
    const StorageMember silent = *now.longest_silent;
    const bool enough_there = bear_losses(now.there);
    if (enough_there && (now.some_unfilled || !now.joining.empty())) {
        draft.remove(silent.identity, Draft::Departure::silent);
        return true;
    }
    if (now.joining.empty()) return false;
    const auto same_zone = std::find_if(now.joining.begin(), now.joining.end(),
                                        [&](const StorageMember* one) { return one->zone == silent.zone; });
    const std::int64_t successor =
        (same_zone == now.joining.end() ? now.joining.front() : *same_zone)->identity;
    draft.remove(silent.identity, Draft::Departure::silent);
    for (StorageMember& member : draft.members())
        if (member.identity == successor) member.state = StorageState::member;
    draft.forget_away([&](const wire::AwayStorage& away) { return away.identity == successor; });
    return true;
}

// One that has been silent for long, where the others bear as many losses without it, or more. One that was
// replaced goes sooner where they bear more: its successor's time is over before it would be gone.
void StorageMapReconciler::drop_gone(Draft& draft) const {
    if (draft.now - dropped_ < options_.between_drops) return;
    std::size_t members = 0, heard = 0;
    failure_domain::Spread heard_spread;
    std::optional<std::int64_t> gone, replaced;
    for (const StorageMember& member : draft.members()) {
        if (member.state == StorageState::joining) continue;
        const Instant last = last_heard(draft, member);
        const bool is_gone = draft.now - last > options_.gone;
        const bool is_replaced = draft.now - last > options_.replaced && has_successor(member.identity, last);
        if (is_gone) gone = member.identity;
        if (is_replaced) replaced = member.identity;
        ++members;
        if (is_gone || is_replaced) continue;
        ++heard;
        heard_spread.add(failure_domain::location_of(member));
    }
    if (!can_hold_copies(heard_spread)) return;
    const bool plenty = heard >= options_.survive.copies() + 1;
    const bool helps = tolerance(heard, heard) > tolerance(members, heard) &&
                       tolerance(members, heard) < static_cast<int>(options_.survive.most());
    if (gone && (plenty || helps)) draft.remove(*gone, Draft::Departure::silent);
    if (!gone && replaced && helps) draft.remove(*replaced, Draft::Departure::silent);
}

// Of members that joined before regions mattered.
void StorageMapReconciler::update_regions(Draft& draft) const {
    for (StorageMember& member : draft.members()) {
        const Heard* const storage = draft.heard(member.identity);
        if (!storage || !storage->info.__isset.region || member.region == storage->info.region) continue;
        member.__set_region(storage->info.region);
        draft.changed = true;
    }
}

// One that lost its disk, or was dropped, while it was being emptied has joined anew: the order still stands.
void StorageMapReconciler::resume_retirements(Draft& draft) const {
    for (StorageMember& member : draft.members()) {
        if (member.state != StorageState::member || retiring_nodes_.count(member.node) == 0) continue;
        if (!bear_losses_without(attendance(draft).staying, member.identity)) return;
        member.state = StorageState::retiring;
        draft.changed = true;
        return;
    }
}

std::optional<wire::RegisterState> StorageMapReconciler::wanted(const wire::RegisterState& current,
                                                                const std::vector<Heard>& storages,
                                                                Instant now) const {
    Draft draft(current, storages, now);
    if (current.storage.epoch == 0) {
        if (!found(draft)) return std::nullopt;
        draft.state.storage.epoch = 1;
        place_ledgers_by_losses(draft.state.storage);
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
            draft.remove(identity, Draft::Departure::disk_lost);
        draft.forget_away([&](const wire::AwayStorage& away) {
            const bool same_place = away.node == info.node || away.address == info.address;
            return same_place && away.identity != info.identity;
        });
        draft.add(info, StorageState::joining);
    }

    if (!draft.voters_changed && majority_knows(current, storages)) {
        count_progress(draft);
        if (!draft.changed && !drop_silent_joiner(draft) && !replace_silent(draft)) drop_gone(draft);
        if (!draft.changed) resume_retirements(draft);
        if (!draft.changed) place_ledgers(draft);
        if (!draft.changed) update_regions(draft);
    }
    if (!draft.changed) forget_away(draft);
    if (!draft.changed) return std::nullopt;
    ++draft.state.storage.epoch;
    return std::move(draft.state);
}

}  // namespace whinledge::control_plane
