// A walk through all orders of messages by which two reservations of one program meet changes of the map:
// ledgers on groups, members that learn of maps in their own time, skip some, follow each other, lose their
// disks, are dropped while they are alive, retire and join. The member's rule is the one in service
// (LedgerSpread); what surrounds it is as StorageNode, Repair and TurnQuorum have it: a call is handled at
// once, its reply comes or is lost.
//
// Of two reservations one is the first to be held by a majority. The other looks at a majority after it has
// one itself, so after that: if no member of the majority that it then looks at has the first, both may be
// granted. So the first is walked until a majority holds it, and the second only as it looks.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "storage_plane/ledger_spread.hpp"

namespace whinledge::storage_plane::test {
namespace {

using Bits = unsigned;  // a set of members 0, 1, ... as bits
constexpr int kMost = 5;

enum class Change {
    lose,    // disks that are gone: the others have followed each other before the next are
    drop,    // silent but alive: they may still answer; a loss like any other
    retire,  // no place in a group any more
    leave,   // retired members, once all others have followed them
    admit,   // a joining member votes
    resize,  // groups have another size
};
struct Step {
    Change change;
    Bits who = 0;
    int group = 0;  // the new size
};
struct Script {
    int members = 5;
    int group = 3;
    int machine_losses = 1;
    Bits joining = 0;  // under the first map
    std::vector<Step> steps;
};

struct MemberState {
    std::uint8_t alive = 1, epoch = 1, promised = 1, filled = 1;
    std::uint8_t base = 1;      // the map under which all others were followed last
    std::uint8_t learned = 0;   // maps after it, as bits
    std::uint8_t followed = 0;  // members, under the present map
    std::uint8_t holds = 0;     // the first reservation
};
// The first reservation while it is made, and then the second while it looks.
struct ReserverState {
    std::uint8_t epoch = 1;
    std::uint8_t voted = 0;  // members whose votes under this map it has
};
struct State {
    std::uint8_t published = 1;
    std::array<MemberState, kMost> members;
    ReserverState reserver;
    std::uint8_t held = 0;  // by a majority: the first is

    std::string key() const { return std::string(reinterpret_cast<const char*>(this), sizeof *this); }
};

struct Planted {
    LedgerSpread::Planted spread;
    bool settles_early = false;    // a member takes all for followed as soon as it learns of a map
    bool loses_unsettled = false;  // further disks are lost before the others have followed each other
};

class Walk {
public:
    Walk(Script script, Planted planted) : script_(std::move(script)), planted_(planted) {
        maps_.push_back({});  // epochs begin at 1
        maps_.push_back(first_map());
        for (const Step& step : script_.steps) maps_.push_back(changed(maps_.back(), step));
        for (const wire::StorageMap& map : maps_) {
            groups_.push_back(bits_of(storage_map::LedgerPlacement(map).group(kProgram)));
            voters_.push_back(bits_of(storage_map::LedgerPlacement(map).voters()));
            keepers_.push_back({});
            for (int member = 0; member < kMost; ++member)
                keepers_.back()[member] =
                    bits_of(storage_map::LedgerPlacement(map, member + 1).group(kProgram));
        }
        for (int member = 0; member < script_.members; ++member)
            initial_.members[member].filled = (script_.joining >> member & 1) == 0;
        for (int member = script_.members; member < kMost; ++member) initial_.members[member].alive = 0;
    }

    // All states; the number of them, or nothing where both reservations may be granted in one.
    std::optional<std::size_t> all(std::size_t most_states) {
        std::unordered_set<std::string> seen{initial_.key()};
        std::deque<State> open{initial_};
        while (!open.empty()) {
            const State state = open.front();
            open.pop_front();
            if (violated(state)) return std::nullopt;
            each_next(state, [&](const State& next) {
                if (seen.insert(next.key()).second) open.push_back(next);
            });
            if (seen.size() > most_states) {
                complete = false;
                break;
            }
        }
        return seen.size();
    }

    // One way through, to its end or to where both reservations may be granted: then false.
    bool one(std::mt19937_64& random) {
        State state = initial_;
        for (;;) {
            if (violated(state)) return false;
            std::vector<State> nexts;
            each_next(state, [&](const State& next) {
                if (next.key() != state.key()) nexts.push_back(next);
            });
            if (nexts.empty()) return true;
            state = nexts[std::uniform_int_distribution<std::size_t>(0, nexts.size() - 1)(random)];
        }
    }

    bool complete = true;       // no state was left out
    bool single_pulls = false;  // members follow each other one by one, not all at once

private:
    static constexpr const char* kProgram = "program";

