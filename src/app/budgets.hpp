// The descriptors of one process: shared by listeners and pools, guaranteed and borrowed (limits/shares.hpp).
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "io/connection_budget.hpp"
#include "limits/shares.hpp"

namespace whinledge {

// A client's connection counts as busy for as long as it is open; a server's is idle between requests and
// then lent to whoever needs it, to be closed at once if its owner's guarantee, or another's, wants it.
class Descriptors final : public ConnectionBudget {
public:
    // Closes at least so many idle connections of a pool, as far as it has them.
    using CloseIdle = std::function<void(PoolId pool, std::size_t count)>;
    Descriptors(std::size_t total, CloseIdle close_idle)
        : shares_(total), close_idle_(std::move(close_idle)) {}

    struct ListenerBound {
        std::string name;
        limits::Bound bound;
    };
    struct PoolBound {
        PoolId pool = 0;
        limits::Bound bound;
        std::size_t connects = 0;  // under way at once; 0: any number
    };
    // All in one step, or not at all: whether the guarantees fit. Those not named keep what they hold.
    bool reload(std::size_t total, const std::vector<ListenerBound>& listeners,
                const std::vector<PoolBound>& pools);

    // A connection of a listener's client.
    bool enter(const std::string& listener);
    void leave(const std::string& listener);

    bool open(PoolId pool) override;
    void connected(PoolId pool) override;
    bool rest(PoolId pool) override;
    bool reuse(PoolId from, PoolId to) override;
    void closed(PoolId pool, bool idle) override;

    const limits::Shares& shares() const { return shares_; }
    std::size_t held(PoolId pool) const;
    std::size_t held(const std::string& listener) const;

private:
    struct Holder {
        limits::Member member;
        std::size_t connects = 0, connecting = 0;
        std::size_t held = 0;
        // Of those held: what was granted to members that had its name and were gone when it came back.
        std::vector<std::pair<limits::Member, std::size_t>> before{};
        bool leaving = false;
    };
    bool take(const limits::Member& member);

    limits::Shares shares_;
    CloseIdle close_idle_;
    std::map<std::string, Holder> listeners_;
    std::map<PoolId, Holder> pools_;
};

}  // namespace whinledge
