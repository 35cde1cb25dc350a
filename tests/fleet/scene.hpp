// How things stand at one time of a run, for those of the nodes that are looked at: made anew from its
// events, one after the other.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "fleet/record.hpp"

namespace whinledge::fleetrig {

class Scene {
public:
    // `who`: whose beliefs are looked at.
    Scene(const Record::Cast& cast, std::vector<Node> who);

    void see(const Event& event);

    // Up, not stopped, not ending, and one of `who`.
    bool observes(Node node) const { return observes_[node]; }
    std::size_t observers() const { return observers_; }
    const std::vector<Node>& who() const { return who_; }
    // Since when it has run and answered without a break; infinity: it does not.
    Millis runs_since(Node node) const { return runs_since_[node]; }
    Belief belief(Node node, Member member) const { return held_[node][member].belief; }
    // How many observers hold it, those of that name left out; and how many there are.
    std::size_t holders(Member member, Belief belief) const {
        return members_[member].by_belief[static_cast<std::size_t>(belief)];
    }
    std::size_t judges(Member member) const { return members_[member].judges; }
    // All observers hold the same life and state of everybody; a suspicion is an opinion and counts as alive.
    bool views_equal() const { return observers_ > 0 && unequal_ == 0; }
    const std::string& standing(Node node) const { return standing_[node]; }

private:
    struct Slot {
        Belief belief = Belief::unknown;
        std::uint64_t incarnation = 0;
    };
    struct OfMember {
        std::array<std::size_t, kBeliefs> by_belief{};
        std::map<std::pair<std::uint64_t, Belief>, std::size_t> lives;
        std::size_t judges = 0;
    };
    void observe(Node node, bool now);
    void refresh(Node node);
    void put(Node node, Member member, Slot slot);
    void count(Member member, const Slot& slot, int by);

    const Record::Cast& cast_;
    std::vector<Node> who_;
    std::vector<bool> in_who_, observes_, up_, still_;
    std::vector<Millis> runs_since_;
    std::vector<std::string> standing_;
    std::vector<std::vector<Slot>> held_;
    std::vector<OfMember> members_;
    std::size_t observers_ = 0, unequal_ = 0;
};

}  // namespace whinledge::fleetrig