    static Bits bit(int member) { return 1U << member; }
    static Bits bits_of(const std::set<std::int64_t>& identities) {
        Bits bits = 0;
        for (const std::int64_t identity : identities) bits |= bit(static_cast<int>(identity) - 1);
        return bits;
    }

    wire::StorageMap first_map() const {
        wire::StorageMap map;
        map.epoch = 1;
        map.ledger_group = script_.group;
        for (int i = 0; i < script_.members; ++i) {
            wire::StorageMember member;
            member.identity = i + 1;
            member.zone = std::string(1, static_cast<char>('a' + i % 3));
            member.state =
                script_.joining & bit(i) ? wire::StorageState::joining : wire::StorageState::member;
            map.members.push_back(member);
        }
        return map;
    }

    static wire::StorageMap changed(wire::StorageMap map, const Step& step) {
        ++map.epoch;
        const auto is_meant = [&](const wire::StorageMember& member) {
            return (step.who & bit(static_cast<int>(member.identity) - 1)) != 0;
        };
        if (step.change == Change::retire || step.change == Change::admit) {
            for (wire::StorageMember& member : map.members)
                if (is_meant(member))
                    member.state = step.change == Change::retire ? wire::StorageState::retiring
                                                                 : wire::StorageState::member;
        } else if (step.change == Change::resize) {
            map.ledger_group = step.group;
        } else {
            std::erase_if(map.members, is_meant);
        }
        return map;
    }

    bool has_majority(const ReserverState& reserver) const {
        const auto group = static_cast<std::size_t>(std::popcount(groups_[reserver.epoch]));
        return static_cast<std::size_t>(std::popcount(Bits{reserver.voted})) >=
               storage_map::reservation_majority(group);
    }
    bool violated(const State& state) const { return state.held && has_majority(state.reserver); }

    // ---- What a member makes of the maps that it has learned of

    LedgerSpread spread_of(const MemberState& member) const {
        LedgerSpread spread;
        spread.planted = planted_.spread;
        spread.reset(maps_[member.base]);
        int last = member.base;
        for (int epoch = member.base + 1; epoch < static_cast<int>(maps_.size()); ++epoch) {
            if (!(member.learned >> epoch & 1)) continue;
            spread.follow(maps_[last], maps_[epoch]);
            last = epoch;
        }
        return spread;
    }

    bool may_vote(int index, const MemberState& member) {
        if (!member.filled || !(voters_[member.epoch] & bit(index))) return false;
        return judged(member).votes >> index & 1;
    }

    struct Judged {
        Bits votes = 0;
        std::size_t may_miss = 0;
    };
    const Judged& judged(const MemberState& member) {
        const auto [known, added] = judged_.try_emplace(std::pair(member.base, member.learned));
        if (added) {
            const LedgerSpread spread = spread_of(member);
            known->second.may_miss = spread.may_miss({.machines = script_.machine_losses});
            for (int index = 0; index < script_.members; ++index)
                if (spread.may_vote(kProgram, index + 1)) known->second.votes |= bit(index);
        }
        return known->second;
    }

    // ---- Steps

    template <class Take>
    void each_next(const State& state, Take take) {
        control(state, take);
        for (int member = 0; member < script_.members; ++member) {
            if (!state.members[member].alive) continue;
            learn(state, member, take);
            follow(state, member, take);
        }
        reserve(state, take);
    }

    bool all_know(const State& state) const {
        for (int member = 0; member < script_.members; ++member)
            if (voters_[state.published] & bit(member) && state.members[member].epoch != state.published)
                return false;
        return true;
    }
    bool is_settled(const State& state) const {
        for (int member = 0; member < script_.members; ++member) {
            const MemberState& each = state.members[member];
            if (!(voters_[state.published] & bit(member)) || !each.alive) continue;
            if (each.epoch != state.published || each.base != state.published || !each.filled) return false;
        }
        return true;
    }

    template <class Take>
    void control(const State& state, Take take) {
        if (state.published + 1U >= maps_.size()) return;
        const Step& step = script_.steps[state.published - 1];
        State next = state;
        ++next.published;
        switch (step.change) {
            case Change::lose:
                if (state.published > 1 && !planted_.loses_unsettled && !is_settled(state)) return;
                // Before control knows of it, and both at once.
                for (int member = 0; member < script_.members; ++member)
                    if (step.who & bit(member)) next.members[member] = {0, 0, 0, 0, 0, 0, 0, 0};
                break;
            case Change::leave:
                for (int member = 0; member < script_.members; ++member) {
                    const MemberState& each = state.members[member];
                    if (!(voters_[state.published] & bit(member)) || step.who & bit(member)) continue;
                    const bool proved =
                        each.base == state.published || (each.followed & step.who) == step.who;
                    if (each.epoch != state.published || !proved) return;
                }
                break;
            case Change::drop:
                if (!all_know(state)) return;
                if (state.published > 1 && !planted_.loses_unsettled && !is_settled(state)) return;
                break;
            case Change::admit:
            case Change::resize:
                if (!all_know(state)) return;
                break;
            case Change::retire:
                break;
        }
        take(next);
    }

