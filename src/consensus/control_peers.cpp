#include "consensus/control_peers.hpp"

#include <algorithm>
#include <utility>

namespace whinledge::consensus {

namespace {

constexpr Millis kShareEvery = 900, kShareChance = 200, kShareTimeout = 700;
constexpr Millis kFoundingShareEvery = 150, kFoundingTurn = 1500;
constexpr Millis kPresent = 2000;  // heard within this: it seems to be there
constexpr Millis kForget = 60'000;

}  // namespace

ControlPeers::ControlPeers(Replica& replica, std::vector<std::string> seeds)
    : replica_(replica), seeds_(std::move(seeds)) {
    std::sort(seeds_.begin(), seeds_.end());
    seeds_.erase(std::unique(seeds_.begin(), seeds_.end()), seeds_.end());
}

void ControlPeers::want(const std::string& address) {
    if (address.empty() || address == replica_.self().address) return;
    Peer& peer = peers_[address];
    peer.info.address = address;
    peer.wanted_at = replica_.host().now();
}

void ControlPeers::set_present(const std::vector<wire::NodeInfo>& present) {
    for (const wire::NodeInfo& node : present)
        if (node.role == wire::NodeRole::control) want(node.address);
}

// A request may have been on its way since before a wipe of its sender. What it says of another disk at a
// known address is asked there.
void ControlPeers::hear_request(const wire::NodeInfo& who, bool founder) {
    const auto peer = peers_.find(who.address);
    const bool another = peer != peers_.end() && who.identity != 0 && peer->second.info.identity != 0 &&
                         peer->second.info.identity != who.identity;
    if (!another) return hear(who, founder);
    want(who.address);
    share_with(who.address, false);
}

// A reply to what was sent at `sent_at`: the disk that answered the newest request is the one that is there.
void ControlPeers::hear_reply(const wire::NodeInfo& who, bool founder, Millis sent_at) {
    const auto peer = peers_.find(who.address);
    if (peer != peers_.end() && who.identity != 0 && peer->second.info.identity != who.identity) {
        if (sent_at < peer->second.confirmed_at) return;
        peer->second.confirmed_at = kNever;
    }
    hear(who, founder);
    const auto heard = peers_.find(who.address);
    if (heard != peers_.end() && heard->second.info.identity == who.identity)
        heard->second.confirmed_at = std::max(heard->second.confirmed_at, sent_at);
}

void ControlPeers::hear(const wire::NodeInfo& who, bool founder) {
    if (who.address.empty() || who.address == replica_.self().address) return;
    if (who.identity == 0) return hear_of_no_disk(who);
    Peer& peer = peers_[who.address];
    if (peer.info.identity != who.identity) peer.first_heard_at = replica_.host().now();
    peer.info = who;
    peer.founder = founder;
    peer.heard_at = replica_.host().now();
}

// Its process lives, but its acceptor does not count as there.
void ControlPeers::hear_of_no_disk(const wire::NodeInfo& who) {
    const auto peer = peers_.find(who.address);
    if (peer != peers_.end()) peer->second.diskless_at = replica_.host().now();
}

std::optional<bool> ControlPeers::takes_writes(const std::string& address) const {
    if (address == replica_.self().address) return replica_.takes_writes();
    const auto found = peers_.find(address);
    if (found == peers_.end()) return std::nullopt;
    const Peer& peer = found->second;
    const Millis newest = std::max(peer.heard_at, peer.diskless_at);
    if (replica_.host().now() - newest > kPresent) return std::nullopt;
    return peer.heard_at > peer.diskless_at;
}

void ControlPeers::share_with(const std::string& address, bool with_value) {
    const Millis sent_at = peers_[address].shared_at = replica_.host().now();
    const Millis timeout = kShareTimeout + (with_value ? replica_.round_timeout() : 0);
    replica_.host().send(address, replica_.share_request(with_value), timeout,
                         [this, address, with_value, sent_at](std::optional<wire::ShareReply> reply) {
                             if (!reply) return;
                             hear_reply(reply->who, reply->founder, sent_at);
                             if (reply->__isset.value) replica_.learn(reply->value);
                             const wire::ChosenValue& known = replica_.known();
                             const bool behind =
                                 older(reply->epoch, reply->ballot, known.epoch, known.ballot);
                             if (behind && !with_value) share_with(address, true);
                         });
}

wire::ShareReply ControlPeers::handle(const wire::ShareRequest& request) {
    hear_request(request.who, request.founder);
    if (request.__isset.value)
        replica_.learn(request.value);
    else
        replica_.learn_accepted(request.epoch, request.ballot);
    const wire::ChosenValue& known = replica_.known();
    wire::ShareReply reply;
    reply.who = replica_.told_self();
    reply.founder = replica_.founder();
    reply.epoch = known.epoch;
    reply.ballot = known.ballot;
    if (older(request.epoch, request.ballot, known.epoch, known.ballot)) reply.__set_value(known);
    return reply;
}

void ControlPeers::share() {
    for (const std::string& seed : seeds_) want(seed);
    for (const wire::Acceptor& acceptor : replica_.known().acceptors) want(acceptor.address);
    const Millis now = replica_.host().now();
    for (auto at = peers_.begin(); at != peers_.end();) {
        const Peer& peer = at->second;
        if (now - std::max(peer.wanted_at, peer.heard_at) > kForget) {
            at = peers_.erase(at);
            continue;
        }
        // Who asked us was told as well.
        const Millis last = replica_.founded() ? std::max(peer.shared_at, peer.heard_at) : peer.shared_at;
        const auto chance = static_cast<Millis>(replica_.host().random() % std::uint64_t{kShareChance});
        const Millis every = replica_.founded() ? kShareEvery + chance : kFoundingShareEvery;
        if (now - last >= every) share_with(at->first, false);
        ++at;
    }
}

void ControlPeers::ask_all() {
    for (const auto& [address, peer] : peers_) share_with(address, false);
}

void ControlPeers::announce(const std::vector<std::int64_t>& accepted_by) {
    for (const wire::Acceptor& acceptor : replica_.known().acceptors) want(acceptor.address);
    for (const auto& [address, peer] : peers_) {
        const auto has_it = std::find(accepted_by.begin(), accepted_by.end(), peer.info.identity);
        share_with(address, has_it == accepted_by.end());
    }
}

std::optional<wire::ChosenValue> ControlPeers::founding(Millis started_at) const {
    if (replica_.founded() || !replica_.founder()) return std::nullopt;
    const auto self = std::find(seeds_.begin(), seeds_.end(), replica_.self().address);
    const Millis turn = (self - seeds_.begin()) * kFoundingTurn;
    if (self == seeds_.end() || replica_.host().now() - started_at < turn) return std::nullopt;
    wire::ChosenValue first;
    first.epoch = 1;
    for (const std::string& seed : seeds_) {
        if (seed == replica_.self().address) {
            first.acceptors.push_back(acceptor_of(replica_.self()));
            continue;
        }
        const auto peer = peers_.find(seed);
        if (peer == peers_.end() || peer->second.info.identity == 0) return std::nullopt;
        // A disk that was lost since the first boot may have forgotten a founding. It joins later. All
        // quorums of a set that it was in hold one of the others, and each of these takes part in one
        // founding only.
        if (peer->second.founder) first.acceptors.push_back(acceptor_of(peer->second.info));
    }
    if (first.acceptors.size() < majority(seeds_.size())) return std::nullopt;
    return first;
}

std::vector<HeardAcceptor> ControlPeers::heard(std::optional<Millis> asked_at) const {
    const Millis now = replica_.host().now();
    std::vector<HeardAcceptor> all{{acceptor_of(replica_.self()), now, 0, true}};
    for (const auto& [address, peer] : peers_) {
        if (peer.info.identity == 0) continue;
        const bool present = asked_at ? peer.confirmed_at >= *asked_at : now - peer.heard_at <= kPresent;
        all.push_back({acceptor_of(peer.info), peer.heard_at, peer.first_heard_at, present});
    }
    return all;
}

}  // namespace whinledge::consensus
