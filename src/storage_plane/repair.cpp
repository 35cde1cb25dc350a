#include "storage_plane/repair.hpp"

#include <algorithm>
#include <deque>
#include <string_view>
#include <unordered_set>

#include "storage_map/holder_order.hpp"
#include "storage_map/wanted_holders.hpp"

namespace whinledge::storage_plane {
namespace {

constexpr std::int32_t kPageChanges = 2000;
constexpr std::int32_t kRanges = 256;
constexpr std::int32_t kAllInOne = 1;  // range: members that are alike tell each other one number
constexpr std::size_t kMostFetchIds = 256;
constexpr std::size_t kMostFetchPrograms = 64;
constexpr std::size_t kPeersComparedAtPace = 4;
constexpr int kMismatchesBeforeRescan = 3;

std::size_t body_size(const std::vector<wire::TurnRecord>& turns) {
    std::size_t bytes = 0;
    for (const wire::TurnRecord& turn : turns) bytes += storage_plane::body_size(turn);
    return bytes;
}

}  // namespace

struct Repair::Peer {
    wire::StorageMember member;
    std::int64_t run = 0;
    std::int64_t cursor = 0;
    bool asking = false;
    bool followed = false;  // to its end, under the map of this epoch
    bool told_all = false;  // of all its turns: from then on of those alone that concern this member
    std::int64_t next_ask_ms = 0;
    std::int64_t next_compare_ms = 0;
    std::map<std::size_t, int> mismatches;  // by range, in a row
    bool pushing = false;
    // The page that is being pulled.
    std::deque<wire::TurnHead> lacking;
    std::deque<std::string> differing;  // programs with other ledger entries there
    std::int64_t page_cursor = 0;
    bool page_more = false;
};

Repair::Repair(StorageNode& node, PeerCalls& peers, Options options)
    : node_(node), peers_calls_(peers), options_(options) {}

Repair::~Repair() { *alive_ = false; }

void Repair::step(std::int64_t now_ms) {
    now_ms_ = now_ms;
    follow_map(now_ms);
    if (!node_.self()) return;
    const auto peers = peers_;  // a reply may come at once
    for (const auto& [identity, peer] : peers)
        if (!peer->asking && now_ms >= peer->next_ask_ms) ask(peer);
    check_filled();
    if (node_.self()->state == wire::StorageState::retiring) {
        if (now_ms - retiring_since_ms_ >= options_.push_after_ms && !emptied()) push_copies();
    } else {
        retiring_since_ms_ = now_ms;
        pushed_.clear();
    }
}

bool Repair::busy() const {
    const wire::StorageMember* self = node_.self();
    if (!self) return false;
    if (self->state == wire::StorageState::joining) return !followed_all();
    if (self->state == wire::StorageState::retiring) return !emptied();
    return !node_.filled() || !followed_all();
}

// With a new map other turns may be wanted here: everybody is followed anew, from the beginning.
void Repair::follow_map(std::int64_t now_ms) {
    if (node_.map().epoch == epoch_) return;
    epoch_ = node_.map().epoch;
    std::map<std::int64_t, std::shared_ptr<Peer>> peers;
    for (const wire::StorageMember& member : node_.map().members) {
        if (member.identity == node_.identity()) continue;
        auto peer = std::make_shared<Peer>();
        peer->member = member;
        peer->next_ask_ms = now_ms;
        peers.emplace(member.identity, std::move(peer));
    }
    for (const auto& [identity, peer] : peers)
        peer->next_compare_ms = now_ms + compare_pause_ms(peers.size());
    peers_.swap(peers);  // replies to the old ones fall on deaf ears
    fetching_.clear();
}

void Repair::ask(const std::shared_ptr<Peer>& peer) {
    peer->asking = true;
    ++counts_.polls;
    wire::ChangesRequest request;
    request.asker = node_.identity();
    request.map_epoch = epoch_;
    request.run = peer->run;
    request.cursor = peer->cursor;
    request.limit = kPageChanges;
    request.everything = !node_.filled();
    request.digests = true;
    request.own_turns = peer->told_all;
    peers_calls_.changes(
        peer->member.address, request, [this, peer, alive = alive_](rpc::Result<wire::ChangesReply> reply) {
            if (!*alive || peers_.count(peer->member.identity) == 0 || peers_[peer->member.identity] != peer)
                return;
            if (reply && reply.value().status == wire::StorageStatus::ok)
                return take_page(peer, reply.value());
            finish_page(peer, false);
        });
}

void Repair::take_page(const std::shared_ptr<Peer>& peer, const wire::ChangesReply& reply) {
    if (peer->run != 0 && peer->run != reply.run) ++counts_.rescans;
    if (peer->run != reply.run) peer->told_all = false;
    peer->run = reply.run;
    peer->page_cursor = reply.cursor;
    peer->page_more = reply.more;
    peer->lacking.clear();
    peer->differing.clear();
    for (const wire::ProgramLedger& ledger : reply.ledgers)
        if (node_.has_other_entries(ledger)) peer->differing.push_back(ledger.program);
    for (const wire::TurnHead& head : reply.turns) {
        node_.merge_holders(head);
        if (node_.lacks(head)) peer->lacking.push_back(head);
    }
    node_.take_in({}, reply.ledgers, [this, peer, alive = alive_](bool synced) {
        if (!*alive || peers_.count(peer->member.identity) == 0 || peers_[peer->member.identity] != peer)
            return;
        if (!synced) return finish_page(peer, false);
        fetch_next(peer);
    });
}

void Repair::fetch_next(const std::shared_ptr<Peer>& peer) {
    wire::FetchRequest request;
    request.run = peer->run;
    while (!peer->differing.empty() && request.programs.size() < kMostFetchPrograms) {
        request.programs.push_back(std::move(peer->differing.front()));
        peer->differing.pop_front();
    }
    std::size_t bytes = 0;
    bool elsewhere = false;  // another member is being asked for some: not done before they are here
    std::deque<wire::TurnHead> later;
    while (!peer->lacking.empty()) {
        const wire::TurnHead head = std::move(peer->lacking.front());
        peer->lacking.pop_front();
        if (node_.holds(head.id)) {  // it came by itself since, and its record may name fewer holders
            node_.merge_holders(head);
            continue;
        }
        if (fetching_.count(head.id)) {
            elsewhere = true;
            later.push_back(head);
            continue;
        }
        request.ids.push_back(head.id);
        bytes += static_cast<std::size_t>(std::max<std::int64_t>(head.bytes, 0));
        if (bytes >= options_.fetch_bytes || request.ids.size() >= kMostFetchIds) break;
    }
    for (auto& head : later) peer->lacking.push_back(std::move(head));
    if (request.ids.empty() && request.programs.empty()) return finish_page(peer, !elsewhere);
    for (const std::string& id : request.ids) fetching_.insert(id);
    if (!repairing_since_ms_) repairing_since_ms_ = now_ms_;
    request.__set_repairing_ms(now_ms_ - *repairing_since_ms_);
    const std::int64_t epoch = epoch_;
    peers_calls_.fetch(peer->member.address, request,
                       [this, peer, epoch, ids = request.ids, programs = request.programs,
                        alive = alive_](rpc::Result<wire::FetchReply> reply) {
                           if (!*alive || epoch != epoch_ || peers_[peer->member.identity] != peer) return;
                           const bool some = reply && reply.value().status == wire::StorageStatus::ok;
                           const auto finished = [this, peer, epoch, ids, some, alive = alive_](bool synced) {
                               if (!*alive || epoch != epoch_) return;
                               for (const std::string& id : ids) fetching_.erase(id);
                               if (!some || !synced) return finish_page(peer, false);
                               fetch_next(peer);
                           };
                           if (!some) return finished(false);
                           counts_.fetched += reply.value().turns.size();
                           counts_.fetched_bytes += body_size(reply.value().turns);
                           // What came short is asked for again; what did not come at all has gone there in
                           // the meantime.
                           if (!reply.value().turns.empty() && reply.value().turns.size() < ids.size()) {
                               std::set<std::string> came;
                               for (const wire::TurnRecord& turn : reply.value().turns) came.insert(turn.id);
                               for (const std::string& id : ids) {
                                   if (came.count(id)) continue;
                                   wire::TurnHead head;
                                   head.id = id;
                                   peer->lacking.push_back(std::move(head));
                               }
                           }
                           ask_again_for_programs(*peer, programs, reply.value().ledgers);
                           node_.take_in(reply.value().turns, reply.value().ledgers, finished);
                       });
}

// A reply is cut short where it would grow too large.
void Repair::ask_again_for_programs(Peer& peer, const std::vector<std::string>& programs,
                                    const std::vector<wire::ProgramLedger>& came) {
    std::set<std::string> names;
    for (const wire::ProgramLedger& ledger : came) names.insert(ledger.program);
    for (const std::string& program : programs)
        if (!names.empty() && !names.count(program)) peer.differing.push_back(program);
}

// `pulled`: all of the page is here and synced, so that its position may be acknowledged.
void Repair::finish_page(const std::shared_ptr<Peer>& peer, bool pulled) {
    peer->asking = false;
    if (!pulled) {
        ++counts_.failed;
        peer->next_ask_ms = now_ms_ + options_.retry_ms;
        return;
    }
    const bool moved = peer->cursor != peer->page_cursor;
    peer->cursor = peer->page_cursor;
    if (peer->page_more) return ask(peer);
    end_repair_if_idle();
    const bool first = !peer->followed;
    peer->followed = peer->told_all = true;
    // Somebody waits for the proof of what was just pulled, perhaps.
    const bool prove = moved && (first || peer->member.state == wire::StorageState::retiring);
    peer->next_ask_ms = now_ms_ + (prove ? 0 : options_.poll_ms);
    check_filled();
    if (prove) return ask(peer);
    if (now_ms_ >= peer->next_compare_ms) compare(peer);
}

void Repair::end_repair_if_idle() {
    const bool some_asked =
        std::any_of(peers_.begin(), peers_.end(), [](const auto& peer) { return peer.second->asking; });
    if (!some_asked && lacking() == 0) repairing_since_ms_.reset();
}

// Each comparison looks at all that is held: with many members each is compared less often.
std::int64_t Repair::compare_pause_ms(std::size_t peers) const {
    return options_.digest_ms *
           static_cast<std::int64_t>(std::max<std::size_t>(peers / kPeersComparedAtPace, 1));
}

// The same turns and ledgers on both sides have the same digests: one of all is compared first, and where it
// differs one of each range.
void Repair::compare(const std::shared_ptr<Peer>& peer) {
    peer->next_compare_ms = now_ms_ + compare_pause_ms(peers_.size());
    ask_digests(peer, kAllInOne);
}

void Repair::ask_digests(const std::shared_ptr<Peer>& peer, std::int32_t ranges) {
    wire::DigestRequest request;
    request.asker = node_.identity();
    request.map_epoch = epoch_;
    request.ranges = ranges;
    peers_calls_.digests(
        peer->member.address, request,
        [this, peer, ranges, alive = alive_](rpc::Result<wire::DigestReply> reply) {
            if (!*alive || peers_.count(peer->member.identity) == 0 || peers_[peer->member.identity] != peer)
                return;
            if (!reply || reply.value().status != wire::StorageStatus::ok) return;
            const std::vector<std::int64_t> own =
                node_.shared_digests(peer->member.identity, static_cast<std::size_t>(ranges));
            if (ranges != kAllInOne) return take_digests(peer, own, reply.value().digests);
            if (own == reply.value().digests)
                peer->mismatches.clear();
            else
                ask_digests(peer, kRanges);
        });
}

std::size_t Repair::unfollowed() const {
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [](const auto& peer) {
        return peer.second->member.state != wire::StorageState::joining && !peer.second->followed;
    }));
}

