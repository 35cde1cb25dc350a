#include "consensus/acceptor_spread.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <tuple>

#include "consensus/reconfiguration.hpp"
#include "failure_domain/spread.hpp"

namespace whinledge::consensus {
namespace {

using Presence = AcceptorCandidate::Presence;
using failure_domain::location_of;
using failure_domain::LossTolerance;
using failure_domain::Spread;

struct Bounds {
    std::size_t of_a_zone = kMostAcceptors;  // acceptors
    std::size_t of_a_region = kMostAcceptors;
    bool silent_ones = true;  // may be chosen
};

struct Choice {
    Acceptors acceptors;
    Spread all, there;
};

Choice choose_within(const std::vector<AcceptorCandidate>& candidates, const Bounds& bounds) {
    Choice choice;
    for (const AcceptorCandidate& candidate : candidates) {
        if (choice.acceptors.size() >= kMostAcceptors) break;
        const wire::Acceptor& acceptor = candidate.acceptor;
        if (candidate.presence == Presence::silent && !bounds.silent_ones) continue;
        if (choice.all.machines_in_zone(acceptor.zone) >= bounds.of_a_zone) continue;
        if (choice.all.machines_in_region(acceptor.region) >= bounds.of_a_region) continue;
        choice.acceptors.push_back(acceptor);
        choice.all.add(location_of(acceptor));
        if (candidate.presence == Presence::there) choice.there.add(location_of(acceptor));
    }
    return choice;
}

struct Worth {
    bool majority_there = false;
    bool bears_next_loss = false;
    bool bears_loss_when_all_are_there = false;
    std::ptrdiff_t machine_losses = 0;  // that may follow
    std::size_t size = 0;

    bool is_better_than(const Worth& other) const { return ranked() > other.ranked(); }

private:
    std::tuple<bool, bool, bool, std::ptrdiff_t, std::size_t> ranked() const {
        return {majority_there, bears_next_loss, bears_loss_when_all_are_there, machine_losses, size};
    }
};

Worth worth_of(const Choice& choice, const LossTolerance& survive) {
    const std::size_t size = choice.acceptors.size(), there = choice.there.machines();
    Worth worth;
    worth.majority_there = there >= majority(size);
    worth.bears_next_loss = there - choice.there.largest_loss(survive) >= majority(size);
    worth.bears_loss_when_all_are_there = choice.all.keeps_majority(survive);
    worth.machine_losses = static_cast<std::ptrdiff_t>(there) - static_cast<std::ptrdiff_t>(majority(size));
    worth.size = size;
    return worth;
}

}  // namespace

Acceptors choose_acceptors(const std::vector<AcceptorCandidate>& candidates, const LossTolerance& survive) {
    const std::size_t least_of_a_zone = survive.zones > 0 ? 1 : kMostAcceptors;
    const std::size_t least_of_a_region = survive.regions > 0 ? 1 : kMostAcceptors;
    Acceptors best;
    std::optional<Worth> best_worth;
    const auto try_within = [&](const Bounds& bounds) {
        Choice choice = choose_within(candidates, bounds);
        const Worth worth = worth_of(choice, survive);
        if (best_worth && !worth.is_better_than(*best_worth)) return;
        best_worth = worth;
        best = std::move(choice.acceptors);
    };
    for (const bool silent_ones : {true, false})
        for (std::size_t of_a_zone = kMostAcceptors; of_a_zone >= least_of_a_zone; --of_a_zone)
            for (std::size_t of_a_region = kMostAcceptors; of_a_region >= least_of_a_region; --of_a_region)
                try_within({of_a_zone, of_a_region, silent_ones});
    return best;
}

}  // namespace whinledge::consensus
