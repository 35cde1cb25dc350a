#include "consensus/reconfiguration.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "consensus/acceptor_spread.hpp"

namespace whinledge::consensus {

namespace {

const HeardAcceptor* find_heard(const std::vector<HeardAcceptor>& heard, std::int64_t identity) {
    const auto at = std::find_if(heard.begin(), heard.end(),
                                 [&](const HeardAcceptor& one) { return one.acceptor.identity == identity; });
    return at == heard.end() ? nullptr : &*at;
}

// Those to be added, from the zones with the fewest acceptors first.
std::vector<wire::Acceptor> spread_over_zones(std::vector<wire::Acceptor> spares, const Acceptors& chosen) {
    std::map<std::string, std::size_t> taken;
    for (const wire::Acceptor& acceptor : chosen) ++taken[acceptor.zone];
    std::vector<wire::Acceptor> order;
    while (!spares.empty()) {
        const auto next = std::min_element(spares.begin(), spares.end(), [&](const auto& a, const auto& b) {
            return std::make_pair(taken[a.zone], a.identity) < std::make_pair(taken[b.zone], b.identity);
        });
        ++taken[next->zone];
        order.push_back(*next);
        spares.erase(next);
    }
    return order;
}

bool by_identity(const wire::Acceptor& a, const wire::Acceptor& b) { return a.identity < b.identity; }

// Acceptors that are there and may still be lost while the rest is a majority; below 0: it is none now.
int tolerance(std::size_t acceptors, std::size_t there) {
    return static_cast<int>(there) - static_cast<int>(majority(acceptors));
}

struct Absent {
    wire::Acceptor acceptor;
    Millis silence = 0;
};

// The present acceptors by what is known of them.
struct Sorted {
    Acceptors staying;           // there, or heard of so late that they may be
    std::size_t there = 0;       // of them
    std::vector<Absent> absent;  // silent, the longest silence first; no wiped ones
};

Sorted sort_by_presence(const Acceptors& current, const std::vector<HeardAcceptor>& heard, Millis now,
                        const ReconfigurationLimits& limits) {
    std::set<std::string> addresses_present;
    for (const HeardAcceptor& one : heard)
        if (one.present) addresses_present.insert(one.acceptor.address);
    Sorted sorted;
    for (const wire::Acceptor& acceptor : current) {
        const HeardAcceptor* const one = find_heard(heard, acceptor.identity);
        const Millis last =
            std::max(one == nullptr ? limits.watching_since : one->heard_at, limits.watching_since);
        const bool wiped = addresses_present.count(acceptor.address) != 0;
        const bool was_there = one != nullptr && one->heard_at >= limits.watching_since;
        if (one != nullptr && one->present) {
            sorted.staying.push_back(one->acceptor);
            ++sorted.there;
        } else if (wiped) {
            continue;
        } else if (now - last < (was_there ? limits.silent : limits.gone)) {
            sorted.staying.push_back(acceptor);
        } else {
            sorted.absent.push_back({acceptor, now - last});
        }
    }
    std::stable_sort(sorted.absent.begin(), sorted.absent.end(),
                     [](const Absent& a, const Absent& b) { return a.silence > b.silence; });
    return sorted;
}

// How many of the absent ones, the longest silence first, are left out beside `next`.
std::size_t left_out(const Acceptors& next, std::size_t there, const std::vector<Absent>& absent,
                     const ReconfigurationLimits& limits) {
    const std::size_t enough = std::min(2 * limits.survive.machine_losses() + 1, kMostAcceptors);
    const auto may_go = [&](std::size_t count) { return next.size() + absent.size() - count >= enough; };
    std::size_t best = 0;
    while (best < absent.size() && may_go(best + 1) &&
           (absent[best].silence >= limits.gone || next.size() + absent.size() - best > kMostAcceptors))
        ++best;
    const auto borne = [&](std::size_t count) {
        return tolerance(next.size() + absent.size() - count, there);
    };
    for (std::size_t count = best + 1; count <= absent.size() && may_go(count); ++count)
        if (borne(count) > borne(best)) best = count;
    return best;
}

std::vector<wire::Acceptor> spares_of(const Acceptors& current, const std::vector<HeardAcceptor>& heard,
                                      const Acceptors& chosen) {
    std::vector<wire::Acceptor> spares;
    for (const HeardAcceptor& one : heard)
        if (one.present && find_acceptor(current, one.acceptor.identity) == nullptr)
            spares.push_back(one.acceptor);
    return spread_over_zones(std::move(spares), chosen);
}

// A set for the losses of machines alone.
Acceptors all_that_are_there(const Sorted& sorted, const std::vector<wire::Acceptor>& spares,
                             const ReconfigurationLimits& limits) {
    Acceptors next = sorted.staying;
    std::size_t there = sorted.there;
    for (const wire::Acceptor& spare : spares) {
        if (next.size() >= kMostAcceptors) break;
        next.push_back(spare);
        ++there;
    }
    for (std::size_t kept = left_out(next, there, sorted.absent, limits); kept < sorted.absent.size(); ++kept)
        next.push_back(sorted.absent[kept].acceptor);
    return next;
}

bool is_there(const std::vector<HeardAcceptor>& heard, const wire::Acceptor& acceptor) {
    const HeardAcceptor* const one = find_heard(heard, acceptor.identity);
    return one != nullptr && one->present;
}

// Spares that came after the absent one had fallen silent take its place wherever they stand; of the others
// none does that in another zone, as the absent one may come back.
std::size_t successors_of_absent(const std::vector<wire::Acceptor>& spares,
                                 const std::vector<HeardAcceptor>& heard, Millis silent_since) {
    return static_cast<std::size_t>(
        std::count_if(spares.begin(), spares.end(), [&](const wire::Acceptor& spare) {
            const HeardAcceptor* const one = find_heard(heard, spare.identity);
            return one != nullptr && one->first_heard_at > silent_since;
        }));
}

// A set for the losses of zones or regions.
Acceptors those_that_bear_losses(const Sorted& sorted, const std::vector<wire::Acceptor>& spares,
                                 const std::vector<HeardAcceptor>& heard, Millis now,
                                 const ReconfigurationLimits& limits) {
    using Presence = AcceptorCandidate::Presence;
    std::vector<AcceptorCandidate> candidates;
    for (const wire::Acceptor& acceptor : sorted.staying)
        if (is_there(heard, acceptor)) candidates.push_back({acceptor, Presence::there});
    for (const wire::Acceptor& acceptor : sorted.staying)
        if (!is_there(heard, acceptor)) candidates.push_back({acceptor, Presence::may_be_back});
    for (const wire::Acceptor& spare : spares) candidates.push_back({spare, Presence::there});
    std::size_t replaced = 0;
    for (const Absent& one : sorted.absent) {
        const Millis silent_since = now - one.silence + limits.silent;
        if (successors_of_absent(spares, heard, silent_since) > replaced)
            ++replaced;
        else
            candidates.push_back({one.acceptor, Presence::silent});
    }
    return choose_acceptors(candidates, limits.survive);
}

}  // namespace

std::optional<Acceptors> next_acceptors(const Acceptors& current, const std::vector<HeardAcceptor>& heard,
                                        Millis now, const ReconfigurationLimits& limits) {
    const Sorted sorted = sort_by_presence(current, heard, now, limits);
    const std::vector<wire::Acceptor> spares = spares_of(current, heard, sorted.staying);
    Acceptors next = limits.survive.names_domains()
                         ? those_that_bear_losses(sorted, spares, heard, now, limits)
                         : all_that_are_there(sorted, spares, limits);
    const auto there = static_cast<std::size_t>(std::count_if(
        next.begin(), next.end(), [&](const wire::Acceptor& acceptor) { return is_there(heard, acceptor); }));

    std::sort(next.begin(), next.end(), by_identity);
    Acceptors same = current;
    std::sort(same.begin(), same.end(), by_identity);
    const bool agreed = sorted.there >= majority(current.size()) && there >= majority(next.size());
    if (next == same || !agreed) return std::nullopt;
    return next;
}

}  // namespace whinledge::consensus