// A range that stays different, although changes are followed, means that something was missed: then
// everything is gone through again.
void Repair::take_digests(const std::shared_ptr<Peer>& peer, const std::vector<std::int64_t>& own,
                          const std::vector<std::int64_t>& others) {
    bool rescan = false;
    for (std::size_t range = 0; range < own.size() && range < others.size(); ++range) {
        if (own[range] == others[range]) {
            peer->mismatches.erase(range);
            continue;
        }
        ++counts_.mismatches;
        if (++peer->mismatches[range] >= kMismatchesBeforeRescan) rescan = true;
    }
    if (!rescan) return;
    ++counts_.rescans;
    peer->mismatches.clear();
    peer->told_all = false;
    peer->cursor = 0;
    peer->next_ask_ms = now_ms_;
}

bool Repair::followed_all() const { return unfollowed() == 0; }

// Only what was pulled as a member counts: from then on the others refuse callers with older maps, so that
// nothing can be written past this member any more without its place in the quorum.
void Repair::check_filled() {
    const wire::StorageMember* self = node_.self();
    if (!self || self->state == wire::StorageState::joining) return;
    if (node_.map().epoch != epoch_) return;
    if (unfollowed() <= node_.ledgers_may_miss()) node_.mark_followed();
    if (!followed_all()) return;
    if (!node_.filled()) node_.mark_filled();
}