    template <class Take>
    void learn(const State& state, int index, Take take) {
        for (int epoch = state.members[index].epoch + 1; epoch <= state.published; ++epoch) {
            State next = state;
            MemberState& member = next.members[index];
            member.epoch = static_cast<std::uint8_t>(epoch);
            member.promised = std::max(member.promised, member.epoch);
            member.learned |= static_cast<std::uint8_t>(1U << epoch);
            member.followed = 0;
            if (!(voters_[epoch] & bit(index))) member.filled = 0;
            if (planted_.settles_early) settle(member);
            take(next);
        }
    }

    static void settle(MemberState& member) {
        member.base = member.epoch;
        member.learned = 0;
    }

    Bits others(const State& state, int index) const {
        return voters_[state.members[index].epoch] & ~bit(index);
    }

    template <class Take>
    void follow(const State& state, int index, Take take) {
        const MemberState& member = state.members[index];
        const bool done = member.filled && member.base == member.epoch;
        if (done && !single_pulls) return;
        const wire::StorageMap& map = maps_[member.epoch];
        const bool belongs = std::any_of(map.members.begin(), map.members.end(),
                                         [index](const auto& each) { return each.identity == index + 1; });
        if (!belongs) return;
        State next = state;
        for (int other = 0; other < script_.members; ++other) {
            if (!(others(state, index) & bit(other)) || member.followed & bit(other)) continue;
            if (!state.members[other].alive || state.members[other].epoch != member.epoch) continue;
            if (single_pulls) next = state;
            pull(next.members[index], next.members[other], index, other);
            if (!single_pulls) continue;
            count_followed(next, index);
            take(next);
        }
        if (single_pulls) return;
        count_followed(next, index);
        if (next.members[index].base == member.epoch && next.members[index].filled) {
            next.members[index].followed = 0;
            take(next);
        }
    }

    void pull(MemberState& member, const MemberState& from, int index, int other) const {
        if (keepers_[member.epoch][index] & bit(index)) member.holds |= from.holds;
        member.followed |= static_cast<std::uint8_t>(bit(other));
    }

    void count_followed(State& state, int index) {
        MemberState& member = state.members[index];
        const auto missed = static_cast<std::size_t>(std::popcount(others(state, index) & ~member.followed));
        if (member.filled && missed <= judged(member).may_miss) settle(member);
        if (missed > 0 || !(voters_[member.epoch] & bit(index))) return;
        settle(member);
        member.filled = 1;
    }

    template <class Take>
    void reserve(const State& state, Take take) {
        const ReserverState& reserver = state.reserver;
        for (int epoch = reserver.epoch + 1; epoch <= state.published; ++epoch) {
            State next = state;
            next.reserver = {static_cast<std::uint8_t>(epoch), 0};
            take(next);
        }
        if (!state.held && has_majority(reserver)) {
            // The second may have a map of any age.
            for (int epoch = 1; epoch <= state.published; ++epoch) {
                State next = state;
                next.held = 1;
                next.reserver = {static_cast<std::uint8_t>(epoch), 0};
                take(next);
            }
            return;
        }
        for (int member = 0; member < script_.members; ++member) {
            if (!(groups_[reserver.epoch] & bit(member)) || !state.members[member].alive) continue;
            if (!(reserver.voted & bit(member))) ask(state, member, take);
        }
    }

    template <class Take>
    void ask(const State& state, int asked, Take take) {
        State next = state;
        MemberState& member = next.members[asked];
        if (next.reserver.epoch < std::max(member.promised, member.epoch)) return;
        member.promised = std::max(member.promised, next.reserver.epoch);
        if (!state.held) member.holds = 1;
        take(next);  // its reply is lost, or no vote
        if (next.reserver.epoch != member.epoch || !may_vote(asked, member)) return;
        if (state.held && member.holds) return;  // it sees the first
        next.reserver.voted |= static_cast<std::uint8_t>(bit(asked));
        take(next);
    }

