#include "fleet/scene.hpp"

namespace whinledge::fleetrig {

namespace {

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

}  // namespace

Scene::Scene(const Record::Cast& cast, std::vector<Node> who)
    : cast_(cast),
      who_(std::move(who)),
      in_who_(cast.nodes.size()),
      observes_(cast.nodes.size()),
      up_(cast.nodes.size()),
      still_(cast.nodes.size()),
      runs_since_(cast.nodes.size(), kNever),
      standing_(cast.nodes.size()),
      held_(cast.nodes.size(), std::vector<Slot>(cast.members.size())),
      members_(cast.members.size()) {
    for (const Node node : who_) in_who_[node] = true;
}

void Scene::count(Member member, const Slot& slot, int by) {
    OfMember& of = members_[member];
    const bool was = of.lives.size() > 1;
    of.by_belief[static_cast<std::size_t>(slot.belief)] += static_cast<std::size_t>(by);
    const std::pair life(slot.incarnation, slot.belief == Belief::suspect ? Belief::alive : slot.belief);
    const auto at = of.lives.try_emplace(life, 0).first;
    at->second += static_cast<std::size_t>(by);
    if (at->second == 0) of.lives.erase(at);
    const bool is = of.lives.size() > 1;
    unequal_ += static_cast<std::size_t>(is) - static_cast<std::size_t>(was);
}

void Scene::put(Node node, Member member, Slot slot) {
    const bool counted = observes_[node] && cast_.member_of[node] != member;
    if (counted) count(member, held_[node][member], -1);
    held_[node][member] = slot;
    if (counted) count(member, slot, 1);
}

void Scene::observe(Node node, bool now) {
    if (observes_[node] == now) return;
    observes_[node] = now;
    observers_ += now ? 1 : static_cast<std::size_t>(-1);
    for (Member m = 0; m < members_.size(); ++m) {
        if (cast_.member_of[node] == m) continue;
        members_[m].judges += now ? 1 : static_cast<std::size_t>(-1);
        count(m, held_[node][m], now ? 1 : -1);
    }
}

void Scene::refresh(Node node) { observe(node, in_who_[node] && up_[node] && !still_[node]); }

void Scene::see(const Event& event) {
    if (const auto* const held = std::get_if<Held>(&event.what)) {
        put(held->node, held->member, {held->belief, held->incarnation});
    } else if (const auto* const stood = std::get_if<Stood>(&event.what)) {
        standing_[stood->node] = stood->standing;
    } else if (const auto* const lived = std::get_if<Lived>(&event.what)) {
        const Node node = lived->node;
        switch (lived->life) {
            case Life::started:
                break;
            case Life::up:
                up_[node] = true;
                break;
            case Life::stopped:
            case Life::terminated:
                still_[node] = true;
                break;
            case Life::continued:
                still_[node] = false;
                break;
            case Life::killed:
            case Life::ended:
                up_[node] = still_[node] = false;
                break;
        }
        const bool runs = up_[node] && !still_[node];
        if (!runs) runs_since_[node] = kNever;
        if (runs && runs_since_[node] == kNever) runs_since_[node] = event.at;
        refresh(node);
        if (up_[node]) return;
        for (Member m = 0; m < members_.size(); ++m) held_[node][m] = {};
        standing_[node].clear();
    }
}

}  // namespace whinledge::fleetrig