std::string Repair::note() const {
    const wire::StorageMember* self = node_.self();
    if (!self || node_.map().epoch != epoch_) return "";
    if (self->state == wire::StorageState::joining) return followed_all() ? "synced" : "";
    if (self->state == wire::StorageState::retiring) return emptied() ? "emptied" : "";
    return "";
}

// ---- Retiring
// ----------------------------------------------------------------------------------------------

// The other has synced all that it should hold of this member's turns, under the map by which this one
// retires.
bool Repair::proved(const Peer& peer) const {
    const StorageNode::Acknowledged acknowledged = node_.acknowledged(peer.member.identity);
    const TurnStore& held = node_.index();
    const std::uint64_t last = node_.ledgers_grouped() ? held.last_change() : held.last_turn_change();
    return acknowledged.map_epoch == epoch_ && acknowledged.cursor >= last;
}

bool Repair::emptied() const {
    std::set<std::int64_t> proved_by;
    bool all = true;
    for (const auto& [identity, peer] : peers_) {
        if (peer->member.state == wire::StorageState::retiring) continue;
        if (proved(*peer))
            proved_by.insert(identity);
        else
            all = false;
    }
    if (proved_by.empty() && !peers_.empty()) return false;
    // What this member granted has to be kept by those that keep the ledger now.
    if (all || node_.ledgers_grouped()) return all;
    for (const auto& [id, turn] : node_.index().turns()) {
        std::set<std::int64_t> holds;
        for (const std::int64_t identity :
             storage_map::wanted_holders(id, turn.holders, node_.map(), options_.survive))
            if (proved_by.count(identity)) holds.insert(identity);
        for (const std::int64_t identity : pushed_to(id)) holds.insert(identity);
        if (!outlast(spread_of(holds))) return false;
    }
    return true;
}