    Script script_;
    Planted planted_;
    std::vector<wire::StorageMap> maps_;  // by epoch
    std::vector<Bits> groups_, voters_;
    State initial_;
    std::vector<std::array<Bits, kMost>> keepers_;  // by epoch; as if the member voted
    std::map<std::pair<std::uint8_t, std::uint8_t>, Judged> judged_;
};

// LEDGER_WALK_STATES: how far each walk goes instead of the usual number.
std::size_t most_states() {
    const char* const wanted = std::getenv("LEDGER_WALK_STATES");
    return wanted ? std::strtoull(wanted, nullptr, 10) : 200'000;
}

// All two changes of the map of five members, one member in each.
std::vector<Script> scripts() {
    std::vector<Script> scripts;
    const auto add = [&](Change first, int one, Change second, int other, Bits joining = 0) {
        Script script;
        script.joining = joining;
        script.steps = {{first, 1U << one}, {second, 1U << other}};
        scripts.push_back(script);
    };
    for (int one = 0; one < 5; ++one) {
        add(Change::retire, one, Change::leave, one);
        for (int other = 0; other < 5; ++other) {
            if (other == one) continue;
            add(Change::lose, one, Change::lose, other);
            add(Change::drop, one, Change::lose, other);
            add(Change::lose, one, Change::drop, other);
            add(Change::drop, one, Change::drop, other);
            add(Change::retire, one, Change::lose, other);
            add(Change::lose, one, Change::retire, other);
        }
    }
    for (int one = 0; one < 4; ++one) {
        add(Change::admit, 4, Change::lose, one, 1U << 4);
        add(Change::lose, one, Change::admit, 4, 1U << 4);
        add(Change::admit, 4, Change::drop, one, 1U << 4);
    }
    return scripts;
}

TEST(LedgerWalk, NoOrderGrantsABudgetTwice) {
    std::size_t states = 0, largest = 0, cut_short = 0;
    for (const Script& script : scripts()) {
        Walk walk(script, {});
        const auto found = walk.all(most_states());
        ASSERT_TRUE(found) << "change " << static_cast<int>(script.steps[0].change) << " of "
                           << script.steps[0].who << ", " << static_cast<int>(script.steps[1].change)
                           << " of " << script.steps[1].who;
        states += *found;
        largest = std::max(largest, *found);
        cut_short += !walk.complete;
    }
    std::cout << states << " states, the most in one walk " << largest << "\n";
    EXPECT_EQ(cut_short, 0u);
}

TEST(LedgerWalk, MembersThatFollowEachOtherOneByOne) {
    std::mt19937_64 random(7);
    for (const Script& script : scripts()) {
        Walk walk(script, {});
        walk.single_pulls = true;
        for (int way = 0; way < 60; ++way) ASSERT_TRUE(walk.one(random));
    }
}

bool finds(const Planted& planted) {
    const std::vector<Script> all = scripts();
    return std::any_of(all.begin(), all.end(),
                       [&](const Script& script) { return !Walk(script, planted).all(most_states()); });
}

TEST(LedgerWalk, FindsMembersThatVoteBeforeTheyAreFilled) {
    Planted planted;
    planted.spread.votes_unfilled = true;
    EXPECT_TRUE(finds(planted));
}

TEST(LedgerWalk, FindsThatTheOldGroupWasAskedInPart) {
    Planted planted;
    planted.spread.follows_few = true;
    EXPECT_TRUE(finds(planted));
}

TEST(LedgerWalk, FindsMembersThatSettleTooEarly) {
    Planted planted;
    planted.settles_early = true;
    EXPECT_TRUE(finds(planted));
}

TEST(LedgerWalk, FindsLossesBeforeTheOthersHaveFollowed) {
    Planted planted;
    planted.loses_unsettled = true;
    EXPECT_TRUE(finds(planted));
}

// From all voters to groups, from groups of one size to another, and back.
std::vector<Script> resizings() {
    std::vector<Script> scripts;
    for (const auto& [before, after] : {std::pair(0, 3), std::pair(3, 0), std::pair(4, 3), std::pair(3, 4)}) {
        for (int lost = 0; lost < 5; ++lost) {
            Script script;
            script.group = before;
            script.steps = {{Change::resize, 0, after}, {Change::lose, 1U << lost}};
            scripts.push_back(script);
        }
    }
    return scripts;
}

TEST(LedgerWalk, GroupsOfAnotherSize) {
    for (const Script& script : resizings()) {
        Walk walk(script, {});
        ASSERT_TRUE(walk.all(most_states()));
        EXPECT_TRUE(walk.complete);
    }
}

TEST(LedgerWalk, FindsThatMajoritiesAreTakenToMeet) {
    Planted planted;
    planted.spread.any_change = true;
    const std::vector<Script> all = resizings();
    EXPECT_TRUE(std::any_of(all.begin(), all.end(),
                            [&](const Script& script) { return !Walk(script, planted).all(most_states()); }));
}

}  // namespace
}  // namespace whinledge::storage_plane::test
