#include <algorithm>
#include <utility>

#include "storage_map/holder_order.hpp"
#include "storage_plane/repair_peer.hpp"

namespace whinledge::storage_plane {

// Of a member that retires: what the others hold of its turns, and copies for those that lack one.

// The other has synced all that it should hold of what this member has told, under the map by which this one
// retires: a proof for ledgers, whose entries no member refuses for want of room.
bool Repair::proved(const Peer& peer) const {
    const StorageNode::Acknowledged acknowledged = node_.acknowledged(peer.member.identity);
    return acknowledged.map_epoch == epoch_ && acknowledged.cursor >= node_.index().last_change();
}

// Members that stay and that have said themselves that they hold the turn, or have synced it for this one. A
// position among the changes is no proof: what was not told then, or not taken, lies behind it too.
std::set<std::int64_t> Repair::kept_elsewhere(const std::string& id, const HeldTurn& turn) const {
    std::set<std::int64_t> holders = pushed_to(id);
    for (std::size_t i = 0; i < turn.holders.size(); ++i) {
        if (!is_confirmed(turn, i)) continue;
        const auto peer = peers_.find(turn.holders[i]);
        if (peer != peers_.end() && peer->second->member.state != wire::StorageState::retiring)
            holders.insert(turn.holders[i]);
    }
    return holders;
}

// Its time is over, as far as any member knows that this one has followed.
bool Repair::is_owed(const HeldTurn& turn) const {
    return node_.index().program(turn.program)->offered_ms > now_ms_;
}

bool Repair::emptied() const {
    if (peers_.empty()) return true;
    if (unfollowed() > options_.survive.most()) return false;
    bool some_answered = false, all_proved = true;
    for (const auto& [identity, peer] : peers_) {
        if (peer->member.state == wire::StorageState::retiring) continue;
        some_answered = some_answered || node_.acknowledged(identity).map_epoch == epoch_;
        all_proved = all_proved && proved(*peer);
    }
    if (!some_answered) return false;
    // What this member granted has to be kept by those that keep the ledger now.
    if (node_.ledgers_grouped() && !all_proved) return false;
    const auto& turns = node_.index().turns();
    return std::all_of(turns.begin(), turns.end(), [&](const auto& held) {
        const auto& [id, turn] = held;
        return !is_owed(turn) || outlast(spread_of(kept_elsewhere(id, turn)));
    });
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
    return holders.machines() >= std::min(survive.copies(), staying.machines()) &&
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
        if (!is_owed(turn)) continue;
        const std::set<std::int64_t> holds = kept_elsewhere(id, turn);
        failure_domain::Spread spread = spread_of(holds);
        if (outlast(spread)) continue;
        std::vector<std::pair<std::uint64_t, std::int64_t>> others;
        for (const auto& [identity, peer] : peers_) {
            const bool answers = node_.acknowledged(identity).map_epoch == epoch_;
            if (peer->member.state == wire::StorageState::retiring || !answers || holds.count(identity))
                continue;
            if (reach_.is_full(identity) || reach_.is_away(identity)) continue;
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
    counts_.pushed_bytes += bytes_of(request.turns);
    peers_calls_.store(
        peer->member.address, request,
        [this, peer, ids = std::move(ids), alive = alive_](rpc::Result<wire::StoreReply> reply) {
            if (!*alive) return;
            peer->pushing = false;
            if (!reply || reply.value().status != wire::StorageStatus::ok) return;
            for (const std::string& id : ids) pushed_[id].insert(peer->member.identity);
        });
}

}  // namespace whinledge::storage_plane