failure_domain::Spread Repair::spread_of(const std::set<std::int64_t>& identities) const {
    failure_domain::Spread spread;
    for (const auto& [identity, peer] : peers_)
        if (identities.count(identity)) spread.add(failure_domain::location_of(peer->member));
    return spread;
}

// Copies at these holders are enough; where those that stay lie in too few zones or regions, in all of these.
bool Repair::outlast(const failure_domain::Spread& holders) const {
    failure_domain::Spread staying;
    for (const auto& [identity, peer] : peers_)
        if (peer->member.state != wire::StorageState::retiring)
            staying.add(failure_domain::location_of(peer->member));
    const failure_domain::LossTolerance& survive = options_.survive;
    return holders.machines() >= survive.copies() &&
           holders.zones() >= std::min(survive.zone_losses() + 1, staying.zones()) &&
           holders.regions() >= std::min(survive.region_losses() + 1, staying.regions());
}

// Those that have synced a copy that was given to them, and still are members that stay.
std::set<std::int64_t> Repair::pushed_to(const std::string& id) const {
    std::set<std::int64_t> staying;
    const auto pushed = pushed_.find(id);
    if (pushed == pushed_.end()) return staying;
    for (const std::int64_t identity : pushed->second) {
        const auto peer = peers_.find(identity);
        if (peer != peers_.end() && peer->second->member.state != wire::StorageState::retiring)
            staying.insert(identity);
    }
    return staying;
}

// Of the others, best first, those that would make the holders outlast a loss: first where no copy would lie
// in their region or zone, then the rest.
std::vector<std::int64_t> Repair::complement(
    failure_domain::Spread holders, const std::vector<std::pair<std::uint64_t, std::int64_t>>& others) const {
    std::vector<std::int64_t> chosen;
    const auto take = [&](const auto& helps) {
        for (const auto& [weight, identity] : others) {
            const failure_domain::Location at =
                failure_domain::location_of(peers_.find(identity)->second->member);
            if (outlast(holders)) return;
            if (!helps(at) || std::find(chosen.begin(), chosen.end(), identity) != chosen.end()) continue;
            chosen.push_back(identity);
            holders.add(at);
        }
    };
    const failure_domain::LossTolerance& survive = options_.survive;
    take([&](const failure_domain::Location& at) {
        return holders.regions() <= survive.region_losses() && holders.machines_in_region(at.region) == 0;
    });
    take([&](const failure_domain::Location& at) {
        return holders.zones() <= survive.zone_losses() && holders.machines_in_zone(at.zone) == 0;
    });
    take([](const failure_domain::Location&) { return true; });
    return chosen;
}

