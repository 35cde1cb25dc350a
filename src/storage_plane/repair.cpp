#include "storage_plane/repair.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

#include "storage_plane/repair_peer.hpp"

namespace whinledge::storage_plane {
namespace {

constexpr std::int32_t kPageChanges = 2000;
constexpr std::int32_t kRanges = 256;
constexpr std::int32_t kAllInOne = 1;  // range: members that are alike tell each other one number
constexpr std::size_t kMostFetchIds = 256;
constexpr std::size_t kMostFetchPrograms = 64;
constexpr std::size_t kPeersComparedAtPace = 4;
constexpr int kMismatchesBeforeRescan = 3;

bool has_more(const std::set<std::int64_t>& now, const std::set<std::int64_t>& before) {
    return !std::includes(before.begin(), before.end(), now.begin(), now.end());
}

}  // namespace

Repair::Repair(StorageNode& node, PeerCalls& peers, Options options)
    : node_(node), peers_calls_(peers), options_(options) {}

Repair::~Repair() { *alive_ = false; }

void Repair::step(std::int64_t now_ms) {
    now_ms_ = now_ms;
    reach_.step(now_ms);
    follow_map(now_ms);
    if (!node_.self()) return;
    look_for_copies_anew();
    const auto peers = peers_;  // a reply may come at once
    for (const auto& [identity, peer] : peers)
        if (!peer->asking && now_ms >= peer->next_ask_ms) ask(peer);
    check_filled();
    if (node_.self()->state == wire::StorageState::retiring) {
        emptied_ = emptied();
        if (now_ms - retiring_since_ms_ >= options_.push_after_ms && !emptied_) push_copies();
    } else {
        emptied_ = false;
        retiring_since_ms_ = now_ms;
        pushed_.clear();
    }
}

bool Repair::busy() const {
    const wire::StorageMember* self = node_.self();
    if (!self) return false;

    if (self->state == wire::StorageState::joining) return !followed_all();
    if (self->state == wire::StorageState::retiring) return !emptied_;
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
    std::set<std::int64_t> identities;
    for (const auto& [identity, peer] : peers_) identities.insert(identity);
    reach_.keep_only(identities);
    others_ = others();
}

StorageNode::Others Repair::others() const { return {reach_.unable(), reach_.doubted()}; }

// Copies that a member which can't take them was to take are lacking here, perhaps; and those that were left
// out for want of room may be taken once there is some.
void Repair::look_for_copies_anew() {
    const StorageNode::Others before = std::exchange(others_, others());
    const bool more = has_more(others_.unable, before.unable) || has_more(others_.doubted, before.doubted);
    const bool has_room_again = left_out_ && !node_.is_full();
    if (!more && !has_room_again) return;
    if (has_room_again) left_out_ = false;
    if (has_room_again)
        for (const auto& [identity, peer] : peers_) peer->told_all = false;
    for (const auto& [identity, peer] : peers_) follow_anew(*peer);
}

void Repair::follow_anew(Peer& peer) {
    ++counts_.rescans;
    peer.restarts = true;
    peer.next_ask_ms = now_ms_;
}

void Repair::ask(const std::shared_ptr<Peer>& peer) {
    peer->asking = true;
    if (std::exchange(peer->restarts, false)) {
        peer->cursor = 0;
        peer->incomplete = false;
        peer->anew = true;
    }
    ++counts_.polls;
    reach_.asked(peer->member.identity, now_ms_);
    wire::ChangesRequest request;
    request.asker = node_.identity();
    request.map_epoch = epoch_;
    request.run = peer->run;
    request.cursor = peer->cursor;
    request.limit = kPageChanges;
    request.everything = !node_.filled();
    request.digests = true;
    request.own_turns = peer->told_all;
    if (peer->incomplete) request.__set_incomplete(true);
    if (peer->anew) request.__set_anew(true);
    peers_calls_.changes(
        peer->member.address, request, [this, peer, alive = alive_](rpc::Result<wire::ChangesReply> reply) {
            if (!*alive || peers_.count(peer->member.identity) == 0 || peers_[peer->member.identity] != peer)
                return;
            note_reach(peer->member.identity, reply);
            if (reply && reply.value().status == wire::StorageStatus::ok)
                return take_page(peer, reply.value());
            finish_page(peer, false);
        });
}

// One that answers is there, whatever it answers.
void Repair::note_reach(std::int64_t identity, const rpc::Result<wire::ChangesReply>& reply) {
    if (reply)
        reach_.answered(identity, reply.value().__isset.full && reply.value().full);
    else
        reach_.failed(identity);
}

void Repair::take_page(const std::shared_ptr<Peer>& peer, const wire::ChangesReply& reply) {
    if (peer->run != 0 && peer->run != reply.run) ++counts_.rescans;
    if (peer->run != reply.run) peer->told_all = peer->incomplete = false;
    peer->run = reply.run;
    peer->page_cursor = reply.cursor;
    peer->page_more = reply.more;
    peer->lacking.clear();
    peer->differing.clear();
    for (const wire::ProgramLedger& ledger : reply.ledgers)
        if (node_.has_other_entries(ledger)) peer->differing.push_back(ledger.program);
    for (const wire::TurnHead& head : reply.turns) {
        node_.merge_holders(head);
        node_.confirm_holder(head.id, peer->member.identity);
        if (node_.lacks(head, others_)) peer->lacking.push_back(head);
    }
    node_.take_in({}, reply.ledgers, [this, peer, alive = alive_](bool synced) {
        if (!*alive || peers_.count(peer->member.identity) == 0 || peers_[peer->member.identity] != peer)
            return;
        if (!synced) return finish_page(peer, false);
        fetch_next(peer);
    });
}

// For want of room: another member takes the copies, and this one once there is room.
void Repair::leave_out(Peer& peer) {
    if (peer.lacking.empty()) return;
    counts_.left_out += peer.lacking.size();
    peer.lacking.clear();
    peer.incomplete = left_out_ = true;
}

// What came was refused for want of room, ledgers with it: whoever votes needs these all the same.
void Repair::fetch_without_copies(const std::shared_ptr<Peer>& peer, std::size_t refused,
                                  const std::vector<std::string>& programs) {
    counts_.left_out += refused;
    peer->incomplete = left_out_ = true;
    peer->differing.insert(peer->differing.end(), programs.begin(), programs.end());
    fetch_next(peer);
}

void Repair::fetch_next(const std::shared_ptr<Peer>& peer) {
    wire::FetchRequest request;
    request.run = peer->run;
    while (!peer->differing.empty() && request.programs.size() < kMostFetchPrograms) {
        request.programs.push_back(std::move(peer->differing.front()));
        peer->differing.pop_front();
    }
    if (node_.is_full()) leave_out(*peer);
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
                           const auto finished = [this, peer, epoch, ids, programs, some,
                                                  alive = alive_](bool synced) {
                               if (!*alive || epoch != epoch_) return;
                               for (const std::string& id : ids) fetching_.erase(id);
                               if (some && !synced && !ids.empty() && node_.is_full())
                                   return fetch_without_copies(peer, ids.size(), programs);
                               if (!some || !synced) return finish_page(peer, false);
                               fetch_next(peer);
                           };
                           if (!some) return finished(false);
                           counts_.fetched += reply.value().turns.size();
                           counts_.fetched_bytes += bytes_of(reply.value().turns);
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
    const wire::StorageMember* const self = node_.self();
    const bool retires = self && self->state == wire::StorageState::retiring;
    peer->followed = peer->told_all = true;
    peer->anew = false;
    // Somebody waits for the proof of what was just pulled, perhaps.
    const bool prove = moved && (first || peer->member.state == wire::StorageState::retiring);
    const bool soon = prove || peer->restarts;
    peer->next_ask_ms = now_ms_ + (soon ? 0 : retires ? options_.retry_ms : options_.poll_ms);
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
    peer->mismatches.clear();
    peer->told_all = false;
    follow_anew(*peer);
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
    if (self->state == wire::StorageState::retiring) return emptied_ ? "emptied" : "";
    return "";
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

// Turns held here of which too few members are known to hold copies, wherever they stand.
std::size_t Repair::short_of_copies() const {
    const wire::StorageMember* const self = node_.self();
    if (!self) return 0;
    const auto& turns = node_.index().turns();
    return static_cast<std::size_t>(std::count_if(turns.begin(), turns.end(), [&](const auto& held) {
        const auto& [id, turn] = held;
        return is_owed(turn) && kept_elsewhere(id, turn).size() + 1 < options_.survive.copies();
    }));
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
           field("short_of_copies", short_of_copies()) + field("left_out", counts_.left_out) +
           field("unable", others_.unable.size()) + field("given_bytes", told.given_bytes) +
           field("paced_replies", told.paced_replies);
}

}  // namespace whinledge::storage_plane