// To those that answer, in place of those that do not.
void Repair::push_copies() {
    std::map<std::int64_t, std::pair<std::vector<std::string>, std::size_t>> batches;
    for (const auto& [id, turn] : node_.index().turns()) {
        std::set<std::int64_t> holds = pushed_to(id);
        for (const std::int64_t identity :
             storage_map::wanted_holders(id, turn.holders, node_.map(), options_.survive))
            if (const auto peer = peers_.find(identity); peer != peers_.end() && proved(*peer->second))
                holds.insert(identity);
        failure_domain::Spread spread = spread_of(holds);
        if (outlast(spread)) continue;
        std::vector<std::pair<std::uint64_t, std::int64_t>> others;
        for (const auto& [identity, peer] : peers_) {
            const bool answers = node_.acknowledged(identity).map_epoch == epoch_;
            if (peer->member.state == wire::StorageState::retiring || !answers || holds.count(identity))
                continue;
            others.emplace_back(storage_map::rendezvous_weight(id, identity), identity);
        }
        std::sort(others.rbegin(), others.rend());
        for (const std::int64_t identity : complement(spread, others)) {
            auto& [ids, bytes] = batches[identity];
            if (bytes >= options_.fetch_bytes) continue;
            ids.push_back(id);
            bytes += turn.place.size;
        }
    }
    for (auto& [identity, batch] : batches)
        if (const auto& peer = peers_[identity]; !peer->pushing) push_batch(peer, std::move(batch.first));
}

void Repair::push_batch(const std::shared_ptr<Peer>& peer, std::vector<std::string> ids) {
    wire::StoreRequest request;
    request.turns = node_.records(ids, 2 * options_.fetch_bytes);
    if (request.turns.empty()) return;
    std::set<std::string> programs;
    ids.clear();
    for (const wire::TurnRecord& turn : request.turns) {
        ids.push_back(turn.id);
        if (programs.insert(program_name(turn)).second)
            request.ledgers.push_back(node_.lifetime_of(program_name(turn)));
    }
    peer->pushing = true;
    counts_.pushed += ids.size();
    counts_.pushed_bytes += body_size(request.turns);
    peers_calls_.store(
        peer->member.address, request,
        [this, peer, ids = std::move(ids), alive = alive_](rpc::Result<wire::StoreReply> reply) {
            if (!*alive) return;
            peer->pushing = false;
            if (!reply || reply.value().status != wire::StorageStatus::ok) return;
            for (const std::string& id : ids) pushed_[id].insert(peer->member.identity);
        });
}

// ---- What is told of it

// Turns that some member has told of and that are not here yet, each once whoever told of it.
std::size_t Repair::lacking() const {
    std::unordered_set<std::string_view> turns;
    for (const std::string& id : fetching_)
        if (!node_.holds(id)) turns.insert(id);
    for (const auto& [identity, peer] : peers_)
        for (const wire::TurnHead& head : peer->lacking)
            if (!node_.holds(head.id)) turns.insert(head.id);
    return turns.size();
}

wire::StorageProgress Repair::progress() const {
    wire::StorageProgress progress;
    progress.held_turns = static_cast<std::int64_t>(node_.index().turns().size());
    progress.held_bytes = static_cast<std::int64_t>(node_.disk_bytes());
    progress.lacking_turns = static_cast<std::int64_t>(lacking());
    progress.unfollowed_members = static_cast<std::int64_t>(unfollowed());
    progress.taken_bytes = static_cast<std::int64_t>(counts_.fetched_bytes + node_.counts().stored_bytes);
    progress.given_bytes =
        static_cast<std::int64_t>(counts_.pushed_bytes + node_.counts().fetched_from_bytes);
    progress.voting = node_.voting();
    progress.paced_replies = static_cast<std::int64_t>(node_.counts().paced_replies);
    return progress;
}

std::string Repair::counters() const {
    const wire::StorageProgress told = progress();
    const auto field = [](const char* name, auto value) {
        return std::string(" ") + name + "=" + std::to_string(value);
    };
    return "note=" + (note().empty() ? std::string("none") : note()) + field("polls", counts_.polls) +
           field("failed_polls", counts_.failed) + field("fetched", counts_.fetched) +
           field("pushed", counts_.pushed) + field("rescans", counts_.rescans) +
           field("mismatches", counts_.mismatches) + field("lacking", told.lacking_turns) +
           field("unfollowed", told.unfollowed_members) + field("taken_bytes", told.taken_bytes) +
           field("given_bytes", told.given_bytes) + field("paced_replies", told.paced_replies);
}

}  // namespace whinledge::storage_plane
